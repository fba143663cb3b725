//! Each specification holds within its small bounds, and the search finds a counterexample for each
//! of its mutations. A mutation without one means that the specification doesn't need the rule that
//! the mutation removes, or that its properties are too weak to detect the fault.

use std::collections::HashSet;

use dragonflyrill_model::{
    checker,
    report::{self, CaseResult, SearchSuite, Size},
    specs::{catalogue, delivery, lease, stream},
};

fn search_all(name: &str) -> Vec<CaseResult> {
    let mut results = Vec::new();
    report::run(name, Size::Small, &mut |result| results.push(result));
    results
}

/// Asserts that every case without a mutation holds and that a counterexample is found for
/// `mutants` distinct mutations.
fn assert_as_expected(name: &str, mutants: usize) {
    let results = search_all(name);
    let mut caught = HashSet::new();
    for result in &results {
        let found = result.outcome.counterexample();
        let trace = found.map(ToString::to_string).unwrap_or_default();
        assert!(result.is_as_expected(), "{name}, {}: {trace}", result.name);
        if result.is_mutant {
            println!("{name}, {}: {trace}", result.name);
            caught.insert(result.name.clone());
        }
    }
    assert_eq!(caught.len(), mutants);
    assert!(results.len() > mutants, "no case without a mutation");
}

/// Asserts that every run terminates: goals are checked only in states where only faults are
/// enabled, so a run that does not terminate could avoid them.
fn assert_runs_terminate<S: SearchSuite>() {
    for case in S::cases(Size::Small) {
        assert!(checker::every_run_ends(&case.spec), "{}", case.name);
    }
}

#[test]
fn non_repeatable_calls_run_at_most_once_and_their_refusals_are_true() {
    assert_as_expected("delivery", 9);
    assert_runs_terminate::<delivery::Config>();
}

#[test]
fn each_layer_runs_once_for_each_token_and_no_token_is_released_twice() {
    assert_as_expected("stream", 8);
    assert_runs_terminate::<stream::Config>();
}

#[test]
fn units_in_use_stay_within_the_limit() {
    assert_as_expected("rights", 18);
}

#[test]
fn the_catalogue_revision_never_decreases_and_accepted_changes_persist() {
    assert_as_expected("catalogue", 11);
    assert_runs_terminate::<catalogue::Config>();
}

#[test]
fn an_endpoint_converges_to_its_declaration_with_and_without_fencing_checks() {
    assert_as_expected("lease", 7);
    assert_runs_terminate::<lease::Config>();
}

#[test]
fn an_unknown_specification_is_not_searched() {
    assert!(search_all("deliveries").is_empty());
}
