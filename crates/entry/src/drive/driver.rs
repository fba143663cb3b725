//! Executes the actions of a [`Generation`] until it ends.

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

/// The timeout of the export or import of a KV checkpoint.
const KV_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum time that a driver waits before it sends a tick to its generation.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// A step that was sent and whose end is not known yet.
struct StepInFlight {
    endpoint: EndpointId,
    attempt: u32,
    start: u32,
    size: routing::StepSize,
    sent_at: Duration,
    /// Ends together with the step.
    _span: tracing::Span,
}

/// The first actions of a generation, not executed yet.
#[derive(Default)]
pub(super) struct FirstActions(Vec<Action>);

/// Drives one generation.
pub(super) struct Driver<'a> {
    host: &'a Rc<Host>,
    slot: &'a Slot,
    call: &'a Completion,
    permit: &'a Permit,
    generation: Generation,
    /// Endpoints that were lost during this request, which replacements avoid.
    avoid: Vec<EndpointId>,
    /// The last known addresses of the endpoints, also of those that are no longer listed.
    addrs: FxHashMap<EndpointId, SocketAddr>,
    steps_tx: mpsc::UnboundedSender<StepReport>,
    steps_rx: mpsc::UnboundedReceiver<StepReport>,
    kv_tx: mpsc::UnboundedSender<Event>,
    kv_rx: mpsc::UnboundedReceiver<Event>,
    in_flight: Vec<StepInFlight>,
    /// Steps that are not sent while the right of the request is suspended.
    held_steps: Vec<(EndpointId, wire::Step)>,
    started_at: Duration,
    last_token: Option<Duration>,
    end: Option<Result<(), RunFailure>>,
}

