//! How often requests may be sent a second time.
//!
//! All hosts share one budget a service: in any window, sends beyond the first of each request are
//! at most a share of the requests, plus a burst. Without a call per retry that holds if each host
//! keeps to the share of its own requests and to its part of the burst.

use std::{collections::VecDeque, time::Duration};

/// The part of the budget that is used, so that a window seen from elsewhere holds too.
const USED: f64 = 0.8;

/// The bounds of a budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetTerms {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all hosts.
    pub burst: f64,
    /// The length of the window.
    pub window: Duration,
}

/// How a budget stands: what a decision on a repeat rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Requests of the window.
    pub requests: usize,
    /// Repeats of the window.
    pub repeats: usize,
    /// Repeats that this host may have made in the window.
    pub allowed: f64,
}

impl Standing {
    /// Whether one more repeat is left.
    pub fn left(&self) -> bool {
        (self.repeats + 1) as f64 <= self.allowed
    }
}

/// This host's part of one service's budget.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RetryBudget {
    /// A budget of which nothing is used.
    pub fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// A request came in.
    pub fn request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget, if there is one left for one of `hosts` hosts.
    pub fn take(&mut self, now: Duration, hosts: u32) -> bool {
        let taken = self.left(now, hosts);
        if taken {
            self.repeats.push_back(now);
        }
        taken
    }

    /// Whether a repeat is left for one of `hosts` hosts.
    pub fn left(&mut self, now: Duration, hosts: u32) -> bool {
        self.standing(now, hosts).left()
    }

    /// How the budget stands for one of `hosts` hosts.
    pub fn standing(&mut self, now: Duration, hosts: u32) -> Standing {
        self.expire(now);
        let own = self.terms.ratio * self.requests.len() as f64;
        Standing {
            requests: self.requests.len(),
            repeats: self.repeats.len(),
            allowed: USED * (own + self.terms.burst / f64::from(hosts.max(1))),
        }
    }

    fn expire(&mut self, now: Duration) {
        let window = self.terms.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| *t + window <= now) {
                times.pop_front();
            }
        }
    }
}
