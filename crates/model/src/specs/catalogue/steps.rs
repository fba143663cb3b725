//! The state of the store, the operators and the hosts, and the steps of the store and the hosts.

use super::{Config, Mutation};
use crate::specs::successors::Successors;

/// The maximum number of changes in the store.
pub(super) const MAX_CHANGES: usize = 4;

/// The author of the change that a restoration writes.
const RESTORER: u8 = 9;

/// A step; a number is the index of the operator or the host, unless the variant says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// An operator reads the head.
    ReadHead(usize),
    /// An operator sends a proposal, or retries it.
    Propose(usize),
    /// The store commits or refuses a proposal.
    Commit(usize),
    /// The store commits or refuses a proposal whose answer the operator no longer awaits.
    CommitLate(usize),
    /// The answer to a proposal arrives.
    Answer(usize),
    /// An operator that does not know the outcome of its proposal reads the store's changes.
    Settle(usize),
    /// An operator whose change was accepted verifies that the change is still in the store.
    LookAgain(usize),
    /// An operator restores the store after an alarm.
    Restore,
    /// A host reads the store.
    Poll(usize),
    /// The first host copies the catalogue of the second, or detects that the two have diverged.
    Copy(usize, usize),
    /// Fault: the answer to a proposal is lost.
    LoseAnswer(usize),
    /// Fault: an operator stops waiting for a proposal that is still in flight.
    SlowCommit(usize),
    /// Fault: a host crashes and restarts without state.
    Crash(usize),
    /// Fault: the store reverts to its first `n` changes, where `n` is the number.
    GoBack(usize),
}

/// A catalogue, identified by its newest change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Version {
    pub(super) revision: u8,
    /// The author of the change: the index of the operator plus 1, [`RESTORER`], or 0 for no
    /// change.
    pub(super) author: u8,
    /// The authors of all changes as decimal digits, the newest last.
    pub(super) content: u16,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Host {
    pub(super) held: Version,
    /// The highest revision that this incarnation of the host has held.
    pub(super) highest: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Outcome {
    Accepted(u8),
    Conflict,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Operator {
    pub(super) base: Option<Version>,
    pub(super) place: Place,
    /// The base of a proposal in flight whose answer the operator no longer awaits.
    pub(super) late: Option<Version>,
    pub(super) tried: u8,
    pub(super) outcome: Option<Outcome>,
    pub(super) looked_again: bool,
}

/// The progress of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) enum Place {
    #[default]
    AtOperator,
    ToStore,
    Done(u8),
    NotDone,
    InDoubt,
}

/// A state of the catalogue specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The changes in the store, each with the catalogue that results from it.
    changes: [Version; MAX_CHANGES],
    len: usize,
    pub(super) operators: [Operator; 3],
    pub(super) hosts: [Host; 3],
    pub(super) alarm: bool,
    /// Whether an alarm was ever raised.
    pub(super) alarmed: bool,
    /// Whether an operator has restored the store.
    pub(super) restored: bool,
    pub(super) went_back: bool,
    pub(super) losses: u8,
    crashes: u8,
    setbacks: u8,
    restorations: u8,
}

pub(super) type Steps<'a> = Successors<'a, Step, State>;

impl Config {
    pub(super) fn store_steps(&self, state: &State, next: &mut Steps<'_>) {
        next.add_faults(
            |s| &mut s.setbacks,
            |next| {
                for len in 0..state.len {
                    next.add(Step::GoBack(len), |s| s.revert_to(len));
                }
            },
        );
        if state.alarm && state.restorations > 0 && !state.is_full() {
            next.add(Step::Restore, |s| {
                s.restorations -= 1;
                self.restore(s);
            });
        }
    }

    /// Restores the store: writes the whole catalogue as one change whose revision is above that of
    /// every host.
    fn restore(&self, state: &mut State) {
        let hosts = state.hosts.iter().map(|host| host.held.revision);
        let highest = hosts.max().unwrap_or(0).max(state.head().revision);
        let above = match self.has(Mutation::RestoreAboveStore) {
            true => state.head().revision,
            false => highest,
        };
        state.alarm = false;
        state.restored = true;
        if !self.has(Mutation::RestoreKeepsChanges) {
            // Without the earlier changes, no host compares its own change with them.
            state.changes = [Version::default(); MAX_CHANGES];
            state.len = 0;
        }
        state.push(Version {
            // One revision is skipped, so that no host can fold this as the successor of its own.
            revision: above + 2,
            author: RESTORER,
            content: u16::from(RESTORER),
        });
    }

