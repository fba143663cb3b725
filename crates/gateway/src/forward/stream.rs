//! Event streams over chains. The first stage of a chain drives it.
//!
//! Complete events are relayed as they arrive. If a run breaks off and the route allows it, a run on another chain
//! continues the same answer after the last event that was relayed. A run that is only silent is kept while another
//! one is started beside it: the first of them that yields an event continues the answer, and the others are
//! cancelled. So an answer does not depend on whether its replacement gets a retry, or is accepted by an engine.

mod plan;
mod run;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::{
    adaptive_timeout::Doubt, admission::Verdict, catalogue::Engine, chains::Chain,
    probing::Suspicion,
};
use futures_util::future::{self, FutureExt};
use http::StatusCode;

use super::{
    AdmittedRequest, ForwardError, RunProgress,
    attempts::{Attempts, Lack},
    call, probe,
    refusal::Refusal,
    replacement::Replacement,
    request_log::Decision,
    run_monitor::Stall,
    send::DispatchError,
    termination,
};
use crate::{gateway::Gateway, http::callers::Responder};
use plan::PlannedRun;
use run::{ErrorAnswer, Run, RunOutput};

/// Forwards a stream and relays its events.
pub(super) async fn forward(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
    out: &mut Responder<'_>,
) -> Result<(), ForwardError> {
    let mut stream = Stream {
        gateway,
        admitted,
        last_event: admitted.incoming.last_event,
        last_event_at: None,
        runs: Vec::new(),
        replacement: None,
        started_runs: 0,
        tried_chains: Vec::new(),
        attempts: Attempts::new(Refusal::NoEndpoint("no chain covers all layers")),
        lacked: Lack::Time,
    };
    let run = gateway.clock().timeout_at(admitted.due, stream.run(out));
    let run = run.await;
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
        Err(_) => {
            let sent = stream.runs.iter().any(Run::sent);
            let refusal = stream.attempts.refusal_out_of_time(sent);
            Err(abort_if_started(
                gateway,
                admitted,
                out,
                refusal.into(),
                Lack::Time,
            ))
        }
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
    /// The id of the last event that was relayed, or that the caller had before.
    last_event: Option<u64>,
    /// When the last events were relayed.
    last_event_at: Option<Duration>,
    /// The runs that may still yield events, in the order of their start. All but the newest are silent.
    runs: Vec<Run<'a>>,
    /// The run that is to be started beside them once a retry is acquired.
    replacement: Option<Replacement<'a, PlannedRun>>,
    /// The number of runs that were started.
    started_runs: u32,
    /// The keys of the chains to which it was dispatched.
    tried_chains: Vec<u64>,
    /// The runs that failed.
    attempts: Attempts,
    /// What a further run lacked.
    lacked: Lack,
}

/// What the runs of a stream come to next.
enum Step {
    /// The run at this index yielded something.
    Output(usize, RunOutput),
    /// The retry for this run beside them was acquired, or for `None` denied.
    Replacement(Option<PlannedRun>),
    /// The newest run is silent.
    Stalled(Stall),
}

impl<'a> Stream<'a> {
    async fn run(&mut self, out: &mut Responder<'_>) -> Result<StatusCode, ForwardError> {
        let Some(engine) = self.admitted.service.engine.clone() else {
            return Err(Refusal::NoEndpoint("the service has no engines").into());
        };
        let service = &self.admitted.service.name;
        self.gateway.count_stream(service, self.admitted.rank());
        loop {
            if self.runs.is_empty() && self.replacement.is_none() {
                let Some(planned) = self.next_run(&engine).await else {
                    return Err(self.attempts.refusal().into());
                };
                self.start_run(planned, out.started());
            }
            match self.next_step().await {
                Step::Output(from, output) => {
                    if let Some(status) = self.handle_output(from, output, out).await? {
                        return Ok(status);
                    }
                }
                Step::Replacement(Some(planned)) => self.start_run(planned, out.started()),
                Step::Replacement(None) => self.lacked = Lack::Retry,
                Step::Stalled(Stall::Ended(why)) => {
                    let newest = self.runs.len() - 1;
                    let error = self.runs[newest].cancelled(why);
                    self.end_run(newest, error, out.started()).await;
                }
                Step::Stalled(Stall::Doubtful(doubt)) => {
                    self.replace_newest(&engine, doubt, out.started()).await;
                }
            }
        }
    }

