//! Exhaustive bounded search over two recorders, a table and one key: every order of calls,
//! transactions and dispatches, with lost answers, delayed transactions, crashes and pauses.
//!
//! The number of faults is bounded; `SEARCH_FAULTS` sets the bound of the tests that have to hold.
//! Each mutant removes one check, and the search has to detect the resulting violation.

mod support;

use std::time::Duration;

use support::{
    explore::{Report, System, explore},
    records::{Mutant, Records, Setup},
};

const BASE: Setup = Setup {
    calls: 2,
    faults: 2,
    skew: Duration::ZERO,
    trims: 0,
    mutant: Mutant::None,
    only_double_dispatch: false,
};

const DOUBLE_DISPATCH: Setup = Setup {
    faults: 1,
    only_double_dispatch: true,
    ..BASE
};

/// The maximum number of faults: `SEARCH_FAULTS`, or `default` if it is not set.
fn max_faults(default: u32) -> u32 {
    let raw = std::env::var("SEARCH_FAULTS").ok();
    raw.and_then(|raw| raw.parse().ok()).unwrap_or(default)
}

fn search(name: &str, setup: Setup) -> Report {
    let report = explore(Records::new(setup));
    println!(
        "{name}: {} states, depth {}, {} ends",
        report.states, report.depth, report.end_states
    );
    report
}

fn assert_holds(name: &str, setup: Setup) {
    let report = search(name, setup);
    assert_eq!(report.counterexample, None, "{name}");
    assert!(report.end_states > 0, "{name}: no run ends");
}

fn assert_detected(mutant: Mutant, setup: Setup) {
    let report = search(&format!("{mutant:?}"), Setup { mutant, ..setup });
    let (steps, violation) = report.counterexample.expect("the mutant is detected");
    println!(
        "{mutant:?}: detected after {} steps: {violation}",
        steps.len()
    );
}

#[test]
fn two_calls_run_at_most_once() {
    let faults = max_faults(2);
    assert_holds("two calls", Setup { faults, ..BASE });
}

#[test]
fn three_calls_run_at_most_once() {
    let setup = Setup {
        calls: 3,
        faults: max_faults(1),
        ..BASE
    };
    assert_holds("three calls", setup);
}

#[test]
fn calls_run_at_most_once_while_records_are_trimmed() {
    let setup = Setup {
        trims: 1,
        faults: max_faults(1),
        ..BASE
    };
    assert_holds("trims", setup);
}

#[test]
fn calls_run_at_most_once_with_skewed_clocks() {
    let setup = Setup {
        skew: Duration::from_secs(90),
        faults: max_faults(1),
        ..BASE
    };
    assert_holds("clocks apart", setup);
}

#[test]
fn permits_have_to_end() {
    let setup = Setup {
        trims: 1,
        faults: 0,
        ..BASE
    };
    assert_detected(Mutant::TermIgnored, setup);
}

#[test]
fn begun_records_must_not_be_taken_over() {
    assert_detected(Mutant::BegunTakenOver, DOUBLE_DISPATCH);
}

#[test]
fn a_lost_answer_must_not_count_as_done() {
    assert_detected(Mutant::UnknownIsDone, DOUBLE_DISPATCH);
}

#[test]
fn a_lost_answer_must_not_count_as_never_sent() {
    assert_detected(Mutant::UnknownIsNotSent, BASE);
}

#[test]
fn inserts_have_to_be_conditional() {
    assert_detected(Mutant::NoConditions, DOUBLE_DISPATCH);
}

#[test]
fn inserts_have_to_check_the_adjacent_buckets() {
    let setup = Setup {
        skew: Duration::from_secs(90),
        faults: 0,
        ..BASE
    };
    assert_detected(Mutant::OneBucket, setup);
}

#[test]
fn writes_need_distinct_ids() {
    assert_detected(Mutant::SameWriteIds, DOUBLE_DISPATCH);
}

#[test]
fn a_takeover_has_to_depend_on_the_row_that_was_read() {
    let setup = Setup {
        calls: 3,
        ..DOUBLE_DISPATCH
    };
    assert_detected(Mutant::BlindTakeover, setup);
}

/// Applies the named steps, and then searches all states that are reachable from there. `steps`
/// should use up all faults of `setup`.
fn search_after(setup: Setup, steps: &[&str]) {
    let mut world = Records::new(setup);
    for step in steps {
        let mut next = world.next_steps().into_iter();
        let found = next.find(|(name, _)| name == step);
        let Some((_, after)) = found else {
            panic!("{step} is not possible");
        };
        world = after;
    }
    let report = explore(world);
    assert_eq!(report.counterexample, None);
}

#[test]
fn an_abandoned_takeover_cannot_take_effect_late() {
    let steps = [
        "Call(0)",
        "Tick(0)",
        "PassTerm",
        "Run(0)",
        "Call(0)",
        "Tick(0)",
        "LoseAnswer(0)",
        "Tick(0)",
        "Run(0)",
        "Delay(0)",
        "Tick(0)",
        "Run(0)",
    ];
    search_after(Setup { faults: 3, ..BASE }, &steps);
}
