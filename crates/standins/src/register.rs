//! Registers engines and services as endpoint entries in the stand-in of the store.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, time::Duration};

use dragonflyrill_adapter_standin::register::Registry;
use dragonflyrill_fleet::endpoints::Endpoint;
use futures_util::future::{self, Either};

use crate::Running;

/// The interval between updates of the entries.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The data centre in an entry if the settings name none. No field of an entry may be empty: an entry
/// with an empty field is not used as an endpoint.
pub(crate) const DEFAULT_DATA_CENTRE: &str = "dc";
/// The kind of accelerator in an engine's entry if the settings name none.
pub(crate) const DEFAULT_ACCELERATOR: &str = "generic";

/// Keeps the entries of what `running` serves in the store up to date until `shutdown` completes, then
/// removes them.
///
/// An entry is written only when it changes or when the store has restarted, so an entry that another
/// client removed is not restored. If `store` is `None`, this only waits for `shutdown`.
///
/// # Errors
/// Returns the error of `shutdown`. Failed calls to the store are logged; updates are retried after
/// the next interval, and the first failed removal ends the removals.
pub async fn run_registered(
    store: Option<SocketAddr>,
    running: &Running,
    shutdown: impl Future<Output = io::Result<()>>,
) -> anyhow::Result<()> {
    let Some(store) = store else {
        return Ok(shutdown.await?);
    };
    let registry = Registry::new(store);
    let refresh = pin!(refresh(&registry, running));
    match future::select(pin!(shutdown), refresh).await {
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
    let mut written = WrittenEntries::default();
    loop {
        if let Err(err) = written.update(registry, running.listings()).await {
            log::warn!("register: {err:#}.");
        }
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

/// The entries that were written to one incarnation of the store.
#[derive(Default)]
struct WrittenEntries {
    incarnation: u64,
    listings: Vec<Endpoint>,
}

impl WrittenEntries {
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
