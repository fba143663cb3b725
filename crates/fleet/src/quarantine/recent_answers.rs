//! The suspects that were answered recently.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::record::Moment;
use crate::fingerprint::Fingerprint;

/// How long after an answer no termination counts, unless more than [`MAX_PER_GENERATION`] requests are answered in
/// that time.
const ANSWER_TTL: Duration = Duration::from_secs(60);
/// Maximum number of answers in each of the two generations: some 400 KB in all.
const MAX_PER_GENERATION: usize = 4096;

/// The times of the last answers, in two generations; the older one is dropped as a whole.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    newer: FxHashMap<Fingerprint, Moment>,
    older: FxHashMap<Fingerprint, Moment>,
    /// When the newer generation began.
    since: Moment,
}

impl RecentAnswers {
    /// Adds an answer.
    pub(super) fn insert(&mut self, suspect: Fingerprint, now: Moment) {
        self.rotate(now);
        self.newer.insert(suspect, now);
    }

    /// The time up to which no termination counts against a suspect; `None` if it was not answered recently.
    pub(super) fn excused_until(&mut self, suspect: &Fingerprint, now: Moment) -> Option<Moment> {
        self.rotate(now);
        let answered_at = self.newer.get(suspect).or_else(|| self.older.get(suspect));
        answered_at.map(|at| *at + ANSWER_TTL)
    }

    fn rotate(&mut self, now: Moment) {
        let age = now.saturating_sub(self.since);
        if age < ANSWER_TTL && self.newer.len() < MAX_PER_GENERATION {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= 2 * ANSWER_TTL {
            self.older.clear();
        }
        self.since = now;
    }
}
