//! Many leases in one transaction.
//!
//! A transaction is all or nothing, so one lost lease fails the whole batch. Its failure branch
//! reads every row of the batch, which tells the lost leases from the others in the same round trip.

use std::time::Duration;

use dragonflyrill_store::table::{Condition, Op, Row, TableCall, Txn, TxnOutcome};

use super::{
    LeaseName, LeaseRow,
    slot::{Intent, Known},
};

/// One lease's part in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Part {
    pub(super) name: LeaseName,
    /// The row that the write replaces.
    pub(super) base: Known,
    /// The row to write; `None` only reads.
    pub(super) write: Option<LeaseRow>,
}

/// A transaction without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Batch {
    pub(super) intent: Intent,
    /// Before it was sent.
    pub(super) sent: Duration,
    /// The highest revision of the table known then.
    pub(super) revision: u64,
    pub(super) parts: Vec<Part>,
}

impl Batch {
    pub(super) fn call(&self) -> TableCall {
        if self.intent == Intent::Read {
            let keys = self.parts.iter().map(|part| part.name.key());
            return TableCall::Read(keys.collect());
        }
        TableCall::Write(Txn {
            conditions: self.parts.iter().map(condition).collect(),
            ops: self.parts.iter().filter_map(put).collect(),
        })
    }

    /// What each part's row is after the transaction.
    pub(super) fn results(&self, outcome: &TxnOutcome) -> Vec<Known> {
        if self.intent != Intent::Read && outcome.succeeded {
            let written = |part: &Part| written(part, outcome.table_revision);
            return self.parts.iter().map(written).collect();
        }
        let mut rows = outcome.rows.iter();
        let mut found = |part: &Part| match rows.next() {
            Some(row) => known(part, row.as_ref()),
            None => part.base.clone(),
        };
        self.parts.iter().map(&mut found).collect()
    }
}

fn condition(part: &Part) -> Condition {
    let key = part.name.key();
    match part.base {
        Known::Present { mod_revision, .. } | Known::Malformed { mod_revision } => {
            Condition::Unchanged { key, mod_revision }
        }
        Known::Unread | Known::Absent => Condition::Absent(key),
    }
}

fn put(part: &Part) -> Option<Op> {
    let row = part.write.as_ref()?;
    Some(Op::Put {
        key: part.name.key(),
        value: row.encode(),
    })
}

fn written(part: &Part, mod_revision: u64) -> Known {
    match &part.write {
        Some(row) => Known::Present {
            row: row.clone(),
            mod_revision,
        },
        None => part.base.clone(),
    }
}

fn known(part: &Part, found: Option<&Row>) -> Known {
    let Some(found) = found else {
        return Known::Absent;
    };
    let mod_revision = found.mod_revision;
    match LeaseRow::decode(&found.value) {
        Ok(row) => Known::Present { row, mod_revision },
        Err(e) => {
            log::error!("lease: {}: the row is no lease: {e}", part.name);
            Known::Malformed { mod_revision }
        }
    }
}
