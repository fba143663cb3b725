//! Leases in the platform's table: at most one holder at any instant, the next with a higher fence.
//!
//! A lease is one row. Its holder renews it by compare-and-set and may act for `term` from the
//! moment *before* the write was sent. Another host takes over by compare-and-set once it has
//! itself seen the same row unchanged for `term + margin`, counted from the moment the answer with
//! that row arrived. No two hosts' clocks are compared; the margin pays for clocks that run at
//! different rates.
//!
//! Answers may be lost: each write carries its own id, and a row that shows the id of a write in
//! doubt settles it. Rows are never deleted, since the fence must not start over.
//!
//! Entry point: [`Leases`].

mod batch;
mod leases;
mod name;
mod rendezvous;
mod row;
mod slot;

pub use leases::{Action, Leases, TxnId};
pub use name::{Fence, LeaseName, LeaseNameError};
pub use rendezvous::{prefers, rank};
pub use row::LeaseRow;

use std::time::Duration;

use dragonflyrill_protocol::HostRef;

/// The settings of one host's [`Leases`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// This life of this host.
    pub me: HostRef,
    /// How long a write lets its holder act. Whole milliseconds.
    pub term: Duration,
    /// What other hosts wait beyond the term. At least the term times the largest difference
    /// between the rates of two hosts' clocks.
    pub margin: Duration,
    /// The mean time between two renewals. At most a third of the term, so that two may fail.
    pub renew_every: Duration,
    /// The mean time between two reads of a row held by another host.
    pub poll_every: Duration,
    /// The most leases in one transaction.
    pub batch: usize,
    /// The mean wait after the first failed call; it doubles with each further one.
    pub retry_first: Duration,
    /// The longest mean wait between failed calls.
    pub retry_max: Duration,
    /// After how long a call without an answer counts as [`PlatformError::Unknown`].
    ///
    /// [`PlatformError::Unknown`]: dragonflyrill_store::error::PlatformError::Unknown
    pub answer_limit: Duration,
    /// How much waits vary, in percent; 0 to 100.
    pub jitter_percent: u32,
    /// The seed of that variation; different on each host.
    pub seed: u64,
}

impl LeaseConfig {
    /// The usual settings for a term and a margin.
    pub fn new(me: HostRef, term: Duration, margin: Duration, seed: u64) -> Self {
        Self {
            me,
            term,
            margin,
            renew_every: term / 3,
            poll_every: term / 3,
            batch: 64,
            retry_first: term / 50,
            retry_max: term / 5,
            answer_limit: term / 2,
            jitter_percent: 20,
            seed,
        }
    }
}
