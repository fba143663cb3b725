//! The steps of loans from one host to another.

use super::{
    Config, Mutation,
    state::{BORROWER, LENDER, State},
    steps::{Step, Steps},
};

impl Config {
    pub(super) fn loan_steps(&self, state: &State, id: usize, next: &mut Steps<'_>) {
        if state.is_running(LENDER) {
            self.lender_steps(state, id, next);
        }
        if state.is_running(BORROWER) {
            self.borrower_steps(state, id, next);
        }
        let loan = &state.loans[id];
        if loan.grants == 1 {
            next.add_faults(
                |s| &mut s.left.duplicates,
                |next| next.add(Step::DoubleGrant(id), |s| s.loans[id].grants += 1),
            );
        }
        if loan.returns == 1 {
            next.add_faults(
                |s| &mut s.left.duplicates,
                |next| next.add(Step::DoubleReturn(id), |s| s.loans[id].returns += 1),
            );
        }
    }

    fn lender_steps(&self, state: &State, id: usize, next: &mut Steps<'_>) {
        let loan = &state.loans[id];
        if loan.request && self.can_lend(state) {
            next.add(Step::Grant(id), |s| {
                let clock = s.clock(LENDER);
                let loan = &mut s.loans[id];
                loan.request = false;
                loan.grants += 1;
                if !self.has(Mutation::LendWithoutDeduct) {
                    loan.back_at = Some(clock + self.loan_term + self.margin());
                    s.hosts[LENDER].units -= 1;
                }
            });
        }
        if loan.returns > 0 {
            next.add(Step::Returned(id), |s| {
                let loan = &mut s.loans[id];
                loan.returns -= 1;
                let outstanding = loan.back_at.take().is_some();
                if outstanding || self.has(Mutation::CountReturnTwice) {
                    s.hosts[LENDER].units += 1;
                }
            });
        }
        if loan.back_at.is_some_and(|at| state.clock(LENDER) >= at) {
            next.add(Step::Reclaim(id), |s| {
                s.loans[id].back_at = None;
                s.hosts[LENDER].units += 1;
            });
        }
    }

    /// Whether the lender may lend a unit: the loan, margin included, must end before the lender's
    /// own right expires. Then a host that takes over the right of a dead lender finds no loan of
    /// it in use.
    fn can_lend(&self, state: &State) -> bool {
        let host = &state.hosts[LENDER];
        let clock = state.clock(LENDER);
        let end = match self.mutation {
            Some(Mutation::LoanOutlivesRight) => clock + 1,
            Some(Mutation::LoanEndsWithRight) => clock + self.loan_term,
            _ => clock + self.loan_term + self.margin(),
        };
        host.units > 0 && end <= host.until
    }

    fn borrower_steps(&self, state: &State, id: usize, next: &mut Steps<'_>) {
        let loan = &state.loans[id];
        let clock = state.clock(BORROWER);
        if loan.asked.is_none() && !loan.request && !loan.taken && loan.grants == 0 {
            next.add(Step::Ask(id), |s| {
                s.loans[id].asked = Some(clock);
                s.loans[id].request = true;
            });
        }
        if loan.grants > 0 {
            next.add(Step::Borrow(id), |s| self.accept_grant(s, id));
        }
        if loan.held > 0 && clock < loan.until {
            next.add(Step::Return(id), |s| {
                s.loans[id].held = 0;
                s.loans[id].until = 0;
                s.loans[id].returns += 1;
            });
        }
    }

    fn accept_grant(&self, state: &mut State, id: usize) {
        let clock = state.clock(BORROWER);
        let loan = &mut state.loans[id];
        loan.grants -= 1;
        let again = loan.taken && !self.has(Mutation::CountLoanTwice);
        // The term of a grant that this incarnation did not request is unknown.
        let Some(asked) = loan.asked.filter(|_| !again) else {
            return;
        };
        loan.taken = true;
        loan.held += 1;
        loan.until = match self.has(Mutation::LoanTermFromReceipt) {
            true => clock + self.loan_term,
            false => asked + self.loan_term,
        };
    }
}
