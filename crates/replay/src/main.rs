//! The `dragonflyrill-replay` program. The library documents what it does.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    dragonflyrill_replay::cli::main()
}
