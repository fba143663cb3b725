//! Reads the list of hosts and endpoints from the platform, and borrows it from a peer while it
//! can't be read there.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_adapter::store::{EndpointList, Table};
use dragonflyrill_catalogue::{DataCentre, EndpointId, TargetName, name::NameError};
use dragonflyrill_clock::awake;
use dragonflyrill_engines::wire;
use dragonflyrill_fleet::endpoints::Endpoint;
use dragonflyrill_membership::members::ListedPeer;
use dragonflyrill_protocol::{self as protocol, EndpointRole, HostId, ListedEndpoint, ListedHost};
use dragonflyrill_routing as routing;
use dragonflyrill_store::{
    PlatformError,
    entry_hosts::{self, EntryHost},
};
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;

use crate::control::{Identity, actor::Event, peers, store::CALL_TIMEOUT};

/// The hosts and endpoints as of one read.
#[derive(Debug)]
pub struct Listing {
    /// The entry hosts.
    pub hosts: Vec<ListedPeer>,
    /// The endpoints.
    pub endpoints: Vec<routing::Endpoint>,
}

/// Whether this host is listed as shutting down; shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct ShutdownFlag(Rc<Cell<bool>>);

impl ShutdownFlag {
    /// Lists this host as shutting down from its next read of the list on.
    pub fn set(&self) {
        self.0.set(true);
    }
}

/// Polls the list of hosts and endpoints and writes this host's own entry into it.
pub struct ListingPoller {
    me: Identity,
    table: Table,
    endpoints: EndpointList,
    shutting_down: ShutdownFlag,
}

impl ListingPoller {
    /// Creates a poller of the lists in the platform's store.
    pub fn new(platform: SocketAddr, me: Identity, shutting_down: ShutdownFlag) -> Self {
        Self {
            me,
            table: Table::new(platform, CALL_TIMEOUT),
            endpoints: EndpointList::new(platform, CALL_TIMEOUT),
            shutting_down,
        }
    }

    /// Reads the lists at the interval `poll_interval` and sends them to `tx`, until `tx` is closed.
    pub async fn run(self, poll_interval: Duration, tx: mpsc::UnboundedSender<Event>) {
        while !tx.is_closed() {
            match self.read().await {
                Ok(listing) => {
                    let _ = tx.send(Event::ListingRead(listing));
                }
                Err(e) => {
                    log::warn!("hosts: The lists of hosts and endpoints were not refreshed: {e}.");
                    let _ = tx.send(Event::ListingFailed);
                }
            }
            awake::sleep(poll_interval).await;
        }
    }

    async fn read(&self) -> Result<Listing, PlatformError> {
        let endpoints = self.endpoints.read().await?;
        let hosts = entry_hosts::list(&self.table).await?;
        let own = self.own_entry();
        if !hosts.contains(&own) {
            entry_hosts::register(&self.table, &own).await?;
        }
        Ok(Listing {
            hosts: hosts.into_iter().map(to_peer).collect(),
            endpoints: endpoints.iter().filter_map(to_routed).collect(),
        })
    }

    /// The entry of this host as it must be in the list.
    fn own_entry(&self) -> EntryHost {
        EntryHost {
            id: EndpointId(self.me.host.id.0.clone()),
            callers: self.me.callers,
            peers: self.me.peers,
            data_centre: self.me.data_centre.clone(),
            shutting_down: self.shutting_down.0.get(),
        }
    }
}

/// Borrows the list from a peer while it can't be read from the platform; one request at a time.
pub struct Borrower {
    seeds: Vec<SocketAddr>,
    tx: mpsc::UnboundedSender<Event>,
    in_flight: bool,
}

impl Borrower {
    /// Creates a borrower with the peers `seeds` of the settings; it sends the lists to `tx`.
    pub fn new(seeds: Vec<SocketAddr>, tx: mpsc::UnboundedSender<Event>) -> Self {
        Self {
            seeds,
            tx,
            in_flight: false,
        }
    }

