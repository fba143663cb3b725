//! Decides which endpoint to change next.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_catalogue::EndpointId;

use super::{
    GroupConfig, GroupSpec, budget,
    member::{self, Change, Member},
};

/// A decision to make an endpoint hold another range or version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reassignment {
    pub(super) endpoint: EndpointId,
    /// Index of the range to hold.
    pub(super) target_range: usize,
    /// Whether the endpoint must be drained first.
    pub(super) drain: bool,
}

/// The state of a group at one instant.
pub(super) struct Snapshot<'a> {
    pub(super) now: Duration,
    pub(super) cfg: &'a GroupConfig,
    pub(super) spec: &'a GroupSpec,
    pub(super) members: &'a BTreeMap<EndpointId, Member>,
    /// One entry for each range, in order.
    counts: Vec<RangeCounts>,
}

/// How many endpoints are in which state with respect to one range.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RangeCounts {
    serving: u32,
    joining: u32,
    /// Endpoints that hold the range, but are being drained.
    draining: u32,
    /// Endpoints that hold the range in another version than declared and aren't shutting down.
    outdated: u32,
}

impl<'a> Snapshot<'a> {
    pub(super) fn new(
        now: Duration,
        cfg: &'a GroupConfig,
        spec: &'a GroupSpec,
        members: &'a BTreeMap<EndpointId, Member>,
    ) -> Self {
        let mut snapshot = Self {
            now,
            cfg,
            spec,
            members,
            counts: Vec::new(),
        };
        let ranges = 0..spec.ranges().len();
        snapshot.counts = ranges.map(|index| snapshot.count(index)).collect();
        snapshot
    }

    fn count(&self, index: usize) -> RangeCounts {
        let mut count = RangeCounts::default();
        for m in self.members.values() {
            count.serving += u32::from(self.serves(m, index));
            count.joining += u32::from(m.is_joining(self.now, self.cfg, self.spec, index));
            count.draining += u32::from(self.is_draining_from(m, index));
            count.outdated += u32::from(self.is_outdated(m, index));
        }
        count
    }

    /// Returns the next change, if one is needed and allowed now.
    pub(super) fn next_reassignment(&self) -> Option<Reassignment> {
        let mut members = self.members.values();
        if members.any(|m| m.is_state_pending(self.now, self.cfg)) {
            return None;
        }
        let mut underserved = self.underserved_ranges();
        if underserved.is_empty() {
            return self.next_upgrade();
        }
        underserved
            .sort_by_key(|index| self.serving(*index).saturating_mul(1000) / self.minimum(*index));
        underserved
            .into_iter()
            .find_map(|index| self.fastest_candidate(index))
    }

    /// Returns how many endpoints serve a range, in any version.
    pub(super) fn serving(&self, index: usize) -> u32 {
        self.counts[index].serving
    }

    /// Whether no endpoint serves a range.
    pub(super) fn is_unserved(&self, index: usize) -> bool {
        self.serving(index) == 0
    }

    /// Returns how many endpoints are about to serve a range.
    pub(super) fn joining(&self, index: usize) -> u32 {
        self.counts[index].joining
    }

    /// Returns how many endpoints hold a range in another version than declared and aren't shutting
    /// down.
    pub(super) fn outdated(&self, index: usize) -> u32 {
        self.counts[index].outdated
    }

    /// Whether the endpoint can be removed from all ranges it holds: enough others serve each of
    /// them, and no other endpoint is being drained from any of them.
    pub(super) fn can_be_reassigned(&self, m: &Member) -> bool {
        let ranges = 0..self.spec.ranges().len();
        let mut held = ranges.filter(|index| self.holds(m, *index));
        held.all(|index| {
            let own = u32::from(self.is_draining_from(m, index));
            let others = self.serving_without(index, m);
            others >= self.minimum(index) && self.counts[index].draining == own
        })
    }

    fn minimum(&self, index: usize) -> u32 {
        self.spec.ranges()[index].minimum
    }

