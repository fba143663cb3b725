//! Reading the catalogue from the platform, without holding up the control task.

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

/// How long one call to the platform may take.
pub(super) const CALL_LIMIT: Duration = Duration::from_secs(5);

/// What reading the catalogue gave.
#[derive(Debug)]
pub enum Reading {
    /// Newer changes, or a snapshot.
    New(StoreRead),
    /// The head, which is not newer, or older than what is in force.
    Head(Head),
    /// The platform did not answer in time.
    Away,
}

/// The catalogue in the platform, as the control task reads it.
pub struct Store {
    store: Rc<CatalogueStore<Table>>,
    objects: Objects,
    tx: mpsc::UnboundedSender<Event>,
}

impl Store {
    /// The catalogue in the platform at `addr`; readings go to `tx`.
    pub fn new(addr: SocketAddr, tx: mpsc::UnboundedSender<Event>) -> Self {
        // The spread polls again by itself; a retry here would only hold its answer back.
        let policy = RetryPolicy {
            max_attempts: 1,
            ..RetryPolicy::default()
        };
        let retry = Retry::new(policy, rand::random());
        Self {
            store: Rc::new(CatalogueStore::new(Table::new(addr, CALL_LIMIT), retry)),
            objects: Objects::new(addr, CALL_LIMIT),
            tx,
        }
    }

    /// Reads the changes after `after` if the head is newer than `in_force`, without waiting.
    pub fn read(&self, in_force: Head, after: Revision) {
        let (store, objects, tx) = (self.store.clone(), self.objects.clone(), self.tx.clone());
        actix_rt::spawn(async move {
            store.record_seen_head(in_force.clone());
            let reading = match read(&store, &objects, &in_force, after).await {
                Ok(reading) => reading,
                Err(StoreError::RolledBack { found, .. }) => Reading::Head(found),
                Err(e) => {
                    log::warn!("catalogue: Not read: {e}.");
                    Reading::Away
                }
            };
            // Closed means that the host is stopping.
            let _ = tx.send(Event::Read(reading));
        });
    }
}

async fn read(
    store: &CatalogueStore<Table>,
    objects: &Objects,
    in_force: &Head,
    after: Revision,
) -> Result<Reading, StoreError> {
    let head = store.read_head().await?;
    if head.revision <= in_force.revision {
        return Ok(Reading::Head(head));
    }
    match store.read_changes(after).await {
        Ok(changes) => Ok(Reading::New(StoreRead::Changes(changes))),
        Err(StoreError::Missing { .. }) => {
            let loaded = store.load(objects).await?;
            Ok(Reading::New(StoreRead::Loaded(loaded)))
        }
        Err(e) => Err(e),
    }
}
