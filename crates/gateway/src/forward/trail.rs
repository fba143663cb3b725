//! What was decided for one request, as lines in the log.
//!
//! Each decision has a line with what it was based on and how old that was. Of requests that go well
//! so many are logged in a second as the settings say; the lines of the others are held back, and
//! written as soon as anything goes wrong with the request, or it is late. So the volume is bounded,
//! and a failure is always there whole.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::{budget::BudgetState, catalogue::Route, token_bucket::TokenBucket};
use http::StatusCode;
use tokio::time::Instant;

use crate::{gateway::Gateway, metrics::Outcome};

/// For how many seconds of the rate requests may come at once.
const LOGGED_AT_ONCE_S: f64 = 5.0;

/// How many requests that go well may still be logged whole.
pub struct LineBudget {
    began: Instant,
    left: RefCell<TokenBucket>,
}

impl LineBudget {
    /// So many requests a second.
    pub fn new(per_s: f64) -> Self {
        Self {
            began: Instant::now(),
            left: RefCell::new(TokenBucket::new(per_s, per_s * LOGGED_AT_ONCE_S)),
        }
    }

    /// Takes one request's lines, if there is room.
    fn take(&self) -> bool {
        self.left
            .borrow_mut()
            .try_acquire(1.0, self.began.elapsed())
    }
}

/// One decision.
pub(super) enum Step {
    /// Its route and workspace were found.
    Admitted {
        route: Box<str>,
        workspace: Option<Rc<str>>,
        /// The version of the catalogue.
        catalogue: u64,
        /// How old the proof is that this version is the newest.
        proof_age: Duration,
        /// How long the caller and the route wait.
        left: Duration,
    },
    /// The budget was asked for a repeat, and stood so before.
    Repeat {
        allowed: bool,
        standing: BudgetState,
        /// By how many hosts the burst is divided; `None` if this host has no part of it.
        divisor: Option<u32>,
    },
    /// It goes to an endpoint.
    Sent {
        /// The endpoint, or all that run it with their layers.
        to: String,
        /// Which send it is, from 1 on.
        send: u32,
        /// When its first event is expected; zero for a plain call.
        expected: Duration,
        /// How full the fullest part is taken to be, in hundredths; zero for a plain call.
        fill: u64,
        /// How long ago the store was last heard of.
        store_age: Duration,
        /// How old the list of endpoints was; `None` if none is known.
        list_age: Option<Duration>,
        /// The last event that was passed on.
        after_event: Option<u64>,
    },
}

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl Step {
    fn write(&self, id: &str, after: Duration) {
        match self {
            Self::Admitted {
                route,
                workspace,
                catalogue,
                proof_age,
                left,
            } => log::info!(
                target: "forward",
                id = id,
                after_ms = ms(after),
                route = &**route,
                workspace = workspace.as_deref().unwrap_or("-"),
                catalogue = *catalogue,
                proof_age_ms = ms(*proof_age),
                left_ms = ms(*left);
                "Request is admitted."
            ),
            Self::Repeat {
                allowed,
                standing,
                divisor,
            } => log::info!(
                target: "forward",
                id = id,
                after_ms = ms(after),
                allowed = *allowed,
                repeats = standing.retries as u64,
                most = standing.allowed as u64,
                recorded = u64::from(standing.recorded),
                requests = standing.requests as u64,
                divisor = divisor.unwrap_or(0);
                "A repeat was asked of the budget."
            ),
            Self::Sent {
                to,
                send,
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
                send = *send,
                expected_ms = ms(*expected),
                fill_percent = *fill,
                store_age_ms = ms(*store_age),
                list_age_ms:? = list_age.map(ms),
                after_event:? = after_event;
                "Request is sent."
            ),
        }
    }
}

