//! The server side of a connection: reads requests, writes answers, and detects when the caller closes the connection.

use std::{io, rc::Rc, time::Duration};

use actix_http::{
    ConnectionType, Request, RequestHead, Response, ServiceConfig,
    body::BodySize,
    h1::{Codec, Message},
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use dragonflyrill_clock::awake::{self, Instant};
use dragonflyrill_fleet::catalogue::CallerLimits;
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    task,
};
use tokio_util::codec::{Decoder, Encoder};

use super::request_head;

/// The minimum free capacity of the buffer before each read.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// The maximum number of bytes of further requests that are buffered while one is answered.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// How long an idle connection that is to be closed still waits for a request that has been sent.
const CLOSING_DELAY: Duration = Duration::from_millis(20);
/// How long received bytes are discarded after the last answer, so that closing the connection does not reset it
/// before the caller has read the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that was read completely.
pub struct Received {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
}

/// Answers requests.
pub trait Handler {
    /// The limits on requests and connections that apply now.
    fn limits(&self) -> CallerLimits;
    /// Whether the connection is to be closed after the next answer.
    fn shutting_down(&self) -> bool;
    /// Answers a request. An error closes the connection, which truncates the answer.
    fn handle(
        &self,
        req: Received,
        out: &mut Responder<'_>,
    ) -> impl Future<Output = io::Result<()>>;
    /// Called if the caller closed its connection before the answer was complete.
    fn abandoned(&self);
}

/// Writes one answer.
pub struct Responder<'a> {
    io: WriteHalf<'a>,
    codec: &'a mut Codec,
    buf: BytesMut,
    close: bool,
    started: bool,
}

impl Responder<'_> {
    /// Whether the answer has been started.
    pub fn started(&self) -> bool {
        self.started
    }

    /// Sends a complete answer.
    pub async fn send_complete(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        self.head(status, headers, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            self.codec
                .encode(Message::Chunk(Some(body)), &mut self.buf)?;
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
        self.io.write_all(&self.buf).await?;
        self.buf.clear();
        Ok(())
    }
}

/// Why no complete request was read.
enum ReadFailure {
    /// The connection was closed or failed, or was idle for too long.
    Ended,
    /// The request is refused with this status.
    Refused(StatusCode),
}

/// Serves a connection until it is closed. A `true` in `closing` closes it while it is idle; a request that has begun to
/// arrive is read and answered.
pub async fn serve<H: Handler>(
    mut io: TcpStream,
    handler: Rc<H>,
    config: ServiceConfig,
    mut closing: watch::Receiver<bool>,
) {
    let mut codec = Codec::new(config);
    let mut buf = BytesMut::new();
    loop {
        let limits = handler.limits();
        if buf.is_empty() && !until_request(&mut io, &mut buf, &mut closing, &limits).await {
            return;
        }
        let received = match read_request(&mut io, &mut buf, &mut codec, &limits).await {
            Ok(received) => received,
            Err(ReadFailure::Ended) => return,
            Err(ReadFailure::Refused(status)) => {
                refuse(&mut io, &mut codec, status).await;
                return;
            }
        };
        let keep_alive = codec.keep_alive();
        let (mut reader, writer) = io.split();
        let mut out = Responder {
            io: writer,
            codec: &mut codec,
            buf: BytesMut::new(),
            close: !keep_alive || handler.shutting_down(),
            started: false,
        };
        let answered = tokio::select! {
            biased;
            answered = handler.handle(received, &mut out) => answered,
            () = until_closed(&mut reader, &mut buf) => {
                handler.abandoned();
                return;
            }
        };
        let close = out.close;
        if answered.is_err() {
            return;
        }
        if close {
            linger(&mut io).await;
            return;
        }
    }
}

/// Waits until a request begins to arrive; returns false if the connection has ended or is to be closed.
async fn until_request(
    io: &mut TcpStream,
    buf: &mut BytesMut,
    closing: &mut watch::Receiver<bool>,
    limits: &CallerLimits,
) -> bool {
    tokio::select! {
        biased;
        filled = fill(io, buf, limits.idle_timeout) => return filled.is_ok(),
        () = until_closing(closing) => {}
    }
    // A request may have arrived that was not read yet.
    fill(io, buf, CLOSING_DELAY).await.is_ok()
}

