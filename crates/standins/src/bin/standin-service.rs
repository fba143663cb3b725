//! Runs one or more service stand-ins in one process until SIGTERM or SIGINT.

use std::{net::SocketAddr, path::PathBuf};

use dragonflyrill_standins::{process, register, service, settings::Settings};

/// Plain services that keep a ledger of what they ran, with faults on demand.
///
/// The options of a single service are also the defaults of those given by `--add` and
/// `--services`.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// one service, as KEY=VALUE,KEY=VALUE; may be repeated
    #[argh(option)]
    add: Vec<String>,
    /// INI file with one section for each service
    #[argh(option)]
    services: Option<PathBuf>,
    /// address of the platform, IP:PORT, to register with
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// the endpoint's id
    #[argh(option)]
    id: Option<String>,
    /// the service
    #[argh(option)]
    service: Option<String>,
    /// address to listen on, IP:PORT
    #[argh(option)]
    listen: Option<String>,
    /// the data centre
    #[argh(option)]
    data_centre: Option<String>,
    /// milliseconds that one call takes
    #[argh(option)]
    work_ms: Option<String>,
    /// calls that run at once
    #[argh(option)]
    max_running: Option<String>,
}

impl Args {
    /// The settings given as options.
    fn defaults(&self) -> Settings {
        let mut settings = Settings::new("command line");
        let options = [
            ("id", &self.id),
            ("service", &self.service),
            ("listen", &self.listen),
            ("data_centre", &self.data_centre),
            ("work_ms", &self.work_ms),
            ("max_running", &self.max_running),
        ];
        for (key, value) in options {
            if let Some(value) = value {
                settings.set(key, value);
            }
        }
        settings
    }

    fn configs(&self) -> anyhow::Result<Vec<service::ServiceConfig>> {
        let mut sections = Vec::new();
        for text in &self.add {
            sections.push(Settings::parse(&format!("--add {text:?}"), text)?);
        }
        if let Some(path) = &self.services {
            sections.extend(Settings::read_ini(path)?);
        }
        if sections.is_empty() {
            sections.push(Settings::new("command line"));
        }
        let defaults = self.defaults();
        let sections = sections
            .into_iter()
            .map(|section| section.with_defaults(&defaults));
        sections.map(service::ServiceConfig::try_from).collect()
    }
}

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    process::init_log();
    let cfgs = args.configs()?;
    let running = service::start(cfgs).await?;
    for endpoint in running.listings() {
        log::info!("service {}: listens on {}.", endpoint.id, endpoint.addr);
    }
    register::run_registered(args.platform, &running, process::shutdown_signal()).await?;
    running.stop().await;
    Ok(())
}
