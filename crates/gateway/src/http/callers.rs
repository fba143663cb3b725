//! A caller's connection: requests in, answers out, and a watch on whether the caller is still there.

use std::{io, rc::Rc, time::Duration};

use actix_http::{
    ConnectionType, Request, RequestHead, Response, ServiceConfig,
    body::BodySize,
    h1::{Codec, Message},
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use dragonflyrill_fleet::catalogue::CallerLimits;
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    time::{self, Instant},
};
use tokio_util::codec::{Decoder, Encoder};

use super::request_head;

/// How much is read at once.
const READ_BYTES: usize = 4 * 1024;
/// How many bytes of further requests are taken in while one is answered.
const MOST_AHEAD: usize = 64 * 1024;
/// How long bytes are still read after the last answer, so that closing does not reset it.
const LINGER: Duration = Duration::from_millis(500);

/// A request that was read whole.
pub struct Received {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// When it had been read.
    pub at: Instant,
}

/// What answers requests.
pub trait Handler {
    /// What callers may send now.
    fn limits(&self) -> CallerLimits;
    /// Whether connections are to be closed after the answer.
    fn leaving(&self) -> bool;
    /// Answers a request. An error closes the connection in the middle of the answer.
    fn handle(
        &self,
        req: Received,
        out: &mut Responder<'_>,
    ) -> impl Future<Output = io::Result<()>>;
    /// The caller closed its connection before the answer was complete.
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
    /// Whether a part of the answer has been sent.
    pub fn started(&self) -> bool {
        self.started
    }

    /// Sends a whole answer.
    pub async fn whole(
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

    /// Begins an answer of unknown length; it goes out with its first piece.
    pub fn begin(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        self.head(status, headers, BodySize::Stream)
    }

    /// Sends a piece of the answer.
    pub async fn piece(&mut self, piece: Bytes) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(Some(piece)), &mut self.buf)?;
        self.flush().await
    }

    /// Ends an answer of unknown length as complete.
    pub async fn end(&mut self) -> io::Result<()> {
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

/// Why no request was read.
enum NoRequest {
    /// The connection ended, or was idle too long.
    Ended,
    /// What came can't be served; the answer says why.
    Refused(StatusCode),
}

/// Serves a connection until it ends.
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
        let read = tokio::select! {
            biased;
            read = read_request(&mut io, &mut buf, &mut codec, &limits) => read,
            () = idle_and_closing(&mut closing) => return,
        };
        let received = match read {
            Ok(received) => received,
            Err(NoRequest::Ended) => return,
            Err(NoRequest::Refused(status)) => {
                refuse(&mut io, &mut codec, status).await;
                return;
            }
        };
        let keep = codec.keep_alive();
        let (mut reader, writer) = io.split();
        let mut out = Responder {
            io: writer,
            codec: &mut codec,
            buf: BytesMut::new(),
            close: !keep || handler.leaving(),
            started: false,
        };
        let answered = tokio::select! {
            biased;
            answered = handler.handle(received, &mut out) => answered,
            () = closed(&mut reader, &mut buf) => {
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

/// Ends when idle connections are to be closed.
async fn idle_and_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn read_request(
    io: &mut TcpStream,
    buf: &mut BytesMut,
    codec: &mut Codec,
    limits: &CallerLimits,
) -> Result<Received, NoRequest> {
    if buf.is_empty() {
        fill(io, buf, limits.idle_timeout).await?;
    }
    let until = Instant::now() + limits.head_timeout;
    let too_large = NoRequest::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    let request = loop {
        let came = buf.len();
        match codec.decode(buf) {
            Ok(Some(Message::Item(_))) if came - buf.len() > limits.max_head_bytes => {
                return Err(too_large);
            }
            Ok(Some(Message::Item(request))) => break request,
            Ok(_) => {}
            Err(_) => return Err(NoRequest::Refused(StatusCode::BAD_REQUEST)),
        }
        if buf.len() > limits.max_head_bytes {
            return Err(too_large);
        }
        match fill(io, buf, until.saturating_duration_since(Instant::now())).await {
            Ok(()) => {}
            Err(_) if Instant::now() >= until => {
                return Err(NoRequest::Refused(StatusCode::REQUEST_TIMEOUT));
            }
            Err(e) => return Err(e),
        }
    };
    let body = read_body(io, buf, codec, &request, limits).await?;
    Ok(Received {
        head: own_head(request),
        body,
        at: Instant::now(),
    })
}

fn own_head(mut request: Request) -> RequestHead {
    let headers = std::mem::take(request.headers_mut());
    request_head(request.method().clone(), request.uri().clone(), headers)
}

async fn read_body(
    io: &mut TcpStream,
    buf: &mut BytesMut,
    codec: &mut Codec,
    request: &Request,
    limits: &CallerLimits,
) -> Result<Bytes, NoRequest> {
    if matches!(codec.message_type(), actix_http::h1::MessageType::None) {
        return Ok(Bytes::new());
    }
    let length = request.head().headers.get(header::CONTENT_LENGTH);
    let length: Option<usize> = length.and_then(|l| l.to_str().ok()?.trim().parse().ok());
    let too_large = Err(NoRequest::Refused(StatusCode::PAYLOAD_TOO_LARGE));
    if length.is_some_and(|l| l > limits.max_body_bytes) {
        return too_large;
    }
    if request.head().expect() && buf.is_empty() {
        let go_on = io.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        go_on.map_err(|_| NoRequest::Ended)?;
    }
    let mut whole = BytesMut::new();
    loop {
        // Also with nothing to read: the codec tells of the end by a call of its own.
        let piece = codec.decode(buf);
        match piece.map_err(|_| NoRequest::Refused(StatusCode::BAD_REQUEST))? {
            Some(Message::Chunk(Some(piece))) => {
                if whole.len() + piece.len() > limits.max_body_bytes {
                    return too_large;
                }
                whole.extend_from_slice(&piece);
            }
            Some(_) => return Ok(whole.freeze()),
            None => fill(io, buf, limits.idle_timeout).await?,
        }
    }
}

async fn fill(io: &mut TcpStream, buf: &mut BytesMut, limit: Duration) -> Result<(), NoRequest> {
    buf.reserve(READ_BYTES);
    match time::timeout(limit, io.read_buf(buf)).await {
        Ok(Ok(n)) if n > 0 => Ok(()),
        _ => Err(NoRequest::Ended),
    }
}

/// Ends when the caller has closed its side; bytes of its next requests are kept meanwhile.
async fn closed(io: &mut ReadHalf<'_>, buf: &mut BytesMut) {
    loop {
        if buf.len() > MOST_AHEAD {
            std::future::pending::<()>().await;
        }
        if io.readable().await.is_err() {
            return;
        }
        buf.reserve(READ_BYTES);
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

/// Reads on for a moment, so that closing does not reset what was sent.
async fn linger(io: &mut TcpStream) {
    if io.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1024];
    let drained = async { while io.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
    // Whoever has not closed by then is reset: that is what the bound is for.
    let _ = time::timeout(LINGER, drained).await;
}
