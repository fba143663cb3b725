//! How long to wait for a run of a stream before it is abandoned.
//!
//! A run that stalls is either on a chain with a lost stage, or queued behind other work. In the
//! first case it must end at once, as another chain may still be on time. In the second it is
//! better to wait, as abandoning the run discards its progress and repeats the work elsewhere.
//! Silence alone does not distinguish the two. So the stages of a chain are probed after an unusual
//! silence, and a run whose stages are not known to be lost is abandoned only shortly before its
//! caller would leave.
//!
//! A run is not abandoned for its silence unless another run can be dispatched at that moment:
//! otherwise its caller would get an error instead of a late answer.

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
/// How many times the first event's target the caller waits at most for the next event, the first
/// or a later one: callers leave then, so a last run may take as long.
const CALLER_TIMEOUT_TARGETS: f64 = 4.0;
/// How many times the longest inter-event gap on time a gap may last while the stream may continue
/// elsewhere.
const TIMEOUT_GAPS: f64 = 3.5;
/// The estimated memory fill up to which a chain has room for the run that follows an abandoned one.
/// A fuller chain may refuse it or make it wait, and the progress of the abandoned run is lost.
const MAX_NEXT_RUN_FILL: f64 = 1.0;

/// The timing of a run of a stream that is waited for.
#[derive(Debug, Clone, Copy)]
pub struct RunTiming {
    /// Whether an event of it has come.
    pub started: bool,
    /// Whether another run may follow.
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

/// What is to be done about a stalled run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait for this long.
    Wait(Duration),
    /// Probe its chain.
    Probe,
    /// Abandon it.
    Abandon,
}

/// The run that would follow if the current one were abandoned now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NextRun {
    /// Whether any of the current run was sent. If not, abandoning it loses nothing and takes no retry.
    pub sent: bool,
    /// Whether the request may be dispatched again after the current run.
    pub dispatch_allowed: bool,
    /// Whether the retry budget allows a retry.
    pub retry_left: bool,
    /// The estimated memory fill of the best other chain; `None` if there is none that accepts work.
    pub memory_fill: Option<f64>,
}

impl NextRun {
    /// Whether the current run may be abandoned for it: it can be dispatched now, or nothing is lost
    /// if it can't.
    pub fn may_replace_current(&self) -> bool {
        let has_room = self
            .memory_fill
            .is_some_and(|fill| fill <= MAX_NEXT_RUN_FILL);
        !self.sent || (self.dispatch_allowed && self.retry_left && has_room)
    }
}

/// Why a run may be lost although none of its stages is known to have terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// It was silent for longer than its timeout.
    TimedOut,
    /// A stage of its chain does not answer probes.
    UnresponsiveStage,
}

impl RunTiming {
    /// The next step after a silence; `since_probe` is how long ago the stages of the chain were
    /// probed.
    pub fn next_step(&self, silence: Duration, since_probe: Option<Duration>) -> Step {
        let timeout = self.timeout();
        if silence >= timeout {
            return Step::Abandon;
        }
        let left = timeout - silence;
        let until = match since_probe {
            Some(ago) => PROBE_INTERVAL.saturating_sub(ago),
            None => self.probe_after().saturating_sub(silence),
        };
        match until.is_zero() {
            true => Step::Probe,
            false => Step::Wait(until.min(left)),
        }
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

    /// Whether the run is to be abandoned for a doubt about it: only if another run can be dispatched
    /// now, or its caller leaves. Otherwise it is waited for as long as its caller waits.
    pub fn abandons(&mut self, doubt: Doubt, next_run: impl FnOnce() -> NextRun) -> bool {
        let caller_leaves = doubt == Doubt::TimedOut && !self.may_retry;
        if caller_leaves {
            return true;
        }
        self.may_retry = next_run().may_replace_current();
        self.may_retry
    }

    /// Whether another run may be better than this one, once a stage of its chain is known to be
    /// lost.
    ///
    /// An answer that has started and can't continue elsewhere is not abandoned: its caller decides
    /// when to leave, and a draining endpoint may still finish it.
    pub fn may_abandon(&self) -> bool {
        self.may_retry || !self.started
    }

    /// The longest silence before the run is abandoned.
    pub fn timeout(&self) -> Duration {
        match (self.started, self.may_retry) {
            (true, true) => self.max_gap.mul_f64(TIMEOUT_GAPS),
            (true, false) => Duration::MAX,
            (false, true) => {
                let min = self.first_event_target.mul_f64(MIN_TIMEOUT_TARGETS);
                let max = self.first_event_target.mul_f64(MAX_TIMEOUT_TARGETS);
                let timeout = self.expected_first.mul_f64(TIMEOUT_EXPECTED_FACTOR);
                timeout.clamp(min, max)
            }
            (false, false) => {
                let caller_timeout = self.first_event_target.mul_f64(CALLER_TIMEOUT_TARGETS);
                let left = caller_timeout.saturating_sub(self.waited_before);
                left.max(self.first_event_target.mul_f64(MIN_SILENCE_TARGETS))
            }
        }
    }
}
