//! What a host knows of one request during which endpoints have terminated.

use std::{rc::Rc, time::Duration};

use super::{ClockSpan, QuarantinePeriod, Termination};

/// Number of incarnations that must terminate during a request before it is first quarantined. Of the streams
/// that run beside such a request and break off with it, one in five breaks off twice in a row and none three
/// times.
const MIN_TERMINATIONS: usize = 3;
/// Maximum number of times that the quarantine period doubles.
const MAX_DOUBLINGS: u32 = 8;
/// Times of one event that are reported over different paths differ by the time that the reports were in
/// transit from host to host. A report with a later time counts as new only from this difference on, so that
/// hosts don't exchange reports endlessly. Events that begin less than this after an answer count as before
/// it, as hosts would otherwise disagree about their order.
const REPORT_TIME_TOLERANCE: Duration = Duration::from_secs(1);

/// A time, counted from [`TIME_BEFORE_START`](super::TIME_BEFORE_START) before this process started.
pub(super) type Moment = Duration;

/// A termination that counts towards the next quarantine.
#[derive(Debug, Clone)]
pub(super) struct CountedTermination {
    pub(super) endpoint: Rc<str>,
    pub(super) at: Moment,
    /// This host or an earlier process of it proved the termination, and stores it.
    pub(super) own: bool,
}

impl CountedTermination {
    /// Converts a termination that is reported or restored now.
    pub(super) fn from_report(termination: &Termination, now: Moment, own: bool) -> Self {
        Self {
            endpoint: termination.endpoint.clone(),
            at: now.saturating_sub(termination.age),
            own,
        }
    }

    /// Converts the termination to a report for other hosts.
    pub(super) fn to_report(&self, now: Moment) -> Termination {
        Termination {
            endpoint: self.endpoint.clone(),
            age: now.saturating_sub(self.at),
        }
    }
}

/// A quarantine period that is in force or was.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestPeriod {
    pub(super) count: u32,
    /// In [`Moment`]s.
    pub(super) span: ClockSpan,
    /// This host or an earlier process of it determined the period, and stores it.
    pub(super) own: bool,
}

impl RequestPeriod {
    /// Converts a period that is reported or restored now.
    pub(super) fn from_report(period: QuarantinePeriod, now: Moment, own: bool) -> Self {
        Self {
            count: period.count,
            span: period.span(now),
            own,
        }
    }

    /// Converts the period to a report for other hosts.
    pub(super) fn to_report(self, now: Moment) -> QuarantinePeriod {
        QuarantinePeriod::from_span(self.count, self.span, now)
    }
}

/// What is known of one request.
///
/// Invariants: all terminations are later than the end of the period; they and the beginning of the period are
/// later than `answered_at` by more than [`REPORT_TIME_TOLERANCE`].
#[derive(Debug, Default)]
pub(super) struct RequestRecord {
    pub(super) terminations: Vec<CountedTermination>,
    /// The last answer, or the last event that counts as before it.
    pub(super) answered_at: Option<Moment>,
    pub(super) period: Option<RequestPeriod>,
    /// Whether there were terminations when this record last changed, so that they may be stored.
    pub(super) has_stored_terminations: bool,
    /// The version of the quarantine with which this record last changed.
    pub(super) changed: u64,
    /// When this record was last updated.
    pub(super) updated_at: Moment,
}

impl RequestRecord {
    /// The terminations in the form in which they are reported.
    pub(super) fn termination_reports(&self, now: Moment) -> Vec<Termination> {
        self.terminations.iter().map(|t| t.to_report(now)).collect()
    }

    /// The time up to which terminations no longer count.
    pub(super) fn settled_at(&self) -> Option<Moment> {
        self.answered_at.max(self.period.map(|p| p.span.until))
    }

