//! `apply --restore-above`: raises the revision of a store that holds an older state than the
//! hosts.

use dragonflyrill_catalogue::{diff, state::Revision, validate};
use dragonflyrill_store::catalogue_store::{CommitOutcome, Restoration};

use super::{
    ApplyReport, Conflict, author, change_id, now_ms, refuse_if_hosts_ahead, report_accepted,
};
use crate::{args, context::Context, error::CtlError, files};

/// Commits the files as the complete catalogue, at a revision above `above`.
///
/// # Errors
/// [`CtlError`] when the files are not a complete catalogue, a host has a revision above `above` in
/// force, the platform failed, or the outcome is unknown.
pub(super) async fn run(
    cx: &Context,
    cmd: &args::Apply,
    above: Revision,
) -> Result<ApplyReport, CtlError> {
    let declared = files::read(&cmd.files)?;
    validate::check(declared.entries()).map_err(|mut faults| {
        declared.locate(&mut faults.0);
        faults
    })?;
    refuse_if_hosts_ahead(cx, above).await?;
    let restoration = Restoration {
        above,
        change_id: change_id(cmd)?,
        author: author(cmd),
        now_ms: now_ms(),
        entries: declared.entries().cloned().collect(),
    };
    let store = cx.store()?;
    match store.restore(&cx.objects()?, &restoration).await? {
        CommitOutcome::Accepted(revision) => {
            let created = restoration.entries.iter().cloned();
            let diff = diff::Diff(created.map(diff::Difference::Created).collect());
            let id = &restoration.change_id;
            report_accepted(cx, cmd, revision, id, diff.to_string()).await
        }
        CommitOutcome::Conflict { head, .. } => Ok(ApplyReport::Conflict(
            Conflict::during_restore(above, &head),
        )),
        CommitOutcome::Unknown(cause) => Err(CtlError::OutcomeUnknown {
            change_id: restoration.change_id,
            base: above,
            cause,
        }),
    }
}
