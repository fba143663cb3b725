//! The sources that a clock can read.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// A time that never goes back, and goes on while the machine is suspended.
pub trait TimeSource: fmt::Debug + Send + Sync {
    /// The time since any fixed origin.
    fn now(&self) -> Duration;
}

/// The time since the machine was booted (`CLOCK_BOOTTIME`).
#[derive(Debug)]
pub(crate) struct BootTime;

impl TimeSource for BootTime {
    fn now(&self) -> Duration {
        let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
        // Never negative.
        Duration::new(tv_sec as u64, tv_nsec as u32)
    }
}

/// The clock of the tokio runtime and the time of simulated suspensions, for tests.
#[derive(Debug, Clone)]
pub struct SteppedTime {
    origin: Instant,
    /// The total time of the suspensions, in nanoseconds.
    suspended: Arc<AtomicU64>,
}

impl SteppedTime {
    /// Starts a time without suspensions.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            suspended: Arc::default(),
        }
    }

    /// Steps the time forward, as a suspension of the machine does.
    pub fn suspend(&self, lasts: Duration) {
        let lasts = lasts.as_nanos() as u64;
        self.suspended.fetch_add(lasts, Ordering::Relaxed);
    }
}

impl TimeSource for SteppedTime {
    fn now(&self) -> Duration {
        let suspended = self.suspended.load(Ordering::Relaxed);
        self.origin.elapsed() + Duration::from_nanos(suspended)
    }
}
