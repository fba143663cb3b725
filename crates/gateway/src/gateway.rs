//! The state of an entry host, shared by its tasks.
//!
//! All tasks run on one thread, so the state needs no locks; no borrow is held across an await.

mod availability;
mod engine_calls;
mod limits;
mod listing;
mod reading;
mod returns;
mod suspects;
mod suspension;
mod timeline;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::ServiceConfig;
use bytes::Bytes;
use dragonflyrill_clock::{Clock, awake};
use dragonflyrill_fleet::{
    admission::{Rank, RankPosition, ServiceLoad},
    budget::{BudgetState, RetryReason},
    catalogue::{Catalogue, Engine, Service},
    chains::{Chain, ChainFinder},
    choice::{Estimate, Loads},
    endpoint_limits::EndpointLimits,
    endpoints::{Directory, EndpointCounts},
    fair_share::WorkspaceUsage,
    freshness::Freshness,
    outage::StoreOutage,
    quarantine::Quarantine,
    rank_demand::RankDemand,
    share,
    store_access::StoreAccess,
    timeline::LatestTimeline,
};
use dragonflyrill_protocol::exchange::FleetHost;
use rand::Rng;
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, watch};

pub(crate) use self::engine_calls::EnginePoll;
use self::listing::IgnoredEntry;
pub use self::suspects::Involvement;
use crate::{
    bounds::SharedBounds,
    forward::{Prober, RequestLogBudget, TerminationChecks},
    http::{
        body_memory::BodyMemory,
        connection::Connection,
        intake::{Intake, Listener},
        network::Network,
        pool::IdleConnections,
    },
    metrics::Metrics,
    paths::EndpointPaths,
    peers::Peers,
    ports::{Dialect, Engines, ReadCatalogue, Store, StoreRevision},
    settings::Settings,
};

/// How long requests are still accepted after the signal to stop: the load balancer polls readiness
/// once a second and acts on the second answer.
pub const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(2900);
/// The maximum addition to the times of a host's probes of quarantined parts of prompts: a report reaches all hosts
/// within it.
const MAX_PROBE_SPREAD: Duration = Duration::from_secs(1);

/// Maximum time for which a retry waits until the permission for it is recorded in the store: a
/// write takes about 10 ms, and a stream may pause for 200 ms.
const MAX_RETRY_RECORD_WAIT: Duration = Duration::from_millis(60);

/// The platform that a host runs on.
pub struct Platform {
    /// The platform's message formats.
    pub dialect: Rc<dyn Dialect>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Sends orders to engines.
    pub engines: Rc<dyn Engines>,
    /// Opens connections to endpoints.
    pub network: Rc<dyn Network>,
    /// The clock of all times that hosts, endpoints, callers and the store rely on.
    pub clock: Clock,
}

/// What a read of the store returns. Each kind of read has its own age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    /// The catalogue.
    Catalogue,
    /// The list of endpoints.
    List,
}

/// The chains of one service in one state of the directory.
#[derive(Default)]
struct CachedChains {
    /// The generation of the directory; `None` before the first search.
    generation: Option<u64>,
    expires_at: Option<Duration>,
    chains: Rc<Vec<Chain>>,
    finder: ChainFinder,
}

