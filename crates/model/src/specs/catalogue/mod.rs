//! The catalogue: one order of changes by compare-and-set, and hosts that only go forward.
//!
//! Operators propose a change on the head they read. Hosts fold changes from the store onto what
//! they hold, or copy what a peer holds. The store may go back to an older state; then what was
//! accepted since is gone, and somebody has to notice.
//!
//! Left out: entries and their checks (a catalogue is the sequence of its changes), trimming, and
//! snapshots but for the one a restoration writes. A cut needs no fault of its own: each host's
//! reads of the store, and of each peer, may come as late as can be.

mod operators;
mod scenarios;
mod steps;

use self::steps::{MAX_CHANGES, Outcome};
pub use self::steps::{State, Step};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// A rule left out of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The store takes a change whatever its head is.
    CommitUnconditionally,
    /// A lost answer is reported as a conflict.
    AssumeConflict,
    /// A lost answer is reported as accepted.
    AssumeAccepted,
    /// A proposal in doubt is made again on the new head.
    RebaseInDoubt,
    /// A host takes what the store has, also when it is older.
    FollowStoreBack,
    /// A host takes what a peer has, also when it is older.
    FollowPeerBack,
    /// A host folds a change onto a catalogue that it does not follow.
    FoldUnchecked,
    /// A host copies from a peer a catalogue that does not follow its own.
    CopyUnchecked,
    /// Operators do not look again after a change was accepted.
    NoSecondLook,
    /// A restoration is numbered above the store's head alone.
    RestoreAboveStore,
    /// A restoration leaves the changes of the older state in place.
    RestoreKeepsChanges,
}

/// The bounds, and the mutation if there is one.
#[derive(Debug, Clone)]
pub struct Config {
    /// Operators, with one change each; at most 3.
    pub operators: usize,
    /// Hosts, each in a data centre of its own; at most 3.
    pub hosts: usize,
    /// Tries of each proposal.
    pub tries: u8,
    /// Answers of the store that are lost, or slower than an operator waits.
    pub losses: u8,
    /// Hosts that crash, and begin again with nothing.
    pub crashes: u8,
    /// Times the store goes back to an older state.
    pub setbacks: u8,
    /// Restorations by an operator, once an alarm is raised.
    pub restorations: u8,
    /// The rule left out.
    pub mutation: Option<Mutation>,
}

impl Config {
    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }
}

impl Spec for Config {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State::new(self)
    }

    fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let mut next = Successors::of(state);
        for o in 0..self.operators {
            self.operator(state, o, &mut next);
        }
        for h in 0..self.hosts {
            self.host(state, h, &mut next);
        }
        self.store(state, &mut next);
        next.into_steps()
    }

    fn is_fault(&self, step: &Step) -> bool {
        use Step::{Crash, GoBack, LoseAnswer, SlowCommit};
        matches!(step, LoseAnswer(_) | SlowCommit(_) | Crash(_) | GoBack(_))
    }

    fn invariants(&self) -> Vec<Property<Self>> {
        vec![
            Property::new("no host's revision goes back during its life", only_forward),
            Property::new(
                "hosts at one revision hold the same, unless the store went back",
                same_content,
            ),
            Property::new(
                "what was accepted is in the order, unless the store went back",
                accepted_lasts,
            ),
            Property::new(
                "what was reported a conflict is not in the order",
                conflicts_are_true,
            ),
            Property::new("no change is in the order twice", once_in_order),
        ]
    }

    fn goals(&self) -> Vec<Property<Self>> {
        vec![
            Property::new(
                "all hosts end at the store's head, or an alarm is raised",
                agree,
            ),
            Property::new(
                "what was accepted is in the order, or an alarm is raised",
                accepted_or_alarm,
            ),
            Property::new(
                "after a restoration all hosts end at the store's head",
                restored_everywhere,
            ),
        ]
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound::new("operators", self.operators as u64),
            Bound::new("data centres", self.hosts as u64),
            Bound::new("changes", MAX_CHANGES as u64),
            Bound::new("tries", self.tries),
            Bound::new("losses", self.losses),
            Bound::new("crashes", self.crashes),
            Bound::new("setbacks", self.setbacks),
            Bound::new("restorations", self.restorations),
        ]
    }
}

fn only_forward(_: &Config, state: &State) -> bool {
    let mut hosts = state.hosts.iter();
    hosts.all(|host| host.held.revision >= host.highest)
}

fn same_content(_: &Config, state: &State) -> bool {
    let same = |a: &steps::Host, b: &steps::Host| {
        a.held.revision != b.held.revision || a.held.content == b.held.content
    };
    let mut hosts = state.hosts.iter();
    state.went_back || hosts.all(|a| state.hosts.iter().all(|b| same(a, b)))
}

fn accepted_lasts(_: &Config, state: &State) -> bool {
    state.went_back || all_accepted(state)
}

fn all_accepted(state: &State) -> bool {
    let told = |o: &usize| matches!(state.operators[*o].outcome, Some(Outcome::Accepted(_)));
    let mut told = (0..state.operators.len()).filter(told);
    told.all(|o| state.count(o) > 0)
}

fn conflicts_are_true(_: &Config, state: &State) -> bool {
    let told = |o: &usize| state.operators[*o].outcome == Some(Outcome::Conflict);
    let mut told = (0..state.operators.len()).filter(told);
    state.went_back || told.all(|o| state.count(o) == 0)
}

fn once_in_order(_: &Config, state: &State) -> bool {
    (0..state.operators.len()).all(|o| state.count(o) <= 1)
}

fn agree(cfg: &Config, state: &State) -> bool {
    let head = state.head();
    let mut hosts = state.hosts[..cfg.hosts].iter();
    state.alarm || hosts.all(|host| host.held == head)
}

fn accepted_or_alarm(_: &Config, state: &State) -> bool {
    state.alarmed || all_accepted(state)
}

fn restored_everywhere(cfg: &Config, state: &State) -> bool {
    let head = state.head();
    let mut hosts = state.hosts[..cfg.hosts].iter();
    !state.restored || hosts.all(|host| host.held == head)
}
