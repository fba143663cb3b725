//! A caller: it sends one request, retries it and resumes its stream as a real client does.

pub mod attempt;
pub mod stream;

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::{self, Instant};

use crate::{
    hosts::Hosts,
    record::{Record, Refusal, RequestOutcome, RunState},
    run,
    trace::Arrival,
};
use attempt::{AttemptResult, Sender};
use stream::ReceivedTokens;

/// The deadline of a caller whose arrival has none, from the intended send time.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// The time after its deadline for which a caller still waits for the final answer or error.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// The delay before a retry if the answer has no `Retry-After` header.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The state that all callers share.
#[derive(Clone)]
pub struct CallerContext {
    /// The HTTP client.
    pub http: awc::Client,
    /// The entry hosts.
    pub hosts: Hosts,
    /// The time of the start of the run.
    pub origin: Instant,
    /// The maximum number of retries of one request.
    pub retries: u32,
    /// The prefix of every idempotency key.
    pub run_id: String,
}

/// Runs the caller of `arrival`, whose index in `Trace::arrivals` is `index`, until its request
/// ended. `intended` is the send time since the start of the run.
pub async fn run_request(
    context: &CallerContext,
    index: usize,
    arrival: &Arrival,
    intended: Duration,
) -> Record {
    let mut caller = Caller::new(context, arrival, intended);
    let outcome = caller.run().await;
    Record {
        arrival: index,
        intended,
        first_token: caller.received.first_token_at(),
        streamed: caller.received.tokens().to_vec(),
        inter_token_gaps: caller.received.take_inter_token_gaps(),
        ended: context.origin.elapsed(),
        attempts: caller.attempts,
        protocol_errors: caller.received.take_protocol_errors(),
        outcome,
    }
}

/// The state of one request in flight.
struct Caller<'a> {
    context: &'a CallerContext,
    arrival: &'a Arrival,
    /// The idempotency key of all attempts.
    key: String,
    /// The time after which no further attempt starts.
    deadline_at: Instant,
    /// The entry hosts of all attempts so far, the most recent last.
    tried: Vec<SocketAddr>,
    attempts: u32,
    /// Whether an earlier attempt was lost, so that it is unknown whether the work ran.
    attempt_lost: bool,
    /// The request id in the most recent answer that had one.
    request_id: Option<String>,
    received: ReceivedTokens,
}

impl<'a> Caller<'a> {
    fn new(context: &'a CallerContext, arrival: &'a Arrival, intended: Duration) -> Self {
        let timeout = arrival.deadline.unwrap_or(DEFAULT_DEADLINE);
        Self {
            context,
            arrival,
            key: run::idempotency_key(&context.run_id, arrival),
            deadline_at: context.origin + intended + timeout,
            tried: Vec::new(),
            attempts: 0,
            attempt_lost: false,
            request_id: None,
            received: ReceivedTokens::new(context.origin),
        }
    }

    async fn run(&mut self) -> RequestOutcome {
        loop {
            let Some(addr) = self
                .context
                .hosts
                .pick(&self.arrival.data_centre, &self.tried)
            else {
                return RequestOutcome::Lost("there is no entry host".to_owned());
            };
            self.tried.push(addr);
            self.attempts += 1;
            let result = self.attempt(addr).await;
            log::debug!("caller: {} at {addr}: {result:?}", self.arrival.id);
            let (outcome, delay) = match result {
                AttemptResult::Answered(answer) => return RequestOutcome::Answered(answer),
                AttemptResult::Refused(refusal, retry_after) => {
                    let retryable = refusal.status == 503 && refusal.run == RunState::NotRun;
                    let outcome = RequestOutcome::Refused(self.weaken_run_state(refusal));
                    if !retryable {
                        return outcome;
                    }
                    (outcome, retry_after.unwrap_or(DEFAULT_RETRY_DELAY))
                }
                AttemptResult::NotSent(reason) => {
                    (self.not_sent_outcome(reason), DEFAULT_RETRY_DELAY)
                }
                AttemptResult::Lost(reason) => {
                    self.attempt_lost = true;
                    (RequestOutcome::Lost(reason), DEFAULT_RETRY_DELAY)
                }
            };
            if self.attempts > self.context.retries || Instant::now() + delay >= self.deadline_at {
                return outcome;
            }
            time::sleep(delay).await;
        }
    }

    async fn attempt(&mut self, addr: SocketAddr) -> AttemptResult {
        let sender = Sender {
            http: &self.context.http,
            arrival: self.arrival,
            key: &self.key,
            addr,
            deadline_at: self.deadline_at,
        };
        let limit = (self.deadline_at + DEADLINE_GRACE).saturating_duration_since(Instant::now());
        if let Some(id) = self.resumable_request_id() {
            let resumed = time::timeout(limit, sender.resume(&id, &mut self.received)).await;
            match resumed {
                Ok(Some(result)) => return result,
                Ok(None) => {}
                Err(_) => return AttemptResult::Lost("no answer before the deadline".to_owned()),
            }
        }
        let sent = sender.send(&mut self.received, &mut self.request_id);
        match time::timeout(limit, sent).await {
            Ok(result) => result,
            Err(_) => AttemptResult::Lost("no answer before the deadline".to_owned()),
        }
    }

    /// The id of the interrupted stream, if a token of it was received.
    fn resumable_request_id(&self) -> Option<String> {
        if self.received.is_empty() {
            return None;
        }
        self.request_id.clone()
    }

    /// The outcome if the last attempt could not be sent.
    fn not_sent_outcome(&self, reason: String) -> RequestOutcome {
        if self.attempt_lost {
            return RequestOutcome::Lost(reason);
        }
        RequestOutcome::Refused(Refusal {
            status: 0,
            code: "unreached".to_owned(),
            run: RunState::NotRun,
        })
    }

    /// Changes [`RunState::NotRun`] to [`RunState::MayHaveRun`] if an earlier attempt was lost.
    fn weaken_run_state(&self, mut refusal: Refusal) -> Refusal {
        if self.attempt_lost {
            refusal.run = refusal.run.max(RunState::MayHaveRun);
        }
        refusal
    }
}
