//! The catalogue in the platform: one order of changes, and snapshots to start from.
//!
//! | place | contents |
//! |---|---|
//! | table `catalogue/head` | [`Head`]: the newest revision, the id of its change, and the log it is in |
//! | table `catalogue/changes/LOG/REVISION` | one [`Change`]; the numbers have 8 and 20 digits |
//! | table `catalogue/snapshot` | the [`Head`] of the newest snapshot |
//! | objects `catalogue-snapshot-REVISION-CHANGE` | all entries in force at that revision |
//!
//! A log is a run of changes without gaps. A restoration begins a new one, so that the changes
//! before it are out of sight at the moment at which it takes effect, however many they are.
//!
//! A change is accepted by one transaction that writes the head and the change, on condition that
//! the head is the one that was read. All values are JSON.

mod commit;
mod read;
mod restore;
mod snapshot;

use std::cell::Cell;

use dragonflyrill_catalogue::state::{Change, ChangeId, Revision};
use serde::{Deserialize, Serialize};

use crate::{
    error::PlatformError,
    table::{KeyRange, TableApi, retry::Retry},
};

pub use commit::{Commit, Proposal};
pub use restore::Restoration;
pub use snapshot::{Loaded, SnapshotStore};

pub(crate) const HEAD_KEY: &str = "catalogue/head";
pub(crate) const CHANGES_PREFIX: &str = "catalogue/changes/";
pub(crate) const SNAPSHOT_KEY: &str = "catalogue/snapshot";

/// The number of a log of changes. Grows with each restoration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct LogNumber(pub(crate) u64);

impl LogNumber {
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Before the revisions in the keys of its changes. Keys sort by log.
    fn prefix(self) -> String {
        format!("{CHANGES_PREFIX}{:08}/", self.0)
    }

    /// The key of the change with `revision`.
    pub(crate) fn change_key(self, revision: Revision) -> String {
        format!("{}{:020}", self.prefix(), revision.0)
    }

    /// The changes from `first` on.
    pub(crate) fn changes_from(self, first: Revision) -> KeyRange {
        let mut range = KeyRange::prefix(&self.prefix());
        range.start = self.change_key(first);
        range
    }

    /// All changes before `revision`, those of earlier logs included.
    pub(crate) fn changes_before(self, revision: Revision) -> KeyRange {
        KeyRange::between(CHANGES_PREFIX, &self.change_key(revision))
    }
}

/// The newest accepted change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Its revision; 0 where nothing was accepted yet.
    pub revision: Revision,
    /// Its id; empty where nothing was accepted yet.
    pub change_id: String,
}

/// Why the catalogue can't be read or changed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The platform did not do its part.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// The store holds an older catalogue than was seen before. Nothing of it may be used: it has
    /// to be brought forward again first.
    #[error(
        "the store went back: revision {} (change {:?}) was seen, it now holds revision {} (change {:?})",
        .seen.revision.0, .seen.change_id, .found.revision.0, .found.change_id
    )]
    Older {
        /// The newest head that was seen.
        seen: Head,
        /// What the store holds now.
        found: Head,
    },
    /// Changes that should be there are missing.
    #[error("the changes after revision {} are not in the store", .after.0)]
    Missing {
        /// The last revision before the gap.
        after: Revision,
    },
}

/// The catalogue's place in the platform's table.
pub struct CatalogueStore<T> {
    table: T,
    retry: Retry,
    /// The newest head seen. Only grows.
    seen: Cell<Head>,
}

impl<T: TableApi> CatalogueStore<T> {
    /// A store in `table`; calls are repeated as `retry` says.
    pub fn new(table: T, retry: Retry) -> Self {
        Self {
            table,
            retry,
            seen: Cell::default(),
        }
    }

    /// Raises the head below which the store counts as gone back, to what a host has in force.
    pub fn note_seen(&self, head: Head) {
        let seen = self.seen.take();
        let newest = if head.revision > seen.revision {
            head
        } else {
            seen
        };
        self.seen.set(newest);
    }

    /// The newest head seen.
    pub fn seen(&self) -> Head {
        let seen = self.seen.take();
        self.seen.set(seen.clone());
        seen
    }
}

/// Reads a stored JSON value.
pub(crate) fn decode<D: for<'de> Deserialize<'de>>(
    key: &str,
    raw: &[u8],
) -> Result<D, PlatformError> {
    let value = serde_json::from_slice(raw);
    value.map_err(|e| PlatformError::Malformed(format!("{key}: {e}")))
}

/// Writes a JSON value as it is stored.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(|e| PlatformError::Malformed(e.to_string()))
}

/// Finds the change `change_id` among `changes`.
pub(crate) fn find<'a>(changes: &'a [Change], change_id: &ChangeId) -> Option<&'a Change> {
    changes.iter().find(|c| c.change_id == change_id.as_str())
}
