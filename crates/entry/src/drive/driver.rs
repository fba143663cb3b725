//! Carries out what a [`Generation`] asks for until it ends.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_delivery::{
    Action, Chain, ErrorKind, Event, Generation, NotRunKind, error::AfterDispatchKind,
};
use dragonflyrill_engines::{CallError, EngineClient, wire};
use dragonflyrill_routing as routing;
use dragonflyrill_telemetry::context;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tracing::info_span;

use super::RunFailure;
use crate::{
    admission::Permit,
    caller::completion::Completion,
    host::Host,
    pool::{StepEnd, StepReport},
    requests::{Refusal, Slot},
};

/// How long the export or import of a KV cache may take.
const KV_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest a driver sleeps without looking at its generation.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// A step that was sent and not answered.
struct Underway {
    endpoint: EndpointId,
    attempt: u32,
    start: u32,
    work: routing::StepSize,
    sent: Duration,
    /// Lasts as long as the step.
    _span: tracing::Span,
}

/// Steps that were asked for and not yet sent.
#[derive(Default)]
pub(super) struct Steps(Vec<Action>);

/// Drives one generation.
pub(super) struct Driver<'a> {
    host: &'a Rc<Host>,
    slot: &'a Slot,
    call: &'a Completion,
    permit: &'a Permit,
    generation: Generation,
    avoid: Vec<EndpointId>,
    addrs: FxHashMap<EndpointId, SocketAddr>,
    steps_tx: mpsc::UnboundedSender<StepReport>,
    steps_rx: mpsc::UnboundedReceiver<StepReport>,
    kv_tx: mpsc::UnboundedSender<Event>,
    kv_rx: mpsc::UnboundedReceiver<Event>,
    underway: Vec<Underway>,
    /// Steps held back while the owner's right is suspended.
    held: Vec<(EndpointId, wire::Step)>,
    began: Duration,
    last_token: Option<Duration>,
    end: Option<Result<(), RunFailure>>,
}

impl Drop for Driver<'_> {
    fn drop(&mut self) {
        let now = self.host.now();
        let mut router = self.host.router.borrow_mut();
        for step in self.underway.drain(..) {
            router.ended(now, &step.endpoint, routing::Outcome::Abandoned);
        }
        self.host.step_times.set(self.generation.step_times());
    }
}

impl<'a> Driver<'a> {
    pub(super) fn new(
        host: &'a Rc<Host>,
        slot: &'a Slot,
        call: &'a Completion,
        permit: &'a Permit,
        generation: Generation,
    ) -> Self {
        let (steps_tx, steps_rx) = mpsc::unbounded_channel();
        let (kv_tx, kv_rx) = mpsc::unbounded_channel();
        Self {
            host,
            slot,
            call,
            permit,
            generation,
            avoid: Vec::new(),
            addrs: FxHashMap::default(),
            steps_tx,
            steps_rx,
            kv_tx,
            kv_rx,
            underway: Vec::new(),
            held: Vec::new(),
            began: host.now(),
            last_token: None,
            end: None,
        }
    }

    /// Starts the generation over `chain` without sending anything yet.
    ///
    /// # Errors
    /// The work can't be done in time; nothing of it was sent, and nothing will be.
    pub(super) fn begin(&mut self, chain: Chain) -> Result<Steps, Refusal> {
        let mut actions = Vec::new();
        self.generation
            .handle(self.host.now(), Event::Start(chain), &mut actions);
        let refused = actions.iter().find_map(|action| match action {
            Action::Fail(kind) => Some(*kind),
            _ => None,
        });
        match refused {
            None => Ok(Steps(actions)),
            Some(kind) => Err(Refusal {
                kind: NotRunKind::try_from(kind).unwrap_or(NotRunKind::DeadlineTooShort),
                message: kind.answer().meaning.to_owned(),
                retry_after: self.generation.retry_after(),
            }),
        }
    }

    /// Sends `steps`, and goes on until the generation has ended.
    pub(super) async fn run(&mut self, steps: Steps) -> Result<(), RunFailure> {
        self.carry_out_all(steps.0);
        loop {
            if let Some(end) = self.end.take() {
                return end;
            }
            let event = self.next_event().await;
            if let Some(event) = event {
                self.handle(event);
            }
        }
    }

