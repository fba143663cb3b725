//! The catalogue in the platform's store: a totally ordered log of changes, and snapshots from
//! which a host starts.
//!
//! | location | contents |
//! |---|---|
//! | table `catalogue/head` | [`Head`]: the newest revision, the id of its change, and the log that contains it |
//! | table `catalogue/changes/LOG/REVISION` | one [`Change`]; the numbers are padded to 8 and 20 digits |
//! | table `catalogue/snapshot` | the [`Head`] of the newest snapshot |
//! | objects `catalogue-snapshot-REVISION-CHANGE` | all entries in force at that revision |
//!
//! A log is a sequence of changes without gaps. A restoration starts a new log, so that all earlier
//! changes become invisible at the moment at which it takes effect, however many they are.
//!
//! A change is accepted by one transaction that writes the head and the change, on the condition
//! that the head has not changed since it was read. All values are JSON.

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

pub use commit::{CommitOutcome, Proposal};
pub use restore::Restoration;
pub use snapshot::{LoadedCatalogue, SnapshotStore};

pub(crate) const HEAD_KEY: &str = "catalogue/head";
pub(crate) const CHANGES_PREFIX: &str = "catalogue/changes/";
pub(crate) const SNAPSHOT_KEY: &str = "catalogue/snapshot";

/// The number of a log of changes. Each restoration increments it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct LogNumber(pub(crate) u64);

impl LogNumber {
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The prefix of the keys of the log's changes; the revision follows. Keys sort by log.
    fn prefix(self) -> String {
        format!("{CHANGES_PREFIX}{:08}/", self.0)
    }

    /// The key of the change that has `revision`.
    pub(crate) fn change_key(self, revision: Revision) -> String {
        format!("{}{:020}", self.prefix(), revision.0)
    }

    /// The keys of the log's changes from `first` on.
    pub(crate) fn changes_from(self, first: Revision) -> KeyRange {
        let mut range = KeyRange::prefix(&self.prefix());
        range.start = self.change_key(first);
        range
    }

    /// The keys of all changes before `revision`, including those of earlier logs.
    pub(crate) fn changes_before(self, revision: Revision) -> KeyRange {
        KeyRange::between(CHANGES_PREFIX, &self.change_key(revision))
    }
}

/// The newest accepted change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The change's revision; 0 if no change was accepted yet.
    pub revision: Revision,
    /// The change's id; empty if no change was accepted yet.
    pub change_id: String,
}

/// Why the catalogue cannot be read or changed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// A call to the platform failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// The store holds an older or different catalogue than it did before, for instance after the
    /// restoration of a backup. Its contents must not be used before a [`Restoration`].
    #[error(
        "the store went back: revision {} (change {:?}) was seen, it now holds revision {} (change {:?})",
        .seen.revision.0, .seen.change_id, .found.revision.0, .found.change_id
    )]
    RolledBack {
        /// The newest head seen before.
        seen: Head,
        /// The head that the store holds now.
        found: Head,
    },
    /// Expected changes are missing.
    #[error("the changes after revision {} are not in the store", .after.0)]
    Missing {
        /// The last revision before the gap.
        after: Revision,
    },
}

/// The catalogue in the platform's table.
pub struct CatalogueStore<T> {
    table: T,
    retry: Retry,
    /// The head with the highest revision seen. Its revision never decreases.
    seen: Cell<Head>,
}

impl<T: TableApi> CatalogueStore<T> {
    /// A store in `table` that retries failed calls by `retry`.
    pub fn new(table: T, retry: Retry) -> Self {
        Self {
            table,
            retry,
            seen: Cell::default(),
        }
    }

    /// Records `head` as seen, if its revision is the highest so far. A store whose head is older
    /// than this counts as rolled back. A host passes the head that it has in force.
    pub fn record_seen_head(&self, head: Head) {
        let seen = self.seen.take();
        let newest = if head.revision > seen.revision {
            head
        } else {
            seen
        };
        self.seen.set(newest);
    }

    /// The head with the highest revision seen.
    pub fn seen(&self) -> Head {
        let seen = self.seen.take();
        self.seen.set(seen.clone());
        seen
    }
}

/// Decodes the JSON value stored under `key`.
pub(crate) fn decode<D: for<'de> Deserialize<'de>>(
    key: &str,
    raw: &[u8],
) -> Result<D, PlatformError> {
    let value = serde_json::from_slice(raw);
    value.map_err(|e| PlatformError::Malformed(format!("{key}: {e}")))
}

/// Encodes a value as JSON, as it is stored.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(|e| PlatformError::Malformed(e.to_string()))
}

/// Finds the change with the id `change_id` in `changes`.
pub(crate) fn find<'a>(changes: &'a [Change], change_id: &ChangeId) -> Option<&'a Change> {
    changes.iter().find(|c| c.change_id == change_id.as_str())
}
