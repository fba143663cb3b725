//! The steps of time, of operators, and of host faults and restarts.

use super::{
    Config, HOSTS, Mutation,
    state::{BORROWER, LENDER, State, WriteKind},
};
use crate::specs::successors::Successors;

/// A step; a number is the index of the host, data centre or loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Time advances by one tick.
    Tick,
    /// Operators lower the limit by one unit.
    Lower,
    /// A unit is moved from the first data centre's share to the second's.
    MoveShare(usize, usize),
    /// The lowered limit is reported in force.
    ReportInForce,
    /// A host sends a transaction on its own row, or on its own row and one that it takes over.
    Send(usize, WriteKind),
    /// The table applies or refuses the transaction.
    Transact(usize),
    /// The answer to the transaction arrives.
    Answer(usize),
    /// A host that does not know the outcome of its transaction reads its row.
    ReadOwn(usize),
    /// The table applies or refuses a transaction whose answer the host no longer awaits.
    TransactLate(usize),
    /// The borrower requests a loan.
    Ask(usize),
    /// The lender grants the loan.
    Grant(usize),
    /// The grant arrives at the borrower.
    Borrow(usize),
    /// The borrower returns the loan early.
    Return(usize),
    /// The returned loan arrives at the lender.
    Returned(usize),
    /// The loan has expired; the lender uses the unit again.
    Reclaim(usize),
    /// A host resumes after a pause.
    Resume(usize),
    /// A host that acts on an earlier check of its term checks its clock again.
    Recheck(usize),
    /// A host starts work that may outlast its term.
    Begin(usize),
    /// A crashed host restarts as a new incarnation.
    Restart(usize),
    /// Fault: a host crashes.
    Crash(usize),
    /// Fault: a host is paused.
    Pause(usize),
    /// Fault: a host's clock falls behind by one tick.
    SlowClock(usize),
    /// Fault: the answer to a transaction is lost.
    LoseAnswer(usize),
    /// Fault: a host stops waiting for a transaction that is still in flight.
    SlowWrite(usize),
    /// Fault: the grant of a loan is duplicated.
    DoubleGrant(usize),
    /// Fault: the return of a loan is duplicated.
    DoubleReturn(usize),
}

/// The steps collected for one state.
pub(super) type Steps<'a> = Successors<'a, Step, State>;

impl Config {
    pub(super) fn time_steps(&self, state: &State, next: &mut Steps<'_>) {
        if state.now == self.end {
            return;
        }
        next.add(Step::Tick, |s| {
            s.now += 1;
            let stopped = |paused: bool| paused && self.has(Mutation::ClockStopsInPause);
            let hosts = s.hosts.iter_mut();
            hosts.for_each(|host| host.lag += u8::from(stopped(host.paused)));
            s.drop_expired_loans();
        });
    }

    pub(super) fn limit_steps(&self, state: &State, next: &mut Steps<'_>) {
        if state.left.lowerings > 0 {
            next.add(Step::Lower, |s| {
                s.left.lowerings -= 1;
                s.limit -= 1;
                s.in_force = false;
                for g in 0..HOSTS {
                    s.pools[g] -= s.pools[g].min(s.surplus());
                }
            });
        }
        let within_limit =
            state.allocated_units() <= state.limit || self.has(Mutation::ReportAtOnce);
        if !state.in_force && state.limit < super::LIMIT && within_limit {
            next.add(Step::ReportInForce, |s| s.in_force = true);
        }
    }

    pub(super) fn share_steps(&self, state: &State, next: &mut Steps<'_>) {
        if state.left.share_moves == 0 {
            return;
        }
        for g in (0..HOSTS).filter(|g| state.pools[*g] > 0) {
            for h in (0..HOSTS).filter(|h| *h != g) {
                next.add(Step::MoveShare(g, h), |s| {
                    s.left.share_moves -= 1;
                    s.pools[g] -= u8::from(!self.has(Mutation::MoveInTwoWrites));
                    s.pools[h] += 1;
                });
            }
        }
    }

    pub(super) fn host_steps(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        let host = &state.hosts[h];
        if !host.up {
            next.add(Step::Restart(h), |s| self.restart(s, h));
            return;
        }
        if host.paused {
            next.add(Step::Resume(h), |s| s.hosts[h].paused = false);
        } else {
            self.unchecked_steps(state, h, next);
            next.add_faults(
                |s| &mut s.left.pauses,
                |next| next.add(Step::Pause(h), |s| self.pause(s, h)),
            );
        }
        next.add_faults(
            |s| &mut s.left.crashes,
            |next| next.add(Step::Crash(h), |s| crash(s, h)),
        );
        if host.lag == 0 && state.now > 0 {
            next.add_faults(
                |s| &mut s.left.slow_clocks,
                |next| next.add(Step::SlowClock(h), |s| s.hosts[h].lag = 1),
            );
        }
    }

    fn pause(&self, state: &mut State, h: usize) {
        if self.has(Mutation::ActOnOldCheck) {
            state.hosts[h].unchecked = state.usable_units(h);
        }
        state.hosts[h].paused = true;
    }

    /// Adds the steps of the mutations in which a host acts on a check of its term that is not its
    /// most recent step.
    fn unchecked_steps(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        if state.hosts[h].unchecked > 0 {
            next.add(Step::Recheck(h), |s| s.hosts[h].unchecked = 0);
        } else if self.has(Mutation::WorkOutlivesTerm) && state.usable_units(h) > 0 {
            next.add(Step::Begin(h), |s| s.hosts[h].unchecked = s.usable_units(h));
        }
    }

    fn restart(&self, state: &mut State, h: usize) {
        state.hosts[h].up = true;
        let row = &mut state.rows[h];
        if self.has(Mutation::RestartReclaims) && row.life.is_some() {
            row.life = Some(state.hosts[h].life);
            row.version += 1;
            row.sent = state.now - state.hosts[h].lag;
            row.written = state.now;
            state.hosts[h].version = row.version;
            state.hosts[h].units = row.units;
            state.hosts[h].until = row.sent + self.term;
        }
    }
}

fn crash(state: &mut State, h: usize) {
    state.hosts[h].crash();
    for loan in &mut state.loans {
        if h == LENDER {
            loan.back_at = None;
        }
        if h == BORROWER {
            loan.asked = None;
            loan.held = 0;
            loan.until = 0;
        }
    }
}

impl State {
    /// Clears expired loans at the borrower, so that equivalent states are equal.
    fn drop_expired_loans(&mut self) {
        let clock = self.clock(BORROWER);
        for loan in self.loans.iter_mut().filter(|loan| clock >= loan.until) {
            loan.held = 0;
            loan.until = 0;
        }
    }

    /// The number of allocated units above the limit.
    pub(super) fn surplus(&self) -> u8 {
        self.allocated_units().saturating_sub(self.limit)
    }
}