    /// Starts a request to one of the `live` peers, or to one of the settings if there is none. Does
    /// nothing while a request is in flight. The result arrives as an [`Event::PeerListing`].
    pub fn request(&mut self, live: &[SocketAddr]) {
        let rng = &mut rand::rng();
        let chosen = live.choose(rng).or_else(|| self.seeds.choose(rng));
        let Some(addr) = chosen.copied().filter(|_| !self.in_flight) else {
            return;
        };
        self.in_flight = true;
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            let listing = peers::fetch_listing(addr).await;
            // The channel is closed when the host is stopping.
            let _ = tx.send(Event::PeerListing(listing));
        });
    }

    /// Records that the request ended, with or without an answer.
    pub fn finish_request(&mut self) {
        self.in_flight = false;
    }
}

/// Converts a list that a peer lent.
impl From<protocol::Listing> for Listing {
    fn from(lent: protocol::Listing) -> Self {
        Self {
            hosts: lent.hosts.into_iter().map(lent_host).collect(),
            endpoints: lent.endpoints.into_iter().map(lent_endpoint).collect(),
        }
    }
}

fn lent_host(host: ListedHost) -> ListedPeer {
    ListedPeer {
        id: host.id,
        addr: host.addr,
        data_centre: host.data_centre,
        shutting_down: false,
    }
}

fn lent_endpoint(lent: ListedEndpoint) -> routing::Endpoint {
    let none = wire::Layers { first: 0, end: 0 };
    let (role, layers, accelerator, layer_us) = match lent.role {
        EndpointRole::Engine {
            first,
            end,
            accelerator,
            layer_us,
        } => {
            let layers = wire::Layers { first, end };
            (routing::Role::Engine, layers, accelerator, layer_us)
        }
        EndpointRole::Service => (routing::Role::Service, none, String::new(), 0.0),
    };
    routing::Endpoint {
        id: lent.id,
        addr: lent.addr,
        role,
        data_centre: lent.data_centre,
        target: lent.target,
        layers,
        accelerator,
        layer_us,
        draining: lent.leaving,
        in_flight: 0,
        health: routing::Health::Up,
    }
}

/// Converts an endpoint to the form in which it is lent to a peer.
pub fn to_lent(endpoint: &routing::Endpoint) -> ListedEndpoint {
    let role = match endpoint.role {
        routing::Role::Engine => EndpointRole::Engine {
            first: endpoint.layers.first,
            end: endpoint.layers.end,
            accelerator: endpoint.accelerator.clone(),
            layer_us: endpoint.layer_us,
        },
        routing::Role::Service => EndpointRole::Service,
    };
    ListedEndpoint {
        id: endpoint.id.clone(),
        addr: endpoint.addr,
        data_centre: endpoint.data_centre.clone(),
        target: endpoint.target.clone(),
        role,
        leaving: endpoint.draining,
    }
}

/// Converts a listed entry host to the type of the membership.
fn to_peer(host: EntryHost) -> ListedPeer {
    ListedPeer {
        id: HostId(host.id.0),
        addr: host.peers,
        data_centre: host.data_centre,
        shutting_down: host.shutting_down,
    }
}

/// Converts a listed endpoint to the type of the router. Returns `None` and logs a warning if one of
/// its names is invalid.
fn to_routed(listed: &Endpoint) -> Option<routing::Endpoint> {
    try_to_routed(listed)
        .inspect_err(|e| log::warn!("hosts: Endpoint {} can't be used: {e}.", listed.id))
        .ok()
}

fn try_to_routed(listed: &Endpoint) -> Result<routing::Endpoint, NameError> {
    let is_engine = listed.accelerator.is_some() || listed.layers.is_some();
    let accelerator = listed.accelerator.as_deref().unwrap_or_default();
    Ok(routing::Endpoint {
        id: EndpointId::try_from(&*listed.id)?,
        addr: listed.addr,
        role: match is_engine {
            true => routing::Role::Engine,
            false => routing::Role::Service,
        },
        data_centre: DataCentre::try_from(&*listed.data_centre)?,
        target: TargetName::try_from(&*listed.service)?,
        layers: wire::Layers {
            first: listed.layers.map_or(0, |l| l.first),
            end: listed.layers.map_or(0, |l| l.end),
        },
        accelerator: accelerator.to_owned(),
        // Not in the list: the router derives it from the loads of the endpoint.
        layer_us: 0.0,
        draining: listed.draining,
        in_flight: 0,
        health: routing::Health::Up,
    })
}
