//! The limits that endpoints name for all hosts together, as this host knows them.

use std::rc::Rc;

use dragonflyrill_fleet::endpoint_limits::Change;

use super::Gateway;
use crate::ports::{AnswerFacts, StatedLimit};

impl Gateway {
    /// Takes what an endpoint's answer says of its limit.
    pub fn note_limit(&self, id: &Rc<str>, facts: &AnswerFacts) {
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
        let change = self.limits.borrow_mut().named(id, stated);
        match change {
            Some(Change::Named(rate)) => {
                log::info!(target: "fleet", endpoint = &**id, per_s = rate.per_s(); "Endpoint names a limit.");
            }
            Some(Change::Lifted) => {
                log::info!(target: "fleet", endpoint = &**id; "Endpoint names no limit any more.");
            }
            None => {}
        }
    }

    /// Counts a send to endpoints, if one of them names a limit.
    pub fn count_limited_send(&self, ids: &[&Rc<str>]) {
        let limits = self.limits.borrow();
        if ids.iter().any(|id| limits.rate(id).is_some()) {
            self.metrics.limited_sends.inc();
        }
    }
}
