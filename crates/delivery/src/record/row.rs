//! What stands in the table.

use std::time::Duration;

use dragonflyrill_protocol::{HostRef, found::CallAnswer};
use dragonflyrill_store::table::Row;
use serde::{Deserialize, Serialize};

use super::Config;
use crate::error::AfterDispatchKind;

/// How a recorded call stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// Its writer may have dispatched it.
    Begun,
    /// It ran.
    Done {
        /// The answer, if it was small enough to keep.
        answer: Option<CallAnswer>,
    },
    /// It was dispatched and may have run; its answer is lost.
    Failed,
    /// Its writer has not dispatched it and never will.
    Abandoned,
}

/// One call that is not repeatable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The write that put this here, unique over all lives of all hosts.
    pub write_id: String,
    /// Who wrote it; only this life of this host may dispatch the call.
    pub writer: HostRef,
    /// Hash of what was asked.
    pub fingerprint: u64,
    /// How the call stands.
    pub state: RecordState,
}

impl Record {
    /// What a caller that asks for the call again is told; `None` if the answer is at hand.
    pub fn error(&self) -> Option<AfterDispatchKind> {
        match &self.state {
            RecordState::Done { answer: Some(_) } => None,
            RecordState::Done { answer: None } => Some(AfterDispatchKind::AnswerNotKept),
            RecordState::Failed => Some(AfterDispatchKind::EndpointFailed),
            RecordState::Begun | RecordState::Abandoned => {
                Some(AfterDispatchKind::RunningElsewhere)
            }
        }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a row; `None` if it is not a record.
    pub(super) fn decode(row: &Row) -> Option<Self> {
        serde_json::from_slice(&row.value)
            .inspect_err(|e| log::error!("record: {} can't be read: {e}.", row.key))
            .ok()
    }
}

/// A row as it was read, for a write that depends on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RowVersion {
    pub(super) key: String,
    pub(super) mod_revision: u64,
}

impl RowVersion {
    pub(super) fn of(row: &Row) -> Self {
        Self {
            key: row.key.clone(),
            mod_revision: row.mod_revision,
        }
    }
}

/// The number of a time bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Bucket(pub(super) u64);

impl Bucket {
    pub(super) fn at(cfg: &Config, now: Duration) -> Self {
        let unix = cfg.unix_origin.saturating_add(now);
        Self((unix.as_nanos() / cfg.bucket_length.as_nanos().max(1)) as u64)
    }

    /// The table's key of the caller's `key` in this bucket. Keys sort by bucket.
    pub(super) fn key(self, cfg: &Config, key: &str) -> String {
        format!("{}{:012}/{key}", cfg.prefix, self.0)
    }

    /// The buckets in which a key that is begun in this one must be absent.
    pub(super) fn checked(self) -> [Self; 3] {
        [Self(self.0.saturating_sub(1)), self, Self(self.0 + 1)]
    }
}
