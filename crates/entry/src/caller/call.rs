//! Calls of plain services, which the host relays.

use std::{hash::Hasher, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    HttpMessage, Method, Request, RequestHead, Response, StatusCode, Uri,
    body::BoxBody,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use dragonflyrill_catalogue::{
    EndpointId, TargetName,
    entry::{LimitEntry, LimitKey, ServiceEntry},
};
use dragonflyrill_delivery::{
    ErrorKind,
    error::AfterDispatchKind,
    lifecycle,
    record::{Outcome, Record, RecordState},
};
use dragonflyrill_engines::CallError;
use dragonflyrill_gateway::http::body::Body;
use dragonflyrill_limits as limits;
use dragonflyrill_protocol::found;
use dragonflyrill_routing as routing;
use dragonflyrill_telemetry::context;
use tracing::{Instrument, info_span};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    caller::{answer, attach::attach, envelope::Envelope},
    drive,
    host::Host,
    recording::RecordResult,
    requests::{CallAnswer, Failure, Reader, Refusal, RequestEnd, Slot},
};

/// The path prefix under which services are called; the service's name follows.
pub const PREFIX: &str = "/services/";
/// The maximum number of attempts of a call that is repeatable or is known not to have run.
const MAX_ATTEMPTS: usize = 3;
/// The retry delay that callers get if no endpoint of a service answered.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A checked call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    envelope: Envelope,
    service: ServiceEntry,
    method: Method,
    path: String,
    content_type: Option<HeaderValue>,
    body: Body,
    repeatable: bool,
    limit: LimitEntry,
}

impl Call {
    /// Hash of the call's content: service, method, path with query, body.
    fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.write(self.service.name.as_str().as_bytes());
        hasher.write(self.method.as_str().as_bytes());
        hasher.write(self.path.as_bytes());
        // The hash is the same however the body is divided into pieces.
        self.body.pieces().for_each(|piece| hasher.write(piece));
        hasher.finish()
    }
}

/// Decides on a call without its body.
pub(super) fn check_head(host: &Host, req: &Request) -> Result<Envelope, Failure> {
    Ok(check(host, req, Body::default())?.envelope)
}

/// Answers a call of a plain service.
pub(super) async fn handle(
    host: &Rc<Host>,
    req: &Request,
    body: Body,
) -> Result<Response<BoxBody>, Failure> {
    let call = check(host, req, body)?;
    let reader = open(host, call)?;
    reader.slot().wait_for_end().await;
    match reader.slot().progress().end.clone() {
        Some(RequestEnd::ServiceAnswered(answer)) => Ok(relay_response(reader.slot(), answer)),
        Some(RequestEnd::Failed(failure)) => Err(failure),
        _ => Err(answer::key_reused()),
    }
}

fn check(host: &Host, req: &Request, body: Body) -> Result<Call, Failure> {
    if !host.ready() {
        return Err(answer::not_ready());
    }
    let mut envelope = Envelope::read(host, req.headers())?;
    let rest = &req.path()[PREFIX.len()..];
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let unknown = || {
        let message = format!("no service {name:?} is declared");
        Failure::new(ErrorKind::UnknownTarget, message)
    };
    let name = TargetName::try_from(name).map_err(|_| unknown())?;
    let service = host.service(&name).ok_or_else(unknown)?;
    let key = LimitKey {
        workspace: envelope.workspace.clone(),
        target: name,
        class: envelope.class.clone(),
    };
    let limit = host.limit(&key).ok_or_else(|| answer::no_limit(&key))?;
    envelope.apply_limit_deadline(host, &limit);
    let path = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let declared_not_repeatable = service
        .not_repeatable
        .iter()
        .any(|p| path.starts_with(p.as_str()));
    let repeatable = !declared_not_repeatable && envelope.repeatable.unwrap_or(limit.repeatable);
    let method = req.method().clone();
    let content_type = req.headers().get(CONTENT_TYPE).cloned();
    Ok(Call {
        envelope,
        service,
        method,
        path,
        content_type,
        body,
        repeatable,
        limit,
    })
}

fn open(host: &Rc<Host>, call: Call) -> Result<Reader, Failure> {
    let (envelope, fingerprint) = (&call.envelope, call.fingerprint());
    let attachment = attach(host, envelope, fingerprint, call.repeatable)?;
    if let Some(slot) = attachment.new_slot {
        actix_rt::spawn(run(host.clone(), slot, call).in_current_span());
    }
    Ok(attachment.reader)
}

