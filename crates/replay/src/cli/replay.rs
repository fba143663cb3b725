//! `run`: replays a trace and prints the verdict.

use std::{
    fs,
    io::{self, IsTerminal},
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use anyhow::{Context, ensure};
use argh::FromArgs;
use indicatif::ProgressBar;

use crate::{
    faults::FaultInjector,
    hosts::{self, Addresses},
    judge::{self, Evidence},
    ledger::Ledgers,
    report::{Report, markdown},
    run,
    targets::Targets,
    trace::Trace,
};

/// Replay a trace and print the verdict.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(super) struct RunArgs {
    /// the trace, JSON Lines
    #[argh(positional)]
    trace: PathBuf,
    /// entry hosts of one data centre, DC=IP:PORT[,IP:PORT...]; may be repeated
    #[argh(option)]
    entries: Vec<String>,
    /// INI file with the addresses of the engines, services and other processes, for reading
    /// ledgers and injecting faults
    #[argh(option)]
    targets: Option<PathBuf>,
    /// file or FIFO to which signals are written as lines "SIGNAL TARGET"
    #[argh(option)]
    orders: Option<PathBuf>,
    /// how many times faster than recorded (1)
    #[argh(option, default = "1.0")]
    speed: f64,
    /// maximum number of retries of one request (3)
    #[argh(option, default = "3")]
    retries: u32,
    /// maximum number of requests in flight; the run stops when it is reached (2000)
    #[argh(option, default = "2000")]
    max_in_flight: usize,
    /// seed of the balancer's choices (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// prefix of every idempotency key (random)
    #[argh(option)]
    run_id: Option<String>,
    /// pause before the ledgers are read, in milliseconds (1000)
    #[argh(option, default = "1000")]
    settle_ms: u64,
    /// file to write the report to as JSON
    #[argh(option)]
    report_json: Option<PathBuf>,
    /// file to write the report to as Markdown
    #[argh(option)]
    report: Option<PathBuf>,
}

pub(super) fn run(args: &RunArgs) -> anyhow::Result<bool> {
    let name = args.trace.display().to_string();
    let text = fs::read_to_string(&args.trace).with_context(|| name.clone())?;
    let trace = Rc::new(Trace::parse(&name, &text)?);
    let options = options(args)?;
    let targets = match &args.targets {
        Some(path) => Targets::read(path)?,
        None => Targets::default(),
    };
    let injector = FaultInjector::new(targets, args.orders.as_deref(), &trace.faults)?;
    let system = actix_rt::System::new();
    let report = system.block_on(replay(args, &trace, &options, &injector));
    let text = markdown::report(&report);
    print!("{text}");
    write(args.report.as_deref(), &text)?;
    write(
        args.report_json.as_deref(),
        &serde_json::to_string_pretty(&report)?,
    )?;
    Ok(report.verdict.kept)
}

async fn replay(
    args: &RunArgs,
    trace: &Rc<Trace>,
    options: &run::Options,
    injector: &FaultInjector,
) -> Report {
    let bar = progress_bar(trace.arrivals.len());
    let run_result = run::run(trace, options, injector, |n| bar.set_position(n as u64)).await;
    bar.finish_and_clear();
    actix_rt::time::sleep(Duration::from_millis(args.settle_ms)).await;
    let http = run::http_client(1);
    let ledgers = Ledgers::fetch(&http, &injector.targets, &trace.faults).await;
    let evidence = Evidence {
        trace,
        run_result: &run_result,
        ledgers: &ledgers,
    };
    Report::new(evidence, judge::judge(evidence), args.speed)
}

fn options(args: &RunArgs) -> anyhow::Result<run::Options> {
    let mut entries = Addresses::new();
    for text in &args.entries {
        hosts::parse_entries(&mut entries, text)?;
    }
    ensure!(!entries.is_empty(), "--entries is needed");
    ensure!(
        args.speed.is_finite() && args.speed > 0.0,
        "--speed {}: must be above 0",
        args.speed
    );
    let run_id = match &args.run_id {
        Some(id) => id.clone(),
        None => uuid::Uuid::new_v4().simple().to_string(),
    };
    let is_valid = run_id.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    ensure!(
        is_valid,
        "--run-id {run_id:?}: must be visible ASCII without '/'"
    );
    Ok(run::Options {
        speed: args.speed,
        entries,
        retries: args.retries,
        max_in_flight: args.max_in_flight,
        seed: args.seed,
        run_id,
    })
}

/// A progress bar if the standard error stream is a terminal, otherwise a hidden one.
fn progress_bar(len: usize) -> ProgressBar {
    if io::stderr().is_terminal() {
        return ProgressBar::new(len as u64);
    }
    ProgressBar::hidden()
}

/// Writes `text` to `path`, if one is given.
fn write(path: Option<&Path>, text: &str) -> anyhow::Result<()> {
    let Some(path) = path else {
        return Ok(());
    };
    fs::write(path, text).with_context(|| path.display().to_string())
}
