//! Messages that lend the rights of limits between hosts, and the row that names the lenders.
//!
//! A limit is split evenly over data centres, and within a data centre into [`SHARDS`] shards by
//! the hash of its key. The holder of a shard, which the data centre's [`ShardMap`] in the table
//! names, lends the rights of the keys in the shard: a host sends a [`Demand`], and the holder
//! answers with a [`Grant`].

use serde::{Deserialize, Serialize};

use crate::host::HostRef;

/// Number of shards into which the keys of a data centre are divided.
pub const SHARDS: usize = 32;

/// A hash of a limit's key. It is the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId(pub u64);

impl KeyId {
    /// Returns the index of the key's shard, from 0 to [`SHARDS`] - 1.
    pub fn shard(self) -> usize {
        (self.0 % SHARDS as u64) as usize
    }
}

/// A host that takes part in the limits of its data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: HostRef,
    /// The host that may remove this one once this one no longer acknowledges its heartbeats.
    ///
    /// Only the member itself changes its guard.
    pub guard: Option<HostRef>,
    /// Increases with each write by the member itself.
    pub beat: u64,
}

/// Assigns the shards of a data centre to the hosts that lend their rights.
///
/// Both parts of a shard have the same holder, unless one part was taken over because its holder
/// showed no sign of life.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardMap {
    /// The hosts that take part.
    pub members: Vec<Member>,
    /// For each shard, the holder of the main part, which lapses when the table has been
    /// unreachable for the long term.
    pub main: Vec<Option<HostRef>>,
    /// For each shard, the holder of the floor part, which remains valid through a long outage of
    /// the table.
    pub floor: Vec<Option<HostRef>>,
}

/// Rights under one key that a host holds from one lender, or requests from it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rights {
    /// Number of requests that may be admitted.
    pub requests: u32,
    /// Number of tokens that may be admitted.
    pub tokens: u32,
    /// Number of requests that may be in flight at the same time.
    pub in_flight: u32,
}

/// The state of a host's rights from a lender, and the rights that the host requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The limit.
    pub key: KeyId,
    /// Increases with each demand of this host to this lender for this key. A grant is valid only
    /// if it answers the newest demand, so that `held` is all that the sender holds from the
    /// lender.
    pub seq: u32,
    /// Unexpired rights that the sender holds from the lender.
    pub held: Rights,
    /// Number of in-flight rights from the lender that the sender needs for its running requests
    /// and for those that it may admit with the rights that it holds.
    pub busy: u32,
    /// Number of requests admitted so far under the lender's grants.
    pub used_requests: u64,
    /// Number of tokens used so far under the lender's grants, less those returned on settlement.
    pub used_tokens: i64,
    /// Requested rights: requests and tokens in addition to `held`; in flight in total.
    pub want: Rights,
    /// Number of tokens of the first waiting request. A smaller grant is of no use to the sender.
    pub head: u32,
}

/// A lender's answer to a [`Demand`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The limit.
    pub key: KeyId,
    /// The `seq` of the demand that this grant answers.
    pub seq: u32,
    /// Time after which the rights lapse, in milliseconds from the sending of the demand.
    pub term_ms: u32,
    /// Granted rights: requests and tokens in addition to those held; in flight in total.
    pub rights: Rights,
    /// Time after which the lender expects to have served the hosts that wait for it, in
    /// milliseconds.
    pub wait_ms: u32,
    /// Whether the demand is settled; otherwise another grant follows when rights become available.
    pub last: bool,
}

/// A message about rights.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat to the sender's guard.
    Beat {
        /// Increases with each heartbeat.
        seq: u32,
        /// Revision of the sender's shard map.
        revision: u64,
    },
    /// Acknowledges a heartbeat: the sender won't remove the receiver for the session's term,
    /// counted from the sending of the heartbeat.
    BeatAck {
        /// The `seq` of the acknowledged heartbeat.
        seq: u32,
        /// Revision of the sender's shard map.
        revision: u64,
    },
    /// The shard map of the sender's data centre.
    Map {
        /// Revision of the map's row in the table.
        revision: u64,
        /// The shard map.
        map: ShardMap,
    },
    /// Demands to a lender.
    Demand(Vec<Demand>),
    /// Grants of a lender.
    Grant(Vec<Grant>),
}
