//! The program of an entry host.

#![deny(clippy::disallowed_methods)]

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;
use dragonflyrill_entry::{
    host::Host,
    node::Node,
    serve,
    settings::{SettingError, Settings, Spans},
};
use dragonflyrill_telemetry::{logs, spans};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Routes callers' requests to chains of endpoints and plain services.
#[derive(argh::FromArgs)]
struct Args {
    /// the settings file
    #[argh(positional)]
    settings: PathBuf,
    /// only check the settings file
    #[argh(switch)]
    check: bool,
}

/// The exit code for settings that can't be used.
const EXIT_BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    logs::init();
    let args: Args = argh::from_env();
    let settings = match Settings::read(&args.settings) {
        Ok(settings) => settings,
        Err(errors) => return reject_settings(&errors),
    };
    if args.check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    // Dropped at the end of `main`, so that the last spans are exported.
    let _spans = match open_spans(&settings) {
        Ok(guard) => guard,
        Err(e) => {
            log::error!("spans: {} can't be used: {e}.", settings.host);
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match actix_rt::System::new().block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("entry: {e:#}.");
            ExitCode::FAILURE
        }
    }
}

fn reject_settings(errors: &[SettingError]) -> ExitCode {
    for e in errors {
        eprintln!("{e}");
    }
    ExitCode::from(EXIT_BAD_SETTINGS)
}

fn open_spans(settings: &Settings) -> io::Result<Option<spans::ExportGuard>> {
    let service = settings.host.as_str();
    match &settings.spans {
        Spans::Off => {
            spans::disable();
            Ok(None)
        }
        Spans::File(path) => spans::to_file(service, Path::new(path)).map(Some),
        Spans::Otlp(addr) => spans::to_collector(service, *addr).map(Some),
    }
}

async fn run(settings: Settings) -> anyhow::Result<()> {
    // Installed first: without a handler, a signal ends the process.
    let signals = Signals::install()?;
    let node = Node::start(settings).await?;
    wait_for_shutdown(&node.host, signals).await;
    node.stop();
    Ok(())
}

/// The signals that a host handles.
struct Signals {
    reload: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> anyhow::Result<Self> {
        Ok(Self {
            reload: signal(SignalKind::hangup()).context("SIGHUP can't be watched")?,
            terminate: signal(SignalKind::terminate()).context("SIGTERM can't be watched")?,
            interrupt: signal(SignalKind::interrupt()).context("SIGINT can't be watched")?,
        })
    }
}

/// Waits for SIGTERM or SIGINT, then drains; a second signal ends the drain. SIGHUP has no effect.
async fn wait_for_shutdown(host: &Host, signals: Signals) {
    let Signals {
        mut reload,
        mut terminate,
        mut interrupt,
    } = signals;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => log::info!("entry: Settings are read only at startup."),
        }
    }
    let left = tokio::select! {
        left = serve::drain(host) => left,
        _ = terminate.recv() => host.requests.borrow().running(),
        _ = interrupt.recv() => host.requests.borrow().running(),
    };
    match left {
        0 => log::info!("drain: Done; nothing was cut off."),
        left => log::warn!("drain: Ended; {left} running requests are cut off."),
    }
}
