//! Helpers shared by the tests and the benchmark: an exhaustive search, simulated engines and
//! groups.

#![allow(dead_code)]

pub(crate) mod engine;
pub(crate) mod group;
pub(crate) mod search;

use std::time::Duration;

use dragonflyrill_catalogue::Name;
use dragonflyrill_protocol::{HostId, HostRef};

/// Returns a duration of `n` milliseconds.
pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a host in its first incarnation.
pub(crate) fn host(name: &str) -> HostRef {
    HostRef {
        id: HostId(Name::try_from(name).unwrap()),
        incarnation: 1,
    }
}
