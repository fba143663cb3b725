//! Rights that accrue at a rate and are handed out to be used within a term.

use std::time::Duration;

/// A token bucket that counts what it has handed out and not yet seen used.
///
/// Invariant: `level + out <= burst`, so that what may be used at one instant, here and by those
/// it was handed to, is never more than the burst, and over any window no more than
/// `rate * window + burst`.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Pool {
    rate: f64,
    burst: f64,
    level: f64,
    outstanding: f64,
    refilled_at: Duration,
}

impl Pool {
    /// An empty pool.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            refilled_at: now,
            ..Self::default()
        }
    }

    /// Takes over another rate and burst from now on.
    pub(crate) fn set_rate(&mut self, now: Duration, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.clamp();
    }

    /// What can be handed out now, in whole units.
    pub(crate) fn available(&mut self, now: Duration) -> u32 {
        self.refill(now);
        // A rest of a float sum must not keep back a whole unit.
        (self.level.max(0.0) + 1e-6) as u32
    }

    /// The most that it can ever hold.
    pub(crate) fn capacity(&self) -> u32 {
        self.burst as u32
    }

    /// Hands out `n`.
    pub(crate) fn hand_out(&mut self, now: Duration, n: u32) {
        self.refill(now);
        self.level -= f64::from(n);
        self.outstanding += f64::from(n);
    }

    /// Of what was handed out, `used` is used, `returned` is not and never will be.
    ///
    /// Both may be negative: more was used than estimated, or use was settled back.
    pub(crate) fn settle(&mut self, now: Duration, used: f64, returned: f64) {
        self.refill(now);
        self.outstanding = (self.outstanding - used - returned).max(0.0);
        self.level += returned;
        self.clamp();
    }

    /// What was handed out has lapsed, and whether it was used is not known.
    pub(crate) fn expire(&mut self, now: Duration, n: f64) {
        self.refill(now);
        self.outstanding = (self.outstanding - n).max(0.0);
    }

    /// How long until `n` can be handed out.
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
