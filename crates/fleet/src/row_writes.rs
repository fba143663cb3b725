//! When a host writes its row in the store, apart from the regular renewals.
//!
//! The rows of all hosts are in one part of a table, which takes a bounded number of writes a second, one after
//! the other, and refuses the rest. What makes all hosts write at the same moment is therefore spread over a time
//! that grows with the number of hosts:
//!
//! - a host that joins waits until all others have written that they count it ([`JoinWrite`]); hosts that join
//!   together are counted by one write of each other host;
//! - hosts that start together know neither each other nor their number, so that the first write of each may be
//!   refused ([`RefusedWrites`]).

use std::time::Duration;

/// The spread of writes that all hosts owe, per host. A write takes 5 ms, so that all hosts together use at most
/// half of what the part takes.
pub const WRITE_PAUSE_PER_HOST: Duration = Duration::from_millis(10);
/// The time over which the writes for a joining host are spread at least, as a fraction of the heartbeat interval.
const JOIN_SPREAD_FRACTION: f64 = 0.1;
/// The time that passes before the first of those writes, as a fraction of the time over which they are spread.
const MIN_JOIN_PAUSE_FRACTION: f64 = 0.5;
/// The time over which the first retries of refused writes are spread. A part refuses writes once more than a
/// second's worth of them waits, so that several seconds' worth may have been sent.
const REFUSED_SPREAD: Duration = Duration::from_secs(4);
/// The maximum number of times that this is doubled.
const MAX_SPREAD_DOUBLINGS: u32 = 1;

/// The time over which `hosts` hosts spread the writes that a joining host waits for.
pub fn join_spread(hosts: u32, heartbeat: Duration) -> Duration {
    let by_heartbeat = heartbeat.mul_f64(JOIN_SPREAD_FRACTION);
    by_heartbeat.max(WRITE_PAUSE_PER_HOST * hosts)
}

/// A host that waits to be counted, and this host's position among those that write for it.
#[derive(Debug, Clone, Copy)]
struct AwaitedWrite {
    since: Duration,
    /// Uniform in [`MIN_JOIN_PAUSE_FRACTION`]..1.
    position: f64,
}

/// The write of this host's row for which joining hosts wait.
#[derive(Debug, Default)]
pub struct JoinWrite(Option<AwaitedWrite>);

impl JoinWrite {
    /// Whether the write is due. `awaited` is whether a host waits for it, `spread` the time over which the hosts
    /// known now spread these writes, and `draw` draws a number that is uniform in 0..1.
    ///
    /// While many hosts join, the known ones become more and the write is deferred, so that it counts all of them.
    pub fn is_due(
        &mut self,
        awaited: bool,
        spread: Duration,
        now: Duration,
        draw: impl FnOnce() -> f64,
    ) -> bool {
        if !awaited {
            self.0 = None;
            return false;
        }
        let write = self.0.get_or_insert_with(|| AwaitedWrite {
            since: now,
            position: MIN_JOIN_PAUSE_FRACTION + draw() * (1.0 - MIN_JOIN_PAUSE_FRACTION),
        });
        write.since + spread.mul_f64(write.position) <= now
    }

    /// Records that the row was written.
    pub fn record_write(&mut self) {
        self.0 = None;
    }
}

/// A write that many hosts may owe at the same moment, so that each makes it at a time of its own.
#[derive(Debug, Default)]
pub struct SpreadWrite(Option<Duration>);

impl SpreadWrite {
    /// Whether the write is due. `owed` is whether this host owes it, and `draw` draws the delay from the moment at
    /// which it first does.
    pub fn is_due(&mut self, owed: bool, now: Duration, draw: impl FnOnce() -> Duration) -> bool {
        if !owed {
            self.0 = None;
            return false;
        }
        *self.0.get_or_insert_with(|| now + draw()) <= now
    }

    /// Whether the write is due or its delay is not drawn yet, provided that this host owes it.
    pub fn may_be_due(&self, now: Duration) -> bool {
        self.0.is_none_or(|at| at <= now)
    }

    /// Records that the row was written.
    pub fn record_write(&mut self) {
        self.0 = None;
    }
}

/// How far this host's proofs of terminations are known elsewhere, as versions of its quarantine.
#[derive(Debug, Clone, Copy)]
pub struct ProofVersions {
    /// The version with the last proof.
    pub proved: u64,
    /// The version with the last proof that is not left to another host, nor delayed.
    pub urgent: u64,
    /// The version that this host's row contains.
    pub stored: u64,
    /// The version that was reported to the host that stores the proofs of all, if this host may leave its own to that
    /// host.
    pub reported: Option<u64>,
}

impl ProofVersions {
    /// Whether this host is to write its row without delay.
    pub fn is_urgent(&self) -> bool {
        self.urgent > self.stored
    }

    /// Whether this host owes a write of its row.
    pub fn owed(&self) -> bool {
        let left_to_other = self.reported.is_some_and(|version| version >= self.proved);
        self.is_urgent() || (self.proved > self.stored && !left_to_other)
    }
}

/// Writes that the store refused for their rate.
#[derive(Debug, Default)]
pub struct RefusedWrites {
    refusals: u32,
}

impl RefusedWrites {
    /// Records a refusal; returns the pause before the next write. `draw` is uniform in 0..1.
    pub fn record_refusal(&mut self, draw: f64) -> Duration {
        let doublings = self.refusals.min(MAX_SPREAD_DOUBLINGS);
        self.refusals = self.refusals.saturating_add(1);
        (REFUSED_SPREAD * 2u32.pow(doublings)).mul_f64(draw)
    }

    /// Records that a write was accepted.
    pub fn reset(&mut self) {
        self.refusals = 0;
    }
}
