//! What hosts report to each other and store of suspects and quarantines.

use std::{rc::Rc, time::Duration};

use crate::fingerprint::Fingerprint;

/// The termination of an incarnation of an endpoint while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Termination {
    /// The id of the incarnation.
    pub endpoint: Rc<str>,
    /// Time since the termination.
    pub age: Duration,
}

/// A time for which a suspect is, or was, quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinePeriod {
    /// How often the suspect has been quarantined, this time included; at least 1.
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

/// What a host knows of a suspect, as reported to other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectReport {
    /// The request or the part of prompts.
    pub request: Fingerprint,
    /// Terminations that count towards its next quarantine, and those that led to its period or happened during it.
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
    /// The request or the part of prompts.
    pub request: Fingerprint,
    /// Its quarantine period.
    pub period: QuarantinePeriod,
}
