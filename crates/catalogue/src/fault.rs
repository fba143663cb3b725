//! Faults: mistakes in declarations, with their location.

use std::fmt;

/// The kinds of mistakes in declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The file could not be read.
    Unreadable,
    /// A line that is not valid INI.
    Syntax,
    /// An unknown section, or a malformed section name.
    Section,
    /// A key that the section does not allow.
    UnknownKey,
    /// A required key that is missing from the section.
    MissingKey,
    /// An invalid value.
    Value,
    /// An entry or key that is declared twice.
    Duplicate,
    /// An entry that contradicts the rest of the catalogue.
    Conflict,
}

/// One mistake, with its location and what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The kind of mistake.
    pub kind: FaultKind,
    /// The file as the operator named it; empty for an entry that is already in force.
    pub file: String,
    /// The line number from 1, if known.
    pub line: Option<usize>,
    /// The section without its brackets.
    pub section: Option<String>,
    /// The key.
    pub key: Option<String>,
    /// The value found.
    pub value: Option<String>,
    /// A description of what would be valid.
    pub expected: String,
}

impl Fault {
    /// A fault of the whole `file`, without a more precise location.
    pub(crate) fn new(kind: FaultKind, file: &str, expected: impl Into<String>) -> Self {
        Self {
            kind,
            file: file.to_owned(),
            line: None,
            section: None,
            key: None,
            value: None,
            expected: expected.into(),
        }
    }

    /// The fault of a `file` that could not be read because of `cause`.
    pub fn unreadable(file: &str, cause: &dyn fmt::Display) -> Self {
        Self {
            value: Some(cause.to_string()),
            ..Self::new(FaultKind::Unreadable, file, "a readable file of UTF-8 text")
        }
    }

    pub(crate) fn at_line(mut self, line: usize) -> Self {
        self.line = Some(line);
        self
    }

    pub(crate) fn in_section(mut self, section: &str) -> Self {
        self.section = Some(section.to_owned());
        self
    }

    pub(crate) fn at_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    pub(crate) fn with_value(mut self, value: impl Into<String>) -> Self {
        self.value = Some(value.into());
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = if self.file.is_empty() {
            "catalogue"
        } else {
            &self.file
        };
        f.write_str(file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(":")?;
        if let Some(section) = &self.section {
            write!(f, " [{section}]")?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        match (&self.key, &self.value) {
            (Some(_), Some(value)) => write!(f, " = {value:?}")?,
            (None, Some(value)) => write!(f, " {value:?}")?,
            (_, None) => {}
        }
        let problem = match self.kind {
            FaultKind::Unreadable => "cannot be read",
            FaultKind::Syntax => "not understood",
            FaultKind::Section => "bad section",
            FaultKind::UnknownKey => "unknown key",
            FaultKind::MissingKey => "missing",
            FaultKind::Value => "bad value",
            FaultKind::Duplicate => "declared twice",
            FaultKind::Conflict => "does not fit the catalogue",
        };
        write!(f, ": {problem}; expected {}", self.expected)
    }
}

/// All faults found in one run of a parser or a check. Never empty.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}
