//! The report of a run: the verdict, and counts, latencies and rates.
//!
//! Latencies are measured from the intended send time, so that they include the wait of a request
//! whose sending was delayed.

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
use latency::{LatencyHistograms, LatencySummary};

/// The report of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The deployment of the trace.
    pub deployment: String,
    /// The prefix of the idempotency keys of the run.
    pub run_id: String,
    /// The factor by which the trace was replayed faster than recorded.
    pub speed: f64,
    /// The verdict.
    pub verdict: Verdict,
    /// Counts over all callers.
    pub counts: Counts,
    /// Counts of each workspace.
    pub workspaces: BTreeMap<String, Counts>,
    /// The number of requests that ended with an error, by error code.
    pub codes: BTreeMap<String, u64>,
    /// The latencies of answered requests.
    pub latency: LatencySummary,
    /// The rates over the whole run.
    pub rates: Rates,
    /// The results of the faults.
    pub faults: Vec<FaultLine>,
    /// The maximum number of requests in flight at a time.
    pub peak_in_flight: usize,
    /// The number of layer positions that were run again by a later attempt.
    pub rebuilt_layer_positions: u64,
    /// The reasons why entries of the ledgers may be missing.
    pub ledger_gaps: BTreeSet<String>,
}

/// Counts of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests with an answer that was marked as complete.
    pub answered: u64,
    /// Requests that were refused as not run.
    pub not_run: u64,
    /// Requests that ended with another error.
    pub failed: u64,
    /// Requests that ended without an answer.
    pub lost: u64,
    /// Requests with more than one attempt.
    pub retried: u64,
    /// Tokens of all complete answers.
    pub tokens: u64,
}

/// Rates from the start of the run to the end of its last request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Rates {
    /// The length of this time in seconds.
    pub seconds: f64,
    /// Answered requests per second.
    pub requests_per_second: f64,
    /// Tokens of complete answers per second.
    pub tokens_per_second: f64,
}

/// The result of one fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultLine {
    /// The id of the fault.
    pub id: String,
    /// When it was injected, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Why it was not injected; `None` if it was.
    pub error: Option<String>,
}

impl Report {
    /// Creates the report of a run that was replayed at `speed`.
    pub fn new(evidence: Evidence<'_>, verdict: Verdict, speed: f64) -> Self {
        let Evidence {
            trace,
            run_result,
            ledgers,
        } = evidence;
        let mut counts = Counts::default();
        let mut workspaces: BTreeMap<String, Counts> = BTreeMap::new();
        let mut codes = BTreeMap::new();
        let mut latencies = LatencyHistograms::default();
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