/// The state of an entry host.
pub struct Gateway {
    /// This host's settings.
    pub settings: Settings,
    /// The platform that this host runs on.
    pub platform: Platform,
    /// Settings of the HTTP codec.
    pub codec: ServiceConfig,
    /// When the store last answered a read of each kind, indexed by [`StoreRead`]; the read may
    /// have been made by this host or by the host that it polls.
    store_answered_at: Cell<[Option<Duration>; 2]>,
    /// Time at which the list of endpoints that this host uses was last known to be current.
    list_as_of: Cell<Option<Duration>>,
    /// When a suspension of the machine was last noticed.
    resumed_at: Cell<Option<Duration>>,
    /// Whether requests wait for the news since then.
    lacks_news: Cell<bool>,
    /// Notified when the store has answered, and when the catalogue was proved to be the newest.
    news: Notify,
    /// Ids of endpoints whose entries lapsed during an outage of the store, with the time until
    /// which the entries may be written again.
    pub lapsed_endpoints: RefCell<FxHashMap<Rc<str>, Duration>>,
    /// Entries that describe no usable endpoint, by entry name.
    ignored_entries: RefCell<FxHashMap<Rc<str>, IgnoredEntry>>,
    /// The store revision up to which the list of endpoints is known.
    pub list_revision: Cell<StoreRevision>,
    /// The latest timeline of the store.
    timeline: Cell<LatestTimeline>,
    /// The newest known catalogue.
    pub catalogue: RefCell<Option<Rc<Catalogue>>>,
    /// The document that the catalogue was decoded from.
    pub catalogue_document: RefCell<Bytes>,
    /// Until when the catalogue may be used.
    pub freshness: Cell<Freshness>,
    /// The endpoints; empty until the list has been received.
    pub directory: RefCell<Directory>,
    /// Whether the list of endpoints has been received.
    pub endpoints_known: Cell<bool>,
    /// Loads of the endpoints.
    pub loads: RefCell<Loads>,
    /// Work under way of each workspace.
    pub usage: RefCell<WorkspaceUsage>,
    /// Recent streams by service and rank.
    rank_demand: RefCell<FxHashMap<Rc<str>, RankDemand>>,
    /// Number of live hosts, including this one.
    pub hosts: Cell<u32>,
    /// Idle connections to endpoints.
    pub idle: IdleConnections,
    /// The metrics of this host.
    pub metrics: Metrics,
    /// This host's share of the bounds that apply to all hosts together.
    pub bounds: SharedBounds,
    chain_cache: RefCell<FxHashMap<Rc<str>, CachedChains>>,
    /// When this host began to shut down.
    shutdown_started_at: Cell<Option<Duration>>,
    closing: watch::Sender<bool>,
    reads_store: watch::Sender<bool>,
    /// Results of this host's own reads of the store.
    store_access: watch::Sender<StoreAccess>,
    /// The last outage of the store in which entries of endpoints can have lapsed.
    pub outage: RefCell<StoreOutage>,
    /// What is known of the other hosts.
    pub peers: Peers,
    /// Whether any request has been received.
    pub request_received: Cell<bool>,
    /// Number of requests that are in progress.
    pub open_requests: Cell<u32>,
    /// Limits how many requests are logged in full.
    pub log_budget: RequestLogBudget,
    /// Probes the stages of stalled chains.
    pub prober: Prober,
    /// Requests that are suspected of terminating endpoints, and those quarantined for it.
    pub quarantine: RefCell<Quarantine>,
    /// The version of the quarantine with the last proof of a termination that may be caused by its request.
    pub urgent_proof: Cell<u64>,
    /// Checks whether an endpoint at which a run broke off has terminated.
    pub termination_checks: TerminationChecks,
    /// The limits that endpoints state.
    pub limits: RefCell<EndpointLimits>,
    /// The paths to endpoints.
    pub paths: EndpointPaths,
    /// The memory of long answers to plain calls.
    pub body_memory: BodyMemory,
    /// What callers and other hosts make this host hold.
    pub intake: Rc<Intake>,
}

impl Gateway {
    /// Creates a host that knows neither the catalogue nor any endpoint or other host.
    pub fn new(settings: Settings, platform: Platform, codec: ServiceConfig) -> Rc<Self> {
        let freshness = Freshness::new(settings.key_revocation);
        let log_budget = RequestLogBudget::new(settings.logged_per_s);
        let bounds = SharedBounds::new(settings.retries);
        let probe_spread = MAX_PROBE_SPREAD.mul_f64(rand::rng().random());
        let quarantine =
            Quarantine::new(settings.request_quarantine).with_probe_spread(probe_spread);
        let outage = StoreOutage::new(settings.endpoint_heartbeat);
        let mut usage = WorkspaceUsage::default();
        usage.set_enabled(settings.admission.is_some());
        let clock = platform.clock.clone();
        let metrics = Metrics::default();
        let intake = Intake::new(settings.intake, metrics.caller_refusals.clone());
        let relief = intake.clone();
        let body_memory = BodyMemory::new(settings.intake.capacity.long_answers(), move || {
            relief.drop_stalled_answer()
        });
        Rc::new(Self {
            settings,
            platform,
            store_answered_at: Cell::default(),
            list_as_of: Cell::default(),
            resumed_at: Cell::default(),
            lacks_news: Cell::default(),
            news: Notify::new(),
            lapsed_endpoints: RefCell::default(),
            ignored_entries: RefCell::default(),
            list_revision: Cell::default(),
            timeline: Cell::default(),
            catalogue: RefCell::default(),
            catalogue_document: RefCell::default(),
            freshness: Cell::new(freshness),
            directory: RefCell::default(),
            endpoints_known: Cell::new(false),
            loads: RefCell::default(),
            usage: RefCell::new(usage),
            rank_demand: RefCell::default(),
            hosts: Cell::new(1),
            idle: IdleConnections::new(clock.clone()),
            metrics,
            bounds,
            chain_cache: RefCell::default(),
            shutdown_started_at: Cell::new(None),
            closing: watch::Sender::new(false),
            reads_store: watch::Sender::new(true),
            store_access: watch::Sender::default(),
            outage: RefCell::new(outage),
            peers: Peers::default(),
            request_received: Cell::new(false),
            open_requests: Cell::new(0),
            log_budget,
            prober: Prober::default(),
            quarantine: RefCell::new(quarantine),
            urgent_proof: Cell::new(0),
            termination_checks: TerminationChecks::default(),
            limits: RefCell::default(),
            paths: EndpointPaths::new(codec.clone(), clock),
            body_memory,
            intake,
            codec,
        })
    }

