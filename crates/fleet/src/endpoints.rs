//! The endpoints that are known, and which of them may get new work.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{
    incarnations::{Born, Incarnations, Verdict},
    layers::LayerRange,
};

/// One start of an endpoint, as the platform's list shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Names this start, see [`crate::incarnations::id`].
    pub id: Rc<str>,
    /// The endpoint's own name, which it may have had before.
    pub name: Rc<str>,
    /// When it started, if it says so.
    pub born: Option<Born>,
    /// The service it serves.
    pub service: Rc<str>,
    /// Where it listens. Used again by other endpoints after this one has ended.
    pub addr: SocketAddr,
    /// Where it is.
    pub data_centre: Rc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// It has said that it is leaving.
    pub leaving: bool,
    /// The kind of its accelerator, where it holds layers of a model.
    pub accelerator: Option<Rc<str>>,
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
}

/// How long an endpoint is avoided after the first of a run of failures.
const FIRST_AVOID: Duration = Duration::from_millis(400);
/// The longest that an endpoint is avoided: the pace of probing one that stays bad.
const LONGEST_AVOID: Duration = Duration::from_secs(3);

/// How long an endpoint that does not answer at all is avoided: it is asked again several times
/// meanwhile, so that it gets nothing until it answers or is no longer listed.
const LOST_AVOID: Duration = Duration::from_millis(2000);

/// How long what an endpoint said of its pace is taken to hold: it is asked again meanwhile.
const PACE_AGE: Duration = Duration::from_millis(2500);
/// An endpoint that is slower than this many times counts as slow; the rest is chance.
const SLOW: f64 = 1.5;

/// Endpoints that went which are remembered one by one.
const MOST_REMOVED: usize = 256;
/// Places in the store's history that are remembered: one a second, for about the time for which the
/// store keeps its own.
const MOST_MARKS: usize = 64;

/// Errors in a row from which on an endpoint is avoided.
const ERRORS_IN_A_ROW: u32 = 2;

/// What this host has seen of an endpoint itself.
#[derive(Debug, Clone, Default)]
struct Seen {
    /// Failures in a row.
    failures: u32,
    /// Answers of its own that were errors, in a row.
    errors: u32,
    /// No new work before then, if others can take it.
    avoid_until: Duration,
    /// It does not answer when it is asked.
    lost: bool,
    /// How many times slower than its accelerator should be it said it is, and until when that
    /// holds.
    slow: Option<(f64, Duration)>,
    /// Requests of this host that are at it.
    in_flight: u32,
}

/// An endpoint that gets no new work for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Avoided {
    /// The endpoint's id.
    pub id: Rc<str>,
    /// For how long still.
    pub left: Duration,
}

/// What an entry has changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Put {
    /// Nothing but its place in time.
    Nothing,
    /// The endpoint is new, or is another than it was.
    Listed,
    /// The endpoint is new, and these have ended: former starts of it, or what listened where it does.
    InPlaceOf(Vec<Rc<Endpoint>>),
    /// The endpoint was gone and is listed again. It may have been cut off; or its last entry was on
    /// its way for long, and it is gone indeed. It counts as lost until it answers.
    Returned,
    /// Nothing: the entry speaks of a start that is over.
    Late,
    /// The entry leaves out the start that this endpoint always says: it is not its own. The endpoint
    /// is not used any more, until an entry of its own comes.
    Foreign,
}

/// All endpoints that are known.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: FxHashMap<Rc<str>, Rc<Endpoint>>,
    seen: FxHashMap<Rc<str>, Seen>,
    /// Until when endpoints are avoided because they failed other hosts nearby.
    told: FxHashMap<Rc<str>, Duration>,
    /// Grows whenever chains may have changed.
    generation: u64,
    /// Grows with each change of the list.
    list_version: u64,
    /// Places in the store's history up to which the list was known, in order, and its version then.
    marks: VecDeque<(u64, u64)>,
    /// The change with which each endpoint became what it is.
    changed_at: FxHashMap<Rc<str>, u64>,
    /// The last endpoints that went, with the change of each.
    removed: VecDeque<(u64, Rc<Endpoint>)>,
    /// Starts that are known to have ended, of those.
    over: FxHashSet<Rc<str>>,
    incarnations: Incarnations,
    /// Changes up to this one can't be told one by one.
    forgotten: u64,
}

