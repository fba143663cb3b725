//! The steps of the delivery specification.

use super::{
    Config, Mutation,
    state::{Answer, Call, Phase, Record, State},
};
use crate::specs::successors::Successors;

/// A step; the number is the index of the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The call arrives at its host.
    Arrive(usize),
    /// The host sends its insert, or retries it.
    SendInsert(usize),
    /// The table processes the insert and answers the host.
    Insert(usize),
    /// The table processes an insert whose answer the host no longer awaits.
    InsertLate(usize),
    /// The host refuses the call after its last insert attempt.
    GiveUp(usize),
    /// The host dispatches the call to the endpoint.
    Dispatch(usize),
    /// The endpoint runs the call.
    Run(usize),
    /// The result arrives at the host.
    Result(usize),
    /// The host stores the answer in the record.
    Store(usize),
    /// Fault: the insert is lost before it takes effect.
    LoseInsert(usize),
    /// Fault: the insert takes effect, but its answer is lost.
    LoseInserted(usize),
    /// Fault: the host times out while the insert is still in flight.
    SlowInsert(usize),
    /// Fault: the connection to the endpoint breaks before the call arrives.
    LoseDispatch(usize),
    /// Fault: the connection to the endpoint breaks while the call is in flight; the call may
    /// still arrive.
    SlowDispatch(usize),
    /// Fault: the connection to the endpoint breaks after the call ran.
    LoseResult(usize),
    /// Fault: the deadline of the call expires.
    Deadline(usize),
    /// Fault: the caller's connection is lost.
    HangUp(usize),
    /// Fault: the host crashes.
    Crash(usize),
}

impl Config {
    pub(super) fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// The table processes the insert of call `c`. Returns whether the host of `c` identifies the
    /// record as its own.
    fn insert(&self, state: &mut State, c: usize) -> bool {
        if state.record.is_none() || self.has(Mutation::UnconditionalInsert) {
            state.record = Some(Record {
                writer: c,
                answered: false,
            });
        }
        let own = state.record.is_some_and(|record| record.writer == c);
        own || self.has(Mutation::SharedWriteId)
    }

    fn insert_answered(&self, state: &mut State, c: usize) {
        if self.insert(state, c) || self.has(Mutation::TakeOverRecord) {
            state.calls[c].phase = Phase::Recorded;
            return;
        }
        let answered = state.record.is_some_and(|record| record.answered);
        state.calls[c].answer(match answered {
            true => Answer::Complete,
            false => Answer::MayHaveRun,
        });
    }

    /// The answer of a host that does not know whether it wrote the record.
    fn refusal(&self, call: &Call) -> Answer {
        match call.repeat && !self.has(Mutation::RefuseRepeatBlindly) {
            true => Answer::MayHaveRun,
            false => Answer::NotRun,
        }
    }

    /// Handles a broken connection to the endpoint.
    fn disconnect(&self, call: &mut Call) {
        if self.has(Mutation::DispatchAgain) {
            call.dispatches += 1;
        } else if self.has(Mutation::NotRunAfterDispatch) {
            call.answer(Answer::NotRun);
        } else {
            call.answer(Answer::MayHaveRun);
        }
    }

    fn can_arrive(&self, state: &State, c: usize) -> bool {
        let mut earlier = state.calls[..c].iter();
        !self.one_caller || earlier.all(Call::is_finished)
    }

