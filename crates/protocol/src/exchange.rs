//! What entry hosts tell each other so that few of them need to ask the platform's store.
//!
//! A host calls another several times a second: it tells the load that it puts on endpoints and what
//! failed it there, and gets what it lacks of the catalogue, of the list of endpoints and of the fleet. A lost or late
//! call loses nothing: the next one says the same.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// A time as messages and rows spell it, in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// The requests at one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: String,
    /// Requests that run there.
    pub requests: f32,
    /// Their tokens, each counted once for each layer that the endpoint runs.
    pub token_layers: f32,
}

/// An endpoint that failed a host, so that it gets nothing more for a moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Avoided {
    /// The endpoint.
    pub endpoint: String,
    /// For how long it is avoided still, in milliseconds.
    pub left_ms: u32,
}

/// What a host knows of the requests that an endpoint takes from all hosts together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// The endpoint.
    pub endpoint: String,
    /// Requests a second; `None` if it names no limit any more.
    pub per_s: Option<f64>,
    /// How long ago an answer showed it, in microseconds.
    pub age_us: u64,
    /// Permits: those that the host that asks wants, or those that it is lent.
    pub permits: u32,
    /// Permits that the host that asks gives back.
    pub returned: u32,
}

/// A place in the changes of one host's list of endpoints, or of the requests that it suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ListMark {
    /// Names the host whose list it is, and its incarnation.
    pub origin: u64,
    /// How many changes are known.
    pub version: u64,
}

/// A start of an endpoint that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEnd {
    /// The id of the start.
    pub endpoint: String,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

/// How long a request is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHold {
    /// How often it has been held by now.
    pub times: u32,
    /// How long ago it began, in milliseconds.
    pub age_ms: u64,
    /// How long it lasts from its beginning on, in milliseconds.
    pub lasts_ms: u64,
}

/// A request under which endpoints have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The fingerprint of the request.
    pub request: [u8; 16],
    /// Ends that count towards its next hold.
    pub ends: Vec<EndpointEnd>,
    /// How long ago an endpoint last answered it, in milliseconds, if one did.
    pub survived_ms: Option<u64>,
    /// Its hold, if it was ever held.
    pub hold: Option<RequestHold>,
}

/// What has changed among the requests that a host suspects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// Where to go on.
    pub mark: ListMark,
    /// New and changed ones.
    pub changed: Vec<Suspect>,
}

/// A hold as a host's row keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptHold {
    /// The fingerprint of the request, in hexadecimal digits.
    pub request: String,
    /// How often it has been held by now.
    pub times: u32,
    /// When it began, by the store's clock, in milliseconds.
    pub since_ms: u64,
    /// When it lapses, by the store's clock, in milliseconds.
    pub until_ms: u64,
}

/// The limit of an endpoint as a host's row keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptLimit {
    /// The endpoint.
    pub endpoint: String,
    /// Requests a second that it takes from all hosts together.
    pub per_s: f64,
    /// When an answer last showed it, by the store's clock, in milliseconds.
    pub as_of_ms: u64,
}

/// What a host tells and what it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The host that tells, and where it can be asked: the one that it calls may not know it yet.
    pub from: FleetHost,
    /// The version of the catalogue that it knows; zero for none.
    pub catalogue: u64,
    /// Up to where it knows the list of the host that it calls; `None` if it wants none of it.
    pub list: Option<ListMark>,
    /// Up to which place in the store's history it knows the list, if it does.
    pub list_known_to: Option<u64>,
    /// The hash of the fleet that it knows.
    pub fleet: u64,
    /// How long ago the store last answered the host itself, in microseconds; `None` if it does not
    /// read the store, or never had an answer.
    pub read_age_us: Option<u64>,
    /// The load of the host, or of its whole data centre if it calls another one's.
    pub loads: Vec<EndpointLoad>,
    /// What the host avoids by what it saw itself; nothing if it calls another data centre's.
    pub avoided: Vec<Avoided>,
    /// Limits that endpoints name, as far as the host knows. Permits are wanted of hosts nearby only.
    pub limits: Vec<EndpointLimit>,
    /// Up to where it knows the requests that the host suspects that it calls.
    pub suspects_known: ListMark,
    /// What it has not told that host yet of the requests that it suspects itself.
    pub suspects: Vec<Suspect>,
    /// Whether it takes the catalogue's document compressed.
    pub unpacks: bool,
}

/// A host of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FleetHost {
    /// Its name.
    pub host: String,
    /// Grows with each start.
    pub incarnation: u64,
    /// Where other hosts call it.
    pub addr: SocketAddr,
    /// Where it is.
    pub data_centre: String,
}

