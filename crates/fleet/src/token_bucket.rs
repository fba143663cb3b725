//! A token bucket: bounds a rate and the size of bursts.

use std::time::Duration;

/// A bucket that fills at a steady rate up to its capacity; each use removes tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: f64,
    capacity: f64,
    /// Tokens at `filled_at`. Invariant: at most `capacity`.
    level: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket. `per_s` is the rate in tokens a second.
    pub fn new(per_s: f64, capacity: f64) -> Self {
        Self {
            per_s,
            capacity,
            level: capacity,
            filled_at: Duration::ZERO,
        }
    }

    /// Acquires the tokens if the bucket has enough; returns whether it did. A full bucket also grants more
    /// tokens than its capacity and goes into debt, so that no single use is refused forever. A bucket with
    /// capacity 0 grants nothing.
    pub fn try_acquire(&mut self, tokens: f64, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = now;
        self.level = (self.level + elapsed.as_secs_f64() * self.per_s).min(self.capacity);
        let acquired = self.capacity > 0.0 && self.level >= tokens.min(self.capacity);
        if acquired {
            self.level -= tokens;
        }
        acquired
    }
}
