//! `apply`: makes the entries of the files the ones in force.

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

use super::{status::Lagging, wanted};
use crate::{
    args,
    context::Context,
    error::CtlError,
    files, host_status,
    report::{Exit, Report},
};

pub use conflict::Conflict;

/// How an apply ended.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Applied {
    /// The files ask for nothing that is not in force already.
    Unchanged {
        /// The newest revision.
        revision: Revision,
        /// Who lags after the wait; empty without one.
        lagging: Vec<Lagging>,
    },
    /// The change has this revision.
    Accepted {
        /// Its revision.
        revision: Revision,
        /// Its id.
        change_id: String,
        /// What changed, to read.
        diff: String,
        /// Whether it was waited for.
        waited: bool,
        /// Who lags after the wait; empty without one.
        lagging: Vec<Lagging>,
    },
    /// Another operator was faster. Nothing was changed.
    Conflict(Conflict),
}

impl fmt::Display for Applied {
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

fn write_lagging(f: &mut fmt::Formatter<'_>, lagging: &[Lagging]) -> fmt::Result {
    for l in lagging {
        writeln!(
            f,
            "not in force on {} ({}): {}",
            l.host, l.data_centre, l.why
        )?;
    }
    Ok(())
}

impl Report for Applied {
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
/// [`CtlError`] when the files are wrong, the platform failed, the store went back, or the
/// outcome is unknown.
pub async fn run(cx: &Context, cmd: &args::Apply) -> Result<Applied, CtlError> {
    match cmd.restore_above {
        Some(above) => restore::run(cx, cmd, Revision(above)).await,
        None => apply(cx, cmd).await,
    }
}

async fn apply(cx: &Context, cmd: &args::Apply) -> Result<Applied, CtlError> {
    let declared = files::read(&cmd.files)?;
    let change_id = change_id(cmd)?;
    let store = cx.store()?;
    let loaded = store.load(&cx.objects()?).await?;
    refuse_hosts_above(cx, loaded.catalogue.revision()).await?;
    let diff = wanted::change(&loaded.catalogue, &declared, cmd.prune)?;
    if diff.is_empty() {
        let revision = loaded.catalogue.revision();
        let lagging = wait_for(cx, cmd, revision).await?;
        return Ok(Applied::Unchanged { revision, lagging });
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
            accepted(cx, cmd, revision, &proposal.change_id, diff.to_string()).await
        }
        CommitOutcome::Conflict { head, since } => {
            let LoadedCatalogue { catalogue, .. } = store.load(&cx.objects()?).await?;
            let conflict = Conflict::new(&proposal, &head, &since, &catalogue);
            Ok(Applied::Conflict(conflict))
        }
        CommitOutcome::Unknown(cause) => Err(CtlError::Unknown {
            change_id: proposal.change_id,
            base: proposal.base,
            cause,
        }),
    }
}

/// The report of an accepted change, after the wait if one is asked for.
async fn accepted(
    cx: &Context,
    cmd: &args::Apply,
    revision: Revision,
    change_id: &ChangeId,
    diff: String,
) -> Result<Applied, CtlError> {
    Ok(Applied::Accepted {
        revision,
        change_id: change_id.to_string(),
        diff,
        waited: cmd.wait,
        lagging: wait_for(cx, cmd, revision).await?,
    })
}

/// Keeps the feed of changes short. The change is accepted already, so a failure only means that
/// the next apply does it.
async fn maintain(cx: &Context, store: &CatalogueStore<Table>) -> Result<(), CtlError> {
    if let Err(e) = store.maintain(&cx.objects()?).await {
        log::warn!("ctl: no snapshot was made: {e}");
    }
    Ok(())
}

/// Stops when a host has a newer revision in force than the store: the change would get a number
/// that hosts know as another change, and they would never take it.
async fn refuse_hosts_above(cx: &Context, head: Revision) -> Result<(), CtlError> {
    let hosts = match host_status::listed(cx).await {
        Ok(hosts) => hosts,
        Err(e) => {
            log::warn!("ctl: entry hosts can't be asked for their revision: {e}");
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

async fn wait_for(
    cx: &Context,
    cmd: &args::Apply,
    revision: Revision,
) -> Result<Vec<Lagging>, CtlError> {
    if !cmd.wait {
        return Ok(Vec::new());
    }
    wait::in_force(cx, revision, Duration::from_secs(cmd.within)).await
}

fn change_id(cmd: &args::Apply) -> Result<ChangeId, CtlError> {
    let raw = cmd.change_id.clone();
    let raw = raw.unwrap_or_else(|| uuid::Uuid::new_v4().to_string());
    ChangeId::try_from(raw.as_str()).map_err(|e| CtlError::Usage(e.to_string()))
}

fn author(cmd: &args::Apply) -> String {
    let given = cmd.author.clone();
    given.unwrap_or_else(|| env::var("USER").unwrap_or_else(|_| "unknown".to_owned()))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
