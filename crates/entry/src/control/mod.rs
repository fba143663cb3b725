//! The control arbiter: what the host learns from the platform and from other hosts.

pub mod actor;
pub mod asking;
pub mod early;
pub mod engines;
pub mod hosts;
pub mod orders;
pub mod peers;
pub mod store;

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::{Catalogue, DataCentre, EndpointId};
use dragonflyrill_engines::wire;
use dragonflyrill_membership::spread;
use dragonflyrill_protocol::{HostRef, rights};
use dragonflyrill_routing as routing;
use tokio::sync::mpsc;

use crate::{clock::Clock, control::peers::Inbound, host::PeerInfo};

/// What the control arbiter tells the request arbiter.
#[derive(Debug)]
pub enum News {
    /// The catalogue as of a newer revision.
    Catalogue(Catalogue),
    /// All endpoints the platform lists now.
    Endpoints(Vec<routing::Endpoint>),
    /// Whether the hosts of the data centre know that an endpoint is leaving.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it is to get no new work.
        leaving: bool,
    },
    /// Newer loads of endpoints of the data centre, each told once.
    Loads(Vec<wire::LoadReport>),
    /// Changes of an engine's prefix cache; only of engines that this host asks.
    CacheEvents(EndpointId, wire::CacheEvents),
    /// The other live entry hosts.
    Peers(Vec<PeerInfo>),
    /// A peer asks.
    Asked(Inbound),
    /// A peer sends a message about rights.
    Rights(HostRef, rights::Message),
}

/// Who this host is to its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// This life of this host.
    pub host: HostRef,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it takes peers.
    pub peers: SocketAddr,
    /// Where it takes callers.
    pub callers: SocketAddr,
}

/// The request arbiter's way to the control task.
pub type ControlSender = mpsc::UnboundedSender<actor::Event>;

/// What the control arbiter is started with.
pub struct Start {
    /// Who this host is.
    pub me: Identity,
    /// The clock both arbiters share.
    pub clock: Clock,
    /// Where peers connect.
    pub listener: std::net::TcpListener,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// Hosts to ask for the host list while the platform's can't be read.
    pub seeds: Vec<SocketAddr>,
    /// How often the platform is asked for the catalogue, by the hosts that poll it.
    pub poll: Duration,
    /// How often the platform is asked for the host list, by each host.
    pub poll_hosts: Duration,
    /// How long to wait for the peers' catalogue before the platform is asked.
    pub compare: Duration,
}

/// Starts the control arbiter's work; to be called on that arbiter.
pub fn start(
    start: Start,
    tx: ControlSender,
    rx: mpsc::UnboundedReceiver<actor::Event>,
    news: mpsc::UnboundedSender<News>,
) {
    let store = store::Store::new(start.platform, tx.clone());
    let budget = spread::Budget {
        poll_interval: start.poll,
        startup_wait: start.compare,
        ..spread::Budget::default()
    };
    let borrower = hosts::Borrower::new(start.seeds, tx.clone());
    let engines = engines::Engines::new(start.me.clone(), tx.clone());
    let orders = orders::start(orders::Config::new(&start.me, start.platform), start.clock);
    let leaving = hosts::Leaving::default();
    let lists = hosts::Lists::new(start.platform, start.me.clone(), leaving.clone());
    let parts = actor::Parts {
        store,
        leaving,
        orders,
        borrower,
        engines,
    };
    let actor = actor::Actor::new(start.clock, start.me, budget, parts, news);
    actix_rt::spawn(actor.run(rx));
    actix_rt::spawn(lists.follow(start.poll_hosts, tx.clone()));
    actix_rt::spawn(serve_peers(start.listener, tx));
}

async fn serve_peers(listener: std::net::TcpListener, tx: ControlSender) {
    let served = async {
        listener.set_nonblocking(true)?;
        peers::serve(tokio::net::TcpListener::from_std(listener)?, tx).await
    };
    if let Err(e) = served.await {
        log::error!("peers: Other hosts are not served: {e}.");
    }
}
