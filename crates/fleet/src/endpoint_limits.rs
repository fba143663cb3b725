//! How many requests a second endpoints take from all hosts together, where they say so.
//!
//! An endpoint in need names its limit in its answers, for as long as the limit stands. What a host knows of it is
//! from its own answers.

use std::rc::Rc;

use rustc_hash::FxHashMap;

/// Requests a second. Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// A number that is no rate.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} is no rate of requests")]
pub struct NoRate(f64);

impl TryFrom<f64> for RequestRate {
    type Error = NoRate;

    fn try_from(per_s: f64) -> Result<Self, NoRate> {
        match per_s.is_finite() && per_s >= 0.0 {
            true => Ok(Self(per_s)),
            false => Err(NoRate(per_s)),
        }
    }
}

impl RequestRate {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

/// What an answer has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The endpoint names this limit, and named another one or none before.
    Named(RequestRate),
    /// It names none any more.
    Lifted,
}

/// The limits that endpoints name, by the endpoint's id.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    known: FxHashMap<Rc<str>, RequestRate>,
}

impl EndpointLimits {
    /// An endpoint has named this limit, or none.
    pub fn named(&mut self, id: &Rc<str>, rate: Option<RequestRate>) -> Option<Change> {
        let before = match rate {
            Some(rate) => self.known.insert(id.clone(), rate),
            None => self.known.remove(id),
        };
        match (before, rate) {
            (None, None) => None,
            (_, None) => Some(Change::Lifted),
            (before, Some(rate)) => (before != Some(rate)).then_some(Change::Named(rate)),
        }
    }

    /// The limit that an endpoint names.
    pub fn rate(&self, id: &str) -> Option<RequestRate> {
        self.known.get(id).copied()
    }

    /// How many endpoints name a limit.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, id: &str) {
        self.known.remove(id);
    }
}
