//! Requests and parts of prompts that are suspected of terminating endpoints, as this host knows them.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    fingerprint::Fingerprint,
    quarantine::{
        BegunQuarantine, PersistRevision, Provers, QuarantineRecord, RunSuspects, SuspectReport,
    },
};

use super::Gateway;

/// What the termination of an endpoint implies for a request that it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Involvement {
    /// The request may be the cause: its answer had hardly begun.
    PossibleCause,
    /// The request probably broke off with the endpoint that another one has ended.
    Bystander,
}

impl Gateway {
    /// How much longer a request or a part of its prompt is quarantined, because endpoints have
    /// terminated while they ran it; `None` if it may be sent. The fingerprint of the request is
    /// computed only if anything is suspected.
    pub fn quarantined_for(
        &self,
        prompt_parts: &[Fingerprint],
        request: impl FnOnce() -> Fingerprint,
    ) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return None;
        }
        let (request, now) = (request(), self.now());
        let suspects = prompt_parts.iter().chain([&request]);
        let remaining = suspects.filter_map(|suspect| quarantine.quarantined_for(suspect, now));
        remaining.max()
    }

    /// Records that an incarnation of an endpoint has terminated during a run of this host.
    pub fn record_termination(
        &self,
        run: &RunSuspects,
        endpoint: &Rc<str>,
        involvement: Involvement,
    ) {
        self.metrics.ended_under.inc();
        log::info!(target: "forward", request:% = run.request, endpoint = &**endpoint; "An endpoint has terminated while it ran a request.");
        let mut quarantine = self.quarantine.borrow_mut();
        let begun = quarantine.note_run_termination(run, endpoint, self.now());
        if involvement == Involvement::PossibleCause {
            self.urgent_proof.set(quarantine.own_termination_version());
        }
        drop(quarantine);
        // This host's row lacks the termination, and all hosts may end at any moment.
        drop(self.bounds.request_write());
        self.announce(&begun);
    }

    /// Logs quarantines that begin, and reports them. Other hosts may be about to send such a request, so the next poll is
    /// made at once.
    fn announce(&self, begun: &[BegunQuarantine]) {
        begun.iter().for_each(log_begun);
        if !begun.is_empty() {
            self.peers.poll_now();
        }
    }

    /// Begins a probe with a request of this host, if one is due for the quarantined parts of its prompt.
    pub fn begin_probe(&self, run: &RunSuspects) -> bool {
        let begins = self.quarantine.borrow_mut().begin_probe(run, self.now());
        if begins {
            log::info!(target: "forward", request:% = run.request; "A request with a quarantined part is sent as a probe.");
        }
        begins
    }

    /// Ends the probe under way.
    pub fn end_probe(&self) {
        let begun = self.quarantine.borrow_mut().end_probe(self.now());
        self.announce(&begun);
    }

    /// Records that a run of this host broke off at an endpoint that may have terminated.
    pub fn record_broken_run(&self, run: RunSuspects, endpoint: &Rc<str>) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.note_broken_run(run, endpoint, self.now());
    }

    /// Records that an incarnation of an endpoint has terminated: runs that recently broke off there
    /// count as under way at the time.
    pub(crate) fn confirm_termination(&self, endpoint: &Rc<str>) {
        let runs = self
            .quarantine
            .borrow_mut()
            .confirm_termination(endpoint, self.now());
        for run in runs {
            self.record_termination(&run, endpoint, Involvement::Bystander);
        }
    }

    /// Records that an endpoint has answered a request of this host.
    pub fn record_answer(&self, request: Fingerprint) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.note_answer(&request, self.now()) {
            log::info!(target: "forward", request:% = request; "A request is no longer quarantined: an endpoint has answered it.");
        }
    }

    /// Records that an endpoint has got beyond the beginning of an answer on these parts of a prompt.
    pub fn record_begun_answer(&self, prompt_parts: &[Fingerprint]) {
        let mut quarantine = self.quarantine.borrow_mut();
        for part in prompt_parts {
            if quarantine.note_answer(part, self.now()) {
                log::info!(target: "forward", part:% = part; "A part of prompts is no longer quarantined: an endpoint has begun to answer it.");
                self.peers.poll_now();
            }
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

fn log_begun(begun: &BegunQuarantine) {
    let BegunQuarantine { suspect, period } = begun;
    let (for_s, times) = (period.remaining().as_secs(), period.count);
    match suspect.is_prompt_part() {
        true => {
            log::warn!(target: "forward", part:% = suspect, for_s = for_s, times = times; "A part of prompts is quarantined: endpoints terminate when they begin to answer it.");
        }
        false => {
            log::warn!(target: "forward", request:% = suspect, for_s = for_s, times = times; "A request is quarantined: endpoints terminate while running it.");
        }
    }
}

fn log_quarantined(suspects: &[Fingerprint]) {
    for suspect in suspects {
        match suspect.is_prompt_part() {
            true => {
                log::warn!(target: "forward", part:% = suspect; "A part of prompts is quarantined: another host found that endpoints terminate when they begin to answer it.");
            }
            false => {
                log::warn!(target: "forward", request:% = suspect; "A request is quarantined: another host found that endpoints terminate while running it.");
            }
        }
    }
}
