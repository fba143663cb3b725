//! The lending side: the rights of one key that this host holds for its data centre.
//!
//! Every use of the rights is a loan, also the host's own. The lender deducts rights before it
//! answers, so a lost answer only wastes them; it waits a margin beyond each term before it reuses
//! what it lent; and its loans never last longer than its own right to lend.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_protocol::{
    HostRef,
    rights::{Demand, Grant, KeyId, Rights},
};

use crate::{config::Terms, pool::Pool, split::Share};

/// An account without a demand for this many loan terms is closed.
const IDLE_LOAN_TERMS: u32 = 50;
/// The shortest term of a grant: a shorter one is not worth its message.
const MIN_LOAN_TERM: Duration = Duration::from_millis(20);

/// The rights that one host holds from this lender.
#[derive(Debug, Clone, Default, PartialEq)]
struct Account {
    /// The sequence number of the newest demand received.
    seq: u32,
    /// The uses that the host reported.
    used_requests: u64,
    used_tokens: i64,
    /// Permits that were handed out and are not known to be used or returned.
    requests: f64,
    tokens: f64,
    /// When those permits have certainly expired; `None` once they have.
    permits_until: Option<Duration>,
    /// Requests in flight lent until `in_flight_until`.
    in_flight: u32,
    in_flight_until: Duration,
    unmet: Option<UnmetDemand>,
    last_demand_at: Duration,
    local: bool,
}

/// A demand that is not yet met.
#[derive(Debug, Clone, PartialEq)]
struct UnmetDemand {
    /// Since when the host has waited, over all its demands; hosts are served in this order.
    waiting_since: Duration,
    /// When this demand was received.
    received_at: Duration,
    /// Whether a first answer was sent, so that the host knows that it waits.
    answered: bool,
    demand: Demand,
}

/// Rights that an unmet demand earlier in the order needs, so that later ones must wait for them.
#[derive(Debug, Clone, Copy, Default)]
struct Reserved {
    permits: bool,
    in_flight: bool,
}

/// Lends the rights of one key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Lender {
    key: KeyId,
    share: Share,
    requests: Pool,
    tokens: Pool,
    accounts: BTreeMap<HostRef, Account>,
    /// Whether loans above the share are recalled rather than left to end.
    recall: bool,
}

/// The limits on the term of a loan.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LendingTerms {
    /// Until when this host may lend.
    pub(crate) until: Duration,
    /// The terms.
    pub(crate) terms: Terms,
}

impl LendingTerms {
    /// The longest term of a loan granted at `now`.
    fn term(&self, now: Duration) -> Duration {
        self.terms.loan_term.min(self.until.saturating_sub(now))
    }
}

impl Lender {
    /// A lender with empty buckets.
    pub(crate) fn new(now: Duration, key: KeyId) -> Self {
        Self {
            key,
            share: Share::default(),
            requests: Pool::new(now),
            tokens: Pool::new(now),
            accounts: BTreeMap::new(),
            recall: false,
        }
    }

    /// Sets the share. With `recall`, loans above it are not renewed.
    pub(crate) fn set_share(&mut self, now: Duration, share: Share, recall: bool) {
        if share == self.share {
            return;
        }
        self.share = share;
        self.recall = recall;
        self.requests
            .set_rate(now, share.requests, share.request_burst);
        self.tokens.set_rate(now, share.tokens, share.token_burst);
    }

    /// The share that this lender may lend.
    pub(crate) fn share(&self) -> Share {
        self.share
    }

    /// Requests in flight that are lent, to this host and to others.
    pub(crate) fn lent_in_flight(&self) -> u32 {
        self.accounts.values().map(|a| a.in_flight).sum()
    }

    /// Records a demand; [`Self::serve`] answers it. A demand older than the newest one is ignored.
    pub(crate) fn receive_demand(
        &mut self,
        now: Duration,
        from: &HostRef,
        local: bool,
        demand: &Demand,
    ) {
        self.expire(now);
        let first = !self.accounts.contains_key(from);
        let account = self.accounts.entry(from.clone()).or_default();
        if !first && demand.seq <= account.seq {
            return;
        }
        if first {
            account.used_requests = demand.used_requests;
            account.used_tokens = demand.used_tokens;
        }
        account.seq = demand.seq;
        account.last_demand_at = now;
        account.local = local;
        account.in_flight = demand.held.in_flight.min(account.in_flight);
        self.settle(now, from, demand);
        let account = self.accounts.entry(from.clone()).or_default();
        if demand.want == Rights::default() {
            account.unmet = None;
            return;
        }
        account.unmet = Some(UnmetDemand {
            waiting_since: account.unmet.take().map_or(now, |w| w.waiting_since),
            received_at: now,
            answered: false,
            demand: demand.clone(),
        });
    }

