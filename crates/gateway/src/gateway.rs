//! What an entry host knows, shared by its tasks.
//!
//! All tasks run on one thread, so that nothing here needs a lock; no borrow is held over a wait.

mod limits;
mod listing;
mod reading;
mod suspects;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::ServiceConfig;
use bytes::Bytes;
use dragonflyrill_fleet::{
    budget::BudgetState,
    catalogue::{Catalogue, Engine, Service},
    chains::{self, Chain},
    choice::Loads,
    endpoint_limits::EndpointLimits,
    endpoints::Directory,
    freshness::Freshness,
    outage::StoreOutage,
    quarantine::Quarantine,
    share,
    store_access::StoreAccess,
};
use dragonflyrill_protocol::exchange::FleetHost;
use rustc_hash::FxHashMap;
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use self::listing::Ignored;
use crate::{
    bounds::SharedBounds,
    forward::{LineBudget, Looks, Prober},
    http::{connection::Connection, pool::IdleConnections},
    metrics::Metrics,
    peers::Peers,
    ports::{Dialect, Engines, ReadCatalogue, Store, StoreRevision},
    settings::Settings,
};

/// How long requests are still taken after the signal to stop: the balancer asks once a second and
/// believes the second answer.
pub const STILL_TAKING: Duration = Duration::from_millis(2900);

/// How long a repeat waits at most until it is written down that it may be made: a write takes some
/// 10 ms, and a stream may pause for 200 ms.
const RECORDED_WITHIN: Duration = Duration::from_millis(60);

/// The platform that a host runs on.
pub struct Platform {
    /// How requests are marked.
    pub dialect: Rc<dyn Dialect>,
    /// The store.
    pub store: Rc<dyn Store>,
    /// Orders to engines.
    pub engines: Rc<dyn Engines>,
}

/// What the store is read for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum On {
    /// The catalogue.
    Catalogue,
    /// The list of endpoints.
    List,
}

/// The chains of one service, found for one state of the directory.
struct FoundChains {
    generation: u64,
    until: Option<Duration>,
    chains: Rc<Vec<Chain>>,
}

/// What an entry host knows.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// The platform.
    pub platform: Platform,
    /// The codec's settings.
    pub codec: ServiceConfig,
    /// When the store last answered on the catalogue, and on the list of endpoints.
    heard_at: Cell<[Option<Duration>; 2]>,
    /// As of when the list of endpoints that this host acts on is the newest, at least.
    list_as_of: Cell<Option<Duration>>,
    /// Endpoints whose entries lapsed while the store was in trouble, and until when they may come
    /// back.
    pub doubted: RefCell<FxHashMap<Rc<str>, Duration>>,
    /// Entries that name no endpoint to use, by the name that they stand under.
    ignored: RefCell<FxHashMap<Rc<str>, Ignored>>,
    /// The place in the store's history up to which the list of endpoints is known.
    pub list_mark: Cell<StoreRevision>,
    /// The newest catalogue known.
    pub catalogue: RefCell<Option<Rc<Catalogue>>>,
    /// The document that it was read from.
    pub document: RefCell<Bytes>,
    /// For how long it may be acted on.
    pub freshness: Cell<Freshness>,
    /// The endpoints; empty until the list was read.
    pub directory: RefCell<Directory>,
    /// Whether the list of endpoints was read.
    pub endpoints_known: Cell<bool>,
    /// Loads of chains.
    pub loads: RefCell<Loads>,
    /// Hosts that are alive, this one included.
    pub hosts: Cell<u32>,
    /// Idle connections to endpoints.
    pub idle: IdleConnections,
    /// Counters.
    pub metrics: Metrics,
    /// This host's part of the bounds that all hosts keep together.
    pub bounds: SharedBounds,
    found: RefCell<FxHashMap<Rc<str>, FoundChains>>,
    epoch: Instant,
    /// When this host was asked to stop.
    leaving_since: Cell<Option<Instant>>,
    closing: watch::Sender<bool>,
    reading: watch::Sender<bool>,
    /// How this host's own reads of the store have ended.
    access: watch::Sender<StoreAccess>,
    /// The last trouble with the store in which entries can have lapsed.
    pub outage: RefCell<StoreOutage>,
    /// The other hosts.
    pub peers: Peers,
    /// Whether any request has come.
    pub asked: Cell<bool>,
    /// Requests that are being answered.
    pub open: Cell<u32>,
    /// How many requests may be logged whole.
    pub lines: LineBudget,
    /// Asks the parts of chains that stand still.
    pub prober: Prober,
    /// Requests under which endpoints have ended.
    pub quarantine: RefCell<Quarantine>,
    /// Looks whether endpoints have ended over which runs broke off.
    pub looks: Looks,
    /// The limits that endpoints name.
    pub limits: RefCell<EndpointLimits>,
}

