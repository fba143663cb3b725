//! Interfaces that the gateway needs from the platform. An adapter implements them; tests implement them with fakes.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ResponseHead, header::HeaderMap};
use bytes::Bytes;
use dragonflyrill_fleet::{
    catalogue::Catalogue, endpoint_limits::RequestRate, endpoints::Endpoint,
    fingerprint::Fingerprint, incarnations::StartTime, layers::LayerRange,
    stated_availability::RequestedBackoff, timeline::Timeline,
};
use dragonflyrill_store::PlatformError;
use futures_util::future::LocalBoxFuture;
use http::header::HeaderValue;

use crate::http::call::{CallError, CallPath};

/// What the headers of a caller's request state.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// The id of the caller's attempt, as received.
    pub attempt: Option<HeaderValue>,
    /// How long the caller waits for the answer, from when the request was received.
    pub deadline: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The number of tokens of the prompt, and the maximum number of tokens of the answer.
    pub tokens: Option<(u32, u32)>,
    /// The caller's estimate of the number of tokens of the answer.
    pub expected_answer_tokens: Option<u32>,
    /// The id of the last event that the caller received in an earlier attempt.
    pub last_event: Option<u64>,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_prompt_parts: Vec<Fingerprint>,
}

/// What the gateway writes into the headers of a request that it sends to an endpoint.
#[derive(Debug)]
pub struct DispatchMetadata<'a> {
    /// How much longer the caller waits.
    pub deadline: Duration,
    /// The name of the endpoint that is to run the request; any other endpoint refuses it.
    pub endpoint: &'a str,
    /// The workspace that the request belongs to.
    pub workspace: Option<&'a str>,
    /// The priority of the request; 0 is the highest.
    pub priority: u8,
    /// The endpoints of the chain that runs the request, with the layers of each.
    pub chain: &'a [(SocketAddr, LayerRange)],
    /// The id of the event after which the answer resumes.
    pub after_event: Option<u64>,
}

/// What the headers and the status of an endpoint's answer state.
#[derive(Debug, Clone, Default)]
pub struct AnswerMetadata {
    /// The id of the attempt that it answers.
    pub attempt: Option<HeaderValue>,
    /// The answer has a seal: the endpoint vouches for the body.
    pub sealed: bool,
    /// The endpoint did not run the request and will not run it.
    pub not_run: bool,
    /// The address now belongs to another incarnation, or a stage of the chain does not hold its layers.
    pub misdirected: bool,
    /// The endpoint at fault, if it is not the one that answered.
    pub failed_endpoint: Option<SocketAddr>,
    /// The body has a content encoding, so that it is not as the endpoint made it.
    pub encoded: bool,
    /// The request rate that the endpoint states it accepts.
    pub limit: StatedLimit,
    /// What the endpoint states about new work of this host.
    pub availability: AnswerAvailability,
}

/// What an endpoint's answer states about new work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerAvailability {
    /// The endpoint is draining.
    pub draining: bool,
    /// The time for which it accepts nothing from this host.
    pub backoff: StatedBackoff,
}

/// The backoff that an answer requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedBackoff {
    /// The answer requests none.
    #[default]
    None,
    /// The answer requests this one.
    For(RequestedBackoff),
    /// The answer requests one that can't be parsed.
    Unreadable,
}

/// The limit that an answer states on the requests a second that its endpoint accepts from all hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// The answer states no limit.
    #[default]
    None,
    /// The answer states this rate.
    Rate(RequestRate),
    /// The answer states a limit that can't be parsed.
    Unreadable,
}

/// A request header that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("header {name}: {problem}")]
pub struct HeaderError {
    /// The name of the header.
    pub name: &'static str,
    /// What is wrong with its value.
    pub problem: String,
}

/// How the metadata of requests and answers is represented on the wire.
pub trait Dialect {
    /// Reads the metadata of a caller's request, and removes from the head what must not reach an endpoint.
    fn read_request(&self, head: &mut RequestHead) -> Result<RequestMetadata, HeaderError>;
    /// The id of the attempt in a request that another host has written for an endpoint.
    fn attempt(&self, headers: &HeaderMap) -> Option<HeaderValue>;
    /// Writes the metadata of a request for an endpoint into its headers.
    fn write_request(&self, headers: &mut HeaderMap, out: &DispatchMetadata<'_>);
    /// Reads the metadata of an endpoint's answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerMetadata;
    /// Removes from an answer's headers what is not meant for callers.
    fn strip_answer(&self, headers: &mut HeaderMap);
    /// The headers of an answer that the gateway makes itself.
    fn own_answer_headers(
        &self,
        incoming: &RequestMetadata,
        retry_after: Option<Duration>,
    ) -> HeaderMap;
    /// Whether a request for this path is the readiness check: whether the host accepts new connections.
    fn is_readiness_path(&self, path: &str) -> bool;
}

pub use dragonflyrill_fleet::timeline::StoreRevision;

/// A catalogue, and the document that it was parsed from, which is passed to other hosts.
#[derive(Clone)]
pub struct ReadCatalogue {
    /// The parsed catalogue.
    pub catalogue: Rc<Catalogue>,
    /// The document.
    pub document: Bytes,
}

/// The result of a read of the catalogue.
pub struct CatalogueUpdate {
    /// The newest catalogue, if it is newer than the revision that the read started from.
    pub catalogue: Option<ReadCatalogue>,
    /// The revision from which the next read continues.
    pub revision: StoreRevision,
}

/// The result of a read of the list of endpoints.
pub struct EndpointUpdate {
    /// `changed` is the complete list, not just the changes.
    pub complete: bool,
    /// New and changed endpoints.
    pub changed: Vec<Endpoint>,
    /// Entries that describe no usable endpoint.
    pub unusable: Vec<UnusableEntry>,
    /// Names of endpoints whose entries were removed.
    pub removed: Vec<Rc<str>>,
    /// The revision from which the next read continues.
    pub revision: StoreRevision,
}

/// An entry in the list of endpoints that was not written by an endpoint, or is corrupt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// The name under which the entry is listed.
    pub name: Rc<str>,
    /// The version of the entry.
    pub version: u64,
    /// The kind of fault.
    pub fault: EntryFault,
    /// A short description of the fault.
    pub why: String,
}

