//! Plain calls: requests whose answer is read completely before it is relayed.
//!
//! So a call that may be retried can be dispatched again if its answer breaks off, and a partial answer never looks
//! complete to the caller.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{
    adaptive_timeout::REPLACEMENT_INTERVAL, budget::RetryReason, endpoints::Endpoint,
};
use futures_util::future::{self, FutureExt, LocalBoxFuture};
use tokio::sync::watch;

use super::{
    AdmittedRequest, ForwardError, RunProgress,
    attempts::Attempts,
    refusal::Refusal,
    replacement::Replacement,
    send::{self, Answer, Deadlines, DispatchError, DispatchState, Target},
    termination,
};
use crate::{
    gateway::Gateway,
    http::{body_memory::BodyReservation, callers::Responder},
    paths::{PathState, Via},
};

/// The maximum size of the body of an answer to a plain call.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Attempts in addition to the dispatches that a route allows, for endpoints to which nothing can be sent.
pub(super) const EXTRA_ATTEMPTS: u32 = 3;
/// The fraction of the time left that an attempt may take before another one is made beside it, or before the server
/// error that another one was answered with is relayed.
const NON_FINAL_TIME_FRACTION: f64 = 0.5;

/// The fraction of its latency target after which the path of a call without an answer is checked.
const PATH_CHECK_TARGETS: f64 = 0.5;
/// The interval between further checks.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// An answer with its complete body.
struct CompleteAnswer {
    answer: Answer,
    body: Bytes,
    /// The memory of the body.
    reservation: BodyReservation,
}

/// Forwards a call and relays its answer.
pub(super) async fn forward(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
    out: &mut Responder<'_>,
) -> Result<(), ForwardError> {
    let complete = fetch_answer(gateway, admitted).await?;
    let Answer {
        mut connection,
        mut head,
    } = complete.answer;
    if connection.reusable() {
        let addr = connection.peer_addr();
        gateway.pool_connection(addr, connection, &admitted.service);
    }
    gateway.platform.dialect.strip_answer(&mut head.headers);
    let metrics = &gateway.metrics;
    metrics.answered(admitted.kind_label(), head.status);
    let headers = std::mem::take(&mut head.headers);
    out.send_complete(head.status, headers, complete.body)
        .await?;
    drop(complete.reservation);
    admitted.request_log.finish_answered(head.status);
    Ok(())
}

/// Dispatches a call until an answer can be relayed or no further attempt is allowed.
///
/// An answer with a server error is returned if no later attempt yields a better one.
async fn fetch_answer(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
) -> Result<CompleteAnswer, Refusal> {
    let mut call = Call {
        gateway,
        admitted,
        open: Vec::new(),
        stalled: future::pending().boxed_local(),
        replacement: None,
        started: 0,
        tried: Vec::new(),
        attempts: Attempts::new(Refusal::NoEndpoint("no endpoint of the service is known")),
        failure: None,
    };
    call.fetch_answer().await
}

/// A call that is forwarded, and its attempts so far.
///
/// An attempt that is only silent is kept while another one is made beside it: the first answer is relayed, and the
/// other attempt is cancelled.
struct Call<'a> {
    gateway: &'a Rc<Gateway>,
    admitted: &'a AdmittedRequest,
    /// The attempts that may still be answered, in the order of their start.
    open: Vec<Attempt<'a>>,
    /// Completes when they have been silent for so long that another one is to be made beside them.
    stalled: LocalBoxFuture<'a, ()>,
    /// The attempt that is to be made beside them once a retry is acquired.
    replacement: Option<Replacement<'a, Rc<Endpoint>>>,
    /// The number of attempts that were started.
    started: u32,
    /// The endpoints to which it was dispatched.
    tried: Vec<Rc<str>>,
    /// The attempts that failed.
    attempts: Attempts,
    /// An answer with a server error, and until when a better one is waited for.
    failure: Option<(CompleteAnswer, Duration)>,
}

/// An attempt to get an answer from an endpoint. Dropping it cancels it.
struct Attempt<'a> {
    endpoint: Rc<Endpoint>,
    /// When it counts as silent.
    stalls_at: awake::Instant,
    /// Whether its connection is known to carry nothing.
    path_lost: watch::Receiver<bool>,
    /// Whether its endpoint is avoided because it is silent.
    avoided: bool,
    result: LocalBoxFuture<'a, Result<CompleteAnswer, DispatchError>>,
}

