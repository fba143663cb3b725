//! Settings files: INI, parsed once into checked types, with every error naming its place.
//!
//! A program lists the sections and keys that may appear and takes values one by one from a
//! [`Parser`]; what is wrong is collected, so that all errors of a file are told at once.

use std::{fmt, net::SocketAddr, path::Path, time::Duration};

/// A setting that can't be used; names the place and what would be right.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The file.
    pub file: String,
    /// The section.
    pub section: String,
    /// The key; empty if the section itself is wrong.
    pub key: String,
    /// What is wrong, and what would be right.
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

/// The sections that may appear and the keys of each.
pub type Known = &'static [(&'static str, &'static [&'static str])];

/// Reads a file; one that can't be read is an error like any other.
pub fn read(path: &Path) -> Result<String, Vec<SettingError>> {
    std::fs::read_to_string(path)
        .map_err(|e| whole(&path.display().to_string(), format!("can't be read: {e}")))
}

/// An error that concerns the file as a whole.
fn whole(file: &str, problem: String) -> Vec<SettingError> {
    vec![SettingError {
        file: file.to_owned(),
        section: String::new(),
        key: String::new(),
        problem,
    }]
}

/// Reads values out of one file and collects what is wrong with them.
pub struct Parser<'a> {
    file: &'a str,
    ini: ini::Ini,
    errors: Vec<SettingError>,
}

impl<'a> Parser<'a> {
    /// Parses the text of a file.
    pub fn new(file: &'a str, text: &str) -> Result<Self, Vec<SettingError>> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|e| whole(file, format!("line {}: {}", e.line + 1, e.msg)))?;
        Ok(Self {
            file,
            ini,
            errors: Vec::new(),
        })
    }

    fn error(&mut self, section: &str, key: &str, problem: String) {
        let (file, section, key) = (self.file.to_owned(), section.to_owned(), key.to_owned());
        self.errors.push(SettingError {
            file,
            section,
            key,
            problem,
        });
    }

    /// Notes an error for each section or key that is not known.
    pub fn refuse_unknown(&mut self, known: Known) {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let name = section.unwrap_or_default();
            let section_known = known.iter().find(|(s, _)| *s == name);
            let Some((_, keys)) = section_known else {
                if section.is_some() || !properties.is_empty() {
                    unknown.push((name.to_owned(), String::new(), sections(known)));
                }
                continue;
            };
            for (key, _) in properties {
                if !keys.contains(&key) {
                    unknown.push((name.to_owned(), key.to_owned(), keys.join(", ")));
                }
            }
        }
        for (section, key, right) in unknown {
            self.error(&section, &key, format!("is not known; known are: {right}"));
        }
    }

    /// The value of a key that must be there; `check` gives it, or says what would be right.
    pub fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        check: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let Some(value) = self.ini.get_from(Some(section), key).map(str::to_owned) else {
            self.error(section, key, "is missing".into());
            return None;
        };
        self.check(section, key, &value, check)
    }

    /// The value of a key, or that of `default` if it is left out.
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

    /// The settings, unless anything was wrong. A value that is missing has left its error behind.
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
            Err(right) => {
                self.error(section, key, format!("{value:?} can't be used: {right}"));
                None
            }
        }
    }
}

/// An IP number and a port.
pub fn address(value: &str) -> Result<SocketAddr, String> {
    let right = "an IP number and a port are needed, such as 10.0.0.7:8080";
    value.parse().map_err(|_| right.to_owned())
}

/// Addresses, comma-separated.
pub fn addresses(value: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = value.split(',').map(str::trim);
    parts.filter(|p| !p.is_empty()).map(address).collect()
}

/// A whole number within bounds.
pub fn number(value: &str, min: u64, max: u64) -> Result<u64, String> {
    let right = format!("a whole number from {min} to {max} is needed");
    match value.parse::<u64>() {
        Ok(n) if (min..=max).contains(&n) => Ok(n),
        _ => Err(right),
    }
}

/// A whole number of milliseconds within bounds.
pub fn millis(value: &str, min: u64, max: u64) -> Result<Duration, String> {
    number(value, min, max).map(Duration::from_millis)
}

/// A number that may have a fraction, not below zero.
pub fn decimal(value: &str) -> Result<f64, String> {
    match value.trim().parse::<f64>() {
        Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
        _ => Err("a number not below zero is needed".to_owned()),
    }
}

/// A number of seconds that may have a fraction.
pub fn seconds(value: &str) -> Result<Duration, String> {
    decimal(value).map(Duration::from_secs_f64)
}

/// A number of milliseconds that may have a fraction.
pub fn fine_millis(value: &str) -> Result<Duration, String> {
    decimal(value).map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

/// A text that is not empty.
pub fn text(value: &str) -> Result<String, String> {
    match value.trim() {
        "" => Err("a text is needed".to_owned()),
        text => Ok(text.to_owned()),
    }
}

fn sections(known: Known) -> String {
    let names: Vec<_> = known.iter().map(|(s, _)| *s).collect();
    names.join(", ")
}