impl Gateway {
    /// A host that knows nothing yet.
    pub fn new(settings: Settings, platform: Platform, codec: ServiceConfig) -> Rc<Self> {
        let freshness = Freshness::new(settings.key_revocation);
        let lines = LineBudget::new(settings.logged_per_s);
        let bounds = SharedBounds::new(settings.retries);
        let quarantine = Quarantine::new(settings.request_quarantine);
        let outage = StoreOutage::new(settings.endpoint_heartbeat);
        Rc::new(Self {
            settings,
            platform,
            codec,
            heard_at: Cell::default(),
            list_as_of: Cell::default(),
            doubted: RefCell::default(),
            ignored: RefCell::default(),
            list_mark: Cell::new(0),
            catalogue: RefCell::default(),
            document: RefCell::default(),
            freshness: Cell::new(freshness),
            directory: RefCell::default(),
            endpoints_known: Cell::new(false),
            loads: RefCell::default(),
            hosts: Cell::new(1),
            idle: IdleConnections::default(),
            metrics: Metrics::default(),
            bounds,
            found: RefCell::default(),
            epoch: Instant::now(),
            leaving_since: Cell::new(None),
            closing: watch::Sender::new(false),
            reading: watch::Sender::new(true),
            access: watch::Sender::default(),
            outage: RefCell::new(outage),
            peers: Peers::default(),
            asked: Cell::new(false),
            open: Cell::new(0),
            lines,
            prober: Prober::default(),
            quarantine: RefCell::new(quarantine),
            looks: Looks::default(),
            limits: RefCell::default(),
        })
    }

    /// The monotonic time since the start.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Whether the catalogue may be acted on.
    pub fn fresh(&self) -> bool {
        self.freshness.get().is_fresh(self.now())
    }

    /// A read sent at `sent_at` has shown that the catalogue is the newest.
    pub fn proven(&self, sent_at: Duration) {
        let mut freshness = self.freshness.get();
        freshness.record_proof(sent_at);
        self.freshness.set(freshness);
    }

    /// The version of the newest catalogue known; 0 if none is.
    pub fn catalogue_version(&self) -> u64 {
        self.catalogue.borrow().as_ref().map_or(0, |c| c.version)
    }

    /// How old the proof is that the catalogue is the newest.
    pub fn proof_age(&self) -> Option<Duration> {
        self.freshness.get().proof_age(self.now())
    }

    /// Brings the gauges up to date.
    pub fn observe(&self) {
        let metrics = &self.metrics;
        let now = self.now();
        let states = self.directory.borrow().counts(now);
        for (state, n) in [
            ("usable", states.usable),
            ("avoided", states.avoided),
            ("leaving", states.draining),
        ] {
            metrics.endpoints.with_label_values(&[state]).set(n);
        }
        metrics
            .catalogue_version
            .set(self.catalogue_version() as i64);
        metrics.hosts.set(i64::from(self.hosts.get()));
        let divisor = self.bounds.divisor(now);
        metrics.share_hosts.set(i64::from(divisor.unwrap_or(0)));
        metrics.open.set(i64::from(self.open.get()));
        metrics
            .limited_endpoints
            .set(self.limits.borrow().count() as i64);
        let held = self.quarantine.borrow().quarantined_count(now);
        metrics.held_requests.set(held as i64);
        // Never proven is as old as can be.
        let seconds = |age: Option<Duration>| age.map_or(f64::INFINITY, |a| a.as_secs_f64());
        metrics.proof_age_seconds.set(seconds(self.proof_age()));
        metrics.store_silence_seconds.set(seconds(self.heard_age()));
        metrics.list_age_seconds.set(seconds(self.list_age()));
    }

    /// Whether this host takes new connections.
    pub fn ready(&self) -> bool {
        let knows = self.catalogue.borrow().is_some() && self.endpoints_known.get();
        knows && self.fresh() && !self.leaving()
    }

