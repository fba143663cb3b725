//! Exhaustive bounded search over two real recorders, a table and one key: every order of calls,
//! transactions and dispatches, with lost answers, delayed writes, crashes and pauses up to a
//! bound.
//!
//! `SEARCH_FAULTS` raises the bound on faults.

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
    twice_only: false,
};

const TWICE: Setup = Setup {
    faults: 1,
    twice_only: true,
    ..BASE
};

fn bound(fallback: u32) -> u32 {
    let raw = std::env::var("SEARCH_FAULTS").ok();
    raw.and_then(|raw| raw.parse().ok()).unwrap_or(fallback)
}

fn search(name: &str, setup: Setup) -> Report {
    let report = explore(Records::new(setup));
    println!(
        "{name}: {} states, depth {}, {} ends",
        report.states, report.depth, report.ends
    );
    report
}

fn holds(name: &str, setup: Setup) {
    let report = search(name, setup);
    assert_eq!(report.counterexample, None, "{name}");
    assert!(report.ends > 0, "{name}: no run ends");
}

fn caught(mutant: Mutant, setup: Setup) {
    let report = search(&format!("{mutant:?}"), Setup { mutant, ..setup });
    let (steps, broken) = report.counterexample.expect("the mutant is caught");
    println!("{mutant:?}: caught after {} steps: {broken}", steps.len());
}

#[test]
fn two_calls_run_at_most_once() {
    let faults = bound(2);
    holds("two calls", Setup { faults, ..BASE });
}

#[test]
fn three_calls_run_at_most_once() {
    let setup = Setup {
        calls: 3,
        faults: bound(1),
        ..BASE
    };
    holds("three calls", setup);
}

#[test]
fn calls_run_at_most_once_while_records_are_trimmed() {
    let setup = Setup {
        trims: 1,
        faults: bound(1),
        ..BASE
    };
    holds("trims", setup);
}

#[test]
fn calls_run_at_most_once_with_clocks_apart() {
    let setup = Setup {
        skew: Duration::from_secs(90),
        faults: bound(1),
        ..BASE
    };
    holds("clocks apart", setup);
}

#[test]
fn permits_have_to_end() {
    let setup = Setup {
        trims: 1,
        faults: 0,
        ..BASE
    };
    caught(Mutant::TermIgnored, setup);
}

#[test]
fn begun_records_must_not_be_taken_over() {
    caught(Mutant::BegunTakenOver, TWICE);
}

#[test]
fn a_lost_answer_must_not_count_as_done() {
    caught(Mutant::UnknownIsDone, TWICE);
}

#[test]
fn a_lost_answer_must_not_count_as_never_sent() {
    caught(Mutant::UnknownIsNotSent, BASE);
}

#[test]
fn inserts_have_to_be_conditional() {
    caught(Mutant::NoConditions, TWICE);
}

#[test]
fn inserts_have_to_look_into_the_next_buckets() {
    let setup = Setup {
        skew: Duration::from_secs(90),
        faults: 0,
        ..BASE
    };
    caught(Mutant::OneBucket, setup);
}

#[test]
fn writes_have_to_be_told_apart() {
    caught(Mutant::SameWriteIds, TWICE);
}

#[test]
fn a_takeover_has_to_depend_on_what_was_read() {
    let setup = Setup { calls: 3, ..TWICE };
    caught(Mutant::BlindTakeover, setup);
}

/// Takes the named steps, and then searches everything that may follow without further faults.
fn follow(setup: Setup, steps: &[&str]) {
    let mut world = Records::new(setup);
    for step in steps {
        let mut next = world.next().into_iter();
        let found = next.find(|(name, _)| name == step);
        let Some((_, taken)) = found else {
            panic!("{step} is not possible");
        };
        world = taken;
    }
    let report = explore(world);
    assert_eq!(report.counterexample, None);
}

#[test]
fn a_takeover_that_was_given_up_cannot_take_effect_late() {
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
    follow(Setup { faults: 3, ..BASE }, &steps);
}
