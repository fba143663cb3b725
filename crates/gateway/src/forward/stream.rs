//! Event streams over chains. The first stage of a chain drives it.
//!
//! Complete events are relayed as they arrive. If a run breaks off or stalls and the route allows it, a run on
//! another chain continues the same answer after the last event that was relayed.

mod plan;

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use dragonflyrill_fleet::{
    admission::Verdict, budget::RetryReason, chains::Chain, layers::LayerRange,
};
use tokio::time::{self, Instant};

use super::{
    AdmittedRequest, ForwardError, RunProgress,
    attempts::{Attempts, Lack},
    call,
    chain_load::ChainLoadGuard,
    events::{EventBatch, EventSplitter},
    is_success, probe,
    refusal::Refusal,
    run_monitor::{AbandonReason, RunMonitor},
    send::{self, Answer, Deadlines, DispatchError, Target},
    termination,
};
use crate::{gateway::Gateway, http::callers::Responder};
use plan::PlannedRun;

/// The maximum size of the body of an answer that is not a success.
const MAX_ERROR_ANSWER_BYTES: usize = 256 * 1024;

/// Forwards a stream and relays its events.
pub(super) async fn forward(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
    out: &mut Responder<'_>,
) -> Result<(), ForwardError> {
    let sending = Cell::new(false);
    let mut stream = Stream {
        gateway,
        admitted,
        events: EventSplitter::after(admitted.incoming.last_event),
        tried_chains: Vec::new(),
        attempts: Attempts::new(Refusal::NoEndpoint("no chain covers all layers")),
        retry_acquired: false,
        sending: &sending,
        last_event_at: None,
        progress: RunProgress::Beginning,
        lacked: Lack::Time,
    };
    let run = time::timeout_at(admitted.due, stream.run(out)).await;
    match run {
        Ok(Ok(status)) => {
            gateway.metrics.answered(admitted.kind_label(), status);
            admitted.request_log.finish_answered(status);
            Ok(())
        }
        Ok(Err(error)) => Err(abort_if_started(
            gateway,
            admitted,
            out,
            error,
            stream.lacked,
        )),
        Err(_) => Err(abort_if_started(
            gateway,
            admitted,
            out,
            ForwardError::Refused(stream.attempts.refusal_out_of_time(sending.get())),
            Lack::Time,
        )),
    }
}

/// Aborts an answer that has started, since no other answer can replace it: the connection is closed without the
/// end of the body, so that the caller sees that the answer is incomplete.
fn abort_if_started(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    out: &Responder<'_>,
    error: ForwardError,
    lacked: Lack,
) -> ForwardError {
    match error {
        ForwardError::Refused(refusal) if out.started() => {
            admitted.request_log.write_buffered();
            let lacked = lacked.label();
            gateway
                .metrics
                .broken_off
                .with_label_values(&[lacked])
                .inc();
            log::info!(target: "forward", id = admitted.request_log.id(), lacked = lacked, why:? = refusal; "Stream breaks off.");
            ForwardError::Io(std::io::ErrorKind::ConnectionAborted.into())
        }
        other => other,
    }
}

/// A stream that is forwarded, and its runs so far.
struct Stream<'a> {
    gateway: &'a Rc<Gateway>,
    admitted: &'a AdmittedRequest,
    events: EventSplitter,
    /// The keys of the chains to which it was dispatched.
    tried_chains: Vec<u64>,
    /// The runs that failed.
    attempts: Attempts,
    /// A retry was acquired when the last run was abandoned.
    retry_acquired: bool,
    /// Whether a run is under way of which anything was sent.
    sending: &'a Cell<bool>,
    /// When the last events were relayed.
    last_event_at: Option<Instant>,
    /// How far the answer of the current run has got.
    progress: RunProgress,
    /// What a further run lacked.
    lacked: Lack,
}

/// How a run ended.
enum RunEnd {
    /// The stream is complete.
    Complete(http::StatusCode),
    /// It broke off, was abandoned or did not start.
    Failed(DispatchError),
}

