//! A connection to an endpoint or to the store, on which one request runs at a time.

use std::{io, net::SocketAddr, time::Duration};

use actix_http::{
    ConnectionType, RequestHead, RequestHeadType, ResponseHead, ServiceConfig,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message},
    header,
};
use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode};
use tokio::{io::Interest, net::TcpStream, time};
use tokio_util::codec::{Decoder, Encoder};

/// How long a peer may leave sent bytes unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
/// The header by which a server states for how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";
/// How much is read at once.
const READ_BYTES: usize = 8 * 1024;
/// The largest chunk of a body that is waited for whole; the codec hands out smaller ones.
const MOST_BUFFERED: usize = 256 * 1024;

/// Why an answer did not come whole.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection ended before the answer did.
    #[error("closed before the end of the answer")]
    Closed,
    /// What came is no answer.
    #[error("not an answer: {0}")]
    Malformed(String),
}

/// How the body of an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    /// No more is due.
    Done,
    /// The codec knows where it ends.
    Framed,
    /// With the connection. Nobody can tell whether it is whole.
    UntilClose,
}

/// A connection to a server.
pub struct Connection {
    addr: SocketAddr,
    io: TcpStream,
    buf: BytesMut,
    codec: Codec,
    body: Body,
    /// Whether a request was sent, or a part of it, and its answer was not read to the end.
    under_way: bool,
    /// Whether the request that was sent was sent whole.
    sent_whole: bool,
    /// Whether the request asked for no body.
    head_only: bool,
    /// Whether the server lets another request follow.
    keep: bool,
    /// For how long the server keeps the connection while it is idle, if it says so.
    kept_for: Option<Duration>,
    config: ServiceConfig,
}

enum Codec {
    Head(ClientCodec),
    Payload(ClientPayloadCodec),
}

impl Connection {
    /// Opens a connection.
    pub async fn open(addr: SocketAddr, config: &ServiceConfig) -> io::Result<Self> {
        let io = TcpStream::connect(addr).await?;
        io.set_nodelay(true)?;
        socket2::SockRef::from(&io).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        Ok(Self {
            addr,
            io,
            buf: BytesMut::new(),
            codec: Codec::Head(ClientCodec::new(config.clone())),
            body: Body::Done,
            under_way: false,
            sent_whole: true,
            head_only: false,
            keep: true,
            kept_for: None,
            config: config.clone(),
        })
    }

