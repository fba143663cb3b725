//! Drives one request from its admission to its end.

mod driver;

use std::{rc::Rc, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_delivery::{
    Chain, ErrorKind, Generation, NotRunKind, ResumeState, RunStatus, Spec, Stage,
    error::AfterDispatchKind,
    lifecycle,
    record::{self, Outcome, RecordState, RecordTicket},
};
use dragonflyrill_engines::wire;
use dragonflyrill_limits as limits;
use dragonflyrill_protocol::found::{CallAnswer, Intent};
use dragonflyrill_routing as routing;
use tracing::{Instrument, info_span};

use crate::{
    admission::Permit,
    caller::completion::Completion,
    host::{Host, PeerInfo},
    recording::RecordResult,
    requests::{
        Failure, Refusal, RequestEnd, Slot,
        follow::{self, FollowResult, Runner},
    },
};
use driver::Driver;

/// The retry delay that callers get if no endpoints cover the model, and after other failures that
/// bring no delay of their own.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The attempt numbers reserved for a run at another host, which may have used some that this host
/// doesn't know of. The next run starts above them, so that engines drop the state of the lost run.
const ATTEMPTS_PER_RUN: u32 = 1000;
/// The HTTP status in the record of a complete generation.
const RECORDED_STATUS: u16 = 200;
/// The content type of a generation's tokens in its record.
const RECORDED_CONTENT_TYPE: &str = "application/json";

/// Runs `call` to its end, here or at another host, and writes the answer into `slot`.
pub async fn generate(host: Rc<Host>, slot: Rc<Slot>, call: Completion) {
    let end = match follow_remote_run(&host, &slot).await {
        Some(end) => end,
        None => match run_here(&host, &slot, &call).await {
            Ok(()) => RequestEnd::Complete,
            Err(failure) => RequestEnd::Failed(failure),
        },
    };
    finish(&host, &slot, end);
}

/// Claims a named request and, if another host runs it, follows that run to its end.
///
/// `None` if this host is to run the request: it is unnamed, no other host runs it, or the run at
/// the other host was lost.
pub async fn follow_remote_run(host: &Host, slot: &Slot) -> Option<RequestEnd> {
    if !slot.named {
        return None;
    }
    match follow::find_runner(host, &slot.key, Intent::Take).await {
        Runner::ThisHost {
            runs,
            home_answered,
        } => {
            slot.record_attempt(runs * ATTEMPTS_PER_RUN);
            if runs > 0 || !home_answered {
                slot.mark_maybe_started();
            }
        }
        Runner::Peer(peer) => match follow::follow(host, slot, &peer).await {
            FollowResult::Ended(end) => return Some(end),
            FollowResult::Lost => {
                slot.record_attempt(slot.attempt() + ATTEMPTS_PER_RUN);
                slot.mark_maybe_started();
            }
        },
    }
    None
}

/// Copies the answer from the host that runs the request into `slot`, for a caller that sent only
/// the id of the request, so that this host can't run it.
pub async fn follow_to_end(host: Rc<Host>, slot: Rc<Slot>, peer: PeerInfo) {
    let end = match follow::follow(&host, &slot, &peer).await {
        FollowResult::Ended(end) => end,
        FollowResult::Lost => {
            let message = "the host that ran the request can't be reached; repeat the request";
            let kind = ErrorKind::Interrupted;
            RequestEnd::Failed(Failure::with_retry_after(
                kind,
                message,
                NO_ENDPOINT_RETRY_AFTER,
            ))
        }
    };
    finish(&host, &slot, end);
}

/// Ends `slot` and removes it after the time that answers are kept.
pub fn finish(host: &Rc<Host>, slot: &Rc<Slot>, end: RequestEnd) {
    host.metrics
        .requests
        .with_label_values(&[end_label(&end)])
        .inc();
    if slot.named && not_run(&end) {
        let (host, slot) = (host.clone(), slot.clone());
        actix_rt::spawn(async move { follow::release_claim(&host, &slot.key).await });
    }
    // A refused or failed request may be retried under its key at once.
    let keep = match end {
        RequestEnd::Failed(_) => Duration::ZERO,
        _ => host.settings.keep_answers,
    };
    slot.end(end);
    host.requests.borrow_mut().record_end(slot);
    host.metrics
        .requests_running
        .set(host.requests.borrow().running() as i64);
    let (host, slot) = (host.clone(), slot.clone());
    actix_rt::spawn(async move {
        host.clock.sleep(keep).await;
        host.requests.borrow_mut().forget(&slot);
    });
}

/// Whether this host did not run a request. Another host may have run it.
fn not_run(end: &RequestEnd) -> bool {
    let RequestEnd::Failed(failure) = end else {
        return false;
    };
    failure.kind == ErrorKind::RecordUnknown || failure.kind.answer().run == RunStatus::NotRun
}

/// The label of a request's end in the metrics.
fn end_label(end: &RequestEnd) -> &'static str {
    match end {
        RequestEnd::Complete => "whole",
        RequestEnd::ServiceAnswered(_) => "called",
        RequestEnd::Failed(failure) => failure.kind.answer().code,
    }
}

