//! Orders to the engines of this data centre: for each declared group a lease in the platform's
//! table and, while it is held, the reading of the engines and the orders that bring them to what
//! is declared.
//!
//! One task of the control arbiter with its own events drives the state machines of
//! [`dragonflyrill_orders`]. It learns from a [`Feed`] what is declared, where the endpoints are
//! and which hosts live; it ends when the feed is dropped, and its leases lapse.
//!
//! Marks of drained endpoints stay here: they are logged, and end with the order. The other hosts
//! go on sending work to a drained endpoint until it is ordered, at the latest after
//! [`group::GroupConfig::max_drain_time`].

mod calls;
mod driver;

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::{
    Catalogue, DataCentre, EndpointId, Entry,
    entry::{GroupEntry, ModelEntry},
};
use dragonflyrill_engines::wire::EngineState;
use dragonflyrill_orders::{group, lease};
use dragonflyrill_protocol::{HostId, HostRef};
use dragonflyrill_routing as routing;
use dragonflyrill_store::{error::PlatformError, table::TxnOutcome};
use tokio::sync::mpsc;

use crate::{clock::Clock, control::Identity, host::PeerInfo};

/// How long a hold of a lease lasts without being renewed.
const TERM: Duration = Duration::from_secs(9);
/// What other hosts wait beyond the term, for clocks of different rates.
const MARGIN: Duration = Duration::from_secs(1);

/// The settings of the task.
#[derive(Debug, Clone)]
pub struct Config {
    /// Which data centre's groups it cares for.
    pub data_centre: DataCentre,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// The leases, with this life of this host.
    pub lease: lease::LeaseConfig,
    /// The groups.
    pub group: group::GroupConfig,
}

impl Config {
    /// The usual settings of the host `me`.
    pub fn new(me: &Identity, platform: SocketAddr) -> Self {
        Self {
            data_centre: me.data_centre.clone(),
            platform,
            lease: lease::LeaseConfig::new(me.host.clone(), TERM, MARGIN, rand::random()),
            group: group::GroupConfig::default(),
        }
    }

    fn me(&self) -> &HostRef {
        &self.lease.me
    }
}

/// An endpoint on the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// A call to an engine, and for which life of which group it was made.
#[derive(Debug, Clone)]
pub(crate) struct CallRef {
    lease: lease::LeaseName,
    /// Tells a group from one of the same name that was there before.
    life: u64,
    endpoint: EndpointId,
    call: group::CallId,
}

/// What the task takes in.
#[derive(Debug)]
pub(crate) enum Event {
    /// What is declared now.
    Catalogue {
        groups: Vec<GroupEntry>,
        models: Vec<ModelEntry>,
    },
    /// All endpoints the platform lists now.
    Endpoints(Vec<ListedEndpoint>),
    /// The other live hosts of this data centre.
    Peers(Vec<HostId>),
    /// The table answered, or did not.
    Table(lease::TxnId, Result<TxnOutcome, PlatformError>),
    /// An engine answered, or did not.
    Answer(CallRef, Result<EngineState, group::CallError>),
    /// The requests whose KV cache an engine held at that time.
    Sessions(CallRef, u32, Duration),
}

/// The way to the task. It ends when this is dropped.
#[derive(Debug)]
pub struct Feed {
    data_centre: DataCentre,
    tx: mpsc::UnboundedSender<Event>,
}

impl Feed {
    /// This catalogue is in force.
    pub fn catalogue(&self, catalogue: &Catalogue) {
        let mut groups = Vec::new();
        let mut models = Vec::new();
        for entry in catalogue.entries() {
            match entry {
                Entry::Group(e) if e.data_centre == self.data_centre => groups.push(e.clone()),
                Entry::Model(e) => models.push(e.clone()),
                _ => {}
            }
        }
        self.tell(Event::Catalogue { groups, models });
    }

    /// All endpoints the platform lists now.
    pub fn endpoints(&self, listed: &[routing::Endpoint]) {
        let listed = listed.iter().map(|e| ListedEndpoint {
            id: e.id.clone(),
            addr: e.addr,
            leaving: e.draining,
        });
        self.tell(Event::Endpoints(listed.collect()));
    }

    /// The other live entry hosts.
    pub fn peers(&self, peers: &[PeerInfo]) {
        let near = peers.iter().filter(|p| p.data_centre == self.data_centre);
        self.tell(Event::Peers(near.map(|p| p.host.id.clone()).collect()));
    }

    fn tell(&self, event: Event) {
        // Closed means that the host is stopping.
        let _ = self.tx.send(event);
    }
}

/// Starts the task on the current arbiter.
pub fn start(cfg: Config, clock: Clock) -> Feed {
    let (tx, rx) = mpsc::unbounded_channel();
    let feed = Feed {
        data_centre: cfg.data_centre.clone(),
        tx,
    };
    let driver = driver::Driver::new(cfg, clock, feed.tx.downgrade());
    actix_rt::spawn(driver.run(rx));
    feed
}
