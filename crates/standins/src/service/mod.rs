//! The service stand-in: it accepts plain calls of any method and path and records those that ran in a
//! ledger.
//!
//! | call | answer |
//! |---|---|
//! | `GET /load` | [`ServiceLoad`] |
//! | `POST /standin/faults` | 204; replaces all [`Faults`] |
//! | `POST /standin/leave` | 204; its endpoint entry shows it as draining from now on |
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
    /// The name of the service in its endpoint entry and its answers.
    pub service: String,
    /// The address on which it listens; with port 0 the system assigns a free port.
    pub listen: SocketAddr,
    /// The data centre that its endpoint entry names.
    pub data_centre: String,
    /// The time that one call takes, in milliseconds.
    pub work_ms: u64,
    /// The maximum number of calls that run concurrently; further calls wait.
    pub max_running: usize,
}

impl ServiceConfig {
    /// Settings of a service that answers without delay.
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

    /// The endpoint entry of this service when it listens on `addr`.
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

/// The operating mode of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It works normally.
    #[default]
    Up,
    /// It accepts calls but neither runs nor answers them until the mode changes.
    Freeze,
    /// It closes connections without running or answering the call. Calls that are running already
    /// complete.
    Down,
}

/// The active faults. A field that is missing in JSON has its default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The operating mode.
    pub mode: Mode,
    /// The delay added to each call, in milliseconds.
    pub delay_ms: u64,
    /// The fraction of calls, 0 to 1, whose answer is lost: the call runs, then its connection is closed.
    #[serde(deserialize_with = "number::de_share")]
    pub drop_answers: f64,
    /// The fraction of calls, 0 to 1, that are answered 503 without running.
    #[serde(deserialize_with = "number::de_share")]
    pub error_rate: f64,
}

/// The load of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Calls that are running.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
}

/// The answer to a call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The name of the service.
    pub service: String,
    /// The id of the endpoint that ran the call.
    pub endpoint: String,
    /// The call's method.
    pub method: String,
    /// The call's path, without the query.
    pub path: String,
    /// The call's body as text; invalid UTF-8 is replaced.
    pub body: String,
    /// The number of calls with this key that have run on this endpoint, including this one.
    pub run: u64,
}

/// The calls that ran with one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The `Idempotency-Key` header, else the `X-Request-Id` header, else empty.
    pub key: String,
    /// The `X-Request-Id` header of the last call, else empty.
    pub request_id: String,
    /// The path of the last call.
    pub path: String,
    /// The number of calls with this key that ran.
    pub count: u64,
    /// When the last one ran, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}
