//! Stages of suspected chains are probed only where no other signal tells their state, and within
//! the bound of probes.

mod common;

use common::{endpoint, engine, ms};
use dragonflyrill_fleet::{
    chains::{self, Chain},
    probing::{Decision, ProbeSchedule, Suspicion},
};

/// Two chains that share their first stage: `f`, `g` and `f`, `h`.
fn chains_with_shared_stage() -> Vec<Chain> {
    let endpoints = [
        endpoint("f", "a", "a100", 0, 30),
        endpoint("g", "a", "a100", 30, 80),
        endpoint("h", "a", "l40s", 30, 80),
    ];
    chains::find(&engine(), endpoints.iter().map(|e| (e, 1.0)))
}

fn probed_ids(decision: Decision) -> Vec<String> {
    match decision {
        Decision::Nothing => Vec::new(),
        Decision::Probe(ids) => ids.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_stalled_chain_is_probed_and_a_running_one_is_not() {
    let chains = chains_with_shared_stage();
    let mut schedule = ProbeSchedule::default();
    schedule.record_event(&chains[0], ms(1000));
    let decision = schedule.decide(&chains[0], Suspicion::Still, ms(1050), Some(8));
    assert_eq!(decision, Decision::Nothing);
    let decision = schedule.decide(&chains[0], Suspicion::Still, ms(1090), Some(8));
    assert_eq!(probed_ids(decision), ["f", "g"]);
}

#[test]
fn stages_of_a_running_chain_are_not_probed_for_a_stall() {
    let chains = chains_with_shared_stage();
    let mut schedule = ProbeSchedule::default();
    schedule.record_event(&chains[1], ms(1000));
    let decision = schedule.decide(&chains[0], Suspicion::Still, ms(1050), Some(8));
    assert_eq!(probed_ids(decision), ["g"]);
}

#[test]
fn stages_of_a_running_chain_are_probed_for_slowness() {
    let chains = chains_with_shared_stage();
    let mut schedule = ProbeSchedule::default();
    schedule.record_event(&chains[0], ms(1000));
    let decision = schedule.decide(&chains[0], Suspicion::Late, ms(1050), Some(8));
    assert_eq!(probed_ids(decision), ["f", "g"]);
}

#[test]
fn a_stage_that_has_just_answered_is_not_probed_for_another_chain() {
    let chains = chains_with_shared_stage();
    let mut schedule = ProbeSchedule::default();
    schedule.record_answer(&"f".into(), ms(1000));
    let decision = schedule.decide(&chains[1], Suspicion::Still, ms(1050), Some(8));
    assert_eq!(probed_ids(decision), ["h"]);
}

/// The times of the probes of one chain that stays suspected until `until`, in ms after the first
/// suspicion.
fn probe_times(hosts: Option<u32>, until: u64) -> Vec<u64> {
    let chains = chains_with_shared_stage();
    let mut schedule = ProbeSchedule::default();
    let mut times = Vec::new();
    for now in 0..until {
        let decision = schedule.decide(&chains[0], Suspicion::Late, ms(now), hosts);
        times.extend((decision != Decision::Nothing).then_some(now));
    }
    times
}

#[test]
fn a_chain_that_stays_slow_is_probed_at_growing_intervals() {
    assert_eq!(
        probe_times(Some(1), 5000),
        [0, 100, 300, 700, 1500, 3100, 4700]
    );
}

#[test]
fn many_hosts_together_make_no_more_probes_than_few() {
    let all = |hosts: u32| probe_times(Some(hosts), 60_000).len() * hosts as usize;
    // A burst of four on each host, and eight a second over all of them.
    assert!(all(8) <= 8 * 4 + 60 * 8, "{}", all(8));
    assert!(all(360) <= 360 * 4 + 60 * 8 + 360, "{}", all(360));
}

#[test]
fn a_host_that_does_not_know_the_number_of_hosts_makes_only_the_initial_burst() {
    assert_eq!(probe_times(None, 60_000).len(), 4);
}
