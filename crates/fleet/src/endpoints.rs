//! The endpoints that are known, and which of them may get new work.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{
    incarnations::{Incarnations, StartTime, Verdict},
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
    pub started_at: Option<StartTime>,
    /// The service it serves.
    pub service: Rc<str>,
    /// Where it listens. Used again by other endpoints after this one has ended.
    pub addr: SocketAddr,
    /// Where it is.
    pub data_centre: Rc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// It has said that it is leaving.
    pub draining: bool,
    /// The kind of its accelerator, where it holds layers of a model.
    pub accelerator: Option<Rc<str>>,
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
}

/// How long an endpoint is avoided after the first of a run of failures.
const MIN_AVOIDANCE: Duration = Duration::from_millis(400);
/// The longest that an endpoint is avoided: the pace of probing one that stays bad.
const MAX_AVOIDANCE: Duration = Duration::from_secs(3);

/// How long an endpoint that does not answer at all is avoided: it is asked again several times
/// meanwhile, so that it gets nothing until it answers or is no longer listed.
const UNRESPONSIVE_AVOIDANCE: Duration = Duration::from_millis(2000);

/// How long what an endpoint said of its pace is taken to hold: it is asked again meanwhile.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(2500);
/// An endpoint that is slower than this many times counts as slow; the rest is chance.
const MIN_SLOWDOWN_FACTOR: f64 = 1.5;

/// Endpoints that went which are remembered one by one.
const MAX_REMOVED: usize = 256;
/// Places in the store's history that are remembered: one a second, for about the time for which the
/// store keeps its own.
const MAX_REVISIONS: usize = 64;

/// Errors in a row from which on an endpoint is avoided.
const ERRORS_BEFORE_AVOIDANCE: u32 = 2;

/// What this host has seen of an endpoint itself.
#[derive(Debug, Clone, Default)]
struct Observations {
    /// Failures in a row.
    consecutive_failures: u32,
    /// Answers of its own that were errors, in a row.
    consecutive_errors: u32,
    /// No new work before then, if others can take it.
    avoid_until: Duration,
    /// It does not answer when it is asked.
    unresponsive: bool,
    /// How many times slower than its accelerator should be it said it is, and until when that
    /// holds.
    slowdown: Option<(f64, Duration)>,
    /// Requests of this host that are at it.
    in_flight: u32,
}

/// An endpoint that gets no new work for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AvoidedEndpoint {
    /// The endpoint's id.
    pub id: Rc<str>,
    /// For how long still.
    pub remaining: Duration,
}

/// What an entry has changed.
#[derive(Debug, Clone, PartialEq)]
pub enum PutOutcome {
    /// Nothing but its place in time.
    Unchanged,
    /// The endpoint is new, or is another than it was.
    Listed,
    /// The endpoint is new, and these have ended: former starts of it, or what listened where it does.
    Replaced(Vec<Rc<Endpoint>>),
    /// The endpoint was gone and is listed again. It may have been cut off; or its last entry was on
    /// its way for long, and it is gone indeed. It counts as lost until it answers.
    Relisted,
    /// Nothing: the entry speaks of a start that is over.
    Outdated,
    /// The entry leaves out the start that this endpoint always says: it is not its own. The endpoint
    /// is not used any more, until an entry of its own comes.
    Foreign,
}

/// All endpoints that are known.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: FxHashMap<Rc<str>, Rc<Endpoint>>,
    observations: FxHashMap<Rc<str>, Observations>,
    /// Until when endpoints are avoided because they failed other hosts nearby.
    peer_avoided: FxHashMap<Rc<str>, Duration>,
    /// Grows whenever chains may have changed.
    generation: u64,
    /// Grows with each change of the list.
    list_version: u64,
    /// Places in the store's history up to which the list was known, in order, and its version then.
    revisions: VecDeque<(u64, u64)>,
    /// The change with which each endpoint became what it is.
    changed_at: FxHashMap<Rc<str>, u64>,
    /// The last endpoints that went, with the change of each.
    removed: VecDeque<(u64, Rc<Endpoint>)>,
    /// Starts that are known to have ended, of those.
    superseded: FxHashSet<Rc<str>>,
    incarnations: Incarnations,
    /// Changes up to this one can't be told one by one.
    forgotten_version: u64,
}

