//! Bringing a store forward again that went back, for instance to a backup.
//!
//! Hosts keep the highest revision they have seen and never go back, so changes under numbers
//! that they know already would never come into force. The whole catalogue is therefore declared
//! anew under a number above all that any host has seen. One number is left out: every host then
//! finds a gap after its own revision and loads the snapshot, instead of folding a change into a
//! state that the store does not know any more.
//!
//! It begins a new log: the numbers of the changes before it may have been used for other changes
//! than those that hosts have in force. A read after any older revision thus ends at once in
//! [`StoreError::Missing`], and never shows a host a change that contradicts its own. The changes
//! of earlier logs are removed afterwards; nobody reads them any more.

use dragonflyrill_catalogue::{
    entry::Entry,
    state::{Catalogue, Change, ChangeId, Revision},
};

use super::{
    CatalogueStore, Commit, Head, Loaded, LogNumber, SnapshotStore, StoreError,
    commit::{Tried, change_ops},
    snapshot,
};
use crate::table::{TableApi, Txn};

/// The whole catalogue, to be declared anew.
#[derive(Debug, Clone, PartialEq)]
pub struct Restoration {
    /// The highest revision in force on any host.
    pub above: Revision,
    /// The operator's own id of the change, unique to it; the same id again is a retry.
    pub change_id: ChangeId,
    /// Who makes it.
    pub author: String,
    /// Now, in milliseconds since the epoch.
    pub now_ms: u64,
    /// All entries that are to be in force.
    pub entries: Vec<Entry>,
}

impl<T: TableApi> CatalogueStore<T> {
    /// Declares the whole catalogue anew, under a revision above `restoration.above` and above
    /// the store's own head, in a log of its own.
    ///
    /// # Errors
    /// [`StoreError`] when no try of this call took effect or will.
    pub async fn restore(
        &self,
        objects: &impl SnapshotStore,
        restoration: &Restoration,
    ) -> Result<Commit, StoreError> {
        let row = self.read_head_row_unchecked().await?;
        if row.head.change_id == restoration.change_id.as_str() {
            return Ok(Commit::Accepted(row.head.revision));
        }
        let highest = row.head.revision.max(restoration.above);
        let change = restoration.change(highest.next().next());
        let loaded = Loaded {
            catalogue: Catalogue::from_entries(change.revision, restoration.entries.clone()),
            change_id: change.change_id.clone(),
        };
        snapshot::put_object(objects, &loaded).await?;
        let log = row.log.next();
        let mut ops = change_ops(&change, log)?;
        ops.push(snapshot::pointer_op(&loaded.head())?);
        let txn = Txn {
            conditions: vec![row.unchanged()],
            ops,
        };
        match self.try_txn(&txn).await {
            Tried::Done => {
                self.remove_earlier(log).await;
                Ok(Commit::Accepted(change.revision))
            }
            Tried::Moved { .. } => self.settle_restore(restoration).await,
            Tried::GaveUp { in_doubt, cause } if in_doubt => Ok(Commit::Unknown(cause)),
            Tried::GaveUp { cause, .. } => Err(cause.into()),
        }
    }

    /// Removes the changes of earlier logs. What is left is removed when changes are trimmed.
    async fn remove_earlier(&self, log: LogNumber) {
        let earlier = log.changes_before(Revision::default());
        if let Err(e) = self.table.remove_all(&earlier).await {
            log::warn!("catalogue: Changes of earlier logs are left in the table: {e}.");
        }
    }

    async fn settle_restore(&self, restoration: &Restoration) -> Result<Commit, StoreError> {
        let head: Head = match self.read_head_row_unchecked().await {
            Ok(row) => row.head,
            Err(StoreError::Platform(e)) => return Ok(Commit::Unknown(e)),
            Err(e) => return Err(e),
        };
        if head.change_id == restoration.change_id.as_str() {
            return Ok(Commit::Accepted(head.revision));
        }
        let since = Vec::new();
        Ok(Commit::Conflict { head, since })
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
