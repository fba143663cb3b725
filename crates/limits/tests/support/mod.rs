//! Simulates a fleet of real limiters in one thread, with clocks, a network and a table that fail.
#![allow(dead_code, unreachable_pub)]

pub mod fleet;
pub mod ledger;

use dragonflyrill_catalogue::{
    DataCentre, Name, WorkspaceName,
    entry::{LimitEntry, LimitKey},
    name::{ClassName, TargetName},
};
use dragonflyrill_protocol::{HostId, HostRef};

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).unwrap()
}

pub fn data_centre(i: usize) -> DataCentre {
    DataCentre(name(&format!("dc{i}")))
}

pub fn host(i: usize, incarnation: u64) -> HostRef {
    HostRef {
        id: HostId(name(&format!("host{i}"))),
        incarnation,
    }
}

pub fn key(workspace: usize, target: usize) -> LimitKey {
    LimitKey {
        workspace: WorkspaceName(name(&format!("w{workspace}"))),
        target: TargetName(name(&format!("m{target}"))),
        class: ClassName(name("work")),
    }
}

pub fn limit(key: LimitKey, requests: f64, tokens: f64, in_flight: u32) -> LimitEntry {
    LimitEntry {
        key,
        requests_per_second: requests,
        tokens_per_second: tokens,
        in_flight,
        burst_seconds: 1.0,
        priority: 0,
        deadline_ms: 5_000,
        repeatable: true,
        shares: Default::default(),
    }
}