    fn underserved_ranges(&self) -> Vec<usize> {
        let underserved =
            |index: &usize| self.serving(*index) + self.joining(*index) < self.minimum(*index);
        (0..self.spec.ranges().len()).filter(underserved).collect()
    }

    fn serving_without(&self, index: usize, m: &Member) -> u32 {
        self.serving(index) - u32::from(self.serves(m, index))
    }

    fn serves(&self, m: &Member, index: usize) -> bool {
        m.serves(self.now, self.cfg, self.spec, &self.spec.ranges()[index])
    }

    /// Whether the endpoint is being drained from the range.
    fn is_draining_from(&self, m: &Member, index: usize) -> bool {
        matches!(m.change, Change::Draining { .. }) && self.holds(m, index)
    }

    /// Whether the endpoint holds the range, whether it serves it or not.
    fn holds(&self, m: &Member, index: usize) -> bool {
        let layers = self.spec.ranges()[index].layers;
        let state = m.state(self.now, self.cfg);
        state.is_some_and(|state| member::covers(state, self.spec, layers))
    }

    fn is_outdated(&self, m: &Member, index: usize) -> bool {
        let state = m.state(self.now, self.cfg);
        let declared = state.is_some_and(|state| member::has_declared_version(state, self.spec));
        self.holds(m, index) && !declared && !m.shutting_down
    }

    /// Whether the endpoint holds none of the declared ranges.
    fn is_spare(&self, m: &Member) -> bool {
        !(0..self.spec.ranges().len()).any(|index| self.holds(m, index))
    }

    /// Returns the reassignment of the endpoint that can serve a range soonest, by the sum of its
    /// load time and drain time.
    fn fastest_candidate(&self, target_range: usize) -> Option<Reassignment> {
        let free = self.members.iter().filter(|(_, m)| {
            m.is_idle(self.now, self.cfg)
                && !self.holds(m, target_range)
                && self.can_be_reassigned(m)
        });
        let (id, m) =
            free.min_by_key(|(_, m)| (self.time_to_serve(m, target_range), m.session_count()))?;
        Some(Reassignment {
            endpoint: id.clone(),
            target_range,
            drain: !self.is_spare(m),
        })
    }

    fn time_to_serve(&self, m: &Member, target_range: usize) -> Duration {
        let layers = m.layers_to_load(self.spec, self.spec.ranges()[target_range].layers);
        let load = budget::min_load_time(layers, self.spec.budget());
        let drain = match m.session_count() {
            _ if self.is_spare(m) => Duration::ZERO,
            0 => self.cfg.drain_settle_time,
            _ if self.is_unserved(target_range) => self.cfg.drain_settle_time,
            _ => self.cfg.max_drain_time,
        };
        load + drain
    }

    /// Returns the next endpoint to get the declared version. Goes range by range and upgrades one
    /// endpoint at a time.
    fn next_upgrade(&self) -> Option<Reassignment> {
        let changing = |m: &Member| m.is_loading(self.now, self.cfg);
        if self.members.values().any(changing) {
            return None;
        }
        let mut ranges = 0..self.spec.ranges().len();
        ranges.find_map(|index| self.next_upgrade_in(index))
    }

    fn next_upgrade_in(&self, target_range: usize) -> Option<Reassignment> {
        let outdated = self.members.iter();
        let outdated = outdated
            .filter(|(_, m)| self.is_outdated(m, target_range) && m.is_idle(self.now, self.cfg));
        let (id, m) =
            outdated.min_by_key(|(_, m)| (!self.can_be_reassigned(m), m.session_count()))?;
        if self.can_be_reassigned(m) {
            return Some(Reassignment {
                endpoint: id.clone(),
                target_range,
                drain: true,
            });
        }
        // The range needs this endpoint, so another endpoint must join first.
        let mut ranges = 0..self.spec.ranges().len();
        let needing = |index: &usize| {
            self.holds(m, *index) && self.serving_without(*index, m) < self.minimum(*index)
        };
        self.fastest_candidate(ranges.find(needing)?)
    }
}
