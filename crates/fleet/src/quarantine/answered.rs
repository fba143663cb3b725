//! The requests that were answered lately.

use std::time::Duration;

use rustc_hash::FxHashSet;

use super::record::Moment;
use crate::fingerprint::Fingerprint;

/// For how long, at least, an answer to a request speaks for it, as long as there is room to remember it.
const SPEAKS_FOR: Duration = Duration::from_secs(60);
/// Requests that were answered which are remembered at once, twice: some 300 KB.
const MOST_ANSWERED: usize = 4096;

/// The requests that were answered lately, in two generations: the older one is forgotten whole.
#[derive(Debug, Default)]
pub(super) struct Answered {
    newer: FxHashSet<Fingerprint>,
    older: FxHashSet<Fingerprint>,
    /// When the newer one began.
    since: Moment,
}

impl Answered {
    /// A request was answered.
    pub(super) fn note(&mut self, request: Fingerprint, now: Moment) {
        self.turn(now);
        self.newer.insert(request);
    }

    /// Whether a request was answered lately.
    pub(super) fn contains(&mut self, request: &Fingerprint, now: Moment) -> bool {
        self.turn(now);
        self.newer.contains(request) || self.older.contains(request)
    }

    fn turn(&mut self, now: Moment) {
        let age = now.saturating_sub(self.since);
        if age < SPEAKS_FOR && self.newer.len() < MOST_ANSWERED {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= 2 * SPEAKS_FOR {
            self.older.clear();
        }
        self.since = now;
    }
}
