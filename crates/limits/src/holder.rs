//! The using side: the requests under one key on this host, and the rights borrowed for them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use dragonflyrill_protocol::{
    HostRef,
    rights::{Demand, Grant, KeyId, Rights},
};

use crate::{Action, Refusal, Ticket, config::Terms};

/// The time constant of the moving average of arrivals.
const ARRIVAL_AVERAGE_SECONDS: f64 = 1.0;
/// How long an account is kept after its last demand. The lender keeps its side for a shorter time:
/// if the holder deleted its side first, its counts would restart while the lender still has them.
const ACCOUNT_RETENTION: Duration = Duration::from_secs(300);
/// For how many retry intervals the next lenders get demands too after one could not meet a demand.
const SHORT_LENDER_RETRIES: u32 = 2;

/// The rights that this host holds from one lender. Times are by this host's clock.
#[derive(Debug, Clone, PartialEq)]
struct Account {
    lender: HostRef,
    seq: u32,
    demanded_at: Duration,
    open: Option<OpenDemand>,
    requests: u32,
    tokens: u32,
    permits_until: Duration,
    in_flight: u32,
    in_flight_until: Duration,
    renew_at: Duration,
    used_requests: u64,
    used_tokens: i64,
    /// Until when the lender is assumed to have less than this host needs.
    depleted_until: Duration,
    /// When a demand may be sent again after the lender had too little.
    retry_not_before: Duration,
    /// Whether a demand has to report unused rights to the lender.
    report_due: bool,
}

/// A demand whose last answer has not arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
struct OpenDemand {
    sent_at: Duration,
    resend_at: Duration,
    /// The part of the demanded rights that requests wait for now.
    waiting: Rights,
}

/// A request that waits to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
struct QueuedRequest {
    ticket: Ticket,
    tokens: u32,
    admit_by: Duration,
}

/// An admitted request.
#[derive(Debug, Clone, PartialEq)]
struct Running {
    tokens: u32,
    /// The first lender whose rights the request used; unused tokens are settled with it.
    lender: HostRef,
    suspended: bool,
}

/// The requests under one key on this host.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Holder {
    key: KeyId,
    accounts: Vec<Account>,
    queue: VecDeque<QueuedRequest>,
    queued_tokens: u64,
    running: BTreeMap<Ticket, Running>,
    suspended: u32,
    /// When the last grant expected waiting demands to have been met.
    expected_service_at: Duration,
    arrivals_per_second: f64,
    mean_tokens: f64,
    last_arrival_at: Duration,
}

/// The rights that a host holds under a key, and its use of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) held: Rights,
    pub(crate) active: u32,
    pub(crate) suspended: u32,
    pub(crate) waiting: u32,
}

impl Holder {
    /// A holder without requests and rights.
    pub(crate) fn new(key: KeyId) -> Self {
        Self {
            key,
            accounts: Vec::new(),
            queue: VecDeque::new(),
            queued_tokens: 0,
            running: BTreeMap::new(),
            suspended: 0,
            expected_service_at: Duration::ZERO,
            arrivals_per_second: 0.0,
            mean_tokens: 0.0,
            last_arrival_at: Duration::ZERO,
        }
    }

    /// The rights held and their use.
    pub(crate) fn usage(&self, now: Duration) -> Usage {
        Usage {
            held: self.held(now),
            active: self.active(),
            suspended: self.suspended,
            waiting: self.queue.len() as u32,
        }
    }

    /// Whether no request runs or waits.
    pub(crate) fn idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    fn active(&self) -> u32 {
        self.running.len() as u32 - self.suspended
    }

    fn held(&self, now: Duration) -> Rights {
        let mut held = Rights::default();
        for account in &self.accounts {
            let part = account.held(now);
            held.requests += part.requests;
            held.tokens += part.tokens;
            held.in_flight += part.in_flight;
        }
        held
    }

    /// Appends a request to the queue.
    pub(crate) fn push(&mut self, now: Duration, ticket: Ticket, tokens: u32, admit_by: Duration) {
        let elapsed = now.saturating_sub(self.last_arrival_at).as_secs_f64();
        self.arrivals_per_second = self.arrivals_per_second
            * (-elapsed / ARRIVAL_AVERAGE_SECONDS).exp()
            + 1.0 / ARRIVAL_AVERAGE_SECONDS;
        self.last_arrival_at = now;
        self.mean_tokens += (f64::from(tokens) - self.mean_tokens) * 0.1;
        self.queued_tokens += u64::from(tokens);
        self.queue.push_back(QueuedRequest {
            ticket,
            tokens,
            admit_by,
        });
    }

