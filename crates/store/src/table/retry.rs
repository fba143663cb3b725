//! Retries of calls with exponential backoff and jitter.

use std::{cell::RefCell, time::Duration};

use actix_rt::time;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::error::PlatformError;

/// The limits of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The maximum number of attempts, including the first. At least 1.
    pub max_attempts: u32,
    /// The mean delay before the second attempt. It doubles with each further attempt.
    pub initial_backoff: Duration,
    /// The maximum mean delay.
    pub max_backoff: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 5,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// Delays between attempts. Each is drawn from 0.5 to 1.5 times its mean, so that callers that
/// failed together do not retry together.
#[derive(Debug)]
pub struct Retry {
    policy: RetryPolicy,
    rng: RefCell<SmallRng>,
}

impl Retry {
    /// Retries by `policy`, with a jitter generator seeded with `seed`.
    pub fn new(policy: RetryPolicy, seed: u64) -> Self {
        Self {
            policy,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// The delay after `failed_attempts` failed attempts, of which the last failed with `cause`.
    /// `None` when no attempt is left or `cause` is not transient.
    pub fn backoff_after(&self, failed_attempts: u32, cause: &PlatformError) -> Option<Duration> {
        if failed_attempts >= self.policy.max_attempts || !cause.is_transient() {
            return None;
        }
        let factor = 2u32.saturating_pow(failed_attempts.saturating_sub(1));
        let mean = self.policy.initial_backoff.saturating_mul(factor);
        let mean = mean.min(self.policy.max_backoff);
        let jitter = self.rng.borrow_mut().random_range(0.5..1.5);
        let wait = mean.mul_f64(jitter);
        Some(wait.max(cause.retry_after().unwrap_or_default()))
    }

    /// Waits before the next attempt.
    ///
    /// # Errors
    /// Returns `cause` when [`Retry::backoff_after`] allows no further attempt.
    pub async fn wait_before_retry(
        &self,
        failed_attempts: u32,
        cause: PlatformError,
    ) -> Result<(), PlatformError> {
        let Some(wait) = self.backoff_after(failed_attempts, &cause) else {
            return Err(cause);
        };
        log::debug!("platform: Retry in {} ms after: {cause}.", wait.as_millis());
        time::sleep(wait).await;
        Ok(())
    }
}
