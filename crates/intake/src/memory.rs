//! The account of the memory that callers make a host hold, and whose request or answer is dropped when it is short.
//!
//! What one request or answer takes is a hold. Holds of one kind share a pool: requests up to [`SMALL_BYTES`], larger
//! ones, and answers, so that no kind takes the room of another. Within a pool, a source of requests (a workspace, or
//! else an address) may hold up to three times what is left free: alone three quarters of the pool, two of them three
//! sevenths each. So there is room for others whatever one of them sends.
//!
//! Beyond that, a request that does not fit takes the place of one that is still being received, which has not been run:
//! of the source that holds most, or else of its own source if that one has held more for longer. So bodies that stop
//! short of their end make room for those that come next.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

/// The size up to which a request counts as small, in bytes.
pub const SMALL_BYTES: usize = 64 * 1024;
/// How many times the free memory of a pool one source may hold.
const MAX_TIMES_FREE: usize = 3;
/// How long a caller may read nothing of its answer before this can be dropped.
const STALL_TIME: Duration = Duration::from_secs(1);
/// The rate below which a body counts as slow, in bytes per second, and the age from which on this is judged. Such a
/// body makes room for one of another source, though neither source holds most.
const SLOW_BYTES_PER_S: u128 = 64 * 1024;
const SLOW_AGE: Duration = Duration::from_secs(1);

/// The memory of each kind, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pools {
    /// For requests up to [`SMALL_BYTES`].
    pub small: usize,
    /// For larger requests.
    pub large: usize,
    /// For answers that callers have not read.
    pub answers: usize,
}

impl Pools {
    /// Pools without a limit.
    pub const UNLIMITED: Self = Self {
        small: usize::MAX / 8,
        large: usize::MAX / 8,
        answers: usize::MAX / 8,
    };

    /// The size of the largest request that fits when there is no other, in bytes.
    pub fn max_request(&self) -> usize {
        self.large / (MAX_TIMES_FREE + 1) * MAX_TIMES_FREE
    }

    fn limit(&self, kind: Kind) -> usize {
        match kind {
            Kind::Small => self.small,
            Kind::Large => self.large,
            Kind::Answer => self.answers,
        }
    }
}

/// Who sends requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// A workspace whose key a request carries.
    Workspace(Rc<str>),
    /// An address, of callers without a workspace.
    Address(std::net::IpAddr),
}

/// Identifies a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HoldId(u64);

/// What is done with a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It is being received, and nothing was done with it.
    Receiving,
    /// It may be in use.
    InUse,
    /// It is an answer of which the caller took something at this time.
    Sending { progress_at: Duration },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    Small,
    Large,
    Answer,
}

#[derive(Debug, Clone)]
struct Hold {
    source: Source,
    phase: Phase,
    bytes: usize,
    since: Duration,
}

impl Hold {
    fn kind(&self) -> Kind {
        match self.phase {
            Phase::Sending { .. } => Kind::Answer,
            _ => kind_of_request(self.bytes),
        }
    }

    /// Whether dropping it breaks no promise.
    fn can_be_dropped(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Receiving => true,
            Phase::InUse => false,
            Phase::Sending { progress_at } => now.saturating_sub(progress_at) >= STALL_TIME,
        }
    }

    /// How much it has held for how long.
    fn weight(&self, now: Duration) -> u128 {
        self.bytes as u128 * now.saturating_sub(self.since).as_micros()
    }

    fn is_slow(&self, now: Duration) -> bool {
        let age = now.saturating_sub(self.since);
        let bytes_per_s = self.bytes as u128 * 1_000_000 / age.as_micros().max(1);
        age >= SLOW_AGE && bytes_per_s < SLOW_BYTES_PER_S
    }
}

fn kind_of_request(bytes: usize) -> Kind {
    match bytes <= SMALL_BYTES {
        true => Kind::Small,
        false => Kind::Large,
    }
}

/// The answer to a request for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// It was added to the hold.
    Granted,
    /// It fits once this hold has been dropped; the request for memory is to be made again then.
    InPlaceOf(HoldId),
    /// There is no room.
    Refused,
}

