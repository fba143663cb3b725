//! Whether an endpoint answers: learnt from the outcomes of its calls alone.

use std::time::Duration;

use crate::Tuning;

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f32 = 0.1;
/// Failure rate that ejects.
const EJECT_FAILURE_RATE: f32 = 0.5;
/// Halvings of the failure rate in the time that an endpoint is suspect after a failure.
const FAILURE_RATE_HALVINGS: f64 = 4.0;
/// Failure rates below this count as none.
const MIN_FAILURE_RATE: f64 = 0.001;
/// Calls before the failure rate counts.
const MIN_CALLS: u32 = 10;

/// The breaker of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum BreakerState {
    /// Work flows.
    #[default]
    Closed,
    /// No work until then.
    Open {
        /// When a probe may be sent.
        until: Duration,
    },
    /// One probe is out.
    Probing {
        /// When it was chosen.
        since: Duration,
    },
}

/// What an outcome asks of the endpoint's group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BreakerAction {
    /// Nothing.
    NoChange,
    /// Eject the endpoint, if the group's cap allows it.
    Eject,
    /// The probe was answered: take the endpoint back.
    Restore,
}

/// Outcomes of one endpoint's calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct CircuitBreaker {
    state: BreakerState,
    consecutive_failures: u32,
    calls: u32,
    failure_rate: f32,
    /// Ejections since the endpoint was last forgiven; the exponent of the next one's time.
    ejections: u32,
    /// When it was last taken back.
    restored_at: Duration,
    /// When a call last failed.
    failed_at: Duration,
}

impl CircuitBreaker {
    /// Whether the breaker keeps normal work away.
    pub(crate) fn is_ejected(&self) -> bool {
        self.state != BreakerState::Closed
    }

    /// Whether one probe may be chosen now.
    pub(crate) fn is_probe_due(&self, now: Duration, tuning: &Tuning) -> bool {
        match self.state {
            BreakerState::Closed => false,
            BreakerState::Open { until } => now >= until,
            BreakerState::Probing { since } => now >= since + tuning.probe_timeout,
        }
    }

    /// Notes that the one probe was chosen.
    pub(crate) fn start_probe(&mut self, now: Duration) {
        self.state = BreakerState::Probing { since: now };
    }

    /// Whether failures are so recent that others are to be preferred.
    ///
    /// It holds for as long as an ejection would, also where the cap forbids one.
    pub(crate) fn is_suspect(&self, now: Duration, tuning: &Tuning) -> bool {
        self.consecutive_failures > 0
            && now < self.failed_at + eject_time_after(self.consecutive_failures - 1, tuning)
    }

    /// The expected part of calls that fail.
    ///
    /// The measured rate fades after the last failure: else an endpoint that failed once, and gets
    /// nothing for it, could never show that it is well.
    pub(crate) fn failure_rate(&self, now: Duration, tuning: &Tuning) -> f64 {
        let suspect_time =
            eject_time_after(self.consecutive_failures.saturating_sub(1), tuning).as_secs_f64();
        let since = now.saturating_sub(self.failed_at).as_secs_f64();
        let rate =
            f64::from(self.failure_rate) * (-FAILURE_RATE_HALVINGS * since / suspect_time).exp2();
        // So that among equals the least trace of a failure doesn't decide for good.
        if rate < MIN_FAILURE_RATE { 0.0 } else { rate }
    }

    /// Notes an answered call.
    pub(crate) fn record_success(&mut self, now: Duration, tuning: &Tuning) -> BreakerAction {
        self.consecutive_failures = 0;
        self.calls = self.calls.saturating_add(1);
        self.failure_rate -= OUTCOME_WEIGHT * self.failure_rate;
        match self.state {
            BreakerState::Probing { .. } => BreakerAction::Restore,
            BreakerState::Closed if now >= self.restored_at + tuning.max_eject_time => {
                self.ejections = 0;
                BreakerAction::NoChange
            }
            // A late answer to a call from before the ejection is no probe's answer.
            BreakerState::Closed | BreakerState::Open { .. } => BreakerAction::NoChange,
        }
    }

    /// Notes a failed call.
    pub(crate) fn record_failure(&mut self, now: Duration, tuning: &Tuning) -> BreakerAction {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failed_at = now;
        self.calls = self.calls.saturating_add(1);
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate);
        match self.state {
            BreakerState::Probing { .. } => {
                self.eject(now, tuning);
                BreakerAction::NoChange
            }
            BreakerState::Open { .. } => BreakerAction::NoChange,
            BreakerState::Closed => {
                let rate_exceeded =
                    self.calls >= MIN_CALLS && self.failure_rate > EJECT_FAILURE_RATE;
                match rate_exceeded || self.consecutive_failures >= tuning.failures_to_eject {
                    true => BreakerAction::Eject,
                    false => BreakerAction::NoChange,
                }
            }
        }
    }

    /// Opens the breaker; each time for twice as long.
    pub(crate) fn eject(&mut self, now: Duration, tuning: &Tuning) {
        let time = eject_time_after(self.ejections, tuning);
        self.ejections = self.ejections.saturating_add(1);
        self.state = BreakerState::Open { until: now + time };
    }

    /// Closes the breaker.
    pub(crate) fn restore(&mut self, now: Duration) {
        self.state = BreakerState::Closed;
        self.consecutive_failures = 0;
        self.calls = 0;
        self.failure_rate = 0.0;
        self.restored_at = now;
    }
}

/// The time of an ejection after `earlier` ones.
fn eject_time_after(earlier: u32, tuning: &Tuning) -> Duration {
    let factor = 1 << earlier.min(16);
    (tuning.eject_time * factor).min(tuning.max_eject_time)
}
