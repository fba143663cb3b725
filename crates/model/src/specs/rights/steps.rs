//! What may happen: time, operators and faults of hosts.

use super::{
    Config, HOSTS, Mutation,
    state::{BORROWER, Kind, LENDER, State},
};
use crate::specs::successors::Successors;

/// What may happen; the number is that of the host, or of the loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Time goes on.
    Tick,
    /// Operators lower the limit by one unit.
    Lower,
    /// A unit goes from one data centre's share to another's.
    MoveShare(usize, usize),
    /// The lowered limit is reported in force.
    ReportInForce,
    /// A host sends a transaction on its own row.
    Send(usize, Kind),
    /// The table does the transaction, or refuses it.
    Transact(usize),
    /// The answer comes.
    Answer(usize),
    /// A host in doubt reads its row.
    ReadOwn(usize),
    /// The table does, or refuses, a transaction on which the host waits no longer.
    TransactLate(usize),
    /// The borrower asks for a loan.
    Ask(usize),
    /// The lender grants it.
    Grant(usize),
    /// The loan comes to the borrower.
    Borrow(usize),
    /// The borrower gives it back early.
    Return(usize),
    /// The lender has it back early.
    Returned(usize),
    /// The loan has lapsed; the lender uses the unit again.
    Reclaim(usize),
    /// A host goes on after a pause.
    Resume(usize),
    /// A host looks at the clock again.
    Recheck(usize),
    /// A host begins work that lasts.
    Begin(usize),
    /// A crashed host is back, in another life.
    Restart(usize),
    /// Fault: a host crashes.
    Crash(usize),
    /// Fault: a host is paused.
    Pause(usize),
    /// Fault: a host's clock falls a tick behind.
    SlowClock(usize),
    /// Fault: the answer to a transaction is lost.
    LoseAnswer(usize),
    /// Fault: a host waits no longer for a transaction that is under way.
    SlowWrite(usize),
    /// Fault: the message with a loan comes twice.
    DoubleGrant(usize),
    /// Fault: the message that gives a loan back comes twice.
    DoubleReturn(usize),
}

/// Steps that are collected.
pub(super) type Steps<'a> = Successors<'a, Step, State>;

impl Config {
    pub(super) fn time(&self, state: &State, next: &mut Steps<'_>) {
        if state.now == self.end {
            return;
        }
        next.add(Step::Tick, |s| {
            s.now += 1;
            let stopped = |paused: bool| paused && self.has(Mutation::ClockStopsInPause);
            let hosts = s.hosts.iter_mut();
            hosts.for_each(|host| host.lag += u8::from(stopped(host.paused)));
            s.forget();
        });
    }

    pub(super) fn limit(&self, state: &State, next: &mut Steps<'_>) {
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
        let lapsed = state.total() <= state.limit || self.has(Mutation::ReportAtOnce);
        if !state.in_force && state.limit < super::LIMIT && lapsed {
            next.add(Step::ReportInForce, |s| s.in_force = true);
        }
    }

    pub(super) fn shares(&self, state: &State, next: &mut Steps<'_>) {
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

    pub(super) fn host_faults(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        let host = &state.hosts[h];
        if !host.up {
            next.add(Step::Restart(h), |s| self.restart(s, h));
            return;
        }
        if host.paused {
            next.add(Step::Resume(h), |s| s.hosts[h].paused = false);
        } else {
            self.unchecked(state, h, next);
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
            state.hosts[h].unchecked = state.within_term(h);
        }
        state.hosts[h].paused = true;
    }

    /// Acting on a check that is not the last step before.
    fn unchecked(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        if state.hosts[h].unchecked > 0 {
            next.add(Step::Recheck(h), |s| s.hosts[h].unchecked = 0);
        } else if self.has(Mutation::WorkOutlivesTerm) && state.within_term(h) > 0 {
            next.add(Step::Begin(h), |s| s.hosts[h].unchecked = s.within_term(h));
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
    /// Drops what has lapsed and makes no difference any more.
    fn forget(&mut self) {
        let clock = self.clock(BORROWER);
        for loan in self.loans.iter_mut().filter(|loan| clock >= loan.until) {
            loan.held = 0;
            loan.until = 0;
        }
    }

    /// The units that the table has above the limit.
    pub(super) fn surplus(&self) -> u8 {
        self.total().saturating_sub(self.limit)
    }
}