    /// Plans the next run while none is open, and acquires the retry that it takes. `None` if there can be none.
    async fn next_run(&mut self, engine: &Engine) -> Option<PlannedRun> {
        if self.started_runs >= self.max_runs()
            || !self.admitted.may_dispatch(self.gateway, &mut self.attempts)
        {
            self.lacked = Lack::Dispatch;
            return None;
        }
        let Some(planned) = self.plan_run(engine) else {
            self.lacked = Lack::Endpoint;
            return None;
        };
        if self.is_new() && self.admit(&planned) == Verdict::Reject {
            return None;
        }
        if self.attempts.dispatches() > 0 {
            let reason = self.attempts.retry_reason();
            if !self.admitted.acquire_retry(self.gateway, reason).await {
                self.lacked = Lack::Retry;
                return None;
            }
        }
        Some(planned)
    }

    /// Waits until a run yields something, the newest one has been silent for too long, or the retry for its replacement
    /// is acquired or denied.
    async fn next_step(&mut self) -> Step {
        let replacement = Replacement::decided(&mut self.replacement);
        let Some((newest, older)) = self.runs.split_last_mut() else {
            return Step::Replacement(replacement.await);
        };
        let index = older.len();
        tokio::select! {
            biased;
            output = newest.exchange.next() => Step::Output(index, output),
            (from, output) = first_output(older) => Step::Output(from, output),
            planned = replacement => Step::Replacement(planned),
            stall = newest.monitor.until_stalled() => Step::Stalled(stall),
        }
    }

    /// Starts a run. If events were relayed before, it continues the answer.
    fn start_run(&mut self, planned: PlannedRun, answer_begun: bool) {
        if self.started_runs > 0 {
            let resumed = &self.gateway.metrics.resumed;
            resumed.inc_by(u64::from(answer_begun));
        }
        self.started_runs += 1;
        self.tried_chains.push(planned.chain.key);
        let after_event = answer_begun.then_some(self.last_event).flatten();
        self.admitted.request_log.record_dispatch(
            planned.chain.to_string(),
            planned.expected_first(),
            planned.estimate.memory_fill,
            after_event,
        );
        let timing = self.timing(&planned);
        self.runs.push(Run::start(
            self.gateway,
            self.admitted,
            planned,
            timing,
            self.last_event,
        ));
    }

    /// Starts to replace the newest run, which stays open if anything of it was sent. Without a replacement it is waited
    /// for.
    async fn replace_newest(&mut self, engine: &Engine, doubt: Doubt, answer_begun: bool) {
        if self.replacement.is_some() {
            return;
        }
        let newest = self.runs.len() - 1;
        let path_lost = self.runs[newest].monitor.has_lost_path();
        if path_lost {
            // Only the connection is lost: the chain can be reached over another one.
            let lost = self.runs[newest].chain.key;
            self.tried_chains.retain(|key| *key != lost);
        }
        let (next_run, planned) = self.plan_replacement(engine, path_lost);
        if !next_run.sent {
            let error = self.runs[newest].cancelled("no answer in time");
            self.end_run(newest, error, answer_begun).await;
            return;
        }
        let Some(planned) = planned else {
            let first = !std::mem::replace(&mut self.runs[newest].waited_for, true);
            if first && next_run.dispatch_allowed {
                let kept = Decision::Kept { doubt, next_run };
                self.admitted.request_log.record(kept);
            }
            return;
        };
        if doubt == Doubt::Suspect {
            self.record_suspected_terminations(newest).await;
        }
        self.replacement = Some(Replacement::new(self.gateway, self.admitted, planned));
    }

    /// The maximum number of runs, including those of which nothing is sent.
    fn max_runs(&self) -> u32 {
        self.admitted.max_dispatches() + call::EXTRA_ATTEMPTS
    }

    /// Whether nothing of the stream has run, neither now nor before its caller resumed it.
    fn is_new(&self) -> bool {
        !self.attempts.may_have_run() && self.last_event.is_none()
    }

    fn admit(&mut self, planned: &PlannedRun) -> Verdict {
        self.admitted
            .admit_stream(self.gateway, &planned.estimate, &mut self.attempts)
    }