async fn run_here(host: &Rc<Host>, slot: &Slot, call: &Completion) -> Result<(), Failure> {
    let req = lifecycle::Request::received(slot.full_id());
    let permit = match admit(host, slot, call).await {
        Ok(permit) => permit,
        Err(refusal) if call.repeatable => return Err(refusal.into_failure(req)),
        Err(refusal) => return Err(refuse_not_repeatable(slot, refusal, req)),
    };
    let result = match call.repeatable {
        true => run_repeatable(host, slot, call, &permit, req.admit()).await,
        false => run_not_repeatable(host, slot, call, &permit, req.admit_not_repeatable()).await,
    };
    let generated = slot.progress().tokens.len() as u32;
    if generated > 0 {
        permit.set_used(call.prompt.len() as u32 + generated);
    }
    result
}

async fn admit(host: &Host, slot: &Slot, call: &Completion) -> Result<Permit, Refusal> {
    host.retries.request(&call.envelope.workspace, host.now());
    let admission_request = limits::AdmissionRequest {
        key: call.limit_key(),
        tokens: call.max_total_tokens(),
        admit_by: call.envelope.deadline,
    };
    let admitted = host
        .admission
        .admit(&admission_request)
        .instrument(info_span!("admit"));
    tokio::select! {
        permit = admitted => permit,
        () = slot.wait_for_abandonment() => {
            let message = "the caller has gone before its request was admitted";
            Err(Refusal::new(NotRunKind::Overloaded, message))
        }
    }
}

async fn run_repeatable(
    host: &Rc<Host>,
    slot: &Slot,
    call: &Completion,
    permit: &Permit,
    req: lifecycle::Request<lifecycle::Admitted>,
) -> Result<(), Failure> {
    let chain = match find_chain(host, call, all_layers(call), &[]) {
        Ok(chain) => chain,
        Err(refusal) => return Err(refusal.into_failure(req)),
    };
    let mut driver = Driver::new(host, slot, call, permit, generation(host, slot, call));
    let first_actions = match driver.start(chain) {
        Ok(first_actions) => first_actions,
        Err(refusal) => return Err(refusal.into_failure(req)),
    };
    let dispatched = req.dispatch();
    driver
        .run(first_actions)
        .await
        .map_err(|failed| failed.into_failure(dispatched))
}

