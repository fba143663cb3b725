//! Accepted changes and the catalogue into which they are folded.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, EntryKey};

/// The position of an accepted change in the total order of changes. 0 is the empty catalogue.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The maximum length of a [`ChangeId`], in bytes.
pub const MAX_CHANGE_ID_LEN: usize = 64;

/// The validated id of a change, which can be part of keys and paths of the platform.
///
/// Invariant: 1 to [`MAX_CHANGE_ID_LEN`] characters of `A-Z a-z 0-9 _ -`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(String);

/// The error of a string that is not a valid [`ChangeId`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is not a change id: expected 1 to {MAX_CHANGE_ID_LEN} of A-Z, a-z, 0-9, '_' and '-'"
)]
pub struct ChangeIdError(pub String);

impl ChangeId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(raw: &str) -> Result<Self, ChangeIdError> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b == b'-';
        if raw.is_empty() || raw.len() > MAX_CHANGE_ID_LEN || !raw.bytes().all(allowed) {
            return Err(ChangeIdError(raw.to_owned()));
        }
        Ok(Self(raw.to_owned()))
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One accepted change: all of its entries come into force together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision of the catalogue after this change.
    pub revision: Revision,
    /// The id that the operator gave the change. It identifies the change after a lost response.
    pub change_id: String,
    /// The author of the change.
    pub author: String,
    /// The time of acceptance by the operator's clock, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Entries created or replaced.
    pub puts: Vec<Entry>,
    /// Entries removed.
    pub deletes: Vec<EntryKey>,
}

/// The catalogue as of one revision.
///
/// Invariant: `revision` never decreases, and `entries` is the result of all changes up to it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalogue {
    revision: Revision,
    entries: BTreeMap<EntryKey, Entry>,
}

/// The outcome of [`Catalogue::fold`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The change is now in force.
    Applied,
    /// The change, or a later one, was already in force.
    AlreadyApplied,
    /// Changes before this one are missing. The catalogue is unchanged.
    Gap,
}

impl Catalogue {
    /// Rebuilds a catalogue from a snapshot.
    pub fn from_entries(revision: Revision, entries: impl IntoIterator<Item = Entry>) -> Self {
        let entries = entries.into_iter().map(|e| (e.key(), e)).collect();
        Self { revision, entries }
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The entries in force, in key order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The entry in force under `key`, if any.
    pub fn get(&self, key: &EntryKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Folds `change` into the catalogue if it has the next revision.
    pub fn fold(&mut self, change: &Change) -> FoldOutcome {
        if change.revision <= self.revision {
            return FoldOutcome::AlreadyApplied;
        }
        if change.revision != self.revision.next() {
            return FoldOutcome::Gap;
        }
        for key in &change.deletes {
            self.entries.remove(key);
        }
        for entry in &change.puts {
            self.entries.insert(entry.key(), entry.clone());
        }
        self.revision = change.revision;
        FoldOutcome::Applied
    }
}
