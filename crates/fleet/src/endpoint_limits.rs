//! Limits that endpoints set on the requests a second that they accept from all hosts together.
//!
//! An endpoint under load states its limit in its answers for as long as the limit is in force. Hosts
//! exchange what they know of it; of two reports the newer one applies.
//!
//! Each host has an even share of the limit. A share may be far less than one request in the time for which a
//! permit is worth keeping, so shares are pooled. The host that others of a data centre poll holds the shares
//! of all hosts that poll it and lends them permits according to their demand, with the calls that are made
//! anyway. It removes a permit from its pool before it lends it, so a lost answer wastes the permit and
//! nothing else. While a host polls another one, it has no pool for its own share. So the pools of all hosts
//! together fill at the rate of the limit, whichever hosts can reach each other, and a data centre that is
//! cut off keeps the shares of its own hosts.
//!
//! Therefore an endpoint gets in any window at most what its limit allows in the window, plus the time for
//! which a pool fills, plus the time for which a permit is valid, and one more request for each pool.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

/// How long a lent permit may be used: until the next call, which returns unused permits.
const PERMIT_VALIDITY: Duration = Duration::from_millis(350);
/// Maximum time for which a pool accumulates permits.
const MAX_FILL_TIME: Duration = Duration::from_secs(1);
/// How long the share of a host that has polled another one stays in the pool of the polled host.
pub const POOLED_SHARE_TTL: Duration = Duration::from_millis(1500);
/// Minimum rate at which an endpoint gets requests, even if its limit is lower: only its answers show when
/// the limit is raised.
const MIN_REQUESTS_PER_S: f64 = 0.25;
/// How long the lifted limit of an endpoint is reported to other hosts, which receive the report within a
/// second.
const LIFTED_REPORT_TTL: Duration = Duration::from_secs(10);
/// How long the limit of an unlisted endpoint is kept: the same incarnation may be listed again.
const UNLISTED_LIMIT_TTL: Duration = Duration::from_secs(60);
/// Two reports of an endpoint that are no further apart count as simultaneous, because calls between hosts
/// take time.
const REPORT_TIME_TOLERANCE: Duration = Duration::from_millis(50);

/// A rate in requests a second. Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// The number is not a valid rate: it is not finite or it is negative.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} is not a valid request rate")]
pub struct InvalidRequestRate(f64);

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRequestRate;

    fn try_from(per_s: f64) -> Result<Self, InvalidRequestRate> {
        match per_s.is_finite() && per_s >= 0.0 {
            true => Ok(Self(per_s)),
            false => Err(InvalidRequestRate(per_s)),
        }
    }
}

impl RequestRate {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

/// What an answer or a report has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The endpoint states this limit, and stated another one or none before.
    Set(RequestRate),
    /// The endpoint no longer states a limit.
    Lifted,
}

/// What a host reports to others about the limit of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// The endpoint's id.
    pub id: Rc<str>,
    /// The limit; `None` if the endpoint no longer states one.
    pub rate: Option<RequestRate>,
    /// Time since an answer showed this.
    pub age: Duration,
    /// Requests that this host's callers wanted to send to the endpoint since it last requested permits; a
    /// polling host wants as many permits.
    pub wanted: u32,
    /// Unused permits that this host returns.
    pub returned: u32,
}

/// The shares of the limits that a host's pools hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PooledShares {
    /// Hosts that have polled this one within [`POOLED_SHARE_TTL`].
    pub polling_hosts: u32,
    /// Number of all hosts; `None` until it is known, and no permits are given until then.
    pub hosts: Option<u32>,
}

/// Permits that another host has lent to this one.
#[derive(Debug, Clone, Copy)]
struct BorrowedPermits {
    remaining: u32,
    valid_until: Duration,
}

/// What is known of an endpoint's limit.
#[derive(Debug, Clone)]
struct LimitState {
    /// `None` once the endpoint no longer states a limit.
    rate: Option<RequestRate>,
    /// When an answer showed the limit.
    as_of: Duration,
    /// Permits in the pool at `filled_at`.
    pool: f64,
    filled_at: Duration,
    /// Permits that another host has lent, oldest first.
    borrowed: VecDeque<BorrowedPermits>,
    /// Requests that wanted a permit since this host last requested permits from another one.
    wanted: u32,
}

