//! The ledger of an engine: a record of the steps that it ran.

use std::{collections::VecDeque, sync::Arc};

use dragonflyrill_engines::wire;
use serde::{Deserialize, Serialize};

/// The maximum number of entries that are kept.
pub const MAX_ENTRIES: usize = 1_000_000;

/// One step that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The id of the request.
    pub request: Arc<str>,
    /// The attempt number of the request.
    pub attempt: u32,
    /// The layers that ran.
    pub layers: wire::Layers,
    /// The first position.
    pub start: u32,
    /// The number of positions.
    pub count: u32,
    /// When it ended, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The newest [`MAX_ENTRIES`] steps that ran, oldest first.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: VecDeque<LedgerEntry>,
}

impl Ledger {
    /// Adds an entry and drops the oldest one if there are [`MAX_ENTRIES`] already.
    pub fn push(&mut self, entry: LedgerEntry) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// The entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &LedgerEntry> {
        self.entries.iter()
    }
}
