//! The server side of a connection: reads requests, writes answers, and detects when the caller closes the connection.
//!
//! Everything that a caller makes the host hold is counted in an [`Intake`]. A request is refused as early as possible:
//! by its head before its body is read, and whenever there is no room for it.

mod read_ahead;
mod receiving;
mod refusal;
mod responder;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_http::{
    ConnectionType, Request, RequestHead, Response, ServiceConfig,
    body::BodySize,
    h1::{Codec, Message},
    header,
};
use bytes::BytesMut;
use dragonflyrill_clock::awake::{self, Instant};
use dragonflyrill_fleet::catalogue::CallerLimits;
use dragonflyrill_intake::{connections::Activity, memory::Source};
use futures_util::{FutureExt, future::LocalBoxFuture};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task,
};
use tokio_util::codec::{Decoder, Encoder};

use self::{
    read_ahead::ReadAhead,
    receiving::{HeadScan, PieceCount, ReceivingBody},
};
pub use self::{
    refusal::{OwnAnswer, refuse_connection, return_delay},
    responder::Responder,
};
use super::{
    body::Body,
    intake::{ConnectionGuard, Hold, Intake, Listener, Reason},
    request_head,
};

/// The minimum free capacity of the buffer before each read.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// The size of the buffer that is counted as part of a connection.
const BASE_BUFFER_BYTES: usize = 2 * READ_CHUNK_BYTES;
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
    pub body: Body,
}

/// What becomes of a request whose head was read and whose body was not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Screened {
    /// The body is read. It belongs to this source, or else to the address of the caller.
    Accepted(Option<Source>),
    /// The request was answered, and the connection is closed.
    Answered,
}

/// Answers requests.
pub trait Handler {
    /// The limits on requests and connections that apply now.
    fn limits(&self) -> CallerLimits;
    /// Whether the connection is to be closed after the next answer.
    fn shutting_down(&self) -> bool;
    /// Decides on a request by its head, before the rest of its body is read. Not called if the request has arrived
    /// completely by then.
    fn screen(
        &self,
        _head: &RequestHead,
        _out: &mut Responder<'_>,
    ) -> impl Future<Output = io::Result<Screened>> {
        async { Ok(Screened::Accepted(None)) }
    }
    /// Whether also small bodies are counted by themselves, as what is made of them outlives their connections or takes
    /// more memory.
    fn counts_small_bodies(&self) -> bool {
        false
    }
    /// The answer to a request that was not read completely; there is no head if that was not read either.
    fn refusal(&self, _head: Option<&RequestHead>, reason: Reason) -> OwnAnswer {
        reason.into()
    }
    /// Answers a request. An error closes the connection, which truncates the answer.
    fn handle(
        &self,
        req: Received,
        out: &mut Responder<'_>,
    ) -> impl Future<Output = io::Result<()>>;
    /// Called if the caller closed its connection before the answer was complete.
    fn abandoned(&self);
}

/// Why no complete request was read.
enum ReadFailure {
    /// The connection was closed or failed, or was idle for too long.
    Ended,
    /// The request was answered by its head.
    Answered,
    /// The request is refused.
    Refused(Reason),
}

impl From<Reason> for ReadFailure {
    fn from(reason: Reason) -> Self {
        Self::Refused(reason)
    }
}

/// Serves a connection that is not counted with others until it is closed, see [`serve_counted`].
pub async fn serve<H: Handler>(
    io: TcpStream,
    handler: Rc<H>,
    config: ServiceConfig,
    closing: watch::Receiver<bool>,
) {
    let unknown = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let peer = io.peer_addr().unwrap_or(unknown);
    if let Ok(connection) = Intake::unlimited().connect(Listener::Callers, peer) {
        serve_counted(io, handler, config, closing, connection).await;
    }
}

/// Serves a connection until it is closed. A `true` in `closing` closes it while it is idle; a request that has begun to
/// arrive is read and answered.
pub async fn serve_counted<H: Handler>(
    io: TcpStream,
    handler: Rc<H>,
    config: ServiceConfig,
    mut closing: watch::Receiver<bool>,
    connection: ConnectionGuard,
) {
    let mut served = ServedConnection {
        required_end: connection.until_required_to_end().boxed_local(),
        io,
        buf: BytesMut::new(),
        codec: Codec::new(config),
        handler: &*handler,
        buffered: None,
        connection: &connection,
    };
    while served.serve_one(&mut closing).await {}
}

/// A connection that is served.
struct ServedConnection<'a, H> {
    io: TcpStream,
    /// What was received and not decoded yet.
    buf: BytesMut,
    codec: Codec,
    handler: &'a H,
    /// The memory of the buffer, if it is larger than what is counted for each connection.
    buffered: Option<Hold>,
    connection: &'a ConnectionGuard,
    /// Completes when the connection is to end early, which it then does.
    required_end: LocalBoxFuture<'a, Reason>,
}

