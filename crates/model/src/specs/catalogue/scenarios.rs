//! The configurations to search.

use super::{Config, Mutation};
use crate::report::{Case, SearchSuite, Size};

/// Racing operators, with lost answers and restarted hosts.
const RACE: Config = Config {
    operators: 2,
    hosts: 2,
    attempts: 2,
    losses: 2,
    crashes: 1,
    setbacks: 0,
    restorations: 0,
    mutation: None,
};

/// A store that reverts to an older state and is restored by an operator.
const SETBACK: Config = Config {
    attempts: 1,
    losses: 0,
    setbacks: 1,
    restorations: 1,
    ..RACE
};

impl SearchSuite for Config {
    const NAME: &'static str = "catalogue";

    type Mutation = Mutation;

    fn with_mutation(self, mutation: Mutation) -> Self {
        let mutation = Some(mutation);
        Self { mutation, ..self }
    }

    fn cases(size: Size) -> Vec<Case<Self>> {
        let large = |config: Self| match size {
            Size::Small => config,
            Size::Large => Self {
                operators: 3,
                hosts: 3,
                attempts: 2,
                ..config
            },
        };
        vec![
            Case::new("racing operators", large(RACE)),
            Case::new("store set back", large(SETBACK)),
        ]
    }

    fn mutants() -> Vec<Case<Self>> {
        use Mutation::{
            AssumeAccepted, AssumeConflict, CommitUnconditionally, CopyUnchecked, FoldUnchecked,
            FollowPeerBack, FollowStoreBack, NoSecondLook, RebaseInDoubt, RestoreAboveStore,
            RestoreKeepsChanges,
        };
        let busy = |config: Self| Self {
            operators: 3,
            hosts: 1,
            crashes: 0,
            ..config
        };
        vec![
            RACE.mutant(CommitUnconditionally),
            RACE.mutant(AssumeConflict),
            RACE.mutant(AssumeAccepted),
            RACE.mutant(RebaseInDoubt),
            RACE.mutant(FollowPeerBack),
            SETBACK.mutant(FollowStoreBack),
            busy(SETBACK).mutant(FoldUnchecked),
            Self {
                operators: 3,
                restorations: 0,
                ..SETBACK
            }
            .mutant(CopyUnchecked),
            SETBACK.mutant(NoSecondLook),
            SETBACK.mutant(RestoreAboveStore),
            SETBACK.mutant(RestoreKeepsChanges),
        ]
    }
}
