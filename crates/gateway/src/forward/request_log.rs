//! Logs the decisions on each request.
//!
//! Each decision has a line with the data that it was based on and the age of that data. The settings bound the
//! number of successful requests logged per second. The lines of the others are buffered, and are written as soon
//! as anything fails or the request is late. So the volume of the log is bounded, and failed requests are always
//! logged completely.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::{
    adaptive_timeout::{Doubt, NextRun},
    admission::{Level, ServiceLoad},
    budget::{BudgetState, RetryReason},
    catalogue::Route,
    token_bucket::TokenBucket,
};
use http::StatusCode;

use crate::{gateway::Gateway, metrics::Outcome};

/// The size of a burst of logged requests, in seconds of their rate.
const LOG_BURST_S: f64 = 5.0;

/// SharedBounds the rate of successful requests that are logged.
pub struct RequestLogBudget {
    bucket: RefCell<TokenBucket>,
}

impl RequestLogBudget {
    /// A budget of `per_s` requests per second.
    pub fn new(per_s: f64) -> Self {
        Self {
            bucket: RefCell::new(TokenBucket::new(per_s, per_s * LOG_BURST_S)),
        }
    }

    /// Acquires the right to log one request; false if the budget is used up.
    fn try_acquire(&self, now: Duration) -> bool {
        self.bucket.borrow_mut().try_acquire(1.0, now)
    }
}

/// A decision on a request.
pub(super) enum Decision {
    /// The request was admitted: its route and workspace were found.
    Admitted {
        route: Box<str>,
        workspace: Option<Rc<str>>,
        /// The version of the catalogue.
        catalogue: u64,
        /// Age of the proof that this version is the newest.
        proof_age: Duration,
        /// Time until the earlier of the route's timeout and the caller's deadline.
        time_left: Duration,
    },
    /// The stream was rejected by admission control.
    Rejected { level: Level, load: ServiceLoad },
    /// A retry was requested from the budget.
    Retry {
        reason: RetryReason,
        allowed: bool,
        /// The state of the budget before the decision.
        budget: BudgetState,
        /// The number of hosts by which the burst is divided; `None` if this host has no share of it.
        divisor: Option<u32>,
    },
    /// The request is dispatched to an endpoint or a chain.
    Dispatched {
        /// The id of the endpoint, or the stages of the chain with their layers.
        to: String,
        /// The number of this dispatch, starting from 1.
        dispatch: u32,
        /// Expected time to the first event; zero for a plain call.
        expected: Duration,
        /// Estimated memory use of the fullest stage, in percent; zero for a plain call.
        fill: u64,
        /// Time since the last sign of the store.
        store_age: Duration,
        /// Age of the list of endpoints; `None` if none is known.
        list_age: Option<Duration>,
        /// The id of the last event that was relayed to the caller.
        after_event: Option<u64>,
    },
    /// A run is waited for although it may be lost, as no other run is possible.
    Kept {
        doubt: Doubt,
        /// The run that would have followed.
        next_run: NextRun,
    },
}

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl Decision {
    fn write(&self, id: &str, after: Duration) {
        match self {
            Self::Admitted {
                route,
                workspace,
                catalogue,
                proof_age,
                time_left,
            } => log::info!(
                target: "forward",
                id = id,
                after_ms = ms(after),
                route = &**route,
                workspace = workspace.as_deref().unwrap_or("-"),
                catalogue = *catalogue,
                proof_age_ms = ms(*proof_age),
                left_ms = ms(*time_left);
                "Request is admitted."
            ),
            Self::Rejected { level, load } => log::info!(
                target: "forward",
                id = id,
                after_ms = ms(after),
                level = level.value(),
                fill_percent = (load.memory_fill * 100.0) as u64,
                running = load.running as u64,
                offered_per_s = load.offered_per_s as u64;
                "Stream is rejected by admission control."
            ),
            Self::Retry {
                reason,
                allowed,
                budget,
                divisor,
            } => log::info!(
                target: "forward",
                id = id,
                after_ms = ms(after),
                reason = reason.label(),
                allowed = *allowed,
                repeats = budget.retries as u64,
                most = budget.allowed as u64,
                recorded = u64::from(budget.recorded),
                requests = budget.requests as u64,
                divisor = divisor.unwrap_or(0);
                "A retry was requested from the budget."
            ),
            Self::Dispatched {
                to,
                dispatch,
                expected,
                fill,
                store_age,
                list_age,
                after_event,
            } => log::info!(
                target: "forward",
                id = id,
                after_ms = ms(after),
                to = to.as_str(),
                send = *dispatch,
                expected_ms = ms(*expected),
                fill_percent = *fill,
                store_age_ms = ms(*store_age),
                list_age_ms:? = list_age.map(ms),
                after_event:? = after_event;
                "Request is sent."
            ),
            Self::Kept { doubt, next_run } => log::info!(
                target: "forward",
                id = id,
                after_ms = ms(after),
                doubt:? = doubt,
                dispatch_allowed = next_run.dispatch_allowed,
                retry_left = next_run.retry_left,
                fill_percent:? = next_run.memory_fill.map(|fill| (fill * 100.0) as u64);
                "A run is waited for, as no other is possible."
            ),
        }
    }
}

