//! Measures the time from a fault until the completed rate has recovered.
//!
//! Arrivals come in bursts, so the rate of completed requests is divided by the rate of offered
//! requests in the same window. An answer with a higher latency than all answers that were received
//! before the fault does not count as completed; otherwise the answers to a backlog would hide the
//! stall that caused it. The resolution is the length of the window, and windows with few arrivals
//! are noisy: choose the window and the maximum of the outcome accordingly.

use std::time::Duration;

use super::{Evidence, Finding, FindingState};
use crate::{record::RequestOutcome, trace::checked};

/// The minimum completed ratio of a recovered window, relative to the ratio before the fault.
const MIN_RECOVERED_RATIO: f64 = 0.95;
/// The maximum number of windows before the fault over which the baseline is measured.
const MAX_BASELINE_WINDOWS: u32 = 5;
/// The number of window positions tested per window length.
const STEPS_PER_WINDOW: u32 = 20;

/// One request, as far as the rates need it. Times are relative to the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The intended send time.
    pub intended: Duration,
    /// When the request was answered; `None` if it was not.
    pub answered: Option<Duration>,
}

/// The measured recovery from a fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeasuredRecovery {
    /// Completed requests per second before the fault.
    pub baseline_rate: f64,
    /// The time from the fault until the rate had recovered; `None` if it did not recover before
    /// the end of the arrivals.
    pub recovered: Option<Duration>,
}

/// Measures the recovery from a fault at the time `fault`. Returns `None` if no request was
/// completed before it.
pub fn measure(samples: &[Sample], fault: Duration, window: Duration) -> Option<MeasuredRecovery> {
    let before = fault.min(window * MAX_BASELINE_WINDOWS);
    let max_latency = max_latency_before(samples, fault)?;
    let throughput = Throughput {
        samples,
        max_latency,
    };
    let from = fault - before;
    let baseline_ratio = throughput.completed_ratio(from, fault)?;
    if baseline_ratio == 0.0 {
        return None;
    }
    let baseline_rate = throughput.completed(from, fault) as f64 / before.as_secs_f64();
    let end = samples.iter().map(|s| s.intended).max()?;
    let mut start = fault;
    let mut recovered = None;
    while start + window <= end {
        let window_ratio = throughput.completed_ratio(start, start + window);
        if window_ratio.is_some_and(|ratio| ratio >= MIN_RECOVERED_RATIO * baseline_ratio) {
            recovered = Some(start - fault);
            break;
        }
        start += (window / STEPS_PER_WINDOW).max(Duration::from_millis(1));
    }
    Some(MeasuredRecovery {
        baseline_rate,
        recovered,
    })
}

/// The maximum latency of the answers received before `fault`.
fn max_latency_before(samples: &[Sample], fault: Duration) -> Option<Duration> {
    let ended = samples
        .iter()
        .filter_map(|s| Some((s.intended, s.answered?)));
    ended
        .filter(|(_, answered)| *answered < fault)
        .map(|(intended, answered)| answered.saturating_sub(intended))
        .max()
}

/// Counts completed and offered requests.
struct Throughput<'a> {
    samples: &'a [Sample],
    /// Answers with a higher latency do not count as completed.
    max_latency: Duration,
}

impl Throughput<'_> {
    /// The number of requests completed in `from..to`.
    fn completed(&self, from: Duration, to: Duration) -> usize {
        let answered = self
            .samples
            .iter()
            .filter_map(|s| Some((s.intended, s.answered?)));
        answered
            .filter(|(_, answered)| (from..to).contains(answered))
            .filter(|(intended, answered)| answered.saturating_sub(*intended) <= self.max_latency)
            .count()
    }

    /// The number of completed requests divided by that of offered requests in `from..to`; `None`
    /// if no request was offered.
    fn completed_ratio(&self, from: Duration, to: Duration) -> Option<f64> {
        let intended = self.samples.iter().map(|s| s.intended);
        let offered = intended.filter(|at| (from..to).contains(at)).count();
        (offered > 0).then(|| self.completed(from, to) as f64 / offered as f64)
    }
}

/// Judges a stated outcome about the recovery from a fault.
pub fn judge(evidence: Evidence<'_>, stated: &checked::Recovery) -> Finding {
    let mut finding = Finding::from(stated);
    let faults = &evidence.run_result.faults;
    let Some(fault) = faults.iter().find(|f| f.id == stated.fault) else {
        finding.examples.push("the fault was not done".to_owned());
        return finding;
    };
    let records = evidence.run_result.records.iter();
    let samples: Vec<Sample> = records
        .map(|record| Sample {
            intended: record.intended,
            answered: matches!(record.outcome, RequestOutcome::Answered(_)).then_some(record.ended),
        })
        .collect();
    finding.looked_at = samples.len() as u64;
    let Some(found) = measure(&samples, fault.at, stated.window) else {
        finding.state = FindingState::Unproved;
        let reason = "nothing was completed before the fault";
        finding.examples.push(reason.to_owned());
        return finding;
    };
    let rate = format!("{:.1} requests/s completed before", found.baseline_rate);
    finding.examples.push(rate);
    finding.found = found.recovered.map(|time| time.as_millis() as u64);
    if finding.found.is_some_and(|ms| ms <= finding.max) {
        finding.state = FindingState::Kept;
    }
    finding
}
