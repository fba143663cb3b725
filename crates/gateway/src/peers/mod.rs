//! Communication with the other entry hosts, so that one host of a data centre reads the store on
//! behalf of all of them.
//!
//! The hosts of a data centre are ranked by name. Each host polls the first one that it can reach;
//! the host that finds no reachable host before it reads the store. There is no election: if a host
//! can't be reached, those that polled it poll the next one, and after [`MAX_POLLED_HOSTS`] they
//! read the store. If the first host gets no answer from the store, it grants probe slots to the
//! others in turn ([`dragonflyrill_fleet::store_access`]) and polls a host that got an answer. The
//! first hosts of the data centres exchange the loads of their data centres.
//!
//! [`Peers`] is what this host knows of the others; [`serve`] answers them and [`follow`] polls
//! them.

mod documents;
pub mod follow;
mod limits;
pub(crate) mod row_writes;
pub mod serve;
mod suspects;
pub mod timelines;

use std::{
    cell::{Cell, Ref, RefCell},
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::{
    choice::{Load, LoadMap},
    endpoint_limits,
    endpoints::AvoidedEndpoint,
    reported_loads::ReportedLoads,
    store_access::ProbeSlots,
};
use dragonflyrill_protocol::exchange::{self, EndpointLoad, FleetHost, LeaseRow, ListPosition};
use rustc_hash::{FxHashMap, FxHasher};
use tokio::sync::Notify;

use self::documents::CatalogueDocuments;
use crate::{gateway::Gateway, settings::Settings};

/// How long the loads that another host has reported are used.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1500);

/// Maximum number of hosts of a data centre that a host polls, one after the other until one
/// answers.
pub const MAX_POLLED_HOSTS: usize = 2;

/// How long a host that has failed is skipped after its first failure.
const FIRST_SKIP: Duration = Duration::from_secs(2);

/// What another host has reported with a call or an answer.
struct PeerReport {
    from: FleetHost,
    /// Endpoints that the reporting host avoids, with the remaining time at `received_at`.
    avoided: Vec<AvoidedEndpoint>,
    /// When the store last answered the reporting host, if that host reads the store itself.
    read_at: Option<Duration>,
    received_at: Duration,
}

/// What this host knows of the other hosts.
pub struct Peers {
    /// All live hosts, including this one, sorted.
    fleet: RefCell<Vec<FleetHost>>,
    fleet_hash: Cell<u64>,
    /// Hosts that could not be used: the time until which each is skipped, and its number of
    /// consecutive failures.
    skipped: RefCell<FxHashMap<String, (Duration, u32)>>,
    /// The last reports of the hosts of this data centre and of the reading hosts of others, by
    /// host name.
    reports: RefCell<FxHashMap<String, PeerReport>>,
    /// The loads in these reports.
    loads: RefCell<ReportedLoads>,
    /// Position up to which the polled host's list of endpoints is known.
    list_position: Cell<ListPosition>,
    /// The version of this host's suspects that was last reported to a polled host of this data centre.
    reported_suspects_version: Cell<u64>,
    /// The row of the lease, as last read or received.
    lease: RefCell<Option<LeaseRow>>,
    /// The incarnation of this host.
    incarnation: Cell<u64>,
    /// The host whose reads of the store this one receives, directly or through the polled host.
    reader: RefCell<Option<String>>,
    /// Grants slots to probe a store that doesn't answer this host.
    probe_slots: RefCell<ProbeSlots>,
    /// The catalogue documents to send to other hosts.
    documents: CatalogueDocuments,
    /// The rows of other hosts that wait to be written.
    row_writes: row_writes::RowWrites,
    /// Notified when the next poll is to be made at once.
    poll_requested: Notify,
    /// Whether the other hosts are known as far as possible. If not, this host has only just
    /// started.
    fleet_known: Cell<bool>,
    /// The host that last polled this one with a newer catalogue than this one knows.
    newer_catalogue: RefCell<Option<NewerCatalogue>>,
}

/// A catalogue that another host knows and this one may not.
struct NewerCatalogue {
    version: u64,
    known_by: FleetHost,
    told_at: Duration,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            fleet: RefCell::default(),
            fleet_hash: Cell::default(),
            skipped: RefCell::default(),
            reports: RefCell::default(),
            loads: RefCell::new(ReportedLoads::new(PEER_REPORT_TTL)),
            list_position: Cell::default(),
            reported_suspects_version: Cell::default(),
            lease: RefCell::default(),
            incarnation: Cell::default(),
            reader: RefCell::default(),
            probe_slots: RefCell::default(),
            documents: CatalogueDocuments::default(),
            row_writes: row_writes::RowWrites::default(),
            poll_requested: Notify::default(),
            fleet_known: Cell::default(),
            newer_catalogue: RefCell::default(),
        }
    }
}

