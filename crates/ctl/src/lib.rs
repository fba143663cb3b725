//! The operators' program: checks, compares and applies catalogue declarations, shows which
//! revision is in force on each host, and shows from logs how a request was handled.
//!
//! [`args`] is the command line and [`commands`] has one module for each command; a command returns
//! a [`report::Report`], which [`run`] prints in the requested format and turns into an exit code.
//! The operators' page on the catalogue describes the use.

pub mod args;
pub mod commands;
pub mod context;
pub mod error;
pub mod files;
pub mod host_status;
pub mod report;

use std::io;

use args::{Args, Command};
use context::Context;
use report::Exit;

/// Runs the command of `args`, writes its report to `out` and returns the exit code.
pub async fn run(args: &Args, out: &mut dyn io::Write) -> Exit {
    let cx = Context::new(args);
    let mut printer = report::Printer::new(args.output, out);
    match &args.command {
        Command::Check(cmd) => printer.print(commands::check::run(cmd)),
        Command::Diff(cmd) => printer.print(commands::diff::run(&cx, cmd).await),
        Command::Apply(cmd) => printer.print(commands::apply::run(&cx, cmd).await),
        Command::Get(cmd) => printer.print(commands::get::run(&cx, cmd).await),
        Command::Status(cmd) => printer.print(commands::status::run(&cx, cmd).await),
        Command::Explain(cmd) => printer.print(commands::explain::run(cmd)),
        Command::Watch(cmd) => commands::watch::run(&cx, cmd, &mut printer).await,
    }
}
