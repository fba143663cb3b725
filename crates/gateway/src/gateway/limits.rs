//! The limits that endpoints name for all hosts together, as this host knows and keeps to them.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoint_limits::{LimitChange, PooledShares, RequestRate};

use super::Gateway;
use crate::ports::{AnswerMetadata, StatedLimit};

impl Gateway {
    /// Takes what an endpoint's answer says of its limit.
    pub fn note_limit(&self, id: &Rc<str>, facts: &AnswerMetadata) {
        let stated = match facts.limit {
            StatedLimit::Rate(rate) => Some(rate),
            // What the endpoint did not make itself shows nothing.
            StatedLimit::None if facts.sealed => None,
            StatedLimit::None => return,
            StatedLimit::Unreadable => {
                self.metrics.unreadable_limits.inc();
                return;
            }
        };
        let change = self
            .limits
            .borrow_mut()
            .record_stated(id, stated, self.now());
        log_change(id, change, "an answer");
    }

    /// Takes what another host told of an endpoint's limit, unless the endpoint is known not to be listed.
    pub(crate) fn told_limit(&self, id: &Rc<str>, rate: Option<RequestRate>, as_of: Duration) {
        if self.endpoints_known.get() && self.directory.borrow().get(id).is_none() {
            return;
        }
        let change = self.limits.borrow_mut().merge_report(id, rate, as_of);
        log_change(id, change, "another host");
    }

    /// Forgets limits that are over.
    pub(crate) fn expire_limits(&self) {
        let directory = self.directory.borrow();
        let listed = |id: &str| directory.get(id).is_some();
        self.limits.borrow_mut().expire(listed, self.now());
    }

    /// The shares of limits that this host holds.
    pub(crate) fn limit_shares(&self) -> PooledShares {
        PooledShares {
            polling_hosts: self.peers.asked_by(&self.settings, self.now()),
            hosts: self.counted_hosts(),
        }
    }

    /// The endpoints of a service of whose limits this host has no permit now, for a request that wants one.
    pub fn without_permit(&self, service: &str) -> Vec<Rc<str>> {
        let mut limits = self.limits.borrow_mut();
        if limits.is_empty() {
            return Vec::new();
        }
        let directory = self.directory.borrow();
        let serves = |id: &str| directory.get(id).is_some_and(|e| &*e.service == service);
        limits.without_permit(serves, self.limit_shares(), self.now())
    }

    /// Takes a permit of each of some endpoints that names a limit; false, and none is taken, if one has none left.
    pub fn take_permits(&self, ids: &[&Rc<str>]) -> bool {
        let mut limits = self.limits.borrow_mut();
        if limits.is_empty() {
            return true;
        }
        let limited = ids.iter().any(|id| limits.rate(id).is_some());
        let taken = limits.try_acquire(ids, self.limit_shares(), self.now());
        match (limited, taken) {
            (true, true) => self.metrics.limited_sends.inc(),
            (_, false) => self.metrics.permits_refused.inc(),
            (false, true) => {}
        }
        taken
    }
}

fn log_change(id: &Rc<str>, change: Option<LimitChange>, by: &str) {
    match change {
        Some(LimitChange::Set(rate)) => {
            log::info!(target: "fleet", endpoint = &**id, per_s = rate.per_s(), by = by; "Endpoint names a limit.");
        }
        Some(LimitChange::Lifted) => {
            log::info!(target: "fleet", endpoint = &**id, by = by; "Endpoint names no limit any more.");
        }
        None => {}
    }
}
