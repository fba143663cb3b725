//! A simulated engine that executes orders, in memory.

use std::time::Duration;

use dragonflyrill_engines::wire::{EngineState, Layers, Order};

use super::ms;

/// A simulated engine that executes orders, in memory.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    state: EngineState,
    /// Whether the engine rejects orders with a lower fence than it has seen.
    pub(crate) checks_fence: bool,
    /// The load time of one layer.
    pub(crate) layer_time: Duration,
    /// Whether the engine is running.
    pub(crate) alive: bool,
    loaded_at: Duration,
}

impl Engine {
    /// Creates an engine that holds the layers from `first` to before `end`.
    pub(crate) fn new(name: &str, model: &str, version: &str, first: u32, end: u32) -> Self {
        Self {
            state: EngineState {
                endpoint: name.to_owned(),
                incarnation: 1,
                fence: 0,
                model: model.to_owned(),
                version: version.to_owned(),
                layers: Layers { first, end },
                loading: false,
                leaving: false,
            },
            checks_fence: true,
            layer_time: ms(1),
            alive: true,
            loaded_at: Duration::ZERO,
        }
    }

    /// Returns the state that the engine reports at `now`.
    pub(crate) fn state(&self, now: Duration) -> EngineState {
        EngineState {
            loading: now < self.loaded_at,
            ..self.state.clone()
        }
    }

    /// Whether the engine can run these layers at `now`.
    pub(crate) fn serves(&self, now: Duration, model: &str, layers: Layers) -> bool {
        let held = self.state.layers;
        let within = held.first <= layers.first && layers.end <= held.end;
        self.alive && now >= self.loaded_at && within && self.state.model == model
    }

    /// Whether the engine rejects the order.
    pub(crate) fn rejects(&self, order: &Order) -> bool {
        self.checks_fence && order.fence < self.state.fence
    }

    /// Executes an order. Returns how many layers the engine loads, or `None` if the order changes
    /// nothing.
    pub(crate) fn execute(&mut self, now: Duration, order: &Order) -> Option<u32> {
        let held = &mut self.state;
        held.fence = held.fence.max(order.fence);
        let same = held.model == order.model && held.version == order.version;
        if same && held.layers == order.layers {
            return None;
        }
        let kept = if same { held.layers.range() } else { 0..0 };
        let missing_layers = order.layers.range().filter(|l| !kept.contains(l)).count() as u32;
        held.model = order.model.clone();
        held.version = order.version.clone();
        held.layers = order.layers;
        self.loaded_at = now + self.layer_time * missing_layers;
        Some(missing_layers)
    }
}
