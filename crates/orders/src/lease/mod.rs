//! Leases in the platform's table: at most one holder at any instant, and a higher fence for each
//! new holder.
//!
//! A lease is one row. Its holder renews it by compare-and-set and may act for `term` from a time
//! read *before* the write was sent. Another host takes the lease over by compare-and-set once it
//! has seen the same row unchanged for `term + margin`, counted from the arrival of the answer with
//! that row. The clocks of two hosts are never compared; the margin covers clocks that run at
//! different rates.
//!
//! The answer to a write may be lost. Each write carries a unique id, so a row that shows the id of
//! an unconfirmed write confirms it. Rows are never deleted, because the fence must not restart.
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
pub use rendezvous::{is_candidate, rank};
pub use row::LeaseRow;

use std::time::Duration;

use dragonflyrill_protocol::HostRef;

/// The settings of the [`Leases`] of one host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// This host and its incarnation.
    pub me: HostRef,
    /// How long the holder may act after a write. Whole milliseconds.
    pub term: Duration,
    /// How long other hosts wait after the term before a takeover. At least the term times the
    /// largest difference between the rates of two hosts' clocks.
    pub margin: Duration,
    /// The mean time between two renewals. At most a third of the term, so that two renewals in a
    /// row may fail.
    pub renew_interval: Duration,
    /// The mean time between two reads of a row held by another host.
    pub poll_interval: Duration,
    /// The largest number of leases in one transaction.
    pub max_batch: usize,
    /// The mean delay after the first failed call; it doubles with each further failed call.
    pub initial_retry_delay: Duration,
    /// The largest mean delay between failed calls.
    pub max_retry_delay: Duration,
    /// The time after which a call without an answer counts as [`PlatformError::Unknown`].
    ///
    /// [`PlatformError::Unknown`]: dragonflyrill_store::error::PlatformError::Unknown
    pub answer_timeout: Duration,
    /// The largest random change of intervals and delays, in percent; 0 to 100.
    pub jitter_percent: u32,
    /// The seed of the jitter; different on each host.
    pub seed: u64,
}

impl LeaseConfig {
    /// The default settings for a term and a margin.
    pub fn new(me: HostRef, term: Duration, margin: Duration, seed: u64) -> Self {
        Self {
            me,
            term,
            margin,
            renew_interval: term / 3,
            poll_interval: term / 3,
            max_batch: 64,
            initial_retry_delay: term / 50,
            max_retry_delay: term / 5,
            answer_timeout: term / 2,
            jitter_percent: 20,
            seed,
        }
    }
}
