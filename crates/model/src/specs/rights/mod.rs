//! A limit split into units that hosts hold for a term, lend to each other and take over.
//!
//! The table has a row for each host with the units of its right, and for each data centre the
//! units of its share that no host holds. Each change that a host makes to the table is one
//! transaction, conditional on the version of the row. The term of a right counts from when its
//! host *sent* the write that renewed it. A host that takes over a row waits for a term and a
//! margin from when it *first read* the row's version. So the clocks of two hosts are never
//! compared. The host that takes over is assumed to have read the version as soon as it was
//! written and to have a clock that is never slow, because the earliest takeover is the worst case.
//! The term of a loan counts from when the borrower requested it.
//!
//! The units in use are those that the hosts would act on at this instant: the units within their
//! term by each host's own clock. Time advances in ticks; a slow clock falls behind by one tick,
//! once.
//!
//! Not modelled: how many requests a unit allows, and bursts; more than one host in a data centre;
//! reads of the table that are not one transaction; transactions of a host that has crashed since
//! it sent them. Losses need no separate fault: a message may stay in flight until time ends.

mod loans;
mod scenarios;
mod state;
mod steps;
mod writes;

pub use self::{state::State, steps::Step};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// The number of hosts, each in a different data centre.
pub const HOSTS: usize = 2;

/// A mutation of the protocol: each removes one rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Hosts wait for no margin after a term.
    NoMargin,
    /// A host counts its term from the receipt of the answer to its write.
    TermFromAnswer,
    /// A borrower counts a loan's term from the receipt of the grant.
    LoanTermFromReceipt,
    /// A lender continues to use the unit that it lent.
    LendWithoutDeduct,
    /// A duplicated grant of a loan counts twice.
    CountLoanTwice,
    /// A duplicated return of a loan counts twice.
    CountReturnTwice,
    /// A loan may end after the lender's right that it was taken from.
    LoanOutlivesRight,
    /// A loan may end together with the lender's right, without a margin before the right's end.
    LoanEndsWithRight,
    /// A restarted host treats the row of its previous incarnation as its own.
    RestartReclaims,
    /// The table does not check the versions of rows.
    NoVersionCheck,
    /// A row is taken over without waiting for its term to expire.
    TakeOverAtOnce,
    /// A host's clock stops while the host is paused.
    ClockStopsInPause,
    /// A host acts after a pause on a check of its term from before the pause.
    ActOnOldCheck,
    /// Work started within the term continues after it and counts as use.
    WorkOutlivesTerm,
    /// A host uses a unit that it requested from the table before it receives the answer.
    UseBeforeAnswer,
    /// A host returns to the table a unit that it has lent.
    GiveBackWhileLent,
    /// Units are added to one share before they are removed from the other.
    MoveInTwoWrites,
    /// A lowered limit is reported in force as soon as it is accepted.
    ReportAtOnce,
}

/// The bounds of the specification and its optional mutation. Times are in ticks.
#[derive(Debug, Clone)]
pub struct Config {
    /// The duration for which a host may use its right after a renewal.
    pub term: u8,
    /// The duration of a loan.
    pub loan_term: u8,
    /// The wait after the end of a term.
    pub margin: u8,
    /// The time at which the search ends.
    pub end: u8,
    /// Writes to the table.
    pub writes: u8,
    /// Loans; at most 2.
    pub loans: usize,
    /// Host crashes; a crashed host may restart.
    pub crashes: u8,
    /// Pauses of hosts.
    pub pauses: u8,
    /// Clocks that fall behind by one tick.
    pub slow_clocks: u8,
    /// Duplicated messages between hosts.
    pub duplicates: u8,
    /// Answers from the table that are lost or that a host stops waiting for.
    pub lost_answers: u8,
    /// Reductions of the limit by one unit.
    pub lowerings: u8,
    /// Units that hosts return to their data centre's share, in addition to those that a lowered
    /// limit requires.
    pub moves: u8,
    /// Units moved from one data centre's share to the other's.
    pub share_moves: u8,
    /// The mutation, if any.
    pub mutation: Option<Mutation>,
}

impl Config {
    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// The wait after the end of a term, in ticks; 0 with [`Mutation::NoMargin`].
    fn margin(&self) -> u8 {
        match self.has(Mutation::NoMargin) {
            true => 0,
            false => self.margin,
        }
    }
}

/// The initial limit in units: one for each host.
const LIMIT: u8 = HOSTS as u8;

impl Spec for Config {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State::new(self)
    }

    fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let mut next = Successors::of(state);
        self.time_steps(state, &mut next);
        self.limit_steps(state, &mut next);
        self.share_steps(state, &mut next);
        for h in 0..HOSTS {
            self.write_steps(state, h, &mut next);
            self.host_steps(state, h, &mut next);
        }
        for id in 0..self.loans {
            self.loan_steps(state, id, &mut next);
        }
        next.into_steps()
    }

    fn is_fault(&self, step: &Step) -> bool {
        use Step::{Crash, DoubleGrant, DoubleReturn, LoseAnswer, Pause, SlowClock, SlowWrite};
        matches!(
            step,
            Crash(_)
                | Pause(_)
                | SlowClock(_)
                | LoseAnswer(_)
                | DoubleGrant(_)
                | DoubleReturn(_)
                | SlowWrite(_)
        )
    }

    fn invariants(&self) -> Vec<Property<Self>> {
        vec![
            Property::new("the rights in use are within the limit", within_limit),
            Property::new(
                "the rights in use are within a limit reported in force",
                within_lowered_limit,
            ),
        ]
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound::new("hosts", HOSTS as u64),
            Bound::new("term", self.term),
            Bound::new("loan term", self.loan_term),
            Bound::new("margin", self.margin),
            Bound::new("ticks", self.end),
            Bound::new("writes", self.writes),
            Bound::new("loans", self.loans as u64),
            Bound::new("crashes", self.crashes),
            Bound::new("pauses", self.pauses),
            Bound::new("slow clocks", self.slow_clocks),
            Bound::new("duplicates", self.duplicates),
            Bound::new("lost answers", self.lost_answers),
            Bound::new("lowerings", self.lowerings),
            Bound::new("moves", self.moves),
            Bound::new("share moves", self.share_moves),
        ]
    }
}

fn within_limit(_: &Config, state: &State) -> bool {
    state.in_use() <= LIMIT
}

fn within_lowered_limit(_: &Config, state: &State) -> bool {
    !state.in_force || state.in_use() <= state.limit
}
