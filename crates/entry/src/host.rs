//! The state of an entry host that requests touch. Lives on the request arbiter alone.

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
use dragonflyrill_delivery::generation::StepTimes;
use dragonflyrill_engines::wire;
use dragonflyrill_protocol::{
    HostId, HostRef,
    found::{Claim, Claimed},
    membership::{Sign, SignKind},
};
use dragonflyrill_routing as routing;
use dragonflyrill_telemetry::metrics::Metrics;

use crate::{
    admission::Admission,
    clock::{Clock, wall_ms},
    control::{
        self, ControlSender, actor, engines,
        peers::{Inbound, Outbox},
    },
    pool::Pool,
    recording::Recording,
    requests::{Requests, claims::Claims, follow},
    retries::Retries,
    settings::Settings,
};

/// How long a transaction on the table may take.
const TABLE_LIMIT: Duration = Duration::from_secs(2);

/// Everything requests share on one host.
pub struct Host {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Choice of endpoints.
    pub router: RefCell<routing::Router>,
    /// Owners' limits.
    pub admission: Rc<Admission>,
    /// Records of calls that are not repeatable.
    pub recording: Rc<Recording>,
    /// Owners' budgets of retries.
    pub retries: Retries,
    /// How long steps take.
    pub step_times: Cell<StepTimes>,
    /// Known requests.
    pub requests: RefCell<Requests>,
    /// Whether no new requests are taken.
    pub draining: Cell<bool>,
    /// The counters.
    pub metrics: Metrics,
    /// This host, as its peers know it.
    pub me: HostRef,
    /// Questions to peers about requests.
    pub outbox: Outbox,
    /// The control task.
    pub control: ControlSender,
    peers: RefCell<Rc<[PeerInfo]>>,
    /// Endpoints that leave by a shared sign, listed or not.
    leaving: RefCell<BTreeSet<EndpointId>>,
    claims: RefCell<Claims>,
    catalogue: RefCell<Rc<Catalogue>>,
    in_force_since: Cell<Duration>,
}

/// Another entry host that lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// The host.
    pub host: HostRef,
    /// Where it takes peers.
    pub addr: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentre,
}

impl Host {
    /// A host that knows nothing yet.
    pub fn new(settings: Settings, clock: Clock, control: ControlSender) -> Rc<Self> {
        let seed = rand::random();
        // The incarnation grows with each start: milliseconds since the epoch.
        let me = HostRef {
            id: HostId(settings.host.clone()),
            incarnation: wall_ms(),
        };
        let router = routing::Router::new(settings.data_centre.clone(), seed);
        let table = Table::new(settings.platform, TABLE_LIMIT);
        let dc = settings.data_centre.clone();
        let admission = Admission::new(clock, me.clone(), dc, control.clone(), table.clone());
        Rc::new(Self {
            settings,
            clock,
            pool: Pool::new(),
            router: RefCell::new(router),
            recording: Recording::new(clock, me.clone(), table.clone()),
            retries: Retries::default(),
            step_times: Cell::default(),
            admission,
            requests: RefCell::default(),
            draining: Cell::new(false),
            metrics: Metrics::new().expect("the names of counters are constants"),
            outbox: Outbox::new(me.clone()),
            me,
            control,
            peers: RefCell::new(Rc::new([])),
            leaving: RefCell::default(),
            claims: RefCell::default(),
            catalogue: RefCell::default(),
            in_force_since: Cell::default(),
        })
    }

    /// Time since the host started.
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

    /// Takes in what the control arbiter learned.
    pub fn learn(self: &Rc<Self>, news: control::ControlUpdate) {
        match news {
            control::ControlUpdate::Catalogue(catalogue) => self.take_catalogue(catalogue),
            control::ControlUpdate::Endpoints(endpoints) => self.take_endpoints(endpoints),
            control::ControlUpdate::Draining { endpoint, draining } => {
                self.take_leaving(endpoint, draining)
            }
            control::ControlUpdate::Loads(reports) => self.take_loads(&reports),
            control::ControlUpdate::CacheEvents(endpoint, events) => {
                let mut router = self.router.borrow_mut();
                router.apply_cache_events(self.now(), &endpoint, &events);
            }
            control::ControlUpdate::Peers(peers) => self.take_peers(peers),
            control::ControlUpdate::PeerRequest(inbound) => self.answer_peer(inbound),
            control::ControlUpdate::Rights(from, message) => self.admission.receive(&from, message),
        }
    }

