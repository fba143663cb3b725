//! Transactions that renew, acquire or read several leases.
//!
//! A transaction is atomic, so one lost lease fails the whole batch. The failure branch of the
//! transaction reads every row of the batch, so that the same round trip shows which leases are
//! lost.

use std::time::Duration;

use dragonflyrill_store::table::{Condition, Op, Row, TableCall, Txn, TxnOutcome};

use super::{
    LeaseName, LeaseRow,
    slot::{Intent, RowState},
};

/// The entry of one lease in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct BatchEntry {
    pub(super) name: LeaseName,
    /// The row that the write replaces, as last known. The transaction fails if the row has
    /// changed.
    pub(super) expected: RowState,
    /// The row to write; `None` to only read the row.
    pub(super) write: Option<LeaseRow>,
}

/// A transaction whose result is pending.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Batch {
    pub(super) intent: Intent,
    /// Time read before the transaction was sent.
    pub(super) sent_at: Duration,
    /// The highest table revision known when the transaction was sent.
    pub(super) known_revision: u64,
    pub(super) entries: Vec<BatchEntry>,
}

impl Batch {
    pub(super) fn call(&self) -> TableCall {
        if self.intent == Intent::Read {
            let keys = self.entries.iter().map(|entry| entry.name.key());
            return TableCall::Read(keys.collect());
        }
        TableCall::Write(Txn {
            conditions: self.entries.iter().map(condition).collect(),
            ops: self.entries.iter().filter_map(put).collect(),
        })
    }

    /// Returns the state of each entry's row after the transaction, in the order of the entries.
    pub(super) fn results(&self, outcome: &TxnOutcome) -> Vec<RowState> {
        if self.intent != Intent::Read && outcome.succeeded {
            let written = |entry: &BatchEntry| written_state(entry, outcome.table_revision);
            return self.entries.iter().map(written).collect();
        }
        let mut rows = outcome.rows.iter();
        let mut found = |entry: &BatchEntry| match rows.next() {
            Some(row) => row_state(entry, row.as_ref()),
            None => entry.expected.clone(),
        };
        self.entries.iter().map(&mut found).collect()
    }
}

fn condition(entry: &BatchEntry) -> Condition {
    let key = entry.name.key();
    match entry.expected {
        RowState::Present { mod_revision, .. } | RowState::Malformed { mod_revision } => {
            Condition::Unchanged { key, mod_revision }
        }
        RowState::Unread | RowState::Absent => Condition::Absent(key),
    }
}

fn put(entry: &BatchEntry) -> Option<Op> {
    let row = entry.write.as_ref()?;
    Some(Op::Put {
        key: entry.name.key(),
        value: row.encode(),
    })
}

fn written_state(entry: &BatchEntry, mod_revision: u64) -> RowState {
    match &entry.write {
        Some(row) => RowState::Present {
            row: row.clone(),
            mod_revision,
        },
        None => entry.expected.clone(),
    }
}

fn row_state(entry: &BatchEntry, found: Option<&Row>) -> RowState {
    let Some(found) = found else {
        return RowState::Absent;
    };
    let mod_revision = found.mod_revision;
    match LeaseRow::decode(&found.value) {
        Ok(row) => RowState::Present { row, mod_revision },
        Err(e) => {
            log::error!("lease: {}: cannot decode the lease row: {e}", entry.name);
            RowState::Malformed { mod_revision }
        }
    }
}
