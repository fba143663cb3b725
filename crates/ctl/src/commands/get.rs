//! The `get` command: prints the entries in force.

use std::fmt;

use dragonflyrill_catalogue::{entry::Entry, render, state::Revision};
use serde::Serialize;

use crate::{
    args,
    context::Context,
    error::CtlError,
    report::{Exit, Report},
};

/// The report of the `get` command.
#[derive(Debug, Serialize)]
pub struct Entries {
    /// The newest revision.
    pub revision: Revision,
    /// The id of the change that led to this revision.
    pub change_id: String,
    /// The selected entries, in key order.
    pub entries: Vec<Entry>,
}

/// The plain form is a declaration file. A comment has the revision, for `apply --base`.
impl fmt::Display for Entries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "; revision {}", self.revision.0)?;
        if self.entries.is_empty() {
            return Ok(());
        }
        writeln!(f)?;
        f.write_str(&render::file(&self.entries))
    }
}

impl Report for Entries {
    fn exit(&self) -> Exit {
        Exit::Ok
    }
}

/// Runs the command.
///
/// # Errors
/// [`CtlError`] when the catalogue can't be read or has no entry of a section in `cmd`.
pub async fn run(cx: &Context, cmd: &args::Get) -> Result<Entries, CtlError> {
    let loaded = cx.store()?.load(&cx.objects()?).await?;
    let all: Vec<Entry> = loaded.catalogue.entries().cloned().collect();
    for section in &cmd.sections {
        if !all.iter().any(|e| is_section(e, section)) {
            return Err(CtlError::Usage(format!("no entry [{section}] is in force")));
        }
    }
    let selected =
        |e: &Entry| cmd.sections.is_empty() || cmd.sections.iter().any(|s| is_section(e, s));
    Ok(Entries {
        revision: loaded.catalogue.revision(),
        change_id: loaded.change_id,
        entries: all.into_iter().filter(selected).collect(),
    })
}

fn is_section(entry: &Entry, section: &str) -> bool {
    render::section(&entry.key()) == section
}
