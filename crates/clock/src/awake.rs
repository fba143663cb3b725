//! The time in which this host ran, and timers on it. It stands still while the machine is suspended.
//!
//! It limits how long a host waits for others and measures how long they have been silent: what they sent during a
//! suspension is only read after it, and their silence must not include the time in which nobody listened.

use std::{
    ops::{Add, AddAssign},
    time::Duration,
};

use tokio::time;

pub use tokio::time::error::Elapsed;

/// A moment of the time in which this host ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(time::Instant);

impl Instant {
    /// The current moment.
    pub fn now() -> Self {
        Self(time::Instant::now())
    }

    /// The time since this moment.
    pub fn elapsed(&self) -> Duration {
        self.0.elapsed()
    }

    /// The time from an earlier moment to this one; zero if that is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// The same moment in the type that libraries take.
    pub fn into_std(self) -> std::time::Instant {
        self.0.into_std()
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0 + rhs)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, rhs: Duration) {
        self.0 += rhs;
    }
}

/// Waits for a time.
pub async fn sleep(lasts: Duration) {
    time::sleep(lasts).await;
}

/// Waits until a moment.
pub async fn sleep_until(until: Instant) {
    time::sleep_until(until.0).await;
}

/// Blocks the thread for a time.
pub fn block(lasts: Duration) {
    std::thread::sleep(lasts);
}

/// Limits the time that a future may take.
///
/// # Errors
/// The future is not ready in time.
pub async fn timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Result<T, Elapsed> {
    time::timeout(limit, work).await
}

/// Limits until when a future may take.
///
/// # Errors
/// The future is not ready in time.
pub async fn timeout_at<T>(until: Instant, work: impl Future<Output = T>) -> Result<T, Elapsed> {
    time::timeout_at(until.0, work).await
}
