//! Settings of [`super::Spread`].

use std::time::Duration;

use dragonflyrill_catalogue::DataCentre;
use dragonflyrill_protocol::HostRef;

/// What a host knows of itself, and what the spread may cost.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// This life of this host.
    pub me: HostRef,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The seed of jitter and of random choices.
    pub seed: u64,
    /// What the spread may cost.
    pub budget: Budget,
}

/// What the spread may cost a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    /// The hosts of a data centre that ask the platform. With 25 data centres, the defaults ask it
    /// 25 x 2 x 2 = 100 times a second.
    pub pollers: usize,
    /// Between two polls of one host.
    pub poll_interval: Duration,
    /// The most polls waiting for an answer. More than one, so that a platform that takes seconds
    /// to answer delays a change once and not twice.
    pub max_pending_polls: usize,
    /// A poll without an answer is given up after this time.
    pub poll_timeout: Duration,
    /// A host that starts asks the platform only when another host has told its revision, or after
    /// this time.
    pub startup_wait: Duration,
    /// Between digests to some hosts of the data centre and over the links.
    pub digest_interval: Duration,
    /// To how many hosts of the data centre.
    pub digest_fanout: usize,
    /// A pull without an answer may be repeated after this time. No host is served a whole
    /// catalogue twice within it.
    pub pull_interval: Duration,
    /// The most changes kept to answer pulls.
    pub max_log_changes: usize,
    /// The most bytes of changes kept to answer pulls.
    pub max_log_bytes: usize,
    /// Larger changes are only announced to the hosts of the data centre.
    pub max_push_bytes: usize,
    /// The aim for the size of one message. Far below [`dragonflyrill_protocol::MAX_FRAME`].
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
