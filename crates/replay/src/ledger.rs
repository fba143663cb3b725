//! The ledgers of engines and services, in which they record the work that they ran.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use actix_rt::time;
use anyhow::ensure;
use dragonflyrill_engines::wire::Layers;
use futures_util::future;
use serde::{Deserialize, de::DeserializeOwned};

use crate::{
    targets::{Role, Targets},
    trace::{Fault, checked::Action, checked::Signal},
};

/// The timeout of the response head and again of the body of a ledger.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum size of a ledger.
const MAX_LEDGER_BYTES: usize = 1 << 30;

/// One step that an engine ran.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineEntry {
    /// The id of the request, `WORKSPACE/KEY`.
    pub request: String,
    /// The number of the attempt.
    pub attempt: u32,
    /// The layers that the step ran.
    pub layers: Layers,
    /// The first position that the step ran.
    pub start: u32,
    /// The number of positions that the step ran.
    pub count: u32,
}

/// The calls with one idempotency key that a service ran.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ServiceEntry {
    /// The idempotency key, with or without the workspace: `WORKSPACE/KEY` or `KEY`.
    pub key: String,
    /// The path of the last call.
    pub path: String,
    /// How often a call with this key ran.
    pub count: u64,
}

/// The ledger of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger<E> {
    /// The endpoint's name in the targets file.
    pub endpoint: String,
    /// The entries of the ledger.
    pub entries: Vec<E>,
}

/// The ledgers of all endpoints, as far as they could be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledgers {
    /// The ledgers of the engines.
    pub engines: Vec<Ledger<EngineEntry>>,
    /// The ledgers of the services.
    pub services: Vec<Ledger<ServiceEntry>>,
    /// The reasons why entries of engines may be missing. If this is not empty, a missing entry
    /// does not prove that work did not run.
    pub engine_gaps: BTreeSet<String>,
    /// The reasons why entries of services may be missing.
    pub service_gaps: BTreeSet<String>,
}

impl Ledgers {
    /// Reads the ledgers of all engines and services of `targets`.
    ///
    /// A stand-in keeps its ledger in memory, so each fault that terminates one adds a gap.
    pub async fn fetch(http: &awc::Client, targets: &Targets, faults: &[Fault]) -> Self {
        let (engines, engine_gaps) = fetch_by_role(http, targets, faults, Role::Engine).await;
        let (services, service_gaps) = fetch_by_role(http, targets, faults, Role::Service).await;
        Self {
            engines,
            services,
            engine_gaps,
            service_gaps,
        }
    }

    /// The gaps of engines and services.
    pub fn gaps(&self) -> BTreeSet<String> {
        &self.engine_gaps | &self.service_gaps
    }
}

/// The gap that `fault` leaves in the ledgers of `role`, if it terminates a target of that role.
fn gap_from_fault(targets: &Targets, fault: &Fault, role: Role) -> Option<String> {
    let terminates = matches!(fault.action, Action::Signal(Signal::Kill | Signal::Term));
    let has_role = targets.get(&fault.target)?.role == role;
    (terminates && has_role)
        .then(|| format!("{} was ended and may have lost its ledger", fault.target))
}

/// Reads the ledgers of the targets of `role`. Returns them and their gaps.
async fn fetch_by_role<E: DeserializeOwned>(
    http: &awc::Client,
    targets: &Targets,
    faults: &[Fault],
    role: Role,
) -> (Vec<Ledger<E>>, BTreeSet<String>) {
    let from_faults = faults
        .iter()
        .filter_map(|f| gap_from_fault(targets, f, role));
    let mut gaps: BTreeSet<String> = from_faults.collect();
    if targets.of_role(role).next().is_none() {
        gaps.insert(format!("the targets file has no {role}"));
    }
    let reads = targets.of_role(role).map(async |(name, target)| {
        let entries = fetch_one(http, target.address).await;
        (name.to_owned(), entries)
    });
    let mut ledgers = Vec::new();
    for (endpoint, entries) in future::join_all(reads).await {
        match entries {
            Ok(entries) => ledgers.push(Ledger { endpoint, entries }),
            Err(e) => {
                gaps.insert(format!("the ledger of {endpoint} could not be read: {e:#}"));
            }
        }
    }
    (ledgers, gaps)
}

/// Reads the ledger of the endpoint at `addr`.
async fn fetch_one<E: DeserializeOwned>(
    http: &awc::Client,
    addr: SocketAddr,
) -> anyhow::Result<Vec<E>> {
    let req = http
        .get(format!("http://{addr}/standin/ledger"))
        .timeout(READ_TIMEOUT);
    let mut res = req.send().await.map_err(|e| anyhow::anyhow!("{e}"))?;
    ensure!(res.status().is_success(), "status {}", res.status());
    let body = time::timeout(READ_TIMEOUT, res.body().limit(MAX_LEDGER_BYTES)).await?;
    let body = body.map_err(|e| anyhow::anyhow!("{e}"))?;
    parse(&body)
}

/// Parses a ledger, which is a JSON array or has one JSON object per line.
pub fn parse<E: DeserializeOwned>(body: &[u8]) -> anyhow::Result<Vec<E>> {
    if body.trim_ascii_start().starts_with(b"[") {
        return Ok(serde_json::from_slice(body)?);
    }
    let entries = serde_json::Deserializer::from_slice(body).into_iter();
    Ok(entries.collect::<Result<_, _>>()?)
}
