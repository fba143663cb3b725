//! Requests, and parts of prompts, that are quarantined because endpoints terminate while they run them.
//!
//! A request that crashes whatever endpoint runs it must not go from endpoint to endpoint, because each crash
//! also breaks off all other requests that run there. A single termination proves nothing, as all requests on
//! that endpoint saw it. A request is quarantined if several incarnations of endpoints terminated one after
//! the other while they ran it and none answered it in between: then no host sends it any more.
//!
//! Identical requests of different callers are one request here, and many of them may be in flight when a
//! service loses power. A request that was answered a moment ago is not the cause of terminations: no
//! termination counts against it.
//!
//! Requests that have nothing else in common may share a part of their prompts that crashes each endpoint that begins
//! to answer it. So the shared parts of a prompt are suspects like the request itself, with the same rules. What
//! tells them apart from other parts is that many requests share those, and some are answered: an endpoint that has got
//! beyond the beginning of an answer exonerates all parts of its prompt. A request counts against its parts for two
//! terminations only, as it may be the cause itself. What a quarantined part explains counts less against others, and
//! ends the quarantines of requests that would not have begun otherwise. A part that is quarantined by mistake is found
//! by a probe ([`Quarantine::begin_probe`]).
//!
//! A request is retried as attempts with their own ids, at any host. So what one host has observed is
//! reported to all hosts ([`Quarantine::changes_since`], [`Quarantine::merge_reports`]), and quarantine
//! periods are stored where they outlive the process ([`Quarantine::to_persist`], [`Quarantine::restore`]).
//! Hosts come to quarantine the same requests, in whatever order and however often they exchange reports.
//!
//! A quarantine period expires, because a request that isn't sent can't be shown to be harmless. After that a
//! single termination is enough for the next period, which is twice as long: a request that keeps crashing
//! endpoints must wait twice as long for each further crash.

mod explanations;
mod probes;
mod prompt_parts;
mod recent_answers;
mod record;
mod reports;
mod unconfirmed_runs;

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

pub use self::reports::{
    ClockSpan, Provers, QuarantinePeriod, QuarantineRecord, SuspectReport, Termination,
};
use self::{
    explanations::SuspectKind,
    probes::Probes,
    recent_answers::RecentAnswers,
    record::{CountedTermination, Moment, RequestPeriod, RequestRecord},
    unconfirmed_runs::UnconfirmedRuns,
};
use crate::fingerprint::Fingerprint;

/// Maximum number of requests that are remembered. Beyond it, those requests are evicted that were updated
/// longest ago and are not quarantined. Also the maximum number of unconfirmed runs.
const MAX_RECORDS: usize = 1024;
/// Maximum number of quarantine periods that are stored in one place: some 25 KB.
const MAX_PERSISTED: usize = 256;
/// Maximum number of suspected requests whose terminations are stored in one place: some 20 KB.
const MAX_PERSISTED_SUSPECTS: usize = 128;
/// How long before its own start this process can represent times that are reported to it.
const TIME_BEFORE_START: Duration = Duration::from_secs(30 * 24 * 3600);

/// What may be the cause if an endpoint terminates during a run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunSuspects {
    /// The request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may share. Empty if the run had got beyond the beginning of its
    /// answer: then none of them is the cause.
    pub prompt_parts: Vec<Fingerprint>,
}

impl RunSuspects {
    /// The suspects of a run whose prompt is not known, or is beyond suspicion.
    pub fn request_only(request: Fingerprint) -> Self {
        Self {
            request,
            prompt_parts: Vec::new(),
        }
    }
}

/// A quarantine that begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BegunQuarantine {
    /// The request or the part of prompts.
    pub suspect: Fingerprint,
    /// Its quarantine period.
    pub period: QuarantinePeriod,
}

/// Revision of what is to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct PersistRevision(u64);

