//! The `dragonflyrillctl` binary; the commands are in the library of this crate.

use std::{env, io, process};

use dragonflyrill_ctl::{args, report::Exit};

fn main() {
    let env = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(env).init();
    let command_line: Vec<String> = env::args().collect();
    let exit = match args::Args::parse(&command_line) {
        Ok(args) => {
            let mut out = io::stdout();
            let run = dragonflyrill_ctl::run(&args, &mut out);
            actix_rt::System::new().block_on(run)
        }
        Err(args::EarlyExit::Help(text)) => {
            println!("{text}");
            Exit::Ok
        }
        Err(args::EarlyExit::Usage(text)) => {
            eprintln!("{text}");
            Exit::Invalid
        }
    };
    process::exit(exit.code());
}
