//! The exchange between entry hosts, which keeps the number of hosts that read the platform's store
//! low.
//!
//! A host polls other hosts several times a second. With each poll it reports the load that it puts
//! on endpoints and the endpoints that failed its requests, and it receives the updates that it
//! lacks of the catalogue, of the list of endpoints and of the fleet. A lost or late call does no
//! harm, because the next one carries the same content.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// Converts a duration to whole milliseconds, the unit of times in messages and rows.
pub fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// The load of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Number of requests that run on the endpoint.
    pub requests: f32,
    /// Tokens of these requests, each counted once for each layer that the endpoint runs.
    pub token_layers: f32,
}

/// An endpoint that failed a request of a host and gets no new requests for a short time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Avoided {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Remaining time for which the endpoint is avoided, in milliseconds.
    pub left_ms: u32,
}

/// The rate of requests that an endpoint accepts from all hosts together, as far as a host knows
/// it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Limit in requests per second; `None` if the endpoint no longer declares one.
    pub per_s: Option<f64>,
    /// Age of the endpoint's answer that showed the limit, in microseconds.
    pub age_us: u64,
    /// Number of permits: in an [`PollRequest`] those that the polling host requests, in
    /// [`PollResponse`] those that it is lent.
    pub permits: u32,
    /// Number of permits that the polling host returns.
    pub returned: u32,
}

/// A position in the sequence of changes of one host's list, either of endpoints or of suspected
/// requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ListPosition {
    /// Identifies the host that owns the list, and its incarnation.
    pub origin: u64,
    /// Number of changes up to this position.
    pub version: u64,
}

/// An incarnation of an endpoint that terminated while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointTermination {
    /// Id of the incarnation.
    pub endpoint: String,
    /// Time since the termination, in milliseconds.
    pub age_ms: u64,
}

/// The quarantine of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestQuarantine {
    /// Number of times that the request has been quarantined, including this one.
    #[serde(rename = "times")]
    pub count: u32,
    /// Time since the start of the quarantine, in milliseconds.
    pub age_ms: u64,
    /// Total duration of the quarantine, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
}

/// A request during which endpoints have terminated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub request: [u8; 16],
    /// Terminations that count towards the next quarantine of the request.
    #[serde(rename = "ends")]
    pub terminations: Vec<EndpointTermination>,
    /// Time since an endpoint last answered the request, in milliseconds; `None` if no endpoint
    /// has.
    #[serde(rename = "survived_ms")]
    pub answer_age_ms: Option<u64>,
    /// The latest quarantine of the request; `None` if it has never been quarantined.
    #[serde(rename = "hold")]
    pub quarantine: Option<RequestQuarantine>,
}

/// Changes to the requests that a host suspects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Position up to which the receiver knows the list once it has applied the changes.
    #[serde(rename = "mark")]
    pub position: ListPosition,
    /// Added and changed suspects.
    pub changed: Vec<Suspect>,
}

/// The quarantine of a request as a host's row in the store records it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Fingerprint of the request, in hexadecimal digits.
    pub request: String,
    /// Number of times that the request has been quarantined, including this one.
    pub times: u32,
    /// Start of the quarantine, in milliseconds of the store's clock.
    pub since_ms: u64,
    /// End of the quarantine, in milliseconds of the store's clock.
    pub until_ms: u64,
}

/// The limit of an endpoint as a host's row in the store records it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointLimitRow {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Number of requests per second that the endpoint accepts from all hosts together.
    pub per_s: f64,
    /// Time of the last answer that showed the limit, in milliseconds of the store's clock.
    pub as_of_ms: u64,
}

