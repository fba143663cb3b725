//! The report of a run: what happened, beside the verdict.
//!
//! Latencies count from the intended send time, so that a caller that was held up does not hide
//! the wait.

pub mod latency;
pub mod markdown;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Serialize;

use crate::{
    judge::{Evidence, Verdict, layers},
    record::{Answer, Record, RequestOutcome, RunState},
    trace::Work,
};
use latency::{Latencies, Latency};

/// All figures of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The deployment of the trace.
    pub deployment: String,
    /// The prefix of the run's keys.
    pub run_id: String,
    /// How many times faster than recorded it was played.
    pub speed: f64,
    /// The verdict.
    pub verdict: Verdict,
    /// Counts over all callers.
    pub counts: Counts,
    /// Counts of each workspace.
    pub workspaces: BTreeMap<String, Counts>,
    /// Requests whose last word was an error, by code.
    pub codes: BTreeMap<String, u64>,
    /// Times.
    pub latency: Latency,
    /// What was done a second.
    pub rates: Rates,
    /// Faults as they were done.
    pub faults: Vec<FaultLine>,
    /// The most requests in flight.
    pub peak_in_flight: usize,
    /// Layer positions run again by a later attempt.
    pub rebuilt_layer_positions: u64,
    /// What is missing of the ledgers.
    pub ledger_gaps: BTreeSet<String>,
}

/// How callers fared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Answers that claim to be complete.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Ended with another error.
    pub failed: u64,
    /// Ended without a word.
    pub lost: u64,
    /// Sent or resumed more than once.
    pub retried: u64,
    /// Tokens answered.
    pub tokens: u64,
}

/// What was done a second, from the start of the run to its last end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Rates {
    /// The length of the run.
    pub seconds: f64,
    /// Answered requests a second.
    pub requests_per_second: f64,
    /// Answered tokens a second.
    pub tokens_per_second: f64,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultLine {
    /// Its id.
    pub id: String,
    /// When it was done.
    pub at_ms: u64,
    /// Why it was not done.
    pub error: Option<String>,
}

impl Report {
    /// Sums up a run.
    pub fn new(evidence: Evidence<'_>, verdict: Verdict, speed: f64) -> Self {
        let Evidence {
            trace,
            run_result,
            ledgers,
        } = evidence;
        let mut counts = Counts::default();
        let mut workspaces: BTreeMap<String, Counts> = BTreeMap::new();
        let mut codes = BTreeMap::new();
        let mut latencies = Latencies::default();
        for record in &run_result.records {
            let arrival = &trace.arrivals[record.arrival];
            counts.add(record);
            let workspace = arrival.workspace.to_string();
            workspaces.entry(workspace).or_default().add(record);
            if let RequestOutcome::Refused(refusal) = &record.outcome {
                *codes.entry(refusal.code.clone()).or_default() += 1;
            }
            let call = matches!(arrival.work, Work::Call(_));
            latencies.add(record, call);
        }
        let faults = run_result.faults.iter().map(|f| FaultLine {
            id: f.id.clone(),
            at_ms: f.at.as_millis() as u64,
            error: f.error.clone(),
        });
        Self {
            deployment: trace.header.deployment.to_string(),
            run_id: run_result.run_id.clone(),
            speed,
            verdict,
            counts,
            workspaces,
            codes,
            latency: latencies.summary(),
            rates: Rates::new(&counts, &run_result.records),
            faults: faults.collect(),
            peak_in_flight: run_result.peak_in_flight,
            rebuilt_layer_positions: layers::rebuilt_layer_positions(evidence),
            ledger_gaps: ledgers.gaps(),
        }
    }
}

impl Counts {
    fn add(&mut self, record: &Record) {
        self.sent += 1;
        self.retried += u64::from(record.attempts > 1);
        match &record.outcome {
            RequestOutcome::Answered(answer) => {
                self.answered += 1;
                if let Answer::Tokens(tokens) = answer {
                    self.tokens += tokens.len() as u64;
                }
            }
            RequestOutcome::Refused(refusal) if refusal.run == RunState::NotRun => {
                self.not_run += 1
            }
            RequestOutcome::Refused(_) => self.failed += 1,
            RequestOutcome::Lost(_) => self.lost += 1,
        }
    }
}

impl Rates {
    fn new(counts: &Counts, records: &[Record]) -> Self {
        let end = records.iter().map(|r| r.ended).max();
        let seconds = end.unwrap_or(Duration::ZERO).as_secs_f64();
        if seconds == 0.0 {
            return Self::default();
        }
        Self {
            seconds,
            requests_per_second: counts.answered as f64 / seconds,
            tokens_per_second: counts.tokens as f64 / seconds,
        }
    }
}
