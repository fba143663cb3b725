//! The known endpoints, and which of them may get new work.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{
    incarnations::{Incarnations, StartTime, Verdict},
    layers::LayerRange,
    stated_availability::{RequestedBackoff, StatedAvailability},
    timeline::StoreRevision,
};

/// One incarnation of an endpoint, as listed by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Identifies the incarnation; see [`crate::incarnations::id`].
    pub id: Rc<str>,
    /// Name of the endpoint; earlier incarnations may have had the same name.
    pub name: Rc<str>,
    /// Start time of the incarnation, if the endpoint reports it.
    pub started_at: Option<StartTime>,
    /// Service that the endpoint serves.
    pub service: Rc<str>,
    /// Address at which the endpoint listens. Other endpoints may reuse it after this incarnation
    /// has ended.
    pub addr: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: Rc<str>,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint has announced that it is draining.
    pub draining: bool,
    /// Kind of its accelerator, if it holds layers of a model.
    pub accelerator: Option<Rc<str>>,
    /// Layers of a model that it holds.
    pub layers: Option<LayerRange>,
}

/// Time for which an endpoint is avoided after the first of consecutive failures.
const MIN_AVOIDANCE: Duration = Duration::from_millis(400);
/// Maximum time for which an endpoint is avoided; it determines how often an endpoint that keeps
/// failing is tried again.
const MAX_AVOIDANCE: Duration = Duration::from_secs(3);

/// Time for which an unresponsive endpoint is avoided. It is probed several times within this time,
/// so it gets no requests until it responds or is no longer listed.
const UNRESPONSIVE_AVOIDANCE: Duration = Duration::from_millis(2000);

/// Time for which a reported slowdown factor is valid; the endpoint is probed again within this
/// time.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(2500);
/// Slowdown factor from which on an endpoint counts as slow; smaller factors are random variation.
const MIN_SLOWDOWN_FACTOR: f64 = 1.5;

/// Maximum number of removed endpoints that are remembered individually.
const MAX_REMOVED: usize = 256;
/// Maximum number of store revisions that are remembered: one per second, for about as long as the
/// store keeps its own history.
const MAX_REVISIONS: usize = 64;

/// Number of consecutive error responses after which an endpoint is avoided.
const ERRORS_BEFORE_AVOIDANCE: u32 = 2;

/// What this host itself has observed of an endpoint.
#[derive(Debug, Clone, Default)]
struct Observations {
    /// Number of consecutive failures.
    consecutive_failures: u32,
    /// Number of consecutive responses that were errors of the endpoint's own.
    consecutive_errors: u32,
    /// Time before which the endpoint gets no new work if other endpoints are usable.
    avoid_until: Duration,
    /// Whether the endpoint did not respond to its last probe.
    unresponsive: bool,
    /// Slowdown factor that the endpoint last reported, and the time until which it is valid.
    slowdown: Option<(f64, Duration)>,
    /// Number of requests of this host in flight at the endpoint.
    in_flight: u32,
}

/// An endpoint that gets no new work for a limited time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AvoidedEndpoint {
    /// Id of the endpoint.
    pub id: Rc<str>,
    /// Remaining time for which it is avoided.
    pub remaining: Duration,
}

/// Effect of an entry on the directory.
#[derive(Debug, Clone, PartialEq)]
pub enum PutOutcome {
    /// The entry equals the known one.
    Unchanged,
    /// The endpoint is new, or its entry has changed.
    Listed,
    /// The endpoint is new and replaces these endpoints, which have ended: earlier incarnations of
    /// it, or endpoints that listened at its address.
    Replaced(Vec<Rc<Endpoint>>),
    /// The endpoint was removed and is listed again. Either it was cut off, or it has ended and its
    /// last entry was delayed. It counts as unresponsive until it responds.
    Relisted,
    /// The endpoint was removed before the store was restored, so the entry may come from the copy. The endpoint is not
    /// listed until it has written its entry again, or its entry has stayed for longer than that of an endpoint that
    /// has left.
    Withheld,
    /// The entry is ignored, because it describes an incarnation that has ended.
    Outdated,
    /// The entry lacks the start time that the endpoint always reports, so another process wrote
    /// it. The endpoint is not used until it writes an entry of its own.
    Foreign,
}

