//! The client of plain services.
//!
//! A service's answer is opaque, so that only HTTP tells whether it is complete. `awc`, by which engines are called, does
//! not: it returns a body in chunks that broke off, or one whose connection was reset, as if it were whole.

use std::{net::SocketAddr, time::Duration};

use actix_http::{RequestHead, ResponseHead, ServiceConfig};
use bytes::Bytes;
use dragonflyrill_clock::Clock;
use dragonflyrill_engines::CallError;
use dragonflyrill_gateway::http::{
    body::Body,
    body_memory::BodyMemory,
    codec_config,
    connection::{self, AnswerError, Connection},
    network::SystemNetwork,
    pool::IdleConnections,
};

/// The maximum time to connect to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum size of a service's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Calls services over connections that it keeps.
pub struct ServiceClient {
    clock: Clock,
    codec: ServiceConfig,
    idle: IdleConnections,
    /// The memory of answers that are being read.
    memory: BodyMemory,
}

impl ServiceClient {
    /// Creates a client without connections.
    pub fn new(clock: Clock, memory: BodyMemory) -> Self {
        Self {
            memory,
            idle: IdleConnections::new(clock.clone()),
            codec: codec_config(),
            clock,
        }
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self) {
        self.idle.sweep();
    }

    /// Calls the service at `addr` and reads its complete answer.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if nothing was sent, [`CallError::Lost`] if the call may have run and there is no complete
    /// answer by the time `until`.
    pub async fn call(
        &self,
        addr: SocketAddr,
        head: RequestHead,
        body: Body,
        until: Duration,
    ) -> Result<(ResponseHead, Bytes), CallError> {
        let mut connection = self.connect(addr, until).await?;
        let exchange = exchange(&mut connection, head, body, &self.memory);
        let answer = self.clock.timeout_at(until, exchange).await;
        let answer = answer.map_err(|e| CallError::Lost(e.to_string()))??;
        if connection.reusable() {
            self.idle.put(addr, connection, usize::MAX);
        }
        Ok(answer)
    }

    async fn connect(&self, addr: SocketAddr, until: Duration) -> Result<Connection, CallError> {
        if let Some(connection) = self.idle.take(addr) {
            return Ok(connection);
        }
        let left = until.saturating_sub(self.clock.now());
        let limit = CONNECT_TIMEOUT.min(left);
        let opened = connection::open_within(&SystemNetwork, addr, &self.codec, limit).await;
        opened.map_err(|e| CallError::NotSent(e.to_string()))
    }
}

async fn exchange(
    connection: &mut Connection,
    head: RequestHead,
    body: Body,
    memory: &BodyMemory,
) -> Result<(ResponseHead, Bytes), CallError> {
    let sent = connection.send(head, body).await;
    sent.map_err(|(sent, e)| match sent {
        0 => CallError::NotSent(e.to_string()),
        _ => CallError::Lost(e.to_string()),
    })?;
    let lost = |e: AnswerError| CallError::Lost(e.to_string());
    let head = connection.read_head().await.map_err(lost)?;
    let mut reservation = memory.reserve();
    let body = connection.read_body_into(&mut reservation, MAX_ANSWER_BYTES);
    let body = body.await.map_err(lost)?;
    Ok((head, body))
}
