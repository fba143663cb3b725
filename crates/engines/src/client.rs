//! The HTTP client of one engine.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use crate::{body, wire};

/// The longest line or body that is accepted from an engine, in bytes.
const MAX_LINE_BYTES: usize = 16 << 20;

/// Why a call to an endpoint failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection was established, so the endpoint has not received the call.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection broke or the call timed out after it was sent, so it may have run.
    #[error("answer lost: {0}")]
    Lost(String),
    /// The endpoint answered with an unexpected HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// The answer could not be parsed.
    #[error("bad answer: {0}")]
    Malformed(String),
}

impl CallError {
    /// Converts an error of the HTTP client: to [`Self::NotSent`] if the call was certainly not sent,
    /// else to [`Self::Lost`].
    pub fn from_send(e: &awc::error::SendRequestError) -> Self {
        use awc::error::{ConnectError, SendRequestError};
        match e {
            // In spite of its name, this error means that the connection was closed after the request
            // was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => Self::Lost(e.to_string()),
            SendRequestError::Connect(e) => Self::NotSent(e.to_string()),
            e => Self::Lost(e.to_string()),
        }
    }
}

/// Calls one engine over persistent connections.
#[derive(Clone)]
pub struct EngineClient {
    http: awc::Client,
    addr: SocketAddr,
}

impl EngineClient {
    /// Creates a client of the engine at `addr` that shares the connections of `http`.
    pub fn new(http: awc::Client, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Runs `steps` and passes each result to `on_result` as it arrives. Returns after the end of the
    /// response; a step may then still have no result.
    pub async fn steps(
        &self,
        steps: &[wire::TracedStep],
        timeout: Duration,
        mut on_result: impl FnMut(wire::StepResult),
    ) -> Result<(), CallError> {
        let mut rsp = self
            .http
            .post(format!("http://{}/v1/steps", self.addr))
            .timeout(timeout)
            .send_body(encode_lines(steps))
            .await
            .map_err(|e| CallError::from_send(&e))?;
        if !rsp.status().is_success() {
            return Err(CallError::Status(rsp.status().as_u16()));
        }
        let mut buf = BytesMut::new();
        while let Some(chunk) = rsp.next().await {
            let chunk = chunk.map_err(|e| CallError::Lost(e.to_string()))?;
            buf.extend_from_slice(&chunk);
            while let Some(line) = split_line(&mut buf) {
                on_result(decode(&line)?);
            }
            if buf.len() > MAX_LINE_BYTES {
                return Err(CallError::Malformed("a line is too long".into()));
            }
        }
        Ok(())
    }

    /// Frees the slot and the KV cache of a request on the engine.
    pub async fn cancel(&self, cancel: &wire::Cancel, timeout: Duration) -> Result<(), CallError> {
        self.post("/v1/cancel", cancel, timeout).await.map(drop)
    }

    /// Exports the KV cache of `request`. Returns `None` if the engine holds none.
    pub async fn export_kv(
        &self,
        request: &str,
        timeout: Duration,
    ) -> Result<Option<wire::KvCheckpoint>, CallError> {
        let mut rsp = self
            .http
            .get(format!("http://{}/v1/kv/{request}", self.addr))
            .timeout(timeout)
            .send()
            .await
            .map_err(|e| CallError::from_send(&e))?;
        match rsp.status().as_u16() {
            404 => Ok(None),
            200 => decode(&body::read(&mut rsp, MAX_LINE_BYTES).await?).map(Some),
            status => Err(CallError::Status(status)),
        }
    }

    /// Imports a KV cache that another engine exported.
    pub async fn import_kv(
        &self,
        checkpoint: &wire::KvCheckpoint,
        timeout: Duration,
    ) -> Result<(), CallError> {
        self.post("/v1/kv", checkpoint, timeout).await.map(drop)
    }

    /// Reads the engine's last report of its load.
    pub async fn load(&self, timeout: Duration) -> Result<wire::LoadReport, CallError> {
        self.get("/v1/load", timeout).await
    }

    /// Reads the changes of the engine's prefix cache after the event number `after`.
    pub async fn cache_events(
        &self,
        after: u64,
        timeout: Duration,
    ) -> Result<wire::CacheEvents, CallError> {
        self.get(&format!("/v1/cache-events?after={after}"), timeout)
            .await
    }

    /// Reads the state of the engine.
    pub async fn state(&self, timeout: Duration) -> Result<wire::EngineState, CallError> {
        self.get("/v1/state", timeout).await
    }

    /// Sends an order and returns the state of the engine. The error `Status(409)` means that the
    /// fencing number is old.
    pub async fn order(
        &self,
        order: &wire::Order,
        timeout: Duration,
    ) -> Result<wire::EngineState, CallError> {
        let body = self.post("/v1/orders", order, timeout).await?;
        decode(&body)
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let rsp = self
            .http
            .get(format!("http://{}{path}", self.addr))
            .timeout(timeout)
            .send()
            .await
            .map_err(|e| CallError::from_send(&e))?;
        decode(&read_success(rsp).await?)
    }

    async fn post<T: serde::Serialize>(
        &self,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let rsp = self
            .http
            .post(format!("http://{}{path}", self.addr))
            .timeout(timeout)
            .send_json(body)
            .await
            .map_err(|e| CallError::from_send(&e))?;
        read_success(rsp).await
    }
}

async fn read_success<S>(mut rsp: awc::ClientResponse<S>) -> Result<Bytes, CallError>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>>,
{
    if !rsp.status().is_success() {
        return Err(CallError::Status(rsp.status().as_u16()));
    }
    body::read(&mut rsp, MAX_LINE_BYTES).await
}

fn encode_lines(steps: &[wire::TracedStep]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(steps.len() * 256);
    for step in steps {
        // Writing integers and strings to memory as JSON can't fail.
        match step.traceparent {
            Some(_) => serde_json::to_writer(&mut buf, step),
            // `TracedStep` is flattened, which costs time; a step without a trace doesn't need it.
            None => serde_json::to_writer(&mut buf, &step.step),
        }
        .expect("a step can be written as JSON");
        buf.push(b'\n');
    }
    buf
}

/// Removes the first complete line from `buf` and returns it without its newline.
fn split_line(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.iter().position(|b| *b == b'\n')?;
    let line = buf.split_to(end + 1).freeze();
    Some(line.slice(..end))
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| CallError::Malformed(e.to_string()))
}
