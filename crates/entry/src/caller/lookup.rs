//! Looks up requests by id: their state, their answer, the rest of their stream.

use std::rc::Rc;

use actix_http::{HttpMessage, Request, Response, StatusCode, body::BoxBody, header::CONTENT_TYPE};
use dragonflyrill_catalogue::TargetName;
use dragonflyrill_delivery::ErrorKind;
use dragonflyrill_protocol::found::Intent;
use serde::Serialize;

use crate::{
    caller::{
        answer,
        envelope::{self, Envelope},
    },
    drive,
    host::Host,
    requests::{
        Failure, OpenResult, Reader, RequestEnd, RequestKey, Slot,
        follow::{self, Runner},
    },
};

/// The path prefix under which requests are looked up by id.
pub const PREFIX: &str = "/v1/requests/";
/// The path suffix after the id, to resume a stream.
const EVENTS_SUFFIX: &str = "/events";
/// The header with the id of the last event that the caller has received.
const LAST_EVENT_ID: &str = "last-event-id";

#[derive(Serialize)]
struct StateBody<'a> {
    id: &'a str,
    state: &'a str,
    run: &'a str,
    tokens: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a str>,
}

/// Answers `GET /v1/requests/ID` and `GET /v1/requests/ID/events`.
pub async fn handle(host: &Rc<Host>, req: &Request) -> Result<Response<BoxBody>, Failure> {
    let envelope = Envelope::read(host, req.headers())?;
    let rest = &req.path()[PREFIX.len()..];
    let (id, events) = match rest.strip_suffix(EVENTS_SUFFIX) {
        Some(id) => (id, true),
        None => (rest, false),
    };
    let key = RequestKey {
        workspace: envelope.workspace,
        id: id.to_owned(),
    };
    let known = host.requests.borrow().get(&key);
    let slot = match known {
        Some(slot) => slot,
        None => open_remote(host, key).await?,
    };
    if !events {
        return Ok(state(&slot));
    }
    let from = next_event(req)?;
    // The slot doesn't hold the model's name, so events of a resumed stream have a generic one.
    let model = TargetName::try_from("resumed").expect("a valid name");
    answer::stream(Reader::attach(slot), model, from).await
}

/// Opens a slot that follows a request at the host that runs it.
///
/// # Errors
/// No other host runs the request, as far as is known.
async fn open_remote(host: &Rc<Host>, key: RequestKey) -> Result<Rc<Slot>, Failure> {
    let unknown = || {
        let message = format!("no request {} is known here", key.id);
        Failure::new(ErrorKind::UnknownRequest, message)
    };
    let Runner::Peer(peer) = follow::find_runner(host, &key, Intent::Look).await else {
        return Err(unknown());
    };
    let fingerprint = follow::fingerprint(host, &key, &peer)
        .await
        .ok_or_else(unknown)?;
    let opened = host
        .requests
        .borrow_mut()
        .open(key.clone(), fingerprint, true);
    match opened {
        OpenResult::Known(slot) => Ok(slot),
        OpenResult::KeyReused => Err(unknown()),
        OpenResult::New(slot) => {
            actix_rt::spawn(drive::follow_to_end(host.clone(), slot.clone(), peer));
            Ok(slot)
        }
    }
}

fn next_event(req: &Request) -> Result<usize, Failure> {
    let Some(last) = envelope::header_text(req.headers(), LAST_EVENT_ID)? else {
        return Ok(0);
    };
    let last = last.parse::<usize>().map_err(|_| {
        let message = format!("header {LAST_EVENT_ID}: {last:?} is not the id of an event");
        Failure::new(ErrorKind::BadRequest, message)
    })?;
    Ok(last.saturating_add(1))
}

fn state(slot: &Slot) -> Response<BoxBody> {
    let progress = slot.progress();
    let (state, run, text, error) = match &progress.end {
        None => ("running", "may_have_run", None, None),
        Some(RequestEnd::Complete) => ("done", "ran", Some(progress.text()), None),
        Some(RequestEnd::ServiceAnswered(_)) => ("done", "ran", None, None),
        Some(RequestEnd::Failed(f)) => {
            let answer = f.kind.answer();
            ("failed", answer.run.as_str(), None, Some(answer.code))
        }
    };
    let tokens = progress.tokens.len();
    let body = StateBody {
        id: &slot.key.id,
        state,
        run,
        tokens,
        text,
        error,
    };
    let json = serde_json::to_string(&body).expect("plain data");
    let mut rsp = Response::build(StatusCode::OK);
    rsp.insert_header((CONTENT_TYPE, "application/json"));
    rsp.body(json).map_into_boxed_body()
}
