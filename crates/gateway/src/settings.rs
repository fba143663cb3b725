//! The settings of an entry host: an INI file, parsed once into checked types.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    path::Path,
    rc::Rc,
    str::FromStr,
    time::Duration,
};

use dragonflyrill_fleet::budget::BudgetTerms;
use ini::Ini;

/// A setting that can't be used; names the place and what would be right.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The file.
    pub file: String,
    /// The section.
    pub section: String,
    /// The key; empty if the file itself is wrong.
    pub key: String,
    /// What is wrong, and what would be right.
    pub problem: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        if !self.key.is_empty() {
            write!(f, "[{}] {}: ", self.section, self.key)?;
        }
        f.write_str(&self.problem)
    }
}

/// All settings of an entry host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's name, unique in the fleet.
    pub host: String,
    /// Where it is.
    pub data_centre: Rc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this host takes new connections.
    pub readiness: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where other hosts call.
    pub peers: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// How long after a key was taken away it may still be honoured.
    pub key_revocation: Duration,
    /// How long after a change of the catalogue the old version may still be used.
    pub config_apply: Duration,
    /// How long after an endpoint said that it is leaving it may still get requests.
    pub endpoint_drain: Duration,
    /// How long after a termination signal the process is killed.
    pub grace: Duration,
    /// The budget of repeats of one service.
    pub retries: BudgetTerms,
}

/// The keys, by section; each must be there.
const KEYS: &[(&str, &[&str])] = &[
    ("host", &["name", "address", "data_centre"]),
    (
        "listen",
        &["callers", "readiness", "metrics_port", "peers_port"],
    ),
    ("store", &["address"]),
    (
        "bounds",
        &[
            "key_revocation_ms",
            "config_apply_ms",
            "endpoint_drain_ms",
            "grace_s",
        ],
    ),
    ("retries", &["ratio", "burst", "window_s"]),
];

struct Reader<'a> {
    file: &'a str,
    ini: &'a Ini,
    errors: Vec<SettingError>,
}

impl Reader<'_> {
    fn fail(&mut self, section: &str, key: &str, problem: String) {
        self.errors.push(SettingError {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            problem,
        });
    }

    /// The value of a key, or `T`'s default with an error noted.
    fn value<T: FromStr>(&mut self, section: &str, key: &str, wanted: &str) -> Option<T> {
        let text = self.ini.get_from(Some(section), key).unwrap_or_default();
        let value = text.trim().parse();
        if value.is_err() {
            self.fail(section, key, format!("{text:?} is not {wanted}"));
        }
        value.ok()
    }

    fn number(&mut self, section: &str, key: &str) -> Option<f64> {
        let number: f64 = self.value(section, key, "a number")?;
        if number.is_finite() && number >= 0.0 {
            return Some(number);
        }
        self.fail(section, key, format!("{number} is below zero"));
        None
    }

    fn millis(&mut self, section: &str, key: &str) -> Option<Duration> {
        let ms = self.number(section, key)?;
        Some(Duration::from_secs_f64(ms / 1000.0))
    }

    fn seconds(&mut self, section: &str, key: &str) -> Option<Duration> {
        self.number(section, key).map(Duration::from_secs_f64)
    }

    fn text(&mut self, section: &str, key: &str) -> Option<String> {
        let text: String = self.value(section, key, "a text")?;
        if text.is_empty() {
            self.fail(section, key, "is missing".to_owned());
            return None;
        }
        Some(text)
    }

    fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        self.value(section, key, "an address such as 10.1.0.40:8227")
    }

    fn unknown(&mut self) {
        let ini = self.ini;
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or_default();
            let known = KEYS.iter().find(|(name, _)| *name == section);
            for (key, _) in properties.iter() {
                if !known.is_some_and(|(_, keys)| keys.contains(&key)) {
                    self.fail(section, key, "is not a setting".to_owned());
                }
            }
        }
    }
}

impl Settings {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingError>> {
        let file = path.display().to_string();
        let whole = |problem: String| {
            vec![SettingError {
                file: file.clone(),
                section: String::new(),
                key: String::new(),
                problem,
            }]
        };
        let text = std::fs::read_to_string(path).map_err(|e| whole(e.to_string()))?;
        Self::parse(&file, &text)
    }

    /// Parses a file's text; `file` names it in errors. All errors are given at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let ini = Ini::load_from_str(text).map_err(|e| {
            vec![SettingError {
                file: file.to_owned(),
                section: String::new(),
                key: String::new(),
                problem: e.to_string(),
            }]
        })?;
        let mut r = Reader {
            file,
            ini: &ini,
            errors: Vec::new(),
        };
        r.unknown();
        let settings = Self::checked(&mut r);
        match settings {
            Some(settings) if r.errors.is_empty() => Ok(settings),
            _ => Err(r.errors),
        }
    }

    fn checked(r: &mut Reader<'_>) -> Option<Self> {
        let host = r.text("host", "name");
        let ip: Option<IpAddr> = r.value("host", "address", "an IP address");
        let data_centre = r.text("host", "data_centre");
        let callers = r.address("listen", "callers");
        let readiness = r.address("listen", "readiness");
        let metrics_port: Option<u16> = r.value("listen", "metrics_port", "a port");
        let peers_port: Option<u16> = r.value("listen", "peers_port", "a port");
        let store = r.address("store", "address");
        let key_revocation = r.millis("bounds", "key_revocation_ms");
        let config_apply = r.millis("bounds", "config_apply_ms");
        let endpoint_drain = r.millis("bounds", "endpoint_drain_ms");
        let grace = r.seconds("bounds", "grace_s");
        let ratio = r.number("retries", "ratio");
        let burst = r.number("retries", "burst");
        let window = r.seconds("retries", "window_s");
        Some(Self {
            host: host?,
            data_centre: data_centre?.into(),
            callers: callers?,
            readiness: readiness?,
            metrics: SocketAddr::new(ip?, metrics_port?),
            peers: SocketAddr::new(ip?, peers_port?),
            store: store?,
            key_revocation: key_revocation?,
            config_apply: config_apply?,
            endpoint_drain: endpoint_drain?,
            grace: grace?,
            retries: BudgetTerms {
                ratio: ratio?,
                burst: burst?,
                window: window?,
            },
        })
    }
}