/// A host's row in the store: that it is alive, and its part in the bounds that all hosts share.
///
/// The process that starts next on the host reads it, and so do all other hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRow {
    /// The host.
    #[serde(flatten)]
    pub host: FleetHost,
    /// Its claim of a share; rows of programs that know of none are without.
    #[serde(default)]
    pub claim: Option<ShareClaim>,
    /// Repeats that it may make in a window, by service.
    #[serde(default)]
    pub repeats: Vec<RecordedRepeats>,
    /// Requests that no host sends any more, as this one found.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub held_requests: Vec<KeptHold>,
    /// Limits that endpoints name, if the host reads the store for others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoint_limits: Vec<KeptLimit>,
}

/// A host's claim of a share of the bounds over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareClaim {
    /// The version of the row by which it was first claimed; `None` in that row itself.
    pub since: Option<u64>,
    /// The store's version up to which the host counts others' claims.
    pub counted_to: u64,
    /// The store's clock when the host read that version, in milliseconds.
    pub read_at_ms: u64,
    /// Since when the share is held, if it is.
    pub held: Option<HeldShare>,
}

/// Since when a share is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldShare {
    /// The store's version by which the host found that it holds it.
    pub version: u64,
    /// From when on it may be used, by the store's clock, in milliseconds.
    pub whole_at_ms: u64,
}

/// Repeats that a host may make in a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRepeats {
    /// The service.
    pub service: String,
    /// How many.
    pub repeats: u32,
}

/// What a read of all hosts' rows has shown of their claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsView {
    /// The store's version that was read.
    pub version: u64,
    /// The store's clock then, in milliseconds.
    pub clock_ms: u64,
    /// How long ago the read was sent, in microseconds.
    pub age_us: u64,
    /// Hosts whose claims have not lapsed.
    pub hosts: u32,
    /// The version at which the newest of them was first claimed.
    pub newest: u64,
    /// The version up to which all of these hosts count.
    pub counted_by_all: u64,
    /// The least version of a view by which one of them holds its share.
    pub first_held: Option<u64>,
}

/// An endpoint of a list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// When it started, in milliseconds since the Unix epoch, if it says so.
    pub born_ms: Option<u64>,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it is.
    pub data_centre: String,
    /// Requests that it processes at once.
    pub slots: u32,
    /// It has said that it is leaving.
    pub leaving: bool,
    /// The kind of its accelerator.
    pub accelerator: Option<String>,
    /// The first layer that it holds, and the one after the last.
    pub layers: Option<(u32, u32)>,
}

/// What has changed in a list of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListNews {
    /// Where to go on.
    pub mark: ListMark,
    /// The place in the store's history up to which the list is known: lists of all hosts are
    /// ordered by it.
    pub store_mark: u64,
    /// These are all there are.
    pub whole: bool,
    /// New and changed ones.
    pub changed: Vec<Listed>,
    /// Ids of the starts that are gone.
    pub removed: Vec<String>,
    /// Ids of those whose entries lapsed while the store was in trouble: who has them may keep
    /// them for now, nobody else takes them.
    pub doubted: Vec<String>,
}

/// The row of the lease of placing layers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds it.
    pub holder: String,
    /// The row's version.
    pub version: u64,
}

/// What a host gets for its offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// How long ago the newest read was sent that showed the catalogue to be the newest, in
    /// microseconds; `None` if there was none.
    pub proof_age_us: Option<u64>,
    /// How long ago the store last answered, in microseconds, on the catalogue or on the list,
    /// whichever is longer ago; `None` if it never did on one of them.
    pub heard_age_us: Option<u64>,
    /// The host that reads the store for the one that answers; `None` if that reads it itself.
    pub reader: Option<String>,
    /// The store does not answer this host, as far as it knows.
    pub away: bool,
    /// The store does not answer, and the host that asks is to try it now.
    pub turn: bool,
    /// A newer catalogue: its version and its document, as the store holds it.
    pub catalogue: Option<(u64, Vec<u8>)>,
    /// What has changed among the endpoints; `None` if the host knows no list, or none was wanted.
    pub list: Option<ListNews>,
    /// The fleet, if it is another than the one known.
    pub fleet: Option<Vec<FleetHost>>,
    /// The row of the lease, if it was read.
    pub lease: Option<LeaseRow>,
    /// The claims of shares, if the hosts' rows were read.
    pub claims: Option<ClaimsView>,
    /// The loads of all hosts but the one that asks; of one data centre, if another one asks.
    pub loads: Vec<EndpointLoad>,
    /// What this data centre's hosts avoid by what they saw themselves, without the one that asks;
    /// nothing if another data centre's asks.
    pub avoided: Vec<Avoided>,
    /// Limits that endpoints name, and the permits that the host is lent.
    pub limits: Vec<EndpointLimit>,
    /// What the host lacks of the requests under which endpoints have ended.
    pub suspects: SuspectNews,
}

/// What one entry host does for another.
#[tarpc::service]
pub trait Exchange {
    /// Takes an offer and gives news.
    async fn exchange(offer: Offer) -> News;
}