/// The request of [`Exchange::exchange`]: the polling host's reports, and what it already knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The polling host. It includes the address because the polled host may not know it yet.
    pub from: FleetHost,
    /// Version of the catalogue that the polling host knows; 0 for none.
    pub catalogue: u64,
    /// Position up to which the polling host knows the polled host's list of endpoints; `None` if
    /// it requests no changes of the list.
    pub list: Option<ListPosition>,
    /// Store revision up to which the polling host knows the list of endpoints; `None` if it has
    /// not read the list itself.
    #[serde(rename = "list_known_to")]
    pub list_revision: Option<u64>,
    /// Hash of the fleet that the polling host knows.
    pub fleet: u64,
    /// Time since the store last answered the polling host directly, in microseconds; `None` if the
    /// host does not read the store or has never had an answer.
    pub read_age_us: Option<u64>,
    /// Load that the polling host puts on endpoints; the load of its entire data centre if it polls
    /// a host of another data centre.
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that the polling host avoids because of its own calls; empty if it polls a host of
    /// another data centre.
    pub avoided: Vec<Avoided>,
    /// Limits that endpoints declare, as far as the polling host knows them. It requests permits
    /// only from hosts of its own data centre.
    pub limits: Vec<EndpointLimit>,
    /// Position up to which the polling host knows the polled host's suspected requests.
    pub suspects_known: ListPosition,
    /// Requests that the polling host suspects itself and has not yet reported to the polled host.
    pub suspects: Vec<Suspect>,
    /// Whether the polling host accepts the catalogue's document in compressed form.
    #[serde(rename = "unpacks")]
    pub accepts_compressed: bool,
}

/// A host of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FleetHost {
    /// Name of the host.
    pub host: String,
    /// Increases with each start of the host's process.
    pub incarnation: u64,
    /// Address at which other hosts call it.
    pub addr: SocketAddr,
    /// Data centre of the host.
    pub data_centre: String,
}

/// A host's row in the store. It shows that the host is alive and records its share of the bounds
/// over all hosts.
///
/// The next process that starts on the host reads the row, and so do all other hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRow {
    /// The host.
    #[serde(flatten)]
    pub host: FleetHost,
    /// The host's claim of a share; missing in rows of programs that do not know claims.
    #[serde(default)]
    pub claim: Option<ShareClaim>,
    /// Number of retries that the host may make in a window, by service.
    #[serde(default, rename = "repeats")]
    pub retries: Vec<RetriesRow>,
    /// Requests that this host has quarantined: no host dispatches them.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        rename = "held_requests"
    )]
    pub quarantined_requests: Vec<QuarantineRow>,
    /// Requests during which endpoints have terminated, but not often enough for a quarantine; present only if
    /// the host reads the store for others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspected_requests: Vec<SuspectRow>,
    /// Limits that endpoints declare; present only if the host reads the store for others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoint_limits: Vec<EndpointLimitRow>,
}

/// A request during which endpoints have terminated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Fingerprint of the request, in hexadecimal.
    pub request: String,
    /// The terminations that count towards a quarantine.
    pub terminations: Vec<TerminationRow>,
}

/// The termination of an incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationRow {
    /// Id of the incarnation.
    pub endpoint: String,
    /// Time of the termination, in milliseconds of the store's clock.
    pub at_ms: u64,
}

/// A host's claim of a share of the bounds over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareClaim {
    /// Version of the row by which the share was first claimed; `None` in that row itself.
    pub since: Option<u64>,
    /// Version of the store up to which the host counts the claims of others.
    pub counted_to: u64,
    /// Time at which the host read that version, in milliseconds of the store's clock.
    pub read_at_ms: u64,
    /// When the host came to hold the share; `None` if it does not hold it.
    pub held: Option<HeldShare>,
}

/// When a host came to hold a share, and when it may use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldShare {
    /// Version of the store by which the host found that it holds the share.
    pub version: u64,
    /// Time from which the share may be used, in milliseconds of the store's clock.
    #[serde(rename = "whole_at_ms")]
    pub usable_at_ms: u64,
}

/// Number of retries that a host may make in a window for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetriesRow {
    /// Name of the service.
    pub service: String,
    /// Number of retries.
    #[serde(rename = "repeats")]
    pub retries: u32,
}

/// Summary of all hosts' claims, from one read of their rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsView {
    /// Version of the store that was read.
    pub version: u64,
    /// The store's clock at the read, in milliseconds.
    pub clock_ms: u64,
    /// Time since the read was sent, in microseconds.
    pub age_us: u64,
    /// Number of hosts with an unexpired claim.
    pub hosts: u32,
    /// The version at which the newest of these claims was first made.
    pub newest: u64,
    /// The version up to which all of these hosts count.
    pub counted_by_all: u64,
    /// The lowest version by which one of these hosts holds its share; `None` if none does.
    pub first_held: Option<u64>,
}

