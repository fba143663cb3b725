//! A client for small calls to the store or to an endpoint's control interface, which reads each answer into memory.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ServiceConfig, header::HeaderMap};
use bytes::Bytes;
use dragonflyrill_clock::{Clock, awake};
use http::{Method, StatusCode, Uri, header};

use super::{
    connection::{AnswerError, Connection},
    network::{Network, SystemNetwork},
    pool::IdleConnections,
    relayed::{RelayKind, RelayOrder, RelayResult},
    request_head,
};

/// The maximum size of an answer's body, unless a call states another one.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: the call has no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The host that was to pass the call on did not: the call has no effect.
    #[error("not relayed: {}", .0.word())]
    NotRelayed(RelayResult),
    /// The call may have taken effect, or may take effect later.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// A request to a server.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// JSON or an object's bytes; may be empty.
    pub body: Bytes,
    /// The server is to refuse the call if an object of this name exists (`If-None-Match: *`).
    pub if_absent: bool,
    /// The maximum size of the answer's body.
    pub max_answer_bytes: usize,
}

impl Call {
    /// A GET without a body.
    pub fn get(uri: Uri) -> Self {
        Self {
            method: Method::GET,
            uri,
            body: Bytes::new(),
            if_absent: false,
            max_answer_bytes: MAX_ANSWER_BYTES,
        }
    }

    /// A POST of a JSON body.
    pub fn post(uri: Uri, body: Bytes) -> Self {
        Self {
            method: Method::POST,
            uri,
            body,
            if_absent: false,
            max_answer_bytes: MAX_ANSWER_BYTES,
        }
    }

    /// Asks a host whether it reaches an endpoint.
    pub(crate) fn check() -> Self {
        Self::get(Uri::from_static("/"))
    }

    fn head(&self, path: CallPath) -> RequestHead {
        let mut headers = HeaderMap::with_capacity(3);
        if let Ok(host) = path.server.to_string().parse() {
            headers.insert(header::HOST, host);
        }
        if !self.body.is_empty() {
            let json = header::HeaderValue::from_static("application/json");
            headers.insert(header::CONTENT_TYPE, json);
        }
        if self.if_absent {
            let any = header::HeaderValue::from_static("*");
            headers.insert(header::IF_NONE_MATCH, any);
        }
        if let CallPath {
            server,
            relay: Some((_, kind)),
        } = path
        {
            RelayOrder { to: server, kind }.write(&mut headers);
        }
        request_head(self.method.clone(), self.uri.clone(), headers)
    }
}

/// How a call reaches a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPath {
    server: SocketAddr,
    /// The host that passes the call on, and what it is asked for; `None` for a connection to the server.
    relay: Option<(SocketAddr, RelayKind)>,
}

impl CallPath {
    /// A call to `server` that another host passes on.
    pub fn relayed(relay: SocketAddr, server: SocketAddr, kind: RelayKind) -> Self {
        Self {
            server,
            relay: Some((relay, kind)),
        }
    }

    /// The address that is connected to.
    fn connect_to(self) -> SocketAddr {
        self.relay.map_or(self.server, |(relay, _)| relay)
    }
}

impl From<SocketAddr> for CallPath {
    /// A call over a connection to the server.
    fn from(server: SocketAddr) -> Self {
        Self {
            server,
            relay: None,
        }
    }
}

/// The answer to a call.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A client for small calls, with a pool of idle connections.
pub struct Client {
    network: Rc<dyn Network>,
    config: ServiceConfig,
    idle: IdleConnections,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(config: ServiceConfig, clock: Clock) -> Self {
        Self::with_network(Rc::new(SystemNetwork), config, clock)
    }

    /// Creates a client that opens its connections through `network`.
    pub fn with_network(network: Rc<dyn Network>, config: ServiceConfig, clock: Clock) -> Self {
        Self {
            network,
            config,
            idle: IdleConnections::new(clock),
        }
    }

    /// Makes a call and reads its answer. Fails with [`CallError::Unknown`] after `limit`.
    pub async fn call(
        &self,
        path: impl Into<CallPath>,
        call: Call,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        match awake::timeout(limit, self.exchange(path.into(), call)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unknown(format!("none within {limit:?}"))),
        }
    }

    /// Makes a call to another host and returns what that host itself states.
    pub(crate) async fn ask_relay(
        &self,
        path: CallPath,
        call: Call,
        limit: Duration,
    ) -> Result<RelayResult, CallError> {
        match self.call(path, call, limit).await {
            Err(CallError::NotRelayed(result)) => Ok(result),
            Err(e) => Err(e),
            Ok(answer) => Err(CallError::Unknown(answer.status.to_string())),
        }
    }

    async fn open(&self, path: CallPath) -> io::Result<Connection> {
        match path.relay {
            Some((relay, _)) => Connection::open(relay, &self.config).await,
            None => Connection::open_through(&*self.network, path.server, &self.config).await,
        }
    }

    async fn exchange(&self, path: CallPath, call: Call) -> Result<Answer, CallError> {
        let addr = path.connect_to();
        let max_answer_bytes = call.max_answer_bytes;
        let mut connection = match self.idle.take(addr) {
            Some(connection) => connection,
            None => {
                let opened = self.open(path).await;
                opened.map_err(|e| CallError::NotSent(e.to_string()))?
            }
        };
        connection
            .send(call.head(path), call.body)
            .await
            .map_err(|(sent, e)| {
                let why = e.to_string();
                match sent {
                    0 => CallError::NotSent(why),
                    _ => CallError::Unknown(why),
                }
            })?;
        let unknown = |e: AnswerError| CallError::Unknown(e.to_string());
        let mut head = connection.read_head().await.map_err(unknown)?;
        let headers = std::mem::take(&mut head.headers);
        let body = connection
            .read_body(max_answer_bytes)
            .await
            .map_err(unknown)?;
        if connection.reusable() {
            self.idle.put(addr, connection, usize::MAX);
        }
        let relayed = path.relay.and_then(|_| RelayResult::read(&headers));
        if let Some(result) = relayed {
            return Err(CallError::NotRelayed(result));
        }
        Ok(Answer {
            status: head.status,
            headers,
            body,
        })
    }
}
