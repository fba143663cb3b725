//! Settings files in the INI format, which are parsed once into checked types. Each error names the
//! file, the section and the key.
//!
//! A program lists the sections and keys that may appear, and reads the values one by one from a
//! [`Parser`]. The parser collects the errors, so that all errors of a file are reported together.

use std::{fmt, net::SocketAddr, path::Path, time::Duration};

/// An error in a settings file, with its place and the valid values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The path of the file.
    pub file: String,
    /// The section; empty if the error concerns the whole file.
    pub section: String,
    /// The key; empty if the error concerns the section or the whole file.
    pub key: String,
    /// What is wrong, and which values are valid.
    pub problem: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.file, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.problem)
    }
}

/// The sections that may appear, each with its keys.
pub type KnownKeys = &'static [(&'static str, &'static [&'static str])];

/// Reads a file into a text.
///
/// # Errors
/// One [`SettingError`] if the file can't be read.
pub fn read(path: &Path) -> Result<String, Vec<SettingError>> {
    std::fs::read_to_string(path)
        .map_err(|e| file_error(&path.display().to_string(), format!("can't be read: {e}")))
}

/// Returns an error that concerns the whole file.
fn file_error(file: &str, problem: String) -> Vec<SettingError> {
    vec![SettingError {
        file: file.to_owned(),
        section: String::new(),
        key: String::new(),
        problem,
    }]
}

/// Reads the values of one file and collects the errors.
pub struct Parser<'a> {
    file: &'a str,
    ini: ini::Ini,
    errors: Vec<SettingError>,
}

impl<'a> Parser<'a> {
    /// Parses the text of a file.
    ///
    /// # Errors
    /// One [`SettingError`] with the line if the text is not INI.
    pub fn new(file: &'a str, text: &str) -> Result<Self, Vec<SettingError>> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|e| file_error(file, format!("line {}: {}", e.line + 1, e.msg)))?;
        Ok(Self {
            file,
            ini,
            errors: Vec::new(),
        })
    }

    fn push_error(&mut self, section: &str, key: &str, problem: String) {
        let (file, section, key) = (self.file.to_owned(), section.to_owned(), key.to_owned());
        self.errors.push(SettingError {
            file,
            section,
            key,
            problem,
        });
    }

    /// Adds an error for each section or key that is not in `known`.
    pub fn refuse_unknown(&mut self, known: KnownKeys) {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let name = section.unwrap_or_default();
            let found = known.iter().find(|(s, _)| *s == name);
            let Some((_, keys)) = found else {
                if section.is_some() || !properties.is_empty() {
                    unknown.push((name.to_owned(), String::new(), section_names(known)));
                }
                continue;
            };
            for (key, _) in properties {
                if !keys.contains(&key) {
                    unknown.push((name.to_owned(), key.to_owned(), keys.join(", ")));
                }
            }
        }
        for (section, key, valid) in unknown {
            self.push_error(&section, &key, format!("is not known; known are: {valid}"));
        }
    }

    /// Reads the value of a required key. `check` parses the value, or returns which values are valid.
    /// Returns `None` and adds an error if the key is missing or its value is invalid.
    pub fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        check: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let Some(value) = self.ini.get_from(Some(section), key).map(str::to_owned) else {
            self.push_error(section, key, "is missing".into());
            return None;
        };
        self.check(section, key, &value, check)
    }

    /// Reads the value of a key, or parses `default` if the key is missing. Returns `None` and adds an
    /// error if the value is invalid.
    pub fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        default: &str,
        check: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let value = self
            .ini
            .get_from(Some(section), key)
            .unwrap_or(default)
            .to_owned();
        self.check(section, key, &value, check)
    }

    /// Returns the result of a check over several keys of a section. Returns `None` and adds an error for the section
    /// if the check has failed.
    pub fn checked<T>(&mut self, section: &str, result: Result<T, impl fmt::Display>) -> Option<T> {
        result
            .inspect_err(|e| self.push_error(section, "", e.to_string()))
            .ok()
    }

    /// Returns `settings`, or all errors if there are any. `settings` is `None` only if a value has added
    /// an error.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, Vec<SettingError>> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(self.errors),
        }
    }

    fn check<T>(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        check: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        match check(value) {
            Ok(checked) => Some(checked),
            Err(valid) => {
                self.push_error(section, key, format!("{value:?} can't be used: {valid}"));
                None
            }
        }
    }
}

/// Parses an IP address and a port.
pub fn address(value: &str) -> Result<SocketAddr, String> {
    let valid = "an IP number and a port are needed, such as 10.0.0.7:8080";
    value.parse().map_err(|_| valid.to_owned())
}

/// Parses addresses with ports, separated by commas.
pub fn addresses(value: &str) -> Result<Vec<SocketAddr>, String> {
    let addresses = value.split(',').map(str::trim);
    addresses.filter(|a| !a.is_empty()).map(address).collect()
}

/// Parses an integer from `min` to `max`.
pub fn number(value: &str, min: u64, max: u64) -> Result<u64, String> {
    let valid = format!("a whole number from {min} to {max} is needed");
    match value.parse::<u64>() {
        Ok(n) if (min..=max).contains(&n) => Ok(n),
        _ => Err(valid),
    }
}

/// Parses an integer number of milliseconds from `min` to `max`.
pub fn millis(value: &str, min: u64, max: u64) -> Result<Duration, String> {
    number(value, min, max).map(Duration::from_millis)
}

/// Parses a number that is at least 0 and may have a fraction.
pub fn decimal(value: &str) -> Result<f64, String> {
    match value.trim().parse::<f64>() {
        Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
        _ => Err("a number not below zero is needed".to_owned()),
    }
}

/// Parses `yes` or `no`.
pub fn yes_or_no(value: &str) -> Result<bool, String> {
    match value.trim() {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("yes or no is needed".to_owned()),
    }
}

/// Parses a number of seconds that may have a fraction.
pub fn seconds(value: &str) -> Result<Duration, String> {
    decimal(value).map(Duration::from_secs_f64)
}

/// Parses a number of milliseconds that may have a fraction.
pub fn fractional_millis(value: &str) -> Result<Duration, String> {
    decimal(value).map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

/// Trims a text and checks that it is not empty.
pub fn text(value: &str) -> Result<String, String> {
    match value.trim() {
        "" => Err("a text is needed".to_owned()),
        text => Ok(text.to_owned()),
    }
}

fn section_names(known: KnownKeys) -> String {
    let names: Vec<_> = known.iter().map(|(s, _)| *s).collect();
    names.join(", ")
}
