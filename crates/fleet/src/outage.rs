//! When the store was last back after trouble in which entries of endpoints can have lapsed.
//!
//! Entries lapse while endpoints can't reach the store, and come back soon after its return: what is missing
//! then is not gone yet. What is missing later, or after less time than an entry needs to lapse, was removed:
//! a host whose reader alone was turned away hears of the list sooner.

use std::time::Duration;

/// For how many heartbeats of endpoints nobody may hear of the list before entries can have lapsed: after
/// three without one they do, and the last one may be one old when the store goes away. The rest is kept
/// back, as they come about as often as that.
const MIN_LAPSE_HEARTBEATS: f64 = 1.75;

/// What a host knows of the last trouble with the store, whoever told it.
#[derive(Debug)]
pub struct StoreOutage {
    /// After a silence of less than that no entry has lapsed.
    min_lapse: Duration,
    /// When the store was last found in trouble, if the list was not heard of since.
    last_failure_at: Option<Duration>,
    recovered_at: Option<Duration>,
}

impl StoreOutage {
    /// No trouble yet. Endpoints write their entries about that often.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            min_lapse: heartbeat.mul_f64(MIN_LAPSE_HEARTBEATS),
            last_failure_at: None,
            recovered_at: None,
        }
    }

    /// The store is in trouble, as far as this host knows.
    pub fn record_failure(&mut self, now: Duration) {
        self.last_failure_at = Some(now);
    }

    /// The list was heard of as it was at that time, and last before that as it was at another one.
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

    /// When the store was last back after trouble in which entries can have lapsed.
    pub fn recovered_at(&self) -> Option<Duration> {
        self.recovered_at
    }
}