    /// Waits for an answer, the generation's next wake, the right's return or the caller's leaving.
    async fn next_event(&mut self) -> Option<Event> {
        let gate = self.permit.gate().clone();
        if !gate.is_suspended() {
            self.send_held();
        }
        let now = self.host.now();
        // While the right is suspended no step can be late; only the deadline counts.
        let wake = match gate.is_suspended() {
            true => Some(self.call.envelope.deadline),
            false => self.generation.next_wake(),
        };
        let sleep = wake.map_or(LONGEST_SLEEP, |at| at.saturating_sub(now));
        tokio::select! {
            Some(report) = self.steps_rx.recv() => self.report(report),
            Some(event) = self.kv_rx.recv() => Some(event),
            () = gate.changed() => None,
            () = self.slot.abandoned() => Some(Event::Cancel),
            () = actix_rt::time::sleep(sleep) => Some(Event::Tick),
        }
    }

    fn report(&mut self, report: StepReport) -> Option<Event> {
        let StepReport { endpoint, end } = report;
        let now = self.host.now();
        match end {
            StepEnd::Answered(result) => {
                if let Some(step) = self.take_underway(&endpoint, result.attempt, result.start) {
                    let outcome = outcome_of(&result, now.saturating_sub(step.sent));
                    if outcome == routing::Outcome::Draining {
                        self.host.endpoint_refused(&endpoint);
                    }
                    let mut router = self.host.router.borrow_mut();
                    router.ended_step(now, &endpoint, outcome, step.work);
                }
                Some(Event::Result { endpoint, result })
            }
            StepEnd::Lost {
                attempt,
                start,
                error,
            } => {
                log::warn!("drive: A step at {endpoint} was lost: {error}.");
                if self.take_underway(&endpoint, attempt, start).is_some() {
                    let mut router = self.host.router.borrow_mut();
                    router.ended(now, &endpoint, routing::Outcome::Failed);
                }
                Some(Event::StepLost {
                    endpoint,
                    attempt,
                    start,
                })
            }
        }
    }

    fn take_underway(
        &mut self,
        endpoint: &EndpointId,
        attempt: u32,
        start: u32,
    ) -> Option<Underway> {
        let same =
            |u: &Underway| u.endpoint == *endpoint && u.attempt == attempt && u.start == start;
        let at = self.underway.iter().position(same)?;
        Some(self.underway.swap_remove(at))
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.generation.handle(self.host.now(), event, &mut actions);
        self.carry_out_all(actions);
    }

