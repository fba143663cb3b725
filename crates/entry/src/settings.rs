//! The settings of an entry host: an INI file, parsed once into checked types.

use std::{net::SocketAddr, path::Path, time::Duration};

use dragonflyrill_catalogue::{DataCentre, Name};
use dragonflyrill_gateway::{http::intake::IntakeConfig, settings::process_capacity};
use dragonflyrill_settings::{Parser, address, addresses, millis, number};

pub use dragonflyrill_settings::SettingError;

/// All settings of an entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This host's id, unique in the fleet.
    pub host: Name,
    /// The data centre of this host.
    pub data_centre: DataCentre,
    /// The address to listen on for callers.
    pub callers_addr: SocketAddr,
    /// The address to listen on for other hosts.
    pub peers_addr: SocketAddr,
    /// Hosts to fetch the host list from while the platform's can't be read.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform, which serves the table, the object store and the host list.
    pub platform: SocketAddr,
    /// The interval at which a host polls the platform for changes, if it is one of those that
    /// poll.
    pub poll_interval: Duration,
    /// The interval at which each host polls the platform for the host list.
    pub poll_hosts_interval: Duration,
    /// How long a starting host waits for its peers' catalogue before it reads the platform's.
    pub compare_timeout: Duration,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// How much callers may make this host hold.
    pub intake: IntakeConfig,
    /// How long the answer of a finished request is kept, while there is memory for it.
    pub keep_answers: Duration,
    /// The time that a request has if neither its headers nor its limit set a deadline.
    pub default_deadline: Duration,
    /// The number of tokens between two exports of a KV checkpoint; 0 exports none.
    pub checkpoint_every: u32,
    /// The maximum duration of a drain.
    pub drain_limit: Duration,
    /// Where spans are exported to.
    pub spans: Spans,
}

/// Where spans are exported to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Spans {
    /// Nowhere.
    Off,
    /// To the file of this path, one JSON object a line.
    File(String),
    /// To the collector at this address, by OTLP over HTTP.
    Otlp(SocketAddr),
}

/// The sections of the file and the keys of each.
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
            "body_timeout_ms",
            "keep_answers_ms",
            "deadline_ms",
            "checkpoint_every",
        ],
    ),
    ("process", &["memory_mb", "descriptors"]),
    ("drain", &["limit_ms"]),
    ("spans", &["to"]),
];

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// The file can't be read, or everything that is wrong in it.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingError>> {
        let text = dragonflyrill_settings::read(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Checks `text`, the content of `file`.
    ///
    /// # Errors
    /// Everything that is wrong in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let mut p = Parser::new(file, text)?;
        p.refuse_unknown(KNOWN);
        let host = p.required("host", "id", |v| {
            Name::try_from(v).map_err(|e| e.to_string())
        });
        let data_centre = p.required("host", "data_centre", |v| {
            DataCentre::try_from(v).map_err(|e| e.to_string())
        });
        let callers_addr = p.required("listen", "callers", address);
        let peers_addr = p.required("listen", "peers", address);
        let seeds = p.optional("listen", "seeds", "", addresses);
        let platform = p.required("platform", "address", address);
        let poll_interval = p.optional("platform", "poll_ms", "200", |v| millis(v, 10, 60_000));
        let poll_hosts_interval = p.optional("platform", "poll_hosts_ms", "1000", |v| {
            millis(v, 10, 60_000)
        });
        let compare_timeout =
            p.optional("platform", "compare_ms", "2000", |v| millis(v, 0, 60_000));
        let max_body_bytes = p.optional("requests", "max_body_bytes", "1048576", |v| {
            number(v, 1, 1 << 30).map(|n| n as usize)
        });
        let capacity = process_capacity(&mut p);
        if let (Some(max_body_bytes), Some(capacity)) = (max_body_bytes, capacity) {
            let fits = check_max_body(max_body_bytes, capacity.pools().max_request());
            p.checked("requests", fits);
        }
        let body_timeout = p.optional("requests", "body_timeout_ms", "60000", |v| {
            millis(v, 1, 3_600_000)
        });
        let keep_answers = p.optional("requests", "keep_answers_ms", "60000", |v| {
            millis(v, 0, 3_600_000)
        });
        let default_deadline = p.optional("requests", "deadline_ms", "30000", |v| {
            millis(v, 1, 3_600_000)
        });
        let checkpoint_every = p.optional("requests", "checkpoint_every", "0", |v| {
            number(v, 0, 1 << 20).map(|n| n as u32)
        });
        let drain_limit = p.optional("drain", "limit_ms", "30000", |v| millis(v, 0, 3_600_000));
        let spans = p.optional("spans", "to", "off", parse_spans);
        // The parser has recorded an error for each value that is missing or invalid.
        let checked = || {
            Some(Self {
                host: host?,
                data_centre: data_centre?,
                callers_addr: callers_addr?,
                peers_addr: peers_addr?,
                seeds: seeds?,
                platform: platform?,
                poll_interval: poll_interval?,
                poll_hosts_interval: poll_hosts_interval?,
                compare_timeout: compare_timeout?,
                max_body_bytes: max_body_bytes?,
                intake: IntakeConfig {
                    capacity: capacity?,
                    body_timeout: body_timeout?,
                },
                keep_answers: keep_answers?,
                default_deadline: default_deadline?,
                checkpoint_every: checkpoint_every?,
                drain_limit: drain_limit?,
                spans: spans?,
            })
        };
        p.finish(checked())
    }
}

fn check_max_body(max_body_bytes: usize, max_request: usize) -> Result<(), String> {
    let fits = max_body_bytes <= max_request;
    fits.then_some(()).ok_or_else(|| {
        format!("max_body_bytes: at most {max_request} bytes fit into the memory of the process")
    })
}

fn parse_spans(value: &str) -> Result<Spans, String> {
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
