//! Inserts of calls that were refused or not dispatched in time. Their keys are marked as abandoned
//! in the background.

use std::time::Duration;

use dragonflyrill_store::{
    PlatformError,
    table::{Op, Txn, TxnOutcome},
};

use super::{
    Config,
    batch::{self, Insert},
    row::{Bucket, Record, RecordState, RowVersion},
};

/// The delay before the second attempt; it doubles with each further attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum delay between attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// An insert that may have taken effect, or still may, and whose call is never dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AbandonedInsert {
    key: String,
    bucket: Bucket,
    /// The record to write: that of the insert, with its own write id, in state `Abandoned`.
    record: Record,
    /// The row that the insert replaces, and still may replace.
    replaces: Option<RowVersion>,
    /// The existing row that the next attempt changes.
    found_row: Option<RowVersion>,
    attempts: u32,
    /// When the next attempt is due.
    pub(super) due: Duration,
}

impl AbandonedInsert {
    pub(super) fn new(now: Duration, insert: Insert) -> Self {
        let state = RecordState::Abandoned;
        Self {
            key: insert.key,
            bucket: insert.bucket,
            record: Record {
                state,
                ..insert.record
            },
            replaces: insert.replaces,
            found_row: None,
            attempts: 0,
            due: now,
        }
    }

    /// The write id of the abandoned insert.
    pub(super) fn write_id(&self) -> &str {
        &self.record.write_id
    }

    /// Builds the transaction that marks the key. An existing row is changed even if it is
    /// abandoned already, so that a lost insert that replaces this row can't take effect late.
    pub(super) fn txn(&self, cfg: &Config) -> Txn {
        let mut txn = Txn::default();
        let own = self.bucket.key(cfg, &self.key);
        let found_row = self.found_row.as_ref();
        batch::absent_or_unchanged(cfg, self.bucket, &self.key, found_row, &mut txn);
        txn.ops.push(Op::Put {
            key: found_row.map_or(own, |found_row| found_row.key.clone()),
            value: self.record.encode(),
        });
        txn
    }

    /// Handles the result of an attempt. Returns `self` if another attempt is needed. On `None` the
    /// insert can't take effect any more, its row is in state `Abandoned`, the row belongs to
    /// another call or can't be read, or all attempts are used up.
    pub(super) fn on_answer(
        mut self,
        cfg: &Config,
        now: Duration,
        result: Result<TxnOutcome, PlatformError>,
    ) -> Option<Self> {
        self.attempts += 1;
        if self.attempts >= cfg.max_mark_attempts {
            log::warn!(
                "record: {} stays in state begun: marking it as abandoned failed.",
                self.key
            );
            return None;
        }
        let Ok(outcome) = result else {
            let factor = 2u32.saturating_pow(self.attempts - 1);
            self.due = now
                + FIRST_RETRY_DELAY
                    .saturating_mul(factor)
                    .min(MAX_RETRY_DELAY);
            return Some(self);
        };
        if outcome.succeeded {
            return None;
        }
        self.due = now;
        let Some(row) = batch::newest_row(&outcome.rows) else {
            self.found_row = None;
            return Some(self);
        };
        let found = Record::decode(row)?;
        let own = found.write_id == self.record.write_id;
        let found_row = RowVersion::of(row);
        if self.replaces.as_ref() == Some(&found_row) {
            return self.mark_row(found_row);
        }
        match found.state {
            RecordState::Abandoned if own => None,
            RecordState::Begun if own => self.mark_row(found_row),
            RecordState::Abandoned => self.mark_row(found_row),
            RecordState::Begun | RecordState::Done { .. } | RecordState::Failed => None,
        }
    }

    fn mark_row(mut self, found_row: RowVersion) -> Option<Self> {
        self.found_row = Some(found_row);
        Some(self)
    }
}