impl Drop for Driver<'_> {
    fn drop(&mut self) {
        let now = self.host.now();
        let mut router = self.host.router.borrow_mut();
        for step in self.in_flight.drain(..) {
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
            in_flight: Vec::new(),
            held_steps: Vec::new(),
            started_at: host.now(),
            last_token: None,
            end: None,
        }
    }

    /// Starts the generation on `chain`, but sends nothing before [`Driver::run`].
    ///
    /// # Errors
    /// The generation failed at its start, such as when its work can't be done by the deadline.
    /// Nothing was sent, and nothing will be.
    pub(super) fn start(&mut self, chain: Chain) -> Result<FirstActions, Refusal> {
        let mut actions = Vec::new();
        self.generation
            .handle(self.host.now(), Event::Start(chain), &mut actions);
        let refused = actions.iter().find_map(|action| match action {
            Action::Fail(kind) => Some(*kind),
            _ => None,
        });
        match refused {
            None => Ok(FirstActions(actions)),
            Some(kind) => Err(Refusal {
                kind: NotRunKind::try_from(kind).unwrap_or(NotRunKind::DeadlineTooShort),
                message: kind.answer().meaning.to_owned(),
                retry_after: self.generation.retry_after(),
            }),
        }
    }

    /// Executes the first actions and then drives the generation to its end.
    pub(super) async fn run(&mut self, first_actions: FirstActions) -> Result<(), RunFailure> {
        self.execute_all(first_actions.0);
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

    /// Waits for the end of a step or of an export or import, the generation's next wake, the
    /// suspension or return of the right, or the last reader's drop.
    async fn next_event(&mut self) -> Option<Event> {
        let gate = self.permit.gate().clone();
        if !gate.is_suspended() {
            self.send_held_steps();
        }
        let now = self.host.now();
        // While the right is suspended, steps don't time out; only the request's deadline applies.
        let wake = match gate.is_suspended() {
            true => Some(self.call.envelope.deadline),
            false => self.generation.next_wake(),
        };
        let sleep = wake.map_or(MAX_SLEEP, |at| at.saturating_sub(now));
        tokio::select! {
            Some(report) = self.steps_rx.recv() => self.handle_report(report),
            Some(event) = self.kv_rx.recv() => Some(event),
            () = gate.changed() => None,
            () = self.slot.wait_for_abandonment() => Some(Event::Cancel),
            () = self.host.clock.sleep(sleep) => Some(Event::Tick),
        }
    }

    fn handle_report(&mut self, report: StepReport) -> Option<Event> {
        let StepReport { endpoint, end } = report;
        let now = self.host.now();
        match end {
            StepEnd::Answered(result) => {
                if let Some(step) = self.remove_in_flight(&endpoint, result.attempt, result.start) {
                    let outcome = routing_outcome(&result, now.saturating_sub(step.sent_at));
                    if outcome == routing::Outcome::Draining {
                        self.host.report_draining_refusal(&endpoint);
                    }
                    let mut router = self.host.router.borrow_mut();
                    router.ended_step(now, &endpoint, outcome, step.size);
                }
                Some(Event::Result { endpoint, result })
            }
            StepEnd::Lost {
                attempt,
                start,
                error,
            } => {
                log::warn!("drive: No result of a step at {endpoint}: {error}.");
                if self.remove_in_flight(&endpoint, attempt, start).is_some() {
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

    fn remove_in_flight(
        &mut self,
        endpoint: &EndpointId,
        attempt: u32,
        start: u32,
    ) -> Option<StepInFlight> {
        let same =
            |u: &StepInFlight| u.endpoint == *endpoint && u.attempt == attempt && u.start == start;
        let at = self.in_flight.iter().position(same)?;
        Some(self.in_flight.swap_remove(at))
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.generation.handle(self.host.now(), event, &mut actions);
        self.execute_all(actions);
    }

    fn execute_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { endpoint, step } => match self.permit.gate().is_suspended() {
                true => self.held_steps.push((endpoint, step)),
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
        // Steps were sent, so only kinds of failures after dispatch can occur. The fallback also
        // says that the request may have run.
        let kind = AfterDispatchKind::try_from(kind).unwrap_or(AfterDispatchKind::EndpointFailed);
        let retry_after = self.generation.retry_after();
        self.end = Some(Err(RunFailure { kind, retry_after }));
    }

    fn release(&mut self, index: u32, token: u64) {
        // The slot already holds the tokens that a lost run at another host released.
        if (index as usize) < self.slot.progress().tokens.len() {
            return;
        }
        let now = self.host.now();
        let metrics = &self.host.metrics;
        match self.last_token.replace(now) {
            None => metrics
                .first_token
                .observe(now.saturating_sub(self.started_at).as_secs_f64()),
            Some(last) => metrics
                .between_tokens
                .observe(now.saturating_sub(last).as_secs_f64()),
        }
        metrics.tokens.inc();
        self.slot.push_token(token);
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

    fn send_held_steps(&mut self) {
        for (endpoint, step) in std::mem::take(&mut self.held_steps) {
            self.send(endpoint, step);
        }
    }

    fn send(&mut self, endpoint: EndpointId, step: wire::Step) {
        let now = self.host.now();
        let (attempt, start) = (step.attempt, step.start);
        let Some(addr) = self.addr(&endpoint) else {
            self.report_unlisted(endpoint, attempt, start);
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
        let size = routing::StepSize {
            layers: step.layers,
            positions: step.inputs.len() as u32,
        };
        self.slot.record_attempt(attempt);
        self.host.metrics.steps.inc();
        self.host.router.borrow_mut().sent(now, &endpoint);
        let step = wire::TracedStep { step, traceparent };
        self.host
            .pool
            .send(&endpoint, addr, step, self.steps_tx.clone());
        self.in_flight.push(StepInFlight {
            endpoint,
            attempt,
            start,
            size,
            sent_at: now,
            _span: span,
        });
    }

    /// Reports a step as lost whose endpoint has been removed from the table since it was chosen.
    fn report_unlisted(&self, endpoint: EndpointId, attempt: u32, start: u32) {
        let error = CallError::NotSent("no longer listed".into());
        let end = StepEnd::Lost {
            attempt,
            start,
            error,
        };
        // `self.steps_rx` is open, so this can't fail.
        let _ = self.steps_tx.send(StepReport { endpoint, end });
    }

    fn replace(&mut self, layers: wire::Layers, failed: EndpointId) {
        self.fail_steps_at(&failed);
        self.avoid.push(failed);
        let now = self.host.now();
        let found = super::find_chain(self.host, self.call, layers, &self.avoid).ok();
        // A stage without a replacement may be asked for again and again: that uses no retries.
        let chosen = found.filter(|_| {
            let workspace = &self.call.envelope.workspace;
            self.host.retries.try_retry(workspace, now)
        });
        let event = match chosen {
            Some(chain) => {
                let lost = self.avoid.last().map_or("", EndpointId::as_str);
                let request = &self.generation.spec().request;
                log::warn!("drive: {request} lost layers {layers} at {lost}.");
                self.host.metrics.stages_replaced.inc();
                Event::Replacement(chain)
            }
            None => {
                // A stage that is only silent is kept.
                self.avoid.pop();
                Event::NoReplacement
            }
        };
        self.handle(event);
    }

    /// Reports the steps in flight at a lost endpoint to the router as failed.
    fn fail_steps_at(&mut self, lost: &EndpointId) {
        let now = self.host.now();
        let mut router = self.host.router.borrow_mut();
        self.in_flight.retain(|step| {
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
                    // The channel is closed if the generation has ended meanwhile.
                    let _ = tx.send(Event::Exported {
                        endpoint,
                        checkpoint,
                    });
                }
                Ok(None) => {}
                Err(e) => {
                    log::debug!("drive: The export of a checkpoint at {endpoint} failed: {e}.")
                }
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
                    log::warn!("drive: The import of a checkpoint at {endpoint} failed: {e}.");
                    Event::ImportFailed { endpoint, attempt }
                }
            };
            let _ = tx.send(event);
        });
    }

    fn free(&mut self, endpoint: &EndpointId, cancel: wire::Cancel) {
        if let Some(addr) = self.addr(endpoint) {
            self.host.pool.cancel(addr, cancel);
        }
    }
}

fn routing_outcome(result: &wire::StepResult, latency: Duration) -> routing::Outcome {
    match &result.outcome {
        wire::StepOutcome::Done { .. } => routing::Outcome::Ok { latency },
        wire::StepOutcome::Refused { reason, .. } => match reason {
            wire::StepRefusal::Leaving => routing::Outcome::Draining,
            wire::StepRefusal::Busy => routing::Outcome::Busy,
            // The endpoint works, but its state of the request differs from the generation's view.
            _ => routing::Outcome::Ok { latency },
        },
    }
}
