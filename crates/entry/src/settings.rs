//! The host's settings: an INI file, parsed once into checked types.

use std::{net::SocketAddr, path::Path, time::Duration};

use dragonflyrill_catalogue::{DataCentre, Name};
use dragonflyrill_settings::{Parser, address, addresses, millis, number};

pub use dragonflyrill_settings::SettingError;

/// All settings of an entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This host's id, unique in the fleet.
    pub host: Name,
    /// Where this host is.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Other hosts to ask for the host list while the platform's can't be read.
    pub seeds: Vec<SocketAddr>,
    /// The platform's table, object store and host list.
    pub platform: SocketAddr,
    /// How often the platform is asked for changes, by the hosts that poll it.
    pub poll: Duration,
    /// How often the platform is asked for the host list, by each host.
    pub poll_hosts: Duration,
    /// How long a starting host waits to hear of the peers' catalogue before it asks the platform.
    pub compare: Duration,
    /// The largest request body accepted, in bytes.
    pub max_body: usize,
    /// How long a finished answer is kept.
    pub keep_answers: Duration,
    /// The deadline of a request for which nothing else says one.
    pub deadline: Duration,
    /// A KV checkpoint is asked for every so many tokens; 0 is never.
    pub checkpoint_every: u32,
    /// How long a drain may last.
    pub drain: Duration,
    /// Where spans go.
    pub spans: Spans,
}

/// Where spans go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Spans {
    /// Nowhere.
    Off,
    /// To a file, one JSON object a line.
    File(String),
    /// To a collector, by OTLP over HTTP.
    Otlp(SocketAddr),
}

/// The sections and keys that may appear.
const KNOWN: dragonflyrill_settings::KnownKeys = &[
    ("host", &["id", "data_centre"]),
    ("listen", &["callers", "peers", "seeds"]),
    (
        "platform",
        &["address", "poll_ms", "poll_hosts_ms", "compare_ms"],
    ),
    (
        "requests",
        &[
            "max_body_bytes",
            "keep_answers_ms",
            "deadline_ms",
            "checkpoint_every",
        ],
    ),
    ("drain", &["limit_ms"]),
    ("spans", &["to"]),
];

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingError>> {
        let text = dragonflyrill_settings::read(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Checks `text`, which came from `file`; answers everything that is wrong.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let mut p = Parser::new(file, text)?;
        p.refuse_unknown(KNOWN);
        let host = p.required("host", "id", |v| {
            Name::try_from(v).map_err(|e| e.to_string())
        });
        let data_centre = p.required("host", "data_centre", |v| {
            DataCentre::try_from(v).map_err(|e| e.to_string())
        });
        let callers = p.required("listen", "callers", address);
        let peers = p.required("listen", "peers", address);
        let seeds = p.optional("listen", "seeds", "", addresses);
        let platform = p.required("platform", "address", address);
        let poll = p.optional("platform", "poll_ms", "200", |v| millis(v, 10, 60_000));
        let poll_hosts = p.optional("platform", "poll_hosts_ms", "1000", |v| {
            millis(v, 10, 60_000)
        });
        let compare = p.optional("platform", "compare_ms", "2000", |v| millis(v, 0, 60_000));
        let max_body = p.optional("requests", "max_body_bytes", "1048576", |v| {
            number(v, 1, 1 << 30).map(|n| n as usize)
        });
        let keep_answers = p.optional("requests", "keep_answers_ms", "60000", |v| {
            millis(v, 0, 3_600_000)
        });
        let deadline = p.optional("requests", "deadline_ms", "30000", |v| {
            millis(v, 1, 3_600_000)
        });
        let checkpoint_every = p.optional("requests", "checkpoint_every", "0", |v| {
            number(v, 0, 1 << 20).map(|n| n as u32)
        });
        let drain = p.optional("drain", "limit_ms", "30000", |v| millis(v, 0, 3_600_000));
        let spans = p.optional("spans", "to", "off", spans);
        // A value that is missing or wrong has left its error behind.
        let checked = || {
            Some(Self {
                host: host?,
                data_centre: data_centre?,
                callers: callers?,
                peers: peers?,
                seeds: seeds?,
                platform: platform?,
                poll: poll?,
                poll_hosts: poll_hosts?,
                compare: compare?,
                max_body: max_body?,
                keep_answers: keep_answers?,
                deadline: deadline?,
                checkpoint_every: checkpoint_every?,
                drain: drain?,
                spans: spans?,
            })
        };
        p.finish(checked())
    }
}

fn spans(value: &str) -> Result<Spans, String> {
    if value == "off" {
        return Ok(Spans::Off);
    }
    if let Some(path) = value.strip_prefix("file:") {
        return Ok(Spans::File(path.to_owned()));
    }
    if let Some(addr) = value.strip_prefix("otlp:") {
        return address(addr).map(Spans::Otlp);
    }
    Err("off, file:PATH or otlp:IP:PORT is needed".into())
}
