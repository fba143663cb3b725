//! Snapshots in the object store, and trimming of the changes that they cover.

use dragonflyrill_catalogue::{
    entry::Entry,
    state::{Catalogue, Change, FoldOutcome, Revision},
};
use serde::{Deserialize, Serialize};

use super::{CatalogueStore, Head, SNAPSHOT_KEY, StoreError, decode, encode};
use crate::{
    error::PlatformError,
    table::{Condition, KeyRange, Op, Row, TableApi, Txn},
};

/// The number of changes kept before a snapshot's revision, so that the id of a recent change can
/// be looked up and a host that lags slightly needs no snapshot.
const RETAINED_CHANGES: u64 = 1000;

/// The number of changes after which a new snapshot is stored.
const CHANGES_PER_SNAPSHOT: u64 = 50;

/// The stored form of a snapshot: all entries in force at the revision of `head`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Snapshot {
    head: Head,
    entries: Vec<Entry>,
}

/// A catalogue with the id of its newest change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadedCatalogue {
    /// The catalogue.
    pub catalogue: Catalogue,
    /// The id of the newest change that is folded into the catalogue.
    pub change_id: String,
}

/// The object store that holds the snapshots.
pub trait SnapshotStore {
    /// Reads an object.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>>;

    /// Creates an object; leaves an existing object of the same key as it is.
    fn put(&self, key: &str, body: &[u8]) -> impl Future<Output = Result<(), PlatformError>>;
}

impl<T: TableApi> CatalogueStore<T> {
    /// Reads the newest snapshot and the changes after it.
    ///
    /// # Errors
    /// [`StoreError::Missing`] when the snapshot's object or the changes after it are missing.
    pub async fn load(&self, objects: &impl SnapshotStore) -> Result<LoadedCatalogue, StoreError> {
        let head = self.read_head().await?;
        let mut loaded = self.read_snapshot(objects).await?.unwrap_or_default();
        let changes = self.read_changes(loaded.catalogue.revision()).await?;
        for change in &changes {
            loaded.fold(change);
        }
        if loaded.catalogue.revision() < head.revision {
            return Err(StoreError::Missing {
                after: loaded.catalogue.revision(),
            });
        }
        Ok(loaded)
    }

    /// Stores a snapshot of `loaded`, from which other hosts can load it afterwards. Does nothing
    /// if a snapshot of the same or a higher revision is stored.
    ///
    /// # Errors
    /// [`StoreError::Platform`]; a retry is safe.
    pub async fn save_snapshot(
        &self,
        objects: &impl SnapshotStore,
        loaded: &LoadedCatalogue,
    ) -> Result<(), StoreError> {
        let row = self.snapshot_row().await?;
        if newest_snapshot(row.as_ref())?.revision >= loaded.catalogue.revision() {
            return Ok(());
        }
        // The object is written before the row that refers to it: without the object, no host
        // could load the catalogue at startup.
        put_object(objects, loaded).await?;
        let condition = match row {
            None => Condition::Absent(SNAPSHOT_KEY.to_owned()),
            Some(row) => Condition::Unchanged {
                key: SNAPSHOT_KEY.to_owned(),
                mod_revision: row.mod_revision,
            },
        };
        let txn = Txn {
            conditions: vec![condition],
            ops: vec![snapshot_row_op(&loaded.head())?],
        };
        // If the condition fails, another host stored a snapshot meanwhile, which serves as well.
        self.table.txn(&txn).await?;
        Ok(())
    }

    /// Stores a snapshot and trims old changes, if enough changes were accepted since the last
    /// snapshot.
    ///
    /// # Errors
    /// See [`CatalogueStore::load`]. A failure loses no data; the next call does the work.
    pub async fn maintain(&self, objects: &impl SnapshotStore) -> Result<(), StoreError> {
        let head = self.read_head().await?;
        let row = self.snapshot_row().await?;
        let behind = head
            .revision
            .0
            .saturating_sub(newest_snapshot(row.as_ref())?.revision.0);
        if behind < CHANGES_PER_SNAPSHOT {
            return Ok(());
        }
        let loaded = self.load(objects).await?;
        self.save_snapshot(objects, &loaded).await?;
        self.trim().await
    }

    /// Removes the changes that are far older than the newest snapshot, and those of earlier logs.
    ///
    /// # Errors
    /// [`StoreError::Platform`]; a retry is safe.
    pub async fn trim(&self) -> Result<(), StoreError> {
        let row = self.snapshot_row().await?;
        let snapshot = newest_snapshot(row.as_ref())?;
        let end = Revision(snapshot.revision.0.saturating_sub(RETAINED_CHANGES));
        let log = self.read_head_row_unchecked().await?.log;
        self.table.remove_all(&log.changes_before(end)).await?;
        Ok(())
    }

    async fn read_snapshot(
        &self,
        objects: &impl SnapshotStore,
    ) -> Result<Option<LoadedCatalogue>, StoreError> {
        let row = self.snapshot_row().await?;
        if row.is_none() {
            return Ok(None);
        }
        let key = object_key(&newest_snapshot(row.as_ref())?);
        let Some(body) = objects.get(&key).await? else {
            return Err(StoreError::Missing {
                after: Revision::default(),
            });
        };
        let snapshot: Snapshot = decode(&key, &body)?;
        Ok(Some(LoadedCatalogue {
            catalogue: Catalogue::from_entries(snapshot.head.revision, snapshot.entries),
            change_id: snapshot.head.change_id,
        }))
    }

    async fn snapshot_row(&self) -> Result<Option<Row>, PlatformError> {
        let found = self.range(&KeyRange::one(SNAPSHOT_KEY), 1).await?;
        Ok(found.rows.into_iter().next())
    }
}

impl LoadedCatalogue {
    /// The newest change that is folded into the catalogue.
    pub fn head(&self) -> Head {
        Head {
            revision: self.catalogue.revision(),
            change_id: self.change_id.clone(),
        }
    }

    /// Folds `change` into the catalogue if it has the next revision.
    pub fn fold(&mut self, change: &Change) -> FoldOutcome {
        let folded = self.catalogue.fold(change);
        if folded == FoldOutcome::Applied {
            self.change_id.clone_from(&change.change_id);
        }
        folded
    }
}

/// Stores the snapshot's object. It is not used before the snapshot row refers to it.
pub(super) async fn put_object(
    objects: &impl SnapshotStore,
    loaded: &LoadedCatalogue,
) -> Result<(), PlatformError> {
    let snapshot = Snapshot {
        head: loaded.head(),
        entries: loaded.catalogue.entries().cloned().collect(),
    };
    objects
        .put(&object_key(&snapshot.head), &encode(&snapshot)?)
        .await
}

/// The operation that makes the snapshot row refer to the snapshot of `head`.
pub(super) fn snapshot_row_op(head: &Head) -> Result<Op, PlatformError> {
    Ok(Op::Put {
        key: SNAPSHOT_KEY.to_owned(),
        value: encode(head)?,
    })
}

/// The key of a snapshot's object. It includes the change id: after the table was restored from a
/// backup, the same revision may belong to another change, and an object is never overwritten.
fn object_key(head: &Head) -> String {
    format!("catalogue-snapshot-{}-{}", head.revision.0, head.change_id)
}

/// The head of the newest snapshot, or the default if there is no snapshot.
fn newest_snapshot(row: Option<&Row>) -> Result<Head, PlatformError> {
    row.map_or(Ok(Head::default()), |r| decode(SNAPSHOT_KEY, &r.value))
}
