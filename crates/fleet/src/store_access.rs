//! Decides which hosts of a data centre read the platform's store, and how often they call it while it is
//! unavailable.
//!
//! One host of a data centre reads the store and reports what it read to the others. When that host gets no
//! answer, the store may be unavailable to all hosts or to this one only, and only further calls can show
//! which. If every other host made such calls by itself, the load would grow with the number of hosts just
//! when the store can bear it least: 295 hosts send 1,000 calls a second to a store that refuses them all,
//! against 160 in normal operation. Therefore:
//!
//! - Each host records how its own calls ended ([`StoreAccess`]). While they fail, it makes one kind of call
//!   only, which shows whether the store answers again.
//! - The host that the others poll grants store probe slots ([`ProbeSlots`]): the first few in quick
//!   succession, later ones at a long interval.
//! - A host that receives a report of an unavailable store waits until it is granted a slot ([`role`]).
//!
//! A host that gets an answer becomes a reader and reports to the host that all others poll.

use std::time::Duration;

use rustc_hash::FxHashMap;

/// Consecutive failures after which the store counts as unavailable. Single calls fail on links that lose
/// packets, and each of the three kinds of read fails once when the store becomes unavailable.
const FAILURES_TO_UNAVAILABLE: u32 = 3;

/// Number of slots that are granted at the short interval, before the store is assumed to be unavailable to
/// most hosts. Hosts that are cut off from the store or refused by it are often several of one data centre at
/// a time, and by the time that a silent store is noticed, half of the time within which a change must be in
/// force has passed.
const EARLY_PROBE_SLOTS: u32 = 4;

/// Minimum time between two early slots.
const EARLY_PROBE_SLOT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two later slots. Together with the calls of the host that grants the slots, a data
/// centre makes about five calls a second: five data centres made 215 calls in eight seconds.
const PROBE_SLOT_INTERVAL: Duration = Duration::from_millis(700);

/// Results of this host's own reads of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreAccess {
    /// Failures since the last answer.
    failures: u32,
    /// When the last failure was recorded.
    failed_at: Duration,
    /// This host was granted a probe slot and its probe has not ended.
    probing: bool,
}

impl StoreAccess {
    /// Records an answer to a read that was sent at `sent_at` by this host or by a host that reports to it.
    /// An answer to a read that was sent before the last failure doesn't show that the store is available
    /// again: a long-polling read may be answered long after the store has begun to refuse new ones.
    pub fn answered(&mut self, sent_at: Duration) {
        if sent_at >= self.failed_at {
            *self = Self::default();
        }
    }

    /// Records a failed read.
    pub fn failed(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.failed_at = now;
        self.probing = false;
    }

    /// Records that another host gets no answer: whether the store would answer this host is unknown.
    pub fn suspected(&mut self, now: Duration) {
        self.failures = self.failures.max(FAILURES_TO_UNAVAILABLE);
        self.failed_at = now;
        self.probing = false;
    }

    /// Records that another host gets no answer and has granted this host a probe slot.
    pub fn slot_granted(&mut self, now: Duration) {
        self.suspected(now);
        self.probing = true;
    }

    /// Whether a host that reads the store keeps doing so: the store answers it, or its probe has not ended.
    pub fn keeps_reading(&self) -> bool {
        !self.unavailable() || self.probing
    }

    /// Whether the store counts as unavailable to this host.
    pub fn unavailable(&self) -> bool {
        self.failures >= FAILURES_TO_UNAVAILABLE
    }
}

/// Grants store probe slots to polling hosts while the store doesn't answer the polled host.
#[derive(Debug, Default)]
pub struct ProbeSlots {
    /// When each host was last granted a slot.
    granted_at: FxHashMap<String, Duration>,
    /// Number of slots granted.
    granted: u32,
    last_granted: Option<Duration>,
}

impl ProbeSlots {
    /// Whether the polling host `host` is granted a slot now. `others` are the hosts that poll as well: a
    /// slot goes to a host that has waited longest.
    pub fn grant<'a>(
        &mut self,
        host: &str,
        mut others: impl Iterator<Item = &'a str>,
        now: Duration,
    ) -> bool {
        let interval = match self.granted < EARLY_PROBE_SLOTS {
            true => EARLY_PROBE_SLOT_INTERVAL,
            false => PROBE_SLOT_INTERVAL,
        };
        if self.last_granted.is_some_and(|at| now < at + interval) {
            return false;
        }
        let granted_at = self.granted_at.get(host);
        if others.any(|other| self.granted_at.get(other) < granted_at) {
            return false;
        }
        self.granted_at.insert(host.to_owned(), now);
        self.last_granted = Some(now);
        self.granted = self.granted.saturating_add(1);
        true
    }

    /// Resets the schedule once the store answers again, so that the next slots are early ones.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// What another host of the data centre has reported about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReport {
    /// The reporting host has recent data from the store, read by itself or received from others.
    pub fresh: bool,
    /// It received that data from this host.
    pub from_this_host: bool,
    /// As far as the reporting host knows, the store doesn't answer it, even if it answered a moment ago. If
    /// this is false and the host has no recent data, it has only just started.
    pub unavailable: bool,
    /// The reporting host grants this host a probe slot.
    pub probe_slot: bool,
    /// The report includes what the reporting host knows of the list of endpoints.
    pub has_list: bool,
}

/// What a host does about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the store.
    Reader,
    /// Receives what another host reads.
    Follower,
    /// No host nearby has recent data yet: waits for data or for a probe slot.
    Waiting,
}

/// Returns the role of this host. `report` is that of the polled host, if it answered; `keeps_reading` is
/// whether this host reads the store itself and is to go on ([`StoreAccess::keeps_reading`]).
///
/// Whether this host itself has recent data is no criterion: the list is read after the catalogue, which
/// takes time, and a host that stopped reading in between would never have data for the others.
///
/// Recent data was read a moment ago. Once the store no longer answers the host that read it, no more will
/// follow, so the next reader is looked for at once and not only when the data has become stale.
///
/// A host whose report lacks the list reads the store, and can receive later changes of the list from then
/// on.
pub fn role(report: Option<StoreReport>, keeps_reading: bool) -> Role {
    match report {
        None => Role::Reader,
        Some(report) if report.fresh && !report.from_this_host && !report.unavailable => {
            match report.has_list {
                true => Role::Follower,
                false => Role::Reader,
            }
        }
        Some(report) if keeps_reading || report.probe_slot => Role::Reader,
        Some(_) => Role::Waiting,
    }
}
