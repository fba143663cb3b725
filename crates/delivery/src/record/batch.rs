//! Transactions of many inserts and ends.

use std::time::Duration;

use dragonflyrill_store::table::{Condition, Op, Row, Txn};

use super::{
    Config, RecordTicket,
    row::{Bucket, Record, Seen},
};

/// Conditions of one insert, one for each of [`Bucket::checked`].
pub(super) const CONDITIONS_PER_WRITE: usize = 3;
/// Conditions and operations of one insert at most: it writes a row and may remove another.
pub(super) const ENTRIES_PER_WRITE: usize = CONDITIONS_PER_WRITE + 2;

/// One insert on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Write {
    pub(super) ticket: RecordTicket,
    /// The caller's key.
    pub(super) key: String,
    pub(super) bucket: Bucket,
    pub(super) record: Record,
    /// The begin of the call, from which its term runs.
    pub(super) began: Duration,
    /// The abandoned row that this write takes over.
    pub(super) takes_over: Option<Seen>,
    /// How often it was sent.
    pub(super) sent: u32,
    /// A sending without an answer may have taken effect, or may still.
    pub(super) in_doubt: bool,
}

/// The end of a call on its way: one put without a condition, as nobody else changes the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Ending {
    pub(super) key: String,
    pub(super) record: Record,
    pub(super) sent: u32,
}

/// Inserts and ends that share a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Batch {
    pub(super) writes: Vec<Write>,
    pub(super) endings: Vec<Ending>,
}

impl Batch {
    /// The transaction. It has [`CONDITIONS_PER_WRITE`] conditions for each write, in order.
    pub(super) fn txn(&self, cfg: &Config) -> Txn {
        let mut txn = Txn::default();
        for write in &self.writes {
            insert(cfg, write, &mut txn);
        }
        for ending in &self.endings {
            txn.ops.push(Op::Put {
                key: ending.key.clone(),
                value: ending.record.encode(),
            });
        }
        txn
    }
}

fn insert(cfg: &Config, write: &Write, txn: &mut Txn) {
    let own = write.bucket.key(cfg, &write.key);
    absent_or_seen(
        cfg,
        write.bucket,
        &write.key,
        write.takes_over.as_ref(),
        txn,
    );
    if let Some(old) = write.takes_over.as_ref().filter(|old| old.key != own) {
        txn.ops.push(Op::Remove(old.key.clone()));
    }
    txn.ops.push(Op::Put {
        key: own,
        value: write.record.encode(),
    });
}

/// Adds the conditions that `key` is in no bucket but as `seen`.
pub(super) fn absent_or_seen(
    cfg: &Config,
    bucket: Bucket,
    key: &str,
    seen: Option<&Seen>,
    txn: &mut Txn,
) {
    for bucket in bucket.checked() {
        let key = bucket.key(cfg, key);
        txn.conditions.push(match seen {
            Some(seen) if seen.key == key => Condition::Unchanged {
                key,
                mod_revision: seen.mod_revision,
            },
            _ => Condition::Absent(key),
        });
    }
}

/// The newest row among those of one key's conditions.
pub(super) fn newest(rows: &[Option<Row>]) -> Option<&Row> {
    rows.iter().flatten().max_by_key(|row| row.mod_revision)
}
