//! A token bucket for rights that are handed out to be used within a term.

use std::time::Duration;

/// A token bucket that also counts the units that are handed out and not known to be used.
///
/// Invariant: `level + outstanding <= burst`. The units that can be used at one instant, from the
/// bucket and by the hosts that received them, therefore never exceed the burst, and the units
/// used over any window never exceed `rate * window + burst`.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Pool {
    rate: f64,
    burst: f64,
    level: f64,
    outstanding: f64,
    refilled_at: Duration,
}

impl Pool {
    /// An empty pool with rate and burst 0.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            refilled_at: now,
            ..Self::default()
        }
    }

    /// Sets the rate, in units a second, and the burst from `now` on.
    pub(crate) fn set_rate(&mut self, now: Duration, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.clamp();
    }

    /// How many whole units can be handed out now.
    pub(crate) fn available(&mut self, now: Duration) -> u32 {
        self.refill(now);
        // A rounding error of a float sum must not withhold a whole unit.
        (self.level.max(0.0) + 1e-6) as u32
    }

    /// The most whole units that the pool can hold.
    pub(crate) fn capacity(&self) -> u32 {
        self.burst as u32
    }

    /// Hands out `n` units.
    pub(crate) fn hand_out(&mut self, now: Duration, n: u32) {
        self.refill(now);
        self.level -= f64::from(n);
        self.outstanding += f64::from(n);
    }

    /// Records that of the units handed out `used` were used and `returned` will never be used.
    ///
    /// Either may be negative: `returned` if more was used than estimated, `used` if a use was
    /// settled back.
    pub(crate) fn settle(&mut self, now: Duration, used: f64, returned: f64) {
        self.refill(now);
        self.outstanding = (self.outstanding - used - returned).max(0.0);
        self.level += returned;
        self.clamp();
    }

    /// Records that `n` units handed out have expired; they count as used.
    pub(crate) fn expire(&mut self, now: Duration, n: f64) {
        self.refill(now);
        self.outstanding = (self.outstanding - n).max(0.0);
    }

    /// How long until `n` units can be handed out.
    pub(crate) fn time_until(&mut self, now: Duration, n: f64) -> Duration {
        self.refill(now);
        let missing = n - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.level += elapsed * self.rate;
        self.refilled_at = self.refilled_at.max(now);
        self.clamp();
    }

    fn clamp(&mut self) {
        self.level = self.level.min(self.burst - self.outstanding);
    }
}
