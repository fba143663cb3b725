//! What distinguishes the parts of prompts from requests: they come in runs together with others, and probes tell which
//! of them is the cause.

use std::{rc::Rc, time::Duration};

use super::{
    BegunQuarantine, Quarantine, RunSuspects,
    explanations::Explanation,
    moment,
    record::{MIN_TERMINATIONS, Moment, RequestRecord},
};
use crate::fingerprint::Fingerprint;

/// Maximum number of terminations under one request that count against the parts of its prompt.
const MAX_TERMINATIONS_BY_REQUEST: usize = 2;

impl Quarantine {
    /// Notes that an incarnation of an endpoint has terminated during a run; returns the quarantines that begin with it.
    pub fn note_run_termination(
        &mut self,
        run: &RunSuspects,
        endpoint: &Rc<str>,
        now: Duration,
    ) -> Vec<BegunQuarantine> {
        let prompt_parts = match self.terminations_before(&run.request, endpoint, moment(now)) {
            ..MAX_TERMINATIONS_BY_REQUEST => &run.prompt_parts[..],
            _ => &[],
        };
        if !run.prompt_parts.is_empty() {
            self.probes.record_termination(&run.request);
        }
        // The request comes last, as a part that is quarantined now explains the termination.
        let suspects = prompt_parts.iter().chain([&run.request]);
        let begun = suspects.filter_map(|suspect| {
            let period = self.note_termination(*suspect, endpoint, now)?;
            let suspect = *suspect;
            Some(BegunQuarantine { suspect, period })
        });
        let mut begun: Vec<BegunQuarantine> = begun.collect();
        begun.extend(self.confirm_causes(now));
        begun
    }

    /// Begins a probe: returns whether a request may be sent though parts of its prompt are quarantined. Only the host that
    /// has quarantined one of them sends probes, one at a time. [`Self::end_probe`] ends it.
    pub fn begin_probe(&mut self, run: &RunSuspects, now: Duration) -> bool {
        let now = moment(now);
        let quarantined = run
            .prompt_parts
            .iter()
            .filter(|part| self.is_quarantined(part, now));
        let quarantined: Vec<Fingerprint> = quarantined.copied().collect();
        let records = || quarantined.iter().filter_map(|part| self.records.get(part));
        let is_due = records().any(|r| r.probe_at.is_some_and(|at| at <= now));
        let may_be_probed = records().all(RequestRecord::may_be_probed);
        is_due && may_be_probed && self.probes.begin(run.request, quarantined)
    }

    /// Notes that the probe under way is about to be sent to an endpoint.
    pub fn note_probe_sent(&mut self) {
        for part in self.probes.parts_under_way() {
            if let Some(record) = self.records.get_mut(part) {
                record.probes = record.probes.saturating_add(1);
            }
        }
    }

    /// Ends the probe under way, whatever its result; returns the quarantines that begin with it.
    pub fn end_probe(&mut self, now: Duration) -> Vec<BegunQuarantine> {
        self.probes.end();
        self.confirm_causes(now)
    }

    /// Quarantines for longer the parts of which probes have shown that they are the cause.
    fn confirm_causes(&mut self, now: Duration) -> Vec<BegunQuarantine> {
        let at = moment(now);
        let records = &self.records;
        let is_suspected = |part: &Fingerprint| {
            let record = records.get(part);
            record.is_some_and(|r| r.is_quarantined(at) && r.is_unconfirmed())
        };
        let causes = self.probes.causes(is_suspected);
        let confirmed = causes.into_iter().filter_map(|suspect| {
            let record = self.records.get_mut(&suspect)?;
            record.confirm(self.first_duration, at);
            let period = record.period?.to_report(at);
            self.changed(&suspect);
            self.persist_revision.0 += 1;
            Some(BegunQuarantine { suspect, period })
        });
        confirmed.collect()
    }

    /// The number of known terminations under a request, beside that of an incarnation of an endpoint.
    fn terminations_before(&self, request: &Fingerprint, endpoint: &str, now: Moment) -> usize {
        let Some(record) = self.records.get(request) else {
            return 0;
        };
        if record.is_quarantined(now) {
            return MIN_TERMINATIONS;
        }
        let others = record.terminations.iter();
        others.filter(|t| *t.endpoint != *endpoint).count()
    }

    /// The terminations under quarantined parts of prompts other than `suspect`.
    pub(super) fn explanations(&self, suspect: &Fingerprint, now: Moment) -> Vec<Explanation<'_>> {
        let others = self.records.iter().filter(|(other, r)| {
            other.is_prompt_part() && *other != suspect && r.is_quarantined(now)
        });
        others.map(|(_, r)| &r.period_terminations[..]).collect()
    }

    /// Ends the quarantines of requests that would not have begun, had it been known what quarantined parts of prompts
    /// explain. Those of parts are left to probes: a sound part that is in most prompts has as many terminations as the
    /// cause.
    pub(super) fn end_explained_periods(&mut self, now: Moment) {
        let quarantined = || self.records.iter().filter(|(_, r)| r.is_quarantined(now));
        let parts = quarantined().filter(|(suspect, _)| suspect.is_prompt_part());
        let explanations: Vec<Explanation<'_>> =
            parts.map(|(_, r)| &r.period_terminations[..]).collect();
        if explanations.is_empty() {
            return;
        }
        let requests = quarantined().filter(|(suspect, _)| !suspect.is_prompt_part());
        let explained = requests.filter(|(_, r)| r.is_explained(&explanations));
        let explained: Vec<Fingerprint> = explained.map(|(suspect, _)| *suspect).collect();
        for suspect in &explained {
            let Some(record) = self.records.get_mut(suspect) else {
                continue;
            };
            let own = record.period.is_some_and(|p| p.own);
            record.end_period();
            self.changed(suspect);
            self.persist_revision.0 += u64::from(own);
        }
    }
}
