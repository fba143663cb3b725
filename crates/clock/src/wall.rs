//! The time of day, for log lines and the names of incarnations only: it may jump.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time since the Unix epoch; `None` if the time of day is set to an earlier date.
pub fn since_epoch() -> Option<Duration> {
    SystemTime::now().duration_since(UNIX_EPOCH).ok()
}

/// Milliseconds since the Unix epoch; 0 if the time of day is set to an earlier date.
pub fn epoch_ms() -> u64 {
    since_epoch().map_or(0, |since| since.as_millis() as u64)
}