fn relay_response(slot: &Slot, answer: CallAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut rsp = Response::build(status);
    rsp.insert_header(("x-request-id", slot.key.id.as_str()));
    if !answer.content_type.is_empty() {
        rsp.insert_header((CONTENT_TYPE, answer.content_type));
    }
    rsp.body(answer.body).map_into_boxed_body()
}

async fn run(host: Rc<Host>, slot: Rc<Slot>, call: Call) {
    let end = match drive::follow_remote_run(&host, &slot).await {
        Some(end) => end,
        None => match run_here(&host, &slot, &call).await {
            Ok(answer) => RequestEnd::ServiceAnswered(answer),
            Err(failure) => RequestEnd::Failed(failure),
        },
    };
    drive::finish(&host, &slot, end);
}

async fn run_here(host: &Rc<Host>, slot: &Slot, call: &Call) -> Result<CallAnswer, Failure> {
    let req = lifecycle::Request::received(slot.full_id());
    let admission_request = limits::AdmissionRequest {
        key: call.limit.key.clone(),
        tokens: 0,
        admit_by: call.envelope.deadline,
    };
    host.retries.request(&call.envelope.workspace, host.now());
    let _permit = match host.admission.admit(&admission_request).await {
        Ok(permit) => permit,
        Err(refusal) if call.repeatable => return Err(refusal.into_failure(req)),
        Err(refusal) => return Err(drive::refuse_not_repeatable(slot, refusal, req)),
    };
    match call.repeatable {
        true => run_repeatable(host, slot, call, req.admit()).await,
        false => run_not_repeatable(host, slot, call, req.admit_not_repeatable()).await,
    }
}

/// Calls endpoints one after another until one answers, as far as the deadline, the maximum number
/// of attempts and the workspace's retry budget allow.
async fn run_repeatable(
    host: &Rc<Host>,
    slot: &Slot,
    call: &Call,
    req: lifecycle::Request<lifecycle::Admitted>,
) -> Result<CallAnswer, Failure> {
    let first = match choose_endpoint(host, call, &[]) {
        Ok(endpoint) => endpoint,
        Err(refusal) => return Err(refusal.into_failure(req)),
    };
    let dispatched = req.dispatch();
    let mut tried = vec![first];
    loop {
        let endpoint = &tried[tried.len() - 1];
        match call_endpoint(host, slot, call, endpoint).await {
            Ok(answer) => return Ok(answer),
            Err(e) => log::warn!("call: No answer from {endpoint}: {e}."),
        }
        let Some(next) = next_endpoint(host, call, &tried) else {
            break;
        };
        tried.push(next);
    }
    let kind = dispatched.fail(AfterDispatchKind::EndpointFailed).kind();
    Err(Failure::with_retry_after(
        kind,
        "the service did not answer",
        NO_ENDPOINT_RETRY_AFTER,
    ))
}

/// The endpoint for the next attempt; `None` if no retry is allowed or no other endpoint is live.
fn next_endpoint(host: &Host, call: &Call, tried: &[EndpointId]) -> Option<EndpointId> {
    let now = host.now();
    let allowed = tried.len() < MAX_ATTEMPTS
        && now < call.envelope.deadline
        && host.retries.try_retry(&call.envelope.workspace, now);
    match allowed {
        true => choose_endpoint(host, call, tried).ok(),
        false => None,
    }
}

/// Runs a call that must not run twice: writes its record before it is dispatched, and sends it to
/// one endpoint only. Another endpoint is called only if no connection to the one before was made.
async fn run_not_repeatable(
    host: &Rc<Host>,
    slot: &Slot,
    call: &Call,
    req: lifecycle::Request<lifecycle::NotRepeatable>,
) -> Result<CallAnswer, Failure> {
    let mut endpoint = match choose_endpoint(host, call, &[]) {
        Ok(endpoint) => endpoint,
        Err(refusal) => return Err(drive::refuse_not_repeatable(slot, refusal, req)),
    };
    let record = match host.recording.begin(&slot.key, slot.fingerprint).await {
        RecordResult::New(record) => record,
        RecordResult::Refused(refusal) => {
            return Err(drive::refuse_not_repeatable(slot, refusal, req));
        }
        RecordResult::Existing(record) => return recorded_answer(slot, &record),
    };
    let ticket = record.ticket();
    let dispatched = drive::dispatch_not_repeatable(host, req.record(record))?;
    let mut tried = Vec::new();
    loop {
        match call_endpoint(host, slot, call, &endpoint).await {
            Ok(answer) => {
                host.recording
                    .finish(ticket, Outcome::Answered(to_wire_answer(&answer)));
                return Ok(answer);
            }
            Err(CallError::NotSent(e)) => {
                log::warn!("call: {endpoint} was not reached: {e}.");
                tried.push(endpoint);
            }
            Err(e) => {
                log::warn!("call: The answer of {endpoint} was lost: {e}.");
                break;
            }
        }
        let Some(next) = next_endpoint(host, call, &tried) else {
            break;
        };
        endpoint = next;
    }
    host.recording.finish(ticket, Outcome::Failed);
    let kind = dispatched.fail(AfterDispatchKind::EndpointFailed).kind();
    let message = "the service failed while it may have run the call";
    Err(Failure::with_retry_after(
        kind,
        message,
        NO_ENDPOINT_RETRY_AFTER,
    ))
}

