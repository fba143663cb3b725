//! Writes answers to callers, who may not read them.

use std::{io, time::Duration};

use actix_http::{
    ConnectionType, Response,
    body::BodySize,
    h1::{Codec, Message},
    header::HeaderMap,
};
use bytes::{Bytes, BytesMut};
use dragonflyrill_clock::awake;
use dragonflyrill_intake::connections::Activity;
use futures_util::FutureExt;
use http::StatusCode;
use tokio::{io::AsyncWriteExt, net::tcp::WriteHalf};
use tokio_util::codec::Encoder;

use crate::http::intake::{ConnectionGuard, Reason};

/// The maximum number of bytes of a body that are encoded at once, as encoding copies them.
const MAX_ENCODED_BYTES: usize = 64 * 1024;

/// Writes one answer.
pub struct Responder<'a> {
    io: WriteHalf<'a>,
    codec: &'a mut Codec,
    connection: &'a ConnectionGuard,
    buf: BytesMut,
    close: bool,
    started: bool,
    /// How long the caller may read nothing.
    stall_timeout: Duration,
}

impl<'a> Responder<'a> {
    /// Writes to `io`. The head of the answer says whether the connection is closed then.
    pub(super) fn new(
        io: WriteHalf<'a>,
        codec: &'a mut Codec,
        connection: &'a ConnectionGuard,
        close: bool,
        stall_timeout: Duration,
    ) -> Self {
        Self {
            io,
            codec,
            connection,
            buf: BytesMut::new(),
            close,
            started: false,
            stall_timeout,
        }
    }

    /// Whether the answer has been started.
    pub fn started(&self) -> bool {
        self.started
    }

    /// Sends a complete answer.
    pub async fn send_complete(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        mut body: Bytes,
    ) -> io::Result<()> {
        self.head(status, headers, BodySize::Sized(body.len() as u64))?;
        while !body.is_empty() {
            // The codec leaves out the body of an answer to HEAD.
            let piece = body.split_to(body.len().min(MAX_ENCODED_BYTES));
            self.codec
                .encode(Message::Chunk(Some(piece)), &mut self.buf)?;
            self.flush().await?;
        }
        self.flush().await
    }

    /// Starts an answer of unknown length. Its head is sent with the first chunk.
    pub fn start_stream(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        self.head(status, headers, BodySize::Stream)
    }

    /// Sends a chunk of an answer of unknown length.
    pub async fn send_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(Some(chunk)), &mut self.buf)?;
        self.flush().await
    }

    /// Marks an answer of unknown length as complete.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.buf)?;
        self.flush().await
    }

    fn head(&mut self, status: StatusCode, headers: HeaderMap, size: BodySize) -> io::Result<()> {
        let mut response = Response::new(status);
        *response.headers_mut() = headers;
        if self.close {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        self.started = true;
        self.codec
            .encode(Message::Item((response.drop_body(), size)), &mut self.buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        if self.buf.is_empty() {
            return Ok(());
        }
        let buf = std::mem::take(&mut self.buf);
        self.write(&buf).await?;
        self.buf = buf;
        self.buf.clear();
        Ok(())
    }

    /// Writes bytes. What the caller does not read at once is counted, and fails after the stall timeout.
    async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        if let Some(written) = self.io.write(bytes).now_or_never() {
            bytes = &bytes[written?..];
        }
        if bytes.is_empty() {
            return Ok(());
        }
        let hold = self.connection.send(bytes.len());
        while !bytes.is_empty() {
            self.connection.record_activity(Activity::Sending);
            let Ok(written) = awake::timeout(self.stall_timeout, self.io.write(bytes)).await else {
                self.connection.record_refusal(Reason::AnswerNotRead);
                return Err(io::ErrorKind::TimedOut.into());
            };
            match written? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                n => bytes = &bytes[n..],
            }
            hold.record_progress();
        }
        self.connection.record_activity(Activity::Answering);
        Ok(())
    }
}
