//! The stored row of a lease.

use dragonflyrill_protocol::HostRef;
use serde::{Deserialize, Serialize};

/// The row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The host that wrote the row.
    pub holder: HostRef,
    /// The fencing number of the hold. Never decreases as long as the table keeps its rows.
    pub fence: u64,
    /// How long the holder may act after the write, in milliseconds; 0 if the lease is released.
    pub term_ms: u64,
    /// The unique id of the write that created this version of the row.
    pub write_id: String,
}

impl LeaseRow {
    /// Encodes the row for the table, as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a lease row can be serialized")
    }

    /// Decodes a row from the table.
    ///
    /// # Errors
    /// Fails if the bytes are not a lease row.
    pub fn decode(raw: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(raw)
    }

    /// Whether the holder released the lease.
    pub fn is_released(&self) -> bool {
        self.term_ms == 0
    }
}
