//! Registration of engines and services with the stand-in of the store.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, time::Duration};

use dragonflyrill_adapter_standin::register::Registry;
use dragonflyrill_fleet::endpoints::Endpoint;
use futures_util::future::{self, Either};

use crate::Running;

/// How often the entries are brought up to date.
const REFRESH: Duration = Duration::from_millis(500);

/// The data centre in an entry where settings name none. No word of an entry may be empty: one that
/// has none names no endpoint to use.
pub(crate) const DATA_CENTRE: &str = "dc";
/// The kind of accelerator in an engine's entry where settings name none.
pub(crate) const ACCELERATOR: &str = "generic";

/// Keeps the entries of what `running` serves in the store until `ended` is ready, then takes them
/// out.
///
/// An entry is written when it changes and when the store was started again, so an entry that
/// somebody else took out stays out. Without a store this only waits.
pub async fn run_registered(
    store: Option<SocketAddr>,
    running: &Running,
    ended: impl Future<Output = io::Result<()>>,
) -> anyhow::Result<()> {
    let Some(store) = store else {
        return Ok(ended.await?);
    };
    let registry = Registry::new(store);
    let refresh = pin!(refresh(&registry, running));
    match future::select(pin!(ended), refresh).await {
        Either::Left((ended, _)) => ended?,
        Either::Right((never, _)) => match never {},
    }
    for endpoint in running.listings() {
        if let Err(err) = registry.remove(&endpoint.name).await {
            log::warn!("register: {err:#}.");
            break;
        }
    }
    Ok(())
}

async fn refresh(registry: &Registry, running: &Running) -> Infallible {
    let mut written = Written::default();
    loop {
        if let Err(err) = written.update(registry, running.listings()).await {
            log::warn!("register: {err:#}.");
        }
        tokio::time::sleep(REFRESH).await;
    }
}

/// What one life of the store was told.
#[derive(Default)]
struct Written {
    incarnation: u64,
    listings: Vec<Endpoint>,
}

impl Written {
    async fn update(&mut self, registry: &Registry, listings: Vec<Endpoint>) -> anyhow::Result<()> {
        let incarnation = registry.incarnation().await?;
        if incarnation != self.incarnation {
            *self = Self {
                incarnation,
                listings: Vec::new(),
            };
        }
        for listing in &listings {
            if !self.listings.contains(listing) {
                registry.add(listing).await?;
            }
        }
        self.listings = listings;
        Ok(())
    }
}
