//! Requests that are suspected of terminating endpoints, as this host knows them.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    fingerprint::Fingerprint,
    quarantine::{PersistRevision, Provers, QuarantineRecord, SuspectReport},
};

use super::Gateway;

/// What the termination of an endpoint implies for a request that it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Involvement {
    /// The request may be the cause: it had no events yet.
    PossibleCause,
    /// The request probably broke off with the endpoint that another one has ended.
    Bystander,
}

impl Gateway {
    /// How much longer a request is quarantined, because endpoints have terminated while they ran
    /// it; `None` if it may be sent. The fingerprint is computed only if any request is suspected.
    pub fn quarantined_for(&self, request: impl FnOnce() -> Fingerprint) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        match quarantine.is_empty() {
            true => None,
            false => quarantine.quarantined_for(&request(), self.now()),
        }
    }

    /// Records that an incarnation of an endpoint has terminated while it ran a request of this
    /// host.
    pub fn record_termination(
        &self,
        request: Fingerprint,
        endpoint: &Rc<str>,
        involvement: Involvement,
    ) {
        self.metrics.ended_under.inc();
        log::info!(target: "forward", request:% = request, endpoint = &**endpoint; "An endpoint has terminated while it ran a request.");
        let mut quarantine = self.quarantine.borrow_mut();
        let period = quarantine.note_termination(request, endpoint, self.now());
        if involvement == Involvement::PossibleCause {
            self.urgent_proof.set(quarantine.own_termination_version());
        }
        drop(quarantine);
        // This host's row lacks the termination, and all hosts may end at any moment.
        drop(self.bounds.request_write());
        if let Some(period) = period {
            let for_s = period.remaining().as_secs();
            log::warn!(target: "forward", request:% = request, for_s = for_s, times = period.count; "A request is quarantined: endpoints terminate while running it.");
            // Other hosts may be about to send the request, so the next poll is made at once.
            self.peers.poll_now();
        }
    }

    /// Records that a run of a request of this host broke off at an endpoint that may have
    /// terminated.
    pub fn record_broken_run(&self, request: Fingerprint, endpoint: &Rc<str>) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.note_broken_run(request, endpoint, self.now());
    }

    /// Records that an incarnation of an endpoint has terminated: requests whose runs recently
    /// broke off there count as running at the time.
    pub(crate) fn confirm_termination(&self, endpoint: &Rc<str>) {
        let requests = self
            .quarantine
            .borrow_mut()
            .confirm_termination(endpoint, self.now());
        for request in requests {
            self.record_termination(request, endpoint, Involvement::Bystander);
        }
    }

    /// Records that an endpoint has answered a request of this host.
    pub fn record_answer(&self, request: Fingerprint) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.note_answer(&request, self.now()) {
            log::info!(target: "forward", request:% = request; "A request is no longer quarantined: an endpoint has answered it.");
        }
    }

    /// Merges the reports of another host.
    pub fn merge_suspect_reports(&self, reports: Vec<SuspectReport>) {
        let quarantined = self
            .quarantine
            .borrow_mut()
            .merge_reports(reports, self.now());
        log_quarantined(&quarantined);
    }

    /// The quarantine records to store in this host's row, and their revision.
    pub fn quarantines_to_persist(&self) -> (PersistRevision, Vec<QuarantineRecord>) {
        self.quarantine.borrow().to_persist(self.now())
    }

    /// The suspected requests to store in this host's row.
    pub fn suspects_to_persist(&self, provers: Provers) -> Vec<SuspectReport> {
        let quarantine = self.quarantine.borrow();
        quarantine.suspects_to_persist(provers, self.now())
    }

    /// Restores the suspected requests of a host's row; `own` is whether that is this host's row.
    pub fn restore_suspects(&self, suspects: Vec<SuspectReport>, own: bool) {
        let quarantined = self
            .quarantine
            .borrow_mut()
            .restore_suspects(suspects, own, self.now());
        log_quarantined(&quarantined);
    }

    /// Restores the quarantine records of a host's row; `own` is whether that is this host's row.
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
        log::warn!(target: "forward", request:% = request; "A request is quarantined: another host found that endpoints terminate while running it.");
    }
}
