//! Determines when the store last recovered from an outage in which entries of endpoints can have
//! lapsed.
//!
//! Entries lapse while endpoints cannot reach the store, and are written again soon after the store
//! recovers: an entry that is missing then does not mean that its endpoint has ended. An entry that is
//! missing later, or after less time than an entry needs to lapse, was removed. The latter is the case
//! on a host that alone was refused by the store: it receives the list again sooner.

use std::time::Duration;

/// Heartbeat intervals without an update of the list after which entries can have lapsed. An entry
/// lapses after three intervals without a heartbeat, and the last heartbeat may be one interval old
/// when the store becomes unavailable. The remaining difference is a margin, because the interval
/// between heartbeats varies.
const MIN_LAPSE_HEARTBEATS: f64 = 1.75;

/// What a host knows of the last outage of the store, from its own calls or from other hosts.
#[derive(Debug)]
pub struct StoreOutage {
    /// Time without an update of the list below which no entry can have lapsed.
    min_lapse: Duration,
    /// Time of the last known failure of the store, if no later state of the list was received.
    last_failure_at: Option<Duration>,
    recovered_at: Option<Duration>,
}

impl StoreOutage {
    /// Creates the state of a host that knows of no outage. `heartbeat` is the interval at which
    /// endpoints write their entries.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            min_lapse: heartbeat.mul_f64(MIN_LAPSE_HEARTBEATS),
            last_failure_at: None,
            recovered_at: None,
        }
    }

    /// Records that the store failed.
    pub fn record_failure(&mut self, now: Duration) {
        self.last_failure_at = Some(now);
    }

    /// Records that the list was received in its state at `read_at`; the state received before was
    /// that at `previous_at`.
    pub fn record_list_update(
        &mut self,
        read_at: Duration,
        previous_at: Option<Duration>,
        now: Duration,
    ) {
        if self
            .last_failure_at
            .is_none_or(|failed_at| failed_at >= read_at)
        {
            return;
        }
        self.last_failure_at = None;
        let silence = read_at.saturating_sub(previous_at.unwrap_or_default());
        if silence >= self.min_lapse {
            self.recovered_at = Some(now);
        }
    }

    /// Records that the store was restored from a copy, in which entries that were written since are missing.
    pub fn record_restoration(&mut self, now: Duration) {
        self.recovered_at = Some(now);
    }

    /// Returns when the store last recovered from an outage in which entries can have lapsed.
    pub fn recovered_at(&self) -> Option<Duration> {
        self.recovered_at
    }
}
