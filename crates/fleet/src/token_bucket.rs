//! A token bucket: bounds a rate and the size of bursts.

use std::time::Duration;

/// Fills at a steady rate up to its capacity; each use takes tokens out.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: f64,
    capacity: f64,
    /// Tokens at `filled_at`. Invariant: at most `capacity`.
    level: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_s: f64, capacity: f64) -> Self {
        Self {
            per_s,
            capacity,
            level: capacity,
            filled_at: Duration::ZERO,
        }
    }

    /// Takes so many tokens if they are there. More than the bucket holds are given by a full one and owed to it,
    /// so that no single use is refused for ever; a bucket that holds none gives none.
    pub fn take(&mut self, tokens: f64, now: Duration) -> bool {
        let since = now.saturating_sub(self.filled_at);
        self.filled_at = now;
        self.level = (self.level + since.as_secs_f64() * self.per_s).min(self.capacity);
        let taken = self.capacity > 0.0 && self.level >= tokens.min(self.capacity);
        if taken {
            self.level -= tokens;
        }
        taken
    }
}
