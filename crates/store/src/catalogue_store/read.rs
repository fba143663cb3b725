//! Reads the head and the changes.

use dragonflyrill_catalogue::state::{Change, Revision};

use serde::{Deserialize, Serialize};

use super::{CatalogueStore, HEAD_KEY, Head, LogNumber, StoreError, decode};
use crate::{
    error::PlatformError,
    table::{KeyRange, Rows, TableApi},
};

/// The maximum number of changes in one read.
const MAX_CHANGES_PER_READ: usize = 500;

/// The stored value of the head's row.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct StoredHead {
    #[serde(flatten)]
    pub(super) head: Head,
    /// The log that contains the head's change.
    #[serde(default)]
    pub(super) log: LogNumber,
}

/// The head as read from the table.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadRow {
    pub(super) head: Head,
    /// The log that contains the head's change.
    pub(super) log: LogNumber,
    /// The revision of the head's row; `None` if the row does not exist.
    pub(super) mod_revision: Option<u64>,
}

impl<T: TableApi> CatalogueStore<T> {
    /// Reads the head.
    ///
    /// # Errors
    /// [`StoreError::RolledBack`] when the store's head is older than one seen before, or is
    /// another change with the same revision.
    pub async fn read_head(&self) -> Result<Head, StoreError> {
        Ok(self.read_head_row().await?.head)
    }

    /// Reads all changes with a revision above `after`, in order and without gaps.
    ///
    /// # Errors
    /// [`StoreError::Missing`] when changes after `after` were trimmed: load a snapshot instead.
    pub async fn read_changes(&self, after: Revision) -> Result<Vec<Change>, StoreError> {
        let log = self.read_head_row_unchecked().await?.log;
        let mut changes: Vec<Change> = Vec::new();
        loop {
            let last = changes.last().map_or(after, |c| c.revision);
            let found = self
                .range(&log.changes_from(last.next()), MAX_CHANGES_PER_READ)
                .await?;
            for row in &found.rows {
                let change: Change = decode(&row.key, &row.value)?;
                let last = changes.last().map_or(after, |c| c.revision);
                if change.revision != last.next() {
                    return Err(StoreError::Missing { after: last });
                }
                changes.push(change);
            }
            if !found.more || found.rows.is_empty() {
                return Ok(changes);
            }
        }
    }

    /// Reads the changes after `known`, the head that a host has in force, and verifies that the
    /// store holds the change of `known` itself.
    ///
    /// # Errors
    /// [`StoreError::RolledBack`] when the store holds another change with the same revision,
    /// because it was rolled back and changed afterwards. [`StoreError::Missing`] when changes were
    /// trimmed or revisions skipped: load a snapshot instead.
    pub async fn read_changes_after(&self, known: &Head) -> Result<Vec<Change>, StoreError> {
        let Some(before) = known.revision.0.checked_sub(1) else {
            return self.read_changes(known.revision).await;
        };
        let changes = self.read_changes(Revision(before)).await?;
        let Some((first, newer)) = changes.split_first() else {
            return Err(StoreError::Missing {
                after: known.revision,
            });
        };
        if first.change_id != known.change_id {
            let found = Head {
                revision: first.revision,
                change_id: first.change_id.clone(),
            };
            let seen = known.clone();
            return Err(StoreError::RolledBack { seen, found });
        }
        Ok(newer.to_vec())
    }

    pub(super) async fn read_head_row(&self) -> Result<HeadRow, StoreError> {
        let row = self.read_head_row_unchecked().await?;
        self.check_not_rolled_back(&row.head)?;
        Ok(row)
    }

    /// Reads the head without the check for a rollback of the store.
    pub(super) async fn read_head_row_unchecked(&self) -> Result<HeadRow, StoreError> {
        let found = self.range(&KeyRange::one(HEAD_KEY), 1).await?;
        let Some(row) = found.rows.first() else {
            return Ok(HeadRow::default());
        };
        let StoredHead { head, log } = decode(HEAD_KEY, &row.value)?;
        Ok(HeadRow {
            head,
            log,
            mod_revision: Some(row.mod_revision),
        })
    }

    /// Records `found` as seen, or fails with [`StoreError::RolledBack`] if a newer head, or
    /// another one with the same revision, was seen before.
    fn check_not_rolled_back(&self, found: &Head) -> Result<(), StoreError> {
        let seen = self.seen();
        let forked = found.revision == seen.revision && found.change_id != seen.change_id;
        if found.revision < seen.revision || forked {
            log::error!(
                "catalogue: the store went back from revision {} to {}",
                seen.revision.0,
                found.revision.0
            );
            let found = found.clone();
            return Err(StoreError::RolledBack { seen, found });
        }
        self.record_seen_head(found.clone());
        Ok(())
    }

    /// Reads a range, with retries after transient errors.
    pub(super) async fn range(
        &self,
        range: &KeyRange,
        limit: usize,
    ) -> Result<Rows, PlatformError> {
        let mut failed_attempts = 0;
        loop {
            match self.table.range(range, limit).await {
                Ok(rows) => return Ok(rows),
                Err(cause) => {
                    failed_attempts += 1;
                    self.retry.wait_before_retry(failed_attempts, cause).await?;
                }
            }
        }
    }
}
