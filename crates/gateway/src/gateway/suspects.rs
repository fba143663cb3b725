//! Requests under which endpoints end, as this host knows them.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    fingerprint::Fingerprint,
    quarantine::{PersistRevision, QuarantineRecord, SuspectReport},
};

use super::Gateway;

impl Gateway {
    /// For how long still a request is not sent, as endpoints have ended under it; `None` if it may be.
    /// It is named only where any request is suspected at all.
    pub fn quarantined_for(&self, request: impl FnOnce() -> Fingerprint) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        match quarantine.is_empty() {
            true => None,
            false => quarantine.quarantined_for(&request(), self.now()),
        }
    }

    /// A start of an endpoint has ended while it ran a request of this host's.
    pub fn record_termination(&self, request: Fingerprint, endpoint: &Rc<str>) {
        self.metrics.ended_under.inc();
        log::info!(target: "forward", request:% = request, endpoint = &**endpoint; "An endpoint has ended under a request.");
        let period = self
            .quarantine
            .borrow_mut()
            .note_termination(request, endpoint, self.now());
        if let Some(period) = period {
            let for_s = period.remaining().as_secs();
            log::warn!(target: "forward", request:% = request, for_s = for_s, times = period.count; "A request is held: endpoints end under it.");
            // Each moment counts: other hosts may be about to send it.
            self.peers.poll_now();
        }
    }

    /// A run of a request of this host's broke off at an endpoint that may have ended.
    pub fn record_broken_run(&self, request: Fingerprint, endpoint: &Rc<str>) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.note_broken_run(request, endpoint, self.now());
    }

    /// A start of an endpoint is known to have ended: so it has under what broke off there.
    pub(super) fn confirm_termination(&self, endpoint: &Rc<str>) {
        let requests = self
            .quarantine
            .borrow_mut()
            .confirm_termination(endpoint, self.now());
        for request in requests {
            self.record_termination(request, endpoint);
        }
    }

    /// An endpoint has answered a request of this host's.
    pub fn record_answer(&self, request: Fingerprint) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.note_answer(&request, self.now()) {
            log::info!(target: "forward", request:% = request; "A request is no longer held: an endpoint has answered it.");
        }
    }

    /// Another host has told what it knows.
    pub fn merge_suspect_reports(&self, reports: Vec<SuspectReport>) {
        let quarantined = self
            .quarantine
            .borrow_mut()
            .merge_reports(reports, self.now());
        log_quarantined(&quarantined);
    }

    /// The holds that this host keeps in its row.
    pub fn quarantines_to_persist(&self) -> (PersistRevision, Vec<QuarantineRecord>) {
        self.quarantine.borrow().to_persist(self.now())
    }

    /// The row of a host has holds, of this one if `own`.
    pub fn restore_quarantines(&self, records: Vec<QuarantineRecord>, own: bool) {
        let quarantined = self
            .quarantine
            .borrow_mut()
            .restore(records, own, self.now());
        log_quarantined(&quarantined);
    }
}

fn log_quarantined(requests: &[Fingerprint]) {
    for request in requests {
        log::warn!(target: "forward", request:% = request; "A request is held: another host found that endpoints end under it.");
    }
}
