//! Measures how the demand for a service is distributed over ranks.
//!
//! A host measures its own requests only: callers reach hosts by chance, so that all hosts receive about the same mix.

use std::time::Duration;

use crate::admission::{Rank, RankPosition};

/// Time after which a request counts half: a surge of one kind of request lasts for seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Requests that each rank is assumed to have beside those that were measured, so that a host that
/// has just started gives equal ranges to all ranks.
const ASSUMED_REQUESTS: f64 = 1.0;

/// Recent requests for a service at one host, by rank.
#[derive(Debug, Default)]
pub struct RankDemand {
    /// Ranks with their decayed numbers of requests as of `updated_at`. There are at most 100 ranks, as
    /// priorities are from 0 to 9.
    requests: Vec<(Rank, f64)>,
    updated_at: Duration,
}

impl RankDemand {
    /// Counts a request.
    pub fn record(&mut self, rank: Rank, now: Duration) {
        let half_lives =
            now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(half_lives);
        self.requests.iter_mut().for_each(|(_, n)| *n *= factor);
        self.updated_at = now;
        match self.requests.iter_mut().find(|(r, _)| *r == rank) {
            Some((_, n)) => *n += 1.0,
            None => self.requests.push((rank, 1.0)),
        }
    }

    /// The position of a rank in the demand of `ranks`, those that requests may have. A rank that is not
    /// among them takes the position of the next less urgent one, or of the last.
    pub fn position(&self, rank: Rank, ranks: &[Rank]) -> RankPosition {
        let Some(last) = ranks.last() else {
            return RankPosition::ONLY;
        };
        let rank = *ranks.iter().find(|r| **r >= rank).unwrap_or(last);
        let demand = |r: &Rank| {
            let measured = self.requests.iter().find(|(measured, _)| measured == r);
            ASSUMED_REQUESTS + measured.map_or(0.0, |(_, n)| *n)
        };
        let all: f64 = ranks.iter().map(demand).sum();
        let more_urgent: f64 = ranks.iter().filter(|r| **r < rank).map(demand).sum();
        RankPosition {
            more_urgent: more_urgent / all,
            share: demand(&rank) / all,
        }
    }
}
