//! The `diff` command: shows what `apply` would change.

use std::fmt;

use dragonflyrill_catalogue::{diff, entry, state::Revision};
use serde::Serialize;

use super::plan;
use crate::{
    args,
    context::Context,
    error::CtlError,
    files,
    report::{Exit, Report},
};

/// The report of the `diff` command.
#[derive(Debug, Serialize)]
pub struct Differences {
    /// The newest revision, with which the files are compared.
    pub base: Revision,
    /// Entries to create or replace.
    pub puts: Vec<entry::Entry>,
    /// Entries to remove.
    pub deletes: Vec<entry::EntryKey>,
    #[serde(skip)]
    text: String,
}

impl fmt::Display for Differences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.text.is_empty() {
            return write!(f, "no difference to revision {}", self.base.0);
        }
        writeln!(f, "against revision {}:", self.base.0)?;
        f.write_str(&self.text)
    }
}

impl Report for Differences {
    fn exit(&self) -> Exit {
        Exit::Ok
    }
}

impl Differences {
    fn new(base: Revision, diff: &diff::Diff) -> Self {
        Self {
            base,
            puts: diff.puts(),
            deletes: diff.deletes(),
            text: diff.to_string(),
        }
    }
}

/// Runs the command.
///
/// # Errors
/// [`CtlError`] when the files are invalid or the catalogue can't be read.
pub async fn run(cx: &Context, cmd: &args::Diff) -> Result<Differences, CtlError> {
    let declared = files::read(&cmd.files)?;
    let loaded = cx.store()?.load(&cx.objects()?).await?;
    let diff = plan::compute_diff(&loaded.catalogue, &declared, cmd.prune)?;
    Ok(Differences::new(loaded.catalogue.revision(), &diff))
}