/// The decisions of one request.
pub(super) struct Trail {
    gateway: Rc<Gateway>,
    id: String,
    kind: &'static str,
    at: Instant,
    /// The time within which the answer, or its first event, is on time.
    target: Duration,
    /// Steps that are held back, and when each was taken; `None` where all are written at once.
    held: RefCell<Option<Vec<(Duration, Step)>>>,
    sends: Cell<u32>,
    first_event: Cell<Option<Duration>>,
    /// The longest pause between events that is on time.
    gap_target: Duration,
    last_event: Cell<Option<Instant>>,
    longest_pause: Cell<Duration>,
    ended: Cell<bool>,
}

impl Trail {
    /// The trail of a request that came at a moment and is late after the route's targets.
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        id: &str,
        kind: &'static str,
        at: Instant,
        route: &Route,
    ) -> Self {
        let written = gateway.log_budget.take();
        Self {
            gateway: gateway.clone(),
            id: id.to_owned(),
            kind,
            at,
            target: route.latency_target,
            gap_target: route.gap_target,
            last_event: Cell::new(None),
            longest_pause: Cell::new(Duration::ZERO),
            held: RefCell::new((!written).then(Vec::new)),
            sends: Cell::new(0),
            first_event: Cell::new(None),
            ended: Cell::new(false),
        }
    }

    /// The request's id.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// Notes a decision.
    pub(super) fn step(&self, step: Step) {
        let after = self.at.elapsed();
        match &mut *self.held.borrow_mut() {
            Some(held) => held.push((after, step)),
            None => step.write(&self.id, after),
        }
    }

    /// Notes a send.
    pub(super) fn sent(&self, to: String, expected: Duration, fill: f64, after_event: Option<u64>) {
        self.sends.set(self.sends.get() + 1);
        self.step(Step::Sent {
            to,
            send: self.sends.get(),
            expected,
            fill: (fill * 100.0) as u64,
            store_age: self.gateway.store_answer_age().unwrap_or_default(),
            list_age: self.gateway.list_age(),
            after_event,
        });
    }

    /// Events of the answer have been passed on.
    pub(super) fn events(&self) {
        let now = Instant::now();
        let Some(last) = self.last_event.replace(Some(now)) else {
            let after = now.saturating_duration_since(self.at);
            self.first_event.set(Some(after));
            let seconds = after.as_secs_f64();
            self.gateway.metrics.first_event_seconds.observe(seconds);
            return;
        };
        let pause = now.saturating_duration_since(last);
        self.longest_pause.set(self.longest_pause.get().max(pause));
    }

    /// Something went wrong: what is held back is written, and all that follows.
    pub(super) fn show(&self) {
        for (after, step) in self.held.take().into_iter().flatten() {
            step.write(&self.id, after);
        }
    }

    /// An endpoint's answer was passed on whole.
    pub(super) fn answered(&self, status: StatusCode) {
        let after = self.end(match status.is_server_error() {
            true => Outcome::Failed,
            false => Outcome::Served,
        });
        let paused = self.longest_pause.get();
        let late = self.first_event.get().unwrap_or(after) > self.target;
        if late || paused > self.gap_target || !status.is_success() || self.sends.get() > 1 {
            self.show();
        }
        if self.held.borrow().is_some() {
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
            sends = self.sends.get();
            "Request is answered."
        );
    }

    /// It ends otherwise; the caller of this writes why.
    pub(super) fn ended(&self, outcome: Outcome) {
        self.end(outcome);
        self.show();
    }

    fn end(&self, outcome: Outcome) -> Duration {
        let after = self.at.elapsed();
        self.ended.set(true);
        let seconds = &self.gateway.metrics.request_seconds;
        seconds
            .with_label_values(&[self.kind, outcome.label()])
            .observe(after.as_secs_f64());
        after
    }
}

impl Drop for Trail {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        let after = self.end(Outcome::Abandoned);
        self.show();
        log::info!(
            target: "forward",
            id = self.id(),
            after_ms = ms(after),
            first_event_ms:? = self.first_event.get().map(ms),
            sends = self.sends.get();
            "Caller left before the answer was complete."
        );
    }
}
