//! Judges what callers and ledgers show against the stated outcomes.
//!
//! The system under test is not asked. [`answers`] looks at what callers received, [`layers`] and
//! [`runs`] compare it with what the ledgers say was run, [`recovery`] times the way back to the
//! full rate after a fault.

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

/// All that is judged.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// What was to be played.
    pub trace: &'a Trace,
    /// What the callers saw.
    pub run_result: &'a RunResult,
    /// What ran.
    pub ledgers: &'a Ledgers,
}

/// What became of a stated outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It holds.
    Kept,
    /// It does not hold.
    Broken,
    /// Nothing shows that it is broken, but evidence is missing.
    Unproved,
}

/// The unit of [`Finding::found`] and [`Finding::max`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Violations.
    Violations,
    /// Milliseconds.
    Milliseconds,
}

/// One stated outcome, judged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What was checked.
    pub check: Check,
    /// The fault, for [`Check::Recovery`].
    pub fault: Option<String>,
    /// What became of it.
    pub state: State,
    /// What was found; absent if it never came, such as a recovery.
    pub found: Option<u64>,
    /// The most that is allowed.
    pub max: u64,
    /// The unit of both.
    pub unit: Unit,
    /// Requests or calls that the check looked at.
    pub looked_at: u64,
    /// Violations and remarks, to read.
    pub examples: Vec<String>,
}

/// What one check found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Violations {
    /// Requests or calls looked at.
    pub looked_at: u64,
    /// One line each.
    pub lines: Vec<String>,
}

/// The whole verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Whether the run was made as the trace says and every stated outcome is kept.
    pub kept: bool,
    /// Why the run itself proves nothing: requests not sent, faults not done, no outcome stated.
    pub invalid: Vec<String>,
    /// One finding for each stated outcome.
    pub findings: Vec<Finding>,
}

/// Judges each stated outcome.
pub fn judge(evidence: Evidence<'_>) -> Verdict {
    let outcomes = evidence.trace.outcomes.iter();
    let findings: Vec<Finding> = outcomes
        .map(|outcome| match outcome {
            Outcome::AtMost(check, max) => at_most(evidence, *check, *max),
            Outcome::Recovery(stated) => recovery::judge(evidence, stated),
        })
        .collect();
    let invalid = invalid(evidence);
    let kept = invalid.is_empty() && findings.iter().all(|f| f.state == State::Kept);
    Verdict {
        kept,
        invalid,
        findings,
    }
}

/// Why the run is not the one that the trace describes.
fn invalid(evidence: Evidence<'_>) -> Vec<String> {
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

fn at_most(evidence: Evidence<'_>, check: Check, max: u64) -> Finding {
    let violations = match check {
        Check::LayersOnce => layers::violations(evidence),
        Check::NotRunTrue => runs::false_not_run(evidence),
        Check::AtMostOnce => runs::repeated(evidence),
        _ => answers::violations(evidence, check),
    };
    let found = violations.lines.len() as u64;
    let gaps = gaps(evidence, check);
    let state = match (found > max, gaps.is_empty()) {
        (true, _) => State::Broken,
        (false, true) => State::Kept,
        (false, false) => State::Unproved,
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

/// The gaps in the ledgers that `check` rests on.
fn gaps(evidence: Evidence<'_>, check: Check) -> BTreeSet<String> {
    match check {
        Check::LayersOnce => evidence.ledgers.engine_gaps.clone(),
        Check::AtMostOnce => evidence.ledgers.service_gaps.clone(),
        Check::NotRunTrue => evidence.ledgers.gaps(),
        _ => BTreeSet::new(),
    }
}

impl From<&checked::Recovery> for Finding {
    /// A recovery that never came, until found.
    fn from(stated: &checked::Recovery) -> Self {
        Self {
            check: Check::Recovery,
            fault: Some(stated.fault.clone()),
            state: State::Broken,
            found: None,
            max: stated.max.as_millis() as u64,
            unit: Unit::Milliseconds,
            looked_at: 0,
            examples: Vec::new(),
        }
    }
}
