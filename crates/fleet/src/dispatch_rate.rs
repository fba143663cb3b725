//! Estimates how many requests other hosts have sent since they last reported their loads.
//!
//! Hosts that choose from the same data choose the same chain. Each host therefore assumes that the
//! others have sent requests since their last report at the rate at which it sends requests itself.

use std::{collections::VecDeque, time::Duration};

/// Window over which a host measures its own dispatch rate.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Minimum window, because a host that has just started has sent one request in almost no time.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(250);

/// Recent dispatches of one host, or other events that are counted like them.
#[derive(Debug, Default)]
pub struct RecentDispatches {
    /// Times of the dispatches, in ascending order. Invariant: when the last one was recorded, none
    /// was older than [`RATE_WINDOW`].
    times: VecDeque<Duration>,
    /// Time of the first dispatch ever.
    first_at: Option<Duration>,
}

impl RecentDispatches {
    /// Records a dispatch.
    pub fn record(&mut self, now: Duration) {
        self.first_at.get_or_insert(now);
        self.times.push_back(now);
        while self.times.front().is_some_and(|t| *t + RATE_WINDOW < now) {
            self.times.pop_front();
        }
    }

    /// Dispatches per second.
    pub fn per_s(&self, now: Duration) -> f64 {
        let expired = |t: &Duration| *t + RATE_WINDOW < now;
        let recent = self.times.len() - self.times.partition_point(expired);
        let since_first = self
            .first_at
            .map_or(Duration::ZERO, |t| now.saturating_sub(t));
        let window = since_first.clamp(MIN_RATE_WINDOW, RATE_WINDOW);
        recent as f64 / window.as_secs_f64()
    }

    /// Estimates how many requests `others` other hosts have sent within `age`: one each if `age`
    /// is unknown, because they may choose at the same moment.
    pub fn estimate_others(&self, others: u32, age: Option<Duration>, now: Duration) -> f64 {
        let each = match age {
            Some(age) => self.per_s(now) * age.as_secs_f64(),
            None => 1.0,
        };
        f64::from(others) * each
    }
}