    /// Acts on what the run at index `from` yielded. Returns the status of the answer once it is complete.
    async fn handle_output(
        &mut self,
        from: usize,
        output: RunOutput,
        out: &mut Responder<'_>,
    ) -> Result<Option<StatusCode>, ForwardError> {
        match output {
            RunOutput::Events(events) => {
                self.cancel_others(from, out.started()).await;
                self.relay_events(events, out).await?;
                Ok(None)
            }
            // A run that continues an answer after its last event yields none.
            RunOutput::Complete
                if out.started() && (self.runs.len() == 1 || self.runs[from].monitor.started()) =>
            {
                self.cancel_others(from, true).await;
                self.complete(out).await
            }
            RunOutput::Complete => {
                let error = run::ended_inside_event();
                self.end_run(from, error, out.started()).await;
                Ok(None)
            }
            RunOutput::NoSuccess(status) => {
                self.handle_error_answer(from, status, out.started()).await;
                Ok(None)
            }
            RunOutput::ErrorAnswer(answer) => self.relay_error_answer(from, *answer, out).await,
            RunOutput::Failed(error) => {
                self.end_failed_run(from, error, out.started()).await;
                Ok(None)
            }
        }
    }

    /// Decides on an answer that is not a success: it is read completely, unless another run may do better.
    async fn handle_error_answer(&mut self, from: usize, status: StatusCode, answer_begun: bool) {
        let code = status.as_u16();
        let is_server_error = status.is_server_error();
        if is_server_error {
            let (now, first) = (self.gateway.now(), self.runs[from].chain.first_stage());
            let mut directory = self.gateway.directory.borrow_mut();
            directory.record_error(&first.id, now);
        }
        let may_improve = self.runs.len() > 1 || self.may_start_another(0);
        let why = match is_server_error && may_improve {
            true => Some(format!("the endpoint answered {code}")),
            false if answer_begun => Some(format!(
                "the endpoint answered {code} instead of the remaining events"
            )),
            false => None,
        };
        if let Some(why) = why {
            let error = DispatchError::MayHaveRun(why);
            return self.end_run(from, error, answer_begun).await;
        }
        self.runs[from].exchange.read_error_answer();
    }

    /// Relays a complete answer that is not a success.
    async fn relay_error_answer(
        &mut self,
        from: usize,
        answer: ErrorAnswer,
        out: &mut Responder<'_>,
    ) -> Result<Option<StatusCode>, ForwardError> {
        self.cancel_others(from, false).await;
        let ErrorAnswer {
            status,
            mut headers,
            body,
        } = answer;
        self.gateway.platform.dialect.strip_answer(&mut headers);
        out.send_complete(status, headers, body).await?;
        Ok(Some(status))
    }

    /// Relays events of the only run.
    async fn relay_events(
        &mut self,
        events: Bytes,
        out: &mut Responder<'_>,
    ) -> Result<(), ForwardError> {
        let run = &mut self.runs[0];
        if !out.started()
            && let Some((status, mut headers)) = run.exchange.take_head()
        {
            self.gateway.platform.dialect.strip_answer(&mut headers);
            out.start_stream(status, headers)?;
        }
        self.gateway.metrics.relayed.inc_by(events.len() as u64);
        out.send_chunk(events).await?;
        self.admitted.request_log.record_relayed_events();
        self.last_event = run.exchange.last_event();
        self.last_event_at = Some(self.gateway.now());
        run.load.end_prefill();
        if run.monitor.started() {
            self.record_begun_answer();
        }
        // Another run may be possible again by the time that this one stalls.
        let may_retry = self.may_start_another(0);
        let run = &mut self.runs[0];
        run.monitor.record_events(may_retry);
        let now = self.gateway.now();
        self.gateway.prober.record_event(&run.chain, now);
        Ok(())
    }

    /// Ends the answer after the last event of the only run.
    async fn complete(
        &mut self,
        out: &mut Responder<'_>,
    ) -> Result<Option<StatusCode>, ForwardError> {
        out.finish().await?;
        let Some(mut answer) = self.runs[0].exchange.take_answer() else {
            return Ok(None);
        };
        let status = answer.head.status;
        let gateway = self.gateway;
        if answer.connection.reusable() {
            let addr = answer.connection.peer_addr();
            gateway.pool_connection(addr, answer.connection, &self.admitted.service);
        }
        gateway.record_answer(self.admitted.fingerprint());
        self.record_begun_answer();
        let stages = self.runs[0].chain.stages.iter();
        stages.for_each(|p| gateway.record_endpoint_success(&p.id));
        Ok(Some(status))
    }

