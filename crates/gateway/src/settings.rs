//! The settings of an entry host: an INI file, parsed once into checked types.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::budget::BudgetConfig;
use dragonflyrill_settings::{self as settings, Parser};

pub use dragonflyrill_settings::SettingError;

/// All settings of an entry host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's name, unique in the fleet.
    pub host: String,
    /// Where it is.
    pub data_centre: Rc<str>,
    /// What its link carries.
    pub link_bytes_per_s: f64,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this host takes new connections.
    pub readiness: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where other hosts call.
    pub peers: SocketAddr,
    /// The address that other hosts are told for it, where it differs.
    pub peers_announced: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// How long after a key was taken away it may still be honoured.
    pub key_revocation: Duration,
    /// How long after a change of the catalogue the old version may still be used.
    pub config_apply: Duration,
    /// How long after an endpoint said that it is leaving it may still get requests.
    pub endpoint_drain: Duration,
    /// How often an endpoint writes its entry in the list, about.
    pub endpoint_heartbeat: Duration,
    /// How long after a termination signal the process is killed.
    pub grace: Duration,
    /// The budget of repeats of one service.
    pub retries: BudgetConfig,
    /// For how long a request under which endpoints ended is not sent any more, the first time.
    pub request_hold: Duration,
    /// How many requests that go well are logged whole in a second.
    pub logged_per_s: f64,
}

/// Some 60 lines and 20 KB a second.
const LOGGED_PER_S: &str = "20";

/// A narrow link.
const LINK_MBPS: &str = "20";

const BYTES_PER_MBIT: f64 = 1e6 / 8.0;

/// As the platform's settings have it.
const ENDPOINT_HEARTBEAT_MS: &str = "1200";

/// An hour: long enough that a request which comes again and again ends one endpoint in it, and short
/// enough for one that was held by a coincidence.
const REQUEST_HOLD_S: &str = "3600";

/// The keys, by section; each must be there but for `link_mbps`, `peers_announced`, `endpoint_heartbeat_ms`,
/// `hold_s` and those of `logs`.
const KNOWN: settings::KnownKeys = &[
    ("host", &["name", "address", "data_centre", "link_mbps"]),
    (
        "listen",
        &[
            "callers",
            "readiness",
            "metrics_port",
            "peers_port",
            "peers_announced",
        ],
    ),
    ("store", &["address"]),
    (
        "bounds",
        &[
            "key_revocation_ms",
            "config_apply_ms",
            "endpoint_drain_ms",
            "endpoint_heartbeat_ms",
            "grace_s",
        ],
    ),
    ("retries", &["ratio", "burst", "window_s", "hold_s"]),
    ("logs", &["requests_per_second"]),
];

impl Settings {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingError>> {
        let text = dragonflyrill_settings::read(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses a file's text; `file` names it in errors. All errors are given at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let mut p = Parser::new(file, text)?;
        p.refuse_unknown(KNOWN);
        let settings = Self::checked(&mut p);
        p.finish(settings)
    }

    fn checked(p: &mut Parser<'_>) -> Option<Self> {
        let host = p.required("host", "name", settings::text);
        let ip = p.required("host", "address", ip);
        let data_centre = p.required("host", "data_centre", settings::text);
        let link = p.optional("host", "link_mbps", LINK_MBPS, link);
        let callers = p.required("listen", "callers", settings::address);
        let readiness = p.required("listen", "readiness", settings::address);
        let metrics_port = p.required("listen", "metrics_port", port);
        let peers_port = p.required("listen", "peers_port", port);
        let peers = ip
            .zip(peers_port)
            .map(|(ip, port)| SocketAddr::new(ip, port));
        // Without a valid address nothing is announced; the error says which part is wrong.
        let usual = peers.map_or("0.0.0.0:0".to_owned(), |peers| peers.to_string());
        let announced = p.optional("listen", "peers_announced", &usual, settings::address);
        let store = p.required("store", "address", settings::address);
        let key_revocation = p.required("bounds", "key_revocation_ms", settings::fractional_millis);
        let config_apply = p.required("bounds", "config_apply_ms", settings::fractional_millis);
        let endpoint_drain = p.required("bounds", "endpoint_drain_ms", settings::fractional_millis);
        let heartbeat = p.optional(
            "bounds",
            "endpoint_heartbeat_ms",
            ENDPOINT_HEARTBEAT_MS,
            settings::fractional_millis,
        );
        let grace = p.required("bounds", "grace_s", settings::seconds);
        let ratio = p.required("retries", "ratio", settings::decimal);
        let burst = p.required("retries", "burst", settings::decimal);
        let window = p.required("retries", "window_s", settings::seconds);
        let hold = p.optional("retries", "hold_s", REQUEST_HOLD_S, settings::seconds);
        let logged = p.optional(
            "logs",
            "requests_per_second",
            LOGGED_PER_S,
            settings::decimal,
        );
        Some(Self {
            host: host?,
            data_centre: data_centre?.into(),
            link_bytes_per_s: link? * BYTES_PER_MBIT,
            callers: callers?,
            readiness: readiness?,
            metrics: SocketAddr::new(ip?, metrics_port?),
            peers: peers?,
            peers_announced: announced?,
            store: store?,
            key_revocation: key_revocation?,
            config_apply: config_apply?,
            endpoint_drain: endpoint_drain?,
            endpoint_heartbeat: heartbeat?,
            grace: grace?,
            retries: BudgetConfig {
                ratio: ratio?,
                burst: burst?,
                window: window?,
            },
            request_hold: hold?,
            logged_per_s: logged?,
        })
    }
}

fn ip(value: &str) -> Result<IpAddr, String> {
    let right = "an IP number is needed, such as 10.1.0.40";
    value.trim().parse().map_err(|_| right.to_owned())
}

fn link(value: &str) -> Result<f64, String> {
    let mbps = settings::decimal(value)?;
    let positive = (mbps > 0.0).then_some(mbps);
    positive.ok_or_else(|| "a number over zero is needed, such as 20".to_owned())
}

fn port(value: &str) -> Result<u16, String> {
    settings::number(value.trim(), 1, u64::from(u16::MAX)).map(|n| n as u16)
}
