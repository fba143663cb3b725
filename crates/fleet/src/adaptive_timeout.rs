//! How long to wait for a run of a stream before it is abandoned.
//!
//! A run that stalls is either on a chain with a lost stage, or queued behind other work. In the
//! first case it must end at once, as another chain may still be on time. In the second it is
//! better to wait, as abandoning the run discards its progress and repeats the work elsewhere.
//! Silence alone does not distinguish the two. So the stages of a chain are probed after an unusual
//! silence, and a run whose stages are not known to be lost is abandoned only shortly before its
//! caller would leave.

use std::time::Duration;

/// The chain is probed when the first event takes this many times as long as expected.
const UNEXPECTED: f64 = 2.0;
/// The share of the first event's target before which the chain is not probed: a host may be busy
/// for some tens of ms.
const LEAST_TARGETS: f64 = 0.2;
/// The share of the longest inter-event gap on time after which the chain is probed: under load one
/// stream pauses for longer, but not all streams of a chain at once.
const UNUSUAL_GAPS: f64 = 0.4;
/// The time between a probe that found nothing and the next one.
const AGAIN: Duration = Duration::from_millis(250);

/// While the request may be retried, the first event may take this many times as long as expected,
/// within bounds in multiples of its target: another chain can still be on time then.
const FIRST_UNEXPECTED: f64 = 4.0;
const LEAST_FIRST_TARGETS: f64 = 0.6;
const MOST_FIRST_TARGETS: f64 = 2.4;
/// How many times the first event's target the caller waits at most for the next event, the first
/// or a later one: callers leave then, so a last run may take as long.
const LAST_FIRST_TARGETS: f64 = 4.0;
/// How many times the longest inter-event gap on time a gap may last while the stream may continue
/// elsewhere.
const PAUSE_GAPS: f64 = 3.5;

/// The timing of a run of a stream that is waited for.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Whether an event of it has come.
    pub began: bool,
    /// Whether another run may follow.
    pub more: bool,
    /// The target for the time to the first event.
    pub target: Duration,
    /// The longest inter-event gap that is on time.
    pub gap: Duration,
    /// The expected time from the dispatch to the first event.
    pub expected_first: Duration,
    /// How long the caller had waited when the run was dispatched: since its request, or since the
    /// last event.
    pub before: Duration,
}

/// What is to be done about a stalled run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait for this long.
    Wait(Duration),
    /// Probe its chain.
    Probe,
    /// Abandon it.
    GiveUp,
}

impl Run {
    /// The next step after a silence; `probed` is how long ago the stages of the chain were probed.
    pub fn step(&self, silent: Duration, probed: Option<Duration>) -> Step {
        let most = self.most();
        if silent >= most {
            return Step::GiveUp;
        }
        let left = most - silent;
        let until = match probed {
            Some(ago) => AGAIN.saturating_sub(ago),
            None => self.unusual().saturating_sub(silent),
        };
        match until.is_zero() {
            true => Step::Probe,
            false => Step::Wait(until.min(left)),
        }
    }

    /// The silence after which the chain is probed.
    pub fn unusual(&self) -> Duration {
        match self.began {
            true => self.gap.mul_f64(UNUSUAL_GAPS),
            false => {
                let expected = self.expected_first.mul_f64(UNEXPECTED);
                expected.max(self.target.mul_f64(LEAST_TARGETS))
            }
        }
    }

    /// Whether another run may be better than this one, once a stage of its chain is known to be
    /// lost.
    ///
    /// An answer that has started and can't continue elsewhere is not abandoned: its caller decides
    /// when to leave, and a draining endpoint may still finish it.
    pub fn may_end(&self) -> bool {
        self.more || !self.began
    }

    /// The longest silence before the run is abandoned.
    pub fn most(&self) -> Duration {
        match (self.began, self.more) {
            (true, true) => self.gap.mul_f64(PAUSE_GAPS),
            (true, false) => Duration::MAX,
            (false, true) => {
                let least = self.target.mul_f64(LEAST_FIRST_TARGETS);
                let most = self.target.mul_f64(MOST_FIRST_TARGETS);
                let unexpected = self.expected_first.mul_f64(FIRST_UNEXPECTED);
                unexpected.clamp(least, most)
            }
            (false, false) => {
                let leaves = self.target.mul_f64(LAST_FIRST_TARGETS);
                let left = leaves.saturating_sub(self.before);
                left.max(self.target.mul_f64(LEAST_TARGETS))
            }
        }
    }
}
