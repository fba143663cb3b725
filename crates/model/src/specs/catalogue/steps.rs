//! The store, the hosts and what may happen to them.

use super::{Config, Mutation};
use crate::specs::successors::Successors;

/// The most changes in the store.
pub(super) const MAX_CHANGES: usize = 4;

/// Who made the change that brings the store forward again.
const RESTORER: u8 = 9;

/// What may happen; the number is that of the operator or the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// An operator reads the head.
    ReadHead(usize),
    /// An operator sends a proposal, or sends it again.
    Propose(usize),
    /// The store takes or refuses a proposal.
    Commit(usize),
    /// The store takes or refuses a proposal on which the operator waits no longer.
    CommitLate(usize),
    /// The answer comes.
    Answer(usize),
    /// An operator in doubt reads the changes since its base.
    Settle(usize),
    /// An operator whose change was accepted looks whether it still stands.
    LookAgain(usize),
    /// An operator brings the store forward again.
    Restore,
    /// A host reads the store.
    Poll(usize),
    /// The first host copies what the second holds.
    Copy(usize, usize),
    /// Fault: the answer to a proposal is lost.
    LoseAnswer(usize),
    /// Fault: an operator waits no longer for a proposal that is under way.
    SlowCommit(usize),
    /// Fault: a host crashes, and begins again with nothing.
    Crash(usize),
    /// Fault: the store goes back to this many changes.
    GoBack(usize),
}

/// A catalogue, named by its newest change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Version {
    pub(super) revision: u8,
    /// Whose change; 0 for none.
    pub(super) author: u8,
    /// The authors of all changes, one digit each.
    pub(super) content: u16,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Host {
    pub(super) held: Version,
    /// The highest revision that was in force in this life.
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
    /// The base of a proposal under way on which it waits no longer.
    pub(super) late: Option<Version>,
    pub(super) tried: u8,
    pub(super) outcome: Option<Outcome>,
    pub(super) looked_again: bool,
}

/// Where a proposal is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) enum Place {
    #[default]
    AtOperator,
    ToStore,
    Done(u8),
    NotDone,
    InDoubt,
}

/// A state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The changes in the store, each with the catalogue it makes.
    changes: [Version; MAX_CHANGES],
    len: usize,
    pub(super) operators: [Operator; 3],
    pub(super) hosts: [Host; 3],
    pub(super) alarm: bool,
    /// Whether there ever was an alarm.
    pub(super) alarmed: bool,
    /// Whether an operator brought the store forward again.
    pub(super) restored: bool,
    pub(super) went_back: bool,
    pub(super) losses: u8,
    crashes: u8,
    setbacks: u8,
    restorations: u8,
}

pub(super) type Steps<'a> = Successors<'a, Step, State>;

impl Config {
    pub(super) fn store(&self, state: &State, next: &mut Steps<'_>) {
        next.add_faults(
            |s| &mut s.setbacks,
            |next| {
                for len in 0..state.len {
                    next.add(Step::GoBack(len), |s| s.go_back(len));
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

    /// Declares the whole catalogue anew, under a number that no host has.
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
            // With the changes before it gone, no host looks for its own among them.
            state.changes = [Version::default(); MAX_CHANGES];
            state.len = 0;
        }
        state.push(Version {
            // One number is left out: no host can take this for the change after its own.
            revision: above + 2,
            author: RESTORER,
            content: u16::from(RESTORER),
        });
    }

    pub(super) fn host(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        let poll = self.poll(state, h);
        if let Some(after) = poll.filter(|after| after != state) {
            next.add(Step::Poll(h), |s| *s = after);
        }
        for g in (0..self.hosts).filter(|g| *g != h) {
            self.copy(state, h, g, next);
        }
        if state.hosts[h].held.revision > 0 {
            next.add_faults(
                |s| &mut s.crashes,
                |next| next.add(Step::Crash(h), |s| s.hosts[h] = Host::default()),
            );
        }
    }

    /// What a read of the store leads to.
    fn poll(&self, state: &State, h: usize) -> Option<State> {
        let mut after = *state;
        let held = state.hosts[h].held;
        let head = state.head();
        if self.has(Mutation::FollowStoreBack) && head.revision < held.revision {
            after.hosts[h].take(head);
            return Some(after);
        }
        if head.revision < held.revision {
            after.raise_alarm();
            return Some(after);
        }
        let same = state.at(held.revision).map(|own| own.author);
        let follows = held.revision == 0 || same == Some(held.author);
        let next = state.at(held.revision + 1);
        let fold = follows || self.has(Mutation::FoldUnchecked);
        if let Some(change) = next.filter(|_| fold) {
            after.hosts[h].take(held.fold(change));
        } else if !follows && same.is_some() {
            after.raise_alarm();
        } else if head.revision > held.revision {
            after.hosts[h].take(head);
        }
        Some(after)
    }

    fn copy(&self, state: &State, h: usize, g: usize, next: &mut Steps<'_>) {
        let (own, other) = (state.hosts[h].held, state.hosts[g].held);
        let back = self.has(Mutation::FollowPeerBack) && own.revision > other.revision;
        let checked = !self.has(Mutation::CopyUnchecked);
        let forked = own.revision <= other.revision && !other.follows(own);
        if forked && (checked || own.revision == other.revision) {
            if !state.alarm {
                next.add(Step::Copy(h, g), State::raise_alarm);
            }
        } else if own.revision < other.revision || back {
            next.add(Step::Copy(h, g), |s| s.hosts[h].take(other));
        }
    }
}

impl Version {
    /// Whether this catalogue, as far back as its history goes, can have come from `earlier`.
    fn follows(self, earlier: Self) -> bool {
        let later = u32::from(self.revision - earlier.revision);
        let author = self.content / 10_u16.pow(later) % 10;
        author == 0 || author == u16::from(earlier.author)
    }

    /// The catalogue after one more change.
    pub(super) fn fold(self, change: Self) -> Self {
        Self {
            content: self.content * 10 + u16::from(change.author),
            ..change
        }
    }
}

impl Host {
    fn take(&mut self, held: Version) {
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

    /// The newest catalogue in the store.
    pub(super) fn head(&self) -> Version {
        let newest = self.changes[..self.len].last();
        newest.copied().unwrap_or_default()
    }

    /// The change with this revision.
    pub(super) fn at(&self, revision: u8) -> Option<Version> {
        let mut changes = self.changes[..self.len].iter();
        changes.find(|c| c.revision == revision).copied()
    }

    /// How often the change of operator `o` is in the order.
    pub(super) fn count(&self, o: usize) -> usize {
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

    fn go_back(&mut self, len: usize) {
        self.changes[len..].fill(Version::default());
        self.len = len;
        self.went_back = true;
    }
}
