//! An in-memory table for tests, model checking and benchmarks of code that uses a table.

use std::collections::BTreeMap;

use super::{Condition, KeyRange, Op, Row, Rows, TableCall, Txn, TxnOutcome};

/// An in-memory table. Each call is atomic and never fails.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct MemoryTable {
    /// The revision of the last write.
    revision: u64,
    /// By key, the value and the revision that wrote it.
    rows: BTreeMap<String, (Vec<u8>, u64)>,
}

impl MemoryTable {
    /// Executes a call.
    pub fn call(&mut self, call: &TableCall) -> TxnOutcome {
        match call {
            TableCall::Read(keys) => TxnOutcome {
                rows: keys.iter().map(|key| self.row(key)).collect(),
                ..TxnOutcome::done(self.revision)
            },
            TableCall::Write(txn) => self.txn(txn),
            TableCall::RemoveAll(range) => {
                self.revision += 1;
                self.rows.retain(|key, _| !range.contains(key));
                TxnOutcome::done(self.revision)
            }
        }
    }

    /// Runs a transaction.
    pub fn txn(&mut self, txn: &Txn) -> TxnOutcome {
        let holds = |c: &Condition| c.holds(self.rows.get(c.key()).map(|(_, at)| *at));
        if !txn.conditions.iter().all(holds) {
            return TxnOutcome {
                succeeded: false,
                table_revision: self.revision,
                rows: txn.conditions.iter().map(|c| self.row(c.key())).collect(),
            };
        }
        self.revision += 1;
        for op in &txn.ops {
            match op {
                Op::Put { key, value } => {
                    let row = (value.clone(), self.revision);
                    self.rows.insert(key.clone(), row);
                }
                Op::Remove(key) => drop(self.rows.remove(key)),
            }
        }
        TxnOutcome::done(self.revision)
    }

    /// Reads a range, at most `limit` keys; 0 is no limit.
    pub fn range(&self, range: &KeyRange, limit: usize) -> Rows {
        let from = self.rows.range(range.start.clone()..);
        let within = from.take_while(|(key, _)| range.contains(key));
        let mut rows: Vec<Row> = within.filter_map(|(key, _)| self.row(key)).collect();
        let more = limit > 0 && rows.len() > limit;
        if more {
            rows.truncate(limit);
        }
        Rows {
            table_revision: self.revision,
            rows,
            more,
        }
    }

    /// Reads one row.
    pub fn row(&self, key: &str) -> Option<Row> {
        let (value, mod_revision) = self.rows.get(key)?;
        Some(Row {
            key: key.to_owned(),
            value: value.clone(),
            mod_revision: *mod_revision,
        })
    }

    /// All keys, in order.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(String::as_str)
    }

    /// Replaces the rows with those of `copy` and leaves the table's revision as it is, like the
    /// restoration of a backup.
    pub fn restore(&mut self, copy: &Self) {
        self.rows.clone_from(&copy.rows);
    }
}
