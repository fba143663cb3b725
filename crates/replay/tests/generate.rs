//! Synthetic traces. Guards against a generator whose traces are not reproducible from their seed,
//! are rejected by the parser or lack a kind of workspace or call, and against committed traces
//! that the parser no longer accepts.

use std::collections::{BTreeMap, BTreeSet};

use dragonflyrill_replay::{
    generate::{
        self, Plan,
        deployment::{KIOSKNETZ, NAMHAE},
    },
    trace::{Trace, Work},
};
use proptest::prelude::*;

fn plan(seed: u64) -> Plan {
    Plan {
        deployment: &NAMHAE,
        seconds: 20,
        rate: 20.0,
        seed,
    }
}

#[test]
fn the_same_seed_gives_the_same_trace() {
    let text = generate::trace(&plan(7)).unwrap();
    assert_eq!(text, generate::trace(&plan(7)).unwrap());
    assert_ne!(text, generate::trace(&plan(8)).unwrap());
}

#[test]
fn a_trace_has_large_and_small_workspaces_and_both_kinds_of_calls() {
    let text = generate::trace(&plan(1)).unwrap();
    let trace = Trace::parse("t", &text).unwrap();
    let mut by_workspace: BTreeMap<&str, usize> = BTreeMap::new();
    for arrival in &trace.arrivals {
        *by_workspace.entry(arrival.workspace.as_str()).or_default() += 1;
    }
    assert_eq!(by_workspace.len(), 10);
    assert!(by_workspace["oyster-co-op"] > 3 * by_workspace["mussel-co-op"]);
    let calls = trace.arrivals.iter();
    let calls: Vec<_> = calls.filter(|a| matches!(a.work, Work::Call(_))).collect();
    assert!(calls.iter().any(|a| a.repeatable == Some(false)));
    assert!(calls.iter().any(|a| a.repeatable == Some(true)));
    let ids: BTreeSet<&str> = trace.arrivals.iter().map(|a| a.key.as_str()).collect();
    assert!(ids.len() < trace.arrivals.len(), "no duplicate");
}

#[test]
fn the_committed_traces_are_parsed() {
    for (file, deployment) in [("namhae", &NAMHAE), ("kiosknetz", &KIOSKNETZ)] {
        let path = format!("{}/../../traces/{file}.jsonl", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).unwrap();
        let trace = Trace::parse(file, &text).unwrap();
        assert_eq!(trace.header.deployment.as_str(), deployment.name);
        assert!(trace.arrivals.len() > 300, "{}", trace.arrivals.len());
        assert!(!trace.outcomes.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]
    #[test]
    fn every_generated_trace_is_parsed(seed: u64, seconds in 0_u32..5, rate in 0.1..200.0) {
        let plan = Plan { deployment: &KIOSKNETZ, seconds, rate, seed };
        let text = generate::trace(&plan).unwrap();
        let trace = Trace::parse("t", &text);
        prop_assert!(trace.is_ok(), "{:?}", trace);
    }
}
