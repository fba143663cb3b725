//! Transactions that combine many inserts and end updates.

use std::time::Duration;

use dragonflyrill_store::table::{Condition, Op, Row, Txn};

use super::{
    Config, RecordTicket,
    row::{Bucket, Record, RowVersion},
};

/// The number of conditions of one insert: one for each bucket of [`Bucket::checked`].
pub(super) const CONDITIONS_PER_INSERT: usize = 3;
/// The maximum number of conditions and operations of one insert, which writes a row and may remove
/// another.
pub(super) const MAX_ENTRIES_PER_INSERT: usize = CONDITIONS_PER_INSERT + 2;

/// An insert that is queued, in flight, or belongs to a recorded call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Insert {
    pub(super) ticket: RecordTicket,
    /// The caller's key.
    pub(super) key: String,
    pub(super) bucket: Bucket,
    pub(super) record: Record,
    /// When the call was passed to the recorder; its term starts then.
    pub(super) started_at: Duration,
    /// The abandoned row that this insert replaces.
    pub(super) replaces: Option<RowVersion>,
    /// How many times the insert was sent.
    pub(super) sends: u32,
    /// Whether the insert was sent without getting an answer, so that it may have taken effect, or
    /// still may.
    pub(super) in_doubt: bool,
}

/// An update that records the end of a call: one put without a condition, as no other host changes
/// the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct EndUpdate {
    pub(super) key: String,
    pub(super) record: Record,
    pub(super) sends: u32,
}

/// Inserts and end updates that share a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Batch {
    pub(super) inserts: Vec<Insert>,
    pub(super) end_updates: Vec<EndUpdate>,
}

impl Batch {
    /// Builds the transaction. It has [`CONDITIONS_PER_INSERT`] conditions for each insert, in
    /// order.
    pub(super) fn txn(&self, cfg: &Config) -> Txn {
        let mut txn = Txn::default();
        for insert in &self.inserts {
            add_insert(cfg, insert, &mut txn);
        }
        for end_update in &self.end_updates {
            txn.ops.push(Op::Put {
                key: end_update.key.clone(),
                value: end_update.record.encode(),
            });
        }
        txn
    }
}

fn add_insert(cfg: &Config, insert: &Insert, txn: &mut Txn) {
    let own = insert.bucket.key(cfg, &insert.key);
    absent_or_unchanged(
        cfg,
        insert.bucket,
        &insert.key,
        insert.replaces.as_ref(),
        txn,
    );
    if let Some(old) = insert.replaces.as_ref().filter(|old| old.key != own) {
        txn.ops.push(Op::Remove(old.key.clone()));
    }
    txn.ops.push(Op::Put {
        key: own,
        value: insert.record.encode(),
    });
}

/// Adds the conditions that `key` is absent from all checked buckets, or unchanged at `found_row`.
pub(super) fn absent_or_unchanged(
    cfg: &Config,
    bucket: Bucket,
    key: &str,
    found_row: Option<&RowVersion>,
    txn: &mut Txn,
) {
    for bucket in bucket.checked() {
        let key = bucket.key(cfg, key);
        txn.conditions.push(match found_row {
            Some(found_row) if found_row.key == key => Condition::Unchanged {
                key,
                mod_revision: found_row.mod_revision,
            },
            _ => Condition::Absent(key),
        });
    }
}

/// The newest of the rows that were read for the conditions of one key.
pub(super) fn newest_row(rows: &[Option<Row>]) -> Option<&Row> {
    rows.iter().flatten().max_by_key(|row| row.mod_revision)
}