/// What the attempts of a call come to next.
enum Step {
    /// The attempt at this index has ended.
    Ended(usize, Box<Result<CompleteAnswer, DispatchError>>),
    /// The retry for an attempt at this endpoint beside them was acquired, or for `None` denied.
    Replacement(Option<Rc<Endpoint>>),
    /// The attempts are silent.
    Stalled,
    /// There is an answer with a server error, and no better one has come in time.
    Settled,
}

impl Call<'_> {
    async fn fetch_answer(&mut self) -> Result<CompleteAnswer, Refusal> {
        loop {
            if self.open.is_empty() && self.replacement.is_none() {
                let Some(endpoint) = self.next_endpoint().await else {
                    break;
                };
                self.start(endpoint);
            }
            match self.next_step().await {
                Step::Ended(index, result) => {
                    let ended = self.open.remove(index);
                    self.stalled = self.until_newest_stalls();
                    if let Some(complete) = self.end_attempt(&ended.endpoint, *result).await {
                        return Ok(complete);
                    }
                }
                Step::Replacement(Some(endpoint)) => self.start(endpoint),
                Step::Replacement(None) => {}
                Step::Stalled => self.add_attempt(),
                Step::Settled => break,
            }
        }
        if let Some((complete, _)) = self.failure.take() {
            return Ok(complete);
        }
        match self.attempts.may_have_run() && self.admitted.time_left(self.gateway).is_zero() {
            true => Err(Refusal::OutOfTime),
            false => Err(self.attempts.refusal()),
        }
    }

    /// Selects the endpoint of the next attempt while none is open, and acquires the retry that it takes. `None` if
    /// there can be none.
    async fn next_endpoint(&mut self) -> Option<Rc<Endpoint>> {
        let (gateway, admitted) = (self.gateway, self.admitted);
        if self.started >= self.max_started()
            || admitted.time_left(gateway).is_zero()
            || !admitted.may_dispatch(gateway, &mut self.attempts)
        {
            return None;
        }
        let endpoint = pick(gateway, admitted, &self.tried, &mut self.attempts)?;
        let reason = self.attempts.retry_reason();
        let is_retry = self.attempts.dispatches() > 0;
        if is_retry && !admitted.acquire_retry(gateway, reason).await {
            return None;
        }
        Some(endpoint)
    }

    /// The maximum number of attempts, including those of which nothing is sent.
    fn max_started(&self) -> u32 {
        self.admitted.max_dispatches() + EXTRA_ATTEMPTS
    }

    fn start(&mut self, endpoint: Rc<Endpoint>) {
        let (gateway, admitted) = (self.gateway, self.admitted);
        self.started += 1;
        self.tried.push(endpoint.id.clone());
        let to = endpoint.id.to_string();
        admitted
            .request_log
            .record_dispatch(to, Duration::ZERO, 0.0, None);
        let open = self.open.len() as u32 + 1;
        let before_next = match admitted.may_dispatch_beside(&self.attempts, open) {
            true => admitted.time_left(gateway).mul_f64(NON_FINAL_TIME_FRACTION),
            false => admitted.time_left(gateway),
        };
        let stalls_at = awake::Instant::now() + before_next;
        let (lost, path_lost) = watch::channel(false);
        let result = attempt(gateway, admitted, endpoint.clone(), stalls_at, lost);
        self.open.push(Attempt {
            endpoint,
            stalls_at,
            path_lost,
            avoided: false,
            result: result.boxed_local(),
        });
        self.stalled = self.until_newest_stalls();
    }

    /// Waits until an attempt has ended, all have been silent for too long, or the retry for a replacement is
    /// acquired or denied.
    async fn next_step(&mut self) -> Step {
        let replacement = Replacement::decided(&mut self.replacement);
        if self.open.is_empty() {
            return Step::Replacement(replacement.await);
        }
        let failure = self.failure.as_ref();
        let settles_at = failure.map_or(self.admitted.due, |(_, settles_at)| *settles_at);
        let results = self.open.iter_mut().map(|open| open.result.as_mut());
        tokio::select! {
            biased;
            (result, index, _) = future::select_all(results) => {
                Step::Ended(index, Box::new(result))
            }
            endpoint = replacement => Step::Replacement(endpoint),
            () = self.gateway.clock().sleep_until(settles_at), if failure.is_some() => Step::Settled,
            () = &mut self.stalled => Step::Stalled,
        }
    }

    /// Completes when the newest attempt counts as silent, or its connection is known to carry nothing.
    fn until_newest_stalls(&self) -> LocalBoxFuture<'static, ()> {
        let Some(newest) = self.open.last() else {
            return future::pending().boxed_local();
        };
        let (stalls_at, mut path_lost) = (newest.stalls_at, newest.path_lost.clone());
        let stalled = async move {
            tokio::select! {
                () = awake::sleep_until(stalls_at) => {}
                // The sender lives as long as the attempt.
                _ = path_lost.wait_for(|lost| *lost) => {}
            }
        };
        stalled.boxed_local()
    }

    /// Starts to make another attempt beside those that are open.
    fn add_attempt(&mut self) {
        let (gateway, admitted) = (self.gateway, self.admitted);
        self.stalled = awake::sleep(REPLACEMENT_INTERVAL).boxed_local();
        self.avoid_silent();
        if let Some(newest) = self.open.last().filter(|a| *a.path_lost.borrow()) {
            // Only the connection is lost: the endpoint may be reached over another one.
            self.tried.retain(|id| *id != newest.endpoint.id);
        }
        let open = self.open.len() as u32;
        let allowed = self.started < self.max_started()
            && admitted.may_dispatch_beside(&self.attempts, open)
            && !admitted.is_probe()
            && admitted.quarantine_refusal(gateway).is_none()
            && gateway.may_retry(&admitted.service.name, RetryReason::Loss);
        if self.replacement.is_some() || !allowed {
            return;
        }
        let Some(endpoint) = pick(gateway, admitted, &self.tried, &mut self.attempts) else {
            return;
        };
        self.replacement = Some(Replacement::new(gateway, admitted, endpoint));
    }

    /// Records once that the endpoints of the open attempts are silent, so that other calls avoid them.
    fn avoid_silent(&mut self) {
        let now = self.gateway.now();
        let mut directory = self.gateway.directory.borrow_mut();
        let silent = |a: &&mut Attempt<'_>| a.stalls_at <= awake::Instant::now();
        for attempt in self.open.iter_mut().filter(silent).filter(|a| !a.avoided) {
            attempt.avoided = true;
            directory.record_failure(&attempt.endpoint.id, now);
        }
    }

    /// Returns the answer of an attempt that has ended, if it can be relayed.
    async fn end_attempt(
        &mut self,
        endpoint: &Endpoint,
        result: Result<CompleteAnswer, DispatchError>,
    ) -> Option<CompleteAnswer> {
        let (gateway, admitted) = (self.gateway, self.admitted);
        let error = match result {
            Ok(complete) => {
                let open = self.open.len() as u32;
                let may_improve = open > 0 || admitted.may_dispatch_beside(&self.attempts, 1);
                if !may_improve || !complete.answer.head.status.is_server_error() {
                    return Some(complete);
                }
                let settles_in = admitted.time_left(gateway).mul_f64(NON_FINAL_TIME_FRACTION);
                self.failure = Some((complete, gateway.now() + settles_in));
                self.attempts.record_error_answer();
                return None;
            }
            Err(error) => error,
        };
        admitted.request_log.write_buffered();
        log::info!(
            target: "forward",
            id = admitted.request_log.id(),
            request:% = admitted.fingerprint(),
            endpoint = &*endpoint.id,
            why:? = error;
            "A call failed."
        );
        let run_endpoint = termination::RunEndpoint {
            id: &endpoint.id,
            addr: endpoint.addr,
        };
        let run = termination::FailedRun {
            endpoints: &[run_endpoint],
            error: &error,
            progress: RunProgress::Beginning,
            waits_for_checks: self.open.is_empty(),
        };
        termination::record_terminations(gateway, admitted, run).await;
        self.attempts.record_failed_attempt(error);
        None
    }
}