/// How many endpoints are in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct States {
    /// They may get new work.
    pub usable: i64,
    /// They failed, and get none for a moment.
    pub avoided: i64,
    /// They have said that they are leaving.
    pub leaving: i64,
}

/// What has changed in a list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ListChanges {
    /// The newest change.
    pub version: u64,
    /// These are all there are.
    pub whole: bool,
    /// New and changed ones.
    pub changed: Vec<Rc<Endpoint>>,
    /// Ids of those that are gone.
    pub removed: Vec<Rc<str>>,
}

impl Directory {
    /// Grows whenever an endpoint comes, goes, changes or begins to be avoided.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// All endpoints, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }

    /// The endpoint of that id.
    pub fn get(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// The start that is listed under an endpoint's name.
    pub fn named(&self, name: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(self.incarnations.current(name)?)
    }

    /// Whether a start of an endpoint is known to have ended, because another one has taken its place.
    /// What ran there is lost.
    pub fn is_over(&self, id: &str) -> bool {
        self.over.contains(id)
    }

    /// Takes a new or changed entry.
    ///
    /// A start that was leaving stays so. One that was gone must answer before it gets anything:
    /// entries that a cut link held up come when the endpoint has long ended, and name it for seconds.
    pub fn put(&mut self, mut endpoint: Endpoint, now: Duration) -> Put {
        let (over, returned) = match self.incarnations.judge(&endpoint) {
            Verdict::Holds { over, returned } => (over, returned),
            Verdict::Late => return Put::Late,
            Verdict::Foreign => {
                let listed = self.incarnations.current(&endpoint.name).cloned();
                listed.and_then(|id| self.remove(&id));
                return Put::Foreign;
            }
        };
        let known = self.endpoints.get(&endpoint.id);
        endpoint.leaving |= known.is_some_and(|old| old.leaving);
        if known.is_some_and(|old| **old == endpoint) {
            return Put::Nothing;
        }
        let over: Vec<Rc<Endpoint>> = over.iter().filter_map(|id| self.supersede(id)).collect();
        self.generation += 1;
        self.list_version += 1;
        let id = endpoint.id.clone();
        self.changed_at.insert(id.clone(), self.list_version);
        self.incarnations.listed(&endpoint);
        // Only engines can be asked without doing anything.
        let asked = returned && endpoint.accelerator.is_some();
        self.endpoints.insert(id.clone(), Rc::new(endpoint));
        if asked {
            self.lost(&id, now);
            return Put::Returned;
        }
        match over.is_empty() {
            true => Put::Listed,
            false => Put::InPlaceOf(over),
        }
    }

    /// A start has ended, as another one has taken its place.
    fn supersede(&mut self, id: &Rc<str>) -> Option<Rc<Endpoint>> {
        let ended = self.remove(id)?;
        self.over.insert(id.clone());
        Some(ended)
    }

    /// Forgets an endpoint that is gone.
    pub fn remove(&mut self, id: &str) -> Option<Rc<Endpoint>> {
        let gone = self.endpoints.remove(id)?;
        self.seen.remove(id);
        self.changed_at.remove(id);
        self.incarnations.removed(&gone);
        self.generation += 1;
        self.list_version += 1;
        self.removed.push_back((self.list_version, gone.clone()));
        if self.removed.len() > MOST_REMOVED
            && let Some((version, endpoint)) = self.removed.pop_front()
        {
            self.forgotten = version;
            self.over.remove(&endpoint.id);
            self.incarnations.forget(&endpoint);
        }
        Some(gone)
    }

    /// All changes of the store up to `mark` are known now.
    pub fn known_up_to(&mut self, mark: u64) {
        if self.marks.back().is_some_and(|(known, _)| *known >= mark) {
            return;
        }
        self.marks.push_back((mark, self.list_version));
        if self.marks.len() > MOST_MARKS {
            self.marks.pop_front();
        }
    }

    /// The version of the list at a place in the store's history, or before; `None` if that is too long
    /// ago.
    pub fn version_at(&self, mark: u64) -> Option<u64> {
        let before = self.marks.iter().rev().find(|(known, _)| *known <= mark);
        before.map(|(_, version)| *version)
    }

    /// What has changed in the list since `version`; all of it for one that is not known.
    pub fn changes_since(&self, version: Option<u64>) -> ListChanges {
        let known = version.filter(|v| *v >= self.forgotten && *v <= self.list_version);
        let after = known.unwrap_or(0);
        let changed = self.changed_at.iter().filter(|(_, at)| **at > after);
        let removed = self.removed.iter().filter(|(at, _)| *at > after);
        ListChanges {
            version: self.list_version,
            whole: known.is_none(),
            changed: changed.map(|(id, _)| self.endpoints[id].clone()).collect(),
            removed: match known {
                Some(_) => removed.map(|(_, e)| e.id.clone()).collect(),
                None => Vec::new(),
            },
        }
    }

    /// The ids of all endpoints but those of the names given.
    pub fn others<'a>(&self, but: impl Iterator<Item = &'a str>) -> Vec<Rc<str>> {
        let but: FxHashSet<&str> = but.collect();
        let others = self.iter().filter(|e| !but.contains(&*e.name));
        others.map(|e| e.id.clone()).collect()
    }

