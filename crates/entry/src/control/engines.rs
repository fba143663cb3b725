//! The state of the engines of a data centre as its hosts observe and share it: signs that an
//! endpoint is draining, and loads.
//!
//! Each engine is polled by one live host of its data centre. Loads are shared among these hosts;
//! changes of prefix caches are used by the polling host only. Persistent signs (in the host list,
//! in the catalogue) are recorded again in each poll round, so that they don't expire while they are
//! observed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use dragonflyrill_catalogue::{Catalogue, EndpointId, Entry, entry::EndpointIntent};
use dragonflyrill_engines::wire;
use dragonflyrill_membership::{
    endpoints::{self, DrainingEndpoints},
    members::Member,
    reports::{self, Load, LoadReports},
};
use dragonflyrill_protocol::{
    HostId,
    membership::{EndpointKey, EndpointNews, Report, Sign, SignKind, State},
};
use dragonflyrill_routing as routing;
use rand::Rng;
use tokio::sync::mpsc;

use crate::control::{
    ControlUpdate, Identity,
    actor::Event,
    polling::{self, PollResponse, PollTarget},
};

/// How long a sign is valid after it was last observed.
pub const SIGN_TTL: Duration = Duration::from_secs(10);
/// The average interval between two poll rounds.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The largest deviation of a poll interval from the average, as a share of it. It keeps hosts from
/// polling in step.
const POLL_JITTER_SHARE: f64 = 0.1;
/// Loads older than this are dropped.
const MAX_LOAD_AGE: Duration = Duration::from_secs(30);

/// An action that the control task is to execute.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a host. The message may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// Its address.
        addr: SocketAddr,
        /// The message.
        message: EndpointNews,
    },
    /// Send an update to the request arbiter.
    Notify(ControlUpdate),
}

/// What is known of an engine that this host polled.
#[derive(Debug, Clone, Copy)]
struct PolledEngine {
    /// The first incarnation that was polled.
    first_incarnation: u64,
    /// The incarnation that was polled last.
    incarnation: u64,
    /// The number of the last event of its prefix cache that is known.
    last_cache_event: u64,
}

impl PolledEngine {
    /// The incarnation that the router gets. It is 0 for the first known incarnation, as for an
    /// unknown one: shared loads carry no incarnation, and the router treats a changed number as a
    /// new incarnation.
    fn router_incarnation(&self) -> u64 {
        match self.incarnation == self.first_incarnation {
            true => 0,
            false => self.incarnation,
        }
    }
}

/// The state of the endpoints of the data centre, as far as one host knows it.
pub struct Engines {
    me: Identity,
    http: awc::Client,
    tx: mpsc::UnboundedSender<Event>,
    signs: DrainingEndpoints,
    reports: LoadReports,
    /// The last known list of the endpoints of all data centres; `None` before the first.
    list: Option<Vec<routing::Endpoint>>,
    /// Endpoints that are to drain according to the catalogue.
    drain_intents: Vec<EndpointId>,
    polled: BTreeMap<EndpointId, PolledEngine>,
    by_key: BTreeMap<EndpointKey, EndpointId>,
    /// Endpoints that were last reported to the request arbiter as draining.
    reported_draining: BTreeSet<EndpointId>,
    /// The other hosts of the data centre whose incarnation is known, with their addresses.
    local_peers: BTreeMap<HostId, SocketAddr>,
    /// The live hosts of the data centre, among which the engines are divided for polling.
    live_hosts: BTreeSet<HostId>,
    next_poll: Duration,
    polling: bool,
}

impl Engines {
    /// Creates a state without endpoints. Must be called on the arbiter that polls; the results of
    /// polls go to `tx`.
    pub fn new(me: Identity, tx: mpsc::UnboundedSender<Event>) -> Self {
        let signs = DrainingEndpoints::new(me.host.id.clone(), me.data_centre.clone());
        Self {
            me,
            http: awc::Client::default(),
            tx,
            signs,
            reports: LoadReports::default(),
            list: None,
            drain_intents: Vec::new(),
            polled: BTreeMap::new(),
            by_key: BTreeMap::new(),
            reported_draining: BTreeSet::new(),
            local_peers: BTreeMap::new(),
            live_hosts: BTreeSet::new(),
            next_poll: Duration::ZERO,
            polling: false,
        }
    }

