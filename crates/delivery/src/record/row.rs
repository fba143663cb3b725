//! The rows of the table.

use std::time::Duration;

use dragonflyrill_protocol::{HostRef, found::CallAnswer};
use dragonflyrill_store::table::Row;
use serde::{Deserialize, Serialize};

use super::Config;
use crate::error::AfterDispatchKind;

/// The state of a recorded call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The writer may have dispatched the call.
    Begun,
    /// The call ran.
    Done {
        /// The answer, if it was small enough to keep.
        answer: Option<CallAnswer>,
    },
    /// The call was dispatched and may have run; its answer is lost.
    Failed,
    /// The writer has not dispatched the call and never will.
    Abandoned,
}

/// The record of one call that is not repeatable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The id of the insert that wrote this record, unique over all incarnations of all hosts.
    pub write_id: String,
    /// The host that wrote this record; only this incarnation of it may dispatch the call.
    pub writer: HostRef,
    /// The hash of the call's content.
    pub fingerprint: u64,
    /// The state of the call.
    pub state: RecordState,
}

impl Record {
    /// The error for a caller that retries the call; `None` if the record holds the answer.
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

    /// Decodes a row; `None`, with a log line, if it is not a record.
    pub(super) fn decode(row: &Row) -> Option<Self> {
        serde_json::from_slice(&row.value)
            .inspect_err(|e| log::error!("record: {} can't be read: {e}.", row.key))
            .ok()
    }
}

/// The key and revision of a row that was read, for a transaction that depends on it.
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

    /// The key in the table of the caller's `key` in this bucket. Keys sort by bucket.
    pub(super) fn key(self, cfg: &Config, key: &str) -> String {
        format!("{}{:012}/{key}", cfg.prefix, self.0)
    }

    /// The buckets from which a key must be absent before it is inserted into this bucket.
    pub(super) fn checked(self) -> [Self; 3] {
        [Self(self.0.saturating_sub(1)), self, Self(self.0 + 1)]
    }
}