/// Waits until idle connections are to be closed.
async fn until_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Reads a request of which something has been received.
async fn read_request(
    io: &mut TcpStream,
    buf: &mut BytesMut,
    codec: &mut Codec,
    limits: &CallerLimits,
) -> Result<Received, ReadFailure> {
    let until = Instant::now() + limits.head_timeout;
    let too_large = ReadFailure::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    let request = loop {
        let buffered = buf.len();
        match codec.decode(buf) {
            Ok(Some(Message::Item(_))) if buffered - buf.len() > limits.max_head_bytes => {
                return Err(too_large);
            }
            Ok(Some(Message::Item(request))) => break request,
            Ok(_) => {}
            Err(_) => return Err(ReadFailure::Refused(StatusCode::BAD_REQUEST)),
        }
        if buf.len() > limits.max_head_bytes {
            return Err(too_large);
        }
        match fill(io, buf, until.saturating_duration_since(Instant::now())).await {
            Ok(()) => {}
            Err(_) if Instant::now() >= until => {
                return Err(ReadFailure::Refused(StatusCode::REQUEST_TIMEOUT));
            }
            Err(e) => return Err(e),
        }
    };
    let body = read_body(io, buf, codec, &request, limits).await?;
    Ok(Received {
        head: into_head(request),
        body,
    })
}

fn into_head(mut request: Request) -> RequestHead {
    let headers = std::mem::take(request.headers_mut());
    request_head(request.method().clone(), request.uri().clone(), headers)
}

async fn read_body(
    io: &mut TcpStream,
    buf: &mut BytesMut,
    codec: &mut Codec,
    request: &Request,
    limits: &CallerLimits,
) -> Result<Bytes, ReadFailure> {
    if matches!(codec.message_type(), actix_http::h1::MessageType::None) {
        return Ok(Bytes::new());
    }
    let length = request.head().headers.get(header::CONTENT_LENGTH);
    let length: Option<usize> = length.and_then(|l| l.to_str().ok()?.trim().parse().ok());
    let too_large = Err(ReadFailure::Refused(StatusCode::PAYLOAD_TOO_LARGE));
    if length.is_some_and(|l| l > limits.max_body_bytes) {
        return too_large;
    }
    if request.head().expect() && buf.is_empty() {
        let written = io.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| ReadFailure::Ended)?;
    }
    let mut body = BytesMut::new();
    loop {
        // Called even if the buffer is empty: the codec reports the end of the body in a separate call.
        let chunk = codec.decode(buf);
        match chunk.map_err(|_| ReadFailure::Refused(StatusCode::BAD_REQUEST))? {
            Some(Message::Chunk(Some(chunk))) => {
                if body.len() + chunk.len() > limits.max_body_bytes {
                    return too_large;
                }
                body.extend_from_slice(&chunk);
            }
            Some(_) => return Ok(body.freeze()),
            None => fill(io, buf, limits.idle_timeout).await?,
        }
    }
}

async fn fill(io: &mut TcpStream, buf: &mut BytesMut, limit: Duration) -> Result<(), ReadFailure> {
    buf.reserve(READ_CHUNK_BYTES);
    match awake::timeout(limit, io.read_buf(buf)).await {
        Ok(Ok(n)) if n > 0 => Ok(()),
        _ => Err(ReadFailure::Ended),
    }
}

/// Waits until the caller has closed its side of the connection; buffers the bytes of further requests meanwhile.
async fn until_closed(io: &mut ReadHalf<'_>, buf: &mut BytesMut) {
    loop {
        if buf.len() > MAX_READ_AHEAD_BYTES {
            std::future::pending::<()>().await;
        }
        // `readable` does not yield to other tasks while there are bytes.
        task::coop::consume_budget().await;
        if io.readable().await.is_err() {
            return;
        }
        buf.reserve(READ_CHUNK_BYTES);
        match io.try_read_buf(buf) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

async fn refuse(io: &mut TcpStream, codec: &mut Codec, status: StatusCode) {
    let mut response = Response::new(status);
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    let mut out = BytesMut::new();
    let head = Message::Item((response.drop_body(), BodySize::Sized(0)));
    if codec.encode(head, &mut out).is_ok() && io.write_all(&out).await.is_ok() {
        linger(io).await;
    }
}

/// Discards received bytes for up to [`LINGER_TIMEOUT`], so that closing the connection does not reset it before the
/// caller has read the answer.
async fn linger(io: &mut TcpStream) {
    if io.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1024];
    let drained = async { while io.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
    // If the caller has not closed its side by then, closing the connection resets it; the limit bounds the wait.
    let _ = awake::timeout(LINGER_TIMEOUT, drained).await;
}