    /// Updates the buckets with the uses and the remaining rights that `demand` reports.
    fn settle(&mut self, now: Duration, from: &HostRef, demand: &Demand) {
        let Some(account) = self.accounts.get_mut(from) else {
            return;
        };
        let unexpired = account.permits_until.is_some();
        let used = demand.used_requests.wrapping_sub(account.used_requests) as f64;
        let held = f64::from(demand.held.requests).min(account.requests);
        settle_pool(
            &mut self.requests,
            now,
            unexpired,
            account.requests,
            held,
            used,
        );
        account.requests = held;
        account.used_requests = demand.used_requests;
        let used = demand.used_tokens.wrapping_sub(account.used_tokens) as f64;
        let held = f64::from(demand.held.tokens).min(account.tokens);
        settle_pool(&mut self.tokens, now, unexpired, account.tokens, held, used);
        account.tokens = held;
        account.used_tokens = demand.used_tokens;
        if !unexpired {
            (account.requests, account.tokens) = (0.0, 0.0);
        }
    }

    /// Answers the demands that can be answered now; hosts of this data centre come first.
    pub(crate) fn serve(
        &mut self,
        now: Duration,
        lending: &LendingTerms,
        out: &mut Vec<(HostRef, Grant)>,
    ) {
        self.expire(now);
        let mut order: Vec<(bool, Duration, HostRef)> = self.waiting_hosts();
        order.sort();
        let mut reserved = Reserved::default();
        for (i, (_, _, host)) in order.iter().enumerate() {
            let n = (order.len() - i) as u32;
            self.answer_demand(now, lending, host, n, &mut reserved, out);
        }
    }

    fn waiting_hosts(&self) -> Vec<(bool, Duration, HostRef)> {
        let accounts = self.accounts.iter();
        accounts
            .filter_map(|(host, a)| Some((!a.local, a.unmet.as_ref()?.waiting_since, host.clone())))
            .collect()
    }

    /// Answers the demand of `host`, one of `n` that remain in the order. If the demand is only
    /// partly met, or not at all, the host goes on waiting.
    fn answer_demand(
        &mut self,
        now: Duration,
        lending: &LendingTerms,
        host: &HostRef,
        n: u32,
        reserved: &mut Reserved,
        out: &mut Vec<(HostRef, Grant)>,
    ) {
        let term = lending.term(now);
        let max_in_flight = self.share.in_flight;
        let lent = self.lent_in_flight();
        let backlog = self.backlog();
        let Some(account) = self.accounts.get_mut(host) else {
            return;
        };
        let Some(unmet) = account.unmet.take() else {
            return;
        };
        if term < MIN_LOAN_TERM || now.saturating_sub(unmet.received_at) > lending.terms.loan_term {
            return;
        }
        let demand = &unmet.demand;
        let excess = lent.saturating_sub(max_in_flight);
        let retained = match self.recall {
            true => account.in_flight - excess.min(account.in_flight),
            false => account.in_flight,
        };
        let retained = retained.min(demand.want.in_flight);
        let free = max_in_flight.saturating_sub(lent);
        let requests = self.requests.available(now);
        let tokens = self.tokens.available(now);
        let head = demand.head.min(self.tokens.capacity());
        let want = demand.want;
        let permits = (want.requests == 0 || requests > 0)
            && (want.tokens == 0 || tokens >= head.max(1))
            && !(reserved.permits && want.requests + want.tokens > 0);
        let requests = match permits {
            true => fair_part(requests, n, 1, want.requests),
            false => 0,
        };
        let max_tokens = match want.requests {
            0 => want.tokens,
            all => in_proportion(want.tokens, requests, all).max(head),
        };
        let tokens = match permits {
            true => fair_part(tokens, n, head, max_tokens.min(want.tokens)),
            false => 0,
        };
        // Rights to requests in flight are useful only for requests that run or may be admitted.
        let need = (demand.busy + requests).min(want.in_flight);
        let free = if reserved.in_flight { 0 } else { free };
        let rights = Rights {
            requests,
            tokens,
            in_flight: match permits {
                true => need.min(retained + free),
                false => need.min(retained + free).max(retained),
            },
        };
        // Only the last answer to a demand hands out permits, so a duplicated answer adds none.
        let in_flight = requests + tokens > 0 || rights.in_flight >= need;
        reserved.permits |= !permits;
        reserved.in_flight |= rights.in_flight < need;
        let met = permits && in_flight;
        let wait = self
            .tokens
            .time_until(now, backlog.1)
            .max(self.requests.time_until(now, backlog.0));
        self.requests.hand_out(now, rights.requests);
        self.tokens.hand_out(now, rights.tokens);
        let expires_at = now + lending.terms.with_clock_margin(term);
        account.requests += f64::from(rights.requests);
        account.tokens += f64::from(rights.tokens);
        if account.requests > 0.0 || account.tokens > 0.0 {
            account.permits_until = account.permits_until.max(Some(expires_at));
        }
        account.in_flight = account.in_flight.max(rights.in_flight);
        account.in_flight_until = account.in_flight_until.max(expires_at);
        let grant = Grant {
            key: self.key,
            seq: account.seq,
            term_ms: (now.saturating_sub(unmet.received_at) + term).as_millis() as u32,
            rights,
            wait_ms: wait.as_millis().min(u128::from(u32::MAX)) as u32,
            last: met,
        };
        let increased = rights.in_flight > retained;
        if met || !unmet.answered || increased {
            out.push((host.clone(), grant));
        }
        if !met {
            account.unmet = Some(UnmetDemand {
                answered: true,
                ..unmet
            });
        }
    }

