//! A call that may not be repeated: one record in the table, then at most one dispatch.
//!
//! Several calls carry the same idempotency key, each to a host of its own. A host inserts the
//! key's record on condition that it is absent, and dispatches only as the writer of the record.
//! Left out: the body of the call, and hosts that attach a duplicate to the call they run.

mod scenarios;
mod state;
mod steps;

use self::state::{Answer, Call, Phase};
pub use self::{state::State, steps::Step};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// The most calls a configuration may have.
pub const MAX_CALLS: usize = 3;

/// A rule left out of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The insert overwrites a record that is there.
    UnconditionalInsert,
    /// All hosts insert under the same write id, so each takes the record for its own.
    SharedWriteId,
    /// A host dispatches while its insert is under way.
    DispatchBeforeRecord,
    /// An insert that is answered after the host gave it up is dispatched all the same.
    DispatchAfterRefusal,
    /// A dispatch whose connection broke is sent again.
    DispatchAgain,
    /// A dispatch whose connection broke is answered NotRun.
    NotRunAfterDispatch,
    /// A host that finds the record of another dispatches in its place.
    TakeOverRecord,
    /// A result that comes after the deadline is answered a second time.
    AnswerLateResult,
    /// A repeated call that can't reach the table is answered NotRun.
    RefuseRepeatBlindly,
}

/// The bounds, and the mutation if there is one.
#[derive(Debug, Clone)]
pub struct Config {
    /// Calls with the same key; at most [`MAX_CALLS`].
    pub calls: usize,
    /// Whether one caller makes them, one after the other; if not, they race.
    pub one_caller: bool,
    /// Tries of each insert.
    pub tries: u8,
    /// Hosts that crash.
    pub crashes: u8,
    /// Requests and answers that are lost, or slower than a host waits.
    pub losses: u8,
    /// Deadlines that pass, and callers that hang up.
    pub impatience: u8,
    /// The rule left out.
    pub mutation: Option<Mutation>,
}

impl Spec for Config {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State {
            record: None,
            calls: [Call::ABSENT; MAX_CALLS],
            crashes: self.crashes,
            losses: self.losses,
            impatience: self.impatience,
        }
    }

    fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let mut next = Successors::of(state);
        for c in 0..self.calls {
            self.work(state, c, &mut next);
            next.add_faults(|s| &mut s.losses, |next| self.losses(state, c, next));
            next.add_faults(
                |s| &mut s.impatience,
                |next| self.impatience(state, c, next),
            );
            if state.calls[c].is_open() {
                let crash = |s: &mut State| s.calls[c].crash();
                next.add_faults(|s| &mut s.crashes, |next| next.add(Step::Crash(c), crash));
            }
        }
        next.into_steps()
    }

    fn is_fault(&self, step: &Step) -> bool {
        use Step::{Crash, Deadline, HangUp, LoseDispatch, LoseInsert, LoseInserted, LoseResult};
        use Step::{SlowDispatch, SlowInsert};
        matches!(
            step,
            LoseInsert(_)
                | LoseInserted(_)
                | SlowInsert(_)
                | LoseDispatch(_)
                | SlowDispatch(_)
                | LoseResult(_)
                | Deadline(_)
                | HangUp(_)
                | Crash(_)
        )
    }

    fn invariants(&self) -> Vec<Property<Self>> {
        vec![
            Property::new(
                "a call that may not be repeated runs at most once",
                runs_once,
            ),
            Property::new(
                "a call answered NotRun neither ran nor will",
                refusals_are_true,
            ),
            Property::new(
                "a caller told NotRun has no earlier call that ran",
                refusals_of_repeats_are_true,
            ),
            Property::new("a call has at most one final answer", answers_once),
        ]
    }

    fn goals(&self) -> Vec<Property<Self>> {
        vec![Property::new(
            "each call is answered unless its host crashed",
            all_answered,
        )]
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound::new("calls", self.calls as u64),
            Bound::new("one caller", self.one_caller),
            Bound::new("tries", self.tries),
            Bound::new("crashes", self.crashes),
            Bound::new("losses", self.losses),
            Bound::new("impatience", self.impatience),
        ]
    }
}

fn runs_once(_: &Config, state: &State) -> bool {
    state.calls.iter().map(|call| call.runs).sum::<u8>() <= 1
}

fn refusals_are_true(_: &Config, state: &State) -> bool {
    let refused = |call: &&Call| call.first_answer == Some(Answer::NotRun);
    let mut refused = state.calls.iter().filter(refused);
    !refused.any(Call::may_have_run)
}

fn refusals_of_repeats_are_true(cfg: &Config, state: &State) -> bool {
    let told = |c: &usize| state.calls[*c].is_known_not_run();
    let mut told = (0..cfg.calls).filter(told);
    !cfg.one_caller || !told.any(|c| state.calls[..c].iter().any(Call::may_have_run))
}

fn answers_once(_: &Config, state: &State) -> bool {
    state.calls.iter().all(|call| call.answers <= 1)
}

fn all_answered(cfg: &Config, state: &State) -> bool {
    let mut calls = state.calls[..cfg.calls].iter();
    calls.all(|call| call.phase == Phase::Crashed || call.answers == 1)
}
