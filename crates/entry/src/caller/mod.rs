//! The HTTP interface for callers: paths, checks of requests, answers.
//!
//! [`Callers`] answers what arrives on callers' connections. What can be decided without the body is decided before it
//! is read, see [`Handler::screen`].

pub mod answer;
pub mod attach;
pub mod call;
pub mod completion;
pub mod envelope;
pub mod lookup;
pub mod status;

use std::{future, io, pin::Pin, rc::Rc, time::Duration};

use actix_http::{
    HttpMessage, Method, Request, RequestHead, Response,
    body::{BodySize, BoxBody, MessageBody},
};
use bytes::Bytes;
use dragonflyrill_delivery::ErrorKind;
use dragonflyrill_fleet::catalogue::CallerLimits;
use dragonflyrill_gateway::http::{
    body::Body,
    callers::{self, Handler, OwnAnswer, Received, Responder, Screened},
    intake::Reason,
};
use dragonflyrill_intake::memory::Source;
use dragonflyrill_telemetry::context;
use tracing::{Instrument, info_span};

use crate::{host::Host, requests::Failure};

/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// The time within which a client must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Answers callers' requests.
pub struct Callers {
    host: Rc<Host>,
}

impl Callers {
    /// Answers with the state of a host.
    pub fn new(host: Rc<Host>) -> Self {
        Self { host }
    }
}

impl Handler for Callers {
    fn limits(&self) -> CallerLimits {
        CallerLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: self.host.settings.max_body_bytes,
            head_timeout: HEAD_TIMEOUT,
            idle_timeout: KEEP_ALIVE,
        }
    }

    fn shutting_down(&self) -> bool {
        self.host.draining.get()
    }

    async fn screen(&self, head: &RequestHead, out: &mut Responder<'_>) -> io::Result<Screened> {
        let mut req = Request::new();
        let copy = req.head_mut();
        copy.method = head.method.clone();
        copy.uri = head.uri.clone();
        copy.headers = head.headers.clone();
        match check_head(&self.host, &req) {
            Ok(source) => Ok(Screened::Accepted(source)),
            Err(failure) => {
                send(answer::failure(&failure), out).await?;
                Ok(Screened::Answered)
            }
        }
    }

    fn counts_small_bodies(&self) -> bool {
        true
    }

    fn refusal(&self, _: Option<&RequestHead>, reason: Reason) -> OwnAnswer {
        let kind = match reason {
            Reason::Malformed | Reason::HeadTooLarge => return reason.into(),
            Reason::BodyTooLarge => ErrorKind::TooLarge,
            Reason::HeadTooSlow | Reason::BodyTooSlow => ErrorKind::TooSlow,
            _ => ErrorKind::HostFull,
        };
        let message = match kind {
            ErrorKind::TooLarge => {
                let max_body_bytes = self.host.settings.max_body_bytes;
                format!("the body is larger than {max_body_bytes} bytes")
            }
            _ => kind.answer().meaning.to_owned(),
        };
        let mut failure = Failure::new(kind, message);
        failure.retry_after = callers::return_delay(reason);
        let (head, body) = answer::failure(&failure).into_parts();
        OwnAnswer {
            status: head.status(),
            headers: head.headers().clone(),
            body: body.try_into_bytes().unwrap_or_default(),
        }
    }

    async fn handle(&self, received: Received, out: &mut Responder<'_>) -> io::Result<()> {
        let mut req = Request::new();
        *req.head_mut() = received.head;
        let answer = handle(&self.host, &req, received.body).await;
        send(answer, out).await
    }

    fn abandoned(&self) {}
}

/// Sends an answer, as a stream if its length is not known.
async fn send(answer: Response<BoxBody>, out: &mut Responder<'_>) -> io::Result<()> {
    let (head, body) = answer.into_parts();
    let (status, headers) = (head.status(), head.headers().clone());
    if matches!(body.size(), BodySize::None | BodySize::Sized(_)) {
        let whole = body.try_into_bytes().unwrap_or_default();
        return out.send_complete(status, headers, whole).await;
    }
    out.start_stream(status, headers)?;
    let mut body = body;
    while let Some(chunk) = next_chunk(&mut body).await {
        out.send_chunk(chunk.map_err(io::Error::other)?).await?;
    }
    out.finish().await
}

async fn next_chunk(body: &mut BoxBody) -> Option<Result<Bytes, String>> {
    let next = future::poll_fn(|cx| Pin::new(&mut *body).poll_next(cx)).await;
    next.map(|chunk| chunk.map_err(|e| e.to_string()))
}

/// Answers one HTTP request. A failure becomes an error response too.
async fn handle(host: &Rc<Host>, req: &Request, body: Body) -> Response<BoxBody> {
    let span = info_span!("request", method = %req.method(), path = req.path());
    let parent = req
        .headers()
        .get(context::TRACEPARENT)
        .and_then(|v| v.to_str().ok());
    if let Some(parent) = parent {
        context::set_parent(&span, parent);
    }
    let answered = route(host, req, body).instrument(span).await;
    answered.unwrap_or_else(|failure| answer::failure(&failure))
}

/// Decides on a request without its body. Returns whose request it is, if it names a workspace.
fn check_head(host: &Host, req: &Request) -> Result<Option<Source>, Failure> {
    let envelope = match (req.method(), req.path()) {
        (&Method::POST, completion::PATH | completion::CHAT_PATH) => {
            completion::check_head(host, req)?
        }
        (_, p) if p.starts_with(call::PREFIX) => call::check_head(host, req)?,
        // These have no use for a body.
        (&Method::GET, _) => return Ok(None),
        _ => return Err(unknown_path(req)),
    };
    let workspace = envelope.workspace.as_str();
    Ok(Some(Source::Workspace(workspace.into())))
}

fn unknown_path(req: &Request) -> Failure {
    let message = format!("{} {} is not served here", req.method(), req.path());
    Failure::new(ErrorKind::UnknownTarget, message)
}

async fn route(host: &Rc<Host>, req: &Request, body: Body) -> Result<Response<BoxBody>, Failure> {
    match (req.method(), req.path()) {
        (&Method::GET, "/healthz") => Ok(status::alive()),
        (&Method::GET, "/readyz") => Ok(status::ready(host)),
        (&Method::GET, "/status") => Ok(status::status(host)),
        (&Method::GET, "/metrics") => Ok(status::metrics(host)),
        (&Method::POST, completion::PATH | completion::CHAT_PATH) => {
            completion::handle(host, req, &body).await
        }
        (&Method::GET, p) if p.starts_with(lookup::PREFIX) => lookup::handle(host, req).await,
        (_, p) if p.starts_with(call::PREFIX) => call::handle(host, req, body).await,
        _ => Err(unknown_path(req)),
    }
}
