//! A client connection to an endpoint or to the store, which carries one request at a time.

use std::{cell::Cell, io, net::SocketAddr, time::Duration};

use actix_http::{
    ConnectionType, RequestHead, RequestHeadType, ResponseHead, ServiceConfig,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message},
    header,
};
use bytes::{Bytes, BytesMut};
use dragonflyrill_clock::awake;
use http::{Method, StatusCode};
use tokio::{io::Interest, net::TcpStream, task};
use tokio_util::codec::{Decoder, Encoder};

use super::{
    body::Body as RequestBody,
    body_memory::{BodyMemory, BodyReservation},
    network::{Network, SystemNetwork},
};

/// How long sent bytes may remain unacknowledged by the peer before the connection fails.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// The size up to which a body is sent together with its head.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;
/// The header in which a server states how long it keeps an idle connection open.
const KEEP_ALIVE: &str = "keep-alive";
/// The minimum free capacity of the buffer before each read.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// The maximum size of the heads of an answer, including informational ones, and of what a body may contain between two
/// pieces: a server in trouble may send such bytes without end.
const MAX_UNDECODED_BYTES: usize = 128 * 1024;

/// Why an answer could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection before the end of the answer.
    #[error("closed before the end of the answer")]
    Closed,
    /// The received bytes are not a valid answer.
    #[error("not an answer: {0}")]
    Malformed(String),
    /// Other long answers take all memory that such answers may take.
    #[error("no memory left for a long answer")]
    NoMemory,
}

/// How the end of an answer's body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    /// The body has been read to its end, or there is none.
    Done,
    /// By its length or its chunks, which the codec decodes.
    Framed,
    /// By the end of the connection: a truncated body can't be detected.
    UntilClose,
}

/// A connection to a server.
pub struct Connection {
    addr: SocketAddr,
    io: TcpStream,
    buf: BytesMut,
    codec: Codec,
    body: Body,
    /// Whether a request was sent, at least in part, and its answer was not read to the end.
    in_progress: bool,
    /// Whether the last request was sent completely.
    fully_sent: bool,
    /// Whether the method of the request is HEAD, so that its answer has no body.
    head_only: bool,
    /// Whether the server allows another request on this connection.
    keep_alive: bool,
    /// How long the server keeps the connection open while it is idle, if it states that.
    idle_timeout: Option<Duration>,
    /// The number of bytes that were received since the last head or piece of a body, which are those in the buffer and
    /// those that the codec has consumed.
    undecoded: usize,
    config: ServiceConfig,
    _open: OpenGuard,
}

enum Codec {
    Head(ClientCodec),
    Payload(ClientPayloadCodec),
}

/// How far a part of a request was sent.
enum SentPart {
    /// To its end.
    Whole,
    /// Until the server began to answer.
    UntilAnswer,
}

thread_local! {
    static OPEN: Cell<usize> = const { Cell::new(0) };
}

/// The number of open connections that this thread has made.
pub fn open_count() -> usize {
    OPEN.get()
}

/// Counts a connection as open until it is dropped.
struct OpenGuard;

impl OpenGuard {
    fn new() -> Self {
        OPEN.set(OPEN.get() + 1);
        Self
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        OPEN.set(OPEN.get() - 1);
    }
}

impl Connection {
    /// Opens a connection through the network of the operating system.
    pub async fn open(addr: SocketAddr, config: &ServiceConfig) -> io::Result<Self> {
        Self::open_through(&SystemNetwork, addr, config).await
    }

    /// Opens a connection through `network`.
    pub async fn open_through(
        network: &dyn Network,
        addr: SocketAddr,
        config: &ServiceConfig,
    ) -> io::Result<Self> {
        let io = network.connect(addr).await?;
        io.set_nodelay(true)?;
        socket2::SockRef::from(&io).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        Ok(Self {
            addr,
            io,
            buf: BytesMut::new(),
            codec: Codec::Head(ClientCodec::new(config.clone())),
            body: Body::Done,
            in_progress: false,
            fully_sent: true,
            head_only: false,
            keep_alive: true,
            idle_timeout: None,
            undecoded: 0,
            config: config.clone(),
            _open: OpenGuard::new(),
        })
    }

    /// The address of the server.
    pub fn peer_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the connection can carry another request: the last answer was read to its end,
    /// nothing followed it, and the peer has not closed the connection.
    pub fn reusable(&mut self) -> bool {
        let done =
            self.body == Body::Done && self.keep_alive && self.fully_sent && self.buf.is_empty();
        done && self.open_and_idle()
    }

