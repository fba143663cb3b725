//! The HTTP server under every stand-in.

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

/// The largest request body that is taken.
const MAX_BODY: usize = 64 << 20;
/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Connections waiting to be accepted.
const BACKLOG: u32 = 4096;

/// A stand-in that runs. It goes on when this is dropped; only [`Running::stop`] ends it.
pub struct Running {
    addrs: Vec<SocketAddr>,
    server: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
    handlers: Vec<Arc<dyn Handler>>,
}

impl Running {
    /// The address it listens on; of the first one if it has more.
    pub fn addr(&self) -> SocketAddr {
        self.addrs[0]
    }

    /// All addresses it listens on, in the order of its settings.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// The entries of what it serves now.
    pub fn listings(&self) -> Vec<Endpoint> {
        let parts = self.handlers.iter().zip(&self.addrs);
        parts
            .filter_map(|(handler, &addr)| handler.listing(addr))
            .collect()
    }

    /// Stops at once; calls under way are cut.
    pub async fn stop(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.server.stop(false).await;
    }
}

/// One HTTP call with its whole body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// The body as JSON, or the answer that refuses it.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|err| Answer::error(StatusCode::BAD_REQUEST, &format!("body: {err}")))
    }

    /// The raw value of a query parameter; nothing is percent-decoded.
    pub(crate) fn query_value(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The text of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// How a call ends.
pub(crate) enum Answer {
    /// A whole answer.
    Whole {
        status: StatusCode,
        content_type: &'static str,
        body: Bytes,
    },
    /// Status 200 with a body that comes in pieces; an error in it closes the connection.
    Pieces(Pin<Box<dyn Stream<Item = Result<Bytes, CutError>>>>),
    /// The connection is closed without an answer.
    Cut,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Answer {
    /// Status 200 with a JSON body.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        Self::json_with(StatusCode::OK, value)
    }

    /// A JSON body with a status.
    pub(crate) fn json_with<T: Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::Whole {
                status,
                content_type: "application/json",
                body: body.into(),
            },
            Err(err) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
        }
    }

    /// A status without a body.
    pub(crate) fn empty(status: StatusCode) -> Self {
        Self::Whole {
            status,
            content_type: "text/plain",
            body: Bytes::new(),
        }
    }

    /// A status with a JSON body that says what is wrong.
    pub(crate) fn error(status: StatusCode, error: &str) -> Self {
        Self::json_with(status, &ErrorBody { error })
    }

    /// Status 404.
    pub(crate) fn not_found() -> Self {
        Self::error(StatusCode::NOT_FOUND, "no such path")
    }

    fn into_response(self) -> Response<BoxBody> {
        match self {
            Self::Whole {
                status,
                content_type,
                body,
            } => {
                let mut response = Response::build(status);
                response.insert_header((header::CONTENT_TYPE, content_type));
                response.body(body).map_into_boxed_body()
            }
            Self::Pieces(stream) => Response::build(StatusCode::OK)
                .body(BodyStream::new(stream))
                .map_into_boxed_body(),
            Self::Cut => Response::with_body(StatusCode::OK, BoxBody::new(CutBody)),
        }
    }
}

/// The reason for which a connection is closed in the middle of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CutError;

impl std::fmt::Display for CutError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut by the stand-in")
    }
}

impl std::error::Error for CutError {}

/// A body that fails before its first byte, by which the server closes the connection before the
/// head of the answer is flushed.
struct CutBody;

impl MessageBody for CutBody {
    type Error = CutError;

    fn size(&self) -> BodySize {
        BodySize::Sized(1)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, CutError>>> {
        Poll::Ready(Some(Err(CutError)))
    }
}

/// What answers the calls to one address.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn answer(self: Arc<Self>, call: Call) -> LocalBoxFuture<'static, Answer>;

    /// The entry for what it is now, if it is an endpoint.
    fn listing(&self, _addr: SocketAddr) -> Option<Endpoint> {
        None
    }
}

/// Opens a listening socket.
pub(crate) fn bind(addr: SocketAddr) -> io::Result<net::TcpListener> {
    net::TcpListener::bind(addr)
        .map_err(|err| io::Error::new(err.kind(), format!("listen on {addr}: {err}")))
}

/// Serves each handler on its socket, all on one worker thread.
pub(crate) fn run(
    parts: Vec<(net::TcpListener, Arc<dyn Handler>)>,
    tasks: Vec<JoinHandle<()>>,
) -> io::Result<Running> {
    let mut builder = Server::build()
        .workers(1)
        .backlog(BACKLOG)
        .disable_signals();
    let mut addrs = Vec::with_capacity(parts.len());
    let mut handlers = Vec::with_capacity(parts.len());
    for (listener, handler) in parts {
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
    while let Some(piece) = payload.next().await {
        let piece =
            piece.map_err(|err| Answer::error(StatusCode::BAD_REQUEST, &err.to_string()))?;
        if body.len() + piece.len() > MAX_BODY {
            return Err(Answer::error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body too large",
            ));
        }
        body.extend_from_slice(&piece);
    }
    Ok(Call {
        method: req.method().clone(),
        path: req.path().to_owned(),
        query: req.uri().query().unwrap_or_default().to_owned(),
        headers: req.headers().clone(),
        body: body.freeze(),
    })
}
