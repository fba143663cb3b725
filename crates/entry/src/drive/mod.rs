//! Drives one request from admission to its end.

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
    recording::Recorded,
    requests::{
        End, Failure, Refusal, Slot,
        follow::{self, Followed, Runner},
    },
};
use driver::Driver;

/// How soon to come back when no endpoints cover the model.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);
/// Attempts a lost run may have made that this host doesn't know of. Attempts of the next run begin
/// above them, so that engines drop what is left of the lost one.
const ATTEMPTS_PER_RUN: u32 = 1000;
/// The status under which a generation's answer is kept in its record.
const KEPT_STATUS: u16 = 200;
/// The content type under which a generation's tokens are kept in its record.
const KEPT_TOKENS: &str = "application/json";

/// Runs `call` to its end and writes the answer into `slot`.
pub async fn generate(host: Rc<Host>, slot: Rc<Slot>, call: Completion) {
    let end = match followed(&host, &slot).await {
        Some(end) => end,
        None => match run(&host, &slot, &call).await {
            Ok(()) => End::Whole,
            Err(failure) => End::Failed(failure),
        },
    };
    finish(&host, &slot, end);
}

/// The end of a named request that another host runs; `None` if this host is to run it.
pub async fn followed(host: &Host, slot: &Slot) -> Option<End> {
    if !slot.named {
        return None;
    }
    match follow::runner(host, &slot.key, Intent::Take).await {
        Runner::Here { runs, asked } => {
            slot.tried(runs * ATTEMPTS_PER_RUN);
            if runs > 0 || !asked {
                slot.doubt();
            }
        }
        Runner::There(peer) => match follow::follow(host, slot, &peer).await {
            Followed::Ended(end) => return Some(end),
            Followed::Lost => {
                slot.tried(slot.attempt() + ATTEMPTS_PER_RUN);
                slot.doubt();
            }
        },
    }
    None
}

/// Fills `slot` from the host that runs its request, for a caller that can't repeat the request.
pub async fn follow_only(host: Rc<Host>, slot: Rc<Slot>, peer: PeerInfo) {
    let end = match follow::follow(&host, &slot, &peer).await {
        Followed::Ended(end) => end,
        Followed::Lost => {
            let message = "the host that ran the request can't be reached; repeat the request";
            let kind = ErrorKind::Interrupted;
            End::Failed(Failure::later(kind, message, NO_ENDPOINT_RETRY))
        }
    };
    finish(&host, &slot, end);
}

/// Ends `slot`, and forgets it after the time answers are kept.
pub fn finish(host: &Rc<Host>, slot: &Rc<Slot>, end: End) {
    host.metrics
        .requests
        .with_label_values(&[label(&end)])
        .inc();
    if slot.named && not_run(&end) {
        let (host, slot) = (host.clone(), slot.clone());
        actix_rt::spawn(async move { follow::give_back(&host, &slot.key).await });
    }
    // A refused or failed request may be asked for again under its key.
    let keep = match end {
        End::Failed(_) => Duration::ZERO,
        _ => host.settings.keep_answers,
    };
    slot.end(end);
    host.requests.borrow_mut().finished();
    host.metrics
        .requests_running
        .set(host.requests.borrow().running() as i64);
    let (host, slot) = (host.clone(), slot.clone());
    actix_rt::spawn(async move {
        actix_rt::time::sleep(keep).await;
        host.requests.borrow_mut().forget(&slot.key);
    });
}

/// Whether this host did not run a request, whatever others did.
fn not_run(end: &End) -> bool {
    let End::Failed(failure) = end else {
        return false;
    };
    failure.kind == ErrorKind::RecordUnknown || failure.kind.answer().run == RunStatus::NotRun
}

/// How a request ended, as counted.
fn label(end: &End) -> &'static str {
    match end {
        End::Whole => "whole",
        End::Called(_) => "called",
        End::Failed(failure) => failure.kind.answer().code,
    }
}

async fn run(host: &Rc<Host>, slot: &Slot, call: &Completion) -> Result<(), Failure> {
    let req = lifecycle::Request::received(slot.full_id());
    let permit = match admit(host, slot, call).await {
        Ok(permit) => permit,
        Err(refusal) if call.repeatable => return Err(refusal.of(req)),
        Err(refusal) => return Err(refused_once(slot, refusal, req)),
    };
    let result = match call.repeatable {
        true => run_repeatable(host, slot, call, &permit, req.admit()).await,
        false => run_once(host, slot, call, &permit, req.admit_not_repeatable()).await,
    };
    let generated = slot.progress().tokens.len() as u32;
    if generated > 0 {
        permit.used(call.prompt.len() as u32 + generated);
    }
    result
}