    pub(super) fn host_steps(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        let poll = self.poll_result(state, h);
        if let Some(after) = poll.filter(|after| after != state) {
            next.add(Step::Poll(h), |s| *s = after);
        }
        for g in (0..self.hosts).filter(|g| *g != h) {
            self.copy_steps(state, h, g, next);
        }
        if state.hosts[h].held.revision > 0 {
            next.add_faults(
                |s| &mut s.crashes,
                |next| next.add(Step::Crash(h), |s| s.hosts[h] = Host::default()),
            );
        }
    }

    /// The state after host `h` reads the store.
    fn poll_result(&self, state: &State, h: usize) -> Option<State> {
        let mut after = *state;
        let held = state.hosts[h].held;
        let head = state.head();
        if self.has(Mutation::FollowStoreBack) && head.revision < held.revision {
            after.hosts[h].install(head);
            return Some(after);
        }
        if head.revision < held.revision {
            after.raise_alarm();
            return Some(after);
        }
        let same = state.change_at(held.revision).map(|own| own.author);
        let follows = held.revision == 0 || same == Some(held.author);
        let next = state.change_at(held.revision + 1);
        let fold = follows || self.has(Mutation::FoldUnchecked);
        if let Some(change) = next.filter(|_| fold) {
            after.hosts[h].install(held.fold(change));
        } else if !follows && same.is_some() {
            after.raise_alarm();
        } else if head.revision > held.revision {
            after.hosts[h].install(head);
        }
        Some(after)
    }

    fn copy_steps(&self, state: &State, h: usize, g: usize, next: &mut Steps<'_>) {
        let (own, other) = (state.hosts[h].held, state.hosts[g].held);
        let back = self.has(Mutation::FollowPeerBack) && own.revision > other.revision;
        let checked = !self.has(Mutation::CopyUnchecked);
        let forked = own.revision <= other.revision && !other.follows(own);
        if forked && (checked || own.revision == other.revision) {
            if !state.alarm {
                next.add(Step::Copy(h, g), State::raise_alarm);
            }
        } else if own.revision < other.revision || back {
            next.add(Step::Copy(h, g), |s| s.hosts[h].install(other));
        }
    }
}

impl Version {
    /// Whether this catalogue can descend from `earlier`, as far as its history shows. `earlier`
    /// must not have a higher revision.
    fn follows(self, earlier: Self) -> bool {
        let later = u32::from(self.revision - earlier.revision);
        let author = self.content / 10_u16.pow(later) % 10;
        author == 0 || author == u16::from(earlier.author)
    }

    /// The catalogue that results from applying `change` to this one.
    pub(super) fn fold(self, change: Self) -> Self {
        Self {
            content: self.content * 10 + u16::from(change.author),
            ..change
        }
    }
}

impl Host {
    fn install(&mut self, held: Version) {
        self.held = held;
        self.highest = self.highest.max(held.revision);
    }
}

impl State {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            changes: [Version::default(); MAX_CHANGES],
            len: 0,
            operators: [Operator::default(); 3],
            hosts: [Host::default(); 3],
            alarm: false,
            alarmed: false,
            restored: false,
            went_back: false,
            losses: cfg.losses,
            crashes: cfg.crashes,
            setbacks: cfg.setbacks,
            restorations: cfg.restorations,
        }
    }

    /// The store's newest catalogue.
    pub(super) fn head(&self) -> Version {
        let newest = self.changes[..self.len].last();
        newest.copied().unwrap_or_default()
    }

    /// The change with this revision.
    pub(super) fn change_at(&self, revision: u8) -> Option<Version> {
        let mut changes = self.changes[..self.len].iter();
        changes.find(|c| c.revision == revision).copied()
    }

    /// The number of times that the change of operator `o` is in the store.
    pub(super) fn occurrences(&self, o: usize) -> usize {
        let changes = self.changes[..self.len].iter();
        changes.filter(|c| usize::from(c.author) == o + 1).count()
    }

    pub(super) fn push(&mut self, change: Version) {
        self.changes[self.len] = change;
        self.len += 1;
    }

    pub(super) fn is_full(&self) -> bool {
        self.len == MAX_CHANGES
    }

    pub(super) fn raise_alarm(&mut self) {
        self.alarm = true;
        self.alarmed = true;
    }

    fn revert_to(&mut self, len: usize) {
        self.changes[len..].fill(Version::default());
        self.len = len;
        self.went_back = true;
    }
}
