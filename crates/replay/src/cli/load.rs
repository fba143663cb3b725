//! `load`: measures the throughput and the latency that the entry host adds.

use anyhow::{Context, ensure};
use argh::FromArgs;

use crate::{
    hosts::{self, Addresses},
    load::{self, Plan, RequestSpec, cpu, direct::Chain},
};

/// Measure the latency that the entry host adds, compared with driving the same chain directly.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(super) struct LoadArgs {
    /// entry hosts of one data centre, DC=IP:PORT[,IP:PORT...]
    #[argh(option)]
    entries: String,
    /// one stage of the chain to drive directly, IP:PORT=FIRST..END; repeated for each stage, in
    /// order; if left out, only the entry host is measured
    #[argh(option)]
    chain: Vec<String>,
    /// the model
    #[argh(option)]
    model: String,
    /// the layers of the model (32)
    #[argh(option, default = "32")]
    layers: u32,
    /// requests per second of each kind (20)
    #[argh(option, default = "20.0")]
    rate: f64,
    /// length of the run in seconds (10)
    #[argh(option, default = "10")]
    seconds: u32,
    /// tokens of each prompt (64)
    #[argh(option, default = "64")]
    prompt_tokens: u32,
    /// tokens of each answer (32)
    #[argh(option, default = "32")]
    max_tokens: u32,
    /// the workspace
    #[argh(option)]
    workspace: String,
    /// the class of work (interactive)
    #[argh(option, default = "String::from(\"interactive\")")]
    class: String,
    /// maximum number of requests in flight; the run stops when it is reached (2000)
    #[argh(option, default = "2000")]
    max_in_flight: usize,
    /// process id of an entry host whose processor time is measured; may be repeated
    #[argh(option)]
    pid: Vec<u32>,
}

pub(super) fn run(args: &LoadArgs) -> anyhow::Result<bool> {
    let plan = plan(args)?;
    let before = cpu::processor_time(&args.pid)?;
    let system = actix_rt::System::new();
    let mut measured = system.block_on(load::measure(&plan));
    if !args.pid.is_empty() {
        measured.cpu = Some(cpu::processor_time(&args.pid)?.saturating_sub(before));
    }
    print!("{}", measured.table());
    Ok(measured.is_all_correct())
}

fn plan(args: &LoadArgs) -> anyhow::Result<Plan> {
    ensure!(
        args.rate.is_finite() && args.rate > 0.0,
        "--rate {}: must be above 0",
        args.rate
    );
    let mut entries = Addresses::new();
    hosts::parse_entries(&mut entries, &args.entries)?;
    let data_centre = entries.keys().next().context("--entries is empty")?;
    ensure!(args.prompt_tokens > 0, "--prompt-tokens must be above 0");
    ensure!(args.max_tokens > 0, "--max-tokens must be above 0");
    let spec = RequestSpec {
        model: args.model.clone(),
        layers: args.layers,
        prompt_tokens: args.prompt_tokens,
        max_tokens: args.max_tokens,
        workspace: args.workspace.clone(),
        class: args.class.clone(),
        data_centre: data_centre.to_string(),
    };
    let (header, template) = load::request_template(&spec)?;
    let stages: anyhow::Result<Vec<_>> = args.chain.iter().map(|s| load::parse_stage(s)).collect();
    let chain = match args.chain.is_empty() {
        true => None,
        false => Some(Chain::new(stages?, args.layers)?),
    };
    Ok(Plan {
        header,
        entries,
        chain,
        template,
        rate: args.rate,
        count: (args.rate * f64::from(args.seconds)) as usize,
        max_in_flight: args.max_in_flight,
        run_id: uuid::Uuid::new_v4().simple().to_string(),
    })
}