/// An endpoint in a list of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointListEntry {
    /// Name of the endpoint.
    pub name: String,
    /// Start time in milliseconds since the Unix epoch; `None` if the endpoint does not report it.
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<u64>,
    /// Service of the endpoint.
    pub service: String,
    /// Address at which the endpoint listens.
    pub addr: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Number of requests that the endpoint processes at the same time.
    pub slots: u32,
    /// Whether the endpoint has reported that it is draining.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Kind of its accelerator; `None` if unknown.
    pub accelerator: Option<String>,
    /// The first layer that the endpoint holds and one past the last; `None` if it holds no layers.
    pub layers: Option<(u32, u32)>,
}

/// Changes to a host's list of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    /// Position up to which the receiver knows the list once it has applied the changes.
    #[serde(rename = "mark")]
    pub position: ListPosition,
    /// Store revision up to which the list is known. It orders the lists of all hosts.
    #[serde(rename = "store_mark")]
    pub store_revision: u64,
    /// Whether `changed` is the complete list.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Added and changed endpoints.
    pub changed: Vec<EndpointListEntry>,
    /// Ids of the incarnations that have been removed.
    pub removed: Vec<String>,
    /// Ids of the endpoints whose entries lapsed while the store was unavailable. A receiver that
    /// has such an endpoint may keep it for now; others do not add it.
    #[serde(rename = "doubted")]
    pub lapsed: Vec<String>,
}

/// The row of the lease for the placement of layers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder of the lease.
    pub holder: String,
    /// Version of the row.
    pub version: u64,
}

/// The polled host's answer to an [`PollRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PollResponse {
    /// Age of the freshness proof of the catalogue, in microseconds: the time since the newest read
    /// was sent that showed that no newer catalogue exists. `None` if there was no such read.
    pub proof_age_us: Option<u64>,
    /// Time since the store's last answer about the catalogue or about the list of endpoints,
    /// whichever is longer ago, in microseconds; `None` if one of them never had an answer.
    #[serde(rename = "heard_age_us")]
    pub store_answer_age_us: Option<u64>,
    /// The host that reads the store on behalf of the polled host; `None` if the polled host reads
    /// it itself.
    pub reader: Option<String>,
    /// Whether the store is unavailable, as far as the polled host knows.
    #[serde(rename = "away")]
    pub store_unavailable: bool,
    /// Whether the polling host is granted the store probe slot: the store is unavailable and the
    /// host is to call it now.
    #[serde(rename = "turn")]
    pub probe_slot: bool,
    /// A newer catalogue: its version, and its document in the store's format, compressed if
    /// [`PollRequest::accepts_compressed`] is set.
    pub catalogue: Option<(u64, Vec<u8>)>,
    /// Changes to the list of endpoints; `None` if the polled host has no list, if none was
    /// requested, or if the update is too long to be sent.
    pub list: Option<EndpointListUpdate>,
    /// All hosts of the fleet; `None` if the polling host already knows this fleet.
    pub fleet: Option<Vec<FleetHost>>,
    /// The row of the lease for the placement of layers, if it was read.
    pub lease: Option<LeaseRow>,
    /// Summary of the claims of shares, if the hosts' rows were read.
    pub claims: Option<ClaimsView>,
    /// The load from all hosts except the polling one; the load from the polled host's data centre
    /// if the polling host is in another data centre.
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that hosts of this data centre, except the polling one, avoid because of their own
    /// calls; empty if the polling host is in another data centre.
    pub avoided: Vec<Avoided>,
    /// Limits that endpoints declare, and the permits lent to the polling host.
    pub limits: Vec<EndpointLimit>,
    /// Changes that the polling host lacks to the requests during which endpoints have terminated.
    pub suspects: SuspectUpdate,
}

/// A conditional write of the calling host's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWriteRequest {
    /// Name of the host whose row it is.
    pub host: String,
    /// Content of the row.
    pub value: String,
    /// Version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// Time of the store's clock after which the row must not be written any more, in milliseconds.
    pub not_after_ms: u64,
}

/// Outcome of a [`RowWriteRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowWriteResponse {
    /// The row was written and has this version.
    Done(u64),
    /// Nothing was written, as the row has this version; 0 if it does not exist.
    Conflict(u64),
    /// Nothing was written.
    NotWritten,
    /// The row may have been written, or may be written later.
    Unknown,
}

/// The service that an entry host provides to its peers.
#[tarpc::service]
pub trait Exchange {
    /// Merges the polling host's reports and returns the updates that it lacks.
    async fn exchange(request: PollRequest) -> PollResponse;
    /// Writes the calling host's row to the store together with those of other hosts.
    async fn write_row(request: RowWriteRequest) -> RowWriteResponse;
}