/// What is wrong with an entry in the list of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryFault {
    /// The name is not a valid endpoint name.
    Name,
    /// The bytes can't be parsed as a message.
    Bytes,
    /// A field is missing or has the wrong type.
    Field,
    /// A value is out of range.
    Value,
    /// The state is not one that an endpoint can have.
    State,
    /// The start time is missing, though this endpoint always states it.
    Start,
}

impl EntryFault {
    /// The label of this fault in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Name => "name",
            Self::Bytes => "bytes",
            Self::Field => "field",
            Self::Value => "value",
            Self::State => "state",
            Self::Start => "start",
        }
    }
}

/// A row of the table that the hosts write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Its version.
    pub version: u64,
}

/// All rows of the table that the hosts write, as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRows {
    /// The rows, ordered by key.
    pub rows: Vec<Row>,
    /// The store's revision at that moment: rows that are written later in its timeline have a higher version.
    pub revision: StoreRevision,
    /// The store's clock at that moment. It is monotonic and independent of the clocks of the hosts.
    pub clock: Duration,
}

/// The outcome of a conditional write of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowWriteOutcome {
    /// The row was written and now has this version.
    Done(u64),
    /// Nothing was written: this is the current row, if there is one.
    Conflict(Option<Row>),
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// The key of the row.
    pub key: String,
    /// The value to write.
    pub value: String,
    /// The version that the row must have; 0 if it must not exist.
    pub expected: u64,
}

/// The outcome of a conditional write of several rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowsWriteOutcome {
    /// All rows were written and have this version now.
    Done(u64),
    /// Nothing was written: these are those of the rows that exist.
    Conflict(Vec<Row>),
}

/// The platform's store.
pub trait Store {
    /// The latest timeline that an answer of the store has stated; `None` before the first answer.
    fn timeline(&self) -> Option<Timeline>;
    /// Parses a catalogue's document that was received from another host.
    fn parse_catalogue(&self, document: Bytes) -> Result<ReadCatalogue, PlatformError>;
    /// Reads the catalogue if `after` is `None`; else waits at most `wait` for a change after that revision. The caller
    /// has to check that the answer continues from that revision ([`StoreRevision::is_continued_by`]).
    fn catalogue(
        &self,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<CatalogueUpdate, PlatformError>>;
    /// Reads the complete list of endpoints if `after` is `None`; else waits at most `wait` for changes after that
    /// revision, as [`Self::catalogue`] does.
    fn endpoints(
        &self,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<EndpointUpdate, PlatformError>>;
    /// Reads all rows of the table that the hosts write.
    fn rows(&self) -> LocalBoxFuture<'_, Result<HostRows, PlatformError>>;
    /// Writes a row of that table if the row has the `expected` version, 0 if it must not exist; `None` writes
    /// unconditionally.
    fn write(
        &self,
        key: &str,
        value: &str,
        expected: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<RowWriteOutcome, PlatformError>>;
    /// Writes several rows of that table with one call, all or none, if each has its expected version. A call takes
    /// [`MAX_ROWS_PER_WRITE`] rows at most.
    fn write_rows(
        &self,
        writes: Vec<RowWrite>,
    ) -> LocalBoxFuture<'_, Result<RowsWriteOutcome, PlatformError>>;
}

/// The maximum number of rows that one call writes.
pub const MAX_ROWS_PER_WRITE: usize = 50;

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has started to carry it out.
    Begun,
    /// The engine already holds the layers.
    Holds,
    /// The engine refused it, for this reason.
    Refused(String),
}

/// The state that a model engine reports.
#[derive(Debug, Clone, Default)]
pub struct EngineReport {
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// It is carrying out an order.
    pub busy: bool,
    /// The number of orders that it has started to carry out in this incarnation.
    pub orders: u64,
    /// How many times slower it is than its accelerator should be.
    pub slowdown_factor: f64,
    /// When it started, if it reports that.
    pub started_at: Option<StartTime>,
}

/// The outcome of a call to an engine.
#[derive(Debug)]
pub struct EngineReply<T> {
    /// The content of its answer.
    pub result: Result<T, CallError>,
    /// What its answer states about new work; nothing if there was no answer.
    pub availability: AnswerAvailability,
}

/// Calls to model engines.
pub trait Engines {
    /// Orders an engine to hold exactly these layers. If `orders` is set, the engine refuses unless it has started that
    /// many orders.
    fn place(
        &self,
        path: CallPath,
        layers: LayerRange,
        orders: Option<u64>,
    ) -> LocalBoxFuture<'_, EngineReply<OrderAnswer>>;
    /// Reads an engine's state.
    fn report(&self, path: CallPath) -> LocalBoxFuture<'_, EngineReply<EngineReport>>;
}