/// Selects the endpoint of the next dispatch. If there is none because endpoints lack permits, or because all of them
/// are in a backoff, `attempts` records this as the reason.
fn pick(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    tried: &[Rc<str>],
    attempts: &mut Attempts,
) -> Option<Rc<Endpoint>> {
    let service = &admitted.service.name;
    let without_permit = gateway.without_permit(service);
    let excluded = [tried, &without_permit].concat();
    let near = &gateway.settings.data_centre;
    let directory = gateway.directory.borrow();
    let now = gateway.now();
    let picked = directory.pick(service, near, &excluded, now);
    if picked.is_some() {
        return picked;
    }
    if !without_permit.is_empty() {
        attempts.record_not_sent(Refusal::AtLimit);
    } else if directory.pick(service, near, &[], now).is_none()
        && let Some(remaining) = gateway.shortest_backoff(service)
    {
        attempts.record_backoff(remaining);
    }
    None
}

async fn attempt(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
    endpoint: Rc<Endpoint>,
    connected_by: awake::Instant,
    path_lost: watch::Sender<bool>,
) -> Result<CompleteAnswer, DispatchError> {
    let state = DispatchState::default();
    let _guard = EndpointRequestGuard::new(gateway, &endpoint.id);
    let target = Target {
        id: &endpoint.id,
        name: &endpoint.name,
        addr: endpoint.addr,
        chain: &[],
        endpoint_ids: &[&endpoint.id],
        after_event: None,
        state: &state,
    };
    let deadlines = Deadlines {
        connection: connected_by,
        answer: admitted.due,
    };
    let exchange = async {
        let mut answer = send::send(gateway, admitted, &target, deadlines).await?;
        let mut reservation = gateway.body_memory.reserve();
        let body = answer
            .connection
            .read_body_into(&mut reservation, MAX_ANSWER_BYTES);
        match gateway.clock().timeout_at(admitted.due, body).await {
            Ok(Ok(body)) => Ok(CompleteAnswer {
                answer,
                body,
                reservation,
            }),
            Ok(Err(e)) => Err(DispatchError::BrokeOff(e.to_string())),
            Err(_) => Err(DispatchError::MayHaveRun(
                "the answer took too long".to_owned(),
            )),
        }
    };
    let kept_until =
        awake::Instant::now() + admitted.time_left(gateway).mul_f64(NON_FINAL_TIME_FRACTION);
    let result = tokio::select! {
        biased;
        result = exchange => result,
        () = until_terminated(gateway, &endpoint.id) => Err(state.cancelled("the endpoint has ended")),
        () = until_path_lost(gateway, admitted, &target, &path_lost, kept_until) => Err(state.cancelled("its connection carries nothing")),
    };
    if result.is_ok() {
        gateway.record_answer(admitted.fingerprint());
        gateway.record_begun_answer(&admitted.incoming.shared_prompt_parts);
    }
    let directory = &gateway.directory;
    match &result {
        Ok(complete) if complete.answer.head.status.is_server_error() => {
            let now = gateway.now();
            directory.borrow_mut().record_error(&endpoint.id, now);
        }
        Ok(_) => gateway.record_endpoint_success(&endpoint.id),
        Err(error @ (DispatchError::MayHaveRun(_) | DispatchError::BrokeOff(_)))
            if !has_lost_path(gateway, &target, error).await =>
        {
            let now = gateway.now();
            directory.borrow_mut().record_failure(&endpoint.id, now);
        }
        _ => {}
    }
    result
}

