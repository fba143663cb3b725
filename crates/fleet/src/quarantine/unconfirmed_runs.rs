//! Runs that broke off at endpoints of which it is not known yet whether they have terminated.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use super::{MAX_RECORDS, RunSuspects, record::Moment};
use crate::fingerprint::Fingerprint;

/// How long after a run broke off the termination of its endpoint may become known: an incarnation that
/// replaces it is listed within seconds.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct BrokenRun {
    suspects: RunSuspects,
    endpoint: Rc<str>,
    at: Moment,
}

/// Runs that broke off at incarnations of endpoints that may have terminated, in the order in which they
/// broke off.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedRuns(VecDeque<BrokenRun>);

impl UnconfirmedRuns {
    /// Adds a run that broke off at an incarnation of an endpoint.
    pub(super) fn insert(&mut self, suspects: RunSuspects, endpoint: &Rc<str>, at: Moment) {
        self.0.retain(|run| run.at + CONFIRMATION_WINDOW > at);
        if self.0.len() >= MAX_RECORDS {
            self.0.pop_front();
        }
        self.0.push_back(BrokenRun {
            suspects,
            endpoint: endpoint.clone(),
            at,
        });
    }

    /// Notes that an incarnation has terminated: removes its unconfirmed runs and returns the suspects of
    /// those that broke off within [`CONFIRMATION_WINDOW`], ordered by request.
    pub(super) fn confirm(&mut self, endpoint: &str, now: Moment) -> Vec<RunSuspects> {
        let there =
            |run: &BrokenRun| *run.endpoint == *endpoint && run.at + CONFIRMATION_WINDOW > now;
        let (ended, others): (VecDeque<_>, _) = self.0.drain(..).partition(there);
        self.0 = others;
        let mut runs: Vec<RunSuspects> = ended.into_iter().map(|run| run.suspects).collect();
        runs.sort();
        runs.dedup();
        runs
    }

    /// Discards what counts against a suspect that was answered.
    pub(super) fn discard(&mut self, suspect: &Fingerprint) {
        self.0.retain(|run| run.suspects.request != *suspect);
        if suspect.is_prompt_part() {
            for run in &mut self.0 {
                run.suspects.prompt_parts.retain(|part| part != suspect);
            }
        }
    }
}
