//! How often and after which waits a call is repeated.

use std::{cell::RefCell, time::Duration};

use actix_rt::time;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::error::PlatformError;

/// Bounds of the repetition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The most tries, the first one included. At least 1.
    pub tries: u32,
    /// The mean wait before the second try; it doubles with each further one.
    pub first_wait: Duration,
    /// The longest mean wait.
    pub max_wait: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            tries: 5,
            first_wait: Duration::from_millis(50),
            max_wait: Duration::from_secs(2),
        }
    }
}

/// Waits between tries, each drawn from 0.5 to 1.5 of its mean, so that callers that failed
/// together don't come back together.
#[derive(Debug)]
pub struct Retry {
    policy: RetryPolicy,
    rng: RefCell<SmallRng>,
}

impl Retry {
    /// Retries by `policy`, with jitter drawn from `seed`.
    pub fn new(policy: RetryPolicy, seed: u64) -> Self {
        Self {
            policy,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// The wait after the failed try number `tried`, or `None` when it was the last one.
    pub fn wait_after(&self, tried: u32, cause: &PlatformError) -> Option<Duration> {
        if tried >= self.policy.tries || !cause.is_transient() {
            return None;
        }
        let factor = 2u32.saturating_pow(tried.saturating_sub(1));
        let mean = self.policy.first_wait.saturating_mul(factor);
        let mean = mean.min(self.policy.max_wait);
        let jitter = self.rng.borrow_mut().random_range(0.5..1.5);
        let wait = mean.mul_f64(jitter);
        Some(wait.max(cause.retry_after().unwrap_or_default()))
    }

    /// Waits before the next try.
    ///
    /// # Errors
    /// Gives `cause` back when no further try is allowed.
    pub async fn pause(&self, tried: u32, cause: PlatformError) -> Result<(), PlatformError> {
        let Some(wait) = self.wait_after(tried, &cause) else {
            return Err(cause);
        };
        log::debug!("platform: retry in {} ms after {cause}", wait.as_millis());
        time::sleep(wait).await;
        Ok(())
    }
}
