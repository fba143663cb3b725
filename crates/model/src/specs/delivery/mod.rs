//! Delivery of a non-repeatable call: one record in the table, then at most one dispatch.
//!
//! Several calls carry the same idempotency key, each to a different host. A host inserts the
//! key's record on condition that it is absent, and dispatches only if it wrote the record.
//! Not modelled: the body of the call, and hosts that attach a duplicate to a running call.

mod scenarios;
mod state;
mod steps;

use self::state::{Answer, Call, Phase};
pub use self::{state::State, steps::Step};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// The maximum number of calls in a configuration.
pub const MAX_CALLS: usize = 3;

/// A mutation of the protocol: each removes one rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The insert overwrites an existing record.
    UnconditionalInsert,
    /// All hosts insert under the same write id, so each host identifies the record as its own.
    SharedWriteId,
    /// A host dispatches while its insert is in flight.
    DispatchBeforeRecord,
    /// A host dispatches when an insert takes effect after the host has refused the call.
    DispatchAfterRefusal,
    /// A host retries a dispatch whose connection broke.
    DispatchAgain,
    /// A host answers NotRun after the connection of a dispatch broke.
    NotRunAfterDispatch,
    /// A host that finds another host's record dispatches the call.
    TakeOverRecord,
    /// A result that arrives after the deadline produces a second answer.
    AnswerLateResult,
    /// A host that cannot reach the table answers a repeated call NotRun.
    RefuseRepeatBlindly,
}

/// The bounds of the specification and its optional mutation.
#[derive(Debug, Clone)]
pub struct Config {
    /// Calls with the same key; at most [`MAX_CALLS`].
    pub calls: usize,
    /// Whether one caller makes the calls sequentially; otherwise the calls race.
    pub one_caller: bool,
    /// Attempts of each insert.
    pub attempts: u8,
    /// Host crashes.
    pub crashes: u8,
    /// Requests and answers that are lost or arrive after the host's timeout.
    pub losses: u8,
    /// Deadlines that expire, and callers that disconnect.
    pub impatience: u8,
    /// The mutation, if any.
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
            self.protocol_steps(state, c, &mut next);
            next.add_faults(|s| &mut s.losses, |next| self.loss_steps(state, c, next));
            next.add_faults(
                |s| &mut s.impatience,
                |next| self.caller_fault_steps(state, c, next),
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
            Bound::new("tries", self.attempts),
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
    let not_run = |c: &usize| state.calls[*c].is_known_not_run();
    let mut not_run = (0..cfg.calls).filter(not_run);
    !cfg.one_caller || !not_run.any(|c| state.calls[..c].iter().any(Call::may_have_run))
}

fn answers_once(_: &Config, state: &State) -> bool {
    state.calls.iter().all(|call| call.answers <= 1)
}

fn all_answered(cfg: &Config, state: &State) -> bool {
    let mut calls = state.calls[..cfg.calls].iter();
    calls.all(|call| call.phase == Phase::Crashed || call.answers == 1)
}
