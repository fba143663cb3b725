//! Orders to the engines of this data centre. For each declared group a host requests a lease in the
//! platform's table. While it holds the lease, it reads the state of the group's engines and sends
//! the orders that bring them to the declared state.
//!
//! One task of the control arbiter with its own events drives the state machines of
//! [`dragonflyrill_orders`]. It gets the declared groups, the endpoints and the live hosts through an
//! [`OrdersHandle`]. It ends when the handle is dropped, and its leases expire.
//!
//! That an endpoint is drained for an order is known and logged on this host only, and ends with the
//! order. The other hosts continue to send work to a drained endpoint until it gets the order, at the
//! latest after [`group::GroupConfig::max_drain_time`].

mod calls;
mod driver;

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::{
    Catalogue, DataCentre, EndpointId, Entry,
    entry::{GroupEntry, ModelEntry},
};
use dragonflyrill_clock::Clock;
use dragonflyrill_engines::wire::EngineState;
use dragonflyrill_orders::{group, lease};
use dragonflyrill_protocol::{HostId, HostRef};
use dragonflyrill_routing as routing;
use dragonflyrill_store::{error::PlatformError, table::TxnOutcome};
use tokio::sync::mpsc;

use crate::{control::Identity, host::PeerInfo};

/// The term of a lease: it expires this long after it was last renewed.
const LEASE_TERM: Duration = Duration::from_secs(9);
/// How long other hosts wait beyond the term before they take a lease over, because clocks run at
/// different rates.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// The settings of the task.
#[derive(Debug, Clone)]
pub struct Config {
    /// The data centre whose groups the task manages.
    pub data_centre: DataCentre,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The settings of the leases, with the id and the incarnation of this host.
    pub lease: lease::LeaseConfig,
    /// The settings of the groups.
    pub group: group::GroupConfig,
}

impl Config {
    /// The default settings for the host `me`.
    pub fn new(me: &Identity, platform: SocketAddr) -> Self {
        Self {
            data_centre: me.data_centre.clone(),
            platform,
            lease: lease::LeaseConfig::new(
                me.host.clone(),
                LEASE_TERM,
                LEASE_MARGIN,
                rand::random(),
            ),
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
    /// The address at which it accepts calls.
    pub addr: SocketAddr,
    /// Whether it is draining.
    pub draining: bool,
}

/// A call to an engine, and the group and its generation for which the call was made.
#[derive(Debug, Clone)]
pub(crate) struct CallRef {
    lease: lease::LeaseName,
    /// Distinguishes the group from an earlier one of the same name.
    generation: u64,
    endpoint: EndpointId,
    call: group::CallId,
}

/// An event that the task handles.
#[derive(Debug)]
pub(crate) enum Event {
    /// The groups of this data centre and the models that are declared now.
    Catalogue {
        groups: Vec<GroupEntry>,
        models: Vec<ModelEntry>,
    },
    /// All endpoints that the platform lists now.
    Endpoints(Vec<ListedEndpoint>),
    /// The other live hosts of this data centre.
    Peers(Vec<HostId>),
    /// A transaction on the platform's table ended.
    TxnDone(lease::TxnId, Result<TxnOutcome, PlatformError>),
    /// A call to an engine ended.
    CallDone(CallRef, Result<EngineState, group::CallError>),
    /// The number of requests whose KV cache an engine held, and the time of that number.
    SessionCount(CallRef, u32, Duration),
}

/// The handle of the task. The task ends when the handle is dropped.
#[derive(Debug)]
pub struct OrdersHandle {
    data_centre: DataCentre,
    tx: mpsc::UnboundedSender<Event>,
}

impl OrdersHandle {
    /// Sets the catalogue in force.
    pub fn set_catalogue(&self, catalogue: &Catalogue) {
        let mut groups = Vec::new();
        let mut models = Vec::new();
        for entry in catalogue.entries() {
            match entry {
                Entry::Group(e) if e.data_centre == self.data_centre => groups.push(e.clone()),
                Entry::Model(e) => models.push(e.clone()),
                _ => {}
            }
        }
        self.send(Event::Catalogue { groups, models });
    }

    /// Sets the endpoints that the platform lists now.
    pub fn set_endpoints(&self, listed: &[routing::Endpoint]) {
        let listed = listed.iter().map(|e| ListedEndpoint {
            id: e.id.clone(),
            addr: e.addr,
            draining: e.draining,
        });
        self.send(Event::Endpoints(listed.collect()));
    }

    /// Sets the other live entry hosts.
    pub fn set_peers(&self, peers: &[PeerInfo]) {
        let near = peers.iter().filter(|p| p.data_centre == self.data_centre);
        self.send(Event::Peers(near.map(|p| p.host.id.clone()).collect()));
    }

    fn send(&self, event: Event) {
        // The channel is closed when the host is stopping.
        let _ = self.tx.send(event);
    }
}

/// Starts the task on the current arbiter.
pub fn start(cfg: Config, clock: Clock) -> OrdersHandle {
    let (tx, rx) = mpsc::unbounded_channel();
    let handle = OrdersHandle {
        data_centre: cfg.data_centre.clone(),
        tx,
    };
    let driver = driver::Driver::new(cfg, clock, handle.tx.downgrade());
    actix_rt::spawn(driver.run(rx));
    handle
}
