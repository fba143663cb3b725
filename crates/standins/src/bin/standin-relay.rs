//! Runs a TCP relay whose links can be cut, until SIGTERM or SIGINT.

use std::{net::SocketAddr, path::PathBuf};

use dragonflyrill_standins::{process, relay, settings::Settings};

/// TCP links that can be cut and delayed on demand.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// address that takes commands, IP:PORT
    #[argh(option)]
    control: SocketAddr,
    /// one link, as id=NAME,listen=IP:PORT,to=IP:PORT; may be repeated
    #[argh(option)]
    link: Vec<String>,
    /// INI file with one section for each link
    #[argh(option)]
    links: Option<PathBuf>,
    /// address that the link `link` listens on, IP:PORT
    #[argh(option)]
    listen: Option<SocketAddr>,
    /// address that the link `link` leads to, IP:PORT
    #[argh(option)]
    to: Option<SocketAddr>,
}

impl Args {
    fn configs(&self) -> anyhow::Result<Vec<relay::LinkConfig>> {
        let mut sections = Vec::new();
        for text in &self.link {
            sections.push(Settings::parse(&format!("--link {text:?}"), text)?);
        }
        if let Some(path) = &self.links {
            sections.extend(Settings::read_ini(path)?);
        }
        let mut cfgs = sections
            .into_iter()
            .map(relay::LinkConfig::try_from)
            .collect::<Result<Vec<_>, _>>()?;
        match (self.listen, self.to) {
            (Some(listen), Some(to)) => {
                cfgs.push(relay::LinkConfig {
                    name: "link".to_owned(),
                    listen,
                    to,
                });
            }
            (None, None) => {}
            _ => anyhow::bail!("--listen and --to go together"),
        }
        anyhow::ensure!(
            !cfgs.is_empty(),
            "no link is given: --link, --links or --listen and --to"
        );
        Ok(cfgs)
    }
}

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    process::init_log();
    let cfgs = args.configs()?;
    let running = relay::start(args.control, cfgs.clone()).await?;
    log::info!("relay: takes commands on {}.", running.control());
    for (cfg, addr) in cfgs.iter().zip(running.links()) {
        log::info!(
            "relay {}: listens on {addr}, leads to {}.",
            cfg.name,
            cfg.to
        );
    }
    process::shutdown_signal().await?;
    running.stop().await;
    Ok(())
}
