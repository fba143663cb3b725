//! What the gateway needs of the platform that it runs on: implemented by an adapter, and by fakes
//! in tests.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ResponseHead, header::HeaderMap};
use bytes::Bytes;
use dragonflyrill_fleet::{
    catalogue::Catalogue, endpoint_limits::RequestRate, endpoints::Endpoint,
    incarnations::StartTime, layers::LayerRange,
};
use dragonflyrill_store::PlatformError;
use futures_util::future::LocalBoxFuture;
use http::header::HeaderValue;

use crate::http::call::CallError;

/// What a caller said of its request, besides method, path and body.
#[derive(Debug, Clone, Default)]
pub struct Incoming {
    /// The id of the caller's attempt, as it was sent.
    pub attempt: Option<HeaderValue>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Tokens of the prompt, and the most of the answer.
    pub tokens: Option<(u32, u32)>,
    /// The caller's guess of the answer's tokens.
    pub answer_guess: Option<u32>,
    /// The last event that the caller has of an earlier attempt.
    pub last_event: Option<u64>,
}

/// What the gateway says of a request to the endpoint that it sends it to.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// How long the caller still waits.
    pub deadline: Duration,
    /// The name of the endpoint that is meant; any other refuses.
    pub endpoint: &'a str,
    /// Whose request it is.
    pub workspace: Option<&'a str>,
    /// Its rank, 0 is first.
    pub priority: u8,
    /// The endpoints that run it and the layers of each.
    pub chain: &'a [(SocketAddr, LayerRange)],
    /// The answer is to go on after this event.
    pub after_event: Option<u64>,
}

/// What an endpoint said with its answer.
#[derive(Debug, Clone, Default)]
pub struct AnswerFacts {
    /// The id of the attempt that it answers.
    pub attempt: Option<HeaderValue>,
    /// It vouches for the body.
    pub sealed: bool,
    /// It did not and will not run the request.
    pub not_run: bool,
    /// Another incarnation has the address, or a part does not hold its layers.
    pub misdirected: bool,
    /// The endpoint at fault, if it is not the one that answered.
    pub fault_at: Option<SocketAddr>,
    /// The body is not as the endpoint made it.
    pub encoded: bool,
    /// What it said of the requests that it takes.
    pub limit: StatedLimit,
}

/// What an answer says of how many requests a second its endpoint takes from all hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// It names no limit.
    #[default]
    None,
    /// It takes so many.
    Rate(RequestRate),
    /// It names one that can't be read.
    Unreadable,
}

/// A header that can't be used; names it.
#[derive(Debug, thiserror::Error)]
#[error("header {name}: {problem}")]
pub struct HeaderFault {
    /// The header.
    pub name: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

/// How requests and answers are marked on the wire.
pub trait Dialect {
    /// Reads what a caller said, and takes out of the head what no endpoint may see.
    fn incoming(&self, head: &mut RequestHead) -> Result<Incoming, HeaderFault>;
    /// Marks a request for an endpoint.
    fn mark(&self, headers: &mut HeaderMap, out: &Outgoing<'_>);
    /// Reads what an endpoint said.
    fn answer(&self, head: &ResponseHead) -> AnswerFacts;
    /// Takes out of an answer's headers what is not for callers.
    fn strip(&self, headers: &mut HeaderMap);
    /// The headers of an answer of the gateway's own.
    fn own_answer(&self, incoming: &Incoming, retry_after: Option<Duration>) -> HeaderMap;
    /// Whether the path asks if this host takes new connections.
    fn asks_ready(&self, path: &str) -> bool;
}

/// A place in the store's history.
pub type Mark = u64;

/// A catalogue and the document that it was read from, which other hosts are given.
#[derive(Clone)]
pub struct ReadCatalogue {
    /// The catalogue.
    pub catalogue: Rc<Catalogue>,
    /// Its document.
    pub document: Bytes,
}

/// The newest catalogue, if it is newer than what is known.
pub struct CatalogueNews {
    /// The catalogue.
    pub catalogue: Option<ReadCatalogue>,
    /// Where to go on.
    pub mark: Mark,
}

/// What has changed among the endpoints.
pub struct EndpointNews {
    /// These are all there are.
    pub whole: bool,
    /// New and changed ones.
    pub changed: Vec<Endpoint>,
    /// Entries that name no endpoint to use.
    pub unusable: Vec<UnusableEntry>,
    /// Names of those whose entries were removed.
    pub removed: Vec<Rc<str>>,
    /// Where to go on.
    pub mark: Mark,
}

/// An entry in the list of endpoints that was not written by an endpoint, or was harmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// The name that it stands under.
    pub name: Rc<str>,
    /// The version of the entry.
    pub version: u64,
    /// What is wrong with it.
    pub fault: EntryFault,
    /// In words, and short.
    pub why: String,
}

/// What is wrong with an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryFault {
    /// The name can't be that of an endpoint.
    Name,
    /// The bytes are no message.
    Bytes,
    /// A field is missing, or of another type.
    Field,
    /// A value is beyond what it may be.
    Value,
    /// The state is none that an endpoint has.
    State,
    /// The start is missing that the endpoint always says.
    Start,
}

impl EntryFault {
    /// Its label in metrics and logs.
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

/// A row of the hosts' own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Its version.
    pub version: u64,
}

/// All rows of the hosts' own, as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRows {
    /// The rows, by key in order.
    pub rows: Vec<Row>,
    /// The store's version then: rows that are written later have a higher one.
    pub version: u64,
    /// The store's clock then. It is steady, and that of no host.
    pub clock: Duration,
}

/// How a conditional write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// Done; the version of the row now.
    Done(u64),
    /// Not done: the row is as given.
    Conflict(Option<Row>),
}

/// The platform's store.
pub trait Store {
    /// Reads a catalogue's document that came from another host.
    fn decode(&self, document: Bytes) -> Result<ReadCatalogue, PlatformError>;
    /// The catalogue, read anew if `after` is `None`, else what comes within `wait`.
    fn catalogue(
        &self,
        after: Option<Mark>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<CatalogueNews, PlatformError>>;
    /// The endpoints, read anew if `after` is `None`, else what changes within `wait`.
    fn endpoints(
        &self,
        after: Option<Mark>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<EndpointNews, PlatformError>>;
    /// All rows of the hosts' own.
    fn rows(&self) -> LocalBoxFuture<'_, Result<HostRows, PlatformError>>;
    /// Writes a row if it has that version, 0 if there is none; `None` writes in any case.
    fn write(
        &self,
        key: &str,
        value: &str,
        expected: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<Written, PlatformError>>;
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ordered {
    /// Begun.
    Begun,
    /// It was so already.
    Holds,
    /// Refused; says why.
    Refused(String),
}

/// What a model engine says of itself.
#[derive(Debug, Clone, Default)]
pub struct EngineReport {
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// An order is being carried out.
    pub busy: bool,
    /// Orders that it has begun since it started.
    pub orders: u64,
    /// How many times slower it is than its accelerator should be.
    pub pace: f64,
    /// When it started, if it says so.
    pub born: Option<StartTime>,
}

/// Orders to model engines.
pub trait Engines {
    /// Has an engine hold just these layers; `orders` is how many orders it must have begun.
    fn place(
        &self,
        addr: SocketAddr,
        layers: LayerRange,
        orders: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<Ordered, CallError>>;
    /// Asks an engine for its state.
    fn report(&self, addr: SocketAddr) -> LocalBoxFuture<'_, Result<EngineReport, CallError>>;
}
