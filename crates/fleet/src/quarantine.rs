//! Requests that are held back, as endpoints have ended under them.
//!
//! A request that crashes whatever runs it must not go from endpoint to endpoint: with each break off all
//! requests that run there. One end proves nothing, as all that ran there saw it; a request under which
//! several starts of endpoints ended one after the other, and which none has answered meanwhile, is held:
//! no host sends it any more.
//!
//! Callers that ask for the same have the same request, and may have many under way when a service loses
//! its power. What was answered a moment ago is not what ends endpoints: nothing counts against it.
//!
//! It comes back as attempts with ids of their own, at any host, so that what one host has seen is told to
//! all ([`Quarantine::changes_since`], [`Quarantine::told`]), and holds are kept where they outlive the
//! process ([`Quarantine::to_keep`], [`Quarantine::found`]). In whatever order, and however often, hosts
//! tell each other the same, they come to hold the same requests.
//!
//! A hold lapses after a while, as nobody can show that an innocent request is one while it isn't sent.
//! After that a single end is enough, and the next hold is twice as long: of a request that goes on ending
//! endpoints each next one costs twice the time of the one before.

mod answered;
mod doubtful;
mod record;

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use self::{
    answered::Answered,
    doubtful::Doubtful,
    record::{Held, Moment, Record},
};
use crate::fingerprint::Fingerprint;

/// Requests that are remembered. Beyond that those are forgotten that were heard of longest ago and are
/// not held.
const MOST_REMEMBERED: usize = 1024;
/// Holds that are kept in one place: some 25 KB.
const MOST_KEPT: usize = 256;
/// How long before its own start this process can place what it is told.
const BEFORE_START: Duration = Duration::from_secs(30 * 24 * 3600);

/// A start of an endpoint that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// The start's id.
    pub endpoint: Rc<str>,
    /// How long ago.
    pub age: Duration,
}

/// A request that is held, or was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// How often it has been held by now, at least 1.
    pub times: u32,
    /// How long ago it began.
    pub age: Duration,
    /// How long it lasts from its beginning on.
    pub lasts: Duration,
}

/// A hold by a clock that outlives processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// When it began.
    pub since: Duration,
    /// When it lapses.
    pub until: Duration,
}

impl Hold {
    /// When it is by a clock that reads so now.
    pub fn span(&self, clock: Duration) -> Span {
        let since = clock.saturating_sub(self.age);
        Span {
            since,
            until: since + self.lasts,
        }
    }

    /// What it is when that clock reads so.
    pub fn of(times: u32, span: Span, clock: Duration) -> Self {
        Self {
            times,
            age: clock.saturating_sub(span.since),
            lasts: span.until.saturating_sub(span.since),
        }
    }

    /// For how long it lasts still; zero once it has lapsed.
    pub fn left(&self) -> Duration {
        self.lasts.saturating_sub(self.age)
    }
}

/// What a host knows of a request, as it tells others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// The request.
    pub request: Fingerprint,
    /// Ends that count towards its next hold.
    pub ends: Vec<End>,
    /// How long ago an endpoint last answered it, if one did since it was suspected first.
    pub survived: Option<Duration>,
    /// Its hold.
    pub hold: Option<Hold>,
}

/// A hold, as it is kept for the process that starts next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kept {
    /// The request.
    pub request: Fingerprint,
    /// Its hold.
    pub hold: Hold,
}

/// A state of what is to be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct KeepMark(u64);

/// The requests that a host knows of under which endpoints have ended.
#[derive(Debug)]
pub struct Quarantine {
    /// How long the first hold of a request lasts.
    first: Duration,
    records: FxHashMap<Fingerprint, Record>,
    doubtful: Doubtful,
    answered: Answered,
    /// Grows with each change.
    version: u64,
    /// Grows with each change of what is to be kept.
    keep: KeepMark,
    kept: KeepMark,
}

