//! Runs that broke off where whether the endpoint has ended is not known yet.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use super::{MOST_REMEMBERED, record::Moment};
use crate::fingerprint::Fingerprint;

/// How long after a run broke off the end of its endpoint may be heard of: a start that takes its place is
/// listed within seconds.
const HEARD_WITHIN: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct BrokeOff {
    request: Fingerprint,
    endpoint: Rc<str>,
    at: Moment,
}

/// Runs that broke off at starts of endpoints that may have ended, in the order in which they did.
#[derive(Debug, Default)]
pub(super) struct Doubtful(VecDeque<BrokeOff>);

impl Doubtful {
    /// A run of a request broke off at a start of an endpoint.
    pub(super) fn note(&mut self, request: Fingerprint, endpoint: &Rc<str>, at: Moment) {
        self.0.retain(|run| run.at + HEARD_WITHIN > at);
        if self.0.len() >= MOST_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(BrokeOff {
            request,
            endpoint: endpoint.clone(),
            at,
        });
    }

    /// A start has ended: gives the requests whose runs broke off there a moment ago, which are no longer
    /// doubtful.
    pub(super) fn over(&mut self, endpoint: &str, now: Moment) -> Vec<Fingerprint> {
        let there = |run: &BrokeOff| *run.endpoint == *endpoint && run.at + HEARD_WITHIN > now;
        let (ended, others): (VecDeque<_>, _) = self.0.drain(..).partition(there);
        self.0 = others;
        let mut under: Vec<Fingerprint> = ended.iter().map(|run| run.request).collect();
        under.sort();
        under.dedup();
        under
    }

    /// A request was answered: that its runs broke off says nothing against it.
    pub(super) fn answered(&mut self, request: &Fingerprint) {
        self.0.retain(|run| run.request != *request);
    }
}
