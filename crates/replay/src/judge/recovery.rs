//! The time from a fault until the completed rate is back.
//!
//! Arrivals come in bursts, so the completed rate is taken as a share of the offered rate of the
//! same window. An answer that took longer than every answer that ended before the fault does not
//! count as completed: else the flush of a backlog would hide the stall that caused it. The
//! resolution is the window, and a window with few arrivals is noise: state the outcome accordingly.

use std::time::Duration;

use super::{Evidence, Finding, State};
use crate::{record::RequestOutcome, trace::checked};

/// The rate must be back to at least this part of the rate before.
const BACK: f64 = 0.95;
/// The rate before is taken over at most this many windows.
const WINDOWS_BEFORE: u32 = 5;
/// Windows are tried this many times within their own length.
const STEPS: u32 = 20;

/// One request, for the rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The intended send time.
    pub intended: Duration,
    /// When it was answered, if it was.
    pub answered: Option<Duration>,
}

/// What was found of a recovery.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Found {
    /// Completed requests a second before the fault.
    pub rate_before: f64,
    /// The time from the fault until the rate was back; `None` if that did not come before the end
    /// of the arrivals.
    pub recovered: Option<Duration>,
}

/// Times the recovery from a fault at `fault`. `None` if nothing was completed before it.
pub fn find(samples: &[Sample], fault: Duration, window: Duration) -> Option<Found> {
    let before = fault.min(window * WINDOWS_BEFORE);
    let usual = slowest_before(samples, fault)?;
    let rates = Rates { samples, usual };
    let from = fault - before;
    let share_before = rates.share(from, fault)?;
    if share_before == 0.0 {
        return None;
    }
    let rate_before = rates.completed(from, fault) as f64 / before.as_secs_f64();
    let end = samples.iter().map(|s| s.intended).max()?;
    let mut start = fault;
    let mut recovered = None;
    while start + window <= end {
        let back = rates.share(start, start + window);
        if back.is_some_and(|share| share >= BACK * share_before) {
            recovered = Some(start - fault);
            break;
        }
        start += (window / STEPS).max(Duration::from_millis(1));
    }
    Some(Found {
        rate_before,
        recovered,
    })
}

/// The longest that an answer which ended before `fault` took.
fn slowest_before(samples: &[Sample], fault: Duration) -> Option<Duration> {
    let ended = samples
        .iter()
        .filter_map(|s| Some((s.intended, s.answered?)));
    ended
        .filter(|(_, answered)| *answered < fault)
        .map(|(intended, answered)| answered.saturating_sub(intended))
        .max()
}

struct Rates<'a> {
    samples: &'a [Sample],
    /// Slower answers don't count.
    usual: Duration,
}

impl Rates<'_> {
    fn completed(&self, from: Duration, to: Duration) -> usize {
        let answered = self
            .samples
            .iter()
            .filter_map(|s| Some((s.intended, s.answered?)));
        answered
            .filter(|(_, answered)| (from..to).contains(answered))
            .filter(|(intended, answered)| answered.saturating_sub(*intended) <= self.usual)
            .count()
    }

    /// Completed over offered requests; `None` if none were offered.
    fn share(&self, from: Duration, to: Duration) -> Option<f64> {
        let intended = self.samples.iter().map(|s| s.intended);
        let offered = intended.filter(|at| (from..to).contains(at)).count();
        (offered > 0).then(|| self.completed(from, to) as f64 / offered as f64)
    }
}

/// Judges a stated recovery.
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
    let Some(found) = find(&samples, fault.at, stated.window) else {
        finding.state = State::Unproved;
        let reason = "nothing was completed before the fault";
        finding.examples.push(reason.to_owned());
        return finding;
    };
    let rate = format!("{:.1} requests/s completed before", found.rate_before);
    finding.examples.push(rate);
    finding.found = found.recovered.map(|time| time.as_millis() as u64);
    if finding.found.is_some_and(|ms| ms <= finding.max) {
        finding.state = State::Kept;
    }
    finding
}