/// The log of one request.
///
/// A request whose log is dropped unfinished counts as abandoned by its caller.
pub(super) struct RequestLog {
    gateway: Rc<Gateway>,
    id: String,
    kind: &'static str,
    received_at: Duration,
    /// The target for the time to the answer, or to its first event.
    first_event_target: Duration,
    /// Decisions that are not written yet, with the time of each since the request arrived; `None` once decisions
    /// are written at once.
    buffered: RefCell<Option<Vec<(Duration, Decision)>>>,
    dispatches: Cell<u32>,
    first_event: Cell<Option<Duration>>,
    /// The longest pause between events that meets the target.
    gap_target: Duration,
    last_event: Cell<Option<Duration>>,
    longest_pause: Cell<Duration>,
    finished: Cell<bool>,
}

impl RequestLog {
    /// Starts the log of a request that was received at `received_at` and is late after the targets of its route.
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        id: &str,
        kind: &'static str,
        received_at: Duration,
        route: &Route,
    ) -> Self {
        let written = gateway.log_budget.try_acquire(gateway.now());
        Self {
            gateway: gateway.clone(),
            id: id.to_owned(),
            kind,
            received_at,
            first_event_target: route.latency_target,
            gap_target: route.gap_target,
            last_event: Cell::new(None),
            longest_pause: Cell::new(Duration::ZERO),
            buffered: RefCell::new((!written).then(Vec::new)),
            dispatches: Cell::new(0),
            first_event: Cell::new(None),
            finished: Cell::new(false),
        }
    }

    /// The id of the request, as its caller gave it.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// The time since the request was received.
    pub(super) fn age(&self) -> Duration {
        self.gateway.now().saturating_sub(self.received_at)
    }

    /// Records a decision.
    pub(super) fn record(&self, decision: Decision) {
        let after = self.age();
        match &mut *self.buffered.borrow_mut() {
            Some(buffered) => buffered.push((after, decision)),
            None => decision.write(&self.id, after),
        }
    }

    /// Records a dispatch. `fill` is the estimated fraction of memory used at the fullest stage.
    pub(super) fn record_dispatch(
        &self,
        to: String,
        expected: Duration,
        fill: f64,
        after_event: Option<u64>,
    ) {
        self.dispatches.set(self.dispatches.get() + 1);
        self.record(Decision::Dispatched {
            to,
            dispatch: self.dispatches.get(),
            expected,
            fill: (fill * 100.0) as u64,
            store_age: self.gateway.store_answer_age().unwrap_or_default(),
            list_age: self.gateway.list_age(),
            after_event,
        });
    }

    /// Records that events of the answer were relayed to the caller.
    pub(super) fn record_relayed_events(&self) {
        let now = self.gateway.now();
        let Some(last) = self.last_event.replace(Some(now)) else {
            let after = now.saturating_sub(self.received_at);
            self.first_event.set(Some(after));
            let seconds = after.as_secs_f64();
            self.gateway.metrics.first_event_seconds.observe(seconds);
            return;
        };
        let pause = now.saturating_sub(last);
        self.longest_pause.set(self.longest_pause.get().max(pause));
    }

    /// Writes the buffered decisions, and all later ones at once, because something failed or was late.
    pub(super) fn write_buffered(&self) {
        for (after, decision) in self.buffered.take().into_iter().flatten() {
            decision.write(&self.id, after);
        }
    }

    /// Ends the log of a request to which the answer of an endpoint was relayed completely.
    ///
    /// If it is not logged so far, it is written if the answer was late, paused for too long, is not a success or
    /// took more than one dispatch.
    pub(super) fn finish_answered(&self, status: StatusCode) {
        let after = self.observe_end(match status.is_server_error() {
            true => Outcome::Failed,
            false => Outcome::Served,
        });
        let paused = self.longest_pause.get();
        let late = self.first_event.get().unwrap_or(after) > self.first_event_target;
        if late || paused > self.gap_target || !status.is_success() || self.dispatches.get() > 1 {
            self.write_buffered();
        }
        if self.buffered.borrow().is_some() {
            self.gateway.metrics.unlogged.inc();
            return;
        }
        log::info!(
            target: "forward",
            id = self.id(),
            after_ms = ms(after),
            status = status.as_u16(),
            first_event_ms:? = self.first_event.get().map(ms),
            longest_pause_ms = ms(paused),
            sends = self.dispatches.get();
            "Request is answered."
        );
    }

    /// Ends the log of a request with any other outcome; the calling function logs the reason.
    pub(super) fn finish(&self, outcome: Outcome) {
        self.observe_end(outcome);
        self.write_buffered();
    }

    fn observe_end(&self, outcome: Outcome) -> Duration {
        let after = self.age();
        self.finished.set(true);
        let seconds = &self.gateway.metrics.request_seconds;
        seconds
            .with_label_values(&[self.kind, outcome.label()])
            .observe(after.as_secs_f64());
        after
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.finished.get() {
            return;
        }
        let after = self.observe_end(Outcome::Abandoned);
        self.write_buffered();
        log::info!(
            target: "forward",
            id = self.id(),
            after_ms = ms(after),
            first_event_ms:? = self.first_event.get().map(ms),
            sends = self.dispatches.get();
            "Caller left before the answer was complete."
        );
    }
}