    /// Adds a termination if it is new and counts; returns whether it did. A known termination becomes this host's
    /// own if this host has proved it as well.
    pub(super) fn add_termination(&mut self, added: CountedTermination) -> bool {
        let expired = self.period.is_none_or(|p| p.span.until < added.at);
        let counts = expired && !self.is_before_answer(added.at);
        let mut counted = self.terminations.iter_mut();
        if let Some(known) = counted.find(|t| t.endpoint == added.endpoint) {
            known.own |= added.own;
            return false;
        }
        if counts {
            self.terminations.push(added);
        }
        counts
    }

    /// Begins a quarantine period if enough incarnations have terminated; returns whether it did.
    pub(super) fn begin_period_if_due(&mut self, first_duration: Duration, now: Moment) -> bool {
        let count = self.period.map_or(0, |p| p.count);
        let enough = if count == 0 { MIN_TERMINATIONS } else { 1 };
        if self.terminations.len() < enough {
            return false;
        }
        self.period = Some(RequestPeriod {
            count: count + 1,
            span: ClockSpan {
                since: now,
                until: now + first_duration * 2u32.pow(count.min(MAX_DOUBLINGS)),
            },
            own: true,
        });
        self.terminations.clear();
        true
    }

    /// Whether an event counts as before the last answer.
    fn is_before_answer(&self, at: Moment) -> bool {
        self.answered_at
            .is_some_and(|answered_at| at <= answered_at + REPORT_TIME_TOLERANCE)
    }

    /// Applies an answer of an endpoint: terminations and periods before it no longer count.
    ///
    /// The answer is recorded as no earlier than what it ends, so that each host to which it is reported ends
    /// that as well.
    pub(super) fn apply_answer(&mut self, at: Moment) {
        self.answered_at = self.answered_at.max(Some(at));
        while let Some(ended) = self.latest_before_answer() {
            self.answered_at = self.answered_at.max(Some(ended));
            let answered_at = self.answered_at;
            self.terminations.retain(|t| Some(t.at) > answered_at);
            self.period = self.period.filter(|p| Some(p.span.since) > answered_at);
        }
    }

    /// The time of the latest termination or beginning of a period that counts as before the last answer.
    fn latest_before_answer(&self) -> Option<Moment> {
        let terminations = self.terminations.iter().map(|t| t.at);
        let period = self.period.iter().map(|p| p.span.since);
        terminations
            .chain(period)
            .filter(|at| self.is_before_answer(*at))
            .max()
    }

    /// Applies a reported answer if it is later than the known one, or if a period or terminations count as
    /// before it; returns whether it does.
    pub(super) fn merge_answer(&mut self, at: Moment) -> bool {
        let later = self
            .answered_at
            .is_none_or(|own| own + REPORT_TIME_TOLERANCE < at);
        let ends = |event: Moment| event <= at + REPORT_TIME_TOLERANCE;
        let applies = later
            || self.period.is_some_and(|p| ends(p.span.since))
            || self.terminations.iter().any(|t| ends(t.at));
        if applies {
            self.apply_answer(at);
        }
        applies
    }

    /// Adopts a reported period if it is newer than the known one: a higher count, or the same count and a
    /// later end. Returns whether this record has changed: the answer that has ended a reported period is
    /// recorded as no earlier than that period, so that the reporting host ends it as well.
    pub(super) fn merge_period(&mut self, reported: RequestPeriod) -> bool {
        let since = reported.span.since;
        if self.is_before_answer(since) {
            let later = self.answered_at < Some(since);
            self.answered_at = self.answered_at.max(Some(since));
            return later;
        }
        let newer = self.period.is_none_or(|own| {
            let longer = reported.span.until > own.span.until + REPORT_TIME_TOLERANCE;
            reported.count > own.count || (reported.count == own.count && longer)
        });
        if !newer {
            return false;
        }
        let own = self.period.is_some_and(|p| p.own) || reported.own;
        self.period = Some(RequestPeriod { own, ..reported });
        self.terminations.retain(|t| t.at > reported.span.until);
        true
    }

    /// Whether the request is quarantined now.
    pub(super) fn is_quarantined(&self, now: Moment) -> bool {
        self.period.is_some_and(|p| p.span.until > now)
    }
}