async fn admit(host: &Host, slot: &Slot, call: &Completion) -> Result<Permit, Refusal> {
    host.retries.request(&call.envelope.workspace, host.now());
    let ask = limits::AdmissionRequest {
        key: call.limit_key(),
        tokens: call.tokens(),
        admit_by: call.envelope.deadline,
    };
    let admitted = host.admission.admit(&ask).instrument(info_span!("admit"));
    tokio::select! {
        permit = admitted => permit,
        () = slot.abandoned() => {
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
    let chain = match choose(host, call, whole(call), &[]) {
        Ok(chain) => chain,
        Err(refusal) => return Err(refusal.of(req)),
    };
    let mut driver = Driver::new(host, slot, call, permit, generation(host, slot, call));
    let steps = match driver.begin(chain) {
        Ok(steps) => steps,
        Err(refusal) => return Err(refusal.of(req)),
    };
    let dispatched = req.dispatch();
    driver
        .run(steps)
        .await
        .map_err(|failed| failed.of(dispatched))
}

/// Runs a call that must not run twice: its record comes first.
async fn run_once(
    host: &Rc<Host>,
    slot: &Slot,
    call: &Completion,
    permit: &Permit,
    req: lifecycle::Request<lifecycle::NotRepeatable>,
) -> Result<(), Failure> {
    let chain = match choose(host, call, whole(call), &[]) {
        Ok(chain) => chain,
        Err(refusal) => return Err(refused_once(slot, refusal, req)),
    };
    let mut driver = Driver::new(host, slot, call, permit, generation(host, slot, call));
    let steps = match driver.begin(chain) {
        Ok(steps) => steps,
        Err(refusal) => return Err(refused_once(slot, refusal, req)),
    };
    let record = match host.recording.begin(&slot.key, slot.fingerprint).await {
        Recorded::Ours(record) => record,
        Recorded::Refused(refusal) => return Err(refused_once(slot, refusal, req)),
        Recorded::Known(record) => return take_kept(slot, &record),
    };
    let ticket = record.ticket();
    let dispatched = dispatch_once(host, req.record(record))?;
    let result = driver.run(steps).await;
    keep(host, slot, ticket, result.is_ok());
    result.map_err(|failed| failed.of(dispatched))
}

/// From here on bytes of a call that must not run twice may leave: its record is in the table.
///
/// # Errors
/// A refusal that says "not run", if the record's term is over: nothing was sent.
pub fn dispatch_once(
    host: &Host,
    req: lifecycle::Request<lifecycle::Recorded>,
) -> Result<lifecycle::Request<lifecycle::Dispatched>, Failure> {
    req.dispatch(host.now()).map_err(|expired| {
        host.recording.abandon(expired.permit);
        let message = "the host was too slow to begin the call in time";
        let kind = NotRunKind::RecordUnavailable;
        Refusal::later(kind, message, NO_ENDPOINT_RETRY).of(expired.request)
    })
}

/// The answer to a call that must not run twice and was refused before its record was read.
///
/// "Not run" would speak for earlier calls under the same key as well, so it is said only where the
/// key's home knows of none.
pub fn refused_once<S: lifecycle::BeforeDispatch>(
    slot: &Slot,
    refusal: Refusal,
    req: lifecycle::Request<S>,
) -> Failure {
    if !slot.may_be_begun() {
        return refusal.of(req);
    }
    let kind = ErrorKind::RecordUnknown;
    let message = kind.answer().meaning.to_owned();
    Failure {
        kind,
        message,
        retry_after: refusal.retry_after,
    }
}

/// Puts the end of a call that must not run twice into its record.
fn keep(host: &Host, slot: &Slot, ticket: RecordTicket, whole: bool) {
    let outcome = match whole {
        true => Outcome::Answered(kept_answer(slot)),
        false => Outcome::Failed,
    };
    host.recording.finish(ticket, outcome);
}

fn kept_answer(slot: &Slot) -> CallAnswer {
    // A list of numbers always serializes.
    let body = serde_json::to_vec(&slot.progress().tokens).unwrap_or_default();
    CallAnswer {
        status: KEPT_STATUS,
        content_type: KEPT_TOKENS.to_owned(),
        body,
    }
}

/// Answers a call that was begun before from its record.
fn take_kept(slot: &Slot, record: &record::Record) -> Result<(), Failure> {
    known_failure(slot, record)?;
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
        slot.release(token);
    }
    Ok(())
}

/// What a caller is told of a call that was begun before; `Ok` if its answer is in the record.
pub fn known_failure(slot: &Slot, record: &record::Record) -> Result<(), Failure> {
    if record.fingerprint != slot.fingerprint {
        let message = "the idempotency key was used with another request";
        return Err(Failure::new(ErrorKind::KeyReused, message));
    }
    match record.error() {
        None => Ok(()),
        Some(kind) => {
            let kind = ErrorKind::from(kind);
            Err(Failure::later(
                kind,
                kind.answer().meaning,
                NO_ENDPOINT_RETRY,
            ))
        }
    }
}

fn whole(call: &Completion) -> wire::Layers {
    wire::Layers {
        first: 0,
        end: call.model.layers,
    }
}

/// The generation of `call`; it goes on where a lost run at another host ended.
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

/// Chooses endpoints for `layers`.
fn choose(
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
    let hops = hops.map_err(|e| no_route(&e, &call.model.name))?;
    let stages = hops.into_iter().map(|hop| Stage {
        endpoint: hop.endpoint,
        layers: hop.layers,
    });
    Chain::new(layers, stages.collect()).map_err(|e| {
        let message = format!("the chosen chain does not cover layer {}", e.layer);
        Refusal::later(NotRunKind::NoEndpoint, message, NO_ENDPOINT_RETRY)
    })
}

/// Why no endpoint was chosen for `target`, as callers are told.
pub fn no_route(e: &routing::NoEndpoint, target: &dragonflyrill_catalogue::TargetName) -> Refusal {
    match e.shortage {
        routing::Shortage::Missing => {
            let message = format!("no endpoint is live for {target}, layer {}", e.layer);
            Refusal::later(NotRunKind::NoEndpoint, message, NO_ENDPOINT_RETRY)
        }
        routing::Shortage::Full { retry_after } => {
            let message = format!("the endpoints of {target} are full, layer {}", e.layer);
            Refusal::later(NotRunKind::Overloaded, message, retry_after)
        }
    }
}

/// How a dispatched request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunFailure {
    kind: AfterDispatchKind,
    retry_after: Option<Duration>,
}

impl RunFailure {
    fn of<S: lifecycle::AfterDispatch>(self, req: lifecycle::Request<S>) -> Failure {
        let kind = req.fail(self.kind).kind();
        let message = kind.answer().meaning.to_owned();
        Failure {
            kind,
            message,
            retry_after: self.retry_after,
        }
    }
}
