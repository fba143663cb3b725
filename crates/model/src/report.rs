//! Runs the searches of all specifications and reports their results.

use std::fmt::Debug;

use crate::{
    checker::{self, Bound, Outcome, Spec, Verdict},
    specs::{catalogue, delivery, lease, rights, stream},
};

/// The size of the bounds to search within.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Bounds that take seconds in a debug build.
    Small,
    /// Bounds that take minutes in a release build.
    Large,
}

/// A named configuration of a specification.
pub struct Case<S> {
    /// The scenario, or the name of the mutation.
    pub name: String,
    /// The configuration.
    pub spec: S,
}

impl<S> Case<S> {
    /// Creates a case of the configuration `spec` named `name`.
    pub fn new(name: impl Into<String>, spec: S) -> Self {
        let name = name.into();
        Self { name, spec }
    }
}

/// A specification with the configurations to search.
pub trait SearchSuite: Spec + Sized {
    /// The name of the specification on the command line.
    const NAME: &'static str;

    /// The mutations of the specification; each removes one rule of the protocol.
    type Mutation: Debug;

    /// Returns this configuration with `mutation`.
    fn with_mutation(self, mutation: Self::Mutation) -> Self;

    /// The case of this configuration with `mutation`, named after the mutation.
    fn mutant(self, mutation: Self::Mutation) -> Case<Self> {
        Case::new(format!("{mutation:?}"), self.with_mutation(mutation))
    }

    /// The cases without a mutation, in which every property must hold.
    fn cases(size: Size) -> Vec<Case<Self>>;

    /// The cases with a mutation, in which a property must be violated.
    fn mutants() -> Vec<Case<Self>>;
}

/// The result of the search of one case.
#[derive(Debug, Clone)]
pub struct CaseResult {
    /// The name of the case.
    pub name: String,
    /// The bounds of its configuration.
    pub bounds: Vec<Bound>,
    /// Whether its configuration has a mutation.
    pub is_mutant: bool,
    /// The outcome of its search.
    pub outcome: Outcome,
}

impl CaseResult {
    /// Whether the search had the required verdict: a violation with a mutation, none without.
    pub fn is_as_expected(&self) -> bool {
        match &self.outcome.verdict {
            Verdict::Holds => !self.is_mutant,
            Verdict::Broken(_) => self.is_mutant,
            Verdict::StateLimitReached => false,
        }
    }
}

/// The names of all specifications.
pub const NAMES: [&str; 5] = [
    delivery::Config::NAME,
    stream::Config::NAME,
    rights::Config::NAME,
    catalogue::Config::NAME,
    lease::Config::NAME,
];

/// Searches all cases of the specification `name` and passes each result to `on_result` as soon as
/// it is available.
///
/// Does nothing for a name that is not in [`NAMES`].
pub fn run(name: &str, size: Size, on_result: &mut dyn FnMut(CaseResult)) {
    match name {
        delivery::Config::NAME => run_suite::<delivery::Config>(size, on_result),
        stream::Config::NAME => run_suite::<stream::Config>(size, on_result),
        rights::Config::NAME => run_suite::<rights::Config>(size, on_result),
        catalogue::Config::NAME => run_suite::<catalogue::Config>(size, on_result),
        lease::Config::NAME => run_suite::<lease::Config>(size, on_result),
        _ => {}
    }
}

fn run_suite<S: SearchSuite>(size: Size, on_result: &mut dyn FnMut(CaseResult)) {
    for case in S::cases(size) {
        on_result(search_case(case, false));
    }
    for case in S::mutants() {
        on_result(search_case(case, true));
    }
}

fn search_case<S: Spec>(case: Case<S>, is_mutant: bool) -> CaseResult {
    CaseResult {
        bounds: case.spec.bounds(),
        outcome: checker::check(&case.spec),
        name: case.name,
        is_mutant,
    }
}