    fn take_catalogue(&self, catalogue: Catalogue) {
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

    fn take_peers(&self, peers: Vec<PeerInfo>) {
        self.admission.peers(&peers);
        self.peers.replace(peers.into());
    }

    /// Answers a claim to a request whose home this host is.
    pub fn claim(&self, claim: Claim) -> Claimed {
        let keep = self.settings.keep_answers + self.settings.deadline;
        let claimed = self
            .claims
            .borrow_mut()
            .claim(self.now(), keep, claim.clone());
        match claimed {
            Claimed::Taken(by) if self.is_gone(&by) => {
                self.claims.borrow_mut().forget_holder(&by);
                self.claims.borrow_mut().claim(self.now(), keep, claim)
            }
            claimed => claimed,
        }
    }

    fn is_gone(&self, host: &HostRef) -> bool {
        host.id != self.me.id && self.peers().iter().all(|p| p.host.id != host.id)
    }

    fn answer_peer(self: &Rc<Self>, inbound: Inbound) {
        match inbound {
            Inbound::Claim(claim, tx) => {
                // The asker may have given up.
                let _ = tx.send(self.claim(claim));
            }
            Inbound::Find(query, tx) => {
                let host = self.clone();
                actix_rt::spawn(async move {
                    let _ = tx.send(follow::find(host, query).await);
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

    fn take_endpoints(&self, listed: Vec<routing::Endpoint>) {
        let mut router = self.router.borrow_mut();
        let table = router.table_mut();
        table.replace_all(listed);
        // A sign may come before the endpoint is listed, and outlives a change of its address.
        for endpoint in self.leaving.borrow().iter() {
            table.set_draining(endpoint, true);
        }
    }

    fn take_leaving(&self, endpoint: EndpointId, leaving: bool) {
        let mut router = self.router.borrow_mut();
        router.table_mut().set_draining(&endpoint, leaving);
        let mut known = self.leaving.borrow_mut();
        match leaving {
            true => known.insert(endpoint),
            false => known.remove(&endpoint),
        };
    }

    fn take_loads(&self, reports: &[wire::LoadReport]) {
        let now = self.now();
        let mut router = self.router.borrow_mut();
        for report in reports {
            router.apply_load_report(now, report);
        }
    }

    /// Tells the hosts of the data centre that an endpoint refused work because it is leaving.
    pub fn endpoint_refused(&self, endpoint: &EndpointId) {
        let sign = Sign {
            endpoint: endpoint.clone(),
            incarnation: 0,
            kind: SignKind::Refusal,
            ttl_ms: engines::SIGN_TTL.as_millis() as u32,
        };
        // Closed only when the control arbiter has stopped already.
        let _ = self.control.send(actor::Event::SignObserved(sign));
    }

    /// The model `name`, if declared.
    pub fn model(&self, name: &TargetName) -> Option<ModelEntry> {
        match self.catalogue().get(&EntryKey::Model(name.clone())) {
            Some(Entry::Model(e)) => Some(e.clone()),
            _ => None,
        }
    }

    /// The service `name`, if declared.
    pub fn service(&self, name: &TargetName) -> Option<ServiceEntry> {
        match self.catalogue().get(&EntryKey::Service(name.clone())) {
            Some(Entry::Service(e)) => Some(e.clone()),
            _ => None,
        }
    }

    /// The limit under `key`, if declared.
    pub fn limit(&self, key: &LimitKey) -> Option<LimitEntry> {
        match self.catalogue().get(&EntryKey::Limit(key.clone())) {
            Some(Entry::Limit(e)) => Some(e.clone()),
            _ => None,
        }
    }
}