    /// The last known list of endpoints, if any.
    pub fn list(&self) -> Option<&[routing::Endpoint]> {
        self.list.as_deref()
    }

    /// Applies the list of endpoints.
    pub fn update_list(
        &mut self,
        now: Duration,
        list: Vec<routing::Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if self.list.as_ref() != Some(&list) {
            let data_centre = &self.me.data_centre;
            let near = list.iter().filter(|e| e.data_centre == *data_centre);
            self.by_key = near.map(|e| (reports::key(&e.id), e.id.clone())).collect();
            let by_key = &self.by_key;
            self.polled
                .retain(|id, _| by_key.contains_key(&reports::key(id)));
            actions.push(Action::Notify(ControlUpdate::Endpoints(list.clone())));
            self.list = Some(list);
        }
        self.record_persistent_signs(now, actions);
    }

    /// Applies the catalogue in force.
    pub fn update_intents(
        &mut self,
        now: Duration,
        catalogue: &Catalogue,
        actions: &mut Vec<Action>,
    ) {
        let draining = catalogue.entries().filter_map(|entry| match entry {
            Entry::Endpoint(e) if e.intent == EndpointIntent::Drain => Some(e.id.clone()),
            _ => None,
        });
        self.drain_intents = draining.collect();
        self.record_persistent_signs(now, actions);
    }

    /// Applies the view of the members.
    pub fn update_view(&mut self, now: Duration, view: Vec<Member>, actions: &mut Vec<Action>) {
        let near = |m: &&Member| m.data_centre == self.me.data_centre && m.host.incarnation > 0;
        let near: Vec<&Member> = view.iter().filter(near).collect();
        let live = near.iter().filter(|m| m.state == State::Alive);
        self.live_hosts = live.map(|m| m.host.id.clone()).collect();
        let others = near.iter().filter(|m| m.host.id != self.me.host.id);
        self.local_peers = others.map(|m| (m.host.id.clone(), m.addr)).collect();
        let mut did = Vec::new();
        let known = view.into_iter().filter(|m| m.host.incarnation > 0);
        self.signs.update_view(now, known, &mut did);
        self.execute_sign_actions(did, actions);
    }

    /// Records a sign that this host observed itself.
    pub fn observe_sign(&mut self, now: Duration, sign: Sign, actions: &mut Vec<Action>) {
        let incarnation = match sign.incarnation {
            0 => self.incarnation(&sign.endpoint),
            incarnation => incarnation,
        };
        self.record_sign(
            now,
            Sign {
                incarnation,
                ..sign
            },
            actions,
        );
    }

    /// Applies a message from another host of the data centre.
    pub fn receive(&mut self, now: Duration, message: EndpointNews, actions: &mut Vec<Action>) {
        match message {
            EndpointNews::Signs(signs) => {
                let mut did = Vec::new();
                self.signs.receive(now, &signs, &mut did);
                self.execute_sign_actions(did, actions);
                for sign in &signs {
                    self.notify_draining(&sign.endpoint, actions);
                }
            }
            EndpointNews::Reports(reports) => self.receive_reports(now, &reports, actions),
        }
    }

