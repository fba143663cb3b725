//! The configurations to search.

use super::{Config, Mutation};
use crate::report::{Case, SearchSuite, Size};

impl SearchSuite for Config {
    const NAME: &'static str = "delivery";

    type Mutation = Mutation;

    fn with_mutation(self, mutation: Mutation) -> Self {
        let mutation = Some(mutation);
        Self { mutation, ..self }
    }

    fn cases(size: Size) -> Vec<Case<Self>> {
        let one_caller = Self::small(true);
        let racing = Self::small(false);
        let large = |small: &Self| Self {
            calls: 3,
            attempts: 3,
            losses: 3,
            crashes: 2,
            impatience: 2,
            ..small.clone()
        };
        match size {
            Size::Small => vec![
                Case::new("one caller", one_caller),
                Case::new("racing callers", racing),
            ],
            Size::Large => vec![
                Case::new("one caller", large(&one_caller)),
                Case::new("racing callers", large(&racing)),
            ],
        }
    }

    fn mutants() -> Vec<Case<Self>> {
        use Mutation::{
            AnswerLateResult, DispatchAfterRefusal, DispatchAgain, DispatchBeforeRecord,
            NotRunAfterDispatch, RefuseRepeatBlindly, SharedWriteId, TakeOverRecord,
            UnconditionalInsert,
        };
        let racing = [
            UnconditionalInsert,
            SharedWriteId,
            DispatchBeforeRecord,
            DispatchAfterRefusal,
            DispatchAgain,
            NotRunAfterDispatch,
            TakeOverRecord,
            AnswerLateResult,
        ];
        let mut mutants: Vec<_> = racing.map(|m| Self::small(false).mutant(m)).into();
        mutants.push(Self::small(true).mutant(RefuseRepeatBlindly));
        mutants
    }
}

impl Config {
    fn small(one_caller: bool) -> Self {
        Self {
            calls: 2,
            one_caller,
            attempts: 2,
            crashes: 1,
            losses: 2,
            impatience: 1,
            mutation: None,
        }
    }
}
