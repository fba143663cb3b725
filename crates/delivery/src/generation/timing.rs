//! How long steps take, learned from those that were answered.

use std::time::Duration;

/// One observation counts for one part in this many.
const SMOOTHING_DIVISOR: u32 = 8;

/// Expected durations of steps. A host keeps one for all its generations: it gives it to each in
/// [`Config::times`](super::Config::times) and takes back what it learned from
/// [`Generation::times`](super::Generation::times).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepTimes {
    /// A step of one position.
    pub step: Duration,
    /// Each further position of a step.
    pub position: Duration,
    /// From token to token; `None` before one was observed.
    pub token: Option<Duration>,
}

impl Default for StepTimes {
    /// Generous values for a host that has observed nothing yet.
    fn default() -> Self {
        Self {
            step: Duration::from_millis(60),
            position: Duration::from_millis(2),
            token: None,
        }
    }
}

impl StepTimes {
    /// The expected duration of a step of `positions` positions.
    pub fn expected(&self, positions: u32) -> Duration {
        let further = positions.saturating_sub(1);
        self.step
            .saturating_add(self.position.saturating_mul(further))
    }

    /// Learns from a step that was answered on its first sending.
    pub(super) fn observe_step(&mut self, positions: u32, took: Duration) {
        match positions {
            0 => {}
            1 => self.step = smooth(self.step, took),
            n => {
                let each = took.saturating_sub(self.step) / (n - 1);
                self.position = smooth(self.position, each);
            }
        }
    }

    /// Learns from a token that took no recovery.
    pub(super) fn observe_token(&mut self, took: Duration) {
        self.token = Some(self.token.map_or(took, |mean| smooth(mean, took)));
    }
}

/// The exponentially weighted moving average after one more observation.
fn smooth(mean: Duration, observed: Duration) -> Duration {
    (mean * (SMOOTHING_DIVISOR - 1) + observed) / SMOOTHING_DIVISOR
}
