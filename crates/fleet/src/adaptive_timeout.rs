//! How long to wait for a run of a stream before another run is started beside it.
//!
//! A run that stalls is on a chain with a lost stage, queued behind other work, or on an engine that
//! is silent for a moment and then goes on. In the first case another run must start at once, to be
//! on time. In the others the run is worth more than its replacement, which repeats its work.
//! Silence alone does not distinguish them. So the stages of a chain are probed after an unusual
//! silence, and a run that may be lost is kept until another one has answered: what goes on first
//! continues the answer.
//!
//! Silence alone never ends a run. A run of which nothing has come ends if a stage is known to have
//! terminated and callers usually have left by then.

use std::time::Duration;

/// The chain is probed when the first event takes this many times as long as expected.
const PROBE_EXPECTED_FACTOR: f64 = 2.0;
/// The share of the first event's target before which the chain is not probed: a host may be busy
/// for some tens of ms.
const MIN_SILENCE_TARGETS: f64 = 0.2;
/// The share of the longest inter-event gap on time after which the chain is probed: under load one
/// stream pauses for longer, but not all streams of a chain at once.
const PROBE_GAP_RATIO: f64 = 0.4;
/// The time between a probe that found nothing and the next one.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// While the request may be retried, the first event may take this many times as long as expected,
/// within bounds in multiples of its target: another chain can still be on time then.
const TIMEOUT_EXPECTED_FACTOR: f64 = 4.0;
const MIN_TIMEOUT_TARGETS: f64 = 0.6;
const MAX_TIMEOUT_TARGETS: f64 = 2.4;
/// How many times the first event's target callers wait for the first event: most leave then.
const CALLER_TIMEOUT_TARGETS: f64 = 4.0;
/// How many times the longest inter-event gap on time a gap may last before another run is started.
const TIMEOUT_GAPS: f64 = 3.5;
/// The time between two attempts to dispatch a request beside a silent dispatch: chains, endpoints and
/// retries become free meanwhile.
pub const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(250);
/// The estimated memory fill up to which a chain has room for a run that replaces another one.
/// A fuller chain may refuse it or make it wait.
const MAX_NEXT_RUN_FILL: f64 = 1.0;

/// The timing of a run of a stream that is waited for.
#[derive(Debug, Clone, Copy)]
pub struct RunTiming {
    /// Whether an event of it has come.
    pub started: bool,
    /// Whether the caller has an event of the answer, of this run or of another one.
    pub answer_begun: bool,
    /// Whether the route allows another run beside this one or after it.
    pub may_retry: bool,
    /// The target for the time to the first event.
    pub first_event_target: Duration,
    /// The longest inter-event gap that is on time.
    pub max_gap: Duration,
    /// The expected time from the dispatch to the first event.
    pub expected_first: Duration,
    /// How long the caller had waited when the run was dispatched: since its request, or since the
    /// last event.
    pub waited_before: Duration,
}

/// How long a run has been silent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Silence {
    /// The time since its dispatch or its last event.
    pub total: Duration,
    /// The time since the stages of its chain were probed; `None` if they were not during this
    /// silence.
    pub since_probe: Option<Duration>,
    /// The time since it was last attempted to start another run; `None` if it was not during this
    /// silence.
    pub since_replacement: Option<Duration>,
    /// Whether a stage of its chain does not answer probes, or its connection carries nothing.
    pub suspect: bool,
    /// Whether a stage of its chain is known to have terminated.
    pub terminated: bool,
}

/// What is to be done about a stalled run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait for this long.
    Wait(Duration),
    /// Probe its chain.
    Probe,
    /// Start another run beside it, if possible.
    Replace(Doubt),
    /// End it without an answer.
    GiveUp,
}

/// The run that could replace a stalled one now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NextRun {
    /// Whether any of the current run was sent. If not, ending it loses nothing and takes no retry.
    pub sent: bool,
    /// Whether the request may be dispatched again beside the current run.
    pub dispatch_allowed: bool,
    /// Whether the retry budget allows a retry.
    pub retry_left: bool,
    /// Whether only the connection of the current run is lost, so that it is no more likely to answer
    /// than one that is refused.
    pub path_lost: bool,
    /// The estimated memory fill of the best other chain; `None` if there is none that accepts work.
    pub memory_fill: Option<f64>,
}

