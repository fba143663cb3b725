//! The service stand-in: plain calls of any method and path, and a ledger of what ran.
//!
//! | call | answer |
//! |---|---|
//! | `GET /load` | [`ServiceLoad`] |
//! | `POST /standin/faults` | 204; replaces all [`Faults`] |
//! | `POST /standin/leave` | 204; the host list shows it as leaving from now on |
//! | `GET /standin/ledger` | a JSON array of [`LedgerEntry`] |
//! | any other | [`Echo`], after `work_ms` |

mod server;

use std::net::SocketAddr;

use dragonflyrill_fleet::endpoints::Endpoint;
use serde::{Deserialize, Serialize};

use crate::{number, register, settings::Settings};

pub use server::start;

/// The settings of one service.
#[derive(Debug, Clone)]
pub struct ServiceConfig {
    /// The endpoint's id.
    pub id: String,
    /// The service, for its entry and the answers.
    pub service: String,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The data centre, for its entry.
    pub data_centre: String,
    /// Time that one call takes, in milliseconds.
    pub work_ms: u64,
    /// Calls that run at once; others wait.
    pub max_running: usize,
}

impl ServiceConfig {
    /// A service that answers at once.
    pub fn new(id: &str, service: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_centre: register::DEFAULT_DATA_CENTRE.to_owned(),
            work_ms: 0,
            max_running: 64,
        }
    }

    /// The entry of this service, listening on `addr`.
    pub fn listing(&self, addr: SocketAddr) -> Endpoint {
        Endpoint {
            id: self.id.as_str().into(),
            name: self.id.as_str().into(),
            started_at: None,
            service: self.service.as_str().into(),
            addr,
            data_centre: self.data_centre.as_str().into(),
            slots: self.max_running as u32,
            draining: false,
            accelerator: None,
            layers: None,
        }
    }
}

impl TryFrom<Settings> for ServiceConfig {
    type Error = anyhow::Error;

    fn try_from(mut raw: Settings) -> anyhow::Result<Self> {
        let id: String = raw.take_required("id")?;
        let service: String = raw.take_required("service")?;
        let base = Self::new(&id, &service);
        let cfg = Self {
            listen: raw.take_or("listen", base.listen)?,
            data_centre: raw.take_or("data_centre", base.data_centre)?,
            work_ms: raw.take_or("work_ms", base.work_ms)?,
            max_running: raw.take_or("max_running", base.max_running)?,
            ..base
        };
        if cfg.max_running == 0 {
            return Err(raw.error("max_running", "has to be 1 or more"));
        }
        raw.reject_unknown()?;
        Ok(cfg)
    }
}

/// Whether a service works.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It works.
    #[default]
    Up,
    /// It accepts calls and answers nothing until this ends; then it runs and answers them.
    Freeze,
    /// It closes connections without an answer and without running the call. Calls that run already
    /// are finished.
    Down,
}

/// The faults in force. A field left out of JSON has its default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether it works.
    pub mode: Mode,
    /// The wait added to each call, in milliseconds.
    pub delay_ms: u64,
    /// The share of calls, 0 to 1, whose connection is closed after they ran.
    #[serde(deserialize_with = "number::de_share")]
    pub drop_answers: f64,
    /// The share of calls, 0 to 1, that are answered 503 without running.
    #[serde(deserialize_with = "number::de_share")]
    pub error_rate: f64,
}

/// The load of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Calls being run.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
}

/// The answer to a call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service.
    pub service: String,
    /// The endpoint that ran it.
    pub endpoint: String,
    /// The call's method.
    pub method: String,
    /// The call's path, without the query.
    pub path: String,
    /// The call's body as text.
    pub body: String,
    /// How often calls of this key have run on this endpoint, this one included.
    pub run: u64,
}

/// One key under which calls ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The `Idempotency-Key` header, else the `X-Request-Id` header, else empty.
    pub key: String,
    /// The `X-Request-Id` header of the last call, else empty.
    pub request_id: String,
    /// The path of the last call.
    pub path: String,
    /// How often calls of this key ran.
    pub count: u64,
    /// When the last one ran, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}
