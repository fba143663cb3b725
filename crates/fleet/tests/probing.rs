//! Parts of chains in doubt are asked where nothing else tells how they are, and not too often.

mod common;

use common::{endpoint, engine, ms};
use dragonflyrill_fleet::{
    chains::{self, Chain},
    probing::{Decision, ProbeSchedule, Suspicion},
};

/// Two chains that share their first stage: `f`, `g` and `f`, `h`.
fn sharing() -> Vec<Chain> {
    let endpoints = [
        endpoint("f", "a", "a100", 0, 30),
        endpoint("g", "a", "a100", 30, 80),
        endpoint("h", "a", "l40s", 30, 80),
    ];
    chains::find(&engine(), endpoints.iter().map(|e| (e, 1.0)))
}

fn asked(next: Decision) -> Vec<String> {
    match next {
        Decision::Nothing => Vec::new(),
        Decision::Probe(ids) => ids.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_chain_that_stands_still_is_asked_and_one_that_runs_is_not() {
    let chains = sharing();
    let mut schedule = ProbeSchedule::default();
    schedule.record_event(&chains[0], ms(1000));
    let next = schedule.decide(&chains[0], Suspicion::Still, ms(1050), Some(8));
    assert_eq!(next, Decision::Nothing);
    let next = schedule.decide(&chains[0], Suspicion::Still, ms(1090), Some(8));
    assert_eq!(asked(next), ["f", "g"]);
}

#[test]
fn parts_of_a_chain_that_runs_are_not_asked_whether_they_live() {
    let chains = sharing();
    let mut schedule = ProbeSchedule::default();
    schedule.record_event(&chains[1], ms(1000));
    let next = schedule.decide(&chains[0], Suspicion::Still, ms(1050), Some(8));
    assert_eq!(asked(next), ["g"]);
}

#[test]
fn parts_of_a_chain_that_runs_are_asked_whether_they_are_slow() {
    let chains = sharing();
    let mut schedule = ProbeSchedule::default();
    schedule.record_event(&chains[0], ms(1000));
    let next = schedule.decide(&chains[0], Suspicion::Late, ms(1050), Some(8));
    assert_eq!(asked(next), ["f", "g"]);
}

#[test]
fn a_part_that_has_just_answered_is_not_asked_for_another_chain() {
    let chains = sharing();
    let mut schedule = ProbeSchedule::default();
    schedule.record_answer(&"f".into(), ms(1000));
    let next = schedule.decide(&chains[1], Suspicion::Still, ms(1050), Some(8));
    assert_eq!(asked(next), ["h"]);
}

/// Probes of one chain that stands still for so long, in ms from its first doubt on.
fn played(hosts: Option<u32>, until: u64) -> Vec<u64> {
    let chains = sharing();
    let mut schedule = ProbeSchedule::default();
    let mut times = Vec::new();
    for now in 0..until {
        let next = schedule.decide(&chains[0], Suspicion::Late, ms(now), hosts);
        times.extend((next != Decision::Nothing).then_some(now));
    }
    times
}

#[test]
fn a_chain_that_stays_slow_is_probed_more_and_more_seldom() {
    assert_eq!(played(Some(1), 5000), [0, 100, 300, 700, 1500, 3100, 4700]);
}

#[test]
fn many_hosts_together_make_no_more_probes_than_few() {
    let all = |hosts: u32| played(Some(hosts), 60_000).len() * hosts as usize;
    // Four at once on each host, and eight a second over all of them.
    assert!(all(8) <= 8 * 4 + 60 * 8, "{}", all(8));
    assert!(all(360) <= 360 * 4 + 60 * 8 + 360, "{}", all(360));
}

#[test]
fn a_host_that_does_not_know_how_many_they_are_makes_no_more_than_those_at_once() {
    assert_eq!(played(None, 60_000).len(), 4);
}
