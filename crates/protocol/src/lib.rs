//! The protocol between entry hosts.
//!
//! Hosts exchange one-way [`Message`]s, collected into an [`Envelope`] for each peer. The state
//! machines behind them need no timely replies: they treat lost, duplicated and late messages as
//! normal. Only two exchanges have a reply: claims and queries for a caller's request that may run
//! on another host ([`Peer::claim`] and [`Peer::find`]), and the list of hosts and endpoints that a
//! starting host lacks ([`Peer::listing`]). The transport is tarpc over TCP.
//!
//! [`exchange`] is the protocol between hosts where the engines drive the chains themselves.
//!
//! [`membership`] has the messages that maintain the fleet's membership, and [`spread`] those that
//! distribute the catalogue; [`rights`] has the messages that lend rights of limits, and [`found`]
//! the claims and queries for requests.

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

/// Maximum size of a frame accepted from a peer, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message about the state of hosts and the endpoints of a data centre.
    Membership(membership::Message),
    /// A message about the catalogue.
    Spread(spread::Message),
    /// A message about the rights of limits.
    Rights(rights::Message),
}

/// Messages from one host to another, in the order in which they were sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: HostRef,
    /// The messages.
    pub messages: Vec<Message>,
}

/// An entry host in a [`Listing`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub id: HostId,
    /// Address at which other hosts call it.
    pub addr: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
}

/// An endpoint in a [`Listing`], as the platform listed it to the peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Stable id of the endpoint.
    pub id: EndpointId,
    /// Address at which the endpoint listens.
    pub addr: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Model or service of the endpoint.
    pub target: TargetName,
    /// Role of the endpoint.
    pub role: EndpointRole,
    /// Whether the platform lists the endpoint as draining.
    pub leaving: bool,
}

/// The role of a listed endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EndpointRole {
    /// A model engine.
    Engine {
        /// The first layer that the engine holds.
        first: u32,
        /// One past the last layer that the engine holds.
        end: u32,
        /// Kind of the accelerator; empty if unknown.
        accelerator: String,
        /// Nominal time for one layer of one token, in microseconds; 0 if unknown.
        layer_us: f64,
    },
    /// A plain service.
    Service,
}

/// The hosts and endpoints that a peer knows, for a host that starts while the platform's list
/// cannot be read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The live entry hosts, including the peer itself.
    pub hosts: Vec<ListedHost>,
    /// The endpoints; empty if the peer has no list itself.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The service that an entry host provides to its peers.
#[tarpc::service]
pub trait Peer {
    /// Accepts messages. The reply only confirms that they arrived.
    async fn deliver(envelope: Envelope);
    /// Answers which host runs a request whose key has its home on this host.
    async fn claim(claim: found::Claim) -> found::Claimed;
    /// Returns what this host knows of a request, and waits for something new if there is nothing
    /// yet.
    async fn find(query: found::Query) -> found::Found;
    /// Returns the hosts and endpoints that this host knows.
    async fn listing() -> Listing;
}
