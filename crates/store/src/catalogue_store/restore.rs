//! Restores the catalogue of a store that was rolled back, for instance to a backup.
//!
//! Hosts keep the highest revision they have seen and never return to a lower one, so a change
//! with a revision that they already know would never come into force. A restoration therefore
//! declares the complete catalogue under a revision above all that any host has seen. It skips one
//! revision: every host then finds a gap after its own revision and loads the snapshot, instead of
//! folding a change into a state that the store no longer holds.
//!
//! A restoration starts a new log, because revisions in the previous log may belong to other
//! changes than those that hosts have in force. A read after any older revision thus fails
//! immediately with [`StoreError::Missing`], and never returns a change that contradicts those of
//! the host. The changes of earlier logs are removed afterwards, as they are no longer read.

use dragonflyrill_catalogue::{
    entry::Entry,
    state::{Catalogue, Change, ChangeId, Revision},
};

use super::{
    CatalogueStore, CommitOutcome, Head, LoadedCatalogue, LogNumber, SnapshotStore, StoreError,
    commit::{TxnAttempts, change_ops},
    snapshot,
};
use crate::table::{TableApi, Txn};

/// A complete catalogue that replaces the one in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Restoration {
    /// The highest revision in force on any host.
    pub above: Revision,
    /// The id that the operator gave the change. Unique to the change; a second restoration with
    /// the same id is a retry.
    pub change_id: ChangeId,
    /// The author of the change.
    pub author: String,
    /// The current time in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// All entries of the restored catalogue.
    pub entries: Vec<Entry>,
}

impl<T: TableApi> CatalogueStore<T> {
    /// Replaces the complete catalogue, under a revision above both `restoration.above` and the
    /// store's head, and starts a new log with it.
    ///
    /// # Errors
    /// [`StoreError`] when no attempt of this call took effect or will.
    pub async fn restore(
        &self,
        objects: &impl SnapshotStore,
        restoration: &Restoration,
    ) -> Result<CommitOutcome, StoreError> {
        let row = self.read_head_row_unchecked().await?;
        if row.head.change_id == restoration.change_id.as_str() {
            return Ok(CommitOutcome::Accepted(row.head.revision));
        }
        let highest = row.head.revision.max(restoration.above);
        let change = restoration.change(highest.next().next());
        let loaded = LoadedCatalogue {
            catalogue: Catalogue::from_entries(change.revision, restoration.entries.clone()),
            change_id: change.change_id.clone(),
        };
        snapshot::put_object(objects, &loaded).await?;
        let log = row.log.next();
        let mut ops = change_ops(&change, log)?;
        ops.push(snapshot::snapshot_row_op(&loaded.head())?);
        let txn = Txn {
            conditions: vec![row.unchanged_condition()],
            ops,
        };
        match self.run_txn(&txn).await {
            TxnAttempts::Done => {
                self.remove_earlier(log).await;
                Ok(CommitOutcome::Accepted(change.revision))
            }
            TxnAttempts::ConditionFailed { .. } => self.resolve_restore(restoration).await,
            TxnAttempts::Exhausted { in_doubt, cause } if in_doubt => {
                Ok(CommitOutcome::Unknown(cause))
            }
            TxnAttempts::Exhausted { cause, .. } => Err(cause.into()),
        }
    }

    /// Removes the changes of earlier logs. If this fails, the next trim removes them.
    async fn remove_earlier(&self, log: LogNumber) {
        let earlier = log.changes_before(Revision::default());
        if let Err(e) = self.table.remove_all(&earlier).await {
            log::warn!(
                "catalogue: Changes of earlier logs could not be removed from the table: {e}."
            );
        }
    }

    async fn resolve_restore(
        &self,
        restoration: &Restoration,
    ) -> Result<CommitOutcome, StoreError> {
        let head: Head = match self.read_head_row_unchecked().await {
            Ok(row) => row.head,
            Err(StoreError::Platform(e)) => return Ok(CommitOutcome::Unknown(e)),
            Err(e) => return Err(e),
        };
        if head.change_id == restoration.change_id.as_str() {
            return Ok(CommitOutcome::Accepted(head.revision));
        }
        let since = Vec::new();
        Ok(CommitOutcome::Conflict { head, since })
    }
}

impl Restoration {
    fn change(&self, revision: Revision) -> Change {
        Change {
            revision,
            change_id: self.change_id.to_string(),
            author: self.author.clone(),
            accepted_ms: self.now_ms,
            puts: self.entries.clone(),
            deletes: Vec::new(),
        }
    }
}
