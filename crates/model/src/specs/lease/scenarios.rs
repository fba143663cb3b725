//! The configurations to search.

use super::{Config, Mutation};
use crate::report::{Case, SearchSuite, Size};

impl SearchSuite for Config {
    const NAME: &'static str = "lease";

    type Mutation = Mutation;

    fn with_mutation(self, mutation: Mutation) -> Self {
        let mutation = Some(mutation);
        Self { mutation, ..self }
    }

    fn cases(size: Size) -> Vec<Case<Self>> {
        let both = |name: &str, config: fn(bool) -> Self| {
            [true, false].map(|checks| {
                let endpoint = if checks { "checks" } else { "ignores" };
                Case::new(format!("{name}, endpoint {endpoint}"), config(checks))
            })
        };
        match size {
            Size::Small => both("hosts overtaken", Self::overtaken)
                .into_iter()
                .chain(both("restarts", Self::restarts))
                .collect(),
            Size::Large => both("all faults", Self::all_faults).into(),
        }
    }

    fn mutants() -> Vec<Case<Self>> {
        use Mutation::{
            AssumeDrawn, DrawUnconditionally, NoCheck, NoNewDraw, NoReadBack, NoSuccessor,
            SameNumber,
        };
        vec![
            Self::overtaken(true).mutant(NoCheck),
            Self::overtaken(true).mutant(SameNumber),
            Self::overtaken(true).mutant(DrawUnconditionally),
            Self::overtaken(true).mutant(AssumeDrawn),
            Self::overtaken(false).mutant(NoReadBack),
            Self::overtaken(true).mutant(NoNewDraw),
            Self::overtaken(true).mutant(NoSuccessor),
        ]
    }
}

impl Config {
    fn overtaken(checks: bool) -> Self {
        Self {
            checks,
            declarations: 2,
            overtakes: 1,
            stale_orders: 1,
            losses: 1,
            crashes: 0,
            endpoint_restarts: 0,
            mutation: None,
        }
    }

    fn restarts(checks: bool) -> Self {
        Self {
            losses: 0,
            stale_orders: 0,
            crashes: 1,
            endpoint_restarts: 1,
            ..Self::overtaken(checks)
        }
    }

    fn all_faults(checks: bool) -> Self {
        Self {
            stale_orders: 2,
            losses: 2,
            crashes: 1,
            endpoint_restarts: 1,
            ..Self::overtaken(checks)
        }
    }
}