impl Quarantine {
    /// Knows of none. A request is held for so long the first time.
    pub fn new(first: Duration) -> Self {
        Self {
            first,
            records: FxHashMap::default(),
            doubtful: Doubtful::default(),
            answered: Answered::default(),
            version: 0,
            keep: KeepMark::default(),
            kept: KeepMark::default(),
        }
    }

    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// For how long still a request is held; `None` if it may be sent.
    pub fn held(&self, request: &Fingerprint, now: Duration) -> Option<Duration> {
        let now = moment(now);
        let held = self.records.get(request)?.held?;
        Some(held.span.until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// How many requests are held.
    pub fn held_now(&self, now: Duration) -> usize {
        let now = moment(now);
        self.records.values().filter(|r| r.is_held(now)).count()
    }

    /// A start of an endpoint has ended while it ran a request; gives the hold that begins with that.
    pub fn ended(
        &mut self,
        request: Fingerprint,
        endpoint: &Rc<str>,
        now: Duration,
    ) -> Option<Hold> {
        let now = moment(now);
        self.forget(now);
        if self.answered.contains(&request, now) {
            return None;
        }
        let first = self.first;
        let record = self.remembered(request, now);
        if !record.end(endpoint, now) {
            return None;
        }
        let begins = record.hold(first, now);
        let held = record.held.filter(|_| begins);
        self.changed(&request);
        let held = held?;
        self.keep.0 += 1;
        Some(held.spelled(now))
    }

    /// A request's run broke off at a start of an endpoint, and whether that has ended is not known yet.
    pub fn broke_off(&mut self, request: Fingerprint, endpoint: &Rc<str>, now: Duration) {
        self.doubtful.note(request, endpoint, moment(now));
    }

    /// A start of an endpoint is known to have ended: gives the requests whose runs broke off there a
    /// moment ago, and under which it has ended.
    pub fn over(&mut self, endpoint: &str, now: Duration) -> Vec<Fingerprint> {
        self.doubtful.over(endpoint, moment(now))
    }

    /// An endpoint has answered a request; true if it was held.
    pub fn survived(&mut self, request: &Fingerprint, now: Duration) -> bool {
        let now = moment(now);
        self.answered.note(*request, now);
        self.doubtful.answered(request);
        let Some(record) = self.records.get_mut(request) else {
            return false;
        };
        if record.ends.is_empty() && record.held.is_none() {
            return false;
        }
        let held = record.held;
        record.survive(now);
        self.changed(request);
        self.keep.0 += u64::from(held.is_some_and(|h| h.own));
        held.is_some_and(|h| h.span.until > now)
    }

    /// Grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What has changed since a version of this host's.
    pub fn changes_since(&self, version: u64, now: Duration) -> Vec<Told> {
        let now = moment(now);
        let changed = self.records.iter().filter(|(_, r)| r.changed > version);
        let told = changed.map(|(request, record)| Told {
            request: *request,
            ends: record.ends.iter().map(|e| e.spelled(now)).collect(),
            survived: record.survived.map(|at| now.saturating_sub(at)),
            hold: record.held.map(|held| held.spelled(now)),
        });
        told.collect()
    }

    /// Takes what another host tells; gives the requests that are held from now on.
    pub fn told(&mut self, news: Vec<Told>, now: Duration) -> Vec<Fingerprint> {
        let now = moment(now);
        self.forget(now);
        let requests = news.iter().map(|told| told.request);
        let free: Vec<Fingerprint> = requests.filter(|r| !self.is_held(r, now)).collect();
        news.iter().for_each(|told| self.take(told, now));
        self.held_of(free, now)
    }

    /// Those of some requests that are held.
    fn held_of(&self, mut requests: Vec<Fingerprint>, now: Moment) -> Vec<Fingerprint> {
        requests.retain(|request| self.is_held(request, now));
        requests
    }

    fn take(&mut self, told: &Told, now: Moment) {
        let unknown = !self.records.contains_key(&told.request);
        if unknown && told.ends.is_empty() && told.hold.is_none() {
            return;
        }
        let first = self.first;
        let record = self.remembered(told.request, now);
        let own = record.held.is_some_and(|h| h.own);
        let survived = told.survived.map(|age| before(now, age));
        let hold = told.hold.map(|hold| Held::placed(hold, now, false));
        let mut changed = survived.is_some_and(|at| record.take_survival(at));
        changed |= hold.is_some_and(|hold| record.take_hold(hold));
        for end in &told.ends {
            changed |= record.end(&end.endpoint, before(now, end.age));
        }
        let begins = record.hold(first, now);
        let kept = record.held.filter(|h| h.own);
        if changed || begins {
            self.changed(&told.request);
        }
        if begins || own != kept.is_some() {
            self.keep.0 += 1;
        }
    }

    /// The holds that this host found, or a process before it, and that last: the newest ones.
    pub fn to_keep(&self, now: Duration) -> (KeepMark, Vec<Kept>) {
        let now = moment(now);
        let held = self.records.iter().filter(|(_, r)| r.is_held(now));
        let own = held.filter_map(|(request, r)| Some((request, r.held.filter(|h| h.own)?)));
        let mut kept: Vec<(Moment, Kept)> = own
            .map(|(request, held)| {
                let hold = held.spelled(now);
                let request = *request;
                (held.span.since, Kept { request, hold })
            })
            .collect();
        kept.sort_by_key(|(since, kept)| (std::cmp::Reverse(*since), kept.request));
        kept.truncate(MOST_KEPT);
        (self.keep, kept.into_iter().map(|(_, kept)| kept).collect())
    }

    /// What was to be kept has been.
    pub fn kept(&mut self, mark: KeepMark) {
        self.kept = self.kept.max(mark);
    }

    /// Whether what is to be kept has changed since.
    pub fn keep_due(&self) -> bool {
        self.keep > self.kept
    }

    /// Takes what a host has kept; `own` if that was this one. Gives the requests that are held from now
    /// on.
    pub fn found(&mut self, kept: Vec<Kept>, own: bool, now: Duration) -> Vec<Fingerprint> {
        let now = moment(now);
        let lasting = || kept.iter().filter(|kept| !kept.hold.left().is_zero());
        let requests = lasting().map(|kept| kept.request);
        let free: Vec<Fingerprint> = requests.filter(|r| !self.is_held(r, now)).collect();
        for Kept { request, hold } in lasting() {
            let record = self.remembered(*request, now);
            if record.take_hold(Held::placed(*hold, now, own)) {
                self.changed(request);
            }
        }
        self.held_of(free, now)
    }

    /// What is known of a request, which is heard of now.
    fn remembered(&mut self, request: Fingerprint, now: Moment) -> &mut Record {
        if !self.records.contains_key(&request) {
            self.make_room(now);
        }
        let record = self.records.entry(request).or_default();
        record.heard = now;
        record
    }

    fn is_held(&self, request: &Fingerprint, now: Moment) -> bool {
        self.records.get(request).is_some_and(|r| r.is_held(now))
    }

    fn changed(&mut self, request: &Fingerprint) {
        self.version += 1;
        if let Some(record) = self.records.get_mut(request) {
            record.changed = self.version;
        }
    }

    /// Forgets what has been quiet for as long as its last hold, or as the first hold of any.
    fn forget(&mut self, now: Moment) {
        let first = self.first;
        self.records.retain(|_, r| {
            let long = r
                .held
                .map_or(first, |h| h.span.until.saturating_sub(h.span.since));
            r.heard.max(r.settled().unwrap_or_default()) + long > now
        });
    }

    /// Forgets a request where too many are remembered.
    fn make_room(&mut self, now: Moment) {
        if self.records.len() < MOST_REMEMBERED {
            return;
        }
        let free = self.records.iter().filter(|(_, r)| !r.is_held(now));
        let oldest = free.min_by_key(|(request, r)| (r.heard, **request));
        // Where all are held, the hold that lapses first gives way.
        let first = || self.records.iter().min_by_key(|(_, r)| r.settled());
        let forgotten = oldest.or_else(first).map(|(request, _)| *request);
        forgotten.map(|request| self.records.remove(&request));
    }
}

fn moment(now: Duration) -> Moment {
    now + BEFORE_START
}

fn before(now: Moment, age: Duration) -> Moment {
    now.saturating_sub(age)
}
