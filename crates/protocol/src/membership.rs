//! Messages about the state of hosts, and about the endpoints that the hosts of a data centre
//! share.

use std::net::SocketAddr;

use dragonflyrill_catalogue::{DataCentre, EndpointId};
use serde::{Deserialize, Serialize};

use crate::HostId;

/// The state of one incarnation of a host, as another host knows it.
///
/// Of two records of a host, the one with the greater [`RecordVersion`] takes precedence; with an
/// equal `RecordVersion`, the one with the greater [`State`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Name of the host.
    pub id: HostId,
    /// Incarnation that the record describes, and its refutations.
    #[serde(rename = "life")]
    pub version: RecordVersion,
    /// State of the host.
    pub state: State,
    /// Address at which other hosts call it.
    pub addr: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
}

/// An incarnation of a host, and the number of suspicions that the host has refuted in it.
///
/// A refutation does not change the incarnation: state that is bound to the incarnation, such as
/// rights, must not end because of a false suspicion.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordVersion {
    /// Increases with each start of a host of this name.
    pub incarnation: u64,
    /// Increases when the host learns that it is suspected or considered dead.
    pub refutations: u32,
}

/// The state of a host, in order of increasing severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The host's heartbeats arrive.
    Alive,
    /// No heartbeat has arrived for a while. The host may be paused or cut off.
    Suspected,
    /// No heartbeat has arrived for a long time.
    Dead,
    /// The host has announced that it is shutting down.
    Left,
}

/// A short key of a data centre: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DataCentreKey(pub u32);

/// A message that the sender is alive.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of suspicions that the sender has refuted in this incarnation.
    pub refutations: u32,
    /// Digest of all records that the sender has of hosts that are not dead.
    pub digest: u64,
    /// Other data centres from which the sender itself has received messages since its last
    /// heartbeat.
    pub reached: Vec<DataCentreKey>,
    /// The sender's own record; present while the receiver may lack it.
    pub record: Option<Record>,
}

/// A digest of the records of one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DataCentreDigest {
    /// Key of the data centre.
    pub key: DataCentreKey,
    /// Digest of its hosts that are not dead.
    pub digest: u64,
}

/// Records, and a request for others.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Records {
    /// The records.
    pub records: Vec<Record>,
    /// Data centres for which the sender requests the records that it lacks.
    pub wanted: Vec<DataCentreKey>,
}

/// A message of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// Digests by data centre; sent when the sender's records differ from the receiver's.
    Digests(Vec<DataCentreDigest>),
    /// Records that may be new to the receiver.
    Records(Records),
    /// Updates about endpoints of the data centre.
    Endpoints(EndpointNews),
}

/// Updates about endpoints between the hosts of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointNews {
    /// Signs that endpoints are draining.
    Signs(Vec<Sign>),
    /// Loads of endpoints that the sender polled.
    Reports(Vec<Report>),
}

/// The source of a [`Sign`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SignKind {
    /// The endpoint refused work or reported itself that it is draining.
    Refusal,
    /// The platform's list shows it.
    List,
    /// An operator's entry states it.
    Operator,
}

/// A sign that an endpoint is draining and gets no new work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sign {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint that is draining; 0 where endpoints do not report one. A later
    /// incarnation gets new work.
    pub incarnation: u64,
    /// Source of the sign.
    pub kind: SignKind,
    /// Remaining time for which the sign is valid, in milliseconds.
    pub ttl_ms: u32,
}

/// A short key of an endpoint: a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointKey(pub u32);

/// The load of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Number of requests that are running.
    pub running: u16,
    /// Number of requests that are waiting.
    pub waiting: u16,
    /// Age of the report when it was sent, in tenths of a second.
    pub age_ds: u8,
}