/// The requests and parts of prompts that a host knows of during whose runs endpoints have terminated.
#[derive(Debug)]
pub struct Quarantine {
    /// Length of the first quarantine period of a request.
    first_duration: Duration,
    records: FxHashMap<Fingerprint, RequestRecord>,
    unconfirmed: UnconfirmedRuns,
    answered_requests: RecentAnswers,
    answered_parts: RecentAnswers,
    /// The time of the first answer on any part.
    part_answered_at: Option<Moment>,
    probes: Probes,
    /// Added to the times of this host's probes, so that hosts which quarantine the same part don't send theirs at the
    /// same time.
    probe_spread: Duration,
    /// Grows with each change.
    version: u64,
    /// Grows with each change of what is to be stored.
    persist_revision: PersistRevision,
    persisted_revision: PersistRevision,
    /// Grows with each change of the terminations that count towards a quarantine.
    suspects_revision: PersistRevision,
    /// The version with which this host last proved a termination.
    own_termination_version: u64,
}

impl Quarantine {
    /// Creates an empty quarantine. `first_duration` is the length of a request's first period.
    pub fn new(first_duration: Duration) -> Self {
        Self {
            first_duration,
            records: FxHashMap::default(),
            unconfirmed: UnconfirmedRuns::default(),
            answered_requests: RecentAnswers::default(),
            answered_parts: RecentAnswers::default(),
            part_answered_at: None,
            probes: Probes::default(),
            probe_spread: Duration::ZERO,
            version: 0,
            persist_revision: PersistRevision::default(),
            persisted_revision: PersistRevision::default(),
            suspects_revision: PersistRevision::default(),
            own_termination_version: 0,
        }
    }

