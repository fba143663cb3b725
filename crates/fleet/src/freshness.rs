//! For how long a catalogue may be acted on without news from the store.
//!
//! A key that was taken away must not be honoured any more after a set time. A host can't be told
//! of that while the store is out of its reach, so it stops by itself: a catalogue is fresh for
//! that time, less a margin, from the moment at which the newest read was *sent* that found nothing
//! newer. The clock is the monotonic one.

use std::time::Duration;

/// What is kept back for the way from the check to the endpoint and for the clock's rate.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// The newest proof that the catalogue is the newest.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// How long after a change the old version may still be used.
    bound: Duration,
    /// When the newest read that found nothing newer was sent.
    proven_at: Option<Duration>,
}

impl Freshness {
    /// Nothing is proven yet.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            proven_at: None,
        }
    }

    /// A read sent at `sent_at` has shown the version that is now known to be the newest.
    pub fn record_proof(&mut self, sent_at: Duration) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// How long ago the newest read was sent that found nothing newer.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.proven_at?))
    }

    /// Whether the catalogue may be acted on.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.remaining(now) > Duration::ZERO
    }

    /// For how long the catalogue may still be acted on.
    pub fn remaining(&self, now: Duration) -> Duration {
        let Some(at) = self.proven_at else {
            return Duration::ZERO;
        };
        (at + self.bound.saturating_sub(SAFETY_MARGIN)).saturating_sub(now)
    }
}
