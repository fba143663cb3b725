//! What operators see of a host's limits.

use std::time::Duration;

use dragonflyrill_catalogue::entry::LimitKey;
use dragonflyrill_protocol::rights::Rights;

use crate::key::KeyState;

/// A host's limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The catalogue's revision of the limits this host applies.
    pub revision: u64,
    /// The table's revision of the shard map this host knows; 0 before it knows one.
    pub map_revision: u64,
    /// Whether this host may lend.
    pub may_lend: bool,
    /// The limits, in the order of their keys.
    pub keys: Vec<KeyStatus>,
}

/// One limit on one host.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyStatus {
    /// The limit.
    pub key: LimitKey,
    /// Unexpired rights this host holds for its own requests.
    pub held: Rights,
    /// Requests in flight.
    pub in_use: u32,
    /// Requests whose right lapsed and that wait for another.
    pub suspended: u32,
    /// Asks that wait.
    pub waiting: u32,
    /// In flight that this host may lend; 0 when it does not hold the key's shard.
    pub lendable_in_flight: u32,
    /// In flight that it has lent, to itself too.
    pub lent_in_flight: u32,
    /// Whether what it has lent is within what it may lend. A lowered limit is in force everywhere
    /// once this is so at its revision on every host that a shard map names.
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
