//! A limit split into units that hosts hold for a term, lend to each other and take over.
//!
//! The table has a row for each host, with the units that are its right, and for each data centre
//! the units of its share that are no host's. All that a host does to the table is one transaction on condition of the row's
//! version. A host counts its right's term from when it *sent* the write that renewed it; who
//! takes a row over waits for a term and a margin from when it *first read* the row's version. So
//! no two hosts compare clocks. Whoever takes over is assumed to have read the version as soon as
//! it was written, and to have a clock that is never slow: the earliest takeover is the worst. A loan's term counts from when the borrower asked for it.
//!
//! In use is what the hosts would act on at this instant: units within their term, by each host's
//! own clock. Time goes on in ticks; a slow clock falls one tick behind, once.
//!
//! Left out: how many requests a unit allows, and bursts; more than one host in a data centre;
//! reads of the table that are not one transaction; transactions of a host that has crashed since.
//! Losses need no fault of their own: a message may stay under way until the end of time.

mod loans;
mod scenarios;
mod state;
mod steps;
mod writes;

pub use self::{state::State, steps::Step};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// The number of hosts, each in a data centre of its own.
pub const HOSTS: usize = 2;

/// A rule left out of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No margin is waited for beyond a term.
    NoMargin,
    /// A host counts its term from the answer to its write.
    TermFromAnswer,
    /// A borrower counts a loan's term from when the loan came.
    LoanTermFromReceipt,
    /// A lender keeps using what it lent.
    LendWithoutDeduct,
    /// A loan that comes twice counts twice.
    CountLoanTwice,
    /// A loan given back twice counts twice.
    CountReturnTwice,
    /// A loan may outlive the right it was cut from.
    LoanOutlivesRight,
    /// A loan may end with the right it was cut from, less the margin.
    LoanEndsWithRight,
    /// A host that restarted takes its old row for its own.
    RestartReclaims,
    /// The table does not check versions.
    NoVersionCheck,
    /// A row is taken over as soon as its host seems to be dead.
    TakeOverAtOnce,
    /// A host's clock stands still while the host is paused.
    ClockStopsInPause,
    /// A paused host acts on a check it made before the pause.
    ActOnOldCheck,
    /// Work begun within the term runs on after it, and counts as use.
    WorkOutlivesTerm,
    /// A host uses what it asked of the table before the answer.
    UseBeforeAnswer,
    /// A host gives back to the table what it has lent.
    GiveBackWhileLent,
    /// Units go to one share before they are taken from the other.
    MoveInTwoWrites,
    /// A lowered limit is reported in force when it is accepted.
    ReportAtOnce,
}

/// The bounds, and the mutation if there is one. Times are in ticks.
#[derive(Debug, Clone)]
pub struct Config {
    /// How long a host may use its right after a renewal.
    pub term: u8,
    /// How long a loan lasts.
    pub loan_term: u8,
    /// What is waited for beyond a term.
    pub margin: u8,
    /// When the search ends.
    pub end: u8,
    /// Writes to the table.
    pub writes: u8,
    /// Loans; at most two.
    pub loans: usize,
    /// Hosts that crash; each may restart.
    pub crashes: u8,
    /// Hosts that are paused.
    pub pauses: u8,
    /// Clocks that fall a tick behind.
    pub slow_clocks: u8,
    /// Messages between hosts that come twice.
    pub duplicates: u8,
    /// Answers of the table that are lost.
    pub lost_answers: u8,
    /// Times the limit is lowered by one unit.
    pub lowerings: u8,
    /// Units that hosts give back to their data centre, beyond those that a lowered limit asks for.
    pub moves: u8,
    /// Units that go from one data centre's share to the other's.
    pub share_moves: u8,
    /// The rule left out.
    pub mutation: Option<Mutation>,
}

impl Config {
    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// What is waited for beyond a term.
    fn margin(&self) -> u8 {
        match self.has(Mutation::NoMargin) {
            true => 0,
            false => self.margin,
        }
    }
}

/// The units at the beginning: one of each host.
const LIMIT: u8 = HOSTS as u8;

impl Spec for Config {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State::new(self)
    }

    fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let mut next = Successors::of(state);
        self.time(state, &mut next);
        self.limit(state, &mut next);
        self.shares(state, &mut next);
        for h in 0..HOSTS {
            self.writes(state, h, &mut next);
            self.host_faults(state, h, &mut next);
        }
        for id in 0..self.loans {
            self.loan(state, id, &mut next);
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
