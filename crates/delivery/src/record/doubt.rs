//! Keys whose write was given up: they are to be marked as abandoned.

use std::time::Duration;

use dragonflyrill_store::{
    PlatformError,
    table::{Op, Txn, TxnOutcome},
};

use super::{
    Config,
    batch::{self, Write},
    row::{Bucket, Record, RecordState, Seen},
};

/// The wait before the second try; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// The longest wait between tries.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// A write that may have taken effect, or may still, and whose call is never to be dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Doubt {
    key: String,
    bucket: Bucket,
    /// What is to stand in the table: the write's own id, abandoned.
    record: Record,
    /// The row that the write takes over, and may still.
    takes_over: Option<Seen>,
    seen: Option<Seen>,
    tried: u32,
    /// When the next try is due.
    pub(super) due: Duration,
}

impl Doubt {
    pub(super) fn new(now: Duration, write: Write) -> Self {
        let state = RecordState::Abandoned;
        Self {
            key: write.key,
            bucket: write.bucket,
            record: Record {
                state,
                ..write.record
            },
            takes_over: write.takes_over,
            seen: None,
            tried: 0,
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
        let seen = self.seen.as_ref();
        batch::absent_or_seen(cfg, self.bucket, &self.key, seen, &mut txn);
        txn.ops.push(Op::Put {
            key: seen.map_or(own, |seen| seen.key.clone()),
            value: self.record.encode(),
        });
        txn
    }

    /// Learns how a try ended. Answers itself if it is to be tried again; else the write can't take
    /// effect any more, or its row says abandoned.
    pub(super) fn answered(
        mut self,
        cfg: &Config,
        now: Duration,
        result: Result<TxnOutcome, PlatformError>,
    ) -> Option<Self> {
        self.tried += 1;
        if self.tried >= cfg.doubt_tries {
            log::warn!("record: {} stays as begun: it can't be marked.", self.key);
            return None;
        }
        let Ok(outcome) = result else {
            let factor = 2u32.saturating_pow(self.tried - 1);
            self.due = now + FIRST_WAIT.saturating_mul(factor).min(MAX_WAIT);
            return Some(self);
        };
        if outcome.succeeded {
            return None;
        }
        self.due = now;
        let Some(row) = batch::newest(&outcome.rows) else {
            self.seen = None;
            return Some(self);
        };
        let found = Record::decode(row)?;
        let own = found.write_id == self.record.write_id;
        let seen = Seen::of(row);
        if self.takes_over.as_ref() == Some(&seen) {
            return self.mark(seen);
        }
        match found.state {
            RecordState::Abandoned if own => None,
            RecordState::Begun if own => self.mark(seen),
            RecordState::Abandoned => self.mark(seen),
            RecordState::Begun | RecordState::Done { .. } | RecordState::Failed => None,
        }
    }

    fn mark(mut self, seen: Seen) -> Option<Self> {
        self.seen = Some(seen);
        Some(self)
    }
}
