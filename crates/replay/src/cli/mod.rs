//! The command line.

mod load;
mod record;
mod replay;

use std::process::ExitCode;

use argh::FromArgs;

/// The exit code of a successful command: all stated outcomes of the run are kept.
pub const EXIT_KEPT: u8 = 0;
/// The exit code of a run that is invalid or has a stated outcome that is broken or unproved, and
/// of a load measurement with requests that were not sent or not answered correctly.
pub const EXIT_BROKEN: u8 = 1;
/// The exit code if the command could not be carried out with the given arguments and files.
pub const EXIT_USAGE: u8 = 2;

/// The name of the program if the operating system passes no arguments.
const PROGRAM_NAME: &str = "dragonflyrill-replay";

/// Replays recorded traces of requests and faults against stated outcomes.
///
/// Exit code 0: all outcomes kept; 1: one is broken or unproved; 2: the run could not be made.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(replay::RunArgs),
    Record(record::RecordArgs),
    Load(load::LoadArgs),
}

/// Parses the command line and runs the subcommand.
pub fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    let result = match args.command {
        Command::Run(args) => replay::run(&args),
        Command::Record(args) => record::run(&args),
        Command::Load(args) => load::run(&args),
    };
    match result {
        Ok(true) => ExitCode::from(EXIT_KEPT),
        Ok(false) => ExitCode::from(EXIT_BROKEN),
        Err(e) => {
            eprintln!("{PROGRAM_NAME}: {e:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Parses the arguments. If there is no command to run, prints the help text or the usage error and
/// returns the exit code as the error.
fn parse_args() -> Result<Args, ExitCode> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (name, rest) = args.split_first().unwrap_or((&PROGRAM_NAME, &[]));
    Args::from_args(&[name], rest).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}
