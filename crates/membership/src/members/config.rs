//! Settings of [`super::Members`].

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::DataCentre;
use dragonflyrill_protocol::{HostId, HostRef};

/// What a host knows of itself, and the intervals of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// This life of this host.
    pub me: HostRef,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its address for other hosts.
    pub addr: SocketAddr,
    /// The seed of jitter and of random choices.
    pub seed: u64,
    /// The intervals; the same on all hosts.
    pub intervals: Intervals,
}

/// Intervals of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Intervals {
    /// Between heartbeats to each host of the data centre.
    pub heartbeat: Duration,
    /// Between heartbeats to each other data centre.
    pub link: Duration,
    /// A host of the data centre is suspected after this silence. Above twice `heartbeat`, so that
    /// one late heartbeat raises no suspicion.
    pub suspect_after: Duration,
    /// A suspected host is held dead after this time more.
    pub dead_after: Duration,
    /// All hosts of another data centre are suspected after this silence of it.
    pub silent_after: Duration,
    /// Dead hosts, and hosts of a silent data centre, are forgotten after this time unless listed.
    pub remove_after: Duration,
    /// Between repairs of differing records.
    pub repair: Duration,
}

impl Default for Intervals {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            link: Duration::from_secs(1),
            suspect_after: Duration::from_millis(1200),
            dead_after: Duration::from_secs(2),
            silent_after: Duration::from_secs(3),
            remove_after: Duration::from_secs(600),
            repair: Duration::from_secs(1),
        }
    }
}

/// An entry host on the platform's list, or one named in the settings to start from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ListedPeer {
    /// The host.
    pub id: HostId,
    /// Its address for other hosts.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is listed as leaving. While the host itself is heard, its own word counts.
    pub shutting_down: bool,
}
