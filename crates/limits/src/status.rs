//! The state of a host's limits as shown to operators.

use std::time::Duration;

use dragonflyrill_catalogue::entry::LimitKey;
use dragonflyrill_protocol::rights::Rights;

use crate::key::KeyState;

/// The state of a host's limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The catalogue revision of the limits that this host applies.
    pub revision: u64,
    /// The table's revision of the newest shard map that this host knows; 0 if it knows none.
    pub map_revision: u64,
    /// Whether this host may lend.
    pub may_lend: bool,
    /// The limits, ordered by key.
    pub keys: Vec<KeyStatus>,
}

/// The state of one limit on one host.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyStatus {
    /// The limit.
    pub key: LimitKey,
    /// Unexpired rights that this host holds for its own requests.
    pub held: Rights,
    /// Requests in flight that are not suspended.
    pub in_use: u32,
    /// Requests whose right has expired and that wait for another.
    pub suspended: u32,
    /// Admission requests that wait.
    pub waiting: u32,
    /// Requests in flight that this host may lend; 0 if it does not hold the key's shard.
    pub lendable_in_flight: u32,
    /// Requests in flight that this host has lent, including those lent to itself.
    pub lent_in_flight: u32,
    /// Whether `lent_in_flight` is at most `lendable_in_flight`. A lowered limit is in force
    /// everywhere once this is true, at the revision that lowered it, on every host that a shard
    /// map names.
    pub in_force: bool,
}

impl KeyStatus {
    pub(crate) fn of(now: Duration, name: &LimitKey, key: &KeyState) -> Self {
        let usage = key.holder.usage(now);
        let lendable_in_flight = key.lender.as_ref().map_or(0, |l| l.share().in_flight);
        let lent_in_flight = key.lender.as_ref().map_or(0, |l| l.lent_in_flight());
        Self {
            key: name.clone(),
            held: usage.held,
            in_use: usage.active,
            suspended: usage.suspended,
            waiting: usage.waiting,
            lendable_in_flight,
            lent_in_flight,
            in_force: lent_in_flight <= lendable_in_flight,
        }
    }
}
