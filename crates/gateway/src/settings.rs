//! The settings of an entry host: an INI file, parsed once into checked types.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::{
    admission::{AdmissionConfig, RawAdmissionConfig},
    budget::BudgetConfig,
    return_slots::{RawReturnSlots, ReturnSlots},
};
use dragonflyrill_intake::capacity::{Capacity, MIN_DESCRIPTORS, MIN_MEMORY};
use dragonflyrill_settings::{self as settings, Parser};

use crate::http::intake::IntakeConfig;

pub use dragonflyrill_settings::SettingError;

/// All settings of an entry host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's name, unique in the fleet.
    pub host: String,
    /// The data centre of this host.
    pub data_centre: Rc<str>,
    /// The capacity of this host's network link, in bytes per second.
    pub link_bytes_per_s: f64,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address at which the load balancer checks whether this host accepts new connections.
    pub readiness: SocketAddr,
    /// The address at which metrics are served.
    pub metrics: SocketAddr,
    /// The address at which this host serves calls of other hosts.
    pub peers: SocketAddr,
    /// The address for such calls that is announced to other hosts; equal to `peers` unless it is set.
    pub peers_announced: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// How long after a key was revoked it may still be accepted.
    pub key_revocation: Duration,
    /// How long after a change of the catalogue the old version may still be used.
    pub config_apply: Duration,
    /// How long after an endpoint announced that it is draining it may still receive requests.
    pub endpoint_drain: Duration,
    /// The approximate interval at which an endpoint writes its entry in the list.
    pub endpoint_heartbeat: Duration,
    /// The time from a termination signal until the process is killed.
    pub grace: Duration,
    /// The retry budget of one service.
    pub retries: BudgetConfig,
    /// The duration of the first quarantine of a request that endpoints terminated under.
    pub request_quarantine: Duration,
    /// The maximum number of successful requests a second that are logged in full.
    pub logged_per_s: f64,
    /// How much callers may make this host hold.
    pub intake: IntakeConfig,
    /// How streams are admitted when engines are short of memory; `None` if they are sent even to chains that are
    /// planned full.
    pub admission: Option<AdmissionSettings>,
}

/// The settings of admission control.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionSettings {
    /// The thresholds of admission.
    pub config: AdmissionConfig,
    /// When the callers of rejected streams are to return.
    pub return_slots: ReturnSlots,
}

/// The default of `requests_per_second`: some 60 lines and 20 KB a second.
const DEFAULT_LOGGED_PER_S: &str = "20";

/// The default of `link_mbps`, in Mbit/s: a narrow link.
const DEFAULT_LINK_MBPS: &str = "20";

/// The default of `memory_ceiling`. Nine tenths of the memory are planned with, each request at its full length, but
/// running requests hold half of their answers on average. So 1.25 times the planned memory just fits where answers are
/// a quarter as long as prompts.
const DEFAULT_MEMORY_CEILING: &str = "1.25";

/// The default of `last_level_ceiling`: nothing is shed while a chain has room.
const DEFAULT_LAST_LEVEL_CEILING: &str = "1.0";

/// The default of `floor`: no kind of request is served less than a quarter as often as all.
const DEFAULT_FLOOR: &str = "0.3";

/// The default of `return_period_s`: callers with 20 s left return after 4.7 to 6.7 s, later than most surges last.
const DEFAULT_RETURN_PERIOD_S: &str = "2";

/// The default of `return_slot_ms`: room for late timers and for clocks that differ.
const DEFAULT_RETURN_SLOT_MS: &str = "100";

/// The default of `memory_mb`, in millions of bytes: what a host may use for control at the size that it is built for.
const DEFAULT_MEMORY_MB: &str = "256";

/// The default of `descriptors`, unless the operating system allows fewer: as many as a small host has.
const DEFAULT_DESCRIPTORS: u64 = 4096;

/// The default of `body_timeout_s`: three times the longest time for which callers wait for an answer.
const DEFAULT_BODY_TIMEOUT_S: &str = "60";

