//! A circuit breaker for each endpoint, driven by the outcomes of its calls alone.

use std::time::Duration;

use crate::Tuning;

/// Weight of the newest outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f32 = 0.1;
/// Failure rate above which an endpoint is ejected.
const EJECT_FAILURE_RATE: f32 = 0.5;
/// Number of times the failure rate halves during the time that an endpoint is suspect after a
/// failure.
const FAILURE_RATE_HALVINGS: f64 = 4.0;
/// Failure rates below this are treated as zero.
const MIN_FAILURE_RATE: f64 = 0.001;
/// Number of calls before the failure rate can eject an endpoint.
const MIN_CALLS: u32 = 10;

/// The state of a circuit breaker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum BreakerState {
    /// Calls are allowed.
    #[default]
    Closed,
    /// No calls are allowed before `until`.
    Open {
        /// The time from which a probe may be sent.
        until: Duration,
    },
    /// One probe is outstanding.
    Probing {
        /// When the probe was chosen.
        since: Duration,
    },
}

/// The change to the endpoint's group that an outcome requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BreakerAction {
    /// No change.
    NoChange,
    /// Eject the endpoint, if the group's ejection cap allows it.
    Eject,
    /// The probe was answered: end the ejection.
    Restore,
}

/// The circuit breaker of one endpoint, with the outcomes of its calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct CircuitBreaker {
    state: BreakerState,
    consecutive_failures: u32,
    calls: u32,
    failure_rate: f32,
    /// Ejections since the count was last reset; the exponent of the duration of the next one.
    ejections: u32,
    /// When an ejection last ended.
    restored_at: Duration,
    /// When a call last failed.
    failed_at: Duration,
}

impl CircuitBreaker {
    /// Whether the breaker blocks normal calls.
    pub(crate) fn is_ejected(&self) -> bool {
        self.state != BreakerState::Closed
    }

    /// Whether a probe may be sent now.
    pub(crate) fn is_probe_due(&self, now: Duration, tuning: &Tuning) -> bool {
        match self.state {
            BreakerState::Closed => false,
            BreakerState::Open { until } => now >= until,
            BreakerState::Probing { since } => now >= since + tuning.probe_timeout,
        }
    }

    /// Records that a probe was chosen.
    pub(crate) fn start_probe(&mut self, now: Duration) {
        self.state = BreakerState::Probing { since: now };
    }

    /// Whether failures are so recent that other endpoints are preferred.
    ///
    /// This holds for as long as an ejection would last, also if the cap prevents the ejection.
    pub(crate) fn is_suspect(&self, now: Duration, tuning: &Tuning) -> bool {
        self.consecutive_failures > 0
            && now < self.failed_at + eject_time_after(self.consecutive_failures - 1, tuning)
    }

    /// Returns the expected fraction of calls that fail, 0 to 1.
    ///
    /// The measured rate decays with the time since the last failure. Without the decay, an
    /// endpoint that failed once and gets no calls for that reason could never show that it has
    /// recovered.
    pub(crate) fn failure_rate(&self, now: Duration, tuning: &Tuning) -> f64 {
        let suspect_time =
            eject_time_after(self.consecutive_failures.saturating_sub(1), tuning).as_secs_f64();
        let since = now.saturating_sub(self.failed_at).as_secs_f64();
        let rate =
            f64::from(self.failure_rate) * (-FAILURE_RATE_HALVINGS * since / suspect_time).exp2();
        // A tiny remaining rate must not decide between otherwise equal endpoints forever.
        if rate < MIN_FAILURE_RATE { 0.0 } else { rate }
    }

    /// Records an answered call.
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
            // A late answer to a call sent before the ejection does not answer the probe.
            BreakerState::Closed | BreakerState::Open { .. } => BreakerAction::NoChange,
        }
    }

    /// Records a failed call.
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

    /// Opens the breaker, each time for twice as long as the time before.
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

/// Returns the duration of an ejection after `earlier` ones.
fn eject_time_after(earlier: u32, tuning: &Tuning) -> Duration {
    let factor = 1 << earlier.min(16);
    (tuning.eject_time * factor).min(tuning.max_eject_time)
}
