//! Restorations of the store from a copy, which void all positions that this host knows.

use std::rc::Rc;

use dragonflyrill_fleet::timeline::{LatestTimeline, Observation, Timeline};

use super::Gateway;

/// The number of heartbeat intervals after which the entry of an endpoint that has left is gone from a restored store:
/// entries are removed after three intervals without a heartbeat, and one more allows for delays.
const MAX_LAPSE_HEARTBEATS: u32 = 4;

impl Gateway {
    /// The latest timeline of the store that this host has heard of; `None` before the first answer.
    pub fn timeline(&self) -> Option<Timeline> {
        self.timeline.get().latest()
    }

    /// What this host knows of the timelines of the store.
    pub fn known_timelines(&self) -> LatestTimeline {
        self.timeline.get()
    }

    /// Records a timeline that the store or another host has stated.
    pub fn observe_timeline(&self, stated: Timeline, source: &str) -> Observation {
        let mut latest = self.timeline.get();
        let observation = latest.observe(stated);
        self.timeline.set(latest);
        if let Observation::Restored { before } = observation {
            log::warn!(target: "store", timeline = stated.0, before = before.0, source = source; "The store was restored from a copy. Positions in its earlier changes are discarded.");
            self.metrics.store_restorations.inc();
            self.record_restoration();
        }
        observation
    }

    fn record_restoration(&self) {
        let now = self.now();
        self.outage.borrow_mut().record_restoration(now);
        let max_lapse = self.settings.endpoint_heartbeat * MAX_LAPSE_HEARTBEATS;
        let mut directory = self.directory.borrow_mut();
        directory.record_restoration(max_lapse, now);
        drop(directory);
        self.bounds.record_restoration();
        self.peers.set_lease(None);
    }

    /// Forgets endpoints whose entries have lapsed and have not reappeared in time, and lists those whose withheld
    /// entries have not lapsed.
    pub fn expire_entries(self: &Rc<Self>) {
        let now = self.now();
        let lapsed = &self.lapsed_endpoints;
        let expired: Vec<_> = lapsed
            .borrow_mut()
            .extract_if(|_, until| *until <= now)
            .collect();
        for (id, _) in expired {
            self.remove_endpoint(&id);
        }
        let released = self.directory.borrow_mut().take_withheld(now);
        for endpoint in released {
            self.list_endpoint(endpoint);
        }
    }
}