    /// The requests and tokens that unmet demands want in all.
    fn backlog(&self) -> (f64, f64) {
        let unmet = self.accounts.values().filter_map(|a| a.unmet.as_ref());
        unmet.fold((0.0, 0.0), |(requests, tokens), unmet| {
            let want = unmet.demand.want;
            (
                requests + f64::from(want.requests),
                tokens + f64::from(want.tokens),
            )
        })
    }

    /// Reclaims expired rights.
    fn expire(&mut self, now: Duration) {
        for account in self.accounts.values_mut() {
            if account.permits_until.is_some_and(|t| t <= now) {
                account.permits_until = None;
                self.requests.expire(now, account.requests);
                self.tokens.expire(now, account.tokens);
                (account.requests, account.tokens) = (0.0, 0.0);
            }
            if account.in_flight_until <= now {
                account.in_flight = 0;
            }
        }
        if self.lent_in_flight() <= self.share.in_flight {
            self.recall = false;
        }
    }

    /// Closes accounts that have sent no demand for [`IDLE_LOAN_TERMS`].
    pub(crate) fn close_idle(&mut self, now: Duration, terms: &Terms) {
        self.expire(now);
        self.accounts.retain(|_, a| {
            now.saturating_sub(a.last_demand_at) < terms.loan_term * IDLE_LOAN_TERMS
        });
    }

    /// When [`Self::serve`] may have work to do.
    pub(crate) fn next_due(&mut self, now: Duration) -> Option<Duration> {
        let unmet: Vec<_> = self.waiting_hosts();
        let (_, _, host) = unmet.into_iter().min()?;
        let demand = &self.accounts.get(&host)?.unmet.as_ref()?.demand;
        let head = demand.head.min(self.tokens.capacity()).max(1);
        let (tokens, requests) = (demand.want.tokens, demand.want.requests);
        let mut wait = Duration::from_millis(1);
        if tokens > 0 {
            wait = wait.max(self.tokens.time_until(now, f64::from(head)));
        }
        if requests > 0 {
            wait = wait.max(self.requests.time_until(now, 1.0));
        }
        let next_expiry = self.accounts.values().filter(|a| a.in_flight > 0);
        let next_expiry = next_expiry.map(|a| a.in_flight_until).min();
        let at = now + wait.min(Duration::from_millis(100));
        Some(next_expiry.map_or(at, |t| at.min(t.max(now + Duration::from_millis(1)))))
    }
}

/// Returns `amount * part / whole`, rounded up.
fn in_proportion(amount: u32, part: u32, whole: u32) -> u32 {
    let amount = u64::from(amount) * u64::from(part);
    amount.div_ceil(u64::from(whole.max(1))) as u32
}

/// One of `n` equal parts of `available`, raised to `min` and then limited to `want` and to
/// `available`.
fn fair_part(available: u32, n: u32, min: u32, want: u32) -> u32 {
    (available / n.max(1)).max(min).min(want).min(available)
}

fn settle_pool(pool: &mut Pool, now: Duration, unexpired: bool, out: f64, held: f64, used: f64) {
    match unexpired {
        true => pool.settle(now, used, out - held - used),
        // Expired rights made room for new ones at once, so returning them now would count them
        // twice. Only use that was settled back since is returned.
        false => pool.settle(now, -used.min(0.0).abs(), used.min(0.0).abs()),
    }
}