    /// The time by the clock of this host, which counts the time for which the machine was suspended.
    pub fn now(&self) -> Duration {
        self.platform.clock.now()
    }

    /// The clock of this host.
    pub fn clock(&self) -> &Clock {
        &self.platform.clock
    }

    /// Whether the catalogue is fresh enough to be used.
    pub fn is_catalogue_fresh(&self) -> bool {
        self.freshness.get().is_fresh(self.now())
    }

    /// Records that a read sent at `sent_at` has shown that the known catalogue is the newest.
    pub fn record_proof(&self, sent_at: Duration) {
        let mut freshness = self.freshness.get();
        freshness.record_proof(sent_at);
        self.freshness.set(freshness);
        self.news.notify_waiters();
    }

    /// The version of the newest known catalogue; 0 if none is known.
    pub fn catalogue_version(&self) -> u64 {
        self.catalogue.borrow().as_ref().map_or(0, |c| c.version)
    }

    /// Age of the freshness proof of the catalogue; `None` if there was none yet.
    pub fn proof_age(&self) -> Option<Duration> {
        self.freshness.get().proof_age(self.now())
    }

    /// Updates the gauges among the metrics.
    pub fn update_gauges(&self) {
        let metrics = &self.metrics;
        let now = self.now();
        let states = self.directory.borrow().counts(now);
        for (state, n) in [
            ("usable", states.usable),
            ("avoided", states.avoided),
            ("avoided_by_others", states.peer_avoided),
            ("leaving", states.draining),
            ("backoff", states.backing_off),
        ] {
            metrics.endpoints.with_label_values(&[state]).set(n);
        }
        metrics
            .catalogue_version
            .set(self.catalogue_version() as i64);
        metrics.hosts.set(i64::from(self.hosts.get()));
        let divisor = self.bounds.divisor(now);
        metrics.share_hosts.set(i64::from(divisor.unwrap_or(0)));
        metrics.cut_paths.set(self.paths.known().cut_count() as i64);
        let over_share = self.usage.borrow().over_share_count(now);
        metrics.workspaces_over_share.set(over_share as i64);
        metrics.open.set(i64::from(self.open_requests.get()));
        metrics
            .limited_endpoints
            .set(self.limits.borrow().count() as i64);
        let quarantined = self.quarantine.borrow().quarantined_count(now);
        metrics.held_requests.set(quarantined as i64);
        for (listener, gauge) in [
            (Listener::Callers, &metrics.caller_connections),
            (Listener::Peers, &metrics.peer_connections),
        ] {
            gauge.set(self.intake.connection_count(listener) as i64);
        }
        let held = self.intake.used();
        for (kind, bytes) in [
            ("small", held.small),
            ("large", held.large),
            ("answers", held.answers),
        ] {
            let gauge = metrics.caller_bytes.with_label_values(&[kind]);
            gauge.set(bytes as i64);
        }
        // An age that is not known yet is exported as infinite.
        let seconds = |age: Option<Duration>| age.map_or(f64::INFINITY, |a| a.as_secs_f64());
        metrics.proof_age_seconds.set(seconds(self.proof_age()));
        metrics
            .store_silence_seconds
            .set(seconds(self.store_answer_age()));
        metrics.list_age_seconds.set(seconds(self.list_age()));
    }

