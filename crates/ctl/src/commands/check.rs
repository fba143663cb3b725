//! The `check` command: checks declaration files without the platform.

use std::fmt;

use dragonflyrill_catalogue::validate;
use serde::Serialize;

use crate::{
    args,
    error::CtlError,
    files,
    report::{Exit, Report},
};

/// The report of the `check` command when no fault was found.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    /// The number of files read.
    pub files: usize,
    /// The number of entries that the files declare.
    pub entries: usize,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} entries in {} files: ok", self.entries, self.files)
    }
}

impl Report for CheckReport {
    fn exit(&self) -> Exit {
        Exit::Ok
    }
}

/// Runs the command.
///
/// # Errors
/// [`CtlError::Invalid`] with all faults found.
pub fn run(cmd: &args::Check) -> Result<CheckReport, CtlError> {
    let declared = files::read(&cmd.files)?;
    if !cmd.partial {
        let checked = validate::check(declared.entries());
        checked.map_err(|mut faults| {
            declared.locate(&mut faults.0);
            faults
        })?;
    }
    Ok(CheckReport {
        files: cmd.files.len(),
        entries: declared.len(),
    })
}
