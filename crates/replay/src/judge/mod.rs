//! Judges the stated outcomes by the records of callers and the ledgers.
//!
//! The status that the system under test reports is not used. [`answers`] checks the answers that
//! callers received, [`layers`] and [`runs`] compare them with the work in the ledgers, and
//! [`recovery`] measures the time until the completed rate has recovered from a fault.

pub mod answers;
pub mod layers;
pub mod recovery;
pub mod runs;

use std::collections::BTreeSet;

use serde::Serialize;

use crate::{
    ledger::Ledgers,
    run::RunResult,
    trace::{Outcome, Trace, checked, raw::Check},
};

/// The evidence of a run.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// The trace that was replayed.
    pub trace: &'a Trace,
    /// The records of the callers and the results of the faults.
    pub run_result: &'a RunResult,
    /// The ledgers, which show the work that ran.
    pub ledgers: &'a Ledgers,
}

/// The verdict on a stated outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingState {
    /// The outcome holds.
    Kept,
    /// The outcome does not hold.
    Broken,
    /// The evidence does not show that the outcome is broken, but it is incomplete.
    Unproved,
}

/// The unit of [`Finding::found`] and [`Finding::max`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// A number of violations.
    Violations,
    /// A time in milliseconds.
    Milliseconds,
}

/// The finding on one stated outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The check of the outcome.
    pub check: Check,
    /// The id of the fault, for [`Check::Recovery`].
    pub fault: Option<String>,
    /// The verdict on the outcome.
    pub state: FindingState,
    /// The value found, in `unit`; `None` for a recovery that was not observed.
    pub found: Option<u64>,
    /// The maximum value allowed, in `unit`.
    pub max: u64,
    /// The unit of `found` and `max`.
    pub unit: Unit,
    /// The number of requests and calls that the check examined.
    pub looked_at: u64,
    /// Descriptions of the violations, and remarks.
    pub examples: Vec<String>,
}

/// The violations that one check found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Violations {
    /// The number of requests and calls that the check examined.
    pub looked_at: u64,
    /// A description of each violation, one line each.
    pub lines: Vec<String>,
}

/// The verdict on a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Whether the run is valid and every stated outcome is kept.
    pub kept: bool,
    /// The reasons why the run is invalid: requests were not sent, faults were not injected or the
    /// trace states no outcome. Empty for a valid run.
    pub invalid: Vec<String>,
    /// One finding for each stated outcome.
    pub findings: Vec<Finding>,
}

/// Judges a run and each stated outcome of its trace.
pub fn judge(evidence: Evidence<'_>) -> Verdict {
    let outcomes = evidence.trace.outcomes.iter();
    let findings: Vec<Finding> = outcomes
        .map(|outcome| match outcome {
            Outcome::AtMost(check, max) => judge_violations(evidence, *check, *max),
            Outcome::Recovery(stated) => recovery::judge(evidence, stated),
        })
        .collect();
    let invalid = invalid_reasons(evidence);
    let kept = invalid.is_empty() && findings.iter().all(|f| f.state == FindingState::Kept);
    Verdict {
        kept,
        invalid,
        findings,
    }
}

/// The reasons why the run is invalid, see [`Verdict::invalid`].
fn invalid_reasons(evidence: Evidence<'_>) -> Vec<String> {
    let Evidence {
        trace, run_result, ..
    } = evidence;
    let mut reasons = Vec::new();
    let missing = trace
        .arrivals
        .len()
        .saturating_sub(run_result.records.len());
    if missing > 0 {
        reasons.push(format!("{missing} requests were not sent or not followed"));
    }
    let done = run_result
        .faults
        .iter()
        .filter(|f| f.error.is_none())
        .count();
    if done < trace.faults.len() {
        let of = trace.faults.len();
        reasons.push(format!("{done} of {of} faults were done"));
    }
    if trace.outcomes.is_empty() {
        reasons.push("the trace states no outcome".to_owned());
    }
    reasons
}

fn judge_violations(evidence: Evidence<'_>, check: Check, max: u64) -> Finding {
    let violations = match check {
        Check::LayersOnce => layers::violations(evidence),
        Check::NotRunTrue => runs::false_not_run(evidence),
        Check::AtMostOnce => runs::repeated_calls(evidence),
        _ => answers::violations(evidence, check),
    };
    let found = violations.lines.len() as u64;
    let gaps = ledger_gaps(evidence, check);
    let state = match (found > max, gaps.is_empty()) {
        (true, _) => FindingState::Broken,
        (false, true) => FindingState::Kept,
        (false, false) => FindingState::Unproved,
    };
    let mut examples = violations.lines;
    examples.extend(gaps.iter().cloned());
    Finding {
        check,
        fault: None,
        state,
        found: Some(found),
        max,
        unit: Unit::Violations,
        looked_at: violations.looked_at,
        examples,
    }
}

/// The gaps in the ledgers that `check` uses.
fn ledger_gaps(evidence: Evidence<'_>, check: Check) -> BTreeSet<String> {
    match check {
        Check::LayersOnce => evidence.ledgers.engine_gaps.clone(),
        Check::AtMostOnce => evidence.ledgers.service_gaps.clone(),
        Check::NotRunTrue => evidence.ledgers.gaps(),
        _ => BTreeSet::new(),
    }
}

impl From<&checked::Recovery> for Finding {
    /// The finding of a recovery that was not observed, to be updated if it was.
    fn from(stated: &checked::Recovery) -> Self {
        Self {
            check: Check::Recovery,
            fault: Some(stated.fault.clone()),
            state: FindingState::Broken,
            found: None,
            max: stated.max.as_millis() as u64,
            unit: Unit::Milliseconds,
            looked_at: 0,
            examples: Vec::new(),
        }
    }
}