const BYTES_PER_MBIT: f64 = 1e6 / 8.0;
const BYTES_PER_MB: u64 = 1_000_000;
/// The maxima of `memory_mb` and `descriptors`: a terabyte, and what an operating system can open.
const MAX_MEMORY_MB: u64 = 1_000_000;
const MAX_DESCRIPTORS: u64 = 1 << 24;

/// The default of `endpoint_heartbeat_ms`, as in the platform's settings.
const DEFAULT_ENDPOINT_HEARTBEAT_MS: &str = "1200";

/// The default of `hold_s`: one hour. A request that is sent again and again terminates at most one endpoint in that
/// time, and a request that was quarantined by coincidence is not refused for too long.
const DEFAULT_REQUEST_QUARANTINE_S: &str = "3600";

/// The known keys, by section. All are required except `link_mbps`, `peers_announced`, `endpoint_heartbeat_ms`,
/// `hold_s` and those of `process`, `callers`, `admission` and `logs`.
const KNOWN_KEYS: settings::KnownKeys = &[
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
    ("process", &["memory_mb", "descriptors"]),
    ("callers", &["body_timeout_s"]),
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
    (
        "admission",
        &[
            "enabled",
            "memory_ceiling",
            "last_level_ceiling",
            "floor",
            "return_period_s",
            "return_slot_ms",
        ],
    ),
    ("logs", &["requests_per_second"]),
];

impl Settings {
    /// Reads and parses a file.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingError>> {
        let text = dragonflyrill_settings::read(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses the text of a file; `file` is its name in errors. Returns all errors, not just the first.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let mut p = Parser::new(file, text)?;
        p.refuse_unknown(KNOWN_KEYS);
        let settings = Self::checked(&mut p);
        p.finish(settings)
    }

    fn checked(p: &mut Parser<'_>) -> Option<Self> {
        let host = p.required("host", "name", settings::text);
        let ip = p.required("host", "address", ip);
        let data_centre = p.required("host", "data_centre", settings::text);
        let link = p.optional("host", "link_mbps", DEFAULT_LINK_MBPS, link);
        let callers = p.required("listen", "callers", settings::address);
        let readiness = p.required("listen", "readiness", settings::address);
        let metrics_port = p.required("listen", "metrics_port", port);
        let peers_port = p.required("listen", "peers_port", port);
        let peers = ip
            .zip(peers_port)
            .map(|(ip, port)| SocketAddr::new(ip, port));
        // If the host's address or the port is invalid, the parser has recorded that error, and this default is unused.
        let default_announced = peers.map_or("0.0.0.0:0".to_owned(), |peers| peers.to_string());
        let announced = p.optional(
            "listen",
            "peers_announced",
            &default_announced,
            settings::address,
        );
        let store = p.required("store", "address", settings::address);
        let key_revocation = p.required("bounds", "key_revocation_ms", settings::fractional_millis);
        let config_apply = p.required("bounds", "config_apply_ms", settings::fractional_millis);
        let endpoint_drain = p.required("bounds", "endpoint_drain_ms", settings::fractional_millis);
        let heartbeat = p.optional(
            "bounds",
            "endpoint_heartbeat_ms",
            DEFAULT_ENDPOINT_HEARTBEAT_MS,
            settings::fractional_millis,
        );
        let grace = p.required("bounds", "grace_s", settings::seconds);
        let ratio = p.required("retries", "ratio", settings::decimal);
        let burst = p.required("retries", "burst", settings::decimal);
        let window = p.required("retries", "window_s", settings::seconds);
        let quarantine = p.optional(
            "retries",
            "hold_s",
            DEFAULT_REQUEST_QUARANTINE_S,
            settings::seconds,
        );
        let logged = p.optional(
            "logs",
            "requests_per_second",
            DEFAULT_LOGGED_PER_S,
            settings::decimal,
        );
        let intake = Self::intake(p);
        let admission = Self::admission(p);
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
            request_quarantine: quarantine?,
            logged_per_s: logged?,
            intake: intake?,
            admission: admission?,
        })
    }

    /// The section `admission`; the inner `None` if it is missing or not enabled.
    fn intake(p: &mut Parser<'_>) -> Option<IntakeConfig> {
        let capacity = process_capacity(p);
        let body_timeout = p.optional(
            "callers",
            "body_timeout_s",
            DEFAULT_BODY_TIMEOUT_S,
            positive_seconds,
        );
        Some(IntakeConfig {
            capacity: capacity?,
            body_timeout: body_timeout?,
        })
    }

    fn admission(p: &mut Parser<'_>) -> Option<Option<AdmissionSettings>> {
        const SECTION: &str = "admission";
        let enabled = p.optional(SECTION, "enabled", "no", settings::yes_or_no);
        let mut threshold = |key, default| p.optional(SECTION, key, default, settings::decimal);
        let ceiling = threshold("memory_ceiling", DEFAULT_MEMORY_CEILING);
        let last_level_ceiling = threshold("last_level_ceiling", DEFAULT_LAST_LEVEL_CEILING);
        let floor = threshold("floor", DEFAULT_FLOOR);
        let period = p.optional(
            SECTION,
            "return_period_s",
            DEFAULT_RETURN_PERIOD_S,
            settings::seconds,
        );
        let slot = p.optional(
            SECTION,
            "return_slot_ms",
            DEFAULT_RETURN_SLOT_MS,
            settings::fractional_millis,
        );
        let config = RawAdmissionConfig {
            ceiling: ceiling?,
            last_level_ceiling: last_level_ceiling?,
            floor: floor?,
        };
        let return_slots = RawReturnSlots {
            period: period?,
            slot: slot?,
        };
        let config = p.checked(SECTION, AdmissionConfig::try_from(config));
        let return_slots = p.checked(SECTION, ReturnSlots::try_from(return_slots));
        let admission = AdmissionSettings {
            config: config?,
            return_slots: return_slots?,
        };
        Some(enabled?.then_some(admission))
    }
}

