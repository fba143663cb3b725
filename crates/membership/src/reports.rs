//! Which host polls which endpoint for its load, and how hosts share the reports.
//!
//! Each endpoint is polled by one host of its data centre, chosen by rendezvous hashing, and the
//! hosts share the reports: with 480 endpoints and 14 hosts, each host polls about 34. A share
//! holds the reports that changed; every few shares hold all reports, to replace lost messages.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_protocol::{
    HostId,
    membership::{EndpointKey, EndpointNews, Report},
};
use xxhash_rust::xxh3;

use crate::rendezvous;

/// Interval between two shares of this host's load reports.
pub const SHARE_INTERVAL: Duration = Duration::from_secs(2);
/// One share out of this many holds all reports instead of only the changed ones.
const FULL_SHARE_PERIOD: u64 = 5;
/// Resolution of the age of a load in a report.
const AGE_STEP: Duration = Duration::from_millis(100);

/// The host among `live` that polls `endpoint`.
pub fn polling_host<'a>(
    endpoint: &EndpointId,
    live: impl Iterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    let chosen = rendezvous::choose(endpoint.as_str(), live, 1);
    chosen.first().copied()
}

/// The key of an endpoint in reports: a hash of its id.
pub fn key(endpoint: &EndpointId) -> EndpointKey {
    EndpointKey(xxh3::xxh3_64(endpoint.as_str().as_bytes()) as u32)
}

/// The load of an endpoint at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Load {
    /// Requests running.
    pub running: u16,
    /// Requests waiting.
    pub waiting: u16,
    /// When the endpoint had this load, as far as is known.
    pub at: Duration,
}

/// The loads of the endpoints of a data centre, as one host knows them.
#[derive(Debug, Clone, Default)]
pub struct LoadReports {
    loads: BTreeMap<EndpointKey, Load>,
    /// The loads of the endpoints that this host polls, as they were last shared.
    polled: BTreeMap<EndpointKey, Option<Load>>,
    share_count: u64,
    next_share: Duration,
}

impl LoadReports {
    /// The newest known load of an endpoint.
    pub fn load(&self, endpoint: &EndpointId) -> Option<Load> {
        self.loads.get(&key(endpoint)).copied()
    }

    /// Records a load that this host polled, or that came with an answer.
    pub fn record_polled(&mut self, endpoint: &EndpointId, load: Load) {
        let key = key(endpoint);
        self.polled.entry(key).or_default();
        self.merge(key, load);
    }

    /// Merges reports received from another host.
    pub fn receive(&mut self, now: Duration, reports: &[Report]) {
        for report in reports {
            let age = AGE_STEP * u32::from(report.age_ds);
            let load = Load {
                running: report.running,
                waiting: report.waiting,
                at: now.saturating_sub(age),
            };
            self.merge(report.key, load);
        }
    }

    /// Removes the endpoints that this host no longer polls, and loads of `max_age` or older.
    pub fn retain(
        &mut self,
        now: Duration,
        max_age: Duration,
        is_polled: impl Fn(EndpointKey) -> bool,
    ) {
        self.polled.retain(|key, _| is_polled(*key));
        self.loads
            .retain(|_, load| now.saturating_sub(load.at) < max_age);
    }

    /// When [`Self::share`] must be called next.
    pub fn next_share(&self) -> Duration {
        self.next_share
    }

    /// The message for all other hosts of the data centre; `None` if no share is due or no load is
    /// to be reported.
    pub fn share(&mut self, now: Duration) -> Option<EndpointNews> {
        if now < self.next_share {
            return None;
        }
        self.next_share = now + SHARE_INTERVAL;
        self.share_count += 1;
        let full = self.share_count.is_multiple_of(FULL_SHARE_PERIOD);
        let mut reports = Vec::new();
        for (key, shared) in &mut self.polled {
            let Some(load) = self.loads.get(key) else {
                continue;
            };
            let unchanged = |s: &Load| s.running == load.running && s.waiting == load.waiting;
            if !full && shared.as_ref().is_some_and(unchanged) {
                continue;
            }
            *shared = Some(*load);
            reports.push(to_report(now, *key, load));
        }
        (!reports.is_empty()).then_some(EndpointNews::Reports(reports))
    }

    fn merge(&mut self, key: EndpointKey, load: Load) {
        let known = self.loads.entry(key).or_insert(load);
        if load.at >= known.at {
            *known = load;
        }
    }
}

fn to_report(now: Duration, key: EndpointKey, load: &Load) -> Report {
    let age = now.saturating_sub(load.at).as_millis() / AGE_STEP.as_millis();
    Report {
        key,
        running: load.running,
        waiting: load.waiting,
        age_ds: u8::try_from(age).unwrap_or(u8::MAX),
    }
}
