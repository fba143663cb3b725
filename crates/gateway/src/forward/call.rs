//! Plain calls: requests whose answer is read completely before it is relayed.
//!
//! So a call that may be retried can be dispatched again if its answer breaks off, and a partial answer never looks
//! complete to the caller.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::endpoints::Endpoint;
use tokio::time;

use super::{
    AdmittedRequest, ForwardError, RunProgress,
    attempts::Attempts,
    is_success,
    refusal::Refusal,
    send::{self, Answer, Deadlines, DispatchError, DispatchState, Target},
    termination,
};
use crate::{
    gateway::Gateway,
    http::callers::Responder,
    paths::{PathState, Via},
};

/// The maximum size of the body of an answer to a plain call.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Attempts in addition to the dispatches that a route allows, for endpoints to which nothing can be sent.
pub(super) const EXTRA_ATTEMPTS: u32 = 3;
/// The fraction of the time left that a dispatch may take while another one may follow.
const NON_FINAL_TIME_FRACTION: f64 = 0.5;

/// The fraction of its latency target after which the path of a call without an answer is checked.
const PATH_CHECK_TARGETS: f64 = 0.5;
/// The interval between further checks.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// An answer with its complete body.
struct CompleteAnswer {
    answer: Answer,
    body: Bytes,
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
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut attempts = Attempts::new(Refusal::NoEndpoint("no endpoint of the service is known"));
    let mut failure: Option<CompleteAnswer> = None;
    for _ in 0..admitted.max_dispatches() + EXTRA_ATTEMPTS {
        if admitted.time_left().is_zero() || !admitted.may_dispatch(gateway, &mut attempts) {
            break;
        }
        let Some(endpoint) = pick(gateway, admitted, &tried, &mut attempts) else {
            break;
        };
        let reason = attempts.retry_reason();
        if attempts.dispatches() > 0 && !admitted.acquire_retry(gateway, reason).await {
            break;
        }
        tried.push(endpoint.id.clone());
        let to = endpoint.id.to_string();
        admitted
            .request_log
            .record_dispatch(to, Duration::ZERO, 0.0, None);
        let may_retry = admitted.may_dispatch_beside(&attempts, 1);
        let left = admitted.time_left();
        let limit = if may_retry {
            left.mul_f64(NON_FINAL_TIME_FRACTION)
        } else {
            left
        };
        match attempt(gateway, admitted, &endpoint, limit).await {
            Ok(complete)
                if is_success(complete.answer.head.status)
                    || !may_improve(&complete, may_retry) =>
            {
                return Ok(complete);
            }
            Ok(complete) => {
                failure = Some(complete);
                attempts.record_error_answer();
            }
            Err(error) => {
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
                };
                termination::record_terminations(gateway, admitted, run).await;
                attempts.record_failed_attempt(error);
            }
        }
    }
    if let Some(complete) = failure {
        return Ok(complete);
    }
    match attempts.may_have_run() && admitted.time_left().is_zero() {
        true => Err(Refusal::OutOfTime),
        false => Err(attempts.refusal()),
    }
}

/// Whether another endpoint may give a better answer.
fn may_improve(complete: &CompleteAnswer, may_retry: bool) -> bool {
    may_retry && complete.answer.head.status.is_server_error()
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
    endpoint: &Endpoint,
    limit: Duration,
) -> Result<CompleteAnswer, DispatchError> {
    let _guard = EndpointRequestGuard::new(gateway, &endpoint.id);
    let state = DispatchState::default();
    let target = Target {
        id: &endpoint.id,
        name: &endpoint.name,
        addr: endpoint.addr,
        chain: &[],
        endpoint_ids: &[&endpoint.id],
        after_event: None,
        state: &state,
    };
    let until = time::Instant::now() + limit;
    let deadlines = Deadlines {
        connection: until,
        answer: until,
    };
    let exchange = async {
        let mut answer = send::send(gateway, admitted, &target, deadlines).await?;
        let body = time::timeout_at(until, answer.connection.read_body(MAX_ANSWER_BYTES)).await;
        match body {
            Ok(Ok(body)) => Ok(CompleteAnswer { answer, body }),
            Ok(Err(e)) => Err(DispatchError::BrokeOff(e.to_string())),
            Err(_) => Err(DispatchError::MayHaveRun(
                "the answer took too long".to_owned(),
            )),
        }
    };
    let first_check = admitted.route.latency_target.mul_f64(PATH_CHECK_TARGETS);
    let result = tokio::select! {
        biased;
        result = exchange => result,
        () = until_terminated(gateway, &endpoint.id) => Err(state.cancelled("the endpoint has ended")),
        () = until_path_lost(gateway, &target, first_check) => Err(state.cancelled("its connection carries nothing")),
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

/// Waits until the connection of a call is known to carry nothing. The path is checked first after `first_check`, if
/// there is no answer by then.
async fn until_path_lost(gateway: &Rc<Gateway>, target: &Target<'_>, first_check: Duration) {
    let mut pause = first_check;
    loop {
        time::sleep(pause).await;
        pause = PATH_CHECK_INTERVAL;
        let Some(via) = target.state.via.get() else {
            continue;
        };
        gateway.check_path(target.addr).await;
        if gateway.paths.is_lost(target.addr, via) {
            return;
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
