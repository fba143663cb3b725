//! What a host knows of one suspect during whose runs endpoints have terminated.

use std::{rc::Rc, time::Duration};

use super::{
    ClockSpan, QuarantinePeriod, Termination,
    explanations::{Explanation, SuspectKind, Weight, weigh},
};

/// Number of incarnations that must terminate during a request before it is first quarantined. Of the streams
/// that run beside such a request and break off with it, one in five breaks off twice in a row and none three
/// times.
pub(super) const MIN_TERMINATIONS: usize = 3;
/// Maximum number of terminations that a record keeps of a period.
const MAX_PERIOD_TERMINATIONS: usize = 16;
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
    /// The terminations that led to the period or happened during it: at most [`MAX_PERIOD_TERMINATIONS`], empty without
    /// a period.
    pub(super) period_terminations: Vec<CountedTermination>,
    /// The time from which this host may send a probe with this part of prompts; `None` if it may not.
    pub(super) probe_at: Option<Moment>,
    /// The number of probes that this host has sent in the period.
    pub(super) probes: u8,
    /// Whether there were terminations when this record last changed, so that they may be stored.
    pub(super) has_stored_terminations: bool,
    /// The version of the quarantine with which this record last changed.
    pub(super) changed: u64,
    /// When this record was last updated.
    pub(super) updated_at: Moment,
}

impl RequestRecord {
    /// The terminations in the form in which they are reported. Those of the period don't count at the host that receives
    /// them, because they are no later than its end.
    pub(super) fn termination_reports(&self, now: Moment) -> Vec<Termination> {
        let all = self.terminations.iter().chain(&self.period_terminations);
        all.map(|t| t.to_report(now)).collect()
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

    /// Adds a termination that does not count because of the period; returns whether it is new and was added.
    pub(super) fn add_period_termination(&mut self, added: CountedTermination) -> bool {
        let in_period = self.period.is_some_and(|p| added.at <= p.span.until);
        let full = self.period_terminations.len() >= MAX_PERIOD_TERMINATIONS;
        if !in_period || full || self.is_before_answer(added.at) {
            return false;
        }
        let mut known = self.period_terminations.iter();
        if known.any(|t| t.endpoint == added.endpoint) {
            return false;
        }
        self.period_terminations.push(added);
        true
    }

    /// The evidence that is needed for the next period.
    fn required_weight(&self) -> Weight {
        match self.period {
            None => Weight::of_unexplained(MIN_TERMINATIONS),
            Some(_) => Weight::of_unexplained(1),
        }
    }

    /// Whether there are enough terminations for a period, if none of them is explained.
    pub(super) fn may_begin_period(&self) -> bool {
        Weight::of_unexplained(self.terminations.len()) >= self.required_weight()
    }

    /// Begins a quarantine period if the evidence suffices beside the explanations of others; returns whether it did.
    pub(super) fn begin_period_if_due(
        &mut self,
        kind: SuspectKind,
        explanations: &[Explanation<'_>],
        first_duration: Duration,
        now: Moment,
    ) -> bool {
        let count = self.period.map_or(0, |p| p.count);
        if weigh(kind, &self.terminations, explanations) < self.required_weight() {
            return false;
        }
        self.begin_period(count + 1, first_duration, now);
        self.period_terminations = std::mem::take(&mut self.terminations);
        self.period_terminations.truncate(MAX_PERIOD_TERMINATIONS);
        true
    }

    /// Begins the next period, as a probe has shown that the suspect is the cause.
    pub(super) fn confirm(&mut self, first_duration: Duration, now: Moment) {
        let count = self.period.map_or(0, |p| p.count);
        self.begin_period(count + 1, first_duration, now);
    }

    fn begin_period(&mut self, count: u32, first_duration: Duration, now: Moment) {
        let doublings = (count - 1).min(MAX_DOUBLINGS);
        self.period = Some(RequestPeriod {
            count,
            span: ClockSpan {
                since: now,
                until: now + first_duration * 2u32.pow(doublings),
            },
            own: true,
        });
        self.forbid_probes();
    }

    fn forbid_probes(&mut self) {
        self.probe_at = None;
        self.probes = 0;
    }

    /// Whether no probe and no later termination has shown yet that the suspect is the cause.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.period.is_some_and(|p| p.count == 1)
    }

    /// Whether a probe may be sent with this part.
    pub(super) fn may_be_probed(&self) -> bool {
        self.is_unconfirmed() && self.probes < super::probes::MAX_PROBES
    }

    /// Whether the terminations that led to the period of a request are explained by parts of prompts, so that it would not
    /// have begun.
    pub(super) fn is_explained(&self, explanations: &[Explanation<'_>]) -> bool {
        let Some(period) = self.period else {
            return false;
        };
        let required = match period.count {
            1 => Weight::of_unexplained(MIN_TERMINATIONS),
            _ => Weight::of_unexplained(1),
        };
        // A stored period has no terminations.
        let known = Weight::of_unexplained(self.period_terminations.len()) >= required;
        let weight = weigh(
            SuspectKind::Request,
            &self.period_terminations,
            explanations,
        );
        known && weight < required
    }

    /// Excuses the suspect from its period, as an answer at the beginning of the period would.
    pub(super) fn end_period(&mut self) {
        if let Some(period) = self.period {
            self.apply_answer(period.span.since);
        }
    }

    /// Excuses the suspect from what happened up to a time; returns whether that changes anything.
    pub(super) fn excuse_until(&mut self, until: Moment) -> bool {
        let terminations = self.terminations.iter().map(|t| t.at);
        let period = self.period.iter().map(|p| p.span.since);
        let latest = terminations.chain(period).filter(|at| *at <= until).max();
        latest.map(|at| self.apply_answer(at)).is_some()
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
        if self.period.is_none() {
            self.period_terminations.clear();
            self.forbid_probes();
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
        let next = self.period.is_some_and(|p| p.count < reported.count);
        self.period = Some(RequestPeriod { own, ..reported });
        if next {
            self.period_terminations.clear();
            self.forbid_probes();
        }
        let until = reported.span.until;
        let counted = std::mem::take(&mut self.terminations);
        let (later, earlier): (Vec<_>, Vec<_>) = counted.into_iter().partition(|t| t.at > until);
        self.terminations = later;
        for termination in earlier {
            self.add_period_termination(termination);
        }
        true
    }

    /// Whether the request is quarantined now.
    pub(super) fn is_quarantined(&self, now: Moment) -> bool {
        self.period.is_some_and(|p| p.span.until > now)
    }
}