impl NextRun {
    /// Whether the current run may be replaced by it: it can be dispatched now, or nothing is lost
    /// if it can't.
    pub fn may_replace_current(&self) -> bool {
        let has_room = self
            .memory_fill
            .is_some_and(|fill| self.path_lost || fill <= MAX_NEXT_RUN_FILL);
        !self.sent || (self.dispatch_allowed && self.retry_left && has_room)
    }
}

/// Why a run may be lost although none of its stages is known to have terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// It was silent for longer than its timeout.
    TimedOut,
    /// A stage of its chain does not answer probes, or its connection carries nothing.
    Suspect,
}

impl RunTiming {
    /// The next step after a silence.
    pub fn next_step(&self, silence: Silence) -> Step {
        // Unanswered probes count only once this run is silent for unusually long itself.
        let suspect = (silence.suspect || silence.terminated) && silence.since_probe.is_some();
        let until_replacement = self.until_replacement(silence, suspect);
        if until_replacement.is_zero() {
            return Step::Replace(match suspect {
                true => Doubt::Suspect,
                false => Doubt::TimedOut,
            });
        }
        let until_caller_leaves = self.caller_timeout().saturating_sub(silence.total);
        if !self.answer_begun && silence.terminated && until_caller_leaves.is_zero() {
            return Step::GiveUp;
        }
        let until_probe = match silence.since_probe {
            Some(ago) => PROBE_INTERVAL.saturating_sub(ago),
            None => self.probe_after().saturating_sub(silence.total),
        };
        if until_probe.is_zero() {
            return Step::Probe;
        }
        let until_next = until_probe.min(until_replacement);
        match self.answer_begun || until_caller_leaves.is_zero() {
            true => Step::Wait(until_next),
            false => Step::Wait(until_next.min(until_caller_leaves)),
        }
    }

    /// The time until another run is to be started beside this one.
    fn until_replacement(&self, silence: Silence, suspect: bool) -> Duration {
        if !self.may_retry {
            return Duration::MAX;
        }
        let doubtful_in = match suspect {
            true => Duration::ZERO,
            false => self.timeout().saturating_sub(silence.total),
        };
        let since_last = silence.since_replacement;
        doubtful_in.max(since_last.map_or(Duration::ZERO, |ago| {
            REPLACEMENT_INTERVAL.saturating_sub(ago)
        }))
    }

    /// The silence after which the chain is probed.
    pub fn probe_after(&self) -> Duration {
        match self.started {
            true => self.max_gap.mul_f64(PROBE_GAP_RATIO),
            false => {
                let expected = self.expected_first.mul_f64(PROBE_EXPECTED_FACTOR);
                expected.max(self.first_event_target.mul_f64(MIN_SILENCE_TARGETS))
            }
        }
    }

    /// The longest silence before another run is started although the stages answer probes, and the
    /// longest time to open a connection.
    pub fn timeout(&self) -> Duration {
        match (self.started, self.may_retry) {
            (true, _) => self.max_gap.mul_f64(TIMEOUT_GAPS),
            (false, true) => {
                let min = self.first_event_target.mul_f64(MIN_TIMEOUT_TARGETS);
                let max = self.first_event_target.mul_f64(MAX_TIMEOUT_TARGETS);
                let timeout = self.expected_first.mul_f64(TIMEOUT_EXPECTED_FACTOR);
                timeout.clamp(min, max)
            }
            (false, false) => self.caller_timeout(),
        }
    }

    /// How long callers wait for the first event of this run.
    fn caller_timeout(&self) -> Duration {
        let caller_timeout = self.first_event_target.mul_f64(CALLER_TIMEOUT_TARGETS);
        let left = caller_timeout.saturating_sub(self.waited_before);
        left.max(self.first_event_target.mul_f64(MIN_SILENCE_TARGETS))
    }
}
