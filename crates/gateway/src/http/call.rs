//! One small call to the store or to an endpoint's control interface, answered whole.

use std::{net::SocketAddr, time::Duration};

use actix_http::{RequestHead, ServiceConfig, header::HeaderMap};
use bytes::Bytes;
use http::{Method, StatusCode, Uri, header};
use tokio::time;

use super::{
    connection::{Broken, Connection},
    pool::Idle,
    request_head,
};

/// The largest answer that is read.
const MOST_ANSWER: usize = 16 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: it has no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// It may have had its effect, or may have it later.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// A call.
#[derive(Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// JSON or an object's bytes; may be empty.
    pub body: Bytes,
    /// It is to be done only if there is nothing of that name yet.
    pub if_absent: bool,
}

impl Call {
    /// A call that reads.
    pub fn get(uri: Uri) -> Self {
        Self {
            method: Method::GET,
            uri,
            body: Bytes::new(),
            if_absent: false,
        }
    }

    /// A call that posts JSON.
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

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// A client for small calls, with its idle connections.
pub struct Client {
    config: ServiceConfig,
    idle: Idle,
}

impl Client {
    /// A client without connections.
    pub fn new(config: ServiceConfig) -> Self {
        Self {
            config,
            idle: Idle::default(),
        }
    }

    /// Makes a call, which ends within `limit`.
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
            None => Connection::open(addr, &self.config)
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
        let unknown = |e: Broken| CallError::Unknown(e.to_string());
        let head = connection.head().await.map_err(unknown)?;
        let body = connection.whole_body(MOST_ANSWER).await.map_err(unknown)?;
        if connection.reusable() {
            self.idle.put(addr, connection, usize::MAX);
        }
        Ok(Answer {
            status: head.status,
            body,
        })
    }
}
