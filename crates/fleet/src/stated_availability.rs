//! What endpoints state in their answers about new work: that they are draining, or that they accept none
//! for a while.
//!
//! A statement holds for the incarnation that made it, whether or not it stays listed, and nothing but the
//! end of a backoff takes it back: an answer to an earlier request may arrive after it.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

/// How long the statement of a draining endpoint is kept while the endpoint is not listed. A delayed entry may list it
/// again; a draining endpoint terminates within seconds.
const UNLISTED_DRAINING_TTL: Duration = Duration::from_secs(600);

/// The time for which an endpoint accepts no new work. Invariant: representable as a [`Duration`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestedBackoff(Duration);

/// The number is not a valid backoff: it is not finite, negative, or too large.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} s is not a valid backoff")]
pub struct InvalidBackoff(f64);

impl TryFrom<f64> for RequestedBackoff {
    type Error = InvalidBackoff;

    fn try_from(seconds: f64) -> Result<Self, InvalidBackoff> {
        Duration::try_from_secs_f64(seconds)
            .map(Self)
            .map_err(|_| InvalidBackoff(seconds))
    }
}

impl RequestedBackoff {
    /// Its length.
    pub fn duration(self) -> Duration {
        self.0
    }
}

/// The statements of endpoints, by the id of the incarnation.
#[derive(Debug, Default)]
pub struct StatedAvailability {
    /// When each draining endpoint last stated that it is draining, or was last listed.
    draining: FxHashMap<Rc<str>, Duration>,
    /// When the backoffs of endpoints end.
    backoffs: FxHashMap<Rc<str>, Duration>,
}

impl StatedAvailability {
    /// Records that an endpoint is draining; returns whether that is new.
    pub fn record_draining(&mut self, id: &str, now: Duration) -> bool {
        self.draining.insert(Rc::from(id), now).is_none()
    }

    /// Records that an endpoint accepts no new work for a while; returns whether it accepted work before. Of
    /// several backoffs the one that ends last applies.
    pub fn record_backoff(&mut self, id: &str, backoff: RequestedBackoff, now: Duration) -> bool {
        let until = now.saturating_add(backoff.0);
        let known = self.backoffs.entry(Rc::from(id)).or_default();
        let began = *known <= now && until > now;
        *known = until.max(*known);
        began
    }

    /// Whether an endpoint has stated that it is draining.
    pub fn is_draining(&self, id: &str) -> bool {
        self.draining.contains_key(id)
    }

    /// The rest of an endpoint's backoff; zero if it has none.
    pub fn remaining_backoff(&self, id: &str, now: Duration) -> Duration {
        let until = self.backoffs.get(id).copied().unwrap_or_default();
        until.saturating_sub(now)
    }

    /// The times at which backoffs end, or have ended.
    pub fn backoff_ends(&self) -> impl Iterator<Item = Duration> {
        self.backoffs.values().copied()
    }

    /// Removes backoffs that have ended, and old statements of endpoints that are not listed.
    pub fn expire(&mut self, listed: impl Fn(&str) -> bool, now: Duration) {
        self.backoffs.retain(|_, until| *until > now);
        self.draining.retain(|id, seen_at| {
            if listed(id) {
                *seen_at = now;
            }
            *seen_at + UNLISTED_DRAINING_TTL > now
        });
    }
}
