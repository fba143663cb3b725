//! What a limiter is told about its host and its terms.

use std::time::Duration;

use dragonflyrill_catalogue::{DataCentre, WorkspaceName, entry::LimitEntry};
use dragonflyrill_protocol::HostRef;

/// The giver waits this part of a term besides the margin.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// How long promises between hosts last.
///
/// Invariant: `loan + margin < session`. The giver of a right waits `margin` and a hundredth of the
/// term longer than its holder, so two clocks may drift apart by that much.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// How long lent rights last.
    pub loan_term: Duration,
    /// How long a guard's acknowledgement keeps its host from being removed.
    pub session_term: Duration,
    /// What the giver waits beyond a term that the holder keeps.
    pub clock_margin: Duration,
    /// How often a host sends its guard a heartbeat.
    pub beat_interval: Duration,
    /// How long a host may lend the main part of its shards without a write to the table.
    pub main_term: Duration,
    /// How long a host may lend the floor part of its shards without a write to the table.
    pub floor_term: Duration,
    /// The fraction of each shard that is its floor part.
    pub floor_fraction: f64,
    /// How long a lost message or answer is waited for.
    pub retry_interval: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            loan_term: Duration::from_millis(600),
            session_term: Duration::from_millis(1000),
            clock_margin: Duration::from_millis(100),
            beat_interval: Duration::from_millis(200),
            main_term: Duration::from_secs(120),
            floor_term: Duration::from_secs(24 * 3600),
            floor_fraction: 0.75,
            retry_interval: Duration::from_millis(100),
        }
    }
}

impl Terms {
    /// How long the giver waits before rights held for `term` are its own again.
    pub(crate) fn with_clock_margin(&self, term: Duration) -> Duration {
        term + self.clock_margin + term / CLOCK_DRIFT_DIVISOR
    }
}

/// What a limiter is told once.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// This life of this host.
    pub me: HostRef,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Seeds the jitter.
    pub seed: u64,
    /// The terms, the same on every host.
    pub terms: Terms,
    /// The most asks that wait under one key.
    pub max_queued_per_key: usize,
}

/// A host that membership holds to be alive. It may be wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The host.
    pub host: HostRef,
    /// Where it is.
    pub data_centre: DataCentre,
}

/// What the catalogue declares, at one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Declaration<'a> {
    /// The catalogue's revision. A lower one than the last is ignored.
    pub revision: u64,
    /// All data centres that hold a part of the limits.
    pub data_centres: &'a [DataCentre],
    /// All limits.
    pub limits: &'a [LimitEntry],
    /// The owners' weights in the queue for capacity; an owner left out has 1.
    pub weights: &'a [(WorkspaceName, u32)],
}
