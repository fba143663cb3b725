//! A generation driven through a chain of stages, token by token.
//!
//! The host sends each step to the stage whose turn it is, and releases a token when the receipts
//! of all stages are in. A step names an attempt, a stage and the positions to run. A stage that
//! died, or seems to have, is replaced; the new one is fed the kept activations, or starts from an
//! imported checkpoint. A stage that was replaced needlessly runs on and answers late.
//!
//! A result is either that of a run without faults or wrong: it is right if its stage ran each
//! position up to it exactly once, on right inputs. Left out: the values themselves, deadlines,
//! cancelling, and a host's own death (its caller begins anew with what it has received).

mod scenarios;
mod state;
mod steps;

use self::state::{MAX_MESSAGES, STAGES};
pub use self::{
    state::{Message, State},
    steps::Step,
};
use super::successors::Successors;
use crate::checker::{Bound, Property, Spec};

/// A rule left out of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A result of an older attempt is taken.
    IgnoreAttempt,
    /// A result for an earlier token is taken.
    IgnorePosition,
    /// A result of another stage is taken.
    IgnoreStage,
    /// An engine that is asked for a step again runs it again.
    RunStepAgain,
    /// A replacement is fed nothing but the newest position.
    FeedNothing,
    /// A checkpoint is taken to be up to date.
    TrustCheckpoint,
    /// After a replacement the answer is released from its beginning.
    ReleaseAgain,
    /// A lost answer is not asked for again.
    AskOnce,
}

/// The bounds, and the mutation if there is one.
#[derive(Debug, Clone)]
pub struct Config {
    /// Tokens to generate.
    pub tokens: u8,
    /// Stages that die.
    pub deaths: u8,
    /// Stages that are replaced though they live.
    pub suspicions: u8,
    /// Steps and results that are lost, or come twice.
    pub losses: u8,
    /// Steps that are asked for again though they are under way.
    pub repeats: u8,
    /// Checkpoints that are exported.
    pub exports: u8,
    /// The rule left out.
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
        self.sends(state, &mut next);
        self.messages(state, &mut next);
        for stage in 0..STAGES {
            self.stage(state, stage, &mut next);
        }
        next.into_steps()
    }

    fn is_fault(&self, step: &Step) -> bool {
        use Step::{Die, Double, Export, Lose, SendAgain, Suspect, SuspectImport};
        matches!(
            step,
            Die(_) | Suspect(_) | SuspectImport(_) | Lose(_) | Double(_) | SendAgain | Export(_)
        )
    }

    fn invariants(&self) -> Vec<Property<Self>> {
        vec![
            Property::new(
                "each layer ran once for each released token, in order",
                layers_ran_once,
            ),
            Property::new("no token is released twice", released_once),
        ]
    }

    fn goals(&self) -> Vec<Property<Self>> {
        vec![Property::new("the whole answer is released", whole)]
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound::new("stages", STAGES as u64),
            Bound::new("tokens", self.tokens),
            Bound::new("deaths", self.deaths),
            Bound::new("suspicions", self.suspicions),
            Bound::new("losses", self.losses),
            Bound::new("repeats", self.repeats),
            Bound::new("exports", self.exports),
            Bound::new("messages under way", MAX_MESSAGES as u64),
        ]
    }
}

fn layers_ran_once(_: &Config, state: &State) -> bool {
    !state.released_wrong
}

fn released_once(_: &Config, state: &State) -> bool {
    !state.released_again
}

fn whole(cfg: &Config, state: &State) -> bool {
    state.received == cfg.tokens
}
