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

    /// Makes a call; `body` is JSON, or empty.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        uri: Uri,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        match time::timeout(limit, self.exchange(addr, method, uri, body)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unknown(format!("none within {limit:?}"))),
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        method: Method,
        uri: Uri,
        body: Bytes,
    ) -> Result<Answer, CallError> {
        let mut connection = match self.idle.take(addr) {
            Some(connection) => connection,
            None => Connection::open(addr, &self.config)
                .await
                .map_err(|e| CallError::NotSent(e.to_string()))?,
        };
        let head = small_head(addr, method, uri, !body.is_empty());
        connection.send(head, body).await.map_err(|(sent, e)| {
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

fn small_head(addr: SocketAddr, method: Method, uri: Uri, has_body: bool) -> RequestHead {
    let mut headers = HeaderMap::with_capacity(2);
    if let Ok(host) = addr.to_string().parse() {
        headers.insert(header::HOST, host);
    }
    if has_body {
        let json = header::HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
    }
    request_head(method, uri, headers)
}