    /// Whether this host is ready for new connections.
    pub fn ready(&self) -> bool {
        let loaded = self.catalogue.borrow().is_some() && self.endpoints_known.get();
        loaded && self.is_catalogue_fresh() && !self.is_shutting_down()
    }

    /// Whether this host is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started_at.get().is_some()
    }

    /// Whether this host still accepts requests. While it shuts down it does so for
    /// [`SHUTDOWN_ACCEPT_PERIOD`], because the load balancer has not noticed yet. A request that
    /// arrives later could not be completed.
    pub fn accepts_requests(&self) -> bool {
        let started_at = self.shutdown_started_at.get();
        started_at.is_none_or(|started_at| self.now() < started_at + SHUTDOWN_ACCEPT_PERIOD)
    }

    /// Begins the shutdown: this host is no longer ready for new connections, and each open
    /// connection ends with its next answer.
    pub fn begin_shutdown(&self) {
        self.shutdown_started_at.set(Some(self.now()));
    }

    /// Closes idle inbound connections from now on.
    pub fn close_idle_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Returns a receiver of whether idle inbound connections are to be closed.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Adopts a catalogue unless a newer one, or this one, is known.
    pub fn adopt_catalogue(&self, new: ReadCatalogue) {
        let mut known = self.catalogue.borrow_mut();
        let version = new.catalogue.version;
        if known.as_ref().is_none_or(|old| old.version < version) {
            log::info!(target: "catalogue", version = version; "Catalogue is in force.");
            let (limit, held) = (
                new.catalogue.caller_limits.max_body_bytes,
                self.intake.max_body_bytes(),
            );
            if limit > held {
                log::warn!(target: "catalogue", max_body_bytes = limit, held = held; "Bodies are allowed that this host can't hold.");
            }
            *known = Some(new.catalogue);
            *self.catalogue_document.borrow_mut() = new.document;
        }
    }

    /// Lower bound on the number of hosts that share bounds, including this one; `None` until it is
    /// known. SharedBounds that apply to all hosts together are divided by it, so a host that has just
    /// started doesn't count itself as the only one.
    pub fn counted_hosts(&self) -> Option<u32> {
        let claimed_hosts = self.bounds.hosts()?;
        Some(claimed_hosts.max(self.hosts.get()))
    }

    /// Adds an idle connection to the pool of an endpoint of a service. All hosts together keep at
    /// most half of the connections that the endpoint accepts.
    pub fn pool_connection(&self, addr: SocketAddr, connection: Connection, service: &Service) {
        let max_idle = share::host_portion(service.max_connections / 2, self.counted_hosts());
        self.idle.put(addr, connection, max_idle as usize);
    }

    /// Keeps an idle connection to a listed endpoint for the next request; closes it if the endpoint or its service is
    /// not known.
    pub(crate) fn keep_connection(&self, addr: SocketAddr, connection: Connection) {
        let directory = self.directory.borrow();
        let listed = directory.at(addr);
        let catalogue = self.catalogue.borrow();
        let service = listed.and_then(|e| catalogue.as_ref()?.service(&e.service));
        if let Some(service) = service {
            self.pool_connection(addr, connection, service);
        }
    }

    /// Records that an endpoint answered a request successfully.
    pub(crate) fn record_endpoint_success(&self, id: &str) {
        let mut directory = self.directory.borrow_mut();
        if directory.is_avoided(id, self.now()) {
            self.metrics.avoidances_ended.inc();
        }
        directory.record_success(id);
        self.termination_checks.forget(id);
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &Rc<str>) {
        self.bounds.count_request(service, self.now());
    }

    /// Acquires one retry of a request from the service's retry budget, and counts the result in
    /// the metrics; false if none is left.
    pub fn acquire_retry(&self, service: &Rc<str>, reason: RetryReason) -> bool {
        let acquired = self.bounds.acquire_retry(service, reason, self.now());
        let metrics = &self.metrics;
        match acquired {
            true => metrics.repeats.inc(),
            false => metrics.repeats_refused.inc(),
        }
        acquired
    }

    /// Waits until a retry can be acquired, if the permission for it must be recorded in the store
    /// first. Returns after `MAX_RETRY_RECORD_WAIT` at the latest, or once the record can't be
    /// written.
    pub async fn wait_for_retry_record(&self, service: &Rc<str>, reason: RetryReason) {
        let until = awake::Instant::now() + MAX_RETRY_RECORD_WAIT;
        let mut waiter = None;
        while self.retry_budget_state(service).needs_record(reason) && self.bounds.can_write_row() {
            waiter.get_or_insert_with(|| self.bounds.begin_retry_wait(service));
            let mut written = self.bounds.request_write();
            if awake::timeout_at(until, written.changed()).await.is_err() {
                return;
            }
        }
    }

    /// The state of this host's share of a service's retry budget.
    pub fn retry_budget_state(&self, service: &Rc<str>) -> BudgetState {
        self.bounds.budget_state(service, self.now())
    }

    /// Whether the service's retry budget allows a retry, at once or after a record is written.
    pub fn may_retry(&self, service: &Rc<str>, reason: RetryReason) -> bool {
        let budget = self.retry_budget_state(service);
        budget.retry_left(reason) || (budget.needs_record(reason) && self.bounds.can_write_row())
    }

    /// Replaces the list of live hosts, which includes this one.
    pub fn set_fleet(&self, fleet: Vec<FleetHost>) {
        let hosts = fleet.len() as u32;
        self.peers.set_fleet(fleet);
        let before = self.hosts.replace(hosts);
        if before != hosts {
            log::info!(target: "peers", hosts = hosts, before = before; "The number of live hosts changed.");
        }
        self.loads.borrow_mut().hosts = hosts;
    }

    /// How far a workspace is above its fair share of the work of all hosts, from 0 to 1; 0 if nothing is known of it.
    pub fn workspace_excess(&self, workspace: &str) -> f64 {
        self.usage.borrow().excess(workspace, self.now())
    }

    /// Counts a new stream for a service, whether it will be admitted or not.
    pub fn count_stream(&self, service: &Rc<str>, rank: Rank) {
        let now = self.now();
        self.loads.borrow_mut().arrivals.record(service, now);
        let mut demand = self.rank_demand.borrow_mut();
        demand.entry(service.clone()).or_default().record(rank, now);
    }

    /// The load of a service, by the estimate for the best chain; zero if the service has no engines.
    pub fn service_load(&self, service: &Service, estimate: &Estimate) -> ServiceLoad {
        let engine = service.engine.as_ref();
        let chains = engine.map(|engine| self.chains(&service.name, engine));
        let chains = chains.as_ref().map_or(&[][..], |c| &c[..]);
        let loads = self.loads.borrow();
        loads.service_load(&service.name, chains, estimate, self.now())
    }

    /// The position of a rank in the demand for a service.
    pub fn rank_position(&self, service: &str, rank: Rank) -> RankPosition {
        let catalogue = self.catalogue.borrow();
        let ranks = catalogue.as_ref().map_or(&[][..], |c| c.ranks(service));
        let demand = self.rank_demand.borrow();
        demand
            .get(service)
            .map_or(RankPosition::ONLY, |d| d.position(rank, ranks))
    }

    /// The chains of a service's usable endpoints. They are cached until the directory changes or
    /// an endpoint becomes usable or stops counting as slow.
    pub fn chains(&self, service: &Rc<str>, engine: &Engine) -> Rc<Vec<Chain>> {
        let now = self.now();
        let directory = self.directory.borrow();
        let mut cache = self.chain_cache.borrow_mut();
        let cached = cache.entry(service.clone()).or_default();
        let expired = cached.expires_at.is_some_and(|t| t <= now);
        if cached.generation == Some(directory.generation()) && !expired {
            return cached.chains.clone();
        }
        let usable = directory
            .iter()
            .filter(|e| e.service == *service && directory.usable(&e.id, now));
        let with_slowdown = usable.map(|e| (&**e, directory.slowdown_factor(&e.id, now)));
        let had_chains = !cached.chains.is_empty();
        cached.chains = Rc::new(cached.finder.find(engine, with_slowdown));
        if had_chains && cached.chains.is_empty() {
            log_no_chain(service, directory.counts(now));
        }
        cached.generation = Some(directory.generation());
        cached.expires_at = directory.next_expiry(now);
        cached.chains.clone()
    }
}

/// Logs that a service has lost its last chain, and why endpoints are not used.
fn log_no_chain(service: &str, counts: EndpointCounts) {
    log::info!(
        target: "fleet",
        service = service,
        usable = counts.usable,
        avoided = counts.avoided,
        avoided_by_others = counts.peer_avoided,
        leaving = counts.draining,
        backoff = counts.backing_off;
        "No chain covers all layers."
    );
}
