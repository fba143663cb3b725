//! The reports of the commands, their output formats and the exit codes.

use std::{fmt, io};

use serde::Serialize;

use crate::{args::Output, error::CtlError};

/// The program's exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Ok,
    /// The platform or a host failed, or the outcome is unknown.
    Failed,
    /// The command line or the declarations are invalid.
    Invalid,
    /// Another operator changed the catalogue first.
    Conflict,
    /// The change is accepted, but not in force on every entry host at the end of the wait.
    NotEverywhere,
}

impl Exit {
    /// The process exit code.
    pub fn code(self) -> i32 {
        match self {
            Self::Ok => 0,
            Self::Failed => 1,
            Self::Invalid => 2,
            Self::Conflict => 3,
            Self::NotEverywhere => 4,
        }
    }
}

/// The result of a command: `Display` is the plain format, `Serialize` the JSON format.
pub trait Report: fmt::Display + Serialize {
    /// The exit code that belongs to the result.
    fn exit(&self) -> Exit;
}

/// Writes reports in the requested format.
pub struct Printer<'a> {
    output: Output,
    out: &'a mut dyn io::Write,
}

impl<'a> Printer<'a> {
    /// Creates a printer that writes to `out`.
    pub fn new(output: Output, out: &'a mut dyn io::Write) -> Self {
        Self { output, out }
    }

    /// Writes a report or an error and returns its exit code, or [`Exit::Failed`] if it can't be
    /// written.
    pub fn print<R: Report>(&mut self, result: Result<R, CtlError>) -> Exit {
        match result {
            Ok(report) => self.write(&report),
            Err(e) => self.write(&e),
        }
    }

    fn write(&mut self, report: &impl Report) -> Exit {
        let written = match self.output {
            Output::Plain => self.write_plain(report),
            Output::Json => self.write_json(report),
        };
        match written {
            Ok(()) => report.exit(),
            Err(e) => {
                log::error!("ctl: cannot write the report: {e}");
                Exit::Failed
            }
        }
    }

    fn write_plain(&mut self, report: &impl Report) -> io::Result<()> {
        let text = report.to_string();
        self.out.write_all(text.as_bytes())?;
        if !text.is_empty() && !text.ends_with('\n') {
            self.out.write_all(b"\n")?;
        }
        self.out.flush()
    }

    fn write_json(&mut self, report: &impl Report) -> io::Result<()> {
        serde_json::to_writer(&mut *self.out, report)?;
        self.out.write_all(b"\n")?;
        self.out.flush()
    }
}
