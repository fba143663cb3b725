//! Snapshots in the object store, and trimming of the changes behind them.

use dragonflyrill_catalogue::{
    entry::Entry,
    state::{Catalogue, Change, Folded, Revision},
};
use serde::{Deserialize, Serialize};

use super::{CatalogueStore, Head, SNAPSHOT_KEY, StoreError, decode, encode};
use crate::{
    error::PlatformError,
    table::{Condition, KeyRange, Op, Row, TableApi, Txn},
};

/// How many changes are kept behind a snapshot, so that a change id can be looked up and a host
/// that is a little behind needs no snapshot.
const KEPT_CHANGES: u64 = 1000;

/// How many changes come between two snapshots.
const SNAPSHOT_EVERY: u64 = 50;

/// All entries in force at one revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Snapshot {
    head: Head,
    entries: Vec<Entry>,
}

/// A catalogue with the head it belongs to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Loaded {
    /// The catalogue.
    pub catalogue: Catalogue,
    /// The id of its newest change.
    pub change_id: String,
}

/// Where the objects of snapshots are kept.
pub trait SnapshotStore {
    /// Reads an object.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>>;

    /// Writes an object unless it exists.
    fn put(&self, key: &str, body: &[u8]) -> impl Future<Output = Result<(), PlatformError>>;
}

impl<T: TableApi> CatalogueStore<T> {
    /// Reads the newest snapshot and the changes after it.
    ///
    /// # Errors
    /// [`StoreError::Missing`] when neither the snapshot nor the changes it replaces are there.
    pub async fn load(&self, objects: &impl SnapshotStore) -> Result<Loaded, StoreError> {
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

    /// Stores a snapshot of `loaded`; afterwards it can be loaded by anyone.
    ///
    /// # Errors
    /// [`StoreError::Platform`]; trying again is safe.
    pub async fn save_snapshot(
        &self,
        objects: &impl SnapshotStore,
        loaded: &Loaded,
    ) -> Result<(), StoreError> {
        let row = self.snapshot_row().await?;
        if pointer(row.as_ref())?.revision >= loaded.catalogue.revision() {
            return Ok(());
        }
        // The object first: a pointer without its object would stop every start.
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
            ops: vec![pointer_op(&loaded.head())?],
        };
        // Another host's newer pointer is as good.
        self.table.txn(&txn).await?;
        Ok(())
    }

    /// Stores a snapshot and trims, if enough changes came since the last one.
    ///
    /// # Errors
    /// See [`CatalogueStore::load`]; nothing is lost when this is left undone.
    pub async fn maintain(&self, objects: &impl SnapshotStore) -> Result<(), StoreError> {
        let head = self.read_head().await?;
        let row = self.snapshot_row().await?;
        let behind = head
            .revision
            .0
            .saturating_sub(pointer(row.as_ref())?.revision.0);
        if behind < SNAPSHOT_EVERY {
            return Ok(());
        }
        let loaded = self.load(objects).await?;
        self.save_snapshot(objects, &loaded).await?;
        self.trim().await
    }

    /// Removes changes that lie well behind the newest snapshot, and those of earlier logs.
    ///
    /// # Errors
    /// [`StoreError::Platform`]; trying again is safe.
    pub async fn trim(&self) -> Result<(), StoreError> {
        let row = self.snapshot_row().await?;
        let snapshot = pointer(row.as_ref())?;
        let end = Revision(snapshot.revision.0.saturating_sub(KEPT_CHANGES));
        let log = self.read_head_row_unchecked().await?.log;
        self.table.remove_all(&log.changes_before(end)).await?;
        Ok(())
    }

    async fn read_snapshot(
        &self,
        objects: &impl SnapshotStore,
    ) -> Result<Option<Loaded>, StoreError> {
        let row = self.snapshot_row().await?;
        if row.is_none() {
            return Ok(None);
        }
        let key = object_key(&pointer(row.as_ref())?);
        let Some(body) = objects.get(&key).await? else {
            return Err(StoreError::Missing {
                after: Revision::default(),
            });
        };
        let snapshot: Snapshot = decode(&key, &body)?;
        Ok(Some(Loaded {
            catalogue: Catalogue::from_entries(snapshot.head.revision, snapshot.entries),
            change_id: snapshot.head.change_id,
        }))
    }

    async fn snapshot_row(&self) -> Result<Option<Row>, PlatformError> {
        let found = self.range(&KeyRange::one(SNAPSHOT_KEY), 1).await?;
        Ok(found.rows.into_iter().next())
    }
}

impl Loaded {
    /// The newest change that is folded in.
    pub fn head(&self) -> Head {
        Head {
            revision: self.catalogue.revision(),
            change_id: self.change_id.clone(),
        }
    }

    /// Folds `change` in if it is the next one.
    pub fn fold(&mut self, change: &Change) -> Folded {
        let folded = self.catalogue.fold(change);
        if folded == Folded::Applied {
            self.change_id.clone_from(&change.change_id);
        }
        folded
    }
}

/// Stores the snapshot's object; it is not used before a pointer names it.
pub(super) async fn put_object(
    objects: &impl SnapshotStore,
    loaded: &Loaded,
) -> Result<(), PlatformError> {
    let snapshot = Snapshot {
        head: loaded.head(),
        entries: loaded.catalogue.entries().cloned().collect(),
    };
    objects
        .put(&object_key(&snapshot.head), &encode(&snapshot)?)
        .await
}

/// The operation that makes the snapshot of `head` the newest.
pub(super) fn pointer_op(head: &Head) -> Result<Op, PlatformError> {
    Ok(Op::Put {
        key: SNAPSHOT_KEY.to_owned(),
        value: encode(head)?,
    })
}

/// The change id is a part of the name: after a restore of the table, the same revision may
/// belong to another change, and objects are written only once.
fn object_key(head: &Head) -> String {
    format!("catalogue-snapshot-{}-{}", head.revision.0, head.change_id)
}

/// The head of the newest snapshot; the default where there is none.
fn pointer(row: Option<&Row>) -> Result<Head, PlatformError> {
    row.map_or(Ok(Head::default()), |r| decode(SNAPSHOT_KEY, &r.value))
}