    /// How many endpoints there are in each state.
    pub fn states(&self, now: Duration) -> States {
        let mut states = States::default();
        for endpoint in self.endpoints.values() {
            match (endpoint.leaving, self.usable(&endpoint.id, now)) {
                (true, _) => states.leaving += 1,
                (false, true) => states.usable += 1,
                (false, false) => states.avoided += 1,
            }
        }
        states
    }

    /// Whether an endpoint may get new work.
    pub fn usable(&self, id: &str, now: Duration) -> bool {
        let listed = self.endpoints.get(id).is_some_and(|e| !e.leaving);
        let avoided_until = self.seen.get(id).map(|s| s.avoid_until);
        let told_until = self.told.get(id).copied();
        listed && avoided_until.max(told_until).is_none_or(|t| t <= now)
    }

    /// What is avoided by what this host saw itself, and for how long still.
    pub fn avoided(&self, now: Duration) -> Vec<Avoided> {
        let listed = self.seen.iter().filter(|(id, _)| self.listed(id));
        let avoided = listed.map(|(id, seen)| Avoided {
            id: id.clone(),
            left: seen.avoid_until.saturating_sub(now),
        });
        avoided.filter(|a| !a.left.is_zero()).collect()
    }

    /// Other hosts nearby avoid just these, for so long still: what failed them fails this one too.
    ///
    /// What they no longer tell is no longer avoided on their account.
    pub fn told_avoided(&mut self, told: Vec<Avoided>, now: Duration) {
        let mut before = std::mem::take(&mut self.told);
        before.retain(|_, until| *until > now);
        for Avoided { id, left } in told {
            let until = now + left.min(LONGEST_AVOID);
            let known = self.told.entry(id).or_default();
            *known = until.max(*known);
        }
        let same =
            before.len() == self.told.len() && self.told.keys().all(|id| before.contains_key(id));
        if !same {
            self.generation += 1;
        }
    }