    /// Adds the steps of call `c` that are not faults.
    pub(super) fn protocol_steps(
        &self,
        state: &State,
        c: usize,
        next: &mut Successors<'_, Step, State>,
    ) {
        let call = &state.calls[c];
        match call.phase {
            Phase::Absent if self.can_arrive(state, c) => next.add(Step::Arrive(c), |s| {
                let unknown = s.calls[..c].iter().any(|call| !call.is_known_not_run());
                s.calls[c].repeat = self.one_caller && unknown;
                s.calls[c].phase = Phase::Received;
            }),
            Phase::Received => next.add(Step::SendInsert(c), |s| s.calls[c].send_insert()),
            Phase::InDoubt if call.tried < self.attempts => {
                next.add(Step::SendInsert(c), |s| s.calls[c].send_insert());
            }
            Phase::InDoubt => next.add(Step::GiveUp(c), |s| {
                let refusal = self.refusal(&s.calls[c]);
                s.calls[c].answer(refusal);
            }),
            Phase::Inserting => next.add(Step::Insert(c), |s| self.insert_answered(s, c)),
            Phase::Recorded => next.add(Step::Dispatch(c), |s| s.calls[c].dispatch()),
            _ => {}
        }
        if call.phase == Phase::Inserting && self.has(Mutation::DispatchBeforeRecord) {
            next.add(Step::Dispatch(c), |s| {
                s.calls[c].late_inserts += 1;
                s.calls[c].dispatch();
            });
        }
        if call.late_inserts > 0 {
            next.add(Step::InsertLate(c), |s| {
                s.calls[c].late_inserts -= 1;
                let own = self.insert(s, c);
                let refused = s.calls[c].phase == Phase::Ended;
                if own && refused && self.has(Mutation::DispatchAfterRefusal) {
                    s.calls[c].dispatch();
                }
            });
        }
        if call.dispatches > 0 {
            next.add(Step::Run(c), |s| {
                s.calls[c].dispatches -= 1;
                s.calls[c].runs += 1;
                s.calls[c].result = true;
            });
        }
        if call.result {
            next.add(Step::Result(c), |s| self.receive_result(&mut s.calls[c]));
        }
        if call.unstored {
            next.add(Step::Store(c), |s| {
                s.calls[c].unstored = false;
                let own = s.record.as_mut().filter(|record| record.writer == c);
                if let Some(record) = own {
                    record.answered = true;
                }
            });
        }
    }

    fn receive_result(&self, call: &mut Call) {
        call.result = false;
        call.unstored = call.phase != Phase::Crashed;
        let late = call.phase == Phase::Ended && self.has(Mutation::AnswerLateResult);
        if call.phase == Phase::Dispatched || late {
            call.answer(Answer::Complete);
        }
    }

    pub(super) fn loss_steps(
        &self,
        state: &State,
        c: usize,
        next: &mut Successors<'_, Step, State>,
    ) {
        let call = &state.calls[c];
        if call.phase == Phase::Inserting {
            next.add(Step::LoseInsert(c), |s| s.calls[c].phase = Phase::InDoubt);
            next.add(Step::LoseInserted(c), |s| {
                self.insert(s, c);
                s.calls[c].phase = Phase::InDoubt;
            });
            next.add(Step::SlowInsert(c), |s| {
                s.calls[c].late_inserts += 1;
                s.calls[c].phase = Phase::InDoubt;
            });
        }
        if call.phase == Phase::Dispatched && call.dispatches > 0 {
            next.add(Step::LoseDispatch(c), |s| {
                s.calls[c].dispatches -= 1;
                self.disconnect(&mut s.calls[c]);
            });
            next.add(Step::SlowDispatch(c), |s| self.disconnect(&mut s.calls[c]));
        }
        if call.phase == Phase::Dispatched && call.result {
            next.add(Step::LoseResult(c), |s| {
                s.calls[c].result = false;
                self.disconnect(&mut s.calls[c]);
            });
        }
    }

    pub(super) fn caller_fault_steps(
        &self,
        state: &State,
        c: usize,
        next: &mut Successors<'_, Step, State>,
    ) {
        let call = &state.calls[c];
        if !call.is_open() {
            return;
        }
        next.add(Step::Deadline(c), |s| {
            let call = &mut s.calls[c];
            call.late_inserts += u8::from(call.phase == Phase::Inserting);
            let answer = match call.phase {
                Phase::Dispatched => Answer::MayHaveRun,
                Phase::Recorded => Answer::NotRun,
                _ => self.refusal(call),
            };
            call.answer(answer);
        });
        if !call.hung_up {
            next.add(Step::HangUp(c), |s| s.calls[c].hung_up = true);
        }
    }
}
