//! What endpoints state in their answers about new work, as this host knows it.

use std::rc::Rc;

use dragonflyrill_fleet::endpoints::StatedRefusal;

use super::Gateway;
use crate::ports::{AnswerAvailability, StatedBackoff};

impl Gateway {
    /// Records what an endpoint's answer states about new work.
    pub(crate) fn record_availability(&self, id: &str, stated: AnswerAvailability) {
        let (mut directory, now) = (self.directory.borrow_mut(), self.now());
        if stated.draining && directory.record_stated_draining(id, now) {
            log::info!(target: "fleet", endpoint = id; "Endpoint states that it is draining.");
        }
        match stated.backoff {
            StatedBackoff::None => {}
            StatedBackoff::For(backoff) => {
                self.metrics.backoffs.inc();
                let seconds = backoff.duration().as_secs_f64();
                if directory.record_backoff(id, backoff, now) {
                    log::info!(target: "fleet", endpoint = id, seconds = seconds; "Endpoint requests a backoff.");
                }
            }
            StatedBackoff::Unreadable => self.metrics.unreadable_backoffs.inc(),
        }
    }

    /// Removes statements that no longer apply.
    pub(crate) fn expire_availability(&self) {
        self.directory.borrow_mut().expire_statements(self.now());
    }

    /// Counts a dispatch to endpoints of which one has stated that it accepts no new work.
    pub(crate) fn count_unwanted_send(&self, ids: &[&Rc<str>]) {
        let (directory, now) = (self.directory.borrow(), self.now());
        let refusals = ids
            .iter()
            .filter_map(|id| directory.stated_refusal(id, now));
        for refusal in refusals {
            let label = match refusal {
                StatedRefusal::Draining => "leaving",
                StatedRefusal::Backoff(_) => "backoff",
            };
            self.metrics
                .unwanted_sends
                .with_label_values(&[label])
                .inc();
        }
    }

    /// Records that an endpoint answered a request successfully.
    pub(crate) fn record_endpoint_success(&self, id: &str) {
        let mut directory = self.directory.borrow_mut();
        if directory.is_avoided(id, self.now()) {
            self.metrics.avoidances_ended.inc();
        }
        directory.record_success(id);
    }
}