    /// How long the server keeps the connection open while it is idle, if it has stated that.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.idle_timeout
    }

    /// Whether the peer has neither sent anything nor closed the connection.
    fn open_and_idle(&self) -> bool {
        let mut byte = [0];
        match self.io.try_read(&mut byte) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Whether the answer whose head was read has a body.
    pub fn has_body(&self) -> bool {
        self.body != Body::Done
    }

    /// Sends a request. If the connection fails, the error contains the number of bytes that were sent.
    ///
    /// Returns early if the server answers before it has received the complete request.
    pub async fn send(
        &mut self,
        head: RequestHead,
        body: impl Into<RequestBody>,
    ) -> Result<(), (usize, io::Error)> {
        let body = body.into();
        let copied = body.len() <= MAX_COPIED_BODY_BYTES;
        let mut out = BytesMut::with_capacity(1024 + if copied { body.len() } else { 0 });
        let mut codec = ClientCodec::new(self.config.clone());
        let size = match (body.len(), &head.method) {
            (0, &Method::GET | &Method::HEAD | &Method::DELETE | &Method::OPTIONS) => {
                BodySize::None
            }
            (len, _) => BodySize::Sized(len as u64),
        };
        let head_only = head.method == Method::HEAD;
        let head = RequestHeadType::Owned(head);
        let encoded = codec.encode(Message::Item((head, size)), &mut out);
        encoded.map_err(|e| (0, e))?;
        // A body with a length is sent as it is.
        if copied {
            body.pieces().for_each(|piece| out.extend_from_slice(piece));
        }
        self.codec = Codec::Head(codec);
        self.in_progress = true;
        self.undecoded = 0;
        self.fully_sent = false;
        self.head_only = head_only;
        let separate = (!copied).then_some(&body);
        let pieces = separate.into_iter().flat_map(RequestBody::pieces);
        let mut sent = 0;
        for part in std::iter::once(&out[..]).chain(pieces.map(|piece| &piece[..])) {
            match self.send_part(part).await {
                Ok(SentPart::Whole) => sent += part.len(),
                Ok(SentPart::UntilAnswer) => return Ok(()),
                Err((n, e)) => return Err((sent + n, e)),
            }
        }
        self.fully_sent = true;
        Ok(())
    }

    /// Sends a part of a request, unless the server answers before. The error contains the number of bytes that were sent
    /// of it.
    async fn send_part(&mut self, part: &[u8]) -> Result<SentPart, (usize, io::Error)> {
        let mut sent = 0;
        while sent < part.len() {
            let ready = self.io.ready(Interest::READABLE | Interest::WRITABLE).await;
            let ready = ready.map_err(|e| (sent, e))?;
            if ready.is_writable() {
                match self.io.try_write(&part[sent..]) {
                    Ok(n) => sent += n,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err((sent, e)),
                }
            } else if ready.is_readable() {
                match self.io.try_read_buf(&mut self.buf) {
                    Ok(0) => return Err((sent, io::ErrorKind::ConnectionReset.into())),
                    Ok(n) => {
                        self.undecoded = n;
                        return Ok(SentPart::UntilAnswer);
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err((sent, e)),
                }
            }
        }
        Ok(SentPart::Whole)
    }

    /// Reads the head of the answer; informational answers (1xx) are skipped.
    pub async fn read_head(&mut self) -> Result<ResponseHead, AnswerError> {
        loop {
            let Codec::Head(codec) = &mut self.codec else {
                return Err(AnswerError::Malformed(
                    "an answer is still being read".into(),
                ));
            };
            let head = match self.buf.is_empty() {
                true => None,
                false => codec
                    .decode(&mut self.buf)
                    .map_err(|e| AnswerError::Malformed(e.to_string()))?,
            };
            let Some(head) = head else {
                if self.fill().await? == 0 {
                    return Err(AnswerError::Closed);
                }
                continue;
            };
            if head.status.is_informational() {
                continue;
            }
            self.undecoded = self.buf.len();
            self.begin_body(&head);
            return Ok(head);
        }
    }

    fn begin_body(&mut self, head: &ResponseHead) {
        self.keep_alive = head.connection_type() == ConnectionType::KeepAlive;
        self.idle_timeout = idle_timeout(head);
        let next = self.new_codec();
        let Codec::Head(codec) = std::mem::replace(&mut self.codec, next) else {
            return;
        };
        let framed = !matches!(codec.message_type(), actix_http::h1::MessageType::None);
        let has_length = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        let no_body = self.head_only
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        self.body = match (framed, has_length || no_body) {
            (true, true) => Body::Framed,
            (false, true) => Body::Done,
            (_, false) => Body::UntilClose,
        };
        match self.body {
            Body::Framed => self.codec = Codec::Payload(codec.into_payload_codec()),
            Body::UntilClose => self.keep_alive = false,
            Body::Done => self.in_progress = false,
        }
    }

    fn end_body(&mut self) {
        self.body = Body::Done;
        self.in_progress = false;
    }

    fn new_codec(&self) -> Codec {
        Codec::Head(ClientCodec::new(self.config.clone()))
    }

    /// Reads the next chunk of the body; `None` at its end.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        loop {
            match (self.body, &mut self.codec) {
                (Body::Framed, Codec::Payload(codec)) => {
                    // Called even if the buffer is empty: the codec reports the end of the body in a separate call.
                    let piece = codec.decode(&mut self.buf);
                    match piece.map_err(|e| AnswerError::Malformed(e.to_string()))? {
                        Some(Some(bytes)) => {
                            self.undecoded = self.buf.len();
                            return Ok(Some(bytes));
                        }
                        Some(None) => {
                            self.undecoded = self.buf.len();
                            self.end_body();
                            self.codec = self.new_codec();
                            return Ok(None);
                        }
                        None => {}
                    }
                    if self.fill().await? == 0 {
                        return Err(AnswerError::Closed);
                    }
                }
                (Body::UntilClose, _) => {
                    if !self.buf.is_empty() {
                        self.undecoded = 0;
                        return Ok(Some(self.buf.split().freeze()));
                    }
                    if self.fill().await? == 0 {
                        self.end_body();
                        return Ok(None);
                    }
                }
                _ => return Ok(None),
            }
        }
    }

    /// Reads the complete body. Fails if it is longer than `max_bytes`.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, AnswerError> {
        let mut reservation = BodyMemory::new(usize::MAX, || false).reserve();
        self.read_body_into(&mut reservation, max_bytes).await
    }

    /// Reads the complete body into memory that is reserved for it. Fails if it is longer than `max_bytes` or if there is
    /// no memory for it.
    pub async fn read_body_into(
        &mut self,
        reservation: &mut BodyReservation,
        max_bytes: usize,
    ) -> Result<Bytes, AnswerError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.read_chunk().await? {
            let len = whole.len() + piece.len();
            if len > max_bytes {
                return Err(AnswerError::Malformed(format!(
                    "body over {max_bytes} bytes"
                )));
            }
            if !reservation.grow_to_with_relief(len).await {
                return Err(AnswerError::NoMemory);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Receives bytes; 0 at the end of the connection.
    async fn fill(&mut self) -> Result<usize, AnswerError> {
        if self.undecoded > MAX_UNDECODED_BYTES {
            return Err(AnswerError::Malformed(format!(
                "over {MAX_UNDECODED_BYTES} bytes without a head or a piece of the body"
            )));
        }
        loop {
            // `readable` completes at once while there are bytes: without this, a server that sends without a pause
            // keeps the thread, and no timer of any task fires.
            task::coop::consume_budget().await;
            self.io.readable().await?;
            self.buf.reserve(READ_CHUNK_BYTES);
            match self.io.try_read_buf(&mut self.buf) {
                Ok(n) => {
                    self.undecoded += n;
                    return Ok(n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
    }
}

impl Drop for Connection {
    /// Resets the connection if its request was abandoned. Without the reset the operating system continues to send
    /// buffered bytes over a slow link, and the endpoint receives the request seconds later, when no caller waits for
    /// it and other requests have been sent in its place.
    fn drop(&mut self) {
        if self.in_progress {
            // If this fails, the connection has already failed.
            let _ = socket2::SockRef::from(&self.io).set_linger(Some(Duration::ZERO));
        }
    }
}

/// The idle timeout that an answer states, in seconds.
fn idle_timeout(head: &ResponseHead) -> Option<Duration> {
    let stated = head.headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = stated.split(',').filter_map(|p| p.split_once('='));
    let timeout = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let seconds = timeout?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Opens a connection. Fails with [`io::ErrorKind::TimedOut`] after `limit`.
pub async fn open_within(
    network: &dyn Network,
    addr: SocketAddr,
    config: &ServiceConfig,
    limit: Duration,
) -> io::Result<Connection> {
    match awake::timeout(limit, Connection::open_through(network, addr, config)).await {
        Ok(opened) => opened,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
