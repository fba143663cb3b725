//! Runs a review case against the project's own programs: `review-standins CASE RECORD`.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod callers;
mod deployment;
mod endpoints;
mod hosts;
mod http;
mod json;
mod record;
mod scenarios;
mod store;

use std::{env, io, path::Path, process::ExitCode, sync::Arc};

use record::Record;
use scenarios::Outcome;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match &args[..] {
        [_, case, record] => run(case, Path::new(record), trouble),
        _ => Err(io::Error::other("usage: review-standins CASE RECORD")),
    };
    match outcome {
        Ok(Outcome::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            println!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, record: &Path, trouble: bool) -> io::Result<Outcome> {
    let record = Arc::new(Record::create(record)?);
    record.announce(&format!("case {case}, trouble: {trouble}"));
    match case {
        "store-restored" => scenarios::store_restored::run(record, trouble),
        "left-server" => scenarios::left_server::run(record, trouble),
        "stale-list" => scenarios::stale_list::run(record, trouble),
        "foreign-entries" => scenarios::foreign_entries::run(record, trouble),
        _ => Err(io::Error::other(format!("unknown case {case:?}"))),
    }
}
