//! Parses declarations: INI text into validated entries.
//!
//! A file has one section per entry, in any order:
//!
//! ```ini
//! [workspace co-op]
//! weight = 2
//!
//! [model drill-lm]
//! layers = 32
//! context = 8192
//!
//! [service quay-app]
//! not_repeatable = /certificates
//!
//! [data_centre geoje]
//!
//! [data_centre tongyeong]
//!
//! [limit co-op/drill-lm/interactive]
//! requests_per_second = 20
//! tokens_per_second = 40000
//! in_flight = 64
//! burst_seconds = 2
//! priority = 0
//! deadline_ms = 30000
//! repeatable = true
//! share.tongyeong = 0.4
//!
//! [endpoint engine-07]
//! intent = leave
//! checks_fence = true
//!
//! [link geoje tongyeong]
//! latency_us = 400
//! mbit_per_second = 1000
//!
//! [group drill-lm geoje]
//! version = 2026-11
//! range.0..16 = 2
//! range.16..32 = 1
//! spares = 1
//! endpoints = engine-07, engine-08, engine-09, engine-10
//! loads_at_once = 1
//! layers_per_second = 8
//! ```
//!
//! A comment is a line of its own and starts with `;` or `#`. Quotes have no special meaning, and
//! a backslash outside a comment is refused. All mistakes in a file are reported, not only the
//! first.

mod lines;
mod section;
mod value;

pub(crate) use section::{RANGE_PREFIX, SHARE_PREFIX};
pub(crate) use value::{MAX_DECIMAL_VALUE, is_path_prefix, is_version};

use std::collections::BTreeMap;

use crate::{
    entry::{Entry, EntryKey},
    fault::{Fault, FaultKind, Faults},
    render,
};

/// The text of one file.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// The file's name, used only in fault messages.
    pub file: &'a str,
    /// The file's contents.
    pub text: &'a str,
}

/// An entry with the name of the file that declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredEntry {
    /// The entry.
    pub entry: Entry,
    /// The file's name.
    pub file: String,
}

/// The entries of one or more files.
///
/// Invariant: no two entries have the same key, and each entry is stored under its own key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations(BTreeMap<EntryKey, DeclaredEntry>);

impl Declarations {
    /// The entries in key order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.0.values().map(|d| &d.entry)
    }

    /// Sets the file name in every fault whose section one of these declarations declares.
    pub fn locate(&self, faults: &mut [Fault]) {
        let files: BTreeMap<String, &str> = self
            .0
            .iter()
            .map(|(key, d)| (render::section(key), d.file.as_str()))
            .collect();
        for fault in faults {
            let section = fault.section.as_deref().unwrap_or_default();
            if let Some(file) = files.get(section) {
                fault.file = (*file).to_owned();
            }
        }
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl TryFrom<&[Source<'_>]> for Declarations {
    type Error = Faults;

    fn try_from(sources: &[Source<'_>]) -> Result<Self, Faults> {
        let mut found = Self::default();
        let mut faults = Vec::new();
        for source in sources {
            found.read(*source, &mut faults);
        }
        if faults.is_empty() {
            Ok(found)
        } else {
            Err(Faults(faults))
        }
    }
}

impl TryFrom<Source<'_>> for Vec<Entry> {
    type Error = Faults;

    fn try_from(source: Source<'_>) -> Result<Self, Faults> {
        let found = Declarations::try_from([source].as_slice())?;
        Ok(found.0.into_values().map(|d| d.entry).collect())
    }
}

impl Declarations {
    /// Adds the entries of `source`, and its mistakes to `faults`.
    fn read(&mut self, source: Source<'_>, faults: &mut Vec<Fault>) {
        let text = lines::normalise(source, faults);
        let ini = match lines::parse(&text) {
            Ok(ini) => ini,
            Err(e) => {
                let fault = Fault::new(FaultKind::Syntax, source.file, "`key = value`")
                    .at_line(e.line)
                    .with_value(e.msg);
                faults.push(fault);
                return;
            }
        };
        for (name, properties) in &ini {
            let Some(name) = name else {
                for (key, value) in properties.iter() {
                    let fault = Fault::new(
                        FaultKind::Section,
                        source.file,
                        "a section before the first key",
                    )
                    .at_key(key)
                    .with_value(value);
                    faults.push(fault);
                }
                continue;
            };
            let section = section::Section {
                file: source.file,
                name,
                properties,
            };
            if let Some(entry) = section.entry(faults) {
                self.add(entry, source.file, faults);
            }
        }
    }

    /// Adds one entry, or a fault if its key is already declared.
    fn add(&mut self, entry: Entry, file: &str, faults: &mut Vec<Fault>) {
        let key = entry.key();
        if let Some(first) = self.0.get(&key) {
            let expected = format!("one section for each entry; the first is in {}", first.file);
            let fault = Fault::new(FaultKind::Duplicate, file, expected);
            faults.push(fault.in_section(&render::section(&key)));
            return;
        }
        let declared = DeclaredEntry {
            entry,
            file: file.to_owned(),
        };
        self.0.insert(key, declared);
    }
}
