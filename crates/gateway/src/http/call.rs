//! A client for small calls to the store or to an endpoint's control interface, which reads each answer into memory.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ServiceConfig, header::HeaderMap};
use bytes::Bytes;
use http::{Method, StatusCode, Uri, header};
use tokio::time;

use super::{
    connection::{AnswerError, Connection},
    network::{Network, SystemNetwork},
    pool::IdleConnections,
    request_head,
};

/// The maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: the call has no effect.
    #[error("not sent: {0}")]
    NotSent(String),
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
}

impl Call {
    /// A GET without a body.
    pub fn get(uri: Uri) -> Self {
        Self {
            method: Method::GET,
            uri,
            body: Bytes::new(),
            if_absent: false,
        }
    }

    /// A POST of a JSON body.
    pub fn post(uri: Uri, body: Bytes) -> Self {
        Self {
            method: Method::POST,
            uri,
            body,
            if_absent: false,
        }
    }

    fn head(&self, addr: SocketAddr) -> RequestHead {
        let mut headers = HeaderMap::with_capacity(3);
        if let Ok(host) = addr.to_string().parse() {
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
        request_head(self.method.clone(), self.uri.clone(), headers)
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
    pub fn new(config: ServiceConfig) -> Self {
        Self::with_network(Rc::new(SystemNetwork), config)
    }

    /// Creates a client that opens its connections through `network`.
    pub fn with_network(network: Rc<dyn Network>, config: ServiceConfig) -> Self {
        Self {
            network,
            config,
            idle: IdleConnections::default(),
        }
    }

    /// Makes a call and reads its answer. Fails with [`CallError::Unknown`] after `limit`.
    pub async fn call(
        &self,
        addr: SocketAddr,
        call: Call,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        match time::timeout(limit, self.exchange(addr, call)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unknown(format!("none within {limit:?}"))),
        }
    }

    async fn exchange(&self, addr: SocketAddr, call: Call) -> Result<Answer, CallError> {
        let mut connection = match self.idle.take(addr) {
            Some(connection) => connection,
            None => Connection::open_through(&*self.network, addr, &self.config)
                .await
                .map_err(|e| CallError::NotSent(e.to_string()))?,
        };
        connection
            .send(call.head(addr), call.body)
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
            .read_body(MAX_ANSWER_BYTES)
            .await
            .map_err(unknown)?;
        if connection.reusable() {
            self.idle.put(addr, connection, usize::MAX);
        }
        Ok(Answer {
            status: head.status,
            headers,
            body,
        })
    }
}
