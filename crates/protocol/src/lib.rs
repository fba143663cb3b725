//! The protocol between entry hosts.
//!
//! Hosts exchange one-way [`Message`]s, gathered into an [`Envelope`] for each peer, so that the
//! state machines behind them need no replies in time: a lost, doubled or late message is their
//! normal case. Only a caller's request that may run elsewhere is asked for with a reply,
//! [`Peer::claim`] and [`Peer::find`], and the list that a starting host lacks, [`Peer::listing`].
//! The transport is tarpc over TCP.
//!
//! [`exchange`] is what hosts tell each other where engines drive chains themselves.
//!
//! [`membership`] and [`spread`] are the messages that keep the fleet together and the catalogue
//! in force; [`rights`] those that move owners' rights; [`found`] the answers about requests.

pub mod exchange;
pub mod found;
pub mod host;
pub mod membership;
pub mod rights;
pub mod spread;

pub use host::{HostId, HostRef};

use std::net::SocketAddr;

use dragonflyrill_catalogue::{DataCentre, EndpointId, TargetName};
use serde::{Deserialize, Serialize};

/// The largest frame accepted from a peer, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// One message between two hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// About who is alive.
    Membership(membership::Message),
    /// About the catalogue.
    Spread(spread::Message),
    /// About owners' rights.
    Rights(rights::Message),
}

/// Messages from one host to another, in the order they were sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: HostRef,
    /// The messages.
    pub messages: Vec<Message>,
}

/// An entry host, as a peer knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host.
    pub id: HostId,
    /// Its address for other hosts.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// An endpoint, as the platform listed it to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The stable id.
    pub id: EndpointId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The model or service.
    pub target: TargetName,
    /// What it is.
    pub role: EndpointRole,
    /// Whether it is listed as leaving.
    pub leaving: bool,
}

/// What a listed endpoint is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EndpointRole {
    /// A model engine.
    Engine {
        /// The first layer it holds.
        first: u32,
        /// One past the last layer it holds.
        end: u32,
        /// The kind of accelerator; empty where unknown.
        accelerator: String,
        /// Nominal microseconds for one layer of one token; 0 where unknown.
        layer_us: f64,
    },
    /// A plain service.
    Service,
}

/// What a host lends to one that starts while the platform's list can't be read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The live entry hosts, the lender among them.
    pub hosts: Vec<ListedHost>,
    /// The endpoints; empty if the lender knows no list itself.
    pub endpoints: Vec<ListedEndpoint>,
}

/// What one entry host does for another.
#[tarpc::service]
pub trait Peer {
    /// Takes messages in. The answer only says that they arrived.
    async fn deliver(envelope: Envelope);
    /// Says who runs a request whose key has its home here.
    async fn claim(claim: found::Claim) -> found::Claimed;
    /// Says what this host knows of a request, waiting for something new if there is nothing.
    async fn find(query: found::Query) -> found::Found;
    /// Lends the list of hosts and endpoints.
    async fn listing() -> Listing;
}
