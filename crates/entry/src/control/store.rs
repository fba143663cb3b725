//! Reads of the catalogue from the platform, in tasks of their own so that the control task doesn't
//! wait.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_adapter::store::{Objects, Table};
use dragonflyrill_catalogue::Revision;
use dragonflyrill_membership::spread::StoreRead;
use dragonflyrill_store::{
    catalogue_store::{CatalogueStore, Head, StoreError},
    table::retry::{Retry, RetryPolicy},
};
use tokio::sync::mpsc;

use crate::control::actor::Event;

/// The timeout of one call to the platform.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of a read of the catalogue.
#[derive(Debug)]
pub enum ReadResult {
    /// Newer changes, or a snapshot.
    Newer(StoreRead),
    /// The head of the store, which is the same as or older than the catalogue in force.
    NotNewer(Head),
    /// The catalogue could not be read, as when the platform does not answer in time.
    Failed,
}

/// Reads the catalogue from the platform for the control task.
pub struct CatalogueReader {
    store: Rc<CatalogueStore<Table>>,
    objects: Objects,
    tx: mpsc::UnboundedSender<Event>,
}

impl CatalogueReader {
    /// Creates a reader of the platform at `addr` that sends its results to `tx`.
    pub fn new(addr: SocketAddr, tx: mpsc::UnboundedSender<Event>) -> Self {
        // The spread polls again by itself; a retry here would only delay the result.
        let policy = RetryPolicy {
            max_attempts: 1,
            ..RetryPolicy::default()
        };
        let retry = Retry::new(policy, rand::random());
        Self {
            store: Rc::new(CatalogueStore::new(Table::new(addr, CALL_TIMEOUT), retry)),
            objects: Objects::new(addr, CALL_TIMEOUT),
            tx,
        }
    }

    /// Starts a task that reads the changes after `after` if the head is newer than `in_force`, and
    /// the whole catalogue if changes are missing. The result arrives as an
    /// [`Event::CatalogueRead`].
    pub fn start_read(&self, in_force: Head, after: Revision) {
        let (store, objects, tx) = (self.store.clone(), self.objects.clone(), self.tx.clone());
        actix_rt::spawn(async move {
            store.record_seen_head(in_force.clone());
            let result = match read(&store, &objects, &in_force, after).await {
                Ok(result) => result,
                Err(StoreError::RolledBack { found, .. }) => ReadResult::NotNewer(found),
                Err(e) => {
                    log::warn!("catalogue: Not read: {e}.");
                    ReadResult::Failed
                }
            };
            // The channel is closed when the host is stopping.
            let _ = tx.send(Event::CatalogueRead(result));
        });
    }
}

async fn read(
    store: &CatalogueStore<Table>,
    objects: &Objects,
    in_force: &Head,
    after: Revision,
) -> Result<ReadResult, StoreError> {
    let head = store.read_head().await?;
    if head.revision <= in_force.revision {
        return Ok(ReadResult::NotNewer(head));
    }
    match store.read_changes(after).await {
        Ok(changes) => Ok(ReadResult::Newer(StoreRead::Changes(changes))),
        Err(StoreError::Missing { .. }) => {
            let loaded = store.load(objects).await?;
            Ok(ReadResult::Newer(StoreRead::Loaded(loaded)))
        }
        Err(e) => Err(e),
    }
}