/// The memory that callers make a host hold.
#[derive(Debug)]
pub struct Memory {
    pools: Pools,
    holds: FxHashMap<HoldId, Hold>,
    used: FxHashMap<Kind, usize>,
    /// Invariant: no entry is zero.
    by_source: FxHashMap<(Kind, Source), usize>,
    last_id: u64,
}

impl Memory {
    /// An account without holds.
    pub fn new(pools: Pools) -> Self {
        Self {
            pools,
            holds: FxHashMap::default(),
            used: FxHashMap::default(),
            by_source: FxHashMap::default(),
            last_id: 0,
        }
    }

    /// The sizes of the pools.
    pub fn pools(&self) -> Pools {
        self.pools
    }

    /// What small requests, large ones and answers use, in bytes.
    pub fn used(&self) -> Pools {
        Pools {
            small: self.used_by(Kind::Small),
            large: self.used_by(Kind::Large),
            answers: self.used_by(Kind::Answer),
        }
    }

    /// Begins to receive something from a source.
    pub fn receive(&mut self, source: Source, now: Duration) -> HoldId {
        self.insert(source, Phase::Receiving, 0, now)
    }

    /// Begins to send an answer of this size, which exists already. Answers that callers don't read are then to be
    /// dropped while there is [`Self::excess_answer`].
    pub fn send(&mut self, source: Source, bytes: usize, now: Duration) -> HoldId {
        let phase = Phase::Sending { progress_at: now };
        self.insert(source, phase, bytes, now)
    }

    fn insert(&mut self, source: Source, phase: Phase, bytes: usize, now: Duration) -> HoldId {
        self.last_id += 1;
        let id = HoldId(self.last_id);
        let hold = Hold {
            source,
            phase,
            bytes,
            since: now,
        };
        self.add(&hold);
        self.holds.insert(id, hold);
        id
    }

    /// Requests that a hold may take `bytes` in total. Less than it has is always granted.
    pub fn grow(&mut self, id: HoldId, bytes: usize, now: Duration) -> Growth {
        let Some(hold) = self.holds.get(&id) else {
            return Growth::Refused;
        };
        if bytes <= hold.bytes {
            return Growth::Granted;
        }
        let kind = kind_of_request(bytes);
        let more = match kind == hold.kind() {
            true => bytes - hold.bytes,
            false => bytes,
        };
        if self.fits(kind, &hold.source, more) {
            self.change(id, |hold| hold.bytes = bytes);
            return Growth::Granted;
        }
        match self.droppable_for(id, kind, more, now) {
            Some(other) => Growth::InPlaceOf(other),
            None => Growth::Refused,
        }
    }

    /// The same for what can be left out: it drops nothing, and is granted only from the first half of the pool.
    pub fn grow_if_plenty(&mut self, id: HoldId, bytes: usize) -> bool {
        let Some(hold) = self.holds.get(&id) else {
            return false;
        };
        let more = bytes.saturating_sub(hold.bytes);
        let kind = kind_of_request(bytes);
        let plenty = self.used_by(kind) + more <= self.pools.limit(kind) / 2;
        if plenty && more > 0 {
            self.change(id, |hold| hold.bytes = bytes);
        }
        plenty || more == 0
    }

    /// Records that a request belongs to another source than was known.
    pub fn assign(&mut self, id: HoldId, source: Source) {
        self.change(id, |hold| hold.source = source);
    }

    /// Records whether a request may be in use from now on, and so is not to be dropped.
    pub fn set_in_use(&mut self, id: HoldId, in_use: bool, now: Duration) {
        self.change(id, |hold| {
            if !in_use && hold.phase == Phase::InUse {
                hold.since = now;
            }
            hold.phase = match in_use {
                true => Phase::InUse,
                false => Phase::Receiving,
            };
        });
    }

    /// Records that a caller has taken something of its answer.
    pub fn record_progress(&mut self, id: HoldId, now: Duration) {
        self.change(id, |hold| hold.phase = Phase::Sending { progress_at: now });
    }

