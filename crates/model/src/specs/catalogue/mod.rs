//! The catalogue: a total order of changes by compare-and-set, and hosts whose revision never
//! decreases.
//!
//! An operator proposes a change on top of the head that it read. Hosts fold changes from the store
//! onto the catalogue that they hold, or copy the catalogue of a peer. The store may revert to an
//! older state; the changes accepted since are then lost, and a host or an operator must detect
//! this and raise an alarm.
//!
//! Not modelled: entries and their checks (a catalogue is the sequence of its changes), trimming,
//! and snapshots except the one that a restoration writes. A partition needs no separate fault:
//! each host's reads of the store and of each peer may be delayed arbitrarily.

mod operators;
mod scenarios;
mod steps;

use self::steps::{MAX_CHANGES, Outcome};
pub use self::steps::{State, Step};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// A mutation of the protocol: each removes one rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The store commits a change regardless of its head.
    CommitUnconditionally,
    /// An operator reports a lost answer as a conflict.
    AssumeConflict,
    /// An operator reports a lost answer as accepted.
    AssumeAccepted,
    /// An operator retries a proposal with an unknown outcome on the new head.
    RebaseInDoubt,
    /// A host loads the store's catalogue even if it is older than its own.
    FollowStoreBack,
    /// A host copies a peer's catalogue even if it is older than its own.
    FollowPeerBack,
    /// A host folds a change onto a catalogue that the change does not follow.
    FoldUnchecked,
    /// A host copies a peer's catalogue that does not follow its own.
    CopyUnchecked,
    /// Operators do not verify an accepted change later.
    NoSecondLook,
    /// The revision of a restoration is above the store's head but not above those of all hosts.
    RestoreAboveStore,
    /// A restoration keeps the changes of the older state in the store.
    RestoreKeepsChanges,
}

/// The bounds of the specification and its optional mutation.
#[derive(Debug, Clone)]
pub struct Config {
    /// Operators, each with one change; at most 3.
    pub operators: usize,
    /// Hosts, each in a different data centre; at most 3.
    pub hosts: usize,
    /// Attempts of each proposal.
    pub attempts: u8,
    /// Answers from the store that are lost or arrive after the operator's timeout.
    pub losses: u8,
    /// Host crashes; a crashed host restarts without state.
    pub crashes: u8,
    /// Reverts of the store to an older state.
    pub setbacks: u8,
    /// Restorations by an operator after an alarm.
    pub restorations: u8,
    /// The mutation, if any.
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
            self.operator_steps(state, o, &mut next);
        }
        for h in 0..self.hosts {
            self.host_steps(state, h, &mut next);
        }
        self.store_steps(state, &mut next);
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
            Bound::new("tries", self.attempts),
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
    let reported = |o: &usize| matches!(state.operators[*o].outcome, Some(Outcome::Accepted(_)));
    let mut reported = (0..state.operators.len()).filter(reported);
    reported.all(|o| state.occurrences(o) > 0)
}

fn conflicts_are_true(_: &Config, state: &State) -> bool {
    let reported = |o: &usize| state.operators[*o].outcome == Some(Outcome::Conflict);
    let mut reported = (0..state.operators.len()).filter(reported);
    state.went_back || reported.all(|o| state.occurrences(o) == 0)
}

fn once_in_order(_: &Config, state: &State) -> bool {
    (0..state.operators.len()).all(|o| state.occurrences(o) <= 1)
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
