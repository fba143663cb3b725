//! Runs that broke off at endpoints of which it is not known yet whether they have terminated.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use super::{MAX_RECORDS, record::Moment};
use crate::fingerprint::Fingerprint;

/// How long after a run broke off the termination of its endpoint may become known: an incarnation that
/// replaces it is listed within seconds.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct BrokenRun {
    request: Fingerprint,
    endpoint: Rc<str>,
    at: Moment,
}

/// Runs that broke off at incarnations of endpoints that may have terminated, in the order in which they
/// broke off.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedRuns(VecDeque<BrokenRun>);

impl UnconfirmedRuns {
    /// Adds a run of a request that broke off at an incarnation of an endpoint.
    pub(super) fn insert(&mut self, request: Fingerprint, endpoint: &Rc<str>, at: Moment) {
        self.0.retain(|run| run.at + CONFIRMATION_WINDOW > at);
        if self.0.len() >= MAX_RECORDS {
            self.0.pop_front();
        }
        self.0.push_back(BrokenRun {
            request,
            endpoint: endpoint.clone(),
            at,
        });
    }

    /// Notes that an incarnation has terminated: removes its unconfirmed runs and returns the requests of
    /// those that broke off within [`CONFIRMATION_WINDOW`].
    pub(super) fn confirm(&mut self, endpoint: &str, now: Moment) -> Vec<Fingerprint> {
        let there =
            |run: &BrokenRun| *run.endpoint == *endpoint && run.at + CONFIRMATION_WINDOW > now;
        let (ended, others): (VecDeque<_>, _) = self.0.drain(..).partition(there);
        self.0 = others;
        let mut requests: Vec<Fingerprint> = ended.iter().map(|run| run.request).collect();
        requests.sort();
        requests.dedup();
        requests
    }

    /// Discards the runs of a request that was answered: that they broke off doesn't count against it.
    pub(super) fn discard(&mut self, request: &Fingerprint) {
        self.0.retain(|run| run.request != *request);
    }
}