    /// The answer that is to be dropped because answers take more than their pool; `None` if they don't, or if all
    /// callers read theirs.
    pub fn excess_answer(&self, now: Duration) -> Option<HoldId> {
        let excess = self.used_by(Kind::Answer) > self.pools.answers;
        excess.then(|| self.stalled_answer(now)).flatten()
    }

    /// The answer that its caller does not read and that has taken most for longest.
    pub fn stalled_answer(&self, now: Duration) -> Option<HoldId> {
        self.heaviest(now, |hold| hold.kind() == Kind::Answer)
    }

    /// Whether a hold has neither been released nor dropped.
    pub fn contains(&self, id: HoldId) -> bool {
        self.holds.contains_key(&id)
    }

    /// Gives back what a hold takes.
    pub fn release(&mut self, id: HoldId) {
        if let Some(hold) = self.holds.remove(&id) {
            self.subtract(&hold);
        }
    }

    fn used_by(&self, kind: Kind) -> usize {
        self.used.get(&kind).copied().unwrap_or_default()
    }

    fn used_by_source(&self, kind: Kind, source: &Source) -> usize {
        let used = self.by_source.get(&(kind, source.clone()));
        used.copied().unwrap_or_default()
    }

    fn fits(&self, kind: Kind, source: &Source, more: usize) -> bool {
        let free = self.pools.limit(kind).saturating_sub(self.used_by(kind));
        let Some(left) = free.checked_sub(more) else {
            return false;
        };
        self.used_by_source(kind, source) + more <= left.saturating_mul(MAX_TIMES_FREE)
    }

    /// The hold that is dropped for `more` bytes of another one.
    fn droppable_for(&self, id: HoldId, kind: Kind, more: usize, now: Duration) -> Option<HoldId> {
        let hold = self.holds.get(&id)?;
        let weight = hold.weight(now);
        let wanted = self.used_by_source(kind, &hold.source) + more;
        let most = self
            .by_source
            .iter()
            .filter(|((k, _), _)| *k == kind)
            .max_by_key(|(_, used)| **used);
        if let Some(((_, source), used)) = most
            && *used > wanted
            && let Some(found) = self.heaviest(now, |h| h.kind() == kind && h.source == *source)
        {
            return Some(found);
        }
        let heavier = |h: &Hold| h.kind() == kind && h.weight(now) > weight;
        self.heaviest(now, |h| heavier(h) && h.source == hold.source)
            .or_else(|| self.heaviest(now, |h| heavier(h) && h.is_slow(now)))
    }

    /// The droppable hold that has held most for longest, among those that match.
    fn heaviest(&self, now: Duration, matches: impl Fn(&Hold) -> bool) -> Option<HoldId> {
        let droppable = self
            .holds
            .iter()
            .filter(|(_, h)| h.can_be_dropped(now) && h.bytes > 0 && matches(h));
        let heaviest = droppable.max_by_key(|(id, h)| (h.weight(now), **id));
        heaviest.map(|(id, _)| *id)
    }

    fn change(&mut self, id: HoldId, change: impl FnOnce(&mut Hold)) {
        let Some(mut hold) = self.holds.remove(&id) else {
            return;
        };
        self.subtract(&hold);
        change(&mut hold);
        self.add(&hold);
        self.holds.insert(id, hold);
    }

    fn add(&mut self, hold: &Hold) {
        if hold.bytes == 0 {
            return;
        }
        *self.used.entry(hold.kind()).or_default() += hold.bytes;
        let key = (hold.kind(), hold.source.clone());
        *self.by_source.entry(key).or_default() += hold.bytes;
    }

    fn subtract(&mut self, hold: &Hold) {
        if hold.bytes == 0 {
            return;
        }
        *self.used.entry(hold.kind()).or_default() -= hold.bytes;
        let key = (hold.kind(), hold.source.clone());
        if let Some(used) = self.by_source.get_mut(&key) {
            *used -= hold.bytes;
            if *used == 0 {
                self.by_source.remove(&key);
            }
        }
    }
}
