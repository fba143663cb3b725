//! When the store was last back after trouble in which entries of endpoints can have lapsed.
//!
//! Entries lapse while endpoints can't reach the store, and come back soon after its return: what is missing
//! then is not gone yet. What is missing later, or after less time than an entry needs to lapse, was removed:
//! a host whose reader alone was turned away hears of the list sooner.

use std::time::Duration;

/// For how many heartbeats of endpoints nobody may hear of the list before entries can have lapsed: after
/// three without one they do, and the last one may be one old when the store goes away. The rest is kept
/// back, as they come about as often as that.
const NONE_LAPSES_BEATS: f64 = 1.75;

/// What a host knows of the last trouble with the store, whoever told it.
#[derive(Debug)]
pub struct Outage {
    /// After a silence of less than that no entry has lapsed.
    none_lapses: Duration,
    /// When the store was last found in trouble, if the list was not heard of since.
    troubled_at: Option<Duration>,
    returned_at: Option<Duration>,
}

impl Outage {
    /// No trouble yet. Endpoints write their entries about that often.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            none_lapses: heartbeat.mul_f64(NONE_LAPSES_BEATS),
            troubled_at: None,
            returned_at: None,
        }
    }

    /// The store is in trouble, as far as this host knows.
    pub fn troubled(&mut self, now: Duration) {
        self.troubled_at = Some(now);
    }

    /// The list was heard of as it was at that time, and last before that as it was at another one.
    pub fn heard(&mut self, at: Duration, before: Option<Duration>, now: Duration) {
        if self.troubled_at.is_none_or(|troubled| troubled >= at) {
            return;
        }
        self.troubled_at = None;
        let silence = at.saturating_sub(before.unwrap_or_default());
        if silence >= self.none_lapses {
            self.returned_at = Some(now);
        }
    }

    /// When the store was last back after trouble in which entries can have lapsed.
    pub fn returned_at(&self) -> Option<Duration> {
        self.returned_at
    }
}
