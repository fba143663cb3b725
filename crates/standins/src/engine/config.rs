//! The settings of one engine.

use std::net::SocketAddr;

use dragonflyrill_engines::wire;
use dragonflyrill_fleet::{endpoints::Endpoint, layers::LayerRange};

use crate::{number, register, settings::Settings};

/// The settings of one engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The endpoint's id.
    pub id: String,
    /// The address on which it listens; with port 0 the system assigns a free port.
    pub listen: SocketAddr,
    /// The data centre that its endpoint entry names.
    pub data_centre: String,
    /// The kind of accelerator that its endpoint entry names.
    pub accelerator: String,
    /// The model that is loaded at the start.
    pub model: String,
    /// The version of the weights at the start.
    pub version: String,
    /// The number of layers of the complete model.
    pub model_layers: u32,
    /// The layers that are loaded at the start.
    pub layers: wire::Layers,
    /// The time for one layer of one iteration, in microseconds.
    pub layer_us: u64,
    /// The time for each further position of a step, as a fraction of the time for the first.
    pub prefill_factor: f64,
    /// The factor on all iteration times; with 0, iterations take no time.
    pub time_scale: f64,
    /// The time to load the weights of one layer, in milliseconds.
    pub load_ms_per_layer: u64,
    /// The maximum number of steps in one iteration.
    pub max_batch: usize,
    /// The maximum number of sessions, that is of requests whose KV cache is kept.
    pub max_sessions: usize,
    /// The idle time in milliseconds after which a session may be evicted for a new one when all slots
    /// are in use.
    pub session_idle_ms: u64,
    /// The capacity of the prefix cache, in blocks.
    pub prefix_blocks: usize,
    /// The age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// The delay until a cache event is published, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// The fraction of cache events, 0 to 1, that are never published.
    pub cache_event_loss: f64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fence: bool,
}

impl EngineConfig {
    /// Settings of an engine that has all layers of its model loaded and whose iterations take no time.
    pub fn new(id: &str, model: &str, model_layers: u32) -> Self {
        Self {
            id: id.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_centre: register::DEFAULT_DATA_CENTRE.to_owned(),
            accelerator: register::DEFAULT_ACCELERATOR.to_owned(),
            model: model.to_owned(),
            version: "1".to_owned(),
            model_layers,
            layers: wire::Layers {
                first: 0,
                end: model_layers,
            },
            layer_us: 0,
            prefill_factor: 0.02,
            time_scale: 0.0,
            load_ms_per_layer: 0,
            max_batch: 32,
            max_sessions: 256,
            session_idle_ms: 120_000,
            prefix_blocks: 4096,
            load_lag_ms: 0,
            cache_event_lag_ms: 0,
            cache_event_loss: 0.0,
            checks_fence: true,
        }
    }

    /// The endpoint entry of this engine when it listens on `addr`.
    pub fn listing(&self, addr: SocketAddr) -> Endpoint {
        Endpoint {
            id: self.id.as_str().into(),
            name: self.id.as_str().into(),
            started_at: None,
            service: self.model.as_str().into(),
            addr,
            data_centre: self.data_centre.as_str().into(),
            slots: self.max_sessions as u32,
            draining: false,
            accelerator: Some(self.accelerator.as_str().into()),
            layers: LayerRange::new(self.layers.first, self.layers.end),
        }
    }
}

impl TryFrom<Settings> for EngineConfig {
    type Error = anyhow::Error;

    fn try_from(mut raw: Settings) -> anyhow::Result<Self> {
        let id: String = raw.take_required("id")?;
        let model: String = raw.take_required("model")?;
        let layers_text: String = raw.take_required("layers")?;
        let layers = parse_layers(&layers_text).ok_or_else(|| {
            raw.error(
                "layers",
                format!("bad value {layers_text:?}: not FIRST..END"),
            )
        })?;
        let base = Self::new(&id, &model, raw.take_or("model_layers", layers.end)?);
        if layers.end > base.model_layers {
            let what = format!("{layers} go beyond the model's {}", base.model_layers);
            return Err(raw.error("layers", what));
        }
        let cfg = Self {
            layers,
            listen: raw.take_or("listen", base.listen)?,
            data_centre: raw.take_or("data_centre", base.data_centre)?,
            accelerator: raw.take_or("accelerator", base.accelerator)?,
            version: raw.take_or("version", base.version)?,
            layer_us: raw.take_or("layer_us", 50)?,
            prefill_factor: raw.take_number(
                "prefill_factor",
                base.prefill_factor,
                number::factor,
            )?,
            time_scale: raw.take_number("time_scale", 1.0, number::factor)?,
            load_ms_per_layer: raw.take_or("load_ms_per_layer", base.load_ms_per_layer)?,
            max_batch: raw.take_or("max_batch", base.max_batch)?,
            max_sessions: raw.take_or("max_sessions", base.max_sessions)?,
            session_idle_ms: raw.take_or("session_idle_ms", base.session_idle_ms)?,
            prefix_blocks: raw.take_or("prefix_blocks", base.prefix_blocks)?,
            load_lag_ms: raw.take_or("load_lag_ms", base.load_lag_ms)?,
            cache_event_lag_ms: raw.take_or("cache_event_lag_ms", base.cache_event_lag_ms)?,
            cache_event_loss: raw.take_number(
                "cache_event_loss",
                base.cache_event_loss,
                number::share,
            )?,
            checks_fence: raw.take_or("checks_fence", base.checks_fence)?,
            ..base
        };
        if cfg.max_batch == 0 {
            return Err(raw.error("max_batch", "has to be 1 or more"));
        }
        raw.reject_unknown()?;
        Ok(cfg)
    }
}

fn parse_layers(text: &str) -> Option<wire::Layers> {
    let (first, end) = text.split_once("..")?;
    let layers = wire::Layers {
        first: first.parse().ok()?,
        end: end.parse().ok()?,
    };
    (layers.first < layers.end).then_some(layers)
}