    fn carry_out_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { endpoint, step } => match self.permit.gate().is_suspended() {
                true => self.held.push((endpoint, step)),
                false => self.send(endpoint, step),
            },
            Action::Release { index, token } => self.release(index, token),
            Action::Replace { layers, failed } => self.replace(layers, failed),
            Action::Export { endpoint, .. } => self.export(endpoint),
            Action::Import {
                endpoint,
                checkpoint,
            } => self.import(endpoint, checkpoint),
            Action::Free { endpoint, cancel } => self.free(&endpoint, cancel),
            Action::Finish => self.end = Some(Ok(())),
            Action::Moved(_) => self.fail(ErrorKind::Interrupted),
            Action::Fail(kind) => self.fail(kind),
        }
    }

    fn fail(&mut self, kind: ErrorKind) {
        // Steps have left, so only kinds that say so can come; the fallback claims no less.
        let kind = AfterDispatchKind::try_from(kind).unwrap_or(AfterDispatchKind::EndpointFailed);
        let retry_after = self.generation.retry_after();
        self.end = Some(Err(RunFailure { kind, retry_after }));
    }

    fn release(&mut self, index: u32, token: u64) {
        // Tokens that another host released before this one took over are not released again.
        if (index as usize) < self.slot.progress().tokens.len() {
            return;
        }
        let now = self.host.now();
        let metrics = &self.host.metrics;
        match self.last_token.replace(now) {
            None => metrics
                .first_token
                .observe(now.saturating_sub(self.began).as_secs_f64()),
            Some(last) => metrics
                .between_tokens
                .observe(now.saturating_sub(last).as_secs_f64()),
        }
        metrics.tokens.inc();
        self.slot.release(token);
    }

    fn addr(&mut self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let listed = self
            .host
            .router
            .borrow()
            .table()
            .get(endpoint)
            .map(|e| e.addr);
        if let Some(addr) = listed {
            self.addrs.insert(endpoint.clone(), addr);
        }
        self.addrs.get(endpoint).copied()
    }

    fn send_held(&mut self) {
        for (endpoint, step) in std::mem::take(&mut self.held) {
            self.send(endpoint, step);
        }
    }

    fn send(&mut self, endpoint: EndpointId, step: wire::Step) {
        let now = self.host.now();
        let (attempt, start) = (step.attempt, step.start);
        let Some(addr) = self.addr(&endpoint) else {
            self.gone(endpoint, attempt, start);
            return;
        };
        let span = info_span!(
            "step",
            endpoint = endpoint.as_str(),
            layers = %step.layers,
            start,
            attempt,
        );
        let traceparent = context::traceparent(&span);
        let work = routing::StepSize {
            layers: step.layers,
            positions: step.inputs.len() as u32,
        };
        self.slot.tried(attempt);
        self.host.metrics.steps.inc();
        self.host.router.borrow_mut().sent(now, &endpoint);
        let step = wire::TracedStep { step, traceparent };
        self.host
            .pool
            .send(&endpoint, addr, step, self.steps_tx.clone());
        self.underway.push(Underway {
            endpoint,
            attempt,
            start,
            work,
            sent: now,
            _span: span,
        });
    }

    /// The endpoint was forgotten since it was chosen.
    fn gone(&self, endpoint: EndpointId, attempt: u32, start: u32) {
        let error = CallError::NotSent("no longer listed".into());
        let end = StepEnd::Lost {
            attempt,
            start,
            error,
        };
        // `self.steps_rx` is alive, so this can't fail.
        let _ = self.steps_tx.send(StepReport { endpoint, end });
    }

    fn replace(&mut self, layers: wire::Layers, lost: EndpointId) {
        log::warn!(
            "drive: {} lost layers {layers} at {lost}.",
            self.generation.spec().request
        );
        self.host.metrics.stages_replaced.inc();
        self.note_lost(&lost);
        self.avoid.push(lost);
        let now = self.host.now();
        let allowed = self
            .host
            .retries
            .try_retry(&self.call.envelope.workspace, now);
        let chosen = allowed.then(|| super::choose(self.host, self.call, layers, &self.avoid));
        let event = match chosen {
            Some(Ok(chain)) => Event::Replacement(chain),
            Some(Err(_)) | None => Event::NoReplacement,
        };
        self.handle(event);
    }

    /// Steps that the lost endpoint did not answer have failed.
    fn note_lost(&mut self, lost: &EndpointId) {
        let now = self.host.now();
        let mut router = self.host.router.borrow_mut();
        self.underway.retain(|step| {
            if step.endpoint == *lost {
                router.ended(now, lost, routing::Outcome::Failed);
            }
            step.endpoint != *lost
        });
    }

    fn engine(&mut self, endpoint: &EndpointId) -> Option<EngineClient> {
        let addr = self.addr(endpoint)?;
        Some(EngineClient::new(self.host.pool.http().clone(), addr))
    }

    fn export(&mut self, endpoint: EndpointId) {
        let Some(engine) = self.engine(&endpoint) else {
            return;
        };
        let (request, tx) = (self.generation.spec().request.clone(), self.kv_tx.clone());
        actix_rt::spawn(async move {
            match engine.export_kv(&request, KV_TIMEOUT).await {
                Ok(Some(checkpoint)) => {
                    // The generation may have ended meanwhile.
                    let _ = tx.send(Event::Exported {
                        endpoint,
                        checkpoint,
                    });
                }
                Ok(None) => {}
                Err(e) => log::debug!("drive: No checkpoint from {endpoint}: {e}."),
            }
        });
    }

    fn import(&mut self, endpoint: EndpointId, checkpoint: wire::KvCheckpoint) {
        let attempt = checkpoint.attempt;
        let Some(engine) = self.engine(&endpoint) else {
            let _ = self.kv_tx.send(Event::ImportFailed { endpoint, attempt });
            return;
        };
        let tx = self.kv_tx.clone();
        actix_rt::spawn(async move {
            let event = match engine.import_kv(&checkpoint, KV_TIMEOUT).await {
                Ok(()) => Event::Imported { endpoint, attempt },
                Err(e) => {
                    log::warn!("drive: {endpoint} did not take a checkpoint: {e}.");
                    Event::ImportFailed { endpoint, attempt }
                }
            };
            let _ = tx.send(event);
        });
    }

    fn free(&mut self, endpoint: &EndpointId, cancel: wire::Cancel) {
        if let Some(addr) = self.addr(endpoint) {
            self.host.pool.free(addr, cancel);
        }
    }
}

fn outcome_of(result: &wire::StepResult, latency: Duration) -> routing::Outcome {
    match &result.outcome {
        wire::StepOutcome::Done { .. } => routing::Outcome::Ok { latency },
        wire::StepOutcome::Refused { reason, .. } => match reason {
            wire::StepRefusal::Leaving => routing::Outcome::Draining,
            wire::StepRefusal::Busy => routing::Outcome::Busy,
            // The endpoint is well; it only holds another state of the request than was thought.
            _ => routing::Outcome::Ok { latency },
        },
    }
}
