//! `apply --restore-above`: brings a store that went back forward again.

use dragonflyrill_catalogue::{diff, state::Revision, validate};
use dragonflyrill_store::catalogue_store::{CommitOutcome, Restoration};

use super::{Applied, Conflict, accepted, author, change_id, now_ms, refuse_hosts_above};
use crate::{args, context::Context, error::CtlError, files};

/// Declares the files as the whole catalogue, above `above`.
///
/// # Errors
/// [`CtlError`] when the files are not a whole catalogue, a host is above `above`, the platform
/// failed, or the outcome is unknown.
pub(super) async fn run(
    cx: &Context,
    cmd: &args::Apply,
    above: Revision,
) -> Result<Applied, CtlError> {
    let declared = files::read(&cmd.files)?;
    validate::check(declared.entries()).map_err(|mut faults| {
        declared.locate(&mut faults.0);
        faults
    })?;
    refuse_hosts_above(cx, above).await?;
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
            accepted(cx, cmd, revision, id, diff.to_string()).await
        }
        CommitOutcome::Conflict { head, .. } => {
            Ok(Applied::Conflict(Conflict::of_restore(above, &head)))
        }
        CommitOutcome::Unknown(cause) => Err(CtlError::Unknown {
            change_id: restoration.change_id,
            base: above,
            cause,
        }),
    }
}
