//! The differences between two sets of entries, as the puts and deletes of a change.

use std::{collections::BTreeMap, fmt};

use crate::{
    entry::{Entry, EntryKey},
    render,
    state::Catalogue,
};

/// One entry that differs.
#[derive(Debug, Clone, PartialEq)]
pub enum Difference {
    /// The entry is only among the wanted ones.
    Created(Entry),
    /// The entry is in both sets, with different values.
    Replaced {
        /// The entry in force.
        old: Entry,
        /// The wanted entry.
        new: Entry,
    },
    /// The entry is only among those in force.
    Removed(Entry),
}

/// The differences between the entries in force and the wanted ones, in key order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Diff(pub Vec<Difference>);

/// What happens to entries in force that are not among the wanted ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UndeclaredEntries {
    /// They stay.
    Keep,
    /// They are removed.
    Prune,
}

impl Diff {
    /// Compares the entries in force with the wanted ones.
    pub fn between<'a>(
        current: &Catalogue,
        wanted: impl IntoIterator<Item = &'a Entry>,
        undeclared: UndeclaredEntries,
    ) -> Self {
        let wanted: BTreeMap<EntryKey, &Entry> = wanted.into_iter().map(|e| (e.key(), e)).collect();
        let mut found = BTreeMap::new();
        for (key, new) in &wanted {
            match current.get(key) {
                None => drop(found.insert(key.clone(), Difference::Created((*new).clone()))),
                Some(old) if old == *new => {}
                Some(old) => {
                    let (old, new) = (old.clone(), (*new).clone());
                    found.insert(key.clone(), Difference::Replaced { old, new });
                }
            }
        }
        if undeclared == UndeclaredEntries::Prune {
            for old in current.entries() {
                if !wanted.contains_key(&old.key()) {
                    found.insert(old.key(), Difference::Removed(old.clone()));
                }
            }
        }
        Self(found.into_values().collect())
    }

    /// Whether both sets of entries are equal.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The entries to create or replace.
    pub fn puts(&self) -> Vec<Entry> {
        let puts = self.0.iter().filter_map(|d| match d {
            Difference::Created(new) | Difference::Replaced { new, .. } => Some(new.clone()),
            Difference::Removed(_) => None,
        });
        puts.collect()
    }

    /// The entries to remove.
    pub fn deletes(&self) -> Vec<EntryKey> {
        let deletes = self.0.iter().filter_map(|d| match d {
            Difference::Removed(old) => Some(old.key()),
            Difference::Created(_) | Difference::Replaced { .. } => None,
        });
        deletes.collect()
    }
}

/// Writes one line for each entry that differs. The values of a created entry and the changed
/// values of a replaced one follow on lines of their own.
impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|d| d.fmt(f))
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Created(new) => {
                writeln!(f, "+ [{}]", render::section(&new.key()))?;
                for p in render::properties(new) {
                    writeln!(f, "    {} = {}", p.key, p.value)?;
                }
                Ok(())
            }
            Self::Removed(old) => writeln!(f, "- [{}]", render::section(&old.key())),
            Self::Replaced { old, new } => {
                writeln!(f, "~ [{}]", render::section(&new.key()))?;
                let old = property_values(old);
                let new = property_values(new);
                for (key, value) in &old {
                    match new.get(key) {
                        Some(now) if now == value => {}
                        Some(now) => writeln!(f, "    {key}: {value} -> {now}")?,
                        None => writeln!(f, "    {key}: {value} -> none")?,
                    }
                }
                for (key, value) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
                    writeln!(f, "    {key}: none -> {value}")?;
                }
                Ok(())
            }
        }
    }
}

fn property_values(entry: &Entry) -> BTreeMap<String, String> {
    let properties = render::properties(entry).into_iter();
    properties.map(|p| (p.key, p.value)).collect()
}
