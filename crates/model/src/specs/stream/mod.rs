//! Generation of an answer by a chain of stages, token by token.
//!
//! The host sends each step to the current stage, and releases a token once it has received the
//! results of all stages. A step carries an attempt, a stage and the positions to run. A stage that
//! failed or is suspected is replaced by another endpoint, which is fed the retained activations or
//! starts from an imported checkpoint. An endpoint that was replaced although it is alive continues
//! to run and answers late.
//!
//! The model reduces the values of a result to right or wrong: a result is right if its endpoint
//! ran each position up to it exactly once, on right inputs. Not modelled: the values themselves,
//! deadlines, cancellation, and the crash of a host (its caller starts again with the tokens that
//! it has received).

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

/// A mutation of the protocol: each removes one rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The host accepts a result of an older attempt.
    IgnoreAttempt,
    /// The host accepts a result for an earlier token.
    IgnorePosition,
    /// The host accepts a result of another stage.
    IgnoreStage,
    /// An engine runs a retried step again instead of repeating its result.
    RunStepAgain,
    /// A replacement is fed only the newest position.
    FeedNothing,
    /// The host assumes that an imported checkpoint is up to date.
    TrustCheckpoint,
    /// After a replacement, the host releases the answer from the first token again.
    ReleaseAgain,
    /// The host does not retry a step whose message or result is lost.
    AskOnce,
}

/// The bounds of the specification and its optional mutation.
#[derive(Debug, Clone)]
pub struct Config {
    /// Tokens to generate.
    pub tokens: u8,
    /// Failures of stages.
    pub deaths: u8,
    /// Replacements of stages that are alive.
    pub suspicions: u8,
    /// Lost or duplicated steps and results.
    pub losses: u8,
    /// Retries of steps that are still in flight.
    pub repeats: u8,
    /// Exports of checkpoints.
    pub exports: u8,
    /// The mutation, if any.
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
        self.send_steps(state, &mut next);
        self.message_steps(state, &mut next);
        for stage in 0..STAGES {
            self.stage_steps(state, stage, &mut next);
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
        vec![Property::new(
            "the whole answer is released",
            answer_complete,
        )]
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

fn answer_complete(cfg: &Config, state: &State) -> bool {
    state.received == cfg.tokens
}
