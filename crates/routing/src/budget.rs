//! How often and when work is tried again.

use std::time::Duration;

use rand::Rng;

/// Retries allowed to one owner: a token bucket filled by requests and, slowly, by time.
///
/// So retries stay a small part of an owner's requests, whatever fails, and an owner with few
/// requests can still retry now and then.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    /// Retries at hand, 0 to `cfg.burst`.
    tokens: f64,
    refilled_at: Duration,
}

/// The numbers of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries earned by each second.
    pub per_second: f64,
    /// The most retries kept for later.
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
    /// A full budget.
    pub fn new(now: Duration, cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg,
            tokens: cfg.burst,
            refilled_at: now,
        }
    }

    /// Notes a first try.
    pub fn record_first_attempt(&mut self, now: Duration) {
        self.refill(now, self.cfg.ratio);
    }

    /// Takes one retry from the budget; answers whether there was one.
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

/// Waiting times between tries: exponential, with full jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The longest wait before the first retry.
    pub base: Duration,
    /// The longest wait before any retry, unless `Retry-After` asks for more.
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
    /// How long to wait before retry number `retry`, from 0.
    ///
    /// With `retry_after`, never less than it, and spread over up to a further backoff.
    pub fn wait(&self, retry: u32, retry_after: Option<Duration>, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(retry.min(16));
        let max_jitter = self.base.saturating_mul(factor).min(self.max);
        let jitter = max_jitter.mul_f64(rng.random_range(0.0..=1.0));
        retry_after.unwrap_or_default() + jitter
    }
}