impl Stream<'_> {
    async fn run(&mut self, out: &mut Responder<'_>) -> Result<http::StatusCode, ForwardError> {
        let Some(engine) = self.admitted.service.engine.clone() else {
            return Err(Refusal::NoEndpoint("the service has no engines").into());
        };
        let service = &self.admitted.service.name;
        self.gateway.count_stream(service, self.admitted.rank());
        for _ in 0..self.admitted.max_dispatches() + call::EXTRA_ATTEMPTS {
            if !self.admitted.may_dispatch(self.gateway, &mut self.attempts) {
                self.lacked = Lack::Dispatch;
                break;
            }
            let Some(planned) = self.plan_run(&engine) else {
                self.lacked = Lack::Endpoint;
                break;
            };
            if self.is_new() && self.admit(&planned) == Verdict::Reject {
                break;
            }
            if self.attempts.dispatches() > 0 {
                let reason = self.attempts.retry_reason();
                let acquired = std::mem::take(&mut self.retry_acquired);
                if !acquired && !self.admitted.acquire_retry(self.gateway, reason).await {
                    self.lacked = Lack::Retry;
                    break;
                }
                self.gateway
                    .metrics
                    .resumed
                    .inc_by(u64::from(out.started()));
                self.events.resume();
            }
            self.tried_chains.push(planned.chain.key);
            let after_event = out.started().then(|| self.events.last()).flatten();
            let to = planned.chain.to_string();
            let (first, fill) = (planned.expected_first(), planned.estimate.memory_fill);
            self.admitted
                .request_log
                .record_dispatch(to, first, fill, after_event);
            self.progress = RunProgress::Beginning;
            match self.run_on_chain(&planned, out).await? {
                RunEnd::Complete(status) => return Ok(status),
                RunEnd::Failed(error) => {
                    self.log_failed_run(&planned.chain, &error, out.started());
                    // Recorded first, as the time of the request may be over before the checks are.
                    self.attempts.record_failed_attempt(error.clone());
                    self.sending.set(false);
                    self.record_terminations(&planned.chain, &error).await;
                    if matches!(error, DispatchError::NotRun(_))
                        && planned.estimate.memory_fill > 1.0
                    {
                        self.admitted
                            .record_overload(self.gateway, &mut self.attempts);
                    }
                }
            }
        }
        Err(self.attempts.refusal().into())
    }

    /// Whether nothing of the stream has run, neither now nor before its caller resumed it.
    fn is_new(&self) -> bool {
        !self.attempts.may_have_run() && self.events.last().is_none()
    }

    fn admit(&mut self, planned: &PlannedRun) -> Verdict {
        self.admitted
            .admit_stream(self.gateway, &planned.estimate, &mut self.attempts)
    }

    fn log_failed_run(&self, chain: &Chain, error: &DispatchError, started: bool) {
        self.admitted.request_log.write_buffered();
        log::info!(
            target: "forward",
            id = self.admitted.request_log.id(),
            request:% = self.admitted.fingerprint(),
            parts = self.admitted.prompt_parts_text(),
            chain = chain.to_string(),
            started = started,
            after_event:? = self.events.last(),
            why:? = error;
            "A run of a stream failed."
        );
    }

    /// Records whether an endpoint terminated during a failed run, before the request is dispatched again.
    async fn record_terminations(&self, chain: &Chain, error: &DispatchError) {
        let stages = chain.stages.iter();
        let endpoints: Vec<termination::RunEndpoint<'_>> = stages
            .map(|stage| termination::RunEndpoint {
                id: &stage.id,
                addr: stage.addr,
            })
            .collect();
        let run = termination::FailedRun {
            endpoints: &endpoints,
            error,
            progress: self.progress,
        };
        termination::record_terminations(self.gateway, self.admitted, run).await;
    }

    async fn run_on_chain(
        &mut self,
        planned: &PlannedRun,
        out: &mut Responder<'_>,
    ) -> Result<RunEnd, ForwardError> {
        let gateway = self.gateway;
        let chain = &planned.chain;
        let chain_load = ChainLoadGuard::new(gateway, chain, &planned.demand);
        let _work = self.admitted.count_work(gateway, &planned.demand);
        let hops: Vec<(SocketAddr, LayerRange)> =
            chain.stages.iter().map(|p| (p.addr, p.layers)).collect();
        let endpoint_ids: Vec<&Rc<str>> = chain.stages.iter().map(|p| &p.id).collect();
        let via = Cell::new(None);
        let target = Target {
            id: &chain.first_stage().id,
            name: &chain.first_stage().name,
            addr: chain.first_stage().addr,
            chain: &hops,
            endpoint_ids: &endpoint_ids,
            after_event: self.events.last(),
            sending: self.sending,
            via: &via,
        };
        let mut monitor = RunMonitor {
            gateway,
            chain,
            timing: self.timing(planned),
            via: &via,
            request_log: &self.admitted.request_log,
        };
        let sent_at = Instant::now();
        let deadlines = Deadlines {
            connection: sent_at + monitor.timing.timeout(),
            // The monitor decides how long to wait for the answer.
            answer: self.admitted.due,
        };
        let sent = tokio::select! {
            biased;
            sent = send::send(gateway, self.admitted, &target, deadlines) => sent,
            abandoned = monitor.until_abandoned(sent_at, || self.next_run(&target)) => {
                self.allow_again(chain, &abandoned);
                self.acquire_retry_to_replace(&abandoned);
                Err(target.abandoned(abandoned.why))
            }
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) => {
                if matches!(
                    error,
                    DispatchError::MayHaveRun(_) | DispatchError::BrokeOff(_)
                ) {
                    probe::after_break(gateway, chain).await;
                }
                return Ok(RunEnd::Failed(error));
            }
        };
        if answer.head.status.is_server_error() {
            let now = gateway.now();
            gateway.directory.borrow_mut().record_error(target.id, now);
            if self.admitted.may_dispatch_again(&self.attempts) {
                let why = format!("the endpoint answered {}", answer.head.status.as_u16());
                return Ok(RunEnd::Failed(DispatchError::MayHaveRun(why)));
            }
        }
        if !is_success(answer.head.status) {
            return self.relay_error_answer(answer, out).await;
        }
        let end = self
            .relay(&mut monitor, &target, &chain_load, answer, sent_at, out)
            .await?;
        if let RunEnd::Complete(_) = end {
            gateway.record_answer(self.admitted.fingerprint());
            self.record_begun_answer();
            let stages = chain.stages.iter();
            stages.for_each(|p| gateway.record_endpoint_success(&p.id));
        }
        Ok(end)
    }

    /// Relays an answer that is not a success, unless events were relayed already.
    async fn relay_error_answer(
        &mut self,
        mut answer: Answer,
        out: &mut Responder<'_>,
    ) -> Result<RunEnd, ForwardError> {
        let status = answer.head.status;
        let body = match answer.connection.read_body(MAX_ERROR_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(e) => return Ok(RunEnd::Failed(DispatchError::MayHaveRun(e.to_string()))),
        };
        if out.started() {
            let why = format!(
                "the endpoint answered {} instead of the remaining events",
                status.as_u16()
            );
            return Ok(RunEnd::Failed(DispatchError::MayHaveRun(why)));
        }
        let mut headers = std::mem::take(&mut answer.head.headers);
        self.gateway.platform.dialect.strip_answer(&mut headers);
        out.send_complete(status, headers, body).await?;
        Ok(RunEnd::Complete(status))
    }

    async fn relay(
        &mut self,
        monitor: &mut RunMonitor<'_>,
        target: &Target<'_>,
        chain_load: &ChainLoadGuard<'_>,
        mut answer: Answer,
        sent_at: Instant,
        out: &mut Responder<'_>,
    ) -> Result<RunEnd, ForwardError> {
        let status = answer.head.status;
        let mut since = sent_at;
        loop {
            let piece = tokio::select! {
                biased;
                piece = answer.connection.read_chunk() => piece,
                abandoned = monitor.until_abandoned(since, || self.next_run(target)) => {
                    self.allow_again(monitor.chain, &abandoned);
                    if out.started() && abandoned.lost_path && !self.next_run(target).may_replace_current() {
                        monitor.timing.may_retry = false;
                        continue;
                    }
                    self.acquire_retry_to_replace(&abandoned);
                    return Ok(abandoned_run(abandoned.why));
                }
            };
            let piece = match piece {
                Ok(Some(piece)) => piece,
                Ok(None) if self.events.is_at_event_boundary() && out.started() => break,
                Ok(None) => return Ok(broken_run("the stream ended inside an event")),
                Err(e) => {
                    probe::after_break(self.gateway, monitor.chain).await;
                    return Ok(broken_run(&e.to_string()));
                }
            };
            match self.events.push(piece) {
                EventBatch::Empty => continue,
                EventBatch::Missing => {
                    return Ok(abandoned_run("events are missing in the stream"));
                }
                EventBatch::Events(events) => self.relay_events(&mut answer, events, out).await?,
            }
            chain_load.end_prefill();
            if monitor.timing.started {
                self.record_begun_answer();
            }
            if !monitor.timing.started {
                monitor.timing.started = true;
                // Another run may be possible again by the time that this one stalls.
                monitor.timing.may_retry = self.admitted.may_dispatch_again(&self.attempts);
            }
            since = Instant::now();
            self.last_event_at = Some(since);
            let now = self.gateway.now();
            self.gateway.prober.record_event(monitor.chain, now);
        }
        out.finish().await?;
        if answer.connection.reusable() {
            let addr = answer.connection.peer_addr();
            self.gateway
                .pool_connection(addr, answer.connection, &self.admitted.service);
        }
        Ok(RunEnd::Complete(status))
    }

    /// Records once that the answer of the current run has got beyond its beginning.
    fn record_begun_answer(&mut self) {
        if self.progress == RunProgress::Beginning {
            self.progress = RunProgress::BeyondBeginning;
            let parts = &self.admitted.incoming.shared_prompt_parts;
            self.gateway.record_begun_answer(parts);
            self.admitted.end_probe();
        }
    }

    /// Lets a chain be chosen again if only the connection to it was lost.
    fn allow_again(&mut self, chain: &Chain, abandoned: &AbandonReason) {
        if abandoned.lost_path {
            self.tried_chains.retain(|key| *key != chain.key);
        }
    }

    /// Acquires the retry for which a run is abandoned, at once: until the checks that follow have ended, other
    /// streams may use up the budget.
    fn acquire_retry_to_replace(&mut self, abandoned: &AbandonReason) {
        let service = &self.admitted.service.name;
        let reason = RetryReason::Loss;
        if abandoned.replaced
            && self.sending.get()
            && self.gateway.retry_budget_state(service).retry_left(reason)
        {
            let acquired = self.admitted.acquire_recorded_retry(self.gateway, reason);
            self.retry_acquired = acquired;
        }
    }

    async fn relay_events(
        &mut self,
        answer: &mut Answer,
        events: Bytes,
        out: &mut Responder<'_>,
    ) -> Result<(), ForwardError> {
        if !out.started() {
            let mut headers = std::mem::take(&mut answer.head.headers);
            self.gateway.platform.dialect.strip_answer(&mut headers);
            out.start_stream(answer.head.status, headers)?;
        }
        self.gateway.metrics.relayed.inc_by(events.len() as u64);
        out.send_chunk(events).await?;
        self.admitted.request_log.record_relayed_events();
        Ok(())
    }
}

fn abandoned_run(why: &str) -> RunEnd {
    RunEnd::Failed(DispatchError::MayHaveRun(why.to_owned()))
}

fn broken_run(why: &str) -> RunEnd {
    RunEnd::Failed(DispatchError::BrokeOff(why.to_owned()))
}
