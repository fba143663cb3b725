//! Asking the platform for hosts and endpoints, and a peer while the platform's can't be read.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_adapter::store::{EndpointList, Table};
use dragonflyrill_catalogue::{DataCentre, EndpointId, TargetName, name::NameError};
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

use crate::control::{Identity, actor::Event, peers, store::CALL_LIMIT};

/// The hosts and endpoints as read at one time.
#[derive(Debug)]
pub struct Listing {
    /// The entry hosts.
    pub hosts: Vec<ListedPeer>,
    /// The endpoints.
    pub endpoints: Vec<routing::Endpoint>,
}

/// Whether this host says of itself that it is leaving.
#[derive(Debug, Clone, Default)]
pub struct Leaving(Rc<Cell<bool>>);

impl Leaving {
    /// From the next look at the list on, this host is listed as leaving.
    pub fn set(&self) {
        self.0.set(true);
    }
}

/// Reads the lists and keeps this host's own entry in them.
pub struct Lists {
    me: Identity,
    table: Table,
    endpoints: EndpointList,
    leaving: Leaving,
}

impl Lists {
    /// The lists in the platform's store.
    pub fn new(platform: SocketAddr, me: Identity, leaving: Leaving) -> Self {
        Self {
            me,
            table: Table::new(platform, CALL_LIMIT),
            endpoints: EndpointList::new(platform, CALL_LIMIT),
            leaving,
        }
    }

    /// Reads the lists again and again, every `poll`, and sends them to `tx`, until nobody listens.
    pub async fn follow(self, poll: Duration, tx: mpsc::UnboundedSender<Event>) {
        while !tx.is_closed() {
            match self.read().await {
                Ok(listing) => {
                    let _ = tx.send(Event::Listed(listing));
                }
                Err(e) => {
                    log::warn!("hosts: Not refreshed: {e}.");
                    let _ = tx.send(Event::Unlisted);
                }
            }
            actix_rt::time::sleep(poll).await;
        }
    }

    async fn read(&self) -> Result<Listing, PlatformError> {
        let endpoints = self.endpoints.read().await?;
        let hosts = entry_hosts::list(&self.table).await?;
        let mine = self.mine();
        if !hosts.contains(&mine) {
            entry_hosts::register(&self.table, &mine).await?;
        }
        Ok(Listing {
            hosts: hosts.into_iter().map(listed).collect(),
            endpoints: endpoints.iter().filter_map(endpoint).collect(),
        })
    }

    /// The entry that this host is to have.
    fn mine(&self) -> EntryHost {
        EntryHost {
            id: EndpointId(self.me.host.id.0.clone()),
            callers: self.me.callers,
            peers: self.me.peers,
            data_centre: self.me.data_centre.clone(),
            shutting_down: self.leaving.0.get(),
        }
    }
}

/// Asks peers for the list while the platform's can't be read; one at a time.
pub struct Borrower {
    seeds: Vec<SocketAddr>,
    tx: mpsc::UnboundedSender<Event>,
    asking: bool,
}

impl Borrower {
    /// A borrower that knows the peers `seeds` from the settings; what it gets goes to `tx`.
    pub fn new(seeds: Vec<SocketAddr>, tx: mpsc::UnboundedSender<Event>) -> Self {
        Self {
            seeds,
            tx,
            asking: false,
        }
    }

    /// Asks one of the `live` peers, or one of the settings if none is known, without waiting.
    pub fn ask(&mut self, live: &[SocketAddr]) {
        let rng = &mut rand::rng();
        let chosen = live.choose(rng).or_else(|| self.seeds.choose(rng));
        let Some(addr) = chosen.copied().filter(|_| !self.asking) else {
            return;
        };
        self.asking = true;
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            let listing = peers::listing(addr).await;
            // Closed means that the host is stopping.
            let _ = tx.send(Event::Lent(listing));
        });
    }

    /// Takes in that the peer answered, or did not.
    pub fn answered(&mut self) {
        self.asking = false;
    }
}

/// A list as a peer lent it.
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

/// An endpoint as it is lent to a peer.
pub fn lend(endpoint: &routing::Endpoint) -> ListedEndpoint {
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

/// A listed entry host as the membership knows it.
fn listed(host: EntryHost) -> ListedPeer {
    ListedPeer {
        id: HostId(host.id.0),
        addr: host.peers,
        data_centre: host.data_centre,
        shutting_down: host.shutting_down,
    }
}

/// A listed endpoint as the router knows it; `None`, with a line in the log, if its names can't be
/// used.
fn endpoint(listed: &Endpoint) -> Option<routing::Endpoint> {
    routed(listed)
        .inspect_err(|e| log::warn!("hosts: Endpoint {} can't be used: {e}.", listed.id))
        .ok()
}

fn routed(listed: &Endpoint) -> Result<routing::Endpoint, NameError> {
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
        // The list says nothing of it: the router learns it from the endpoint's loads.
        layer_us: 0.0,
        draining: listed.draining,
        in_flight: 0,
        health: routing::Health::Up,
    })
}
