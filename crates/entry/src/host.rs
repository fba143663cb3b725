//! The state of an entry host that requests share. Only the request arbiter's thread accesses it.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_catalogue::{
    Catalogue, DataCentre, EndpointId, Entry, EntryKey, TargetName,
    entry::{LimitEntry, LimitKey, ModelEntry, ServiceEntry},
};
use dragonflyrill_clock::{Clock, wall};
use dragonflyrill_delivery::generation::StepTimes;
use dragonflyrill_engines::wire;
use dragonflyrill_gateway::http::{body_memory::BodyMemory, intake::Intake};
use dragonflyrill_protocol::{
    HostId, HostRef,
    found::{Claim, Claimed},
    membership::{Sign, SignKind},
};
use dragonflyrill_routing as routing;
use dragonflyrill_telemetry::metrics::Metrics;
use tokio::sync::watch;

use crate::{
    admission::Admission,
    control::{
        self, ControlSender, actor, engines,
        peers::{Inbound, Outbox},
    },
    pool::Pool,
    recording::Recording,
    requests::{Requests, claims::Claims, follow},
    retries::Retries,
    services::ServiceClient,
    settings::Settings,
};

/// The timeout of a transaction on the store's table.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The state that all requests of one host share.
pub struct Host {
    /// The settings that the host was started with.
    pub settings: Settings,
    /// The clock of all times in this state.
    pub clock: Clock,
    /// Connections to engines.
    pub pool: Pool,
    /// Connections to plain services.
    pub services: ServiceClient,
    /// Chooses the endpoints of requests.
    pub router: RefCell<routing::Router>,
    /// Admits requests under the limits of their workspaces.
    pub admission: Rc<Admission>,
    /// Writes the records of calls that are not repeatable.
    pub recording: Rc<Recording>,
    /// The retry budgets of the workspaces.
    pub retries: Retries,
    /// Estimates of step durations, carried over from one generation to the next.
    pub step_times: Cell<StepTimes>,
    /// The running and recently finished requests.
    pub requests: RefCell<Requests>,
    /// Whether the host is shutting down and accepts no new requests.
    pub draining: Cell<bool>,
    /// The host's metrics.
    pub metrics: Metrics,
    /// What callers make this host hold.
    pub intake: Rc<Intake>,
    /// Whether idle connections of callers are to be closed.
    pub closing: watch::Sender<bool>,
    /// This host's id and incarnation, by which its peers know it.
    pub me: HostRef,
    /// Sends claims and queries about requests to peers.
    pub outbox: Outbox,
    /// Sends events to the control arbiter.
    pub control: ControlSender,
    peers: RefCell<Rc<[PeerInfo]>>,
    /// Endpoints that a sign of a host of the data centre reports as draining, listed or not.
    draining_endpoints: RefCell<BTreeSet<EndpointId>>,
    claims: RefCell<Claims>,
    catalogue: RefCell<Rc<Catalogue>>,
    /// When the catalogue in force was installed, by `clock`.
    in_force_since: Cell<Duration>,
}

/// Another live entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// The host.
    pub host: HostRef,
    /// The address that its peers connect to.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

impl Host {
    /// Creates a host without a catalogue, endpoints or peers.
    pub fn new(settings: Settings, clock: Clock, control: ControlSender) -> Rc<Self> {
        let seed = rand::random();
        // Milliseconds since the epoch, so that each incarnation is higher than the one before.
        let me = HostRef {
            id: HostId(settings.host.clone()),
            incarnation: wall::epoch_ms(),
        };
        let router = routing::Router::new(settings.data_centre.clone(), seed);
        let table = Table::new(settings.platform, TABLE_TIMEOUT);
        let dc = settings.data_centre.clone();
        let admission = Admission::new(
            clock.clone(),
            me.clone(),
            dc,
            control.clone(),
            table.clone(),
        );
        let metrics = Metrics::new().expect("the names of counters are constants");
        let intake = Intake::new(settings.intake, metrics.caller_refusals.clone());
        let max_answers = settings.intake.capacity.long_answers();
        let relief = intake.clone();
        let body_memory = BodyMemory::new(max_answers, move || relief.drop_stalled_answer());
        Rc::new(Self {
            settings,
            clock: clock.clone(),
            pool: Pool::new(),
            services: ServiceClient::new(clock.clone(), body_memory),
            intake,
            closing: watch::Sender::new(false),
            router: RefCell::new(router),
            recording: Recording::new(clock, me.clone(), table.clone()),
            retries: Retries::default(),
            step_times: Cell::default(),
            admission,
            requests: RefCell::new(Requests::new(max_answers)),
            draining: Cell::new(false),
            metrics,
            outbox: Outbox::new(me.clone()),
            me,
            control,
            peers: RefCell::new(Rc::new([])),
            draining_endpoints: RefCell::default(),
            claims: RefCell::default(),
            catalogue: RefCell::default(),
            in_force_since: Cell::default(),
        })
    }

    /// The time since the host started, by its monotonic clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The catalogue in force.
    pub fn catalogue(&self) -> Rc<Catalogue> {
        self.catalogue.borrow().clone()
    }

    /// How long the catalogue has been in force.
    pub fn in_force_for(&self) -> Duration {
        self.now().saturating_sub(self.in_force_since.get())
    }

    /// Whether the host can serve: it has a catalogue and is not draining.
    pub fn ready(&self) -> bool {
        self.catalogue.borrow().revision().0 > 0 && !self.draining.get()
    }

