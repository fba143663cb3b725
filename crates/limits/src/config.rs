//! The configuration of a limiter and the declarations that it applies.

use std::time::Duration;

use dragonflyrill_catalogue::{DataCentre, WorkspaceName, entry::LimitEntry};
use dragonflyrill_protocol::HostRef;

/// A lender or guard waits a term divided by this longer than the holder, besides the margin.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// The durations of loans, promises and retries, the same on every host.
///
/// Invariant: `loan_term + clock_margin < session_term`. The host that grants a right waits
/// `clock_margin` and a hundredth of the term longer than its holder, so two clocks may drift
/// apart by that much.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// How long a loan of rights lasts.
    pub loan_term: Duration,
    /// How long a host may not be removed after it sent a heartbeat that its guard acknowledged.
    pub session_term: Duration,
    /// How much longer than the holder the granting host waits for a term to end.
    pub clock_margin: Duration,
    /// How often a host sends its guard a heartbeat.
    pub beat_interval: Duration,
    /// How long a host may lend the main part of its shards without writing to the table.
    pub main_term: Duration,
    /// How long a host may lend the floor part of its shards without writing to the table.
    pub floor_term: Duration,
    /// The fraction of each shard's rights that is its floor part, from 0 to 1.
    pub floor_fraction: f64,
    /// How long to wait for an answer before a retry.
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
    /// How long the granting host waits before it reuses a right that it granted for `term`.
    pub(crate) fn with_clock_margin(&self, term: Duration) -> Duration {
        term + self.clock_margin + term / CLOCK_DRIFT_DIVISOR
    }
}

/// The fixed configuration of a limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// This host, with its incarnation.
    pub me: HostRef,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The seed of the jitter.
    pub seed: u64,
    /// The terms, the same on every host.
    pub terms: Terms,
    /// The most admission requests that wait under one key.
    pub max_queued_per_key: usize,
}

/// A host that membership reports as alive. The report may be wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The host.
    pub host: HostRef,
    /// The data centre of the host.
    pub data_centre: DataCentre,
}

/// The limits that one revision of the catalogue declares.
#[derive(Debug, Clone, PartialEq)]
pub struct Declaration<'a> {
    /// The catalogue's revision. A declaration with a lower revision than the last is ignored.
    pub revision: u64,
    /// All data centres over which the limits are split.
    pub data_centres: &'a [DataCentre],
    /// All limits.
    pub limits: &'a [LimitEntry],
    /// The owners' weights in the queue for capacity; an owner that is not listed has weight 1.
    pub weights: &'a [(WorkspaceName, u32)],
}
