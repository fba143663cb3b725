//! The requests that were answered recently.

use std::time::Duration;

use rustc_hash::FxHashSet;

use super::record::Moment;
use crate::fingerprint::Fingerprint;

/// Minimum time for which an answer to a request counts in its favour, unless more than
/// [`MAX_PER_GENERATION`] requests are answered in it.
const MIN_ANSWER_TTL: Duration = Duration::from_secs(60);
/// Maximum number of answered requests in each of the two generations: some 300 KB in all.
const MAX_PER_GENERATION: usize = 4096;

/// The requests that were answered recently, in two generations; the older one is dropped as a whole.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    newer: FxHashSet<Fingerprint>,
    older: FxHashSet<Fingerprint>,
    /// When the newer generation began.
    since: Moment,
}

impl RecentAnswers {
    /// Adds a request that was answered.
    pub(super) fn insert(&mut self, request: Fingerprint, now: Moment) {
        self.rotate(now);
        self.newer.insert(request);
    }

    /// Whether a request was answered recently.
    pub(super) fn contains(&mut self, request: &Fingerprint, now: Moment) -> bool {
        self.rotate(now);
        self.newer.contains(request) || self.older.contains(request)
    }

    fn rotate(&mut self, now: Moment) {
        let age = now.saturating_sub(self.since);
        if age < MIN_ANSWER_TTL && self.newer.len() < MAX_PER_GENERATION {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= 2 * MIN_ANSWER_TTL {
            self.older.clear();
        }
        self.since = now;
    }
}
