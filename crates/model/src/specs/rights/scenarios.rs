//! The configurations to search.

use super::{Config, Mutation};
use crate::report::{Case, SearchSuite, Size};

/// The base configuration: no faults, loans or writes.
const BASE: Config = Config {
    term: 2,
    loan_term: 1,
    margin: 1,
    end: 3,
    writes: 0,
    loans: 0,
    crashes: 0,
    pauses: 0,
    slow_clocks: 0,
    duplicates: 0,
    lost_answers: 0,
    lowerings: 0,
    moves: 0,
    share_moves: 0,
    mutation: None,
};

/// Loans with duplicated and late messages.
const LOANS: Config = Config {
    term: 3,
    loans: 2,
    crashes: 1,
    pauses: 1,
    slow_clocks: 2,
    duplicates: 1,
    ..BASE
};

/// Renewals and takeovers with lost answers.
const TAKEOVER: Config = Config {
    end: 4,
    writes: 2,
    crashes: 1,
    slow_clocks: 1,
    lost_answers: 1,
    ..BASE
};

/// A takeover of the lender's right while its loan is outstanding.
const LENDER_LOST: Config = Config {
    writes: 2,
    loans: 1,
    crashes: 1,
    slow_clocks: 2,
    ..BASE
};

/// A limit lowered while a loan is outstanding and a host is down.
const LOWERED: Config = Config {
    writes: 2,
    loans: 1,
    crashes: 1,
    lowerings: 1,
    ..BASE
};

/// Units returned, moved to another data centre's share and acquired from there.
const MOVED: Config = Config {
    end: 2,
    writes: 3,
    moves: 1,
    share_moves: 1,
    lost_answers: 1,
    ..BASE
};

impl SearchSuite for Config {
    const NAME: &'static str = "rights";

    type Mutation = Mutation;

    fn with_mutation(self, mutation: Mutation) -> Self {
        let mutation = Some(mutation);
        Self { mutation, ..self }
    }

    fn cases(size: Size) -> Vec<Case<Self>> {
        let large = |end, writes, config: Self| match size {
            Size::Small => config,
            Size::Large => Self {
                end,
                writes,
                ..config
            },
        };
        vec![
            Case::new("loans", large(4, 0, LOANS)),
            Case::new("takeover", large(5, 3, TAKEOVER)),
            Case::new("lender lost", large(4, 3, LENDER_LOST)),
            Case::new("limit lowered", large(3, 3, LOWERED)),
            Case::new("units moved", large(3, 3, MOVED)),
        ]
    }

    fn mutants() -> Vec<Case<Self>> {
        use Mutation::{
            ActOnOldCheck, ClockStopsInPause, CountLoanTwice, CountReturnTwice, GiveBackWhileLent,
            LendWithoutDeduct, LoanEndsWithRight, LoanOutlivesRight, LoanTermFromReceipt,
            MoveInTwoWrites, NoMargin, NoVersionCheck, ReportAtOnce, RestartReclaims,
            TakeOverAtOnce, TermFromAnswer, UseBeforeAnswer, WorkOutlivesTerm,
        };
        let punctual = |config: Self| Self {
            slow_clocks: 0,
            ..config
        };
        let long_loans = |config: Self| Self {
            loan_term: 3,
            ..config
        };
        vec![
            punctual(LOANS).mutant(LoanTermFromReceipt),
            LOANS.mutant(LendWithoutDeduct),
            LOANS.mutant(CountLoanTwice),
            LOANS.mutant(CountReturnTwice),
            LOANS.mutant(RestartReclaims),
            punctual(LOANS).mutant(ClockStopsInPause),
            LOANS.mutant(ActOnOldCheck),
            long_loans(punctual(LENDER_LOST)).mutant(LoanOutlivesRight),
            LENDER_LOST.mutant(LoanEndsWithRight),
            TAKEOVER.mutant(NoMargin),
            TAKEOVER.mutant(TermFromAnswer),
            TAKEOVER.mutant(NoVersionCheck),
            TAKEOVER.mutant(TakeOverAtOnce),
            TAKEOVER.mutant(WorkOutlivesTerm),
            MOVED.mutant(UseBeforeAnswer),
            MOVED.mutant(MoveInTwoWrites),
            LOWERED.mutant(GiveBackWhileLent),
            LOWERED.mutant(ReportAtOnce),
        ]
    }
}