/// How many endpoints are in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// They may get new work.
    pub usable: i64,
    /// They failed, and get none for a moment.
    pub avoided: i64,
    /// They have said that they are leaving.
    pub draining: i64,
}

/// What has changed in a list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ListChanges {
    /// The newest change.
    pub version: u64,
    /// These are all there are.
    pub complete: bool,
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
    pub fn by_name(&self, name: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(self.incarnations.current(name)?)
    }

    /// Whether a start of an endpoint is known to have ended, because another one has taken its place.
    /// What ran there is lost.
    pub fn has_ended(&self, id: &str) -> bool {
        self.superseded.contains(id)
    }

    /// Takes a new or changed entry.
    ///
    /// A start that was leaving stays so. One that was gone must answer before it gets anything:
    /// entries that a cut link held up come when the endpoint has long ended, and name it for seconds.
    pub fn put(&mut self, mut endpoint: Endpoint, now: Duration) -> PutOutcome {
        let (replaced, relisted) = match self.incarnations.classify(&endpoint) {
            Verdict::Current { replaced, relisted } => (replaced, relisted),
            Verdict::Outdated => return PutOutcome::Outdated,
            Verdict::Foreign => {
                let listed = self.incarnations.current(&endpoint.name).cloned();
                listed.and_then(|id| self.remove(&id));
                return PutOutcome::Foreign;
            }
        };
        let known = self.endpoints.get(&endpoint.id);
        endpoint.draining |= known.is_some_and(|old| old.draining);
        if known.is_some_and(|old| **old == endpoint) {
            return PutOutcome::Unchanged;
        }
        let replaced: Vec<Rc<Endpoint>> = replaced
            .iter()
            .filter_map(|id| self.supersede(id))
            .collect();
        self.generation += 1;
        self.list_version += 1;
        let id = endpoint.id.clone();
        self.changed_at.insert(id.clone(), self.list_version);
        self.incarnations.record_listed(&endpoint);
        // Only engines can be asked without doing anything.
        let needs_answer = relisted && endpoint.accelerator.is_some();
        self.endpoints.insert(id.clone(), Rc::new(endpoint));
        if needs_answer {
            self.record_unresponsive(&id, now);
            return PutOutcome::Relisted;
        }
        match replaced.is_empty() {
            true => PutOutcome::Listed,
            false => PutOutcome::Replaced(replaced),
        }
    }

    /// A start has ended, as another one has taken its place.
    fn supersede(&mut self, id: &Rc<str>) -> Option<Rc<Endpoint>> {
        let ended = self.remove(id)?;
        self.superseded.insert(id.clone());
        Some(ended)
    }

    /// Forgets an endpoint that is gone.
    pub fn remove(&mut self, id: &str) -> Option<Rc<Endpoint>> {
        let removed_endpoint = self.endpoints.remove(id)?;
        self.observations.remove(id);
        self.changed_at.remove(id);
        self.incarnations.record_removed(&removed_endpoint);
        self.generation += 1;
        self.list_version += 1;
        self.removed
            .push_back((self.list_version, removed_endpoint.clone()));
        if self.removed.len() > MAX_REMOVED
            && let Some((version, endpoint)) = self.removed.pop_front()
        {
            self.forgotten_version = version;
            self.superseded.remove(&endpoint.id);
            self.incarnations.forget(&endpoint);
        }
        Some(removed_endpoint)
    }

    /// All changes of the store up to `mark` are known now.
    pub fn record_revision(&mut self, revision: u64) {
        if self
            .revisions
            .back()
            .is_some_and(|(known, _)| *known >= revision)
        {
            return;
        }
        self.revisions.push_back((revision, self.list_version));
        if self.revisions.len() > MAX_REVISIONS {
            self.revisions.pop_front();
        }
    }

    /// The version of the list at a place in the store's history, or before; `None` if that is too long
    /// ago.
    pub fn version_at_revision(&self, revision: u64) -> Option<u64> {
        let before = self
            .revisions
            .iter()
            .rev()
            .find(|(known, _)| *known <= revision);
        before.map(|(_, version)| *version)
    }

    /// What has changed in the list since `version`; all of it for one that is not known.
    pub fn changes_since(&self, version: Option<u64>) -> ListChanges {
        let known = version.filter(|v| *v >= self.forgotten_version && *v <= self.list_version);
        let after = known.unwrap_or(0);
        let changed = self.changed_at.iter().filter(|(_, at)| **at > after);
        let removed = self.removed.iter().filter(|(at, _)| *at > after);
        ListChanges {
            version: self.list_version,
            complete: known.is_none(),
            changed: changed.map(|(id, _)| self.endpoints[id].clone()).collect(),
            removed: match known {
                Some(_) => removed.map(|(_, e)| e.id.clone()).collect(),
                None => Vec::new(),
            },
        }
    }

    /// The ids of all endpoints but those of the names given.
    pub fn ids_except<'a>(&self, excluded: impl Iterator<Item = &'a str>) -> Vec<Rc<str>> {
        let excluded: FxHashSet<&str> = excluded.collect();
        let others = self.iter().filter(|e| !excluded.contains(&*e.name));
        others.map(|e| e.id.clone()).collect()
    }

    /// How many endpoints there are in each state.
    pub fn counts(&self, now: Duration) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for endpoint in self.endpoints.values() {
            match (endpoint.draining, self.usable(&endpoint.id, now)) {
                (true, _) => counts.draining += 1,
                (false, true) => counts.usable += 1,
                (false, false) => counts.avoided += 1,
            }
        }
        counts
    }

    /// Whether an endpoint may get new work.
    pub fn usable(&self, id: &str, now: Duration) -> bool {
        let listed = self.endpoints.get(id).is_some_and(|e| !e.draining);
        let avoided_until = self.observations.get(id).map(|s| s.avoid_until);
        let peer_until = self.peer_avoided.get(id).copied();
        listed && avoided_until.max(peer_until).is_none_or(|t| t <= now)
    }

    /// What is avoided by what this host saw itself, and for how long still.
    pub fn avoided(&self, now: Duration) -> Vec<AvoidedEndpoint> {
        let listed = self
            .observations
            .iter()
            .filter(|(id, _)| self.is_active(id));
        let avoided = listed.map(|(id, seen)| AvoidedEndpoint {
            id: id.clone(),
            remaining: seen.avoid_until.saturating_sub(now),
        });
        avoided.filter(|a| !a.remaining.is_zero()).collect()
    }

    /// Other hosts nearby avoid just these, for so long still: what failed them fails this one too.
    ///
    /// What they no longer tell is no longer avoided on their account.
    pub fn apply_peer_avoided(&mut self, reported: Vec<AvoidedEndpoint>, now: Duration) {
        let mut before = std::mem::take(&mut self.peer_avoided);
        before.retain(|_, until| *until > now);
        for AvoidedEndpoint { id, remaining } in reported {
            let until = now + remaining.min(MAX_AVOIDANCE);
            let known = self.peer_avoided.entry(id).or_default();
            *known = until.max(*known);
        }
        let same = before.len() == self.peer_avoided.len()
            && self.peer_avoided.keys().all(|id| before.contains_key(id));
        if !same {
            self.generation += 1;
        }
    }

    /// Whether an endpoint is listed and has not said that it is leaving.
    pub fn is_active(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|e| !e.draining)
    }

    /// An endpoint failed, or refused what it should have taken.
    pub fn record_failure(&mut self, id: &str, now: Duration) {
        if !self.endpoints.contains_key(id) {
            return;
        }
        let seen = self.observations.entry(Rc::from(id)).or_default();
        let doubled = MIN_AVOIDANCE * 2u32.saturating_pow(seen.consecutive_failures.min(8));
        seen.consecutive_failures += 1;
        seen.avoid_until = now + doubled.min(MAX_AVOIDANCE);
        self.generation += 1;
    }

    /// An endpoint does not answer when it is asked; true if that is new.
    pub fn record_unresponsive(&mut self, id: &str, now: Duration) -> bool {
        if !self.endpoints.contains_key(id) {
            return false;
        }
        let seen = self.observations.entry(Rc::from(id)).or_default();
        let new = !std::mem::replace(&mut seen.unresponsive, true);
        seen.consecutive_failures = seen.consecutive_failures.max(1);
        let until = now + UNRESPONSIVE_AVOIDANCE;
        let avoided = seen.avoid_until > now;
        seen.avoid_until = until.max(seen.avoid_until);
        self.generation += u64::from(!avoided);
        new
    }

    /// An endpoint said how many times slower than its accelerator should be it is; true if it is
    /// slow and was not before.
    pub fn record_slowdown(&mut self, id: &str, factor: f64, now: Duration) -> bool {
        if !self.endpoints.contains_key(id) {
            return false;
        }
        let before = self.slowdown_factor(id, now);
        let seen = self.observations.entry(Rc::from(id)).or_default();
        seen.slowdown = (factor >= MIN_SLOWDOWN_FACTOR).then_some((factor, now + MAX_SLOWDOWN_AGE));
        let after = self.slowdown_factor(id, now);
        // Small changes are not worth chains that are found anew.
        let changed =
            after / before >= MIN_SLOWDOWN_FACTOR || before / after >= MIN_SLOWDOWN_FACTOR;
        self.generation += u64::from(changed);
        after > 1.0 && before <= 1.0
    }

    /// How many times slower than its accelerator should be an endpoint is, as far as is known.
    pub fn slowdown_factor(&self, id: &str, now: Duration) -> f64 {
        let slow = self.observations.get(id).and_then(|s| s.slowdown);
        slow.filter(|(_, until)| *until > now)
            .map_or(1.0, |(factor, _)| factor)
    }

    /// Whether an endpoint did not answer when it was last asked.
    pub fn is_unresponsive(&self, id: &str) -> bool {
        self.observations.get(id).is_some_and(|s| s.unresponsive)
    }

    /// An endpoint answered with an error of its own. One may lie in the request; several in a row
    /// count as a failure, as an endpoint that fails fast draws the more requests for it.
    pub fn record_error(&mut self, id: &str, now: Duration) {
        if !self.endpoints.contains_key(id) {
            return;
        }
        let seen = self.observations.entry(Rc::from(id)).or_default();
        seen.consecutive_errors += 1;
        if seen.consecutive_errors >= ERRORS_BEFORE_AVOIDANCE {
            self.record_failure(id, now);
        }
    }

    /// An endpoint answered well.
    pub fn record_success(&mut self, id: &str) {
        if let Some(seen) = self.observations.get_mut(id) {
            seen.consecutive_errors = 0;
        }
        if let Some(seen) = self
            .observations
            .get_mut(id)
            .filter(|s| s.consecutive_failures > 0)
        {
            seen.consecutive_failures = 0;
            seen.unresponsive = false;
            seen.avoid_until = Duration::ZERO;
            self.generation += 1;
        }
    }

    /// When the next endpoint stops being avoided, or being taken to be slow.
    pub fn next_expiry(&self, now: Duration) -> Option<Duration> {
        let seen = self.observations.values().map(|s| s.avoid_until);
        let slow = self.observations.values().filter_map(|s| s.slowdown);
        let seen = seen.chain(slow.map(|(_, until)| until));
        let later = seen.chain(self.peer_avoided.values().copied());
        later.filter(|t| *t > now).min()
    }

    /// A request of this host has gone to an endpoint.
    pub fn begin_request(&mut self, id: &str) {
        self.observations.entry(Rc::from(id)).or_default().in_flight += 1;
    }

    /// A request of this host has left an endpoint.
    pub fn end_request(&mut self, id: &str) {
        if let Some(seen) = self.observations.get_mut(id) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }

    /// Requests of this host at an endpoint.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.observations.get(id).map_or(0, |s| s.in_flight)
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
            &*e.service == service && !e.draining && !tried.iter().any(|t| *t == e.id)
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
