//! Checks in the ledgers that work reported as not run did not run, and that calls marked as not
//! repeatable ran at most once.

use std::collections::BTreeMap;

use super::{Evidence, Violations};
use crate::{
    record::{RequestOutcome, RunState},
    trace::{Arrival, Work},
};

/// The number of runs of the work of each key, according to the ledgers.
struct RunCounts<'a> {
    evidence: Evidence<'a>,
    /// The number of steps of engines, by request id.
    steps: BTreeMap<&'a str, u64>,
    /// The number of calls of services, by key.
    calls: BTreeMap<&'a str, u64>,
}

impl<'a> RunCounts<'a> {
    fn new(evidence: Evidence<'a>) -> Self {
        let mut steps = BTreeMap::new();
        for entry in evidence.ledgers.engines.iter().flat_map(|l| &l.entries) {
            *steps.entry(entry.request.as_str()).or_default() += 1;
        }
        let mut calls = BTreeMap::new();
        for entry in evidence.ledgers.services.iter().flat_map(|l| &l.entries) {
            *calls.entry(entry.key.as_str()).or_default() += entry.count;
        }
        Self {
            evidence,
            steps,
            calls,
        }
    }

    /// The number of steps or calls that ran for `arrival`. A service may have received the key
    /// with or without the workspace, so both forms are counted.
    fn count(&self, arrival: &Arrival) -> u64 {
        let run_result = self.evidence.run_result;
        let id = run_result.ledger_id(arrival);
        let found = |runs: &BTreeMap<&str, u64>, id: &str| runs.get(id).copied().unwrap_or(0);
        match arrival.work {
            Work::Generation(_) => found(&self.steps, &id),
            Work::Call(_) => {
                found(&self.calls, &id) + found(&self.calls, &run_result.idempotency_key(arrival))
            }
        }
    }
}

/// Work that a ledger shows although it was reported as not run to every caller of its key.
pub fn false_not_run(evidence: Evidence<'_>) -> Violations {
    let runs = RunCounts::new(evidence);
    let mut not_run = BTreeMap::new();
    for record in &evidence.run_result.records {
        let arrival = &evidence.trace.arrivals[record.arrival];
        let reported_not_run = match &record.outcome {
            RequestOutcome::Refused(refusal) => refusal.run == RunState::NotRun,
            _ => false,
        };
        let identity = (arrival.workspace.as_str(), arrival.key.as_str());
        let (all, _) = not_run.entry(identity).or_insert((true, arrival));
        *all &= reported_not_run;
    }
    let mut violations = Violations::default();
    for (_, arrival) in not_run.into_values().filter(|(all, _)| *all) {
        violations.looked_at += 1;
        let ran = runs.count(arrival);
        if ran > 0 {
            let line = format!(
                "{}: reported as not run, ran {ran} steps or calls",
                arrival.id
            );
            violations.lines.push(line);
        }
    }
    violations
}

/// Calls marked as not repeatable that ran more than once.
pub fn repeated_calls(evidence: Evidence<'_>) -> Violations {
    let runs = RunCounts::new(evidence);
    let mut once = BTreeMap::new();
    for arrival in &evidence.trace.arrivals {
        if arrival.repeatable == Some(false) && matches!(arrival.work, Work::Call(_)) {
            once.insert((arrival.workspace.as_str(), arrival.key.as_str()), arrival);
        }
    }
    let mut violations = Violations::default();
    for arrival in once.into_values() {
        violations.looked_at += 1;
        let ran = runs.count(arrival);
        if ran > 1 {
            violations
                .lines
                .push(format!("{}: ran {ran} times", arrival.id));
        }
    }
    violations
}
