//! For how long a run of a stream is waited for before it is given up.
//!
//! A run that stands still is either on a chain with a part that is gone, or behind other work. The
//! first must end at once, as another chain may still be on time; the second is best waited for, as
//! giving it up throws away what was done for it and does it once more elsewhere. Silence alone does
//! not tell them apart. So the parts of a chain are asked whether they live after a silence that is
//! unusual, and the run is given up without such news only when the caller would soon leave.

use std::time::Duration;

/// How many times as long as expected the first event may take before the chain is probed.
const UNEXPECTED: f64 = 2.0;
/// The part of the first event's target after which the chain is probed at the earliest: a host
/// may be busy for some tens of ms.
const LEAST_TARGETS: f64 = 0.2;
/// The part of the longest pause on time after which the chain is probed: one stream pauses for
/// longer under load, all streams of a chain at once do not.
const UNUSUAL_GAPS: f64 = 0.4;
/// How long after a probe that found nothing the next one follows.
const AGAIN: Duration = Duration::from_millis(250);

/// How many times as long as expected the first event may take while the request may be sent once
/// more, and the bounds of that in parts of its target: another chain can still be on time then.
const FIRST_UNEXPECTED: f64 = 4.0;
const LEAST_FIRST_TARGETS: f64 = 0.6;
const MOST_FIRST_TARGETS: f64 = 2.4;
/// How many times its target the caller waits at most for the next event, the first or a later one:
/// callers leave then, so that a last run may take as long.
const LAST_FIRST_TARGETS: f64 = 4.0;
/// How many times the longest pause on time a pause may last while the stream may go on elsewhere.
const PAUSE_GAPS: f64 = 3.5;

/// A run of a stream that is waited for.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Whether an event of it has come.
    pub began: bool,
    /// Whether another run may follow.
    pub more: bool,
    /// The first event's target.
    pub target: Duration,
    /// The longest pause between events that is on time.
    pub gap: Duration,
    /// When the first event was expected, from the sending on.
    pub expected_first: Duration,
    /// How long the caller had waited when the run was sent: since its request, or the last event.
    pub before: Duration,
}

/// What is to be done about a run that stands still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing for so long.
    Wait(Duration),
    /// Its chain is probed.
    Probe,
    /// It is given up.
    GiveUp,
}

impl Run {
    /// The next step after a silence; `probed` is how long ago the chain's parts were asked.
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

    /// The silence from which on the chain is probed.
    pub fn unusual(&self) -> Duration {
        match self.began {
            true => self.gap.mul_f64(UNUSUAL_GAPS),
            false => {
                let expected = self.expected_first.mul_f64(UNEXPECTED);
                expected.max(self.target.mul_f64(LEAST_TARGETS))
            }
        }
    }

    /// Whether another run may be better than this one, once a part of its chain is known to be lost.
    ///
    /// An answer that has begun and can't go on elsewhere is not cut: its caller leaves when it likes,
    /// and an endpoint that is leaving may still finish it.
    pub fn may_end(&self) -> bool {
        self.more || !self.began
    }

    /// The longest silence.
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
