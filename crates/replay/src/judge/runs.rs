//! Whether work ran that was reported as not run, or ran more often than it may.

use std::collections::BTreeMap;

use super::{Evidence, Violations};
use crate::{
    record::{RequestOutcome, RunState},
    trace::{Arrival, Work},
};

/// How often the work of each key ran, by the ledgers.
struct Runs<'a> {
    evidence: Evidence<'a>,
    /// Steps of engines by request id.
    steps: BTreeMap<&'a str, u64>,
    /// Calls of services by key.
    calls: BTreeMap<&'a str, u64>,
}

impl<'a> Runs<'a> {
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

    /// Steps or calls that ran for `arrival`. A service may have been given the key with or without
    /// its workspace.
    fn of(&self, arrival: &Arrival) -> u64 {
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

/// Work that every caller of its key was told had not run, and that a ledger shows.
pub fn false_not_run(evidence: Evidence<'_>) -> Violations {
    let runs = Runs::new(evidence);
    let mut not_run = BTreeMap::new();
    for record in &evidence.run_result.records {
        let arrival = &evidence.trace.arrivals[record.arrival];
        let told = match &record.outcome {
            RequestOutcome::Refused(refusal) => refusal.run == RunState::NotRun,
            _ => false,
        };
        let identity = (arrival.workspace.as_str(), arrival.key.as_str());
        let (all, _) = not_run.entry(identity).or_insert((true, arrival));
        *all &= told;
    }
    let mut violations = Violations::default();
    for (_, arrival) in not_run.into_values().filter(|(all, _)| *all) {
        violations.looked_at += 1;
        let ran = runs.of(arrival);
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

/// Calls that may not be repeated and ran more than once.
pub fn repeated(evidence: Evidence<'_>) -> Violations {
    let runs = Runs::new(evidence);
    let mut once = BTreeMap::new();
    for arrival in &evidence.trace.arrivals {
        if arrival.repeatable == Some(false) && matches!(arrival.work, Work::Call(_)) {
            once.insert((arrival.workspace.as_str(), arrival.key.as_str()), arrival);
        }
    }
    let mut violations = Violations::default();
    for arrival in once.into_values() {
        violations.looked_at += 1;
        let ran = runs.of(arrival);
        if ran > 1 {
            violations
                .lines
                .push(format!("{}: ran {ran} times", arrival.id));
        }
    }
    violations
}
