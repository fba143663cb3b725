//! The wall clock. Servers read it and pass the time to the engine core, which reads no clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub fn epoch_ms() -> u64 {
    epoch_micros() / 1000
}

/// Microseconds since the Unix epoch.
pub fn epoch_micros() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_micros() as u64
}
