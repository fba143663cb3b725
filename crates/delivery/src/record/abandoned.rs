//! Keys whose write was given up: they are to be marked as abandoned.

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

/// The wait before the second try; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The longest wait between tries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// A write that may have taken effect, or may still, and whose call is never to be dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AbandonedInsert {
    key: String,
    bucket: Bucket,
    /// What is to stand in the table: the write's own id, abandoned.
    record: Record,
    /// The row that the write takes over, and may still.
    replaces: Option<RowVersion>,
    found_row: Option<RowVersion>,
    attempts: u32,
    /// When the next try is due.
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

    /// The write that was given up.
    pub(super) fn write_id(&self) -> &str {
        &self.record.write_id
    }

    /// Marks the key. The row it meets is changed even if it is abandoned already, so that no lost
    /// takeover of that row takes effect late.
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

    /// Learns how a try ended. Answers itself if it is to be tried again; else the write can't take
    /// effect any more, or its row says abandoned.
    pub(super) fn on_answer(
        mut self,
        cfg: &Config,
        now: Duration,
        result: Result<TxnOutcome, PlatformError>,
    ) -> Option<Self> {
        self.attempts += 1;
        if self.attempts >= cfg.max_mark_attempts {
            log::warn!("record: {} stays as begun: it can't be marked.", self.key);
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
