//! The state of one endpoint of a group, and the change in progress on it.

use std::time::Duration;

use dragonflyrill_engines::wire::{EngineState, Layers, Order};

use super::{CallId, GroupConfig, GroupSpec, RangeSpec};

/// A pending call to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Call {
    pub(super) id: CallId,
    /// Time read before the call was sent.
    pub(super) sent_at: Duration,
    pub(super) is_order: bool,
}

/// The engine's state as it reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Observation {
    pub(super) state: EngineState,
    /// Time read before the call was sent that returned the state.
    pub(super) requested_at: Duration,
}

/// The number of requests whose KV cache the endpoint holds, as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SessionReport {
    pub(super) count: u32,
    /// The time at which the count was correct.
    pub(super) as_of: Duration,
}

/// The change in progress on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Change {
    None,
    /// The endpoint receives no new work, so that it can be ordered to hold the range
    /// `target_range`.
    Draining {
        since: Duration,
        target_range: usize,
    },
    /// The endpoint was ordered to hold the range `target_range` and isn't yet known to serve it.
    Ordered {
        order: Order,
        target_range: usize,
    },
}

/// One endpoint of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Member {
    /// Whether membership or routing considers the endpoint alive.
    pub(super) alive: bool,
    /// Whether the endpoint is shutting down, by itself or on an operator's request.
    pub(super) shutting_down: bool,
    pub(super) sessions: Option<SessionReport>,
    pub(super) observation: Option<Observation>,
    /// An observation requested before this time is ignored, because an order in flight may change
    /// the engine.
    pub(super) trusted_from: Duration,
    pub(super) call: Option<Call>,
    pub(super) next_read_at: Duration,
    pub(super) change: Change,
}

impl Member {
    pub(super) fn new(trusted_from: Duration) -> Self {
        Self {
            alive: true,
            shutting_down: false,
            sessions: None,
            observation: None,
            trusted_from,
            call: None,
            next_read_at: trusted_from,
            change: Change::None,
        }
    }

    /// Sets whether the endpoint is alive. A change discards the last observation.
    pub(super) fn set_alive(&mut self, now: Duration, alive: bool) {
        if self.alive == alive {
            return;
        }
        self.alive = alive;
        self.observation = None;
        self.trusted_from = self.trusted_from.max(now);
        self.next_read_at = self.trusted_from;
    }

    /// Whether `state` shows the start of a load that this holder didn't order.
    pub(super) fn is_foreign_load(&self, state: &EngineState) -> bool {
        let known = self
            .observation
            .as_ref()
            .is_some_and(|observation| observation.state.loading);
        state.loading && !known && self.change == Change::None
    }

    /// Returns the engine's state if it is known and no order in flight can change it.
    pub(super) fn state(&self, now: Duration, cfg: &GroupConfig) -> Option<&EngineState> {
        let observation = self.observation.as_ref()?;
        let ordering = self.call.as_ref().is_some_and(|call| call.is_order);
        let fresh = now <= observation.requested_at + cfg.max_state_age
            && observation.requested_at >= self.trusted_from;
        (self.alive && fresh && !ordering).then_some(&observation.state)
    }

    /// Whether the engine's state is unknown, but an answer with it may still arrive.
    pub(super) fn is_state_pending(&self, now: Duration, cfg: &GroupConfig) -> bool {
        let ordered = matches!(self.change, Change::Ordered { .. });
        let unknown = self.alive && self.state(now, cfg).is_none();
        unknown && !ordered && !self.is_unresponsive(now, cfg)
    }

    /// Whether the engine's state is unknown although the time for an answer has passed.
    pub(super) fn is_unresponsive(&self, now: Duration, cfg: &GroupConfig) -> bool {
        self.state(now, cfg).is_none() && now >= self.trusted_from + cfg.max_state_age
    }

    /// Whether the endpoint serves the range now, for both new and running requests.
    pub(super) fn serves(
        &self,
        now: Duration,
        cfg: &GroupConfig,
        spec: &GroupSpec,
        range: &RangeSpec,
    ) -> bool {
        let holds = |state: &EngineState| !state.loading && covers(state, spec, range.layers);
        let idle = self.change == Change::None && !self.shutting_down;
        idle && self
            .state(now, cfg)
            .is_some_and(|state| !state.leaving && holds(state))
    }

    /// Whether the endpoint is about to serve the range.
    pub(super) fn is_joining(
        &self,
        now: Duration,
        cfg: &GroupConfig,
        spec: &GroupSpec,
        index: usize,
    ) -> bool {
        if !self.alive || self.shutting_down {
            return false;
        }
        match &self.change {
            Change::Draining { target_range, .. } | Change::Ordered { target_range, .. } => {
                *target_range == index
            }
            Change::None => self.state(now, cfg).is_some_and(|state| {
                state.loading && covers(state, spec, spec.ranges()[index].layers)
            }),
        }
    }

    /// Whether no change is in progress on the endpoint, by this holder or by an earlier one.
    pub(super) fn is_idle(&self, now: Duration, cfg: &GroupConfig) -> bool {
        let state = self.state(now, cfg);
        let quiet = state.is_some_and(|state| !state.loading && !state.leaving);
        quiet && !self.shutting_down && self.call.is_none() && self.change == Change::None
    }

    /// Whether the endpoint is loading weights, or is about to.
    pub(super) fn is_loading(&self, now: Duration, cfg: &GroupConfig) -> bool {
        let state = self.state(now, cfg);
        self.change != Change::None || state.is_some_and(|state| state.loading)
    }

    /// Returns how many layers the endpoint would have to load to hold `layers` of the declared
    /// version.
    pub(super) fn layers_to_load(&self, spec: &GroupSpec, layers: Layers) -> u32 {
        let kept = match &self.observation {
            Some(Observation { state, .. }) if has_declared_version(state, spec) => {
                state.layers.range()
            }
            _ => 0..0,
        };
        let missing = layers.range().filter(|layer| !kept.contains(layer));
        missing.count() as u32
    }

    /// Returns the last reported number of sessions, or `u32::MAX` if it is unknown.
    pub(super) fn session_count(&self) -> u32 {
        self.sessions.map_or(u32::MAX, |sessions| sessions.count)
    }
}

/// Whether the engine holds these layers, in any version.
pub(super) fn covers(state: &EngineState, spec: &GroupSpec, layers: Layers) -> bool {
    let within = state.layers.first <= layers.first && layers.end <= state.layers.end;
    within && state.model == spec.id().model.as_str()
}

/// Whether the engine holds the declared version.
pub(super) fn has_declared_version(state: &EngineState, spec: &GroupSpec) -> bool {
    state.model == spec.id().model.as_str() && state.version == spec.version()
}
