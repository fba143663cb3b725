//! Expected step durations, estimated from answered steps.

use std::time::Duration;

/// A new observation has the weight `1 / SMOOTHING_DIVISOR` in the moving average.
const SMOOTHING_DIVISOR: u32 = 8;

/// Expected durations of steps. A host shares one value between all its generations: it passes the
/// value to each generation in [`Config::step_times`](super::Config::step_times) and stores the
/// updated value of [`Generation::step_times`](super::Generation::step_times).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepTimes {
    /// The duration of a step of one position.
    pub step: Duration,
    /// The additional duration of each further position of a step.
    pub position: Duration,
    /// The time from one token to the next; `None` before it was observed.
    pub token: Option<Duration>,
}

impl Default for StepTimes {
    /// High values for a host that has not observed any step yet.
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

    /// Updates the estimate from a step that was answered after it was sent once.
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

    /// Updates the estimate from a token without a recovery.
    pub(super) fn observe_token(&mut self, took: Duration) {
        self.token = Some(self.token.map_or(took, |mean| smooth(mean, took)));
    }
}

/// The exponentially weighted moving average after one more observation.
fn smooth(mean: Duration, observed: Duration) -> Duration {
    (mean * (SMOOTHING_DIVISOR - 1) + observed) / SMOOTHING_DIVISOR
}
