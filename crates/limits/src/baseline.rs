//! Simpler designs to compare the limiter with, not for use in a deployment.
//!
//! [`StaticSplit`] gives each live host an even part of each limit. In [`Leased`] one host of each
//! data centre lends the data centre's part of a limit, never to other data centres, under a lease
//! that is renewed in the table and therefore lasts [`LEASE_TERM`].

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use dragonflyrill_catalogue::entry::{LimitEntry, LimitKey};
use dragonflyrill_protocol::{HostRef, rights::Message};
use dragonflyrill_store::{error::PlatformError, table::TxnOutcome};

use crate::{
    Action, AdmissionRequest, HostLimiter, Refusal, Ticket, TxnId,
    config::{Config, Declaration, Peer},
    pool::Pool,
};

/// The term of a lease. At this term 25 data centres with 660 leases each, renewed three times in
/// a term, write 1,650 times a second, which is already more than the table can execute.
pub const LEASE_TERM: Duration = Duration::from_secs(30);

/// This host's part of one limit in [`StaticSplit`].
#[derive(Debug, Clone)]
struct HostPart {
    limit: LimitEntry,
    requests: Pool,
    tokens: Pool,
    in_flight: u32,
    queue: VecDeque<(Ticket, u32, Duration)>,
}

/// A limiter that gives each live host an even part of each limit.
#[derive(Debug, Clone)]
pub struct StaticSplit {
    hosts: u32,
    parts: Vec<HostPart>,
    index: HashMap<LimitKey, usize>,
    running: HashMap<Ticket, (usize, u32)>,
    queue: usize,
    next: u64,
}

impl StaticSplit {
    /// A limiter without limits.
    pub fn new(cfg: Config) -> Self {
        Self {
            hosts: 1,
            parts: Vec::new(),
            index: HashMap::new(),
            running: HashMap::new(),
            queue: cfg.max_queued_per_key,
            next: 0,
        }
    }

    /// Applies the declared limits.
    pub fn configure(&mut self, now: Duration, declared: &Declaration, _: &mut Vec<Action>) {
        for limit in declared.limits {
            let parts = &mut self.parts;
            let i = *self.index.entry(limit.key.clone()).or_insert_with(|| {
                parts.push(HostPart {
                    limit: limit.clone(),
                    requests: Pool::new(now),
                    tokens: Pool::new(now),
                    in_flight: 0,
                    queue: VecDeque::new(),
                });
                parts.len() - 1
            });
            parts[i].limit = limit.clone();
        }
        self.split(now);
    }

    /// Replaces the list of live hosts.
    pub fn set_peers(&mut self, now: Duration, peers: &[Peer], _: &mut Vec<Action>) {
        self.hosts = peers.len().max(1) as u32;
        self.split(now);
    }

    fn split(&mut self, now: Duration) {
        let n = f64::from(self.hosts);
        for part in &mut self.parts {
            let limit = &part.limit;
            let (requests, tokens) = (limit.requests_per_second / n, limit.tokens_per_second / n);
            let burst = limit.burst_seconds;
            part.requests.set_rate(now, requests, requests * burst);
            part.tokens.set_rate(now, tokens, tokens * burst);
        }
    }

    /// Requests admission.
    pub fn request_admission(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
        actions: &mut Vec<Action>,
    ) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let found = self.index.get(&request.key).copied();
        let Some(i) = found.filter(|i| self.parts[*i].queue.len() < self.queue) else {
            actions.push(refuse(ticket));
            return ticket;
        };
        let request = (ticket, request.tokens, request.admit_by);
        self.parts[i].queue.push_back(request);
        self.admit(now, i, actions);
        ticket
    }

    fn admit(&mut self, now: Duration, i: usize, actions: &mut Vec<Action>) {
        let part = &mut self.parts[i];
        let max_in_flight = part.limit.in_flight / self.hosts;
        while let Some((ticket, tokens, latest)) = part.queue.front().copied() {
            if latest <= now {
                part.queue.pop_front();
                actions.push(refuse(ticket));
                continue;
            }
            let permitted =
                part.requests.available(now) > 0 && part.tokens.available(now) >= tokens;
            if !permitted || part.in_flight >= max_in_flight {
                return;
            }
            part.queue.pop_front();
            part.requests.hand_out(now, 1);
            part.requests.settle(now, 1.0, 0.0);
            part.tokens.hand_out(now, tokens);
            part.tokens.settle(now, f64::from(tokens), 0.0);
            part.in_flight += 1;
            self.running.insert(ticket, (i, tokens));
            actions.push(Action::Admit(ticket));
        }
    }

    /// Records the end of an admitted request that used `used` tokens.
    pub fn settle(&mut self, now: Duration, ticket: Ticket, used: u32, actions: &mut Vec<Action>) {
        if let Some((i, tokens)) = self.running.remove(&ticket) {
            let part = &mut self.parts[i];
            part.in_flight -= 1;
            let back = f64::from(tokens) - f64::from(used);
            part.tokens.settle(now, -back, back);
            self.admit(now, i, actions);
        }
    }

    /// Ignores messages: hosts of this design send none.
    pub fn receive(&mut self, _: Duration, _: &HostRef, _: Message, _: &mut Vec<Action>) {}

    /// Ignores answers of the table: hosts of this design do not call it.
    pub fn handle_table_answer(
        &mut self,
        _: Duration,
        _: TxnId,
        _: Result<TxnOutcome, PlatformError>,
        _: &mut Vec<Action>,
    ) {
    }

    /// Refuses and admits waiting requests as of `now`.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for i in 0..self.parts.len() {
            self.admit(now, i, actions);
        }
    }

    /// When [`Self::tick`] has to be called next.
    pub fn next_tick(&self, now: Duration) -> Duration {
        let waits = self.parts.iter().any(|p| !p.queue.is_empty());
        now + Duration::from_millis(if waits { 5 } else { 1000 })
    }

    /// Does nothing: hosts of this design hold no rights to hand over.
    pub fn hand_over(&mut self, _: Duration, _: &mut Vec<Action>) {}
}

fn refuse(ticket: Ticket) -> Action {
    Action::Refuse {
        ticket,
        refusal: Refusal::OverLimit,
        retry_after: Duration::from_secs(1),
    }
}

/// A limiter with one lender for each key and data centre, under a lease in the table.
#[derive(Debug, Clone)]
pub struct Leased {
    cfg: Config,
    limiter: HostLimiter,
}

impl Leased {
    /// A limiter without limits.
    pub fn new(mut cfg: Config) -> Self {
        cfg.terms.session_term = LEASE_TERM;
        Self {
            limiter: HostLimiter::new(cfg.clone()),
            cfg,
        }
    }

    /// The limiter that lends and borrows.
    pub fn limiter(&mut self) -> &mut HostLimiter {
        &mut self.limiter
    }

    /// Like [`Self::limiter`], for reading.
    pub fn limiter_ref(&self) -> &HostLimiter {
        &self.limiter
    }

    /// Replaces the list of live hosts with those of this data centre in `peers`.
    pub fn set_peers(&mut self, now: Duration, peers: &[Peer], actions: &mut Vec<Action>) {
        let near = peers
            .iter()
            .filter(|p| p.data_centre == self.cfg.data_centre);
        let near: Vec<Peer> = near.cloned().collect();
        self.limiter.set_peers(now, &near, actions);
    }
}
