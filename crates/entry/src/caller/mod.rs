//! The HTTP interface for callers: paths, checks of requests, answers.

pub mod answer;
pub mod attach;
pub mod body;
pub mod call;
pub mod completion;
pub mod envelope;
pub mod lookup;
pub mod status;

use std::{convert::Infallible, rc::Rc};

use actix_http::{HttpMessage, Method, Request, Response, body::BoxBody};
use dragonflyrill_telemetry::context;
use tracing::{Instrument, info_span};

use crate::{host::Host, requests::Failure};

/// Answers one HTTP request. A failure becomes an error response too.
pub async fn handle(host: Rc<Host>, req: Request) -> Result<Response<BoxBody>, Infallible> {
    let span = info_span!("request", method = %req.method(), path = req.path());
    let parent = req
        .headers()
        .get(context::TRACEPARENT)
        .and_then(|v| v.to_str().ok());
    if let Some(parent) = parent {
        context::set_parent(&span, parent);
    }
    let answered = route(&host, req).instrument(span).await;
    Ok(answered.unwrap_or_else(|failure| answer::failure(&failure)))
}

async fn route(host: &Rc<Host>, req: Request) -> Result<Response<BoxBody>, Failure> {
    let path = req.path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/healthz") => Ok(status::alive()),
        (&Method::GET, "/readyz") => Ok(status::ready(host)),
        (&Method::GET, "/status") => Ok(status::status(host)),
        (&Method::GET, "/metrics") => Ok(status::metrics(host)),
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            completion::handle(host, req).await
        }
        (&Method::GET, p) if p.starts_with(lookup::PREFIX) => lookup::handle(host, &req).await,
        (_, p) if p.starts_with(call::PREFIX) => call::handle(host, req).await,
        (method, p) => {
            let kind = dragonflyrill_delivery::ErrorKind::UnknownTarget;
            Err(Failure::new(
                kind,
                format!("{method} {p} is not served here"),
            ))
        }
    }
}
