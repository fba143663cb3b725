//! Delta synchronization between two hosts: tracks how far each host knows the other's changes.
//!
//! Each host counts its own changes. A host that polls another sends the changes that the other has
//! not received yet, and receives those that it does not know itself. Calls may be lost, and the
//! process at the other end may have been replaced by a new one; then all changes are sent again,
//! which is harmless because applying a change twice has no effect.

/// A position in the change history of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cursor {
    /// Identifies the host and its incarnation; 0 means none.
    pub origin: u64,
    /// Number of its changes that are known.
    pub version: u64,
}

impl Cursor {
    /// Returns the version after which a host sends its changes to a peer that knows them up to
    /// this position; `origin` is the sending host's own.
    pub fn known_version(&self, origin: u64) -> u64 {
        match self.origin == origin {
            true => self.version,
            false => 0,
        }
    }
}

/// How far this host and a polled host know each other's changes.
#[derive(Debug, Clone, Copy, Default)]
pub struct DeltaSync {
    /// Version up to which the other host knows this host's changes.
    acknowledged: u64,
    received: Cursor,
}

impl DeltaSync {
    /// Returns the version after which this host's changes are sent to the other host.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Returns the position up to which this host knows the other host's changes.
    pub fn received(&self) -> Cursor {
        self.received
    }

    /// Records a successful call that sent this host's changes up to `version` and returned all of
    /// the other host's changes up to `cursor`.
    pub fn record_response(&mut self, version: u64, cursor: Cursor) {
        // The response may come from another process than the one that received the earlier
        // changes.
        let same = self.received.origin == cursor.origin;
        let sent_all = self.acknowledged == 0;
        self.acknowledged = if same || sent_all { version } else { 0 };
        self.received = cursor;
    }

    /// Resets the state after a failed call: it is unknown which changes arrived, so all are sent
    /// again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
