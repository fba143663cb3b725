//! Limits how often and when work is retried.

use std::time::Duration;

use rand::Rng;

/// The retries allowed to one owner: a token bucket refilled by requests and, slowly, by time.
///
/// Retries thus stay a small fraction of an owner's requests whatever fails, and an owner with few
/// requests can still retry occasionally.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    /// Retries available, 0 to `cfg.burst`.
    tokens: f64,
    refilled_at: Duration,
}

/// Parameters of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries added by each request.
    pub ratio: f64,
    /// Retries added per second.
    pub per_second: f64,
    /// The largest number of retries that can accumulate.
    pub burst: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            per_second: 0.2,
            burst: 10.0,
        }
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Duration, cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg,
            tokens: cfg.burst,
            refilled_at: now,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Duration) {
        self.refill(now, self.cfg.ratio);
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.refill(now, 0.0);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    fn refill(&mut self, now: Duration, earned: f64) {
        let seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let tokens = self.tokens + earned + seconds * self.cfg.per_second;
        self.tokens = tokens.min(self.cfg.burst);
    }
}

/// Delays between attempts: exponential backoff with full jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The longest delay before the first retry.
    pub base: Duration,
    /// The longest delay before any retry, apart from the time that `Retry-After` adds.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            max: Duration::from_secs(5),
        }
    }
}

impl Backoff {
    /// Returns the delay before retry number `retry`, counted from 0.
    ///
    /// With `retry_after`, the delay is at least that long, plus a jitter of up to one backoff.
    pub fn wait(&self, retry: u32, retry_after: Option<Duration>, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(retry.min(16));
        let max_jitter = self.base.saturating_mul(factor).min(self.max);
        let jitter = max_jitter.mul_f64(rng.random_range(0.0..=1.0));
        retry_after.unwrap_or_default() + jitter
    }
}
