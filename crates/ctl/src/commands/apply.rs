//! The `apply` command: applies the entries of declaration files to the catalogue.

mod conflict;
mod restore;
mod wait;

use std::{
    env, fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_catalogue::state::{ChangeId, Revision};
use dragonflyrill_store::catalogue_store::{
    CatalogueStore, CommitOutcome, LoadedCatalogue, Proposal,
};
use serde::Serialize;

use super::{plan, status::LaggingHost};
use crate::{
    args,
    context::Context,
    error::CtlError,
    files, host_status,
    report::{Exit, Report},
};

pub use conflict::Conflict;

/// The report of the `apply` command.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ApplyReport {
    /// The files declare nothing that is not in force already.
    Unchanged {
        /// The newest revision.
        revision: Revision,
        /// The hosts that lag at the end of the wait; empty without a wait.
        lagging: Vec<LaggingHost>,
    },
    /// The change is accepted.
    Accepted {
        /// The revision of the change.
        revision: Revision,
        /// The id of the change.
        change_id: String,
        /// The changed entries, as plain text.
        diff: String,
        /// Whether `--wait` was given.
        waited: bool,
        /// The hosts that lag at the end of the wait; empty without a wait.
        lagging: Vec<LaggingHost>,
    },
    /// Another operator changed the catalogue first. Nothing was applied.
    Conflict(Conflict),
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unchanged { revision, lagging } => {
                writeln!(f, "nothing to change at revision {}", revision.0)?;
                write_lagging(f, lagging)
            }
            Self::Accepted {
                revision,
                change_id,
                diff,
                waited,
                lagging,
            } => {
                f.write_str(diff)?;
                writeln!(f, "accepted: revision {} (change {change_id})", revision.0)?;
                if *waited && lagging.is_empty() {
                    writeln!(f, "in force on every entry host")?;
                }
                write_lagging(f, lagging)
            }
            Self::Conflict(conflict) => conflict.fmt(f),
        }
    }
}

fn write_lagging(f: &mut fmt::Formatter<'_>, lagging: &[LaggingHost]) -> fmt::Result {
    for l in lagging {
        writeln!(
            f,
            "not in force on {} ({}): {}",
            l.host, l.data_centre, l.why
        )?;
    }
    Ok(())
}

impl Report for ApplyReport {
    fn exit(&self) -> Exit {
        match self {
            Self::Unchanged { lagging, .. } | Self::Accepted { lagging, .. } => {
                if lagging.is_empty() {
                    Exit::Ok
                } else {
                    Exit::NotEverywhere
                }
            }
            Self::Conflict(_) => Exit::Conflict,
        }
    }
}

/// Runs the command.
///
/// # Errors
/// [`CtlError`] when the files are invalid, the platform failed, the store holds an older state
/// than the hosts, or the outcome is unknown.
pub async fn run(cx: &Context, cmd: &args::Apply) -> Result<ApplyReport, CtlError> {
    match cmd.restore_above {
        Some(above) => restore::run(cx, cmd, Revision(above)).await,
        None => apply(cx, cmd).await,
    }
}

async fn apply(cx: &Context, cmd: &args::Apply) -> Result<ApplyReport, CtlError> {
    let declared = files::read(&cmd.files)?;
    let change_id = change_id(cmd)?;
    let store = cx.store()?;
    let loaded = store.load(&cx.objects()?).await?;
    refuse_if_hosts_ahead(cx, loaded.catalogue.revision()).await?;
    let diff = plan::compute_diff(&loaded.catalogue, &declared, cmd.prune)?;
    if diff.is_empty() {
        let revision = loaded.catalogue.revision();
        let lagging = wait_if_requested(cx, cmd, revision).await?;
        return Ok(ApplyReport::Unchanged { revision, lagging });
    }
    let proposal = Proposal {
        base: cmd.base.map_or(loaded.catalogue.revision(), Revision),
        change_id,
        author: author(cmd),
        now_ms: now_ms(),
        puts: diff.puts(),
        deletes: diff.deletes(),
    };
    match store.commit(&proposal).await? {
        CommitOutcome::Accepted(revision) => {
            maintain(cx, &store).await?;
            report_accepted(cx, cmd, revision, &proposal.change_id, diff.to_string()).await
        }
        CommitOutcome::Conflict { head, since } => {
            let LoadedCatalogue { catalogue, .. } = store.load(&cx.objects()?).await?;
            let conflict = Conflict::new(&proposal, &head, &since, &catalogue);
            Ok(ApplyReport::Conflict(conflict))
        }
        CommitOutcome::Unknown(cause) => Err(CtlError::OutcomeUnknown {
            change_id: proposal.change_id,
            base: proposal.base,
            cause,
        }),
    }
}

/// Returns the report of an accepted change, after the wait if `--wait` is given.
async fn report_accepted(
    cx: &Context,
    cmd: &args::Apply,
    revision: Revision,
    change_id: &ChangeId,
    diff: String,
) -> Result<ApplyReport, CtlError> {
    Ok(ApplyReport::Accepted {
        revision,
        change_id: change_id.to_string(),
        diff,
        waited: cmd.wait,
        lagging: wait_if_requested(cx, cmd, revision).await?,
    })
}

/// Trims the feed of changes with a snapshot when it is long. A failure is only logged: the change
/// is accepted already, and the next apply retries the snapshot.
async fn maintain(cx: &Context, store: &CatalogueStore<Table>) -> Result<(), CtlError> {
    if let Err(e) = store.maintain(&cx.objects()?).await {
        log::warn!("ctl: the snapshot of the catalogue failed: {e}");
    }
    Ok(())
}

/// Fails when a host has a revision above `head` in force. The change would otherwise get a
/// revision under which that host knows another change, and the host would never apply it. If the
/// list of hosts can't be read, this check is skipped with a warning.
async fn refuse_if_hosts_ahead(cx: &Context, head: Revision) -> Result<(), CtlError> {
    let hosts = match host_status::query_listed(cx).await {
        Ok(hosts) => hosts,
        Err(e) => {
            log::warn!("ctl: the revisions of the entry hosts are unknown: {e}");
            return Ok(());
        }
    };
    let ahead = hosts.iter().filter(|h| h.revision() > Some(head));
    match ahead.max_by_key(|h| h.revision()) {
        None => Ok(()),
        Some(host) => Err(CtlError::HostsAhead {
            host: host.id.clone(),
            in_force: host.revision().unwrap_or_default(),
            head,
        }),
    }
}

/// Waits until `revision` is in force on all entry hosts if `--wait` is given, and returns the
/// hosts that still lag.
async fn wait_if_requested(
    cx: &Context,
    cmd: &args::Apply,
    revision: Revision,
) -> Result<Vec<LaggingHost>, CtlError> {
    if !cmd.wait {
        return Ok(Vec::new());
    }
    wait::until_in_force(cx, revision, Duration::from_secs(cmd.within)).await
}

/// The id given with `--change-id`, or else a new random id.
fn change_id(cmd: &args::Apply) -> Result<ChangeId, CtlError> {
    let raw = cmd.change_id.clone();
    let raw = raw.unwrap_or_else(|| uuid::Uuid::new_v4().to_string());
    ChangeId::try_from(raw.as_str()).map_err(|e| CtlError::Usage(e.to_string()))
}

/// The author given with `--author`, or else the user's name.
fn author(cmd: &args::Apply) -> String {
    let given = cmd.author.clone();
    given.unwrap_or_else(|| env::var("USER").unwrap_or_else(|_| "unknown".to_owned()))
}

/// The current time in ms since the epoch.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
