//! Reading the head and the changes.

use dragonflyrill_catalogue::state::{Change, Revision};

use serde::{Deserialize, Serialize};

use super::{CatalogueStore, HEAD_KEY, Head, LogNumber, StoreError, decode};
use crate::{
    error::PlatformError,
    table::{KeyRange, Rows, TableApi},
};

/// The most changes asked for in one read.
const PAGE: usize = 500;

/// The value of the head's row.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct StoredHead {
    #[serde(flatten)]
    pub(super) head: Head,
    /// The log that its change is in.
    #[serde(default)]
    pub(super) log: LogNumber,
}

/// The head as it stands in the table.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadRow {
    pub(super) head: Head,
    /// The log that its change is in.
    pub(super) log: LogNumber,
    /// `None` where the key does not exist.
    pub(super) mod_revision: Option<u64>,
}

impl<T: TableApi> CatalogueStore<T> {
    /// Reads the head.
    ///
    /// # Errors
    /// [`StoreError::Older`] when the store went back behind a head seen before, or holds another
    /// change under the same revision.
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
            let found = self.range(&log.changes_from(last.next()), PAGE).await?;
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

    /// Reads the changes after `known`, which a host has in force, and makes sure that they
    /// follow on this very change.
    ///
    /// # Errors
    /// [`StoreError::Older`] when the store has another change under the same revision: it went
    /// back and was changed since. [`StoreError::Missing`] when changes were trimmed or left out:
    /// load a snapshot instead.
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
            return Err(StoreError::Older { seen, found });
        }
        Ok(newer.to_vec())
    }

    pub(super) async fn read_head_row(&self) -> Result<HeadRow, StoreError> {
        let row = self.read_head_row_unchecked().await?;
        self.check_forward(&row.head)?;
        Ok(row)
    }

    /// The head, also of a store that went back.
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

    /// Remembers `found`, unless the store went back.
    fn check_forward(&self, found: &Head) -> Result<(), StoreError> {
        let seen = self.seen();
        let forked = found.revision == seen.revision && found.change_id != seen.change_id;
        if found.revision < seen.revision || forked {
            log::error!(
                "catalogue: the store went back from revision {} to {}",
                seen.revision.0,
                found.revision.0
            );
            let found = found.clone();
            return Err(StoreError::Older { seen, found });
        }
        self.note_seen(found.clone());
        Ok(())
    }

    /// A read, repeated while it fails for a passing cause.
    pub(super) async fn range(
        &self,
        range: &KeyRange,
        limit: usize,
    ) -> Result<Rows, PlatformError> {
        let mut tried = 0;
        loop {
            match self.table.range(range, limit).await {
                Ok(rows) => return Ok(rows),
                Err(cause) => {
                    tried += 1;
                    self.retry.pause(tried, cause).await?;
                }
            }
        }
    }
}