impl<H: Handler> ServedConnection<'_, H> {
    /// Reads and answers a request. Returns whether the connection can carry another one.
    async fn serve_one(&mut self, closing: &mut watch::Receiver<bool>) -> bool {
        let limits = self.handler.limits();
        match self.buf.is_empty() {
            true => {
                self.release_buffer();
                if !self.until_request(closing, &limits).await {
                    return false;
                }
            }
            // Requests that were read ahead take turns with those of other connections.
            false => task::yield_now().await,
        }
        let received = match self.read_request(&limits).await {
            Ok(received) => received,
            Err(ReadFailure::Ended) => return false,
            Err(ReadFailure::Answered) => {
                self.linger().await;
                return false;
            }
            Err(ReadFailure::Refused(_)) => return false,
        };
        self.answer(received, &limits).await
    }

    /// Gives back the buffer of a connection that waits for a request.
    fn release_buffer(&mut self) {
        self.buffered = None;
        if self.buf.capacity() > BASE_BUFFER_BYTES {
            self.buf = BytesMut::new();
        }
    }

    /// Answers a request that was read. Returns whether the connection can carry another one.
    async fn answer(&mut self, received: Received, limits: &CallerLimits) -> bool {
        self.connection.record_activity(Activity::Answering);
        if let Some(hold) = &self.buffered {
            hold.set_in_use(true);
        }
        let keep_alive = self.codec.keep_alive();
        let (mut reader, writer) = self.io.split();
        let close = !keep_alive || self.handler.shutting_down();
        let mut out = Responder::new(
            writer,
            &mut self.codec,
            self.connection,
            close,
            limits.idle_timeout,
        );
        let mut read_ahead = ReadAhead::new(&mut self.buf, &mut self.buffered, self.connection);
        let answered = tokio::select! {
            biased;
            answered = self.handler.handle(received, &mut out) => answered,
            () = read_ahead.until_closed(&mut reader) => {
                self.handler.abandoned();
                return false;
            }
            reason = &mut self.required_end => {
                self.connection.record_refusal(reason);
                self.handler.abandoned();
                return false;
            }
        };
        if answered.is_err() {
            return false;
        }
        if close {
            self.linger().await;
            return false;
        }
        self.connection.record_activity(Activity::Idle);
        true
    }

    /// Waits until a request begins to arrive; returns false if the connection has ended or is to be closed.
    async fn until_request(
        &mut self,
        closing: &mut watch::Receiver<bool>,
        limits: &CallerLimits,
    ) -> bool {
        let connection = self.connection;
        tokio::select! {
            biased;
            filled = fill(&mut self.io, &mut self.buf, limits.idle_timeout) => {
                return filled.is_ok();
            }
            reason = &mut self.required_end => {
                connection.record_refusal(reason);
                return false;
            }
            () = until_closing(closing) => {}
        }
        // A request may have arrived that was not read yet.
        let filled = fill(&mut self.io, &mut self.buf, CLOSING_DELAY).await;
        filled.is_ok()
    }

    /// Reads a request of which something has been received. One that is refused is answered.
    async fn read_request(&mut self, limits: &CallerLimits) -> Result<Received, ReadFailure> {
        self.connection.record_activity(Activity::Receiving);
        if let Some(hold) = &self.buffered {
            hold.set_in_use(false);
        }
        let request = match self.read_head(limits).await {
            Err(ReadFailure::Refused(reason)) => {
                self.refuse(None, reason).await;
                return Err(reason.into());
            }
            read => read?,
        };
        let head = into_head(request);
        match self.read_body(&head, limits).await {
            Err(ReadFailure::Refused(reason)) => {
                self.refuse(Some(&head), reason).await;
                Err(reason.into())
            }
            read => Ok(Received { head, body: read? }),
        }
    }

    async fn read_head(&mut self, limits: &CallerLimits) -> Result<Request, ReadFailure> {
        let until = Instant::now() + limits.head_timeout;
        let mut scan = HeadScan::default();
        loop {
            if scan.may_be_complete(&self.buf) {
                let buffered = self.buf.len();
                let decoded = self.codec.decode(&mut self.buf);
                match decoded.map_err(|_| Reason::Malformed)? {
                    Some(Message::Item(request)) => {
                        let head_bytes = buffered - self.buf.len();
                        return match head_bytes > limits.max_head_bytes {
                            true => Err(Reason::HeadTooLarge.into()),
                            false => Ok(request),
                        };
                    }
                    _ => scan.decoded(&self.buf),
                }
            }
            if self.buf.len() > limits.max_head_bytes {
                return Err(Reason::HeadTooLarge.into());
            }
            let left = until.saturating_duration_since(Instant::now());
            match self.fill(left).await {
                Err(ReadFailure::Ended) if Instant::now() >= until => {
                    return Err(Reason::HeadTooSlow.into());
                }
                filled => filled?,
            }
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &CallerLimits,
    ) -> Result<Body, ReadFailure> {
        if matches!(self.codec.message_type(), actix_http::h1::MessageType::None) {
            return Ok(Body::default());
        }
        let intake = self.connection.intake().clone();
        let max_bytes = limits.max_body_bytes.min(intake.max_body_bytes());
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length: Option<usize> = length.and_then(|l| l.to_str().ok()?.trim().parse().ok());
        if length.is_some_and(|l| l > max_bytes) {
            return Err(Reason::BodyTooLarge.into());
        }
        let mut body = ReceivingBody::begin(self.handler, self.connection, length);
        let mut waits_since = None;
        let mut pieces = PieceCount::default();
        let mut turn = None;
        loop {
            // Called even if the buffer is empty: the codec reports the end of the body in a separate call.
            let decoded = self.codec.decode(&mut self.buf);
            match decoded.map_err(|_| Reason::Malformed)? {
                Some(Message::Chunk(Some(piece))) => {
                    if body.len() + piece.len() > max_bytes {
                        return Err(Reason::BodyTooLarge.into());
                    }
                    let appended = body.append(&piece, self.connection);
                    appended.map_err(|_| Reason::NoMemory)?;
                    if pieces.ends_turn(piece.len()) {
                        task::yield_now().await;
                        drop(turn.take());
                        if pieces.are_small() {
                            turn = intake.small_piece_turn().await;
                        }
                        pieces = PieceCount::default();
                    }
                }
                Some(_) => {
                    let finished = body.finish();
                    return finished.map_err(|_| Reason::RequestDropped.into());
                }
                None => {
                    drop(turn.take());
                    let since = match waits_since {
                        Some(since) => since,
                        None => {
                            body.set_source(self.screen(head, limits).await?);
                            *waits_since.insert(Instant::now())
                        }
                    };
                    let left = intake.body_timeout().saturating_sub(since.elapsed());
                    let filled = self.fill(left.min(limits.idle_timeout)).await;
                    if since.elapsed() >= intake.body_timeout() {
                        return Err(Reason::BodyTooSlow.into());
                    }
                    filled?;
                }
            }
        }
    }

    /// Has the handler decide on a request whose body has not arrived completely. Returns whose request it is.
    async fn screen(
        &mut self,
        head: &RequestHead,
        limits: &CallerLimits,
    ) -> Result<Option<Source>, ReadFailure> {
        let (_, writer) = self.io.split();
        let mut out = Responder::new(
            writer,
            &mut self.codec,
            self.connection,
            true,
            limits.idle_timeout,
        );
        let screened = self.handler.screen(head, &mut out).await;
        let source = match screened.map_err(|_| ReadFailure::Ended)? {
            Screened::Accepted(source) => source,
            Screened::Answered => return Err(ReadFailure::Answered),
        };
        if head.headers.contains_key(header::EXPECT) && self.buf.is_empty() {
            let written = self.io.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|_| ReadFailure::Ended)?;
        }
        Ok(source)
    }

    /// Receives something of a request.
    async fn fill(&mut self, limit: Duration) -> Result<(), ReadFailure> {
        let connection = self.connection;
        tokio::select! {
            biased;
            reason = &mut self.required_end => return Err(reason.into()),
            filled = fill(&mut self.io, &mut self.buf, limit) => filled?,
        }
        if self.buf.capacity() > BASE_BUFFER_BYTES {
            let hold = self.buffered.get_or_insert_with(|| connection.receive());
            let counted = hold.grow(self.buf.capacity());
            counted.map_err(|_| Reason::NoMemory)?;
        }
        Ok(())
    }

    /// Answers a request that is not read any further.
    async fn refuse(&mut self, head: Option<&RequestHead>, reason: Reason) {
        self.connection.record_refusal(reason);
        self.release_buffer();
        let answer = self.handler.refusal(head, reason);
        let mut response = Response::new(answer.status);
        *response.headers_mut() = answer.headers;
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        let size = BodySize::Sized(answer.body.len() as u64);
        let mut out = BytesMut::new();
        let head = Message::Item((response.drop_body(), size));
        if self.codec.encode(head, &mut out).is_err() {
            return;
        }
        out.extend_from_slice(&answer.body);
        // A caller that is refused and reads nothing is not waited for.
        if matches!(self.io.write_all(&out).now_or_never(), Some(Ok(()))) {
            self.linger().await;
        }
    }

    /// Discards received bytes for up to [`LINGER_TIMEOUT`], so that closing the connection does not reset it before the
    /// caller has read the answer. It ends early if another connection needs the place of this one.
    async fn linger(&mut self) {
        if self.io.shutdown().await.is_err() {
            return;
        }
        let mut rest = [0; 1024];
        let io = &mut self.io;
        let drained = async { while io.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
        // If the caller has not closed its side by then, closing the connection resets it; the limit bounds the wait.
        tokio::select! {
            _ = awake::timeout(LINGER_TIMEOUT, drained) => {}
            () = self.connection.until_replaced() => {}
        }
    }
}

/// Waits until idle connections are to be closed.
async fn until_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn into_head(mut request: Request) -> RequestHead {
    let headers = std::mem::take(request.headers_mut());
    request_head(request.method().clone(), request.uri().clone(), headers)
}

async fn fill(io: &mut TcpStream, buf: &mut BytesMut, limit: Duration) -> Result<(), ReadFailure> {
    buf.reserve(READ_CHUNK_BYTES);
    match awake::timeout(limit, io.read_buf(buf)).await {
        Ok(Ok(n)) if n > 0 => Ok(()),
        _ => Err(ReadFailure::Ended),
    }
}
