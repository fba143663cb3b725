//! The command line.

use std::{env, net::SocketAddr, str::FromStr};

use argh::FromArgs;

/// The environment variable with the platform's address, read if `--platform` is not given.
pub const PLATFORM_ENV: &str = "DRAGONFLYRILL_PLATFORM";

/// declares, compares and watches the catalogue of dragonflyrill. Exit codes: 0 done; 1 failed;
/// 2 wrong usage or wrong declarations; 3 conflict with another operator; 4 accepted, but not in
/// force on every host within the wait.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// address of the platform, IP:PORT; by default from DRAGONFLYRILL_PLATFORM
    #[argh(option)]
    pub platform: Option<SocketAddr>,
    /// plain (default) or json
    #[argh(option, default = "Output::Plain")]
    pub output: Output,
    /// time limit of a call to the platform or a host, in milliseconds (default 5000)
    #[argh(option, default = "5000")]
    pub call_ms: u64,
    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Plain text for people.
    Plain,
    /// One JSON document per report.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(raw: &str) -> Result<Self, String> {
        match raw {
            "plain" => Ok(Self::Plain),
            "json" => Ok(Self::Json),
            _ => Err("expected plain or json".to_owned()),
        }
    }
}

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks declaration files without the platform.
    Check(Check),
    /// Compares declaration files with the catalogue in force.
    Diff(Diff),
    /// Applies the entries of declaration files to the catalogue.
    Apply(Apply),
    /// Prints the entries in force.
    Get(Get),
    /// Shows which revision is in force on each host.
    Status(Status),
    /// Prints changes as they are accepted.
    Watch(Watch),
    /// Shows from hosts' logs what was decided for a request.
    Explain(Explain),
}

/// check declaration files, without the platform
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// check each entry alone, for files that are a part of a catalogue
    #[argh(switch)]
    pub partial: bool,
    /// the files
    #[argh(positional)]
    pub files: Vec<String>,
}

/// show what apply would change
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// count entries that no file declares as to be removed
    #[argh(switch)]
    pub prune: bool,
    /// the files
    #[argh(positional)]
    pub files: Vec<String>,
}

/// apply the entries of the files to the catalogue
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// remove all entries that no file declares
    #[argh(switch)]
    pub prune: bool,
    /// apply only if this is still the newest revision
    #[argh(option)]
    pub base: Option<u64>,
    /// wait until the change is in force on every entry host
    #[argh(switch)]
    pub wait: bool,
    /// the longest wait in seconds (default 30)
    #[argh(option, default = "30")]
    pub within: u64,
    /// id of the change, to retry an apply whose outcome is unknown
    #[argh(option)]
    pub change_id: Option<String>,
    /// for a store that went back: declare the files as the whole catalogue, above this revision,
    /// which is the highest one that any host has in force
    #[argh(option)]
    pub restore_above: Option<u64>,
    /// who makes the change; by default the user's name
    #[argh(option)]
    pub author: Option<String>,
    /// the files
    #[argh(positional)]
    pub files: Vec<String>,
}

/// print the entries in force as declarations
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// sections to print, such as "workspace co-op"; all when none is given
    #[argh(positional)]
    pub sections: Vec<String>,
}

/// show the revision in force in each data centre and on each host, and which hosts lag
/// and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// query this entry host, IP:PORT, instead of those that the platform lists; may be repeated
    #[argh(option)]
    pub host: Vec<SocketAddr>,
}

/// print changes as they are accepted
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// the revision to start after; by default the newest one
    #[argh(option)]
    pub after: Option<u64>,
    /// end after this many changes; by default never
    #[argh(option)]
    pub changes: Option<usize>,
    /// time between two polls, in milliseconds (default 500)
    #[argh(option, default = "500")]
    pub every_ms: u64,
}

/// show from the hosts' logs what was decided for a request, and what its host knew at that time
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// how long before the request lines on its endpoints and its host are shown, in milliseconds
    /// (default 10000)
    #[argh(option, default = "10_000")]
    pub before_ms: u64,
    /// the id of the attempt
    #[argh(positional)]
    pub id: String,
    /// log files; lines without a host are attributed to the host that the file is named after
    #[argh(positional)]
    pub files: Vec<String>,
}

/// Why a command line gives no command to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EarlyExit {
    /// Help was requested; the text is the help.
    Help(String),
    /// The command line is invalid; the text says why.
    Usage(String),
}

impl Args {
    /// Parses a command line whose first word is the program name.
    ///
    /// # Errors
    /// [`EarlyExit`] with the text to print.
    pub fn parse(words: &[String]) -> Result<Self, EarlyExit> {
        let words: Vec<&str> = words.iter().skip(1).map(String::as_str).collect();
        Self::from_args(&["dragonflyrillctl"], &words).map_err(|exit| match exit.status {
            Ok(()) => EarlyExit::Help(exit.output),
            Err(()) => EarlyExit::Usage(exit.output),
        })
    }

    /// Returns the platform's address from the command line or, without one, the environment.
    ///
    /// # Errors
    /// A message that says that the address is missing or invalid.
    pub fn platform_addr(&self) -> Result<SocketAddr, String> {
        if let Some(platform) = self.platform {
            return Ok(platform);
        }
        let raw = env::var(PLATFORM_ENV)
            .map_err(|_| format!("no platform: give --platform IP:PORT or {PLATFORM_ENV}"))?;
        raw.parse()
            .map_err(|_| format!("{PLATFORM_ENV} = {raw:?}: expected IP:PORT"))
    }
}