    /// Applies the answers of an engine that this host polled.
    pub fn handle_response(
        &mut self,
        now: Duration,
        response: PollResponse,
        actions: &mut Vec<Action>,
    ) {
        let id = &response.endpoint;
        self.update_incarnation(id, &response, actions);
        let age = Duration::from_millis(response.load.age_ms.into());
        let load = Load {
            running: u16::try_from(response.load.running).unwrap_or(u16::MAX),
            waiting: u16::try_from(response.load.waiting).unwrap_or(u16::MAX),
            at: now.saturating_sub(age),
        };
        self.reports.record_polled(id, load);
        let report = wire::LoadReport {
            endpoint: id.to_string(),
            incarnation: self
                .polled
                .get(id)
                .map_or(0, PolledEngine::router_incarnation),
            ..response.load
        };
        actions.push(Action::Notify(ControlUpdate::Loads(vec![report])));
        if !response.cache.events.is_empty() {
            let update = ControlUpdate::CacheEvents(id.clone(), response.cache);
            actions.push(Action::Notify(update));
        }
        if response.state.leaving {
            let sign = sign(id, response.state.incarnation, SignKind::Refusal);
            self.record_sign(now, sign, actions);
        }
    }

    /// Records that all polls of the round have ended.
    pub fn finish_poll_round(&mut self) {
        self.polling = false;
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut did = Vec::new();
        self.signs.tick(now, &mut did);
        self.execute_sign_actions(did, actions);
        if let Some(message) = self.reports.share(now) {
            let sends = self.local_peers.iter().map(|(to, addr)| Action::Send {
                to: to.clone(),
                addr: *addr,
                message: message.clone(),
            });
            actions.extend(sends);
        }
        if now >= self.next_poll {
            self.next_poll = now
                + POLL_INTERVAL
                    .mul_f64(1.0 + rand::rng().random_range(-POLL_JITTER_SHARE..POLL_JITTER_SHARE));
            self.record_persistent_signs(now, actions);
            self.start_poll_round(now);
        }
    }

    /// The time at which [`Self::tick`] must be called next, at the latest.
    pub fn next_tick(&self) -> Duration {
        let due = self.next_poll.min(self.reports.next_share());
        self.signs.next_tick().map_or(due, |at| at.min(due))
    }

    /// Starts a poll round unless the last one has not ended yet.
    fn start_poll_round(&mut self, now: Duration) {
        let targets = self.poll_targets();
        let keys: BTreeSet<EndpointKey> =
            targets.iter().map(|t| reports::key(&t.endpoint)).collect();
        self.reports
            .retain(now, MAX_LOAD_AGE, |key| keys.contains(&key));
        if self.polling || targets.is_empty() {
            return;
        }
        self.polling = true;
        let round = polling::poll_engines(self.http.clone(), targets, self.tx.clone());
        actix_rt::spawn(round);
    }

    /// The engines of the data centre that this host polls.
    fn poll_targets(&self) -> Vec<PollTarget> {
        let me = &self.me;
        let list = self.list.iter().flatten();
        let near = list.filter(|e| e.role == routing::Role::Engine);
        let near = near.filter(|e| e.data_centre == me.data_centre);
        let mine = near
            .filter(|e| reports::polling_host(&e.id, self.live_hosts.iter()) == Some(&me.host.id));
        let targets = mine.map(|e| PollTarget {
            endpoint: e.id.clone(),
            addr: e.addr,
            after: self.polled.get(&e.id).map_or(0, |p| p.last_cache_event),
        });
        targets.collect()
    }

    /// The known incarnation of an endpoint; 0 if it is unknown.
    fn incarnation(&self, endpoint: &EndpointId) -> u64 {
        self.polled.get(endpoint).map_or(0, |p| p.incarnation)
    }

    fn update_incarnation(
        &mut self,
        id: &EndpointId,
        response: &PollResponse,
        actions: &mut Vec<Action>,
    ) {
        let incarnation = response.load.incarnation;
        let known = self.polled.entry(id.clone()).or_insert(PolledEngine {
            first_incarnation: incarnation,
            incarnation,
            last_cache_event: 0,
        });
        // Each incarnation numbers its events from the start.
        known.last_cache_event = match known.incarnation == incarnation {
            true => response.cache.last,
            false => 0,
        };
        known.incarnation = incarnation;
        let only_earlier =
            self.signs.is_draining(id, 0) && !self.signs.is_draining(id, incarnation);
        if only_earlier {
            let mut did = Vec::new();
            self.signs.mark_serving(id, incarnation, &mut did);
            self.execute_sign_actions(did, actions);
        }
    }

