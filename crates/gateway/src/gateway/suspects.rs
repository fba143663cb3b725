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
    pub fn request_held(&self, request: impl FnOnce() -> Fingerprint) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        match quarantine.is_empty() {
            true => None,
            false => quarantine.quarantined_for(&request(), self.now()),
        }
    }

    /// A start of an endpoint has ended while it ran a request of this host's.
    pub fn ended_under(&self, request: Fingerprint, endpoint: &Rc<str>) {
        self.metrics.ended_under.inc();
        log::info!(target: "forward", request:% = request, endpoint = &**endpoint; "An endpoint has ended under a request.");
        let hold = self
            .quarantine
            .borrow_mut()
            .note_termination(request, endpoint, self.now());
        if let Some(hold) = hold {
            let for_s = hold.remaining().as_secs();
            log::warn!(target: "forward", request:% = request, for_s = for_s, times = hold.count; "A request is held: endpoints end under it.");
            // Each moment counts: other hosts may be about to send it.
            self.peers.hurry();
        }
    }

    /// A run of a request of this host's broke off at an endpoint that may have ended.
    pub fn broke_off_at(&self, request: Fingerprint, endpoint: &Rc<str>) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.note_broken_run(request, endpoint, self.now());
    }

    /// A start of an endpoint is known to have ended: so it has under what broke off there.
    pub(super) fn endpoint_over(&self, endpoint: &Rc<str>) {
        let under = self
            .quarantine
            .borrow_mut()
            .confirm_termination(endpoint, self.now());
        for request in under {
            self.ended_under(request, endpoint);
        }
    }

    /// An endpoint has answered a request of this host's.
    pub fn survived(&self, request: Fingerprint) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.note_answer(&request, self.now()) {
            log::info!(target: "forward", request:% = request; "A request is no longer held: an endpoint has answered it.");
        }
    }

    /// Another host has told what it knows.
    pub fn told_suspects(&self, told: Vec<SuspectReport>) {
        let held = self.quarantine.borrow_mut().merge_reports(told, self.now());
        note_held(&held);
    }

    /// The holds that this host keeps in its row.
    pub fn holds_to_keep(&self) -> (PersistRevision, Vec<QuarantineRecord>) {
        self.quarantine.borrow().to_persist(self.now())
    }

    /// The row of a host has holds, of this one if `own`.
    pub fn found_holds(&self, kept: Vec<QuarantineRecord>, own: bool) {
        let held = self.quarantine.borrow_mut().restore(kept, own, self.now());
        note_held(&held);
    }
}

fn note_held(held: &[Fingerprint]) {
    for request in held {
        log::warn!(target: "forward", request:% = request; "A request is held: another host found that endpoints end under it.");
    }
}