    /// The number of waiting requests and their tokens in all.
    pub(crate) fn backlog(&self) -> (usize, u64) {
        (self.queue.len(), self.queued_tokens)
    }

    /// How long the last grant expects waiting requests to wait.
    pub(crate) fn expected_wait(&self, now: Duration) -> Duration {
        self.expected_service_at.saturating_sub(now)
    }

    /// Removes a waiting request from the queue.
    pub(crate) fn withdraw(&mut self, ticket: Ticket) {
        if let Some(i) = self.queue.iter().position(|w| w.ticket == ticket) {
            self.remove_queued(i);
        }
    }

    fn remove_queued(&mut self, i: usize) -> Option<QueuedRequest> {
        let waiting = self.queue.remove(i)?;
        self.queued_tokens -= u64::from(waiting.tokens);
        Some(waiting)
    }

    /// Records the end of a running request that used `used` tokens.
    pub(crate) fn settle(&mut self, ticket: Ticket, used: u32) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        self.suspended -= u32::from(running.suspended);
        let mut accounts = self.accounts.iter_mut();
        if let Some(account) = accounts.find(|a| a.lender == running.lender) {
            account.used_tokens -= i64::from(running.tokens) - i64::from(used);
        }
        if self.idle() {
            self.accounts.iter_mut().for_each(Account::drop_permits);
        }
    }

    /// Admits, suspends, resumes and refuses requests according to the rights held now.
    pub(crate) fn update(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.expire_rights(now);
        self.refuse_expired(now, actions);
        let held = self.held(now);
        self.suspend(held.in_flight, actions);
        self.resume(held.in_flight, actions);
        self.admit(now, held, actions);
    }

    fn expire_rights(&mut self, now: Duration) {
        for account in &mut self.accounts {
            if account.permits_until <= now && account.requests + account.tokens > 0 {
                (account.requests, account.tokens) = (0, 0);
                account.report_due = true;
            }
            if account.in_flight_until <= now {
                account.in_flight = 0;
            }
        }
    }

    fn refuse_expired(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut i = 0;
        while let Some(waiting) = self.queue.get(i).copied() {
            if waiting.admit_by > now {
                i += 1;
                continue;
            }
            self.remove_queued(i);
            actions.push(Action::Refuse {
                ticket: waiting.ticket,
                refusal: Refusal::OverLimit,
                retry_after: self.expected_wait(now),
            });
        }
    }

    fn suspend(&mut self, in_flight: u32, actions: &mut Vec<Action>) {
        let excess = self.active().saturating_sub(in_flight);
        let newest = self.running.iter_mut().rev().filter(|(_, r)| !r.suspended);
        for (ticket, running) in newest.take(excess as usize) {
            running.suspended = true;
            self.suspended += 1;
            actions.push(Action::Suspend(*ticket));
        }
    }

    fn resume(&mut self, in_flight: u32, actions: &mut Vec<Action>) {
        if self.suspended == 0 {
            return;
        }
        let free = in_flight.saturating_sub(self.active());
        let oldest = self.running.iter_mut().filter(|(_, r)| r.suspended);
        for (ticket, running) in oldest.take(free as usize) {
            running.suspended = false;
            self.suspended -= 1;
            actions.push(Action::Resume(*ticket));
        }
    }

    fn admit(&mut self, now: Duration, mut held: Rights, actions: &mut Vec<Action>) {
        while let Some(first) = self.queue.front().copied() {
            let enough = held.requests > 0
                && held.tokens >= first.tokens
                && held.in_flight > self.running.len() as u32;
            if !enough {
                return;
            }
            self.remove_queued(0);
            held.requests -= 1;
            held.tokens -= first.tokens;
            let lender = self.use_rights(now, first.tokens);
            let running = Running {
                tokens: first.tokens,
                lender,
                suspended: false,
            };
            self.running.insert(first.ticket, running);
            actions.push(Action::Admit(first.ticket));
        }
    }

    /// Uses the right to one request and to `tokens`; returns the first lender that they came from.
    fn use_rights(&mut self, now: Duration, tokens: u32) -> HostRef {
        let mut first = None;
        let (mut requests, mut tokens) = (1, tokens);
        for account in &mut self.accounts {
            let held = account.held(now);
            let (r, t) = (held.requests.min(requests), held.tokens.min(tokens));
            if r + t == 0 {
                continue;
            }
            account.requests -= r;
            account.tokens -= t;
            account.used_requests += u64::from(r);
            account.used_tokens += i64::from(t);
            requests -= r;
            tokens -= t;
            first.get_or_insert_with(|| account.lender.clone());
        }
        first.unwrap_or_else(|| self.accounts[0].lender.clone())
    }

    /// Applies a grant from a lender.
    pub(crate) fn receive_grant(
        &mut self,
        now: Duration,
        from: &HostRef,
        grant: &Grant,
        terms: &Terms,
    ) {
        let account = self.accounts.iter_mut().find(|a| a.lender == *from);
        let Some(account) = account.filter(|a| a.seq == grant.seq) else {
            return;
        };
        let Some(open) = account.open else {
            return;
        };
        let until = open.sent_at + Duration::from_millis(u64::from(grant.term_ms));
        let expected_service_at = now + Duration::from_millis(u64::from(grant.wait_ms));
        self.expected_service_at = expected_service_at;
        account.add_rights(now, until, &grant.rights);
        account.renew_at = open.sent_at + (until - open.sent_at) / 2;
        let insufficient = grant.rights.requests < open.waiting.requests
            || grant.rights.tokens < open.waiting.tokens
            || grant.rights.in_flight < open.waiting.in_flight
            || !grant.last;
        if insufficient {
            account.depleted_until = now + terms.retry_interval * SHORT_LENDER_RETRIES;
            account.retry_not_before = now + terms.retry_interval;
        }
        if grant.last {
            account.open = None;
            return;
        }
        account.open = Some(OpenDemand {
            resend_at: (expected_service_at + terms.retry_interval)
                .min(open.sent_at + terms.loan_term / 2),
            ..open
        });
    }

    /// Adds the demands that are due to `out`, with their receivers. `lenders` are the hosts that
    /// may lend, most preferred first.
    pub(crate) fn demands(
        &mut self,
        now: Duration,
        lenders: &[HostRef],
        terms: &Terms,
        out: &mut Vec<(HostRef, Demand)>,
    ) {
        self.update_accounts(now, lenders);
        let target = self.target(terms);
        for i in 0..self.accounts.len() {
            if !lenders.contains(&self.accounts[i].lender) {
                continue;
            }
            let held = self.held(now);
            let below_target = below_target(&target, &held);
            let needed = self.running.len() as u32 + held.requests;
            let short = below_target && !self.queue.is_empty() || held.in_flight < needed;
            let earlier_can_lend = self.accounts[..i].iter().any(|a| a.depleted_until <= now);
            let account = &self.accounts[i];
            let renew = account.in_flight > 0 && account.renew_at <= now;
            let refill = i == 0 && below_half(&target, &held);
            let delayed = account.retry_not_before > now;
            let more = !earlier_can_lend && !delayed && (short || refill);
            let due = renew || account.report_due || more;
            let resend = account.open.is_some_and(|o| o.resend_at <= now);
            if (account.open.is_none() && due) || (resend && (due || more)) {
                out.push(self.prepare_demand(now, i, &target, &held, !more, terms));
            } else if resend {
                self.accounts[i].open = None;
            }
        }
    }

    /// Opens accounts with new lenders, closes those with former lenders after
    /// [`ACCOUNT_RETENTION`], and orders them as `lenders`.
    fn update_accounts(&mut self, now: Duration, lenders: &[HostRef]) {
        self.accounts
            .retain(|a| lenders.contains(&a.lender) || now < a.demanded_at + ACCOUNT_RETENTION);
        for lender in lenders {
            if !self.accounts.iter().any(|a| a.lender == *lender) {
                self.accounts.push(Account::new(lender.clone(), now));
            }
        }
        let place = |a: &Account| lenders.iter().position(|l| *l == a.lender);
        self.accounts
            .sort_by_key(|a| place(a).unwrap_or(usize::MAX));
    }

    /// The rights that this host wants to hold: for requests that run or wait, and for those
    /// expected to arrive within half a loan term.
    fn target(&self, terms: &Terms) -> Rights {
        let ahead = (self.arrivals_per_second * terms.loan_term.as_secs_f64() / 2.0) as u32;
        let ahead = if self.idle() { 0 } else { ahead };
        let waiting = self.queue.len() as u32;
        let tokens = self.queued_tokens as f64 + f64::from(ahead) * self.mean_tokens;
        Rights {
            requests: waiting + ahead,
            tokens: tokens as u32,
            in_flight: self.running.len() as u32 + waiting + ahead,
        }
    }

    fn prepare_demand(
        &mut self,
        now: Duration,
        i: usize,
        target: &Rights,
        held: &Rights,
        renew_only: bool,
        terms: &Terms,
    ) -> (HostRef, Demand) {
        let head = self.queue.front().map_or(0, |w| w.tokens);
        let head = head.saturating_sub(held.tokens);
        let needed = self.running.len() as u32 + held.requests;
        let missing_requests = (self.queue.len() as u32).saturating_sub(held.requests);
        let missing_tokens = (self.queued_tokens as u32).saturating_sub(held.tokens);
        let account = &mut self.accounts[i];
        let others = held.in_flight - account.held(now).in_flight;
        let busy = needed.saturating_sub(others);
        let in_flight = target.in_flight.saturating_sub(others);
        account.in_flight = account.held(now).in_flight.min(busy);
        let part = account.held(now);
        let want = match renew_only {
            true => Rights {
                in_flight: part.in_flight,
                ..Rights::default()
            },
            false => Rights {
                requests: target.requests.saturating_sub(held.requests),
                tokens: target.tokens.saturating_sub(held.tokens),
                in_flight,
            },
        };
        let waiting = Rights {
            requests: want.requests.min(missing_requests),
            tokens: want.tokens.min(missing_tokens),
            in_flight: want.in_flight.min(busy),
        };
        account.seq += 1;
        account.demanded_at = now;
        account.report_due = false;
        // A demand that only reports use gets no answer.
        account.open = (want != Rights::default()).then_some(OpenDemand {
            sent_at: now,
            resend_at: now + terms.retry_interval,
            waiting,
        });
        let demand = Demand {
            key: self.key,
            seq: account.seq,
            held: part,
            busy,
            used_requests: account.used_requests,
            used_tokens: account.used_tokens,
            want,
            head,
        };
        (account.lender.clone(), demand)
    }

    /// When [`Self::update`] or [`Self::demands`] may have work to do.
    pub(crate) fn next_due(&self, now: Duration) -> Option<Duration> {
        let mut at = self.queue.iter().map(|w| w.admit_by).min();
        let mut due = |t: Duration| at = Some(at.map_or(t, |at| at.min(t)));
        for account in &self.accounts {
            if account.requests + account.tokens > 0 {
                due(account.permits_until);
            }
            if account.in_flight > 0 {
                due(account.in_flight_until);
                due(account.renew_at);
            }
            if let Some(open) = account.open {
                due(open.resend_at);
            }
            if account.depleted_until > now && !self.idle() {
                due(account.depleted_until);
            }
            if account.retry_not_before > now && !self.idle() {
                due(account.retry_not_before);
            }
        }
        at
    }
}

