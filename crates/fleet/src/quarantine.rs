//! Requests that are quarantined because endpoints terminate while they run them.
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
//! A request is retried as attempts with their own ids, at any host. So what one host has observed is
//! reported to all hosts ([`Quarantine::changes_since`], [`Quarantine::merge_reports`]), and quarantine
//! periods are stored where they outlive the process ([`Quarantine::to_persist`], [`Quarantine::restore`]).
//! Hosts come to quarantine the same requests, in whatever order and however often they exchange reports.
//!
//! A quarantine period expires, because a request that isn't sent can't be shown to be harmless. After that a
//! single termination is enough for the next period, which is twice as long: a request that keeps crashing
//! endpoints must wait twice as long for each further crash.

mod recent_answers;
mod record;
mod unconfirmed_runs;

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use self::{
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

/// The termination of an incarnation of an endpoint while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Termination {
    /// The id of the incarnation.
    pub endpoint: Rc<str>,
    /// Time since the termination.
    pub age: Duration,
}

/// A time for which a request is, or was, quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinePeriod {
    /// How often the request has been quarantined, this time included; at least 1.
    pub count: u32,
    /// Time since the beginning of the period.
    pub age: Duration,
    /// Length of the period from its beginning.
    pub duration: Duration,
}

/// The beginning and the end of a period by a clock that outlives processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSpan {
    /// When the period begins.
    pub since: Duration,
    /// When the period expires.
    pub until: Duration,
}

impl QuarantinePeriod {
    /// Converts the period to times of a clock that shows `clock` now.
    pub fn span(&self, clock: Duration) -> ClockSpan {
        let since = clock.saturating_sub(self.age);
        ClockSpan {
            since,
            until: since + self.duration,
        }
    }

    /// Creates the period from times of a clock that shows `clock` now.
    pub fn from_span(count: u32, span: ClockSpan, clock: Duration) -> Self {
        Self {
            count,
            age: clock.saturating_sub(span.since),
            duration: span.until.saturating_sub(span.since),
        }
    }

    /// Time until the period expires; zero once it has.
    pub fn remaining(&self) -> Duration {
        self.duration.saturating_sub(self.age)
    }
}

/// What a host knows of a suspected request, as reported to other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectReport {
    /// The request.
    pub request: Fingerprint,
    /// Terminations that count towards its next quarantine.
    pub terminations: Vec<Termination>,
    /// Time since an endpoint last answered it; `None` if none has since it was first suspected.
    pub answer_age: Option<Duration>,
    /// Its last quarantine period, if it has one.
    pub period: Option<QuarantinePeriod>,
}

/// The hosts whose proofs of terminations are to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Provers {
    /// All hosts, as far as their proofs were reported.
    AllHosts,
    /// This host and its earlier processes.
    ThisHost,
}

/// A quarantine period, as stored for the next process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// The request.
    pub request: Fingerprint,
    /// Its quarantine period.
    pub period: QuarantinePeriod,
}

/// Revision of what is to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct PersistRevision(u64);

/// The requests that a host knows of during which endpoints have terminated.
#[derive(Debug)]
pub struct Quarantine {
    /// Length of the first quarantine period of a request.
    first_duration: Duration,
    records: FxHashMap<Fingerprint, RequestRecord>,
    unconfirmed: UnconfirmedRuns,
    answers: RecentAnswers,
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
            answers: RecentAnswers::default(),
            version: 0,
            persist_revision: PersistRevision::default(),
            persisted_revision: PersistRevision::default(),
            suspects_revision: PersistRevision::default(),
            own_termination_version: 0,
        }
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How much longer a request is quarantined; `None` if it may be sent.
    pub fn quarantined_for(&self, request: &Fingerprint, now: Duration) -> Option<Duration> {
        let now = moment(now);
        let period = self.records.get(request)?.period?;
        Some(period.span.until.saturating_sub(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Number of requests that are quarantined.
    pub fn quarantined_count(&self, now: Duration) -> usize {
        let now = moment(now);
        self.records
            .values()
            .filter(|r| r.is_quarantined(now))
            .count()
    }

    /// Notes that an incarnation of an endpoint has terminated while it ran a request; returns the quarantine
    /// period that begins with it, if one does.
    pub fn note_termination(
        &mut self,
        request: Fingerprint,
        endpoint: &Rc<str>,
        now: Duration,
    ) -> Option<QuarantinePeriod> {
        let now = moment(now);
        self.expire(now);
        if self.answers.contains(&request, now) {
            return None;
        }
        let first_duration = self.first_duration;
        let record = self.record_mut(request, now);
        let proved = CountedTermination {
            endpoint: endpoint.clone(),
            at: now,
            own: true,
        };
        if !record.add_termination(proved) {
            return None;
        }
        let begins = record.begin_period_if_due(first_duration, now);
        let period = record.period.filter(|_| begins);
        self.changed(&request);
        self.own_termination_version = self.version;
        let period = period?;
        self.persist_revision.0 += 1;
        Some(period.to_report(now))
    }

    /// Notes that a run of a request broke off at an incarnation of an endpoint of which it is not known yet
    /// whether it has terminated.
    pub fn note_broken_run(&mut self, request: Fingerprint, endpoint: &Rc<str>, now: Duration) {
        self.unconfirmed.insert(request, endpoint, moment(now));
    }

    /// Notes that an incarnation of an endpoint has terminated; returns the requests whose runs recently
    /// broke off there, so that it terminated while it ran them.
    pub fn confirm_termination(&mut self, endpoint: &str, now: Duration) -> Vec<Fingerprint> {
        self.unconfirmed.confirm(endpoint, moment(now))
    }

    /// Notes that an endpoint has answered a request; returns whether the request was quarantined.
    pub fn note_answer(&mut self, request: &Fingerprint, now: Duration) -> bool {
        let now = moment(now);
        self.answers.insert(*request, now);
        self.unconfirmed.discard(request);
        let Some(record) = self.records.get_mut(request) else {
            return false;
        };
        if record.terminations.is_empty() && record.period.is_none() {
            return false;
        }
        let period = record.period;
        record.apply_answer(now);
        self.changed(request);
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
        let first_duration = self.first_duration;
        let record = self.record_mut(report.request, now);
        let owned = record.period.is_some_and(|p| p.own);
        let answered_at = report.answer_age.map(|age| time_ago(now, age));
        let period = report
            .period
            .map(|period| RequestPeriod::from_report(period, now, false));
        let mut changed = answered_at.is_some_and(|at| record.merge_answer(at));
        changed |= period.is_some_and(|period| record.merge_period(period));
        for termination in &report.terminations {
            changed |=
                record.add_termination(CountedTermination::from_report(termination, now, own));
        }
        let begins = record.begin_period_if_due(first_duration, now);
        let owns = record.period.is_some_and(|p| p.own);
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
        for QuarantineRecord { request, period } in unexpired() {
            let record = self.record_mut(*request, now);
            if record.merge_period(RequestPeriod::from_report(*period, now, own)) {
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

fn moment(now: Duration) -> Moment {
    now + TIME_BEFORE_START
}

fn time_ago(now: Moment, age: Duration) -> Moment {
    now.saturating_sub(age)
}
