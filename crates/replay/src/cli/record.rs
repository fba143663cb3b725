//! `record`: generates a synthetic trace.

use std::path::PathBuf;

use anyhow::{Context, ensure};
use argh::FromArgs;

use crate::generate::{self, deployment::Deployment};

/// Generate a synthetic trace of a deployment.
#[derive(FromArgs)]
#[argh(subcommand, name = "record")]
pub(super) struct RecordArgs {
    /// the deployment: namhae or kiosknetz
    #[argh(option)]
    deployment: String,
    /// length of the trace in seconds (20)
    #[argh(option, default = "20")]
    seconds: u32,
    /// mean arrivals per second (20)
    #[argh(option, default = "20.0")]
    rate: f64,
    /// seed of the trace (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// file to write the trace to, instead of the standard output
    #[argh(option)]
    output: Option<PathBuf>,
}

pub(super) fn run(args: &RecordArgs) -> anyhow::Result<bool> {
    let name = &args.deployment;
    let deployment = Deployment::by_name(name)
        .with_context(|| format!("--deployment {name:?}: must be namhae or kiosknetz"))?;
    ensure!(
        args.rate > 0.0 && args.rate <= generate::MAX_ARRIVALS_PER_SECOND,
        "--rate {}: must be above 0 and at most {}",
        args.rate,
        generate::MAX_ARRIVALS_PER_SECOND
    );
    let plan = generate::Plan {
        deployment,
        seconds: args.seconds,
        rate: args.rate,
        seed: args.seed,
    };
    let text = generate::trace(&plan)?;
    match &args.output {
        Some(path) => std::fs::write(path, text).with_context(|| path.display().to_string())?,
        None => print!("{text}"),
    }
    Ok(true)
}