    /// Whether an endpoint is listed and has not said that it is leaving.
    pub fn listed(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|e| !e.leaving)
    }

    /// An endpoint failed, or refused what it should have taken.
    pub fn failed(&mut self, id: &str, now: Duration) {
        if !self.endpoints.contains_key(id) {
            return;
        }
        let seen = self.seen.entry(Rc::from(id)).or_default();
        let doubled = FIRST_AVOID * 2u32.saturating_pow(seen.failures.min(8));
        seen.failures += 1;
        seen.avoid_until = now + doubled.min(LONGEST_AVOID);
        self.generation += 1;
    }

    /// An endpoint does not answer when it is asked; true if that is new.
    pub fn lost(&mut self, id: &str, now: Duration) -> bool {
        if !self.endpoints.contains_key(id) {
            return false;
        }
        let seen = self.seen.entry(Rc::from(id)).or_default();
        let new = !std::mem::replace(&mut seen.lost, true);
        seen.failures = seen.failures.max(1);
        let until = now + LOST_AVOID;
        let avoided = seen.avoid_until > now;
        seen.avoid_until = until.max(seen.avoid_until);
        self.generation += u64::from(!avoided);
        new
    }

    /// An endpoint said how many times slower than its accelerator should be it is; true if it is
    /// slow and was not before.
    pub fn paced(&mut self, id: &str, pace: f64, now: Duration) -> bool {
        if !self.endpoints.contains_key(id) {
            return false;
        }
        let before = self.pace(id, now);
        let seen = self.seen.entry(Rc::from(id)).or_default();
        seen.slow = (pace >= SLOW).then_some((pace, now + PACE_AGE));
        let after = self.pace(id, now);
        // Small changes are not worth chains that are found anew.
        let changed = after / before >= SLOW || before / after >= SLOW;
        self.generation += u64::from(changed);
        after > 1.0 && before <= 1.0
    }

    /// How many times slower than its accelerator should be an endpoint is, as far as is known.
    pub fn pace(&self, id: &str, now: Duration) -> f64 {
        let slow = self.seen.get(id).and_then(|s| s.slow);
        slow.filter(|(_, until)| *until > now)
            .map_or(1.0, |(pace, _)| pace)
    }

    /// Whether an endpoint did not answer when it was last asked.
    pub fn is_lost(&self, id: &str) -> bool {
        self.seen.get(id).is_some_and(|s| s.lost)
    }

    /// An endpoint answered with an error of its own. One may lie in the request; several in a row
    /// count as a failure, as an endpoint that fails fast draws the more requests for it.
    pub fn erred(&mut self, id: &str, now: Duration) {
        if !self.endpoints.contains_key(id) {
            return;
        }
        let seen = self.seen.entry(Rc::from(id)).or_default();
        seen.errors += 1;
        if seen.errors >= ERRORS_IN_A_ROW {
            self.failed(id, now);
        }
    }

    /// An endpoint answered well.
    pub fn succeeded(&mut self, id: &str) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.errors = 0;
        }
        if let Some(seen) = self.seen.get_mut(id).filter(|s| s.failures > 0) {
            seen.failures = 0;
            seen.lost = false;
            seen.avoid_until = Duration::ZERO;
            self.generation += 1;
        }
    }

    /// When the next endpoint stops being avoided, or being taken to be slow.
    pub fn next_return(&self, now: Duration) -> Option<Duration> {
        let seen = self.seen.values().map(|s| s.avoid_until);
        let slow = self.seen.values().filter_map(|s| s.slow);
        let seen = seen.chain(slow.map(|(_, until)| until));
        let later = seen.chain(self.told.values().copied());
        later.filter(|t| *t > now).min()
    }

    /// A request of this host has gone to an endpoint.
    pub fn begin(&mut self, id: &str) {
        self.seen.entry(Rc::from(id)).or_default().in_flight += 1;
    }

    /// A request of this host has left an endpoint.
    pub fn end(&mut self, id: &str) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }

    /// Requests of this host at an endpoint.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.seen.get(id).map_or(0, |s| s.in_flight)
    }

    /// The endpoint of a plain service for one request: the least busy, near ones first.
    ///
    /// An endpoint that is avoided is taken only if there is no other.
    pub fn pick(
        &self,
        service: &str,
        data_centre: &str,
        tried: &[Rc<str>],
        now: Duration,
    ) -> Option<Rc<Endpoint>> {
        let fits = |e: &&Rc<Endpoint>| {
            &*e.service == service && !e.leaving && !tried.iter().any(|t| *t == e.id)
        };
        let rank = |e: &Rc<Endpoint>| {
            let avoided = !self.usable(&e.id, now);
            // A whole queue's length of its own is worth a way to another data centre.
            let load = self.in_flight(&e.id) / e.slots.max(1);
            let far = *e.data_centre != *data_centre;
            (avoided, load, far, self.in_flight(&e.id), e.id.clone())
        };
        self.iter().filter(fits).min_by_key(|e| rank(e)).cloned()
    }
}
