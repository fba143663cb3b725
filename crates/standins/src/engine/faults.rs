//! The faults that can be injected into an engine.

use serde::{Deserialize, Serialize};

use crate::number;

/// The operating mode of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It works normally.
    #[default]
    Up,
    /// It accepts calls but answers none of them until the mode changes.
    Freeze,
    /// Its iterations take `slow` times as long.
    Slow,
    /// It closes connections without an answer. Afterwards it is a new incarnation of the endpoint
    /// that keeps only its ledger and counters.
    Down,
}

/// The active faults. A field that is missing in JSON has its default.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The operating mode.
    pub mode: Mode,
    /// The factor on iteration times in [`Mode::Slow`].
    #[serde(deserialize_with = "number::de_factor")]
    pub slow: f64,
    /// The fraction of step results, 0 to 1, that are lost: the step runs, then the connection is
    /// closed instead of sending the result.
    #[serde(deserialize_with = "number::de_share")]
    pub drop_answers: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            mode: Mode::Up,
            slow: 1.0,
            drop_answers: 0.0,
        }
    }
}

impl Faults {
    /// The factor on iteration times in the current mode.
    pub(crate) fn slow_factor(&self) -> f64 {
        if self.mode == Mode::Slow {
            self.slow
        } else {
            1.0
        }
    }
}
