//! Delta synchronization of two hosts: how far each knows what has changed at the other.
//!
//! Each counts its own changes. A host that asks another tells what the other was not told yet, and gets
//! what it does not know. Calls may be lost, and the process at the other end may be another one than before:
//! then all is told anew, as telling the same twice does no harm.

/// A place in the changes of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cursor {
    /// Names the host and its incarnation; 0 is none.
    pub origin: u64,
    /// How many of its changes are known.
    pub version: u64,
}

impl Cursor {
    /// After which of its changes a host tells somebody who knows them up to here; `origin` is its own.
    pub fn known_version(&self, origin: u64) -> u64 {
        match self.origin == origin {
            true => self.version,
            false => 0,
        }
    }
}

/// How far this host and one that it asks have told each other.
#[derive(Debug, Clone, Copy, Default)]
pub struct DeltaSync {
    /// Up to which of this host's changes the other one knows.
    acknowledged: u64,
    received: Cursor,
}

impl DeltaSync {
    /// After which of this host's changes the other one is told.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Up to where this host knows the other's changes.
    pub fn received(&self) -> Cursor {
        self.received
    }

    /// A call was answered that told this host's changes up to a version, with all of the other's up to a
    /// place.
    pub fn record_response(&mut self, version: u64, cursor: Cursor) {
        // It may be another process than the one that was told what went before.
        let same = self.received.origin == cursor.origin;
        let sent_all = self.acknowledged == 0;
        self.acknowledged = if same || sent_all { version } else { 0 };
        self.received = cursor;
    }

    /// A call was not answered: nobody knows what has come over.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