/// Waits until the endpoint is known to have terminated: its requests are lost then.
async fn until_terminated(gateway: &Gateway, id: &str) {
    let mut failures = gateway.prober.endpoint_failures();
    while !gateway.directory.borrow().has_ended(id) {
        // The sender lives as long as the gateway.
        let _ = failures.changed().await;
    }
}

/// Waits until a call has to end because its connection carries nothing. Another attempt can be made as soon as this is
/// known, which `lost` announces; the call itself is kept until `kept_until`, as its connection may live on.
///
/// The path is checked first after a part of the latency target, if there is no answer by then.
async fn until_path_lost(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
    target: &Target<'_>,
    lost: &watch::Sender<bool>,
    kept_until: awake::Instant,
) {
    let mut pause = admitted.route.latency_target.mul_f64(PATH_CHECK_TARGETS);
    loop {
        awake::sleep(pause).await;
        pause = PATH_CHECK_INTERVAL;
        let Some(via) = target.state.via.get() else {
            continue;
        };
        gateway.check_path(target.addr).await;
        if gateway.paths.is_lost(target.addr, via) {
            lost.send_replace(true);
            if awake::Instant::now() >= kept_until {
                return;
            }
        }
    }
}

/// Whether a failed exchange says nothing about its endpoint, because the connection was lost with its path.
async fn has_lost_path(gateway: &Rc<Gateway>, target: &Target<'_>, error: &DispatchError) -> bool {
    let Some(via) = target.state.via.get() else {
        return false;
    };
    match (via, error) {
        // A cut may reset connections.
        (Via::Direct, DispatchError::BrokeOff(_)) => {
            gateway.check_path(target.addr).await == PathState::Cut
        }
        _ => gateway.paths.is_lost(target.addr, via),
    }
}

/// Counts a request at an endpoint until it is dropped.
struct EndpointRequestGuard<'a> {
    gateway: &'a Gateway,
    id: &'a str,
}

impl<'a> EndpointRequestGuard<'a> {
    fn new(gateway: &'a Gateway, id: &'a str) -> Self {
        gateway.directory.borrow_mut().begin_request(id);
        Self { gateway, id }
    }
}

impl Drop for EndpointRequestGuard<'_> {
    fn drop(&mut self) {
        self.gateway.directory.borrow_mut().end_request(self.id);
    }
}