/// Runs a call that must not run twice: writes its record before it is dispatched.
async fn run_not_repeatable(
    host: &Rc<Host>,
    slot: &Slot,
    call: &Completion,
    permit: &Permit,
    req: lifecycle::Request<lifecycle::NotRepeatable>,
) -> Result<(), Failure> {
    let chain = match find_chain(host, call, all_layers(call), &[]) {
        Ok(chain) => chain,
        Err(refusal) => return Err(refuse_not_repeatable(slot, refusal, req)),
    };
    let mut driver = Driver::new(host, slot, call, permit, generation(host, slot, call));
    let first_actions = match driver.start(chain) {
        Ok(first_actions) => first_actions,
        Err(refusal) => return Err(refuse_not_repeatable(slot, refusal, req)),
    };
    let record = match host.recording.begin(&slot.key, slot.fingerprint).await {
        RecordResult::New(record) => record,
        RecordResult::Refused(refusal) => return Err(refuse_not_repeatable(slot, refusal, req)),
        RecordResult::Existing(record) => return restore_answer(slot, &record),
    };
    let ticket = record.ticket();
    let dispatched = dispatch_not_repeatable(host, req.record(record))?;
    let result = driver.run(first_actions).await;
    record_outcome(host, slot, ticket, result.is_ok());
    result.map_err(|failed| failed.into_failure(dispatched))
}

/// Marks a call that must not run twice as dispatched, once its record is in the table. Only after
/// this may any part of the call be sent.
///
/// # Errors
/// A refusal that says "not run", if the term of the record's permit is over: nothing was sent.
pub fn dispatch_not_repeatable(
    host: &Host,
    req: lifecycle::Request<lifecycle::Recorded>,
) -> Result<lifecycle::Request<lifecycle::Dispatched>, Failure> {
    req.dispatch(host.now()).map_err(|expired| {
        host.recording.abandon(expired.permit);
        let message = "the host was too slow to begin the call in time";
        let kind = NotRunKind::RecordUnavailable;
        Refusal::with_retry_after(kind, message, NO_ENDPOINT_RETRY_AFTER)
            .into_failure(expired.request)
    })
}

/// The failure for a call that must not run twice and was refused before its record was read.
///
/// "Not run" would also cover earlier calls under the same key, so the failure says so only if no
/// other host may have started the request.
pub fn refuse_not_repeatable<S: lifecycle::BeforeDispatch>(
    slot: &Slot,
    refusal: Refusal,
    req: lifecycle::Request<S>,
) -> Failure {
    if !slot.may_have_started() {
        return refusal.into_failure(req);
    }
    let kind = ErrorKind::RecordUnknown;
    let message = kind.answer().meaning.to_owned();
    Failure {
        kind,
        message,
        retry_after: refusal.retry_after,
    }
}

/// Writes the end of a call that must not run twice into its record.
fn record_outcome(host: &Host, slot: &Slot, ticket: RecordTicket, complete: bool) {
    let outcome = match complete {
        true => Outcome::Answered(answer_to_record(slot)),
        false => Outcome::Failed,
    };
    host.recording.finish(ticket, outcome);
}

fn answer_to_record(slot: &Slot) -> CallAnswer {
    // A list of numbers always serializes.
    let body = serde_json::to_vec(&slot.progress().tokens).unwrap_or_default();
    CallAnswer {
        status: RECORDED_STATUS,
        content_type: RECORDED_CONTENT_TYPE.to_owned(),
        body,
    }
}

/// Fills `slot` from the record of a call that was started before.
fn restore_answer(slot: &Slot, record: &record::Record) -> Result<(), Failure> {
    recorded_failure(slot, record)?;
    let RecordState::Done {
        answer: Some(answer),
    } = &record.state
    else {
        return Ok(());
    };
    let tokens: Vec<u64> = serde_json::from_slice(&answer.body).map_err(|_| {
        Failure::new(
            ErrorKind::AnswerNotKept,
            ErrorKind::AnswerNotKept.answer().meaning,
        )
    })?;
    let seen = slot.progress().tokens.len();
    for token in tokens.into_iter().skip(seen) {
        slot.push_token(token);
    }
    Ok(())
}

/// The failure to answer a call with that was started before; `Ok` if its record holds an answer.
///
/// # Errors
/// The record belongs to another request under the same key, or says that there is no answer.
pub fn recorded_failure(slot: &Slot, record: &record::Record) -> Result<(), Failure> {
    if record.fingerprint != slot.fingerprint {
        let message = "the idempotency key was used with another request";
        return Err(Failure::new(ErrorKind::KeyReused, message));
    }
    match record.error() {
        None => Ok(()),
        Some(kind) => {
            let kind = ErrorKind::from(kind);
            Err(Failure::with_retry_after(
                kind,
                kind.answer().meaning,
                NO_ENDPOINT_RETRY_AFTER,
            ))
        }
    }
}

