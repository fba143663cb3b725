//! The clock that counts the time for which the machine was suspended.

use std::{
    fmt,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::source::{BootTime, TimeSource};

/// The shortest suspension that is noticed.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// The longest time between two readings of the steady clock for which a reading of the other clock between them is
/// compared with them: a process may be interrupted in between.
const MAX_READING_TIME: Duration = Duration::from_millis(1);
/// How often the clocks are read again after an interruption, before a comparison is given up.
const MAX_READINGS: u32 = 3;

/// A future was not ready in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not ready in time")
    }
}

impl std::error::Error for Elapsed {}

/// A clock that starts at zero, never goes back, and counts the time for which the machine was suspended. Clones are the
/// same clock.
#[derive(Debug, Clone)]
pub struct Clock(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    source: Box<dyn TimeSource>,
    origin: Duration,
    steady_origin: Instant,
    /// How far the source was ahead of the steady clock at the last noticed suspension, in nanoseconds.
    lead: AtomicU64,
    /// When the last suspension was noticed, in nanoseconds of this clock; 0 if there was none.
    resumed_at: AtomicU64,
    resumed: Notify,
}

impl Clock {
    /// Starts a clock of this machine.
    pub fn system() -> Self {
        Self::with_source(BootTime)
    }

    /// Starts a clock that reads `source`.
    pub fn with_source(source: impl TimeSource + 'static) -> Self {
        Self(Arc::new(Inner {
            origin: source.now(),
            steady_origin: Instant::now(),
            source: Box::new(source),
            lead: AtomicU64::new(0),
            resumed_at: AtomicU64::new(0),
            resumed: Notify::new(),
        }))
    }

    /// The time since the clock was started.
    pub fn now(&self) -> Duration {
        self.0.source.now().saturating_sub(self.0.origin)
    }

    /// Checks whether the machine was suspended since the last check that noticed a suspension, and wakes all timers of
    /// this clock if it was. Returns for how long. One caller is told of each suspension.
    pub fn check(&self) -> Option<Duration> {
        let lead = self.lead()?;
        let known = self.0.lead.load(Ordering::Relaxed);
        let suspended = Duration::from_nanos(lead.saturating_sub(known));
        if suspended < MIN_SUSPENSION {
            return None;
        }
        let lead_slot = &self.0.lead;
        lead_slot
            .compare_exchange(known, lead, Ordering::Relaxed, Ordering::Relaxed)
            .ok()?;
        let now = self.now().as_nanos() as u64;
        self.0.resumed_at.store(now, Ordering::Relaxed);
        self.0.resumed.notify_waiters();
        Some(suspended)
    }

    /// Whether a suspension was noticed at or after `since`.
    pub fn resumed_since(&self, since: Duration) -> bool {
        let resumed_at = self.0.resumed_at.load(Ordering::Relaxed);
        resumed_at > 0 && Duration::from_nanos(resumed_at) >= since
    }

    /// Completes when the next suspension is noticed, counted from this call.
    pub fn resumed(&self) -> impl Future<Output = ()> + '_ {
        self.0.resumed.notified()
    }

    /// Waits for a time.
    pub async fn sleep(&self, lasts: Duration) {
        self.sleep_until(self.now() + lasts).await;
    }

    /// Waits until a time of this clock.
    pub async fn sleep_until(&self, until: Duration) {
        // A future that is never ready ends with its limit only.
        let _ = self.timeout_at(until, std::future::pending::<()>()).await;
    }

    /// Limits the time that a future may take.
    ///
    /// # Errors
    /// The future is not ready in time.
    pub async fn timeout<T>(
        &self,
        limit: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        self.timeout_at(self.now() + limit, work).await
    }

    /// Limits until when a future may take. If it is ready by the time that this is polled, its output is returned even
    /// if the limit is over.
    ///
    /// # Errors
    /// The future is not ready in time.
    pub async fn timeout_at<T>(
        &self,
        until: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut work = pin!(work);
        loop {
            let resumed = self.0.resumed.notified();
            let left = until.saturating_sub(self.now());
            if left.is_zero() {
                return tokio::select! {
                    biased;
                    output = &mut work => Ok(output),
                    () = std::future::ready(()) => Err(Elapsed),
                };
            }
            let work_or_resumed = async {
                tokio::select! {
                    biased;
                    output = &mut work => Some(output),
                    () = resumed => None,
                }
            };
            if let Ok(Some(output)) = time::timeout(left, work_or_resumed).await {
                return Ok(output);
            }
            // The time is over, or the machine was suspended and less of it is left than before.
        }
    }

    /// How far the source is ahead of the steady clock, in nanoseconds; `None` if the process was interrupted while it
    /// read them.
    fn lead(&self) -> Option<u64> {
        for _ in 0..MAX_READINGS {
            let before = self.0.steady_origin.elapsed();
            let now = self.now();
            let after = self.0.steady_origin.elapsed();
            if after - before <= MAX_READING_TIME {
                return Some(now.saturating_sub(after).as_nanos() as u64);
            }
        }
        None
    }
}
