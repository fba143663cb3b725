//! The `watch` command: prints changes as they are accepted.

use std::{fmt, time::Duration};

use actix_rt::time;
use dragonflyrill_adapter::store::Table;
use dragonflyrill_catalogue::{
    render,
    state::{Change, Revision},
};
use dragonflyrill_store::catalogue_store::{CatalogueStore, StoreError};
use serde::Serialize;

use crate::{
    args,
    context::Context,
    error::CtlError,
    report::{Exit, Printer, Report},
};

/// One accepted change.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct AcceptedChange(pub Change);

impl fmt::Display for AcceptedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = &self.0;
        writeln!(
            f,
            "revision {} by {} (change {})",
            change.revision.0, change.author, change.change_id
        )?;
        for entry in &change.puts {
            writeln!(f, "  set [{}]", render::section(&entry.key()))?;
        }
        for key in &change.deletes {
            writeln!(f, "  removed [{}]", render::section(key))?;
        }
        Ok(())
    }
}

impl Report for AcceptedChange {
    fn exit(&self) -> Exit {
        Exit::Ok
    }
}

/// Runs the command until the requested number of changes is printed, or without end if there is no
/// such number.
///
/// Polls that fail because the platform is unavailable are retried; a store that holds an older
/// state than before ends the command with an error.
pub async fn run(cx: &Context, cmd: &args::Watch, printer: &mut Printer<'_>) -> Exit {
    match watch(cx, cmd, printer).await {
        Ok(()) => Exit::Ok,
        Err(e) => printer.print::<AcceptedChange>(Err(e)),
    }
}

async fn watch(cx: &Context, cmd: &args::Watch, printer: &mut Printer<'_>) -> Result<(), CtlError> {
    let store = cx.store()?;
    let mut after = match cmd.after {
        Some(revision) => Revision(revision),
        None => store.read_head().await?.revision,
    };
    let mut remaining = cmd.changes;
    while remaining != Some(0) {
        for change in poll_changes(&store, after).await? {
            after = change.revision;
            printer.print(Ok(AcceptedChange(change)));
            remaining = remaining.map(|n| n.saturating_sub(1));
            if remaining == Some(0) {
                return Ok(());
            }
        }
        time::sleep(Duration::from_millis(cmd.every_ms)).await;
    }
    Ok(())
}

/// Returns the changes after revision `after`; none while the platform is unavailable.
async fn poll_changes(
    store: &CatalogueStore<Table>,
    after: Revision,
) -> Result<Vec<Change>, CtlError> {
    let head = match store.read_head().await {
        Ok(head) => head,
        Err(StoreError::Platform(e)) if e.is_transient() => {
            log::warn!("ctl: {e}");
            return Ok(Vec::new());
        }
        Err(e) => return Err(e.into()),
    };
    if head.revision <= after {
        return Ok(Vec::new());
    }
    match store.read_changes(after).await {
        Err(StoreError::Platform(e)) if e.is_transient() => {
            log::warn!("ctl: {e}");
            Ok(Vec::new())
        }
        // The changes after `after` were trimmed, or skipped by a restoration of the store:
        // continue with the newest change.
        Err(StoreError::Missing { after }) => {
            log::warn!("ctl: changes after revision {} are not kept", after.0);
            let before = head.revision.0.saturating_sub(1);
            Ok(store.read_changes(Revision(before)).await?)
        }
        changes => Ok(changes?),
    }
}
