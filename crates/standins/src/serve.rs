//! The HTTP server that all stand-ins share.

use std::{
    io,
    net::{self, SocketAddr},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::{
    HttpMessage, HttpService, Method, Request, Response, StatusCode,
    body::{BodySize, BodyStream, BoxBody, MessageBody},
    header::{self, HeaderMap},
};
use actix_server::{Server, ServerHandle};
use bytes::{Bytes, BytesMut};
use dragonflyrill_fleet::endpoints::Endpoint;
use futures_util::{Stream, StreamExt, future::LocalBoxFuture};
use serde::{Serialize, de::DeserializeOwned};
use tokio::task::JoinHandle;

/// The maximum size of a request body; larger ones are answered 413.
const MAX_BODY_BYTES: usize = 64 << 20;
/// The time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 4096;

/// A running stand-in. Dropping this handle does not stop it; only [`Running::stop`] does.
pub struct Running {
    addrs: Vec<SocketAddr>,
    server: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
    handlers: Vec<Arc<dyn Handler>>,
}

impl Running {
    /// The first address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addrs[0]
    }

    /// All addresses on which it listens, in the order of its settings.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// The endpoint entries of what it serves now.
    pub fn listings(&self) -> Vec<Endpoint> {
        let pairs = self.handlers.iter().zip(&self.addrs);
        pairs
            .filter_map(|(handler, &addr)| handler.listing(addr))
            .collect()
    }

    /// Stops immediately and closes the connections of calls in progress.
    pub async fn stop(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.server.stop(false).await;
    }
}

/// One HTTP call with its complete body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// Parses the body as JSON, or returns an answer with status 400.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|err| Answer::error(StatusCode::BAD_REQUEST, &format!("body: {err}")))
    }

    /// The raw value of a query parameter, without percent-decoding.
    pub(crate) fn query_value(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The value of a header, if it is text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// How a call ends.
pub(crate) enum Answer {
    /// A complete answer.
    Complete {
        status: StatusCode,
        content_type: &'static str,
        body: Bytes,
    },
    /// Status 200 with a body that is sent in chunks; an error in the stream closes the connection.
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, AbortError>>>>),
    /// The connection is closed without an answer.
    Abort,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Answer {
    /// An answer with status 200 and a JSON body.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        Self::json_with(StatusCode::OK, value)
    }

    /// An answer with a status and a JSON body.
    pub(crate) fn json_with<T: Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::Complete {
                status,
                content_type: "application/json",
                body: body.into(),
            },
            Err(err) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
        }
    }

    /// An answer with a status and no body.
    pub(crate) fn empty(status: StatusCode) -> Self {
        Self::Complete {
            status,
            content_type: "text/plain",
            body: Bytes::new(),
        }
    }

    /// An answer with a status and a JSON body that holds the error message.
    pub(crate) fn error(status: StatusCode, error: &str) -> Self {
        Self::json_with(status, &ErrorBody { error })
    }

    /// An answer with status 404.
    pub(crate) fn not_found() -> Self {
        Self::error(StatusCode::NOT_FOUND, "no such path")
    }

    fn into_response(self) -> Response<BoxBody> {
        match self {
            Self::Complete {
                status,
                content_type,
                body,
            } => {
                let mut response = Response::build(status);
                response.insert_header((header::CONTENT_TYPE, content_type));
                response.body(body).map_into_boxed_body()
            }
            Self::Stream(stream) => Response::build(StatusCode::OK)
                .body(BodyStream::new(stream))
                .map_into_boxed_body(),
            Self::Abort => Response::with_body(StatusCode::OK, BoxBody::new(AbortBody)),
        }
    }
}

/// The error that makes the server close a connection in the middle of an answer, as a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AbortError;

impl std::fmt::Display for AbortError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by an injected fault")
    }
}

impl std::error::Error for AbortError {}

/// A body that fails before its first byte, which makes the server close the connection before it
/// flushes the head of the answer.
struct AbortBody;

impl MessageBody for AbortBody {
    type Error = AbortError;

    fn size(&self) -> BodySize {
        BodySize::Sized(1)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AbortError>>> {
        Poll::Ready(Some(Err(AbortError)))
    }
}

/// Answers the calls to one address.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn answer(self: Arc<Self>, call: Call) -> LocalBoxFuture<'static, Answer>;

    /// The current endpoint entry, or `None` if the handler is not an endpoint.
    fn listing(&self, _addr: SocketAddr) -> Option<Endpoint> {
        None
    }
}

/// Opens a listening socket; the error names the address.
pub(crate) fn bind(addr: SocketAddr) -> io::Result<net::TcpListener> {
    net::TcpListener::bind(addr)
        .map_err(|err| io::Error::new(err.kind(), format!("listen on {addr}: {err}")))
}

/// Serves each handler on its socket, all on one worker thread.
pub(crate) fn run(
    listeners: Vec<(net::TcpListener, Arc<dyn Handler>)>,
    tasks: Vec<JoinHandle<()>>,
) -> io::Result<Running> {
    let mut builder = Server::build()
        .workers(1)
        .backlog(BACKLOG)
        .disable_signals();
    let mut addrs = Vec::with_capacity(listeners.len());
    let mut handlers = Vec::with_capacity(listeners.len());
    for (listener, handler) in listeners {
        addrs.push(listener.local_addr()?);
        handlers.push(Arc::clone(&handler));
        builder = builder.listen("standin", listener, move || {
            let handler = Arc::clone(&handler);
            HttpService::build()
                .keep_alive(KEEP_ALIVE)
                .tcp_nodelay(true)
                .finish(move |req| respond(Arc::clone(&handler), req))
                .tcp()
        })?;
    }
    let server = builder.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(Running {
        addrs,
        server: handle,
        tasks,
        handlers,
    })
}

async fn respond(
    handler: Arc<dyn Handler>,
    req: Request,
) -> Result<Response<BoxBody>, actix_http::Error> {
    let answer = match read(req).await {
        Ok(call) => handler.answer(call).await,
        Err(answer) => answer,
    };
    Ok(answer.into_response())
}

async fn read(mut req: Request) -> Result<Call, Answer> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk =
            chunk.map_err(|err| Answer::error(StatusCode::BAD_REQUEST, &err.to_string()))?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(Answer::error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body too large",
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Call {
        method: req.method().clone(),
        path: req.path().to_owned(),
        query: req.uri().query().unwrap_or_default().to_owned(),
        headers: req.headers().clone(),
        body: body.freeze(),
    })
}
