//! `dragonflyrill-model`: searches the specifications of the core protocol exhaustively.

use std::process;

use argh::FromArgs;
use dragonflyrill_model::{
    checker::{Bound, Verdict},
    report::{self, CaseResult, NAMES, Size},
};

/// Search the specifications of the core protocol exhaustively.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
}

/// Check that each specification holds, and that each mutation of it is caught.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the specification; all of them if none is named
    #[argh(positional)]
    spec: Option<String>,
    /// search within larger bounds
    #[argh(switch)]
    large: bool,
    /// print the counterexamples
    #[argh(switch)]
    trace: bool,
}

fn main() {
    let Args {
        command: Command::Check(args),
    } = argh::from_env();
    match check(&args) {
        Ok(true) => {}
        Ok(false) => process::exit(1),
        Err(e) => {
            eprintln!("dragonflyrill-model: {e}");
            process::exit(1);
        }
    }
}

/// Searches the requested specifications; returns whether every search had the required verdict.
fn check(args: &Check) -> anyhow::Result<bool> {
    let names = match &args.spec {
        None => NAMES.to_vec(),
        Some(spec) => vec![find_name(spec)?],
    };
    let size = match args.large {
        true => Size::Large,
        false => Size::Small,
    };
    let mut all_as_expected = true;
    for name in names {
        report::run(name, size, &mut |result| {
            all_as_expected &= result.is_as_expected();
            print(name, &result, args.trace);
        });
    }
    Ok(all_as_expected)
}

fn find_name(spec: &str) -> anyhow::Result<&'static str> {
    let found = NAMES.into_iter().find(|name| *name == spec);
    found.ok_or_else(|| anyhow::anyhow!("no specification {spec:?}; there are {NAMES:?}"))
}

fn print(spec: &str, result: &CaseResult, trace: bool) {
    let counts = &result.outcome.counts;
    let kind = match result.is_mutant {
        true => "mutation",
        false => "case",
    };
    let verdict = match &result.outcome.verdict {
        Verdict::Holds => "holds".to_owned(),
        Verdict::StateLimitReached => "GIVEN UP".to_owned(),
        Verdict::Broken(found) => {
            format!("broken in {} steps: {}", found.steps.len(), found.property)
        }
    };
    let status = match result.is_as_expected() {
        true => "ok",
        false => "FAILED",
    };
    println!("{status} {spec}: {kind} {}: {verdict}", result.name);
    println!(
        "   {} states, depth {}, {:.3} s",
        counts.states,
        counts.depth,
        counts.took.as_secs_f64()
    );
    if !result.is_mutant {
        let bounds: Vec<String> = result.bounds.iter().map(Bound::to_string).collect();
        println!("   bounds: {}", bounds.join(", "));
    }
    if let (true, Some(found)) = (trace, result.outcome.counterexample()) {
        println!("{found}");
    }
}
