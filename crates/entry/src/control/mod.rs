//! The control arbiter: gets the state of the system from the platform, the engines and other hosts,
//! and passes it to the request arbiter.

pub mod actor;
pub mod engines;
pub mod hosts;
pub mod orders;
pub mod peers;
pub mod pending_maps;
pub mod polling;
pub mod store;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_catalogue::{Catalogue, DataCentre, EndpointId};
use dragonflyrill_clock::Clock;
use dragonflyrill_engines::wire;
use dragonflyrill_gateway::http::intake::{Intake, IntakeConfig, RefusalCounter};
use dragonflyrill_membership::spread;
use dragonflyrill_protocol::{HostRef, rights};
use dragonflyrill_routing as routing;
use tokio::sync::mpsc;

use crate::{control::peers::Inbound, host::PeerInfo};

/// An update from the control arbiter to the request arbiter.
#[derive(Debug)]
pub enum ControlUpdate {
    /// The catalogue as of a newer revision.
    Catalogue(Catalogue),
    /// All endpoints that the platform lists now.
    Endpoints(Vec<routing::Endpoint>),
    /// An endpoint of the data centre started or stopped draining, as its hosts know.
    Draining {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the endpoint must get no new work.
        draining: bool,
    },
    /// Newer loads of endpoints of the data centre; each load is sent once.
    Loads(Vec<wire::LoadReport>),
    /// Changes of an engine's prefix cache; sent only for engines that this host polls.
    CacheEvents(EndpointId, wire::CacheEvents),
    /// The other live entry hosts.
    Peers(Vec<PeerInfo>),
    /// A request from a peer.
    PeerRequest(Inbound),
    /// A message about rights from a peer.
    Rights(HostRef, rights::Message),
}

/// The identity and the addresses of this host, as its peers know them.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The id and the incarnation of this host.
    pub host: HostRef,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address at which it accepts connections of peers.
    pub peers: SocketAddr,
    /// The address at which it accepts requests of callers.
    pub callers: SocketAddr,
}

/// The channel from the request arbiter to the control task.
pub type ControlSender = mpsc::UnboundedSender<actor::Event>;

/// The settings and resources with which the control arbiter is started.
pub struct StartConfig {
    /// The identity of this host.
    pub me: Identity,
    /// The clock that both arbiters share.
    pub clock: Clock,
    /// The socket on which connections of peers are accepted.
    pub listener: std::net::TcpListener,
    /// How much other hosts may make this one hold.
    pub intake: IntakeConfig,
    /// Counts the connections of other hosts that are refused or closed.
    pub refusals: RefusalCounter,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Hosts from which the host list is requested while it can't be read from the platform.
    pub seeds: Vec<SocketAddr>,
    /// The interval at which the hosts that poll the platform read the catalogue.
    pub poll_interval: Duration,
    /// The interval at which each host reads the host list from the platform.
    pub host_list_interval: Duration,
    /// How long a starting host waits for the catalogue of its peers before it polls the platform.
    pub startup_wait: Duration,
}

/// Starts the tasks of the control arbiter. Must be called on that arbiter.
pub fn start(
    config: StartConfig,
    tx: ControlSender,
    rx: mpsc::UnboundedReceiver<actor::Event>,
    updates: mpsc::UnboundedSender<ControlUpdate>,
) {
    let catalogue = store::CatalogueReader::new(config.platform, tx.clone());
    let budget = spread::Budget {
        poll_interval: config.poll_interval,
        startup_wait: config.startup_wait,
        ..spread::Budget::default()
    };
    let borrower = hosts::Borrower::new(config.seeds, tx.clone());
    let engines = engines::Engines::new(config.me.clone(), tx.clone());
    let orders = orders::start(
        orders::Config::new(&config.me, config.platform),
        config.clock.clone(),
    );
    let shutting_down = hosts::ShutdownFlag::default();
    let host_lists =
        hosts::ListingPoller::new(config.platform, config.me.clone(), shutting_down.clone());
    let components = actor::Components {
        catalogue,
        shutting_down,
        orders,
        borrower,
        engines,
    };
    let actor = actor::Actor::new(config.clock, config.me, budget, components, updates);
    actix_rt::spawn(actor.run(rx));
    actix_rt::spawn(host_lists.run(config.host_list_interval, tx.clone()));
    let intake = IntakeConfig {
        capacity: config.intake.capacity.of_peers(),
        ..config.intake
    };
    let intake = Intake::new(intake, config.refusals);
    actix_rt::spawn(serve_peers(config.listener, tx, intake));
}

async fn serve_peers(listener: std::net::TcpListener, tx: ControlSender, intake: Rc<Intake>) {
    let result = async {
        listener.set_nonblocking(true)?;
        peers::serve(tokio::net::TcpListener::from_std(listener)?, tx, intake).await
    };
    if let Err(e) = result.await {
        log::error!("peers: Connections of other hosts can't be accepted: {e}.");
    }
}
