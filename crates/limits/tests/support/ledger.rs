//! Counts the use of all limits over the whole fleet, independently of the limiters.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use dragonflyrill_catalogue::entry::{LimitEntry, LimitKey};
use dragonflyrill_limits::Ticket;

/// Tracks how far any window so far has exceeded a rate.
#[derive(Debug, Clone, Default)]
struct Window {
    sum: f64,
    min_excess: f64,
    max_excess: f64,
}

impl Window {
    /// Adds `amount` at `now`. Returns the largest excess of any window over `rate * window`.
    fn add(&mut self, now: Duration, amount: f64, rate: f64) -> f64 {
        let line = rate * now.as_secs_f64();
        self.min_excess = self.min_excess.min(self.sum - line);
        self.sum += amount;
        self.max_excess = self.max_excess.max(self.sum - line - self.min_excess);
        self.max_excess
    }
}

/// The use of one key.
#[derive(Debug, Clone, Default)]
pub struct KeyUsage {
    in_flight: BTreeMap<(usize, Ticket), u32>,
    requests: Window,
    tokens: Window,
    /// Tokens admitted, less those settled back.
    pub net_tokens: f64,
    pub admitted: u64,
    pub max_in_flight: usize,
}

/// The use of the fleet, checked against the limits at each event.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    pub limits: HashMap<LimitKey, LimitEntry>,
    pub used: HashMap<LimitKey, KeyUsage>,
    /// The highest earlier limit of requests in flight of each key whose limit was changed. Use up
    /// to it is allowed, because hosts apply a change one after the other.
    pub previous_in_flight: HashMap<LimitKey, u32>,
    pub violations: Vec<String>,
    /// The fraction by which a clock may run fast: rates are limited by the clocks of the lenders.
    pub drift: f64,
}

impl Ledger {
    pub fn admit(&mut self, now: Duration, host: usize, ticket: Ticket, key: &LimitKey, t: u32) {
        let limit = &self.limits[key];
        let used = self.used.entry(key.clone()).or_default();
        used.in_flight.insert((host, ticket), t);
        used.net_tokens += f64::from(t);
        used.admitted += 1;
        used.max_in_flight = used.max_in_flight.max(used.in_flight.len());
        let rate = limit.requests_per_second;
        let fast = 1.0 + self.drift;
        let over = used.requests.add(now, 1.0, rate * fast);
        let burst = (rate * limit.burst_seconds).max(1.0);
        if over > burst + 1e-3 {
            let violation = format!("{now:?} {key:?}: requests over by {}", over - burst);
            self.violations.push(violation);
        }
        let rate = limit.tokens_per_second;
        let over = used.tokens.add(now, f64::from(t), rate * fast);
        let burst = rate * limit.burst_seconds;
        if over > burst + 1e-3 {
            let violation = format!("{now:?} {key:?}: tokens over by {}", over - burst);
            self.violations.push(violation);
        }
        self.check(now, key);
    }

    pub fn end(&mut self, now: Duration, host: usize, ticket: Ticket, key: &LimitKey, back: u32) {
        let rate = self.limits[key].tokens_per_second * (1.0 + self.drift);
        let used = self.used.entry(key.clone()).or_default();
        used.in_flight.remove(&(host, ticket));
        used.tokens.add(now, -f64::from(back), rate);
        used.net_tokens -= f64::from(back);
    }

    pub fn suspend(&mut self, host: usize, ticket: Ticket, key: &LimitKey) {
        let used = self.used.entry(key.clone()).or_default();
        used.in_flight.remove(&(host, ticket));
    }

    pub fn resume(&mut self, now: Duration, host: usize, ticket: Ticket, key: &LimitKey) {
        let used = self.used.entry(key.clone()).or_default();
        used.in_flight.insert((host, ticket), 0);
        self.check(now, key);
    }

    /// Records that the host no longer runs any request.
    pub fn stop(&mut self, host: usize) {
        for used in self.used.values_mut() {
            used.in_flight.retain(|(h, _), _| *h != host);
        }
    }

    pub fn in_flight(&self, key: &LimitKey) -> usize {
        self.used.get(key).map_or(0, |u| u.in_flight.len())
    }

    fn check(&mut self, now: Duration, key: &LimitKey) {
        let n = self.in_flight(key);
        let limit = self.limits[key]
            .in_flight
            .max(self.previous_in_flight.get(key).copied().unwrap_or(0));
        if n > limit as usize {
            let violation = format!("{now:?} {key:?}: {n} in flight, {limit} allowed");
            self.violations.push(violation);
        }
    }
}
