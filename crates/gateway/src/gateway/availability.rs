//! What endpoints state in their answers about new work, as this host knows it.

use std::time::Duration;

use super::Gateway;
use crate::ports::{AnswerAvailability, StatedBackoff};

impl Gateway {
    /// Records what an endpoint's answer states about new work.
    pub(crate) fn record_availability(&self, id: &str, stated: AnswerAvailability) {
        if stated.draining {
            self.record_stated_draining(id);
        }
        self.record_backoff(id, stated.backoff);
    }

    fn record_stated_draining(&self, id: &str) {
        let mut directory = self.directory.borrow_mut();
        if directory.record_stated_draining(id, self.now()) {
            log::info!(target: "fleet", endpoint = id; "Endpoint states that it is draining.");
        }
    }

    /// Records the backoff that an endpoint requests, with its own answer or through the first stage of a chain.
    pub(crate) fn record_backoff(&self, id: &str, stated: StatedBackoff) {
        let backoff = match stated {
            StatedBackoff::None => return,
            StatedBackoff::For(backoff) => backoff,
            StatedBackoff::Unreadable => return self.metrics.unreadable_backoffs.inc(),
        };
        self.metrics.backoffs.inc();
        let mut directory = self.directory.borrow_mut();
        if directory.record_backoff(id, backoff, self.now()) {
            let seconds = backoff.duration().as_secs_f64();
            log::info!(target: "fleet", endpoint = id, seconds = seconds; "Endpoint requests a backoff.");
        }
    }

    /// The time until the first endpoint of a service ends its backoff; `None` if none is in one.
    pub(crate) fn shortest_backoff(&self, service: &str) -> Option<Duration> {
        self.directory
            .borrow()
            .shortest_backoff(service, self.now())
    }

    /// Removes statements that no longer apply.
    pub(crate) fn expire_availability(&self) {
        self.directory.borrow_mut().expire_statements(self.now());
    }
}