/// Answers a call that was started before from its record.
fn recorded_answer(slot: &Slot, record: &Record) -> Result<CallAnswer, Failure> {
    drive::recorded_failure(slot, record)?;
    match &record.state {
        RecordState::Done {
            answer: Some(answer),
        } => Ok(CallAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone().into(),
        }),
        _ => Err(Failure::new(
            ErrorKind::AnswerNotKept,
            ErrorKind::AnswerNotKept.answer().meaning,
        )),
    }
}

fn to_wire_answer(answer: &CallAnswer) -> found::CallAnswer {
    found::CallAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.to_vec(),
    }
}

fn choose_endpoint(host: &Host, call: &Call, avoid: &[EndpointId]) -> Result<EndpointId, Refusal> {
    let service = &call.service.name;
    let chosen = host
        .router
        .borrow_mut()
        .choose_service(host.now(), service, avoid);
    chosen.map_err(|e| drive::no_endpoint_refusal(&e, service))
}

async fn call_endpoint(
    host: &Rc<Host>,
    slot: &Slot,
    call: &Call,
    endpoint: &EndpointId,
) -> Result<CallAnswer, CallError> {
    let addr = host.router.borrow().table().get(endpoint).map(|e| e.addr);
    let addr = addr.ok_or_else(|| CallError::NotSent("no longer listed".into()))?;
    let sent_at = host.now();
    host.router.borrow_mut().sent(sent_at, endpoint);
    let span = info_span!("call", endpoint = endpoint.as_str());
    let answered = send(host, slot, call, addr).instrument(span).await;
    let now = host.now();
    let latency = now.saturating_sub(sent_at);
    let outcome = match &answered {
        Ok(_) => routing::Outcome::Ok { latency },
        Err(_) => routing::Outcome::Failed,
    };
    host.router.borrow_mut().ended(now, endpoint, outcome);
    answered
}

async fn send(
    host: &Host,
    slot: &Slot,
    call: &Call,
    addr: SocketAddr,
) -> Result<CallAnswer, CallError> {
    let left = call.envelope.deadline.saturating_sub(host.now());
    let head = request_head(slot, call, addr, left)?;
    let until = call.envelope.deadline;
    let (head, body) = host
        .services
        .call(addr, head, call.body.clone(), until)
        .await?;
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    Ok(CallAnswer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body,
    })
}

/// The head of the request to a service.
///
/// # Errors
/// [`CallError::NotSent`] if it can't be written.
fn request_head(
    slot: &Slot,
    call: &Call,
    addr: SocketAddr,
    left: Duration,
) -> Result<RequestHead, CallError> {
    let invalid = |e: &dyn std::error::Error| CallError::NotSent(e.to_string());
    let mut head = RequestHead::default();
    head.method = call.method.clone();
    head.uri = Uri::try_from(&*call.path).map_err(|e| invalid(&e))?;
    let trace = context::traceparent(&tracing::Span::current());
    let fields = [
        (HOST, Some(addr.to_string())),
        (
            HeaderName::from_static("idempotency-key"),
            Some(slot.full_id()),
        ),
        (
            HeaderName::from_static("x-request-id"),
            Some(slot.key.id.as_str().to_owned()),
        ),
        (
            HeaderName::from_static("x-deadline-ms"),
            Some(left.as_millis().to_string()),
        ),
        (HeaderName::from_static(context::TRACEPARENT), trace),
    ];
    for (name, value) in fields {
        let Some(value) = value else { continue };
        let value = HeaderValue::try_from(value).map_err(|e| invalid(&e))?;
        head.headers.insert(name, value);
    }
    if let Some(content_type) = &call.content_type {
        head.headers.insert(CONTENT_TYPE, content_type.clone());
    }
    Ok(head)
}
