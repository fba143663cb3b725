//! Which hosts of a data centre ask the platform's store, and how often while it does not answer.
//!
//! One host of a data centre reads the store and tells the others. When that host has no answer, the
//! store is away for all, or for this host alone, and nobody can tell which without asking. If each of
//! the others found out by itself, the calls would grow with the number of hosts just when the store is
//! least able to bear them: 295 hosts made 1,000 calls a second at a store that refused them all, and
//! 160 in calm. So
//!
//! - each host notes how its own calls ended ([`Access`]), and while they fail it asks for one thing
//!   only, which shows whether the store is back;
//! - the host that is asked hands out the turns to try ([`Turns`]), the first few soon after one another and
//!   the others seldom;
//! - a host that is told that the store does not answer waits for its turn ([`role`]).
//!
//! Whoever has an answer reads from then on, and tells the host that all ask.

use std::time::Duration;

use rustc_hash::FxHashMap;

/// Failures in a row from which on the store counts as away: single calls fail on links that lose
/// packets, and each of the three kinds of read fails once when it goes away.
const FAILURES: u32 = 3;

/// How many hosts try soon after one another, before the store is taken to be away for most. Hosts that are cut
/// off from it, or turned away, are often several of a data centre at once; and by the time that a silent store
/// is noticed, half the time is over in which a change must be in force.
const EARLY_TURNS: u32 = 4;

/// The least time between two early turns.
const BETWEEN_EARLY_TURNS: Duration = Duration::from_millis(100);

/// The least time between two later turns. With the tries of the host that hands them out a data centre
/// makes some five calls a second: 215 of five data centres in eight seconds, one run.
const BETWEEN_TURNS: Duration = Duration::from_millis(700);

/// How this host's own reads of the store have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Access {
    /// Failures since the last answer.
    failures: u32,
    /// When the last of them was known.
    failed_at: Duration,
    /// It has been given a turn to try, and the try has not ended.
    trying: bool,
}

impl Access {
    /// A read that was sent at `sent_at` was answered, this host's or one of a host that tells it. One that
    /// was sent before another one failed does not show that the store is back: a read that waits for news is
    /// answered long after the store has begun to turn new ones away.
    pub fn answered(&mut self, sent_at: Duration) {
        if sent_at >= self.failed_at {
            *self = Self::default();
        }
    }

    /// A read has failed.
    pub fn failed(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.failed_at = now;
        self.trying = false;
    }

    /// Another host has no answer: whether this one would get one is not known.
    pub fn doubted(&mut self, now: Duration) {
        self.failures = self.failures.max(FAILURES);
        self.failed_at = now;
        self.trying = false;
    }

    /// Another host has no answer, and leaves the next try to this one.
    pub fn given_turn(&mut self, now: Duration) {
        self.doubted(now);
        self.trying = true;
    }

    /// Whether this host, if it reads the store, is to go on: the store answers it, or its turn to try is not
    /// over.
    pub fn goes_on(&self) -> bool {
        !self.away() || self.trying
    }

    /// Whether the store counts as away for this host.
    pub fn away(&self) -> bool {
        self.failures >= FAILURES
    }
}

/// Hands out the turns to try the store while it does not answer the host that is asked.
#[derive(Debug, Default)]
pub struct Turns {
    /// When each host last had one.
    had: FxHashMap<String, Duration>,
    /// How many were given.
    given: u32,
    last: Option<Duration>,
}

impl Turns {
    /// Whether a host that asks is to try now. `others` are the hosts that ask as well: the turn goes
    /// to one that has waited longest.
    pub fn give<'a>(
        &mut self,
        host: &str,
        mut others: impl Iterator<Item = &'a str>,
        now: Duration,
    ) -> bool {
        let pause = match self.given < EARLY_TURNS {
            true => BETWEEN_EARLY_TURNS,
            false => BETWEEN_TURNS,
        };
        if self.last.is_some_and(|at| now < at + pause) {
            return false;
        }
        let had = self.had.get(host);
        if others.any(|other| self.had.get(other) < had) {
            return false;
        }
        self.had.insert(host.to_owned(), now);
        self.last = Some(now);
        self.given = self.given.saturating_add(1);
        true
    }

    /// The store answers again: the next time begins anew.
    pub fn over(&mut self) {
        *self = Self::default();
    }
}

/// What another host of the data centre has told of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// It has heard of the store lately, by itself or through others.
    pub fresh: bool,
    /// It has that from this host.
    pub from_here: bool,
    /// The store does not answer it, as far as it knows, even if it did lately; else it has just started if
    /// it has no fresh news.
    pub away: bool,
    /// It leaves the next try to this host.
    pub turn: bool,
    /// It has told what it knows of the list of endpoints.
    pub list: bool,
}

/// What a host does about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It reads the store.
    Reads,
    /// It is told what another host reads.
    IsTold,
    /// Nobody here has news yet: it waits for them, or for its turn to try.
    Waits,
}

/// What a host does about the store, by what the one that it asks has told, if any did, and whether
/// it reads the store itself and is to go on ([`Access::goes_on`]).
///
/// That it has no fresh news itself does not matter: the list is read after the catalogue, and takes its time.
/// Who left off in between would never have news for the others.
///
/// News that are fresh were read lately. Once the store no longer answers whoever read them there will be no
/// more: the next reader is looked for at once, and not when they have grown old.
///
/// A host that is not told the list reads it, and can be told what changes from there on.
pub fn role(told: Option<Told>, goes_on: bool) -> Role {
    match told {
        None => Role::Reads,
        Some(told) if told.fresh && !told.from_here && !told.away => match told.list {
            true => Role::IsTold,
            false => Role::Reads,
        },
        Some(told) if goes_on || told.turn => Role::Reads,
        Some(_) => Role::Waits,
    }
}