    /// Records once that the answer of the only run has got beyond its beginning.
    fn record_begun_answer(&mut self) {
        let progress = &mut self.runs[0].progress;
        if *progress == RunProgress::Beginning {
            *progress = RunProgress::BeyondBeginning;
            let parts = &self.admitted.incoming.shared_prompt_parts;
            self.gateway.record_begun_answer(parts);
            self.admitted.end_probe();
        }
    }

    /// Cancels all runs but the one at index `kept`, which continues the answer.
    async fn cancel_others(&mut self, kept: usize, answer_begun: bool) {
        self.replacement = None;
        for index in (0..self.runs.len()).rev().filter(|i| *i != kept) {
            let error = self.runs[index].cancelled("another run continues the answer");
            self.end_run(index, error, answer_begun).await;
        }
    }

    /// Records once that a run which is to be replaced may be lost with an endpoint. Its replacement may answer before
    /// the endpoint is known to have terminated.
    async fn record_suspected_terminations(&mut self, index: usize) {
        let run = &mut self.runs[index];
        if std::mem::replace(&mut run.terminations_suspected, true) {
            return;
        }
        let (chain, progress) = (run.chain.clone(), run.progress);
        let error = run.cancelled("the run is silent");
        self.record_terminations(&chain, progress, &error).await;
    }

    /// Ends a run that failed by itself.
    async fn end_failed_run(&mut self, index: usize, error: DispatchError, answer_begun: bool) {
        let may_have_run = matches!(
            error,
            DispatchError::MayHaveRun(_) | DispatchError::BrokeOff(_)
        );
        if may_have_run && self.runs.len() == 1 {
            let chain = self.runs[index].chain.clone();
            probe::after_break(self.gateway, &chain).await;
        } else if may_have_run {
            // The other runs are not kept waiting.
            probe::probe_suspected(self.gateway, &self.runs[index].chain, Suspicion::Still);
        }
        self.end_run(index, error, answer_begun).await;
    }

    /// Ends a run, and records whether an endpoint terminated during it before the request is dispatched again.
    async fn end_run(&mut self, index: usize, error: DispatchError, answer_begun: bool) {
        let Run {
            chain,
            progress,
            memory_fill,
            terminations_suspected,
            ..
        } = self.runs.remove(index);
        self.log_failed_run(&chain, &error, answer_begun);
        // Recorded first, as the time of the request may be over before the checks are.
        self.attempts.record_failed_attempt(error.clone());
        if !terminations_suspected || matches!(error, DispatchError::BrokeOff(_)) {
            self.record_terminations(&chain, progress, &error).await;
        }
        if matches!(error, DispatchError::NotRun(_)) && memory_fill > 1.0 {
            self.admitted
                .record_overload(self.gateway, &mut self.attempts);
        }
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
            after_event:? = self.last_event,
            why:? = error;
            "A run of a stream failed."
        );
    }

    async fn record_terminations(
        &self,
        chain: &Chain,
        progress: RunProgress,
        error: &DispatchError,
    ) {
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
            progress,
            waits_for_checks: self.runs.is_empty(),
        };
        termination::record_terminations(self.gateway, self.admitted, run).await;
    }
}

/// What the first of some runs yields, with its index; pending if there are none.
async fn first_output(runs: &mut [Run<'_>]) -> (usize, RunOutput) {
    if runs.is_empty() {
        return future::pending().await;
    }
    let outputs = runs.iter_mut().map(|run| next_of_silent(run).boxed_local());
    let (output, index, _) = future::select_all(outputs).await;
    (index, output)
}

/// What a run yields that is kept although it is silent. Fails once a stage is known to have terminated.
async fn next_of_silent(run: &mut Run<'_>) -> RunOutput {
    let Run {
        exchange, monitor, ..
    } = run;
    tokio::select! {
        biased;
        output = exchange.next() => output,
        () = monitor.until_terminated() => {
            let error = monitor.dispatch.cancelled("a part of its chain has ended");
            RunOutput::Failed(error)
        }
    }
}