    /// Applies an update from the control arbiter.
    pub fn apply_update(self: &Rc<Self>, update: control::ControlUpdate) {
        match update {
            control::ControlUpdate::Catalogue(catalogue) => self.install_catalogue(catalogue),
            control::ControlUpdate::Endpoints(endpoints) => self.replace_endpoints(endpoints),
            control::ControlUpdate::Draining { endpoint, draining } => {
                self.set_endpoint_draining(endpoint, draining)
            }
            control::ControlUpdate::Loads(reports) => self.apply_load_reports(&reports),
            control::ControlUpdate::CacheEvents(endpoint, events) => {
                let mut router = self.router.borrow_mut();
                router.apply_cache_events(self.now(), &endpoint, &events);
            }
            control::ControlUpdate::Peers(peers) => self.replace_peers(peers),
            control::ControlUpdate::PeerRequest(inbound) => self.answer_peer_call(inbound),
            control::ControlUpdate::Rights(from, message) => self.admission.receive(&from, message),
        }
    }

    fn install_catalogue(&self, catalogue: Catalogue) {
        if catalogue.revision() <= self.catalogue.borrow().revision() {
            return;
        }
        self.admission.configure(&catalogue);
        self.configure_router(&catalogue);
        log::info!(
            "catalogue: Revision {} is in force.",
            catalogue.revision().0
        );
        self.metrics
            .catalogue_revision
            .set(catalogue.revision().0 as i64);
        self.catalogue.replace(Rc::new(catalogue));
        self.in_force_since.set(self.now());
    }

    /// The other live entry hosts.
    pub fn peers(&self) -> Rc<[PeerInfo]> {
        self.peers.borrow().clone()
    }

    fn replace_peers(&self, peers: Vec<PeerInfo>) {
        self.admission.set_peers(&peers);
        self.peers.replace(peers.into());
    }

    /// Answers a claim to a request whose home this host is.
    ///
    /// A claim whose holder is no longer among the live hosts is released first.
    pub fn claim(&self, claim: Claim) -> Claimed {
        let keep = self.settings.keep_answers + self.settings.default_deadline;
        let claimed = self
            .claims
            .borrow_mut()
            .claim(self.now(), keep, claim.clone());
        match claimed {
            Claimed::Taken(by) if self.is_absent(&by) => {
                self.claims.borrow_mut().release_claims_of(&by);
                self.claims.borrow_mut().claim(self.now(), keep, claim)
            }
            claimed => claimed,
        }
    }

    fn is_absent(&self, host: &HostRef) -> bool {
        host.id != self.me.id && self.peers().iter().all(|p| p.host.id != host.id)
    }

    fn answer_peer_call(self: &Rc<Self>, inbound: Inbound) {
        match inbound {
            Inbound::Claim(claim, tx) => {
                // The peer's call may have timed out.
                let _ = tx.send(self.claim(claim));
            }
            Inbound::Find(query, tx) => {
                let host = self.clone();
                actix_rt::spawn(async move {
                    let _ = tx.send(follow::answer_query(host, query).await);
                });
            }
            Inbound::Envelope(_) => {}
        }
    }

    fn configure_router(&self, catalogue: &Catalogue) {
        let mut links = Vec::new();
        let mut intents = Vec::new();
        for entry in catalogue.entries() {
            match entry {
                Entry::Link(e) => links.push(e.clone()),
                Entry::Endpoint(e) => intents.push(e.clone()),
                _ => {}
            }
        }
        let mut router = self.router.borrow_mut();
        router.set_links(&links);
        router.set_intents(&intents);
    }

    fn replace_endpoints(&self, listed: Vec<routing::Endpoint>) {
        let mut router = self.router.borrow_mut();
        let table = router.table_mut();
        table.replace_all(listed);
        // A sign may arrive before its endpoint is listed, and stays valid when the endpoint's
        // address changes.
        for endpoint in self.draining_endpoints.borrow().iter() {
            table.set_draining(endpoint, true);
        }
    }

    fn set_endpoint_draining(&self, endpoint: EndpointId, draining: bool) {
        let mut router = self.router.borrow_mut();
        router.table_mut().set_draining(&endpoint, draining);
        let mut known = self.draining_endpoints.borrow_mut();
        match draining {
            true => known.insert(endpoint),
            false => known.remove(&endpoint),
        };
    }

    fn apply_load_reports(&self, reports: &[wire::LoadReport]) {
        let now = self.now();
        let mut router = self.router.borrow_mut();
        for report in reports {
            router.apply_load_report(now, report);
        }
    }

    /// Reports to the hosts of the data centre that an endpoint refused work because it is
    /// draining.
    pub fn report_draining_refusal(&self, endpoint: &EndpointId) {
        let sign = Sign {
            endpoint: endpoint.clone(),
            incarnation: 0,
            kind: SignKind::Refusal,
            ttl_ms: engines::SIGN_TTL.as_millis() as u32,
        };
        // The channel is closed only after the control arbiter has stopped.
        let _ = self.control.send(actor::Event::SignObserved(sign));
    }

    /// The model `name`, if the catalogue declares it.
    pub fn model(&self, name: &TargetName) -> Option<ModelEntry> {
        match self.catalogue().get(&EntryKey::Model(name.clone())) {
            Some(Entry::Model(e)) => Some(e.clone()),
            _ => None,
        }
    }

    /// The service `name`, if the catalogue declares it.
    pub fn service(&self, name: &TargetName) -> Option<ServiceEntry> {
        match self.catalogue().get(&EntryKey::Service(name.clone())) {
            Some(Entry::Service(e)) => Some(e.clone()),
            _ => None,
        }
    }

    /// The limit under `key`, if the catalogue declares it.
    pub fn limit(&self, key: &LimitKey) -> Option<LimitEntry> {
        match self.catalogue().get(&EntryKey::Limit(key.clone())) {
            Some(Entry::Limit(e)) => Some(e.clone()),
            _ => None,
        }
    }
}