    /// Whether this host is to stop.
    pub fn leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Whether this host still takes requests: for a while after it was asked to stop it does, as
    /// the balancer has not noticed yet; what comes later could not be finished.
    pub fn takes_requests(&self) -> bool {
        let asked = self.leaving_since.get();
        asked.is_none_or(|asked| asked.elapsed() < STILL_TAKING)
    }

    /// This host is to stop: no new connections, and connections end with their next answer.
    pub fn leave(&self) {
        self.leaving_since.set(Some(Instant::now()));
    }

    /// Idle connections are closed from now on.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Tells when idle connections are to be closed.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Takes a catalogue over unless a newer one is known.
    pub fn adopt(&self, new: ReadCatalogue) {
        let mut known = self.catalogue.borrow_mut();
        let version = new.catalogue.version;
        if known.as_ref().is_none_or(|old| old.version < version) {
            log::info!(target: "catalogue", version = version; "Catalogue is in force.");
            *known = Some(new.catalogue);
            *self.document.borrow_mut() = new.document;
        }
    }

    /// How many hosts do what this one does, at least; `None` until that is known. What all of them
    /// together should keep to is divided by this: a host that has just started is not alone.
    pub fn counted_hosts(&self) -> Option<u32> {
        let claimed = self.bounds.hosts()?;
        Some(claimed.max(self.hosts.get()))
    }

    /// Keeps an idle connection to an endpoint of a service, so that all hosts together keep at most
    /// half of what the endpoint accepts.
    pub fn keep(&self, addr: SocketAddr, connection: Connection, service: &Service) {
        let most = share::host_portion(service.max_connections / 2, self.counted_hosts());
        self.idle.put(addr, connection, most as usize);
    }

    /// A request for a service came in.
    pub fn count_request(&self, service: &Rc<str>) {
        self.bounds.count_request(service, self.now());
    }

    /// Takes one repeat of a request out of the budget, and counts it; false if none is left.
    pub fn take_repeat(&self, service: &Rc<str>) -> bool {
        let taken = self.bounds.acquire_retry(service, self.now());
        let metrics = &self.metrics;
        match taken {
            true => metrics.repeats.inc(),
            false => metrics.repeats_refused.inc(),
        }
        taken
    }

    /// Waits until a repeat may be taken, if it has to be written down first.
    pub async fn until_recorded(&self, service: &Rc<str>) {
        let until = Instant::now() + RECORDED_WITHIN;
        let mut waiting = None;
        while self.repeats_standing(service).needs_record() && self.bounds.can_write_row() {
            waiting.get_or_insert_with(|| self.bounds.begin_retry_wait(service));
            let mut written = self.bounds.request_write();
            if time::timeout_at(until, written.changed()).await.is_err() {
                return;
            }
        }
    }

    /// How this host's part of a service's budget of repeats stands.
    pub fn repeats_standing(&self, service: &Rc<str>) -> BudgetState {
        self.bounds.budget_state(service, self.now())
    }

    /// Whether a repeat of a request is left in the budget.
    pub fn may_repeat(&self, service: &Rc<str>) -> bool {
        let standing = self.repeats_standing(service);
        standing.retry_left() || (standing.needs_record() && self.bounds.can_write_row())
    }

    /// Takes the hosts that are alive, this one included.
    pub fn set_fleet(&self, fleet: Vec<FleetHost>) {
        let hosts = fleet.len() as u32;
        self.peers.set_fleet(fleet);
        let before = self.hosts.replace(hosts);
        if before != hosts {
            log::info!(target: "peers", hosts = hosts, before = before; "Hosts that are alive changed.");
        }
        self.loads.borrow_mut().hosts = hosts;
    }

    /// The chains of a service's endpoints, found anew if the endpoints have changed.
    pub fn chains(&self, service: &Rc<str>, engine: &Engine) -> Rc<Vec<Chain>> {
        let now = self.now();
        let directory = self.directory.borrow();
        let mut found = self.found.borrow_mut();
        if let Some(found) = found.get(service) {
            let returned = found.until.is_some_and(|t| t <= now);
            if found.generation == directory.generation() && !returned {
                return found.chains.clone();
            }
        }
        let usable = directory
            .iter()
            .filter(|e| e.service == *service && directory.usable(&e.id, now));
        let paced = usable.map(|e| (&**e, directory.slowdown_factor(&e.id, now)));
        let chains = Rc::new(chains::find(engine, paced));
        let entry = FoundChains {
            generation: directory.generation(),
            until: directory.next_expiry(now),
            chains: chains.clone(),
        };
        found.insert(service.clone(), entry);
        chains
    }
}
