//! The transactional table: typed reads and conditional writes.
//!
//! [`TableApi`] is what the rest of the system asks of the table; an adapter implements it, and
//! [`memory::MemoryTable`] is one for tests and searches. [`once`] and
//! [`catalogue_store`](crate::catalogue_store) build on the trait.

mod calls;
pub mod memory;
pub mod once;
pub mod retry;

use std::future::Future;

use crate::error::PlatformError;

pub use calls::{Condition, KeyRange, MAX_ENTRIES, Op, Row, Rows, TableCall, Txn, TxnOutcome};

/// How many rows are removed by one transaction of [`TableCall::RemoveAll`].
const REMOVED_AT_ONCE: usize = MAX_ENTRIES;

/// What the system asks of the table. Futures stay on their thread.
pub trait TableApi {
    /// Reads `range`, at most `limit` keys; 0 is no limit.
    fn range(
        &self,
        range: &KeyRange,
        limit: usize,
    ) -> impl Future<Output = Result<Rows, PlatformError>>;

    /// Runs `txn`.
    ///
    /// # Errors
    /// After [`PlatformError::Unknown`] the transaction may have run, or may still run.
    fn txn(&self, txn: &Txn) -> impl Future<Output = Result<TxnOutcome, PlatformError>>;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>> {
        let range = KeyRange::one(key);
        async move { Ok(self.range(&range, 1).await?.rows.into_iter().next()) }
    }

    /// Makes a call of either kind.
    ///
    /// # Errors
    /// As [`TableApi::txn`].
    fn call(&self, call: &TableCall) -> impl Future<Output = Result<TxnOutcome, PlatformError>> {
        async move {
            match call {
                TableCall::Read(keys) => self.read(keys).await,
                TableCall::Write(txn) => self.txn(txn).await,
                TableCall::RemoveAll(range) => self.remove_all(range).await,
            }
        }
    }

    /// Reads rows one after the other. The revision is the lowest of any of these reads.
    fn read(&self, keys: &[String]) -> impl Future<Output = Result<TxnOutcome, PlatformError>> {
        async move {
            let mut outcome = TxnOutcome::done(u64::MAX);
            for key in keys {
                let found = self.range(&KeyRange::one(key), 1).await?;
                outcome.table_revision = outcome.table_revision.min(found.table_revision);
                outcome.rows.push(found.rows.into_iter().next());
            }
            Ok(outcome)
        }
    }

    /// Removes all rows of a range, some at a time.
    fn remove_all(
        &self,
        range: &KeyRange,
    ) -> impl Future<Output = Result<TxnOutcome, PlatformError>> {
        async move {
            loop {
                let found = self.range(range, REMOVED_AT_ONCE).await?;
                let keys = found.rows.into_iter().map(|row| row.key);
                let ops: Vec<Op> = keys.map(Op::Remove).collect();
                if ops.is_empty() {
                    return Ok(TxnOutcome::done(found.table_revision));
                }
                self.txn(&Txn::unconditional(ops)).await?;
            }
        }
    }
}