    /// The address at the other end.
    pub fn peer(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the connection can take another request: the last answer was read to its end,
    /// nothing followed it, and the peer has not closed.
    pub fn reusable(&mut self) -> bool {
        let done = self.body == Body::Done && self.keep && self.sent_whole && self.buf.is_empty();
        done && self.quiet()
    }

    /// For how long the server keeps the connection while it is idle, if it has said so.
    pub fn kept_for(&self) -> Option<Duration> {
        self.kept_for
    }

    /// Whether the peer has neither sent anything nor closed.
    fn quiet(&self) -> bool {
        let mut byte = [0];
        match self.io.try_read(&mut byte) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Sends a request. An error says that the connection failed, with how many bytes had left.
    ///
    /// Returns early if the server answers before it has the whole request.
    pub async fn send(&mut self, head: RequestHead, body: Bytes) -> Result<(), (usize, io::Error)> {
        let mut out = BytesMut::with_capacity(1024 + body.len());
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
        if !body.is_empty() {
            let encoded = codec.encode(Message::Chunk(Some(body)), &mut out);
            encoded.map_err(|e| (0, e))?;
        }
        self.codec = Codec::Head(codec);
        self.under_way = true;
        self.sent_whole = false;
        self.head_only = head_only;
        let mut sent = 0;
        while sent < out.len() {
            let ready = self.io.ready(Interest::READABLE | Interest::WRITABLE).await;
            let ready = ready.map_err(|e| (sent, e))?;
            if ready.is_writable() {
                match self.io.try_write(&out[sent..]) {
                    Ok(n) => sent += n,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err((sent, e)),
                }
            } else if ready.is_readable() {
                match self.io.try_read_buf(&mut self.buf) {
                    Ok(0) => return Err((sent, io::ErrorKind::ConnectionReset.into())),
                    Ok(_) => return Ok(()),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err((sent, e)),
                }
            }
        }
        self.sent_whole = true;
        Ok(())
    }

    /// Reads the head of the answer.
    pub async fn head(&mut self) -> Result<ResponseHead, Broken> {
        loop {
            let Codec::Head(codec) = &mut self.codec else {
                return Err(Broken::Malformed("an answer is still being read".into()));
            };
            let head = match self.buf.is_empty() {
                true => None,
                false => codec
                    .decode(&mut self.buf)
                    .map_err(|e| Broken::Malformed(e.to_string()))?,
            };
            let Some(head) = head else {
                if self.fill().await? == 0 {
                    return Err(Broken::Closed);
                }
                continue;
            };
            if head.status.is_informational() {
                continue;
            }
            self.begin_body(&head);
            return Ok(head);
        }
    }

    fn begin_body(&mut self, head: &ResponseHead) {
        self.keep = head.connection_type() == ConnectionType::KeepAlive;
        self.kept_for = kept_for(head);
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
            Body::UntilClose => self.keep = false,
            Body::Done => self.under_way = false,
        }
    }

    fn end_body(&mut self) {
        self.body = Body::Done;
        self.under_way = false;
    }

    fn new_codec(&self) -> Codec {
        Codec::Head(ClientCodec::new(self.config.clone()))
    }

    /// Reads the next piece of the body; `None` at its end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            match (self.body, &mut self.codec) {
                (Body::Framed, Codec::Payload(codec)) => {
                    // Also with nothing to read: the codec tells of the end by a call of its own.
                    let piece = codec.decode(&mut self.buf);
                    match piece.map_err(|e| Broken::Malformed(e.to_string()))? {
                        Some(Some(bytes)) => return Ok(Some(bytes)),
                        Some(None) => {
                            self.end_body();
                            self.codec = self.new_codec();
                            return Ok(None);
                        }
                        None => {}
                    }
                    if self.fill().await? == 0 {
                        return Err(Broken::Closed);
                    }
                }
                (Body::UntilClose, _) => {
                    if !self.buf.is_empty() {
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

    /// Reads the whole body, unless it is longer than `most` bytes.
    pub async fn whole_body(&mut self, most: usize) -> Result<Bytes, Broken> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.chunk().await? {
            if whole.len() + piece.len() > most {
                return Err(Broken::Malformed(format!("body over {most} bytes")));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    async fn fill(&mut self) -> io::Result<usize> {
        loop {
            self.io.readable().await?;
            if self.buf.len() > MOST_BUFFERED {
                return Err(io::ErrorKind::InvalidData.into());
            }
            self.buf.reserve(READ_BYTES);
            match self.io.try_read_buf(&mut self.buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }
}

impl Drop for Connection {
    /// A request that is given up is taken back: without a reset the system goes on sending what a
    /// link holds up, and the endpoint gets it seconds later, when nobody waits for it any more and
    /// others have been sent in its place.
    fn drop(&mut self) {
        if self.under_way {
            // If that fails the connection is broken already.
            let _ = socket2::SockRef::from(&self.io).set_linger(Some(Duration::ZERO));
        }
    }
}

/// The idle timeout that an answer states, in whole seconds.
fn kept_for(head: &ResponseHead) -> Option<Duration> {
    let stated = head.headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = stated.split(',').filter_map(|p| p.split_once('='));
    let timeout = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let seconds = timeout?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Opens a connection within a time.
pub async fn open_within(
    addr: SocketAddr,
    config: &ServiceConfig,
    limit: Duration,
) -> io::Result<Connection> {
    match time::timeout(limit, Connection::open(addr, config)).await {
        Ok(opened) => opened,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