impl LimitState {
    fn new(rate: Option<RequestRate>, as_of: Duration) -> Self {
        Self {
            rate,
            as_of,
            pool: 0.0,
            filled_at: as_of,
            borrowed: VecDeque::new(),
            wanted: 0,
        }
    }

    /// Adds the permits accumulated since `filled_at` to the pool and drops borrowed permits that are used up
    /// or expired.
    fn refill(&mut self, shares: PooledShares, is_borrowing: bool, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.borrowed
            .retain(|permits| permits.remaining > 0 && permits.valid_until > now);
        let (Some(rate), Some(hosts)) = (self.rate, shares.hosts) else {
            self.pool = 0.0;
            return;
        };
        let own = u32::from(!is_borrowing);
        let portion = f64::from(shares.polling_hosts + own) / f64::from(hosts.max(1));
        let per_s = rate.per_s().max(MIN_REQUESTS_PER_S) * portion.min(1.0);
        let capacity = match per_s > 0.0 {
            true => (per_s * MAX_FILL_TIME.as_secs_f64()).max(1.0),
            false => 0.0,
        };
        self.pool = (self.pool + elapsed * per_s).min(capacity);
    }

    fn has_permit(&self, is_borrowing: bool) -> bool {
        !self.borrowed.is_empty() || (!is_borrowing && self.pool >= 1.0)
    }

    fn use_permit(&mut self) {
        match self.borrowed.front_mut() {
            Some(permits) => permits.remaining -= 1,
            None => self.pool -= 1.0,
        }
        self.borrowed.retain(|permits| permits.remaining > 0);
    }
}

/// The limits that endpoints state, by the endpoint's id.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    known: FxHashMap<Rc<str>, LimitState>,
    /// When this host last polled another one that lends permits, whether or not it wanted any.
    requested_at: Option<Duration>,
}

impl EndpointLimits {
    /// Records the limit that an endpoint stated, or that it stated none, in an answer received at `as_of`.
    pub fn record_stated(
        &mut self,
        id: &Rc<str>,
        rate: Option<RequestRate>,
        as_of: Duration,
    ) -> Option<LimitChange> {
        let Some(known) = self.known.get_mut(id) else {
            let rate = rate?;
            self.known
                .insert(id.clone(), LimitState::new(Some(rate), as_of));
            return Some(LimitChange::Set(rate));
        };
        known.as_of = known.as_of.max(as_of);
        let before = std::mem::replace(&mut known.rate, rate);
        match rate {
            _ if rate == before => None,
            Some(rate) => Some(LimitChange::Set(rate)),
            None => Some(LimitChange::Lifted),
        }
    }

    /// Merges a report of another host, based on an answer that the endpoint gave at `as_of`. Ignores it
    /// unless it is newer than what is known.
    pub fn merge_report(
        &mut self,
        id: &Rc<str>,
        rate: Option<RequestRate>,
        as_of: Duration,
    ) -> Option<LimitChange> {
        let newer = |known: &LimitState| as_of > known.as_of + REPORT_TIME_TOLERANCE;
        let newest = self.known.get(id).is_none_or(newer);
        newest.then(|| self.record_stated(id, rate, as_of))?
    }

    /// Removes lifted limits that have been reported for long enough, and limits of endpoints that have been
    /// unlisted for long.
    pub fn expire(&mut self, listed: impl Fn(&str) -> bool, now: Duration) {
        self.known.retain(|id, known| {
            let ttl = match known.rate {
                Some(_) if listed(id) => return true,
                Some(_) => UNLISTED_LIMIT_TTL,
                None => LIFTED_REPORT_TTL,
            };
            known.as_of + ttl > now
        });
    }

    /// Reports for other hosts.
    pub fn reports(&self, now: Duration) -> Vec<LimitReport> {
        let report = |(id, known): (&Rc<str>, &LimitState)| LimitReport {
            id: id.clone(),
            rate: known.rate,
            age: now.saturating_sub(known.as_of),
            wanted: known.wanted,
            returned: known.borrowed.iter().map(|permits| permits.remaining).sum(),
        };
        self.known.iter().map(report).collect()
    }

