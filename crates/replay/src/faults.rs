//! Injects the faults of a trace.
//!
//! Bodies are posted directly to the stand-in. This program neither starts nor signals processes:
//! it writes each signal as one line, `SIGNAL TARGET`, to the orders file. This is a FIFO or a
//! plain file, and the program that started the processes reads it and delivers the signals.

use std::{fs, io::Write, path::Path, time::Duration};

use actix_rt::time::{self, Instant};
use anyhow::{Context, bail};

use crate::{
    targets::Targets,
    trace::{Fault, checked::Action},
};

/// The timeout of posting a fault to a stand-in.
const POST_TIMEOUT: Duration = Duration::from_secs(5);

/// Injects faults into the targets.
#[derive(Debug, Default)]
pub struct FaultInjector {
    /// The addresses of the targets by name.
    pub targets: Targets,
    /// The orders file, to which signals are written.
    pub orders: Option<fs::File>,
}

/// The result of injecting one fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultResult {
    /// The id of the fault.
    pub id: String,
    /// When the injection started, since the start of the run.
    pub at: Duration,
    /// Why the fault was not injected; `None` if it was.
    pub error: Option<String>,
}

impl FaultInjector {
    /// Opens the orders file. Fails if a fault of `faults` names an unknown target, or is a signal
    /// while there is no orders file.
    pub fn new(targets: Targets, orders: Option<&Path>, faults: &[Fault]) -> anyhow::Result<Self> {
        for fault in faults {
            let Fault { id, target, .. } = fault;
            if targets.get(target).is_none() {
                bail!("fault {id}: target {target} does not stand in the targets file");
            }
            if matches!(fault.action, Action::Signal(_)) && orders.is_none() {
                bail!("fault {id}: signals need --orders");
            }
        }
        let orders = orders.map(open_orders).transpose()?;
        Ok(Self { targets, orders })
    }

    async fn inject(&self, http: &awc::Client, fault: &Fault) -> anyhow::Result<()> {
        match &fault.action {
            Action::Signal(signal) => {
                let mut orders = self.orders.as_ref().context("no orders file")?;
                let line = format!("{} {}\n", signal.as_str(), fault.target);
                orders.write_all(line.as_bytes())?;
                Ok(())
            }
            Action::Post(post) => {
                let target = self.targets.get(&fault.target).context("unknown target")?;
                let uri = format!("http://{}{}", target.address, post.path);
                let req = http.post(uri).timeout(POST_TIMEOUT);
                let sent = req.send_json(&post.body).await;
                let res = sent.map_err(|e| anyhow::anyhow!("{e}"))?;
                anyhow::ensure!(res.status().is_success(), "status {}", res.status());
                Ok(())
            }
        }
    }
}

/// Opens the orders file for writing and also for reading, so that a FIFO without another reader
/// blocks neither the opening nor the run.
fn open_orders(path: &Path) -> anyhow::Result<fs::File> {
    let file = fs::OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(path);
    file.with_context(|| format!("--orders {}", path.display()))
}

/// Injects `faults`, which must be ordered by time, each at its time after `origin` divided by
/// `speed`.
pub async fn run(
    injector: &FaultInjector,
    http: &awc::Client,
    faults: &[Fault],
    origin: Instant,
    speed: f64,
) -> Vec<FaultResult> {
    let mut all = Vec::with_capacity(faults.len());
    for fault in faults {
        time::sleep_until(origin + fault.at.div_f64(speed)).await;
        let at = origin.elapsed();
        let outcome = injector.inject(http, fault).await;
        let error = outcome.err().map(|e| format!("{e:#}"));
        match &error {
            None => log::info!("faults: injected {} into {}", fault.id, fault.target),
            Some(e) => log::error!(
                "faults: failed to inject {} into {}: {e}",
                fault.id,
                fault.target
            ),
        }
        let id = fault.id.clone();
        all.push(FaultResult { id, at, error });
    }
    all
}