/// Directory of all known endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: FxHashMap<Rc<str>, Rc<Endpoint>>,
    observations: FxHashMap<Rc<str>, Observations>,
    /// Times until which endpoints are avoided because they failed other hosts nearby.
    peer_avoided: FxHashMap<Rc<str>, Duration>,
    /// Incremented whenever chains may have changed.
    generation: u64,
    /// Version of the list; incremented with each change.
    list_version: u64,
    /// Store revisions up to which the list was known, in ascending order, each with the version of
    /// the list at that time.
    revisions: VecDeque<(StoreRevision, u64)>,
    /// Version of the list at the last change of each endpoint.
    changed_at: FxHashMap<Rc<str>, u64>,
    /// The endpoints removed last, each with the version of the list at its removal.
    removed: VecDeque<(u64, Rc<Endpoint>)>,
    /// Ids among the removed ones whose incarnations are known to have ended.
    superseded: FxHashSet<Rc<str>>,
    incarnations: Incarnations,
    /// What endpoints state of themselves. Nothing that this host observes changes it.
    stated: StatedAvailability,
    /// Changes up to this version can no longer be listed individually.
    forgotten_version: u64,
    /// The endpoints that were removed before the last restoration of the store and are not known to have written their
    /// entries since. Each of them is also among the removed ones of `incarnations`.
    removed_before_restoration: FxHashSet<Rc<str>>,
    /// Entries of such endpoints, by id.
    withheld: FxHashMap<Rc<str>, Endpoint>,
    /// When entries that still exist are no longer withheld.
    withheld_until: Duration,
}

/// Number of endpoints in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints that may get new work.
    pub usable: i64,
    /// Endpoints that get no new work for a limited time, because they failed this host or hosts nearby.
    pub avoided: i64,
    /// Those of the avoided endpoints that this host itself has no reason to avoid.
    pub peer_avoided: i64,
    /// Endpoints that have announced that they are draining.
    pub draining: i64,
    /// Endpoints that have stated that they accept no new work for a while.
    pub backing_off: i64,
}

/// Changes of a list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ListChanges {
    /// Version of the list after these changes.
    pub version: u64,
    /// Whether `changed` is the complete list.
    pub complete: bool,
    /// New and changed endpoints.
    pub changed: Vec<Rc<Endpoint>>,
    /// Ids of removed endpoints.
    pub removed: Vec<Rc<str>>,
}

impl Directory {
    /// Number that increases whenever an endpoint is added, removed or changed, starts to be
    /// avoided, or becomes responsive or unresponsive.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Iterates over all endpoints, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }

    /// Returns the endpoint with that id.
    pub fn get(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// Returns the incarnation that is listed under the name of an endpoint.
    pub fn by_name(&self, name: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(self.incarnations.current(name)?)
    }

    /// Returns the incarnation that is listed at an address.
    pub fn at(&self, addr: SocketAddr) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(self.incarnations.at(addr)?)
    }

    /// Whether an incarnation is known to have ended because another one replaced it. The work that
    /// ran there is lost.
    pub fn has_ended(&self, id: &str) -> bool {
        self.superseded.contains(id)
    }

