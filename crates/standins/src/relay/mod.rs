//! A TCP relay whose links can be cut and delayed, for the links between data centres and to the
//! platform.
//!
//! Its control address takes:
//!
//! | call | answer |
//! |---|---|
//! | `POST /standin/faults` | 204; replaces the [`LinkFaults`] of all links |
//! | `POST /standin/links/NAME` | 204; replaces the [`LinkFaults`] of one link |
//! | `POST /standin/links/NAME/reset` | 204; resets the connections that are open |
//! | `POST /standin/links/NAME/silence` | 204; the connections that are open carry nothing more |
//! | `GET /standin/stats` | a JSON array of [`LinkStats`] |
//!
//! A link that is cut behaves like a network partition: bytes are dropped, ends of connections are
//! not passed on, and new connections are closed at once. Cut one way, it still carries the other
//! direction. When it is whole again, connections that lost bytes are closed, as nothing could put
//! them right. Connections that were silenced stay open and silent for good, while new ones work.
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
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where it leads.
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

/// Whether a link carries bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It does.
    #[default]
    Up,
    /// It drops them.
    Cut,
    /// It drops those towards its end.
    CutThere,
    /// It drops those from its end.
    CutBack,
}

/// One direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// Towards its end.
    There,
    /// From its end.
    Back,
}

impl Mode {
    /// Whether bytes of a direction are dropped.
    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::Up => false,
            Self::Cut => true,
            Self::CutThere => direction == Direction::There,
            Self::CutBack => direction == Direction::Back,
        }
    }
}

/// The faults of a link. A field left out of JSON has its default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Whether it carries bytes.
    pub mode: Mode,
    /// Time that bytes take one way, in milliseconds.
    pub delay_ms: u64,
}

/// What a link did since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStats {
    /// The link's name.
    pub name: String,
    /// Connections that were relayed.
    pub accepted: u64,
    /// Connections that were closed at once because the link was cut or its end did not answer.
    pub refused: u64,
    /// Bytes carried, both ways.
    pub carried: u64,
    /// Bytes dropped, both ways.
    pub dropped: u64,
}