impl Peers {
    /// Sets this host's incarnation.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.set(incarnation);
    }

    /// Identifies the lists of this incarnation of this host. The incarnation alone is not enough:
    /// hosts that start at the same moment have the same one.
    pub fn list_origin(&self, host: &str) -> u64 {
        let mut hasher = FxHasher::default();
        (host, self.incarnation.get()).hash(&mut hasher);
        hasher.finish()
    }

    /// This host's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// The live hosts, including this one, sorted.
    pub fn fleet(&self) -> Vec<FleetHost> {
        self.fleet.borrow().clone()
    }

    /// The live hosts, including this one, sorted. The borrow must not be held across an await.
    pub(crate) fn known_fleet(&self) -> Ref<'_, Vec<FleetHost>> {
        self.fleet.borrow()
    }

    /// Replaces the list of live hosts, which includes this one.
    pub fn set_fleet(&self, mut fleet: Vec<FleetHost>) {
        fleet.sort();
        let mut hasher = FxHasher::default();
        fleet.hash(&mut hasher);
        self.fleet_hash.set(hasher.finish());
        *self.fleet.borrow_mut() = fleet;
    }

    /// The row of the lease, as last read or received.
    pub fn lease(&self) -> Option<LeaseRow> {
        self.lease.borrow().clone()
    }

    /// Sets the row of the lease.
    pub fn set_lease(&self, row: Option<LeaseRow>) {
        *self.lease.borrow_mut() = row;
    }

    /// The first host of a data centre that is not skipped. If `me` is given, only hosts that rank
    /// before `me` are considered. `None` if there is none.
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

    /// The data centres of the fleet except `own`, sorted.
    fn other_data_centres(&self, own: &str) -> Vec<String> {
        let fleet = self.fleet.borrow();
        let mut others: Vec<String> = fleet.iter().map(|h| h.data_centre.clone()).collect();
        others.retain(|d| d != own);
        others.sort();
        others.dedup();
        others
    }

    /// Skips a host that could not be used, for a time that doubles with each consecutive failure
    /// up to eight times the first.
    fn skip(&self, host: &str, now: Duration) {
        let mut skipped = self.skipped.borrow_mut();
        let (until, times) = skipped.entry(host.to_owned()).or_default();
        let duration = FIRST_SKIP * 2u32.saturating_pow((*times).min(3));
        *until = now + duration;
        *times += 1;
    }

    /// Whether this host is among the first [`MAX_POLLED_HOSTS`] of its data centre, which others
    /// poll.
    pub fn is_polled_host(&self, settings: &Settings) -> bool {
        let fleet = self.fleet.borrow();
        let near = fleet
            .iter()
            .filter(|h| *h.data_centre == *settings.data_centre);
        let before = near.filter(|h| h.host < settings.host).count();
        before < MAX_POLLED_HOSTS
    }

    /// Allows all skipped hosts to be polled again, because the store has answered after a failure.
    pub fn clear_skipped(&self) {
        self.skipped.borrow_mut().clear();
    }

    /// Records that a host has answered a poll, so it is no longer skipped.
    fn record_success(&self, host: &str) {
        self.skipped.borrow_mut().remove(host);
    }

    /// Records that the other hosts are known as far as possible.
    pub fn set_fleet_known(&self) {
        if !self.fleet_known.replace(true) {
            self.poll_now();
        }
    }

    /// Whether the other hosts are known as far as possible.
    pub fn is_fleet_known(&self) -> bool {
        self.fleet_known.get()
    }

    /// Whether there is another host of this data centre to poll before this host reads the store.
    pub fn has_host_to_poll(&self, settings: &Settings, now: Duration) -> bool {
        let before = Some(settings.host.as_str());
        self.first_available(&settings.data_centre, before, now)
            .is_some()
    }

    /// The version of this host's suspects that was last reported to a polled host of this data centre, which stores
    /// them; 0 if none was.
    pub fn reported_suspects_version(&self) -> u64 {
        self.reported_suspects_version.get()
    }

    /// Records that a host knows this version of the catalogue. A host that has just started may read an older one from
    /// a store that was restored from a copy.
    fn record_known_catalogue(&self, gateway: &Gateway, version: u64, known_by: &FleetHost) {
        if version > gateway.catalogue_version() {
            *self.newer_catalogue.borrow_mut() = Some(NewerCatalogue {
                version,
                known_by: known_by.clone(),
                told_at: gateway.now(),
            });
        }
    }

    /// The host that knows a newer catalogue than this one, if it has told so recently.
    fn host_with_newer_catalogue(&self, gateway: &Gateway) -> Option<FleetHost> {
        let newer = self.newer_catalogue.borrow();
        let newer = newer.as_ref().filter(|newer| {
            newer.version > gateway.catalogue_version()
                && gateway.running_since(newer.told_at) < PEER_REPORT_TTL
        });
        newer.map(|newer| newer.known_by.clone())
    }

    /// Whether another host knows a newer catalogue than this one.
    pub(crate) fn has_newer_catalogue(&self, gateway: &Gateway) -> bool {
        self.host_with_newer_catalogue(gateway).is_some()
    }

    /// Makes the next poll at once.
    pub fn poll_now(&self) {
        self.poll_requested.notify_one();
    }

    /// Records another host's report of its own loads or of those of its data centre.
    fn record_report(&self, report: PeerReport, loads: LoadMap) {
        let FleetHost {
            host, data_centre, ..
        } = &report.from;
        let now = report.received_at;
        self.loads
            .borrow_mut()
            .record(host, data_centre, loads, now);
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, r| r.received_at + PEER_REPORT_TTL > report.received_at);
        reports.insert(report.from.host.clone(), report);
    }

    /// Number of hosts of this data centre that rank after this one and have polled it within
    /// [`endpoint_limits::POOLED_SHARE_TTL`].
    pub fn polling_hosts(&self, settings: &Settings, now: Duration) -> u32 {
        let reports = self.reports.borrow();
        let polling = reports.values().filter(|r| {
            let near = r.from.data_centre == *settings.data_centre;
            near && r.from.host > settings.host
                && r.received_at + endpoint_limits::POOLED_SHARE_TTL > now
        });
        polling.count() as u32
    }

    /// Whether a polling host is granted a slot now to probe the store, which doesn't answer this
    /// host.
    fn grant_probe_slot(&self, host: &str, data_centre: &str, now: Duration) -> bool {
        let reports = self.reports.borrow();
        let near = reports
            .iter()
            .filter(|(_, r)| r.from.data_centre == data_centre);
        let others = near.map(|(name, _)| &**name);
        self.probe_slots.borrow_mut().grant(host, others, now)
    }

    /// Resets the schedule of probe slots, because the store answers again.
    fn reset_probe_slots(&self) {
        self.probe_slots.borrow_mut().reset();
    }

    /// Returns the host of a data centre that has reported the most recent answer of the store to
    /// itself, if that is not older than `since`. The host may have started after this one last
    /// read the fleet: while the store is unavailable, this host learns of it only by such a
    /// report.
    fn find_reader(&self, data_centre: &str, since: Duration) -> Option<FleetHost> {
        let reports = self.reports.borrow();
        let near = reports
            .values()
            .filter(|r| r.from.data_centre == data_centre);
        let recent = near.filter_map(|r| Some((r.read_at.filter(|at| *at >= since)?, r)));
        let newest = recent.max_by_key(|(at, _)| *at);
        newest.map(|(_, r)| r.from.clone())
    }

    /// The endpoints that the reporting hosts except `host` avoid, with the remaining time.
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

/// Adds to a list of loads what admission control exchanges: the work of workspaces and the arrivals of new streams.
fn add_reports(gateway: &Gateway, loads: &mut LoadMap) {
    gateway.usage.borrow().own_report().add_to(loads);
    if gateway.settings.admission.is_some() {
        let now = gateway.now();
        gateway.loads.borrow().arrivals.add_to(loads, now);
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
    let loads = loads.iter().filter(|l| !timelines::is_entry(l));
    loads.map(one).collect()
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
