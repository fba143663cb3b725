//! The loads that other hosts have reported, and their sums.
//!
//! Each host of a data centre polls the same one several times a second and is answered with the sum of all loads but
//! its own. The sums are updated with each report, as adding up all reports for each answer would take work that grows
//! with the square of the number of hosts.

use std::{collections::VecDeque, time::Duration};

use rustc_hash::FxHashMap;

use crate::choice::LoadMap;

/// Number of requests below which the load of an endpoint is a rounding error of sums and differences.
const MIN_REQUESTS: f64 = 0.5;

/// The last report of a host.
#[derive(Debug)]
struct HostReport {
    data_centre: String,
    loads: LoadMap,
    received_at: Duration,
}

/// The loads that other hosts have reported.
#[derive(Debug)]
pub struct ReportedLoads {
    /// How long a report is used.
    ttl: Duration,
    by_host: FxHashMap<String, HostReport>,
    /// The sum of the reports of each data centre.
    sums: FxHashMap<String, LoadMap>,
    /// When reports were received, and from which host, in ascending order.
    received: VecDeque<(Duration, String)>,
    updated_entries: u64,
}

impl ReportedLoads {
    /// Creates an empty set of reports, each of which is used for `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            by_host: FxHashMap::default(),
            sums: FxHashMap::default(),
            received: VecDeque::new(),
            updated_entries: 0,
        }
    }

    /// Records a host's report of its own loads or of those of its data centre, which replaces its last one.
    pub fn record(&mut self, host: &str, data_centre: &str, loads: LoadMap, now: Duration) {
        self.expire(now);
        self.remove(host);
        let sum = self.sums.entry(data_centre.to_owned()).or_default();
        add(sum, &loads);
        self.updated_entries += loads.len() as u64;
        let report = HostReport {
            data_centre: data_centre.to_owned(),
            loads,
            received_at: now,
        };
        self.by_host.insert(host.to_owned(), report);
        self.received.push_back((now, host.to_owned()));
    }

    /// The sum of the loads of all hosts.
    pub fn sum(&mut self, now: Duration) -> LoadMap {
        self.expire(now);
        let mut all = LoadMap::default();
        self.sums.values().for_each(|sum| add(&mut all, sum));
        all
    }

    /// The sum of the loads of all hosts except one.
    pub fn sum_except(&mut self, host: &str, now: Duration) -> LoadMap {
        let mut sum = self.sum(now);
        if let Some(report) = self.by_host.get(host) {
            subtract(&mut sum, &report.loads);
        }
        sum
    }

    /// The sum of the loads that the hosts of a data centre have reported.
    pub fn sum_of(&mut self, data_centre: &str, now: Duration) -> LoadMap {
        self.expire(now);
        self.sums.get(data_centre).cloned().unwrap_or_default()
    }

    /// Number of entries of sums that reports have added or removed so far.
    pub fn updated_entries(&self) -> u64 {
        self.updated_entries
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, host)) = self.received.front() {
            if *at + self.ttl > now {
                return;
            }
            let latest = self.by_host.get(host).is_some_and(|r| r.received_at == *at);
            let Some((_, host)) = self.received.pop_front() else {
                return;
            };
            if latest {
                self.remove(&host);
            }
        }
    }

    fn remove(&mut self, host: &str) {
        let Some(report) = self.by_host.remove(host) else {
            return;
        };
        self.updated_entries += report.loads.len() as u64;
        if let Some(sum) = self.sums.get_mut(&report.data_centre) {
            subtract(sum, &report.loads);
        }
    }
}

/// Adds loads to a sum.
pub fn add(sum: &mut LoadMap, loads: &LoadMap) {
    for (id, load) in loads {
        let entry = sum.entry(id.clone()).or_default();
        *entry = entry.plus(*load);
    }
}

/// Subtracts loads that were added to a sum.
fn subtract(sum: &mut LoadMap, loads: &LoadMap) {
    for (id, load) in loads {
        let Some(entry) = sum.get_mut(id) else {
            continue;
        };
        *entry = entry.minus(*load);
        if entry.requests < MIN_REQUESTS {
            sum.remove(id);
        }
    }
}
