//! Counts new streams at all hosts.
//!
//! Each host measures its own arrivals. They travel in the lists of endpoint loads, so that [`crate::reported_loads`]
//! sums them, and hosts that don't know these entries pass them on as loads of unknown endpoints.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    choice::{Load, LoadMap},
    dispatch_rate::RecentDispatches,
};

/// What precedes the name of a service in the id of the entry with the arrivals of its new streams.
const ID_PREFIX: &str = "arrivals/";

/// New streams by service.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Recent ones at this host, whether they were admitted or not.
    own: FxHashMap<Rc<str>, RecentDispatches>,
    /// Those per second that the other hosts last reported.
    others_per_s: FxHashMap<Rc<str>, f64>,
}

impl Arrivals {
    /// Records that a new stream for a service has arrived at this host.
    pub fn record(&mut self, service: &Rc<str>, now: Duration) {
        self.own.entry(service.clone()).or_default().record(now);
    }

    /// Adds the arrivals at this host to a list of loads, which may be a sum that contains those of other hosts.
    pub fn add_to(&self, loads: &mut LoadMap, now: Duration) {
        for (service, arrivals) in &self.own {
            let sum = loads
                .entry(format!("{ID_PREFIX}{service}").into())
                .or_default();
            *sum = sum.plus(Load {
                requests: arrivals.per_s(now),
                token_layers: 0.0,
            });
        }
    }

    /// Replaces what the other hosts have reported by the entries of a list of loads, and removes these from it.
    pub fn take_from(&mut self, others: &mut LoadMap) {
        self.others_per_s.clear();
        others.retain(|id, load| {
            let Some(service) = id.strip_prefix(ID_PREFIX) else {
                return true;
            };
            self.others_per_s.insert(service.into(), load.requests);
            false
        });
    }

    /// New streams per second for a service at this host.
    pub fn own_per_s(&self, service: &str, now: Duration) -> f64 {
        self.own.get(service).map_or(0.0, |a| a.per_s(now))
    }

    /// New streams per second for a service at the other hosts, as last reported.
    pub fn others_per_s(&self, service: &str) -> f64 {
        self.others_per_s.get(service).copied().unwrap_or(0.0)
    }
}