    /// Delays the probes of this host by a time that differs from host to host.
    pub fn with_probe_spread(mut self, spread: Duration) -> Self {
        self.probe_spread = spread;
        self
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How much longer a suspect is quarantined; `None` if requests with it may be sent.
    pub fn quarantined_for(&self, suspect: &Fingerprint, now: Duration) -> Option<Duration> {
        let now = moment(now);
        let period = self.records.get(suspect)?.period?;
        Some(period.span.until.saturating_sub(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Number of requests and parts of prompts that are quarantined.
    pub fn quarantined_count(&self, now: Duration) -> usize {
        let now = moment(now);
        self.records
            .values()
            .filter(|r| r.is_quarantined(now))
            .count()
    }

    /// Notes that an incarnation of an endpoint has terminated while it ran something with a suspect; returns the quarantine
    /// period that begins with it, if one does.
    pub fn note_termination(
        &mut self,
        suspect: Fingerprint,
        endpoint: &Rc<str>,
        now: Duration,
    ) -> Option<QuarantinePeriod> {
        let now = moment(now);
        self.expire(now);
        if self.excused_until(&suspect, now) >= Some(now) {
            return None;
        }
        let proved = CountedTermination {
            endpoint: endpoint.clone(),
            at: now,
            own: true,
        };
        let record = self.record_mut(suspect, now);
        if !record.add_termination(proved.clone()) {
            if record.add_period_termination(proved) {
                self.changed(&suspect);
                self.end_explained_periods(now);
            }
            return None;
        }
        let begins = self.begin_period_if_due(&suspect, now);
        self.changed(&suspect);
        self.own_termination_version = self.version;
        if !begins {
            return None;
        }
        self.persist_revision.0 += 1;
        self.end_explained_periods(now);
        let period = self.records.get(&suspect)?.period?;
        Some(period.to_report(now))
    }

    /// The time up to which no termination counts against a suspect, as it was answered recently.
    fn excused_until(&mut self, suspect: &Fingerprint, now: Moment) -> Option<Moment> {
        self.recent_answers(suspect).excused_until(suspect, now)
    }

    fn recent_answers(&mut self, suspect: &Fingerprint) -> &mut RecentAnswers {
        match kind(suspect) {
            SuspectKind::Request => &mut self.answered_requests,
            SuspectKind::PromptPart => &mut self.answered_parts,
        }
    }

    /// Begins a quarantine period if there is enough evidence; returns whether it did.
    fn begin_period_if_due(&mut self, suspect: &Fingerprint, now: Moment) -> bool {
        let may_begin = |r: &RequestRecord| r.may_begin_period();
        if !self.records.get(suspect).is_some_and(may_begin) {
            return false;
        }
        let Some(mut record) = self.records.remove(suspect) else {
            return false;
        };
        let explanations = self.explanations(suspect, now);
        let begins =
            record.begin_period_if_due(kind(suspect), &explanations, self.first_duration, now);
        if begins && suspect.is_prompt_part() {
            let known_for = self.part_answered_at.map(|at| now.saturating_sub(at));
            record.probe_at = Some(now + probes::delay(known_for) + self.probe_spread);
        }
        self.records.insert(*suspect, record);
        begins
    }

    /// Notes that a run broke off at an incarnation of an endpoint of which it is not known yet whether it has
    /// terminated.
    pub fn note_broken_run(&mut self, run: RunSuspects, endpoint: &Rc<str>, now: Duration) {
        self.unconfirmed.insert(run, endpoint, moment(now));
    }

    /// Notes that an incarnation of an endpoint has terminated; returns the suspects of the runs that recently
    /// broke off there, so that it terminated during them.
    pub fn confirm_termination(&mut self, endpoint: &str, now: Duration) -> Vec<RunSuspects> {
        self.unconfirmed.confirm(endpoint, moment(now))
    }

    /// Notes that an endpoint has answered a request, or has got beyond the beginning of an answer on a part of prompts;
    /// returns whether the suspect was quarantined.
    pub fn note_answer(&mut self, suspect: &Fingerprint, now: Duration) -> bool {
        let now = moment(now);
        if suspect.is_prompt_part() {
            self.part_answered_at.get_or_insert(now);
        }
        self.recent_answers(suspect).insert(*suspect, now);
        self.unconfirmed.discard(suspect);
        let Some(record) = self.records.get_mut(suspect) else {
            return false;
        };
        if record.terminations.is_empty() && record.period.is_none() {
            return false;
        }
        let period = record.period;
        record.apply_answer(now);
        self.changed(suspect);
        self.persist_revision.0 += u64::from(period.is_some_and(|p| p.own));
        period.is_some_and(|p| p.span.until > now)
    }

    /// The version of this host's knowledge; grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Reports of what has changed since a version of this host's.
    pub fn changes_since(&self, version: u64, now: Duration) -> Vec<SuspectReport> {
        let now = moment(now);
        let changed = self.records.iter().filter(|(_, r)| r.changed > version);
        let reports = changed.map(|(request, record)| SuspectReport {
            request: *request,
            terminations: record.termination_reports(now),
            answer_age: record.answered_at.map(|at| now.saturating_sub(at)),
            period: record.period.map(|period| period.to_report(now)),
        });
        reports.collect()
    }

    /// Merges the reports of another host; returns the requests that are newly quarantined.
    pub fn merge_reports(
        &mut self,
        reports: Vec<SuspectReport>,
        now: Duration,
    ) -> Vec<Fingerprint> {
        self.merge_all(&reports, false, moment(now))
    }

    fn merge_all(&mut self, reports: &[SuspectReport], own: bool, now: Moment) -> Vec<Fingerprint> {
        self.expire(now);
        let requests = reports.iter().map(|report| report.request);
        let free: Vec<Fingerprint> = requests.filter(|r| !self.is_quarantined(r, now)).collect();
        reports
            .iter()
            .for_each(|report| self.merge_report(report, own, now));
        self.end_explained_periods(now);
        self.keep_quarantined(free, now)
    }

    /// Returns those of the requests that are quarantined.
    fn keep_quarantined(&self, mut requests: Vec<Fingerprint>, now: Moment) -> Vec<Fingerprint> {
        requests.retain(|request| self.is_quarantined(request, now));
        requests
    }

    /// Merges a report; `own` is whether an earlier process of this host has made it.
    fn merge_report(&mut self, report: &SuspectReport, own: bool, now: Moment) {
        // An answer to a request that is not known here yet is kept too: another host may still report
        // the quarantine that it ended, and the answer is not reported a second time.
        let unknown = !self.records.contains_key(&report.request);
        let empty = report.terminations.is_empty() && report.period.is_none();
        if unknown && empty && report.answer_age.is_none() {
            return;
        }
        let excused_until = self.excused_until(&report.request, now);
        let record = self.record_mut(report.request, now);
        let owned = record.period.is_some_and(|p| p.own);
        let answered_at = report.answer_age.map(|age| time_ago(now, age));
        let period = report
            .period
            .map(|period| RequestPeriod::from_report(period, now, false));
        let mut changed = answered_at.is_some_and(|at| record.merge_answer(at));
        changed |= period.is_some_and(|period| record.merge_period(period));
        for termination in &report.terminations {
            let reported = CountedTermination::from_report(termination, now, own);
            changed |= record.add_termination(reported.clone());
            changed |= record.add_period_termination(reported);
        }
        // Only this host may know that the suspect was answered shortly before.
        changed |= excused_until.is_some_and(|until| record.excuse_until(until));
        let begins = self.begin_period_if_due(&report.request, now);
        let record = self.records.get(&report.request);
        let owns = record.is_some_and(|r| r.period.is_some_and(|p| p.own));
        if changed || begins {
            self.changed(&report.request);
        }
        if begins || owned != owns {
            self.persist_revision.0 += 1;
        }
    }

    /// The unexpired quarantine periods that this host or an earlier process of it has determined, newest
    /// first, and their revision.
    pub fn to_persist(&self, now: Duration) -> (PersistRevision, Vec<QuarantineRecord>) {
        let now = moment(now);
        let quarantined = self.records.iter().filter(|(_, r)| r.is_quarantined(now));
        let own =
            quarantined.filter_map(|(request, r)| Some((request, r.period.filter(|p| p.own)?)));
        let mut records: Vec<(Moment, QuarantineRecord)> = own
            .map(|(request, own_period)| {
                let period = own_period.to_report(now);
                let request = *request;
                (own_period.span.since, QuarantineRecord { request, period })
            })
            .collect();
        records.sort_by_key(|(since, record)| (std::cmp::Reverse(*since), record.request));
        records.truncate(MAX_PERSISTED);
        (
            self.persist_revision,
            records.into_iter().map(|(_, record)| record).collect(),
        )
    }

    /// Revision of the terminations that count towards a quarantine.
    pub fn suspects_revision(&self) -> PersistRevision {
        self.suspects_revision
    }

    /// The version with which this host last proved a termination; 0 if it has proved none.
    pub fn own_termination_version(&self) -> u64 {
        self.own_termination_version
    }

    /// The requests with terminations that count towards a quarantine, those with the most and latest
    /// terminations first, as the next processes of all hosts need them if all hosts end at once.
    pub fn suspects_to_persist(&self, provers: Provers, now: Duration) -> Vec<SuspectReport> {
        let now = moment(now);
        let counts = |t: &&CountedTermination| provers == Provers::AllHosts || t.own;
        let mut suspects: Vec<(&Fingerprint, &RequestRecord)> = self
            .records
            .iter()
            .filter(|(_, r)| r.terminations.iter().any(|t| counts(&t)))
            .collect();
        suspects.sort_by_key(|(request, r)| {
            let order = (r.terminations.len(), r.updated_at, **request);
            std::cmp::Reverse(order)
        });
        suspects.truncate(MAX_PERSISTED_SUSPECTS);
        let report = |(request, record): (&Fingerprint, &RequestRecord)| {
            let terminations = record.terminations.iter().filter(counts);
            SuspectReport {
                request: *request,
                terminations: terminations.map(|t| t.to_report(now)).collect(),
                answer_age: None,
                period: None,
            }
        };
        suspects.into_iter().map(report).collect()
    }

    /// Restores the terminations that hosts have stored; `own` is whether that was this host. Returns the
    /// requests that are newly quarantined. Terminations that are older than a first quarantine lasts no longer
    /// count.
    pub fn restore_suspects(
        &mut self,
        mut stored: Vec<SuspectReport>,
        own: bool,
        now: Duration,
    ) -> Vec<Fingerprint> {
        let max_age = self.first_duration;
        for suspect in &mut stored {
            suspect.terminations.retain(|t| t.age < max_age);
        }
        stored.retain(|suspect| !suspect.terminations.is_empty());
        self.merge_all(&stored, own, moment(now))
    }

    /// Notes that what was to be stored at this revision has been.
    pub fn mark_persisted(&mut self, revision: PersistRevision) {
        self.persisted_revision = self.persisted_revision.max(revision);
    }

    /// Whether what is to be stored has changed since it was last stored.
    pub fn persist_due(&self) -> bool {
        self.persist_revision > self.persisted_revision
    }

    /// Restores what a host has stored; `own` is whether that was this host. Returns the requests that are
    /// newly quarantined.
    pub fn restore(
        &mut self,
        stored: Vec<QuarantineRecord>,
        own: bool,
        now: Duration,
    ) -> Vec<Fingerprint> {
        let now = moment(now);
        let unexpired = || {
            stored
                .iter()
                .filter(|record| !record.period.remaining().is_zero())
        };
        let requests = unexpired().map(|record| record.request);
        let free: Vec<Fingerprint> = requests.filter(|r| !self.is_quarantined(r, now)).collect();
        let probe_spread = self.probe_spread;
        for QuarantineRecord { request, period } in unexpired() {
            let excused_until = self.excused_until(request, now);
            let record = self.record_mut(*request, now);
            let period = RequestPeriod::from_report(*period, now, own);
            let mut changed = record.merge_period(period);
            if changed && own && request.is_prompt_part() {
                // This process has just started.
                record.probe_at = Some(now + probes::delay(None) + probe_spread);
            }
            changed |= excused_until.is_some_and(|until| record.excuse_until(until));
            if changed {
                self.changed(request);
            }
        }
        self.keep_quarantined(free, now)
    }

    /// The record of a request, which is created if necessary and marked as updated now.
    fn record_mut(&mut self, request: Fingerprint, now: Moment) -> &mut RequestRecord {
        if !self.records.contains_key(&request) {
            self.evict(now);
        }
        let record = self.records.entry(request).or_default();
        record.updated_at = now;
        record
    }

    fn is_quarantined(&self, request: &Fingerprint, now: Moment) -> bool {
        self.records
            .get(request)
            .is_some_and(|r| r.is_quarantined(now))
    }

    fn changed(&mut self, request: &Fingerprint) {
        self.version += 1;
        if let Some(record) = self.records.get_mut(request) {
            record.changed = self.version;
            let had_terminations = record.has_stored_terminations;
            record.has_stored_terminations = !record.terminations.is_empty();
            self.suspects_revision.0 +=
                u64::from(had_terminations || record.has_stored_terminations);
        }
    }

    /// Removes requests that have had no update for as long as their last quarantine period, or as the first
    /// period if they had none.
    fn expire(&mut self, now: Moment) {
        let first_duration = self.first_duration;
        self.records.retain(|_, r| {
            let ttl = r.period.map_or(first_duration, |p| {
                p.span.until.saturating_sub(p.span.since)
            });
            r.updated_at.max(r.settled_at().unwrap_or_default()) + ttl > now
        });
    }

    /// Evicts a request if too many are remembered.
    fn evict(&mut self, now: Moment) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let free = self.records.iter().filter(|(_, r)| !r.is_quarantined(now));
        let oldest = free.min_by_key(|(request, r)| (r.updated_at, **request));
        // If all requests are quarantined, the one whose period expires first is evicted.
        let first = || self.records.iter().min_by_key(|(_, r)| r.settled_at());
        let evicted = oldest.or_else(first).map(|(request, _)| *request);
        evicted.map(|request| self.records.remove(&request));
    }
}

fn kind(suspect: &Fingerprint) -> SuspectKind {
    match suspect.is_prompt_part() {
        true => SuspectKind::PromptPart,
        false => SuspectKind::Request,
    }
}

fn moment(now: Duration) -> Moment {
    now + TIME_BEFORE_START
}

fn time_ago(now: Moment, age: Duration) -> Moment {
    now.saturating_sub(age)
}
