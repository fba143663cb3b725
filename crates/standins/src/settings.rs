//! Settings of one engine, service or link: `key=value` pairs from the command line or an INI section.

use std::{fmt, path::Path, str::FromStr};

use anyhow::Context;

/// The pairs of one section, with the name of their source for error messages.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    source: String,
    pairs: Vec<(String, String)>,
}

impl Settings {
    /// Creates settings without pairs; `source` is named in error messages.
    pub fn new(source: &str) -> Self {
        Self {
            source: source.to_owned(),
            pairs: Vec::new(),
        }
    }

    /// Parses pairs written as `key=value,key=value`.
    ///
    /// # Errors
    /// Fails if a pair has no `=`.
    pub fn parse(source: &str, text: &str) -> anyhow::Result<Self> {
        let mut settings = Self::new(source);
        for pair in text.split(',').filter(|pair| !pair.trim().is_empty()) {
            let (key, value) = pair
                .split_once('=')
                .with_context(|| format!("{source}: {pair:?} is not written as key=value"))?;
            settings.set(key.trim(), value.trim());
        }
        Ok(settings)
    }

    /// Reads the sections of an INI file. The name of a section is its `id` unless the section sets one.
    ///
    /// # Errors
    /// Fails if the file can't be read or parsed, or if it has keys before the first section.
    pub fn read_ini(path: &Path) -> anyhow::Result<Vec<Self>> {
        let ini = ini::Ini::load_from_file(path).with_context(|| path.display().to_string())?;
        let mut sections = Vec::new();
        for (name, properties) in ini.iter() {
            let Some(name) = name else {
                anyhow::ensure!(
                    properties.is_empty(),
                    "{}: keys stand before the first section",
                    path.display()
                );
                continue;
            };
            let mut settings = Self::new(&format!("{} [{name}]", path.display()));
            settings.set("id", name);
            for (key, value) in properties.iter() {
                settings.set(key, value);
            }
            sections.push(settings);
        }
        Ok(sections)
    }

    /// Sets the value of a key, replacing its earlier value.
    pub fn set(&mut self, key: &str, value: &str) {
        match self.pairs.iter_mut().find(|pair| pair.0 == key) {
            Some(pair) => pair.1 = value.to_owned(),
            None => self.pairs.push((key.to_owned(), value.to_owned())),
        }
    }

    /// Adds those pairs of `defaults` whose keys are not set.
    pub fn with_defaults(mut self, defaults: &Self) -> Self {
        for (key, value) in &defaults.pairs {
            if !self.pairs.iter().any(|pair| pair.0 == *key) {
                self.pairs.push((key.clone(), value.clone()));
            }
        }
        self
    }

    /// Removes `key` and returns its parsed value, or `None` if it is not set.
    pub fn take<T>(&mut self, key: &str) -> anyhow::Result<Option<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(index) = self.pairs.iter().position(|pair| pair.0 == key) else {
            return Ok(None);
        };
        let value = self.pairs.swap_remove(index).1;
        let parsed = value.parse();
        parsed
            .map(Some)
            .map_err(|err| self.error(key, format!("bad value {value:?}: {err}")))
    }

    /// Removes `key` and returns its value if `check` accepts it, or `default` if the key is not set.
    pub(crate) fn take_number(
        &mut self,
        key: &str,
        default: f64,
        check: fn(f64) -> Result<f64, &'static str>,
    ) -> anyhow::Result<f64> {
        let Some(value) = self.take::<f64>(key)? else {
            return Ok(default);
        };
        check(value).map_err(|err| self.error(key, format!("bad value \"{value}\": {err}")))
    }

    /// Builds an error that names the source and the key.
    pub fn error(&self, key: &str, what: impl fmt::Display) -> anyhow::Error {
        anyhow::anyhow!("{}: {key}: {what}", self.source)
    }

    /// Removes `key` and returns its parsed value, or `default` if it is not set.
    pub fn take_or<T>(&mut self, key: &str, default: T) -> anyhow::Result<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        Ok(self.take(key)?.unwrap_or(default))
    }

    /// Removes `key` and returns its parsed value; fails if it is not set.
    pub fn take_required<T>(&mut self, key: &str) -> anyhow::Result<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.take(key)?.ok_or_else(|| self.error(key, "missing"))
    }

    /// Fails if keys are left that no other method has removed: they are unknown.
    pub fn reject_unknown(self) -> anyhow::Result<()> {
        match self.pairs.first() {
            Some((key, _)) => Err(self.error(key, "unknown key")),
            None => Ok(()),
        }
    }
}
