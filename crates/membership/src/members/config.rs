//! Settings of [`super::Members`].

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::DataCentre;
use dragonflyrill_protocol::{HostId, HostRef};

/// The identity of a host, and the intervals of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// This incarnation of this host.
    pub me: HostRef,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its address for other hosts.
    pub addr: SocketAddr,
    /// The seed of jitter and of random choices.
    pub seed: u64,
    /// The intervals. They must be the same on all hosts.
    pub intervals: Intervals,
}

/// Intervals and timeouts of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Intervals {
    /// Interval between heartbeats to each host of the data centre.
    pub heartbeat: Duration,
    /// Interval between heartbeats over the links to each other data centre.
    pub link: Duration,
    /// Silence after which a host of the data centre is suspected. More than twice `heartbeat`, so
    /// that one late heartbeat raises no suspicion.
    pub suspect_after: Duration,
    /// Time after which a suspected host that stays silent is considered dead.
    pub dead_after: Duration,
    /// Silence after which all hosts of another data centre are suspected.
    pub silent_after: Duration,
    /// Time after which the records of dead hosts are removed, and those of hosts of a silent data
    /// centre that are not listed.
    pub remove_after: Duration,
    /// Minimum interval between exchanges to repair differing records.
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

/// An entry host on the platform's list, or a seed host named in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ListedPeer {
    /// The host.
    pub id: HostId,
    /// Its address for other hosts.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether the host is listed as shutting down. Ignored once there is a record of the host.
    pub shutting_down: bool,
}
