//! The other entry hosts, so that one host of a data centre reads the store for all of it.
//!
//! The hosts of a data centre are ranked by name. Each takes the first that can be reached as the one
//! to ask; the one that finds itself first reads the store. Nobody is elected: if a host can't be
//! reached, those who asked it go on to the next, and then to the store. If the first has no answer
//! from the store, it has the others try in turn ([`dragonflyrill_fleet::store_access`]), and asks
//! the one that has an answer. The first hosts exchange the loads of their data centres.
//!
//! [`Peers`] is what is known of the others; [`serve`] answers them and [`follow`] asks them.

mod documents;
pub mod follow;
mod limits;
pub mod serve;
mod suspects;

use std::{
    cell::{Cell, RefCell},
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::{
    choice::{Load, LoadMap},
    endpoint_limits,
    endpoints::AvoidedEndpoint,
    store_access::ProbeSlots,
};
use dragonflyrill_protocol::exchange::{self, EndpointLoad, FleetHost, LeaseRow, ListMark};
use rustc_hash::{FxHashMap, FxHasher};
use tokio::sync::Notify;

use self::documents::CatalogueDocuments;
use crate::settings::Settings;

/// How long what another host told of its loads is counted.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1500);

/// Hosts of a data centre that are asked by others, one after the other.
pub const MAX_POLLED_HOSTS: usize = 2;

/// How long a host that failed is passed over the first time.
const FIRST_SKIP: Duration = Duration::from_secs(2);

/// What another host told of its loads.
struct PeerReport {
    from: FleetHost,
    loads: LoadMap,
    /// What it avoided then.
    avoided: Vec<AvoidedEndpoint>,
    /// When the store last answered it, if it reads the store itself.
    read_at: Option<Duration>,
    received_at: Duration,
}

/// What is known of the other hosts.
#[derive(Default)]
pub struct Peers {
    /// All hosts that are alive, this one included, in order.
    fleet: RefCell<Vec<FleetHost>>,
    fleet_hash: Cell<u64>,
    /// Hosts that could not be used: until when they are passed over, and how often in a row.
    skipped: RefCell<FxHashMap<String, (Duration, u32)>>,
    /// Hosts of this data centre, and the reading hosts of others, by name.
    reports: RefCell<FxHashMap<String, PeerReport>>,
    /// Up to where the list of the host that this one asks is known.
    list_position: Cell<ListMark>,
    /// The row of the lease as it was last read or told.
    lease: RefCell<Option<LeaseRow>>,
    /// This incarnation of this host.
    incarnation: Cell<u64>,
    /// The host whose reading of the store this one is told.
    reader: RefCell<Option<String>>,
    /// Hands out turns to try a store that does not answer.
    probe_slots: RefCell<ProbeSlots>,
    /// Gives out the catalogue's document.
    documents: CatalogueDocuments,
    /// News that the other hosts wait for.
    poll_requested: Notify,
    /// Whether the other hosts are known, as far as they can be: this host has just started if not.
    fleet_known: Cell<bool>,
}

impl Peers {
    /// Sets this host's incarnation.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.set(incarnation);
    }

    /// Names this incarnation of this host's list. Incarnations alone don't: hosts that start at the
    /// same moment have the same one.
    pub fn list_origin(&self, host: &str) -> u64 {
        let mut hasher = FxHasher::default();
        (host, self.incarnation.get()).hash(&mut hasher);
        hasher.finish()
    }

    /// This host's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// The hosts that are alive.
    pub fn fleet(&self) -> Vec<FleetHost> {
        self.fleet.borrow().clone()
    }

    /// Takes the hosts that are alive.
    pub fn set_fleet(&self, mut fleet: Vec<FleetHost>) {
        fleet.sort();
        let mut hasher = FxHasher::default();
        fleet.hash(&mut hasher);
        self.fleet_hash.set(hasher.finish());
        *self.fleet.borrow_mut() = fleet;
    }

    /// The row of the lease.
    pub fn lease(&self) -> Option<LeaseRow> {
        self.lease.borrow().clone()
    }

    /// Takes the row of the lease.
    pub fn set_lease(&self, row: Option<LeaseRow>) {
        *self.lease.borrow_mut() = row;
    }

    /// The first host of a data centre that is not passed over, of those before `me` in rank if
    /// that is given; `None` if there is none.
    fn first_available(
        &self,
        data_centre: &str,
        me: Option<&str>,
        now: Duration,
    ) -> Option<FleetHost> {
        let skipped = self.skipped.borrow();
        let fleet = self.fleet.borrow();
        let mut ranked = fleet
            .iter()
            .filter(|h| h.data_centre == data_centre && me.is_none_or(|me| *h.host < *me));
        let available = |h: &&FleetHost| skipped.get(&h.host).is_none_or(|(t, _)| *t <= now);
        ranked.find(available).cloned()
    }

    /// The data centres of the fleet but one.
    fn other_data_centres(&self, own: &str) -> Vec<String> {
        let fleet = self.fleet.borrow();
        let mut others: Vec<String> = fleet.iter().map(|h| h.data_centre.clone()).collect();
        others.retain(|d| d != own);
        others.sort();
        others.dedup();
        others
    }

    /// A host could not be used: it is passed over for a while, longer each time.
    fn skip(&self, host: &str, now: Duration) {
        let mut skipped = self.skipped.borrow_mut();
        let (until, times) = skipped.entry(host.to_owned()).or_default();
        let duration = FIRST_SKIP * 2u32.saturating_pow((*times).min(3));
        *until = now + duration;
        *times += 1;
    }

    /// Whether this host is among the first of its data centre, which others ask.
    pub fn is_polled_host(&self, settings: &Settings) -> bool {
        let fleet = self.fleet.borrow();
        let near = fleet
            .iter()
            .filter(|h| *h.data_centre == *settings.data_centre);
        let before = near.filter(|h| h.host < settings.host).count();
        before < MAX_POLLED_HOSTS
    }

    /// The store has answered after trouble: hosts that were passed over may be asked again.
    pub fn clear_skipped(&self) {
        self.skipped.borrow_mut().clear();
    }

    /// A host had fresh news.
    fn record_success(&self, host: &str) {
        self.skipped.borrow_mut().remove(host);
    }

    /// The other hosts are known, as far as they can be.
    pub fn set_fleet_known(&self) {
        if !self.fleet_known.replace(true) {
            self.poll_now();
        }
    }

    /// Whether another host of this data centre can be asked before this one reads the store.
    pub fn has_host_to_poll(&self, settings: &Settings, now: Duration) -> bool {
        let before = Some(settings.host.as_str());
        self.first_available(&settings.data_centre, before, now)
            .is_some()
    }

    /// The next call is made at once.
    pub fn poll_now(&self) {
        self.poll_requested.notify_one();
    }

    /// Another host told of its loads, or of those of its data centre.
    fn record_report(&self, report: PeerReport) {
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, r| r.received_at + PEER_REPORT_TTL > report.received_at);
        reports.insert(report.from.host.clone(), report);
    }

    /// How many hosts of this data centre that come later have lately asked this one.
    pub fn polling_hosts(&self, settings: &Settings, now: Duration) -> u32 {
        let reports = self.reports.borrow();
        let polling = reports.values().filter(|r| {
            let near = r.from.data_centre == *settings.data_centre;
            near && r.from.host > settings.host
                && r.received_at + endpoint_limits::POOLED_SHARE_TTL > now
        });
        polling.count() as u32
    }

    /// Whether a host that asks is to try the store now, which does not answer this one.
    fn grant_probe_slot(&self, host: &str, data_centre: &str, now: Duration) -> bool {
        let reports = self.reports.borrow();
        let near = reports
            .iter()
            .filter(|(_, r)| r.from.data_centre == data_centre);
        let others = near.map(|(name, _)| &**name);
        self.probe_slots.borrow_mut().grant(host, others, now)
    }

    /// The store is heard of again.
    fn reset_probe_slots(&self) {
        self.probe_slots.borrow_mut().reset();
    }

    /// A host of a data centre that has told that it reads the store, and when last, at the latest
    /// `since`. It may have started after this host last read who there is: without the store this one learns
    /// of it by that alone.
    fn find_reader(&self, data_centre: &str, since: Duration) -> Option<FleetHost> {
        let reports = self.reports.borrow();
        let near = reports
            .values()
            .filter(|r| r.from.data_centre == data_centre);
        let recent = near.filter_map(|r| Some((r.read_at.filter(|at| *at >= since)?, r)));
        let newest = recent.max_by_key(|(at, _)| *at);
        newest.map(|(_, r)| r.from.clone())
    }

    /// The sum of what was heard from hosts that `of` accepts, by name and data centre.
    fn sum_loads(&self, now: Duration, includes: impl Fn(&str, &str) -> bool) -> LoadMap {
        let mut sum = LoadMap::default();
        for (host, report) in self.reports.borrow().iter() {
            if report.received_at + PEER_REPORT_TTL > now
                && includes(host, &report.from.data_centre)
            {
                add(&mut sum, &report.loads);
            }
        }
        sum
    }

    /// What the hosts that told this one avoid, but for `host`, and for how long still.
    fn avoided_except(&self, host: &str, now: Duration) -> Vec<AvoidedEndpoint> {
        let reports = self.reports.borrow();
        let others = reports.iter().filter(|(name, _)| **name != *host);
        let avoided = others.flat_map(|(_, r)| r.avoided.iter().map(|a| (r.received_at, a)));
        let remaining = avoided.map(|(at, a)| AvoidedEndpoint {
            id: a.id.clone(),
            remaining: (at + a.remaining).saturating_sub(now),
        });
        remaining.filter(|a| !a.remaining.is_zero()).collect()
    }
}

