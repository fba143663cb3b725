//! The limits that endpoints state for all hosts together, as this host knows and enforces them.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoint_limits::{LimitChange, PooledShares, RequestRate};

use super::Gateway;
use crate::ports::{AnswerMetadata, StatedLimit};

impl Gateway {
    /// Records what an endpoint's answer states about its limit.
    pub fn record_stated_limit(&self, id: &Rc<str>, facts: &AnswerMetadata) {
        let stated = match facts.limit {
            StatedLimit::Rate(rate) => Some(rate),
            // An answer without a seal may not be the endpoint's own, so it doesn't show that the
            // endpoint states no limit.
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

    /// Merges another host's report of an endpoint's limit, as of `as_of`. The report is ignored if
    /// the list of endpoints is known and lacks the endpoint.
    pub(crate) fn merge_limit_report(
        &self,
        id: &Rc<str>,
        rate: Option<RequestRate>,
        as_of: Duration,
    ) {
        if self.endpoints_known.get() && self.directory.borrow().get(id).is_none() {
            return;
        }
        let change = self.limits.borrow_mut().merge_report(id, rate, as_of);
        log_change(id, change, "another host");
    }

    /// Removes limits that no longer apply and no longer need to be reported.
    pub(crate) fn expire_limits(&self) {
        let directory = self.directory.borrow();
        let listed = |id: &str| directory.get(id).is_some();
        self.limits.borrow_mut().expire(listed, self.now());
    }

    /// The shares of the limits that this host's pools hold.
    pub(crate) fn limit_shares(&self) -> PooledShares {
        PooledShares {
            polling_hosts: self.peers.polling_hosts(&self.settings, self.now()),
            hosts: self.counted_hosts(),
        }
    }

    /// Returns the endpoints of a service that have a limit and for which this host has no permit
    /// now. Counts a wanted permit for each of them.
    pub fn without_permit(&self, service: &str) -> Vec<Rc<str>> {
        let mut limits = self.limits.borrow_mut();
        if limits.is_empty() {
            return Vec::new();
        }
        let directory = self.directory.borrow();
        let serves = |id: &str| directory.get(id).is_some_and(|e| &*e.service == service);
        limits.without_permit(serves, self.limit_shares(), self.now())
    }

    /// Acquires a permit from each of the given endpoints that has a limit. If one of them has no
    /// permit left, acquires none and returns false.
    pub fn try_acquire_permits(&self, ids: &[&Rc<str>]) -> bool {
        let mut limits = self.limits.borrow_mut();
        if limits.is_empty() {
            return true;
        }
        let limited = ids.iter().any(|id| limits.rate(id).is_some());
        let acquired = limits.try_acquire(ids, self.limit_shares(), self.now());
        match (limited, acquired) {
            (true, true) => self.metrics.limited_sends.inc(),
            (_, false) => self.metrics.permits_refused.inc(),
            (false, true) => {}
        }
        acquired
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
