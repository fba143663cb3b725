//! The `status` command: shows the revision in force in each data centre and on each host, and
//! which hosts lag and why.

use std::{collections::BTreeMap, fmt};

use dragonflyrill_catalogue::state::Revision;
use serde::Serialize;

use crate::{
    args,
    context::Context,
    error::CtlError,
    host_status::{self, EntryHost, InForce, LagCause},
    report::{Exit, Report},
};

/// Which revisions are in force in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DataCentreStatus {
    /// The data centre's name; empty for hosts whose data centre is unknown.
    pub data_centre: String,
    /// The lowest revision in force on a host that answered.
    pub lowest: Option<Revision>,
    /// The highest revision in force on a host that answered.
    pub highest: Option<Revision>,
    /// The number of hosts in the data centre.
    pub hosts: usize,
    /// The number of these hosts that have the wanted revision in force.
    pub up_to_date: usize,
}

/// The report of the `status` command.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The revision that should be in force: the store's, or the highest of any host if that is
    /// higher or the store can't be read.
    pub wanted: Revision,
    /// The store's newest revision; `None` if the store can't be read.
    pub store: Option<Revision>,
    /// Why the store can't be read.
    pub store_error: Option<String>,
    /// The state of each data centre, in order of name.
    pub data_centres: Vec<DataCentreStatus>,
    /// All queried hosts, in order of data centre and id.
    pub hosts: Vec<EntryHost>,
    /// The hosts that lag.
    pub lagging: Vec<LaggingHost>,
}

/// A host that does not have the wanted revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LaggingHost {
    /// The host's id.
    pub host: String,
    /// The host's data centre.
    pub data_centre: String,
    /// Why the host lags.
    pub why: LagCause,
}

impl StatusReport {
    /// Builds the report from the store's newest revision and the hosts' status.
    pub fn new(store: Result<Revision, CtlError>, hosts: Vec<EntryHost>) -> Self {
        let highest = hosts.iter().filter_map(EntryHost::revision).max();
        let (store, store_error) = match store {
            Ok(revision) => (Some(revision), None),
            Err(e) => (None, Some(e.to_string())),
        };
        let wanted = store.max(highest).unwrap_or_default();
        Self {
            wanted,
            store,
            store_error,
            data_centres: data_centres(wanted, &hosts),
            lagging: lagging_hosts(wanted, &hosts),
            hosts,
        }
    }

    /// Whether hosts have a newer revision in force than the store holds.
    pub fn store_is_older(&self) -> bool {
        self.store.is_some_and(|store| store < self.wanted)
    }
}

/// Returns the hosts that don't have `wanted` in force, except those that are shutting down.
pub fn lagging_hosts(wanted: Revision, hosts: &[EntryHost]) -> Vec<LaggingHost> {
    let remaining = hosts.iter().filter(|h| !h.leaving);
    let lagging = remaining.filter_map(|host| {
        Some(LaggingHost {
            host: host.id.clone(),
            data_centre: host.data_centre.clone(),
            why: host.lag(wanted)?,
        })
    });
    lagging.collect()
}

fn data_centres(wanted: Revision, hosts: &[EntryHost]) -> Vec<DataCentreStatus> {
    let mut by_name: BTreeMap<&str, Vec<&EntryHost>> = BTreeMap::new();
    for host in hosts {
        by_name.entry(&host.data_centre).or_default().push(host);
    }
    let summarize = |(name, hosts): (&str, Vec<&EntryHost>)| {
        let revisions = || hosts.iter().filter_map(|h| h.revision());
        DataCentreStatus {
            data_centre: name.to_owned(),
            lowest: revisions().min(),
            highest: revisions().max(),
            hosts: hosts.len(),
            up_to_date: hosts.iter().filter(|h| h.lag(wanted).is_none()).count(),
        }
    };
    by_name.into_iter().map(summarize).collect()
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.store, &self.store_error) {
            (Some(revision), _) => writeln!(f, "store: revision {}", revision.0)?,
            (None, Some(e)) => writeln!(f, "store: cannot be read: {e}")?,
            (None, None) => {}
        }
        if self.store_is_older() {
            writeln!(
                f,
                "ALARM: the store went back: hosts have revision {} in force",
                self.wanted.0
            )?;
        }
        for dc in &self.data_centres {
            writeln!(
                f,
                "{}: {} of {} hosts at revision {}",
                dc.data_centre, dc.up_to_date, dc.hosts, self.wanted.0
            )?;
            for host in self
                .hosts
                .iter()
                .filter(|h| h.data_centre == dc.data_centre)
            {
                write_host(f, host)?;
            }
        }
        for lagging in &self.lagging {
            let LaggingHost {
                host,
                data_centre,
                why,
            } = lagging;
            writeln!(f, "lags: {host} ({data_centre}): {why}")?;
        }
        Ok(())
    }
}

fn write_host(f: &mut fmt::Formatter<'_>, host: &EntryHost) -> fmt::Result {
    let leaving = if host.leaving { ", leaving" } else { "" };
    match &host.in_force {
        InForce::Known(s) => {
            let ready = if s.ready { "ready" } else { "not ready" };
            writeln!(
                f,
                "  {} {}: revision {} for {} ms, {ready}, {} peers, incarnation {}{leaving}",
                host.id, host.addr, s.revision.0, s.since_ms, s.peers, s.incarnation
            )
        }
        InForce::Unreachable(why) => {
            writeln!(
                f,
                "  {} {}: does not answer: {why}{leaving}",
                host.id, host.addr
            )
        }
    }
}

impl Report for StatusReport {
    fn exit(&self) -> Exit {
        if self.store.is_none() || self.store_is_older() {
            Exit::Failed
        } else if self.lagging.is_empty() {
            Exit::Ok
        } else {
            Exit::NotEverywhere
        }
    }
}

/// Runs the command.
///
/// # Errors
/// [`CtlError`] when no hosts are given and the platform's list of entry hosts can't be read.
pub async fn run(cx: &Context, cmd: &args::Status) -> Result<StatusReport, CtlError> {
    let hosts = if cmd.host.is_empty() {
        host_status::query_listed(cx).await?
    } else {
        host_status::query_at(cx, &cmd.host.iter().copied().collect()).await
    };
    Ok(StatusReport::new(store_revision(cx).await, hosts))
}

async fn store_revision(cx: &Context) -> Result<Revision, CtlError> {
    Ok(cx.store()?.read_head().await?.revision)
}
