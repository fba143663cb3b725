//! The transactional table: typed reads and conditional writes.
//!
//! [`TableApi`] is the interface to the table, which an adapter implements.
//! [`memory::MemoryTable`] is an in-memory table for tests and model checking. [`once`] and
//! [`catalogue_store`](crate::catalogue_store) build on the trait.

mod calls;
pub mod memory;
pub mod once;
pub mod retry;

use std::future::Future;

use crate::error::PlatformError;

pub use calls::{Condition, KeyRange, MAX_TXN_ENTRIES, Op, Row, Rows, TableCall, Txn, TxnOutcome};

/// The maximum number of rows that one transaction of [`TableCall::RemoveAll`] removes.
const MAX_REMOVALS_PER_TXN: usize = MAX_TXN_ENTRIES;

/// The interface to the table. Its futures need not be `Send`.
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
    /// After [`PlatformError::Unknown`] the transaction may have taken effect, or may still do so.
    fn txn(&self, txn: &Txn) -> impl Future<Output = Result<TxnOutcome, PlatformError>>;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>> {
        let range = KeyRange::one(key);
        async move { Ok(self.range(&range, 1).await?.rows.into_iter().next()) }
    }

    /// Makes a call of any kind.
    ///
    /// # Errors
    /// See [`TableApi::txn`].
    fn call(&self, call: &TableCall) -> impl Future<Output = Result<TxnOutcome, PlatformError>> {
        async move {
            match call {
                TableCall::Read(keys) => self.read(keys).await,
                TableCall::Write(txn) => self.txn(txn).await,
                TableCall::RemoveAll(range) => self.remove_all(range).await,
            }
        }
    }

    /// Reads rows one by one. The resulting revision is the lowest of these reads.
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

    /// Removes all rows of a range in batches, not atomically.
    fn remove_all(
        &self,
        range: &KeyRange,
    ) -> impl Future<Output = Result<TxnOutcome, PlatformError>> {
        async move {
            loop {
                let found = self.range(range, MAX_REMOVALS_PER_TXN).await?;
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
