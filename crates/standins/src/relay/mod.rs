//! A TCP relay whose links can be cut and delayed. It stands in for the network between data centres
//! and to the platform.
//!
//! Its control address serves:
//!
//! | call | answer |
//! |---|---|
//! | `POST /standin/faults` | 204; replaces the [`LinkFaults`] of all links |
//! | `POST /standin/links/NAME` | 204; replaces the [`LinkFaults`] of one link |
//! | `POST /standin/links/NAME/reset` | 204; resets all open connections |
//! | `POST /standin/links/NAME/silence` | 204; all open connections carry no more bytes |
//! | `GET /standin/stats` | a JSON array of [`LinkStats`] |
//!
//! A link that is cut behaves like a network partition: bytes are dropped, ends of connections are
//! not forwarded, and new connections are closed immediately. A link that is cut in one direction
//! still carries the other one and accepts new connections. When the link carries bytes again,
//! connections that lost bytes are closed, as their streams can't be repaired. Silenced connections
//! stay open and never carry bytes again, while new connections work.
//!
//! [`RunningLink`] is one link without a control address, for use within a process.

mod connection;
mod link;
mod server;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::settings::Settings;

pub use server::{RunningLink, RunningRelay, start};

/// The settings of one link.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// The link's name.
    pub name: String,
    /// The address on which it listens; with port 0 the system assigns a free port.
    pub listen: SocketAddr,
    /// The target: the address to which it relays connections.
    pub to: SocketAddr,
}

impl TryFrom<Settings> for LinkConfig {
    type Error = anyhow::Error;

    fn try_from(mut raw: Settings) -> anyhow::Result<Self> {
        let cfg = Self {
            name: raw.take_required("id")?,
            listen: raw.take_required("listen")?,
            to: raw.take_required("to")?,
        };
        raw.reject_unknown()?;
        Ok(cfg)
    }
}

/// Which bytes a link carries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It carries bytes in both directions.
    #[default]
    Up,
    /// It drops the bytes of both directions and closes new connections.
    Cut,
    /// It drops the bytes to its target.
    CutThere,
    /// It drops the bytes from its target.
    CutBack,
}

/// One direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// To the target.
    Upstream,
    /// From the target.
    Downstream,
}

impl Mode {
    /// Whether bytes of a direction are dropped.
    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::Up => false,
            Self::Cut => true,
            Self::CutThere => direction == Direction::Upstream,
            Self::CutBack => direction == Direction::Downstream,
        }
    }
}

/// The faults of a link. A field that is missing in JSON has its default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Which bytes the link carries.
    pub mode: Mode,
    /// The delay in each direction, in milliseconds.
    pub delay_ms: u64,
}

/// The counters of a link since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStats {
    /// The link's name.
    pub name: String,
    /// Connections that were relayed.
    pub accepted: u64,
    /// Connections that were closed immediately because the link was cut or its target did not accept.
    pub refused: u64,
    /// Bytes carried, in both directions.
    pub carried: u64,
    /// Bytes dropped, in both directions.
    pub dropped: u64,
}
