//! How many requests a second endpoints take from all hosts together, where they say so.
//!
//! An endpoint in need names its limit in its answers, for as long as the limit stands. Hosts tell each other what
//! they know of it; of two accounts the newer one holds.
//!
//! Each host has an even share of the limit. A share may be far less than a request in the time for which permits are
//! worth keeping, so that shares are pooled: the host that others of a data centre ask for news holds the shares of all
//! that ask it, and lends permits by what they want, with the calls that are made anyway. It takes a permit out of its
//! pool before it lends it, so that a lost answer wastes it and no more. A host that asks has no pool of its own share
//! meanwhile. Thus the pools of all hosts together fill at the rate of the limit, whoever can reach whom, and a
//! data centre that is cut off keeps the shares of its own hosts.
//!
//! In any window the endpoint so gets at most what it takes in the window, in the time for which a pool fills and in that
//! for which a permit is good, and one request more for each pool.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

/// How long a permit that was lent may be used: until the next call, which gives it back.
const VALID: Duration = Duration::from_millis(350);
/// For how long a pool fills at most.
const FILL: Duration = Duration::from_secs(1);
/// How long the share of a host that has asked another one stays in the pool of that one.
pub const POOLED_FOR: Duration = Duration::from_millis(1500);
/// An endpoint that takes less still gets so much: its answers are what shows that it takes more again.
const LEAST_PER_S: f64 = 0.25;
/// For how long other hosts are told that an endpoint no longer names a limit; they hear of it within a second.
const LIFT_TOLD: Duration = Duration::from_secs(10);
/// For how long the limit of an endpoint that is not listed is kept: it may be listed again, as the one it was.
const KEPT_UNLISTED: Duration = Duration::from_secs(60);
/// Two accounts of an endpoint that are no further apart count as of the same moment: calls between hosts take time.
const SAME_MOMENT: Duration = Duration::from_millis(50);

/// Requests a second. Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// A number that is no rate.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} is no rate of requests")]
pub struct NoRate(f64);

impl TryFrom<f64> for RequestRate {
    type Error = NoRate;

    fn try_from(per_s: f64) -> Result<Self, NoRate> {
        match per_s.is_finite() && per_s >= 0.0 {
            true => Ok(Self(per_s)),
            false => Err(NoRate(per_s)),
        }
    }
}

impl RequestRate {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

/// What an account of an endpoint has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The endpoint names this limit, and named another one or none before.
    Named(RequestRate),
    /// It names none any more.
    Lifted,
}

/// What a host tells others of an endpoint's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The endpoint's id.
    pub id: Rc<str>,
    /// Its limit; `None` if it names none any more.
    pub rate: Option<RequestRate>,
    /// How long ago an answer showed it.
    pub age: Duration,
    /// Requests that this host's callers wanted to send there since it last told; a host that asks wants as many
    /// permits.
    pub wanted: u32,
    /// Permits that this host gives back.
    pub returned: u32,
}

/// The shares that a host's pools hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shares {
    /// Hosts that have asked this one within [`POOLED_FOR`].
    pub asked_by: u32,
    /// All hosts; `None` until that is known: there are no permits then.
    pub hosts: Option<u32>,
}

/// Permits of this host.
#[derive(Debug, Clone, Copy)]
struct Lent {
    left: u32,
    until: Duration,
}

/// What is known of an endpoint's limit.
#[derive(Debug, Clone)]
struct Known {
    /// `None` once the endpoint names none any more.
    rate: Option<RequestRate>,
    /// When an answer showed it.
    as_of: Duration,
    /// Permits in the pool, at `filled_at`.
    pool: f64,
    filled_at: Duration,
    /// Permits that another host has lent, the oldest first.
    lent: VecDeque<Lent>,
    /// Requests that wanted a permit since other hosts were last told.
    wanted: u32,
}

impl Known {
    fn new(rate: Option<RequestRate>, as_of: Duration) -> Self {
        Self {
            rate,
            as_of,
            pool: 0.0,
            filled_at: as_of,
            lent: VecDeque::new(),
            wanted: 0,
        }
    }

    /// Brings the pool and what was lent up to date.
    fn refill(&mut self, shares: Shares, borrows: bool, now: Duration) {
        let since = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.lent.retain(|lent| lent.left > 0 && lent.until > now);
        let (Some(rate), Some(hosts)) = (self.rate, shares.hosts) else {
            self.pool = 0.0;
            return;
        };
        let own = u32::from(!borrows);
        let part = f64::from(shares.asked_by + own) / f64::from(hosts.max(1));
        let per_s = rate.per_s().max(LEAST_PER_S) * part.min(1.0);
        let most = match per_s > 0.0 {
            true => (per_s * FILL.as_secs_f64()).max(1.0),
            false => 0.0,
        };
        self.pool = (self.pool + since * per_s).min(most);
    }

    fn has_permit(&self, borrows: bool) -> bool {
        !self.lent.is_empty() || (!borrows && self.pool >= 1.0)
    }

    fn take(&mut self) {
        match self.lent.front_mut() {
            Some(lent) => lent.left -= 1,
            None => self.pool -= 1.0,
        }
        self.lent.retain(|lent| lent.left > 0);
    }
}

/// The limits that endpoints name, by the endpoint's id.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    known: FxHashMap<Rc<str>, Known>,
    /// When this host last asked another one for permits, or could have.
    asked_at: Option<Duration>,
}

