//! Settings of a group.

use std::time::Duration;

/// Settings of a [`Group`](super::Group).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupConfig {
    /// The longest time between sending an order and its effect. The driver sends each order once
    /// and closes the connection before this time has passed.
    pub max_flight_time: Duration,
    /// The interval between two reads of an engine's state.
    pub read_interval: Duration,
    /// The age, counted from the start of the read, above which an engine's state is ignored.
    /// Longer than `read_interval`.
    pub max_state_age: Duration,
    /// How long an endpoint may still receive new work after its drain started. A session count
    /// taken before the end of this time is ignored.
    pub drain_settle_time: Duration,
    /// The time after which a draining endpoint is sent its order even if it still has sessions.
    /// Its requests continue on the other endpoints that serve its layers.
    pub max_drain_time: Duration,
}

impl Default for GroupConfig {
    fn default() -> Self {
        Self {
            max_flight_time: Duration::from_secs(2),
            read_interval: Duration::from_secs(1),
            max_state_age: Duration::from_secs(3),
            drain_settle_time: Duration::from_secs(2),
            max_drain_time: Duration::from_secs(60),
        }
    }
}