impl Account {
    fn new(lender: HostRef, now: Duration) -> Self {
        Self {
            lender,
            seq: 0,
            demanded_at: now,
            open: None,
            requests: 0,
            tokens: 0,
            permits_until: now,
            in_flight: 0,
            in_flight_until: now,
            renew_at: now,
            used_requests: 0,
            used_tokens: 0,
            depleted_until: Duration::ZERO,
            retry_not_before: Duration::ZERO,
            report_due: false,
        }
    }

    /// Drops unused requests and tokens after the last request has ended, so that the lender can
    /// lend them to others.
    fn drop_permits(&mut self) {
        self.report_due |= self.requests + self.tokens + self.in_flight > 0;
        (self.requests, self.tokens) = (0, 0);
    }

    /// The rights that have not expired.
    fn held(&self, now: Duration) -> Rights {
        let permits = self.permits_until > now;
        Rights {
            requests: if permits { self.requests } else { 0 },
            tokens: if permits { self.tokens } else { 0 },
            in_flight: match self.in_flight_until > now {
                true => self.in_flight,
                false => 0,
            },
        }
    }

    /// Adds rights that expire at `until` to those held.
    fn add_rights(&mut self, now: Duration, until: Duration, rights: &Rights) {
        let held = self.held(now);
        if until <= now {
            self.report_due |= rights.requests + rights.tokens > 0;
            return;
        }
        self.requests = held.requests + rights.requests;
        self.tokens = held.tokens + rights.tokens;
        // A grant also extends the rights that the demand reported as held.
        self.permits_until = until;
        self.in_flight = rights.in_flight;
        self.in_flight_until = until;
    }
}

fn below_target(target: &Rights, held: &Rights) -> bool {
    held.requests < target.requests || held.tokens < target.tokens
}

fn below_half(target: &Rights, held: &Rights) -> bool {
    held.requests < target.requests / 2 || held.tokens < target.tokens / 2
}
