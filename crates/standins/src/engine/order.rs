//! The model and layers that an engine has loaded, and the orders that change them.

use dragonflyrill_engines::wire;

use super::config::EngineConfig;

/// The loaded model and layers.
#[derive(Debug, Clone)]
pub(super) struct LoadedModel {
    /// The highest fencing number seen.
    pub(super) fence: u64,
    pub(super) model: String,
    pub(super) version: String,
    pub(super) layers: wire::Layers,
    /// The time at which loading completes, in milliseconds since the Unix epoch.
    loaded_ms: u64,
}

impl LoadedModel {
    pub(super) fn new(cfg: &EngineConfig) -> Self {
        Self {
            fence: 0,
            model: cfg.model.clone(),
            version: cfg.version.clone(),
            layers: cfg.layers,
            loaded_ms: 0,
        }
    }

    pub(super) fn is_loading(&self, now_ms: u64) -> bool {
        now_ms < self.loaded_ms
    }

    /// Whether steps over these layers of the model can run: they are loaded completely.
    pub(super) fn includes(&self, now_ms: u64, model: &str, layers: wire::Layers) -> bool {
        let within = self.layers.first <= layers.first && layers.end <= self.layers.end;
        !self.is_loading(now_ms) && model == self.model && within && layers.first < layers.end
    }

    /// Executes an order; returns whether it changed the model, the version or the layers. Loading takes
    /// `layer_ms` for each layer that was not loaded before.
    pub(super) fn apply_order(&mut self, now_ms: u64, order: &wire::Order, layer_ms: u64) -> bool {
        self.fence = self.fence.max(order.fence);
        let same = order.model == self.model && order.version == self.version;
        if same && order.layers == self.layers {
            return false;
        }
        let kept = if same { self.layers.range() } else { 0..0 };
        let new = order
            .layers
            .range()
            .filter(|layer| !kept.contains(layer))
            .count() as u64;
        self.model = order.model.clone();
        self.version = order.version.clone();
        self.layers = order.layers;
        self.loaded_ms = now_ms + new * layer_ms;
        true
    }
}
