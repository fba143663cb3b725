//! Runs one or more engine stand-ins in one process until SIGTERM or SIGINT.

use std::{net::SocketAddr, path::PathBuf};

use dragonflyrill_standins::{engine, process, register, settings::Settings};

/// Model engines that hold ranges of layers, with faults on demand.
///
/// The options of a single engine are also the defaults of those given by `--engine` and
/// `--engines`. Keys in those are the names of the options with `_` for `-`.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// one engine, as KEY=VALUE,KEY=VALUE; may be repeated
    #[argh(option)]
    engine: Vec<String>,
    /// INI file with one section for each engine
    #[argh(option)]
    engines: Option<PathBuf>,
    /// address of the platform, IP:PORT, to register with
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// the endpoint's id
    #[argh(option)]
    id: Option<String>,
    /// address to listen on, IP:PORT
    #[argh(option)]
    listen: Option<String>,
    /// the data centre
    #[argh(option)]
    data_centre: Option<String>,
    /// the model
    #[argh(option)]
    model: Option<String>,
    /// layers of the whole model
    #[argh(option)]
    model_layers: Option<String>,
    /// layers held, FIRST..END
    #[argh(option)]
    layers: Option<String>,
    /// microseconds for one layer of one iteration
    #[argh(option)]
    layer_us: Option<String>,
    /// whether old fencing numbers are refused: true or false
    #[argh(option)]
    checks_fence: Option<String>,
    /// factor on times of running; 0 answers at once
    #[argh(option)]
    time_scale: Option<String>,
    /// time of one more position of a step, as a share of the first
    #[argh(option)]
    prefill_factor: Option<String>,
    /// milliseconds to load the weights of one layer
    #[argh(option)]
    load_ms_per_layer: Option<String>,
    /// most steps in one iteration
    #[argh(option)]
    max_batch: Option<String>,
    /// most requests whose KV cache is held
    #[argh(option)]
    max_sessions: Option<String>,
    /// age in milliseconds at which an unused session gives way
    #[argh(option)]
    session_idle_ms: Option<String>,
    /// blocks in the prefix cache
    #[argh(option)]
    prefix_blocks: Option<String>,
    /// age of the load report in milliseconds
    #[argh(option)]
    load_lag_ms: Option<String>,
    /// age of published cache events in milliseconds
    #[argh(option)]
    cache_event_lag_ms: Option<String>,
    /// share of cache events that are lost, 0 to 1
    #[argh(option)]
    cache_event_loss: Option<String>,
    /// the kind of accelerator
    #[argh(option)]
    accelerator: Option<String>,
    /// the version of the weights
    #[argh(option)]
    version: Option<String>,
}

impl Args {
    /// The settings given as options.
    fn defaults(&self) -> Settings {
        let mut settings = Settings::new("command line");
        let options = [
            ("id", &self.id),
            ("listen", &self.listen),
            ("data_centre", &self.data_centre),
            ("model", &self.model),
            ("model_layers", &self.model_layers),
            ("layers", &self.layers),
            ("layer_us", &self.layer_us),
            ("checks_fence", &self.checks_fence),
            ("time_scale", &self.time_scale),
            ("prefill_factor", &self.prefill_factor),
            ("load_ms_per_layer", &self.load_ms_per_layer),
            ("max_batch", &self.max_batch),
            ("max_sessions", &self.max_sessions),
            ("session_idle_ms", &self.session_idle_ms),
            ("prefix_blocks", &self.prefix_blocks),
            ("load_lag_ms", &self.load_lag_ms),
            ("cache_event_lag_ms", &self.cache_event_lag_ms),
            ("cache_event_loss", &self.cache_event_loss),
            ("accelerator", &self.accelerator),
            ("version", &self.version),
        ];
        for (key, value) in options {
            if let Some(value) = value {
                settings.set(key, value);
            }
        }
        settings
    }

    fn configs(&self) -> anyhow::Result<Vec<engine::EngineConfig>> {
        let defaults = self.defaults();
        let mut sections = Vec::new();
        for text in &self.engine {
            sections.push(Settings::parse(&format!("--engine {text:?}"), text)?);
        }
        if let Some(path) = &self.engines {
            sections.extend(Settings::read_ini(path)?);
        }
        if sections.is_empty() {
            sections.push(Settings::new("command line"));
        }
        let sections = sections
            .into_iter()
            .map(|section| section.with_defaults(&defaults));
        sections.map(engine::EngineConfig::try_from).collect()
    }
}

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    process::init_log();
    let cfgs = args.configs()?;
    let running = engine::start(cfgs).await?;
    for endpoint in running.listings() {
        log::info!("engine {}: listens on {}.", endpoint.id, endpoint.addr);
    }
    register::run_registered(args.platform, &running, process::shutdown_signal()).await?;
    running.stop().await;
    Ok(())
}
