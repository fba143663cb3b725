//! The status of a group for an operator.

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire::Layers;

use super::{
    decide::Snapshot,
    member::{Change, Member},
};

/// The status of a group for an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupStatus {
    /// The status of each range, in order.
    pub ranges: Vec<RangeStatus>,
    /// The changes in progress.
    pub changes: Vec<ChangeStatus>,
    /// Live endpoints whose state isn't known.
    pub unknown: Vec<EndpointId>,
    /// Whether every range is served as declared and no change is in progress or needed.
    pub satisfied: bool,
}

/// The status of one range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RangeStatus {
    /// The layers.
    pub layers: Layers,
    /// The number of endpoints that must serve the range.
    pub minimum: u32,
    /// The number of endpoints that serve the range, in any version.
    pub serving: u32,
    /// The number of endpoints that are about to serve the range.
    pub joining: u32,
    /// The number of endpoints that hold the range in another version than declared and aren't
    /// shutting down.
    pub outdated: u32,
}

/// The change in progress on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers that the endpoint is to hold.
    pub layers: Layers,
    /// The phase of the change.
    pub phase: ChangePhase,
}

/// The phase of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangePhase {
    /// The endpoint receives no new work.
    Draining,
    /// The order was sent; the endpoint may be loading.
    Ordered,
}

impl Snapshot<'_> {
    /// Returns the status for an operator.
    pub(super) fn status(&self) -> GroupStatus {
        let ranges = self.spec.ranges().iter().enumerate();
        let ranges: Vec<_> = ranges
            .map(|(index, range)| RangeStatus {
                layers: range.layers,
                minimum: range.minimum,
                serving: self.serving(index),
                joining: self.joining(index),
                outdated: self.outdated(index),
            })
            .collect();
        let changes = self.members.iter().filter_map(|(id, m)| self.change(id, m));
        let changes: Vec<_> = changes.collect();
        let unknown = |m: &Member| m.alive && m.state(self.now, self.cfg).is_none();
        let unknown = self.members.iter().filter(|(_, m)| unknown(m));
        let unknown: Vec<_> = unknown.map(|(id, _)| id.clone()).collect();
        let done = |range: &RangeStatus| range.serving >= range.minimum && range.outdated == 0;
        let satisfied = changes.is_empty() && unknown.is_empty() && ranges.iter().all(done);
        GroupStatus {
            ranges,
            changes,
            unknown,
            satisfied,
        }
    }

    fn change(&self, id: &EndpointId, m: &Member) -> Option<ChangeStatus> {
        let (target_range, phase) = match &m.change {
            Change::None => return None,
            Change::Draining { target_range, .. } => (*target_range, ChangePhase::Draining),
            Change::Ordered { target_range, .. } => (*target_range, ChangePhase::Ordered),
        };
        Some(ChangeStatus {
            endpoint: id.clone(),
            layers: self.spec.ranges()[target_range].layers,
            phase,
        })
    }
}