    /// Returns reports that request from another host the permits that were wanted since the last call. From
    /// now on the other host holds this host's share.
    pub fn request_permits(&mut self, now: Duration) -> Vec<LimitReport> {
        for known in self.known.values_mut() {
            known.borrowed.retain(|permits| permits.valid_until > now);
        }
        let requests = self.reports(now);
        self.requested_at = Some(now);
        for known in self.known.values_mut() {
            known.wanted = 0;
            known.borrowed.clear();
        }
        requests
    }

    /// Adds permits that another host has lent in answer to a call sent at `asked_at`.
    pub fn add_borrowed(&mut self, id: &str, permits: u32, asked_at: Duration) {
        if let Some(known) = self.known.get_mut(id).filter(|_| permits > 0) {
            known.borrowed.push_back(BorrowedPermits {
                remaining: permits,
                valid_until: asked_at + PERMIT_VALIDITY,
            });
        }
    }

    /// Takes back the permits that a host did not use, and lends it as many as it wants and the pool holds.
    pub fn lend(&mut self, request: &LimitReport, shares: PooledShares, now: Duration) -> u32 {
        let (id, wanted) = (&request.id, request.wanted);
        let is_borrowing = self.is_borrowing(now);
        let Some(known) = self.known.get_mut(id).filter(|k| k.rate.is_some()) else {
            return 0;
        };
        known.pool += f64::from(request.returned);
        known.refill(shares, is_borrowing, now);
        let lent = wanted.min(known.pool.max(0.0) as u32);
        known.pool -= f64::from(lent);
        lent
    }

    /// Acquires a permit of each of the endpoints that states a limit, or of none of them if one has no
    /// permit left.
    pub fn try_acquire(&mut self, ids: &[&Rc<str>], shares: PooledShares, now: Duration) -> bool {
        let is_borrowing = self.is_borrowing(now);
        let has = |id: &&Rc<str>| has_permit(&mut self.known, id, shares, is_borrowing, now);
        if !ids.iter().all(has) {
            return false;
        }
        let limited = |known: &&mut LimitState| known.rate.is_some();
        for id in ids {
            if let Some(known) = self.known.get_mut(*id).filter(limited) {
                known.wanted += 1;
                known.use_permit();
            }
        }
        true
    }

    /// Returns those eligible endpoints for which this host has no permit now, and counts a wanted permit for
    /// each.
    pub fn without_permit(
        &mut self,
        eligible: impl Fn(&str) -> bool,
        shares: PooledShares,
        now: Duration,
    ) -> Vec<Rc<str>> {
        let is_borrowing = self.is_borrowing(now);
        let mut without = Vec::new();
        let limited = self.known.iter_mut().filter(|(_, k)| k.rate.is_some());
        for (id, known) in limited.filter(|(id, _)| eligible(id)) {
            known.refill(shares, is_borrowing, now);
            if !known.has_permit(is_borrowing) {
                known.wanted += 1;
                without.push(id.clone());
            }
        }
        without
    }

    /// Whether another host holds this host's share.
    fn is_borrowing(&self, now: Duration) -> bool {
        self.requested_at
            .is_some_and(|at| at + POOLED_SHARE_TTL > now)
    }

    /// The limit that an endpoint states.
    pub fn rate(&self, id: &str) -> Option<RequestRate> {
        self.known.get(id)?.rate
    }

    /// Number of endpoints that state a limit.
    pub fn count(&self) -> usize {
        self.known.values().filter(|k| k.rate.is_some()).count()
    }

    /// Whether no limit is known, not even a lifted one.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Removes an endpoint that no longer exists.
    pub fn remove(&mut self, id: &str) {
        self.known.remove(id);
    }
}

fn has_permit(
    known: &mut FxHashMap<Rc<str>, LimitState>,
    id: &str,
    shares: PooledShares,
    is_borrowing: bool,
    now: Duration,
) -> bool {
    let Some(known) = known.get_mut(id).filter(|k| k.rate.is_some()) else {
        return true;
    };
    known.refill(shares, is_borrowing, now);
    known.has_permit(is_borrowing)
}