fn ip(value: &str) -> Result<IpAddr, String> {
    let expected = "an IP number is needed, such as 10.1.0.40";
    value.trim().parse().map_err(|_| expected.to_owned())
}

fn link(value: &str) -> Result<f64, String> {
    let mbps = settings::decimal(value)?;
    let positive = (mbps > 0.0).then_some(mbps);
    positive.ok_or_else(|| "a number over zero is needed, such as 20".to_owned())
}

/// Reads the section `process`, which tells what the process may use.
pub fn process_capacity(p: &mut Parser<'_>) -> Option<Capacity> {
    let memory_mb = p.optional("process", "memory_mb", DEFAULT_MEMORY_MB, |v| {
        settings::number(v.trim(), MIN_MEMORY / BYTES_PER_MB, MAX_MEMORY_MB)
    });
    let allowed = max_open_files().map_or(DEFAULT_DESCRIPTORS, |max| max.min(DEFAULT_DESCRIPTORS));
    let descriptors = p.optional("process", "descriptors", &allowed.to_string(), |v| {
        settings::number(v.trim(), MIN_DESCRIPTORS, MAX_DESCRIPTORS)
    });
    let capacity = Capacity::new(memory_mb? * BYTES_PER_MB, descriptors?);
    p.checked("process", capacity)
}

/// The number of descriptors that the operating system lets this process open; `None` if it can't be read.
fn max_open_files() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn positive_seconds(value: &str) -> Result<Duration, String> {
    let lasts = settings::seconds(value)?;
    let positive = !lasts.is_zero();
    positive
        .then_some(lasts)
        .ok_or_else(|| "a number over zero is needed, such as 60".to_owned())
}

fn port(value: &str) -> Result<u16, String> {
    settings::number(value.trim(), 1, u64::from(u16::MAX)).map(|n| n as u16)
}