    /// Applies a new or changed entry.
    ///
    /// An incarnation that was draining stays draining, and so does one that has stated it in an answer, even if it
    /// was removed in between. An endpoint that was removed must respond before it gets any work: entries delayed by
    /// a network partition arrive long after the endpoint has ended, and would list it for seconds.
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
        if self.removed_before_restoration.contains(&endpoint.id) && now < self.withheld_until {
            self.withheld.insert(endpoint.id.clone(), endpoint);
            return PutOutcome::Withheld;
        }
        let known = self.endpoints.get(&endpoint.id);
        endpoint.draining |= known.is_some_and(|old| old.draining);
        endpoint.draining |= self.stated.is_draining(&endpoint.id);
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
        // Without a start time, a process that is listed under the name of one that has ended has the same id.
        self.superseded.remove(&id);
        // Only engines can be probed without side effects.
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

    /// Removes an incarnation that has ended because another one replaced it.
    fn supersede(&mut self, id: &Rc<str>) -> Option<Rc<Endpoint>> {
        let ended = self.remove(id)?;
        self.superseded.insert(id.clone());
        Some(ended)
    }

    /// Removes an endpoint that is no longer listed.
    pub fn remove(&mut self, id: &str) -> Option<Rc<Endpoint>> {
        self.withheld.remove(id);
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
            self.removed_before_restoration.remove(&endpoint.id);
            self.incarnations.forget(&endpoint);
        }
        Some(removed_endpoint)
    }

    /// Records that the store was restored from a copy. The copy may list endpoints that have been removed since; an
    /// entry of an endpoint that has left disappears again within `max_lapse`.
    pub fn record_restoration(&mut self, max_lapse: Duration, now: Duration) {
        self.removed_before_restoration = self.incarnations.removed().cloned().collect();
        self.withheld_until = now + max_lapse;
    }

    /// Records that an endpoint has written its entry since the store was restored: the entry is not that of the copy.
    pub fn record_entry_written(&mut self, id: &str) {
        self.removed_before_restoration.remove(id);
        self.withheld.remove(id);
    }

    /// Takes the withheld entries once they have existed for longer than those of endpoints that have left.
    pub fn take_withheld(&mut self, now: Duration) -> Vec<Endpoint> {
        if now < self.withheld_until {
            return Vec::new();
        }
        self.removed_before_restoration.clear();
        let taken = std::mem::take(&mut self.withheld);
        taken.into_values().collect()
    }

    /// The id of the incarnation whose entry is withheld under a name.
    pub fn withheld_by_name(&self, name: &str) -> Option<&Rc<str>> {
        let entry = self.withheld.values().find(|e| &*e.name == name);
        entry.map(|e| &e.id)
    }

    /// Records that all changes of the store up to `revision` are now known.
    pub fn record_revision(&mut self, revision: StoreRevision) {
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

    /// Returns the version of the list at a store revision or the last known one before it in the same timeline; `None`
    /// if that is too long ago.
    pub fn version_at_revision(&self, revision: StoreRevision) -> Option<u64> {
        let before = self
            .revisions
            .iter()
            .rev()
            .find(|(known, _)| *known <= revision);
        let same_timeline = before.filter(|(known, _)| known.timeline == revision.timeline);
        same_timeline.map(|(_, version)| *version)
    }

    /// Returns the changes of the list since `version`, or the complete list if that version is
    /// unknown.
    pub fn changes_since(&self, version: Option<u64>) -> ListChanges {
        let known = version.filter(|v| *v >= self.forgotten_version && *v <= self.list_version);
        // Most hosts that poll know the newest version, and the list may have thousands of endpoints.
        if known == Some(self.list_version) {
            return ListChanges {
                version: self.list_version,
                complete: false,
                changed: Vec::new(),
                removed: Vec::new(),
            };
        }
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

    /// Returns the ids of all endpoints, and of those whose entries are withheld, except those with the given names.
    pub fn ids_except<'a>(&self, excluded: impl Iterator<Item = &'a str>) -> Vec<Rc<str>> {
        let excluded: FxHashSet<&str> = excluded.collect();
        let all = self.iter().map(|e| &**e).chain(self.withheld.values());
        let others = all.filter(|e| !excluded.contains(&*e.name));
        others.map(|e| e.id.clone()).collect()
    }

    /// Counts the endpoints in each state.
    pub fn counts(&self, now: Duration) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for endpoint in self.endpoints.values() {
            match (endpoint.draining, self.usable(&endpoint.id, now)) {
                (true, _) => counts.draining += 1,
                (false, true) => counts.usable += 1,
                (false, false) if self.accepts_work(&endpoint.id, now) => {
                    counts.avoided += 1;
                    counts.peer_avoided += i64::from(!self.is_avoided(&endpoint.id, now));
                }
                (false, false) => counts.backing_off += 1,
            }
        }
        counts
    }

    /// Whether an endpoint may get new work, and neither this host nor hosts nearby avoid it.
    pub fn usable(&self, id: &str, now: Duration) -> bool {
        let avoided_until = self.observations.get(id).map(|s| s.avoid_until);
        let peer_until = self.peer_avoided.get(id).copied();
        self.accepts_work(id, now) && avoided_until.max(peer_until).is_none_or(|t| t <= now)
    }

    /// Whether an endpoint is active and not in a backoff. Unlike avoidance, a backoff binds even if there is no
    /// other endpoint.
    pub fn accepts_work(&self, id: &str, now: Duration) -> bool {
        self.is_active(id) && self.remaining_backoff(id, now).is_zero()
    }

    /// The shortest time until the backoff of an active endpoint of a service ends; `None` if none has one.
    pub fn shortest_backoff(&self, service: &str, now: Duration) -> Option<Duration> {
        let active = self
            .iter()
            .filter(|e| &*e.service == service && !e.draining);
        let backoffs = active.map(|e| self.remaining_backoff(&e.id, now));
        backoffs.filter(|remaining| !remaining.is_zero()).min()
    }

    /// Returns the endpoints that are avoided because of what this host itself observed.
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

    /// Replaces the endpoints that are avoided because other hosts nearby avoid them: an endpoint
    /// that fails these hosts is likely to fail this one too.
    ///
    /// Endpoints that are no longer reported are no longer avoided on behalf of those hosts.
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

    /// Whether an endpoint is listed and is not draining.
    pub fn is_active(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|e| !e.draining)
    }

    /// Records that an endpoint has stated that it is draining; returns whether that is new. From now on its entry
    /// counts as draining too, so that hosts that receive this list do not use the endpoint either.
    pub fn record_stated_draining(&mut self, id: &str, now: Duration) -> bool {
        let new = self.stated.record_draining(id, now);
        if let Some(listed) = self.endpoints.get_mut(id).filter(|e| !e.draining) {
            Rc::make_mut(listed).draining = true;
            self.generation += 1;
            self.list_version += 1;
            self.changed_at.insert(listed.id.clone(), self.list_version);
        }
        new
    }

    /// Records that an endpoint has stated that it accepts no new work for a while; returns whether it
    /// accepted work before.
    pub fn record_backoff(&mut self, id: &str, backoff: RequestedBackoff, now: Duration) -> bool {
        let began = self.stated.record_backoff(id, backoff, now);
        self.generation += u64::from(began);
        began
    }

    /// The rest of an endpoint's backoff; zero if it has none.
    pub fn remaining_backoff(&self, id: &str, now: Duration) -> Duration {
        self.stated.remaining_backoff(id, now)
    }

    /// Removes statements of endpoints that no longer apply.
    pub fn expire_statements(&mut self, now: Duration) {
        let endpoints = &self.endpoints;
        self.stated.expire(|id| endpoints.contains_key(id), now);
    }

    /// Records that an endpoint failed, or refused a request that it should have accepted.
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

    /// Records that an endpoint did not respond to a probe; returns true if the endpoint is known
    /// and was responsive before.
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
        self.generation += u64::from(new || !avoided);
        new
    }

    /// Records the slowdown factor that an endpoint reported; returns whether it is slow now and
    /// was not before.
    pub fn record_slowdown(&mut self, id: &str, factor: f64, now: Duration) -> bool {
        if !self.endpoints.contains_key(id) {
            return false;
        }
        let before = self.slowdown_factor(id, now);
        let seen = self.observations.entry(Rc::from(id)).or_default();
        seen.slowdown = (factor >= MIN_SLOWDOWN_FACTOR).then_some((factor, now + MAX_SLOWDOWN_AGE));
        let after = self.slowdown_factor(id, now);
        // Small changes are not worth a new search for chains.
        let changed =
            after / before >= MIN_SLOWDOWN_FACTOR || before / after >= MIN_SLOWDOWN_FACTOR;
        self.generation += u64::from(changed);
        after > 1.0 && before <= 1.0
    }

    /// Returns how many times slower the endpoint is than its accelerator is expected to be; 1 if
    /// nothing is known.
    pub fn slowdown_factor(&self, id: &str, now: Duration) -> f64 {
        let slow = self.observations.get(id).and_then(|s| s.slowdown);
        slow.filter(|(_, until)| *until > now)
            .map_or(1.0, |(factor, _)| factor)
    }

    /// Whether an endpoint did not respond to its last probe.
    pub fn is_unresponsive(&self, id: &str) -> bool {
        self.observations.get(id).is_some_and(|s| s.unresponsive)
    }

    /// Records an error response of the endpoint itself. The cause of a single error may be the
    /// request. Several consecutive errors count as a failure, because an endpoint that fails fast
    /// attracts more requests.
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

    /// Whether this host avoids an endpoint because of what it has observed itself.
    pub fn is_avoided(&self, id: &str, now: Duration) -> bool {
        self.observations
            .get(id)
            .is_some_and(|seen| seen.avoid_until > now)
    }

    /// Records a successful response of an endpoint.
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

    /// Returns the next time at which an endpoint stops being avoided or slow, or its backoff ends.
    pub fn next_expiry(&self, now: Duration) -> Option<Duration> {
        let seen = self.observations.values().map(|s| s.avoid_until);
        let slow = self.observations.values().filter_map(|s| s.slowdown);
        let seen = seen.chain(slow.map(|(_, until)| until));
        let later = seen.chain(self.peer_avoided.values().copied());
        let later = later.chain(self.stated.backoff_ends());
        later.filter(|t| *t > now).min()
    }

    /// Records that a request of this host was sent to an endpoint.
    pub fn begin_request(&mut self, id: &str) {
        self.observations.entry(Rc::from(id)).or_default().in_flight += 1;
    }

    /// Records that a request of this host ended at an endpoint.
    pub fn end_request(&mut self, id: &str) {
        if let Some(seen) = self.observations.get_mut(id) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }

    /// Number of requests of this host in flight at an endpoint.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.observations.get(id).map_or(0, |s| s.in_flight)
    }

    /// Selects the endpoint of a plain service for one request: the least loaded one, preferring
    /// the own data centre.
    ///
    /// An avoided endpoint is selected only if there is no other, and one that accepts no work never.
    pub fn pick(
        &self,
        service: &str,
        data_centre: &str,
        tried: &[Rc<str>],
        now: Duration,
    ) -> Option<Rc<Endpoint>> {
        let fits = |e: &&Rc<Endpoint>| {
            &*e.service == service
                && self.accepts_work(&e.id, now)
                && !tried.iter().any(|t| *t == e.id)
        };
        let rank = |e: &Rc<Endpoint>| {
            let avoided = !self.usable(&e.id, now);
            // An endpoint in another data centre is preferred only if the local one has a full
            // queue of requests of this host.
            let load = self.in_flight(&e.id) / e.slots.max(1);
            let far = *e.data_centre != *data_centre;
            (avoided, load, far, self.in_flight(&e.id), e.id.clone())
        };
        self.iter().filter(fits).min_by_key(|e| rank(e)).cloned()
    }
}
