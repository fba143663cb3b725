//! Identifiers of entry hosts.

use std::fmt;

use dragonflyrill_catalogue::Name;
use serde::{Deserialize, Serialize};

/// The name of an entry host, from its settings. A replacement of the host may use the same name.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub Name);

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One incarnation of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostRef {
    /// Name of the host.
    pub id: HostId,
    /// Increases with each start of a host of this name.
    pub incarnation: u64,
}