fn add(sum: &mut LoadMap, loads: &LoadMap) {
    for (id, load) in loads {
        let entry = sum.entry(id.clone()).or_default();
        *entry = entry.plus(*load);
    }
}

fn to_wire(loads: &LoadMap) -> Vec<EndpointLoad> {
    let one = |(id, load): (&Rc<str>, &Load)| EndpointLoad {
        endpoint: id.to_string(),
        requests: load.requests as f32,
        token_layers: load.token_layers as f32,
    };
    loads.iter().map(one).collect()
}

fn from_wire(loads: &[EndpointLoad]) -> LoadMap {
    let one = |l: &EndpointLoad| {
        let load = Load {
            requests: f64::from(l.requests),
            token_layers: f64::from(l.token_layers),
        };
        (Rc::from(l.endpoint.as_str()), load)
    };
    loads.iter().map(one).collect()
}

fn avoided_to_wire(avoided: &[AvoidedEndpoint]) -> Vec<exchange::Avoided> {
    let one = |a: &AvoidedEndpoint| exchange::Avoided {
        endpoint: a.id.to_string(),
        left_ms: u32::try_from(a.remaining.as_millis()).unwrap_or(u32::MAX),
    };
    avoided.iter().map(one).collect()
}

fn avoided_from_wire(avoided: &[exchange::Avoided]) -> Vec<AvoidedEndpoint> {
    let one = |a: &exchange::Avoided| AvoidedEndpoint {
        id: Rc::from(a.endpoint.as_str()),
        remaining: Duration::from_millis(a.left_ms.into()),
    };
    avoided.iter().map(one).collect()
}
