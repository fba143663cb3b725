//! Limits how long a catalogue may be used without a freshness proof from the store.
//!
//! A revoked key must not be accepted after a configured time. While the store is unreachable, a
//! host cannot learn of a revocation, so it stops by itself: a catalogue is fresh for that time,
//! less a margin, counted from the moment at which the latest read that found nothing newer was
//! *sent*. All times are those of a monotonic clock that counts the time for which the machine was
//! suspended: a host that wakes has not heard of what was revoked meanwhile.

use std::time::Duration;

/// Margin for the time between the check and the arrival of the request at the endpoint, and for
/// clock drift.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// The latest freshness proof: evidence that the known catalogue is the newest.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// Time after a change for which the previous version may still be used.
    bound: Duration,
    /// Time at which the latest read that found nothing newer was sent.
    proven_at: Option<Duration>,
}

impl Freshness {
    /// Creates a state without a proof.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            proven_at: None,
        }
    }

    /// Records that a read sent at `sent_at` has shown that the known version is the newest.
    pub fn record_proof(&mut self, sent_at: Duration) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Returns the time since the latest read that found nothing newer was sent; `None` without a
    /// proof.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.proven_at?))
    }

    /// Whether the catalogue may be used.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.remaining(now) > Duration::ZERO
    }

    /// Remaining time for which the catalogue may be used.
    pub fn remaining(&self, now: Duration) -> Duration {
        let Some(at) = self.proven_at else {
            return Duration::ZERO;
        };
        (at + self.bound.saturating_sub(SAFETY_MARGIN)).saturating_sub(now)
    }
}