    /// Applies loads from another host, which polled the engines.
    fn receive_reports(&mut self, now: Duration, shared: &[Report], actions: &mut Vec<Action>) {
        let ids = shared.iter().filter_map(|r| self.by_key.get(&r.key));
        let before: Vec<(EndpointId, Option<Load>)> =
            ids.map(|id| (id.clone(), self.reports.load(id))).collect();
        self.reports.receive(now, shared);
        let newer = before.into_iter().filter_map(|(id, before)| {
            let load = self.reports.load(&id)?;
            let newer = before.is_none_or(|b| load.at > b.at);
            newer.then(|| self.report(now, &id, load))
        });
        let newer: Vec<wire::LoadReport> = newer.collect();
        if !newer.is_empty() {
            actions.push(Action::Notify(ControlUpdate::Loads(newer)));
        }
    }

    /// Converts a shared load to the form in which an engine reports it. Sessions are not shared, so
    /// their numbers are 0.
    fn report(&self, now: Duration, id: &EndpointId, load: Load) -> wire::LoadReport {
        let age = now.saturating_sub(load.at).as_millis();
        wire::LoadReport {
            endpoint: id.to_string(),
            incarnation: self
                .polled
                .get(id)
                .map_or(0, PolledEngine::router_incarnation),
            running: load.running.into(),
            waiting: load.waiting.into(),
            sessions: 0,
            max_sessions: 0,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Records the signs that are in the list and in the catalogue.
    fn record_persistent_signs(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let near = |e: &&routing::Endpoint| e.data_centre == self.me.data_centre;
        let listed = self.list.iter().flatten().filter(near);
        let listed = listed.filter(|e| e.draining);
        let listed = listed.map(|e| sign(&e.id, 0, SignKind::List));
        let wanted = self.drain_intents.iter();
        let wanted = wanted.map(|id| sign(id, 0, SignKind::Operator));
        let signs: Vec<Sign> = listed.chain(wanted).collect();
        for sign in signs {
            self.record_sign(now, sign, actions);
        }
    }

    fn record_sign(&mut self, now: Duration, sign: Sign, actions: &mut Vec<Action>) {
        let mut did = Vec::new();
        self.signs.observe_sign(now, &sign, &mut did);
        self.execute_sign_actions(did, actions);
        self.notify_draining(&sign.endpoint, actions);
    }

    fn execute_sign_actions(&mut self, did: Vec<endpoints::Action>, actions: &mut Vec<Action>) {
        for action in did {
            match action {
                endpoints::Action::Send { to, addr, message } => {
                    actions.push(Action::Send { to, addr, message });
                }
                endpoints::Action::Changed(endpoint) => self.notify_draining(&endpoint, actions),
            }
        }
    }

    /// Reports to the request arbiter whether an endpoint is draining, if that changed.
    fn notify_draining(&mut self, endpoint: &EndpointId, actions: &mut Vec<Action>) {
        let draining = self.signs.is_draining(endpoint, self.incarnation(endpoint));
        let changed = match draining {
            true => self.reported_draining.insert(endpoint.clone()),
            false => self.reported_draining.remove(endpoint),
        };
        if changed {
            let endpoint = endpoint.clone();
            let word = if draining { "leaves" } else { "serves" };
            log::info!("engines: {endpoint} {word}, as the hosts of the data centre know.");
            actions.push(Action::Notify(ControlUpdate::Draining {
                endpoint,
                draining,
            }));
        }
    }
}

fn sign(endpoint: &EndpointId, incarnation: u64, kind: SignKind) -> Sign {
    Sign {
        endpoint: endpoint.clone(),
        incarnation,
        kind,
        ttl_ms: SIGN_TTL.as_millis() as u32,
    }
}
