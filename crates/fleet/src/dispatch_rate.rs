//! How many requests other hosts have sent since they last told of their loads.
//!
//! Hosts that choose by the same numbers choose the same chain. Each of them reckons with what the others send
//! meanwhile, at the rate at which it sends itself.

use std::{collections::VecDeque, time::Duration};

/// The time over which a host's own rate is taken.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// The least time for that: a host that has just begun to send has sent one request in no time.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(250);

/// What one host has sent lately.
#[derive(Debug, Default)]
pub struct RecentDispatches {
    /// Invariant: in order, none older than [`RATE_OVER`] when the last was noted.
    times: VecDeque<Duration>,
    /// When the first one was sent.
    first_at: Option<Duration>,
}

impl RecentDispatches {
    /// A request is sent.
    pub fn record(&mut self, now: Duration) {
        self.first_at.get_or_insert(now);
        self.times.push_back(now);
        while self.times.front().is_some_and(|t| *t + RATE_WINDOW < now) {
            self.times.pop_front();
        }
    }

    /// Requests in a second.
    fn per_s(&self, now: Duration) -> f64 {
        let expired = |t: &Duration| *t + RATE_WINDOW < now;
        let recent = self.times.len() - self.times.partition_point(expired);
        let since_first = self
            .first_at
            .map_or(Duration::ZERO, |t| now.saturating_sub(t));
        let window = since_first.clamp(MIN_RATE_WINDOW, RATE_WINDOW);
        recent as f64 / window.as_secs_f64()
    }

    /// Requests that so many other hosts have sent within `age`; one each if that is not known, as they may choose at
    /// the same moment.
    pub fn estimate_others(&self, others: u32, age: Option<Duration>, now: Duration) -> f64 {
        let each = match age {
            Some(age) => self.per_s(now) * age.as_secs_f64(),
            None => 1.0,
        };
        f64::from(others) * each
    }
}