impl EndpointLimits {
    /// An endpoint has named this limit, or none, in an answer that came at `as_of`.
    pub fn named(
        &mut self,
        id: &Rc<str>,
        rate: Option<RequestRate>,
        as_of: Duration,
    ) -> Option<Change> {
        let Some(known) = self.known.get_mut(id) else {
            let rate = rate?;
            self.known.insert(id.clone(), Known::new(Some(rate), as_of));
            return Some(Change::Named(rate));
        };
        known.as_of = known.as_of.max(as_of);
        let before = std::mem::replace(&mut known.rate, rate);
        match rate {
            _ if rate == before => None,
            Some(rate) => Some(Change::Named(rate)),
            None => Some(Change::Lifted),
        }
    }

    /// Another host has told of an endpoint, of which an answer showed it at `as_of`.
    pub fn told(
        &mut self,
        id: &Rc<str>,
        rate: Option<RequestRate>,
        as_of: Duration,
    ) -> Option<Change> {
        let newer = |known: &Known| as_of > known.as_of + SAME_MOMENT;
        let newest = self.known.get(id).is_none_or(newer);
        newest.then(|| self.named(id, rate, as_of))?
    }

    /// Forgets what is over: lifted limits that others have heard of, and those of endpoints that have long not been
    /// listed.
    pub fn expire(&mut self, listed: impl Fn(&str) -> bool, now: Duration) {
        self.known.retain(|id, known| {
            let kept = match known.rate {
                Some(_) if listed(id) => return true,
                Some(_) => KEPT_UNLISTED,
                None => LIFT_TOLD,
            };
            known.as_of + kept > now
        });
    }

    /// What other hosts are told.
    pub fn to_tell(&self, now: Duration) -> Vec<Account> {
        let account = |(id, known): (&Rc<str>, &Known)| Account {
            id: id.clone(),
            rate: known.rate,
            age: now.saturating_sub(known.as_of),
            wanted: known.wanted,
            returned: known.lent.iter().map(|lent| lent.left).sum(),
        };
        self.known.iter().map(account).collect()
    }

    /// Asks another host for the permits that requests wanted since the last time; it has this host's share from now
    /// on.
    pub fn ask(&mut self, now: Duration) -> Vec<Account> {
        for known in self.known.values_mut() {
            known.lent.retain(|lent| lent.until > now);
        }
        let asked = self.to_tell(now);
        self.asked_at = Some(now);
        for known in self.known.values_mut() {
            known.wanted = 0;
            known.lent.clear();
        }
        asked
    }

    /// Another host has lent permits, which was asked at `asked_at`.
    pub fn lent(&mut self, id: &str, permits: u32, asked_at: Duration) {
        if let Some(known) = self.known.get_mut(id).filter(|_| permits > 0) {
            known.lent.push_back(Lent {
                left: permits,
                until: asked_at + VALID,
            });
        }
    }

    /// Takes back what a host did not use, and lends it as many permits as it wants and are left.
    pub fn lend(&mut self, asked: &Account, shares: Shares, now: Duration) -> u32 {
        let (id, wanted) = (&asked.id, asked.wanted);
        let borrows = self.borrows(now);
        let Some(known) = self.known.get_mut(id).filter(|k| k.rate.is_some()) else {
            return 0;
        };
        known.pool += f64::from(asked.returned);
        known.refill(shares, borrows, now);
        let lent = wanted.min(known.pool.max(0.0) as u32);
        known.pool -= f64::from(lent);
        lent
    }

    /// Takes a permit of each of some endpoints that names a limit, and of none if one has none left.
    pub fn take(&mut self, ids: &[&Rc<str>], shares: Shares, now: Duration) -> bool {
        let borrows = self.borrows(now);
        let has = |id: &&Rc<str>| has_permit(&mut self.known, id, shares, borrows, now);
        if !ids.iter().all(has) {
            return false;
        }
        let limited = |known: &&mut Known| known.rate.is_some();
        for id in ids {
            if let Some(known) = self.known.get_mut(*id).filter(limited) {
                known.wanted += 1;
                known.take();
            }
        }
        true
    }

    /// The endpoints of whose limits this host has no permit now, of those that a request might go to.
    pub fn without_permit(
        &mut self,
        might: impl Fn(&str) -> bool,
        shares: Shares,
        now: Duration,
    ) -> Vec<Rc<str>> {
        let borrows = self.borrows(now);
        let mut without = Vec::new();
        let limited = self.known.iter_mut().filter(|(_, k)| k.rate.is_some());
        for (id, known) in limited.filter(|(id, _)| might(id)) {
            known.refill(shares, borrows, now);
            if !known.has_permit(borrows) {
                known.wanted += 1;
                without.push(id.clone());
            }
        }
        without
    }

    /// Whether another host has this one's share.
    fn borrows(&self, now: Duration) -> bool {
        self.asked_at.is_some_and(|at| at + POOLED_FOR > now)
    }

    /// The limit that an endpoint names.
    pub fn rate(&self, id: &str) -> Option<RequestRate> {
        self.known.get(id)?.rate
    }

    /// How many endpoints name a limit.
    pub fn count(&self) -> usize {
        self.known.values().filter(|k| k.rate.is_some()).count()
    }

    /// Whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, id: &str) {
        self.known.remove(id);
    }
}

fn has_permit(
    known: &mut FxHashMap<Rc<str>, Known>,
    id: &str,
    shares: Shares,
    borrows: bool,
    now: Duration,
) -> bool {
    let Some(known) = known.get_mut(id).filter(|k| k.rate.is_some()) else {
        return true;
    };
    known.refill(shares, borrows, now);
    known.has_permit(borrows)
}
