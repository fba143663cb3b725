//! The configurations to search.

use super::{Config, Mutation};
use crate::report::{Case, SearchSuite, Size};

/// Failed and wrongly suspected stages, with lost, duplicated and late messages.
const FAULTS: Config = Config {
    tokens: 2,
    deaths: 1,
    suspicions: 1,
    losses: 1,
    repeats: 0,
    exports: 0,
    mutation: None,
};

/// Stages replaced from a checkpoint.
const CHECKPOINTS: Config = Config {
    tokens: 3,
    losses: 0,
    exports: 1,
    ..FAULTS
};

impl SearchSuite for Config {
    const NAME: &'static str = "stream";

    type Mutation = Mutation;

    fn with_mutation(self, mutation: Mutation) -> Self {
        let mutation = Some(mutation);
        Self { mutation, ..self }
    }

    fn cases(size: Size) -> Vec<Case<Self>> {
        let large = |config: Self| match size {
            Size::Small => config,
            Size::Large => Self {
                tokens: 3,
                suspicions: 2,
                exports: 2 * config.exports,
                ..config
            },
        };
        vec![
            Case::new("stages and messages lost", large(FAULTS)),
            Case::new("checkpoints", large(CHECKPOINTS)),
        ]
    }

    fn mutants() -> Vec<Case<Self>> {
        use Mutation::{
            AskOnce, FeedNothing, IgnoreAttempt, IgnorePosition, IgnoreStage, ReleaseAgain,
            RunStepAgain, TrustCheckpoint,
        };
        vec![
            FAULTS.mutant(IgnoreAttempt),
            FAULTS.mutant(IgnorePosition),
            FAULTS.mutant(IgnoreStage),
            FAULTS.mutant(RunStepAgain),
            FAULTS.mutant(FeedNothing),
            CHECKPOINTS.mutant(TrustCheckpoint),
            FAULTS.mutant(ReleaseAgain),
            FAULTS.mutant(AskOnce),
        ]
    }
}
