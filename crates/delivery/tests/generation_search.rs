//! Exhaustive bounded search over the generation: every order of messages, with lost, duplicated
//! and late messages, restarts and terminations of endpoints, cancels and handovers.
//!
//! The search is bounded by the numbers of faults, stages and tokens; `SEARCH_FAULTS` sets the
//! number of faults. Each mutant removes one check, and the search has to detect the resulting
//! violation.

mod support;

use support::{
    explore::{Report, explore},
    world::{Faults, Mutant, Setup, World},
};

fn setup(stage_ends: &[u32], faults: u32) -> Setup {
    Setup {
        stage_ends: stage_ends.to_vec(),
        tokens: 2,
        export_every: 0,
        keep_bytes: 1 << 20,
        faults: Faults::up_to(faults),
        mutant: Mutant::None,
    }
}

/// The maximum number of faults: `SEARCH_FAULTS`, or `default` if it is not set.
fn max_faults(default: u32) -> u32 {
    let raw = std::env::var("SEARCH_FAULTS").ok();
    raw.and_then(|raw| raw.parse().ok()).unwrap_or(default)
}

fn search(name: &str, setup: Setup) -> Report {
    let report = explore(World::new(setup));
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
fn two_stages_keep_every_invariant() {
    assert_holds("two stages", setup(&[1, 2], max_faults(2)));
}

#[test]
fn a_stage_replaced_by_two_keeps_every_invariant() {
    assert_holds("other boundaries", setup(&[2, 3], max_faults(2)));
}

#[test]
fn three_stages_keep_every_invariant() {
    assert_holds("three stages", setup(&[1, 2, 3], max_faults(2)));
}

#[test]
fn checkpoints_keep_every_invariant() {
    let setup = Setup {
        export_every: 1,
        ..setup(&[2, 3], max_faults(1))
    };
    assert_holds("checkpoints", setup);
}

#[test]
fn checkpoints_with_few_kept_activations_keep_every_invariant() {
    let setup = Setup {
        export_every: 1,
        keep_bytes: 0,
        ..setup(&[1, 2], max_faults(1))
    };
    assert_holds("checkpoints, nothing kept", setup);
}

#[test]
fn no_kept_activations_keep_every_invariant() {
    let setup = Setup {
        keep_bytes: 0,
        ..setup(&[1, 2], max_faults(2))
    };
    assert_holds("nothing kept", setup);
}

#[test]
fn stale_results_have_to_be_dropped() {
    assert_detected(Mutant::StaleResultsAccepted, setup(&[1, 2], 2));
}

#[test]
fn positions_of_results_have_to_match() {
    assert_detected(Mutant::PositionIgnored, setup(&[1, 2], 2));
}

#[test]
fn incarnations_of_endpoints_have_to_match() {
    assert_detected(Mutant::IncarnationIgnored, setup(&[1, 2], 2));
}

#[test]
fn layers_of_receipts_have_to_match() {
    assert_detected(Mutant::ReceiptLayersIgnored, setup(&[2, 3], 1));
}

#[test]
fn replaced_endpoints_have_to_be_freed() {
    assert_detected(Mutant::ReplacedNotFreed, setup(&[1, 2], 2));
}

#[test]
fn a_handover_has_to_include_all_released_tokens() {
    assert_detected(Mutant::TokenOmitted, setup(&[1, 2], 1));
}

#[test]
fn steps_have_to_time_out() {
    assert_detected(Mutant::NoTimeouts, setup(&[1, 2], 1));
}

#[test]
fn a_replacement_needs_all_kept_inputs() {
    assert_detected(Mutant::OnlyNewestInput, setup(&[1, 2], 2));
}

#[test]
fn checkpoints_have_to_keep_their_layers() {
    let setup = Setup {
        export_every: 1,
        ..setup(&[2, 3], 1)
    };
    assert_detected(Mutant::CheckpointLayersReversed, setup);
}

#[test]
fn released_tokens_must_not_be_released_again() {
    assert_detected(Mutant::TokensReleasedAgain, setup(&[1, 2], 1));
}

#[test]
fn a_truncated_answer_must_not_end_as_complete() {
    assert_detected(Mutant::AnswerTruncated, setup(&[1, 2], 1));
}

#[test]
fn a_sent_request_must_not_be_reported_as_not_run() {
    assert_detected(Mutant::ClaimsNotRun, setup(&[1, 2], 1));
}
