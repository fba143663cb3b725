//! Settings of [`super::Spread`].

use std::time::Duration;

use dragonflyrill_catalogue::DataCentre;
use dragonflyrill_protocol::HostRef;

/// The identity of a host, and the resource limits of the spread.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// This incarnation of this host.
    pub me: HostRef,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The seed of jitter and of random choices.
    pub seed: u64,
    /// The resource limits.
    pub budget: Budget,
}

/// Intervals, limits and sizes that bound what the spread costs a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Number of hosts of a data centre that poll the platform. With 25 data centres, the defaults
    /// send it 25 x 2 x 2 = 100 polls a second.
    pub pollers: usize,
    /// Interval between two polls of one host.
    pub poll_interval: Duration,
    /// Maximum number of polls without an answer. More than one, so that a platform that takes
    /// seconds to answer delays a change by one such answer and not by two.
    pub max_pending_polls: usize,
    /// Time after which a poll without an answer no longer counts as pending.
    pub poll_timeout: Duration,
    /// A host that starts polls the platform only after another host has reported its revision, or
    /// after this time.
    pub startup_wait: Duration,
    /// Interval between digests sent to some hosts of the data centre and over the links.
    pub digest_interval: Duration,
    /// Number of hosts of the data centre that are sent each of these digests.
    pub digest_fanout: usize,
    /// Time after which a pull without an answer may be retried. No host is sent a whole catalogue
    /// twice within it.
    pub pull_interval: Duration,
    /// Maximum number of changes stored to answer pulls.
    pub max_log_changes: usize,
    /// Maximum encoded bytes of changes stored to answer pulls.
    pub max_log_bytes: usize,
    /// Changes of more encoded bytes are only announced by a digest to the hosts of the data
    /// centre.
    pub max_push_bytes: usize,
    /// Target size of one message in encoded bytes. Far below
    /// [`dragonflyrill_protocol::MAX_FRAME`].
    pub target_part_bytes: usize,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            pollers: 2,
            poll_interval: Duration::from_millis(500),
            max_pending_polls: 8,
            poll_timeout: Duration::from_secs(5),
            startup_wait: Duration::from_secs(2),
            digest_interval: Duration::from_millis(500),
            digest_fanout: 2,
            pull_interval: Duration::from_millis(400),
            max_log_changes: 1000,
            max_log_bytes: 1 << 20,
            max_push_bytes: 16 << 10,
            target_part_bytes: 256 << 10,
        }
    }
}