fn all_layers(call: &Completion) -> wire::Layers {
    wire::Layers {
        first: 0,
        end: call.model.layers,
    }
}

/// The generation of `call`. After a lost run at another host it resumes behind the tokens that are
/// in `slot`.
fn generation(host: &Host, slot: &Slot, call: &Completion) -> Generation {
    let cfg = dragonflyrill_delivery::Config {
        step_times: host.step_times.get(),
        export_every_tokens: host.settings.checkpoint_every,
        ..Default::default()
    };
    let spec = Spec {
        request: slot.full_id(),
        model: call.model.name.to_string(),
        layers: call.model.layers,
        prompt: call.prompt.clone(),
        max_tokens: call.max_tokens,
        priority: call.priority,
        deadline: call.envelope.deadline,
        prefix: call.prefix.clone(),
    };
    if slot.attempt() == 0 {
        return Generation::with_config(spec, cfg);
    }
    let now = host.now();
    let resume = ResumeState {
        request: spec.request,
        model: spec.model,
        layers: spec.layers,
        prompt: spec.prompt,
        max_tokens: spec.max_tokens,
        priority: spec.priority,
        left: spec.deadline.saturating_sub(now),
        prefix: spec.prefix,
        released: slot.progress().tokens.clone(),
        attempt: slot.attempt(),
        stages: Vec::new(),
        used: Vec::new(),
    };
    Generation::resume(now, resume, cfg)
}

/// Chooses a chain of endpoints for `layers`, without the endpoints in `avoid`.
fn find_chain(
    host: &Host,
    call: &Completion,
    layers: wire::Layers,
    avoid: &[EndpointId],
) -> Result<Chain, Refusal> {
    let query = routing::ChainQuery {
        model: &call.model.name,
        layers,
        prompt_tokens: call.prompt.len() as u32,
        max_tokens: call.max_tokens,
        prefix: &call.prefix,
        avoid,
    };
    let hops = host.router.borrow_mut().choose_chain(host.now(), &query);
    let hops = hops.map_err(|e| no_endpoint_refusal(&e, &call.model.name))?;
    let stages = hops.into_iter().map(|hop| Stage {
        endpoint: hop.endpoint,
        layers: hop.layers,
    });
    Chain::new(layers, stages.collect()).map_err(|e| {
        let message = format!("the chosen chain does not cover layer {}", e.layer);
        Refusal::with_retry_after(NotRunKind::NoEndpoint, message, NO_ENDPOINT_RETRY_AFTER)
    })
}

/// The refusal of a request for `target` for which the router found no endpoint.
pub fn no_endpoint_refusal(
    e: &routing::NoEndpoint,
    target: &dragonflyrill_catalogue::TargetName,
) -> Refusal {
    match e.shortage {
        routing::Shortage::Missing => {
            let message = format!("no endpoint is live for {target}, layer {}", e.layer);
            Refusal::with_retry_after(NotRunKind::NoEndpoint, message, NO_ENDPOINT_RETRY_AFTER)
        }
        routing::Shortage::Full { retry_after } => {
            let message = format!("the endpoints of {target} are full, layer {}", e.layer);
            Refusal::with_retry_after(NotRunKind::Overloaded, message, retry_after)
        }
    }
}

/// Why a dispatched request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunFailure {
    kind: AfterDispatchKind,
    retry_after: Option<Duration>,
}

impl RunFailure {
    fn into_failure<S: lifecycle::AfterDispatch>(self, req: lifecycle::Request<S>) -> Failure {
        let kind = req.fail(self.kind).kind();
        let message = kind.answer().meaning.to_owned();
        Failure {
            kind,
            message,
            retry_after: self.retry_after,
        }
    }
}
