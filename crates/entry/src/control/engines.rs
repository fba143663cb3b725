//! What the hosts of a data centre learn from its engines, and tell each other: signs that an
//! endpoint leaves, and loads.
//!
//! Each engine is asked by one live host of its data centre. Loads are shared among these hosts;
//! changes of prefix caches stay with the host that asked. Signs that stand (in the host list, in
//! the catalogue) are noted again in each round, so that they hold as long as they are seen.

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
    Identity, News,
    actor::Event,
    asking::{self, Answer, Question},
};

/// How long a sign holds without being seen again.
pub const SIGN_TTL: Duration = Duration::from_secs(10);
/// Between two rounds of questions, on average.
const ROUND: Duration = Duration::from_secs(1);
/// The share of a round by which rounds vary, so that hosts don't ask in step.
const JITTER: f64 = 0.1;
/// Loads older than this are forgotten.
const MAX_AGE: Duration = Duration::from_secs(30);

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a host. It may get lost.
    Send {
        /// The receiver.
        to: HostId,
        /// Its address.
        addr: SocketAddr,
        /// The message.
        message: EndpointNews,
    },
    /// Tell the request arbiter.
    Tell(News),
}

/// What is known of an engine that this host asked.
#[derive(Debug, Clone, Copy)]
struct Known {
    /// The life that was known first.
    first: u64,
    /// The life known now.
    life: u64,
    /// The last event of its prefix cache that is known.
    after: u64,
}

impl Known {
    /// The name of the life for the router. Shared loads tell no life, so the first known one goes
    /// by the same name as an unknown one: the router takes another name for a new life.
    fn life_name(&self) -> u64 {
        match self.life == self.first {
            true => 0,
            false => self.life,
        }
    }
}

/// The endpoints of the data centre, as one host takes part in watching them.
pub struct Engines {
    me: Identity,
    http: awc::Client,
    tx: mpsc::UnboundedSender<Event>,
    signs: DrainingEndpoints,
    reports: LoadReports,
    /// The list last known, of all data centres; `None` before the first.
    list: Option<Vec<routing::Endpoint>>,
    /// Endpoints that operators want to leave.
    intents: Vec<EndpointId>,
    known: BTreeMap<EndpointId, Known>,
    by_key: BTreeMap<EndpointKey, EndpointId>,
    /// Endpoints of which the request arbiter was told that they leave.
    told: BTreeSet<EndpointId>,
    /// The other hosts of the data centre that were heard.
    near: BTreeMap<HostId, SocketAddr>,
    /// The hosts of the data centre that live, among which the questions are divided.
    live: BTreeSet<HostId>,
    next_round: Duration,
    asking: bool,
}

impl Engines {
    /// A host that knows no endpoints. To be made on the arbiter that asks; answers go to `tx`.
    pub fn new(me: Identity, tx: mpsc::UnboundedSender<Event>) -> Self {
        let signs = DrainingEndpoints::new(me.host.id.clone(), me.data_centre.clone());
        Self {
            me,
            http: awc::Client::default(),
            tx,
            signs,
            reports: LoadReports::default(),
            list: None,
            intents: Vec::new(),
            known: BTreeMap::new(),
            by_key: BTreeMap::new(),
            told: BTreeSet::new(),
            near: BTreeMap::new(),
            live: BTreeSet::new(),
            next_round: Duration::ZERO,
            asking: false,
        }
    }

    /// The list last known, if any.
    pub fn list(&self) -> Option<&[routing::Endpoint]> {
        self.list.as_deref()
    }

    /// Takes in the list.
    pub fn listed(
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
            self.known
                .retain(|id, _| by_key.contains_key(&reports::key(id)));
            actions.push(Action::Tell(News::Endpoints(list.clone())));
            self.list = Some(list);
        }
        self.note_standing(now, actions);
    }

    /// Takes in the catalogue in force.
    pub fn intents(&mut self, now: Duration, catalogue: &Catalogue, actions: &mut Vec<Action>) {
        let leaving = catalogue.entries().filter_map(|entry| match entry {
            Entry::Endpoint(e) if e.intent == EndpointIntent::Drain => Some(e.id.clone()),
            _ => None,
        });
        self.intents = leaving.collect();
        self.note_standing(now, actions);
    }

    /// Takes in the view of the members.
    pub fn peers(&mut self, now: Duration, view: Vec<Member>, actions: &mut Vec<Action>) {
        let near = |m: &&Member| m.data_centre == self.me.data_centre && m.host.incarnation > 0;
        let near: Vec<&Member> = view.iter().filter(near).collect();
        let live = near.iter().filter(|m| m.state == State::Alive);
        self.live = live.map(|m| m.host.id.clone()).collect();
        let others = near.iter().filter(|m| m.host.id != self.me.host.id);
        self.near = others.map(|m| (m.host.id.clone(), m.addr)).collect();
        let mut did = Vec::new();
        let heard = view.into_iter().filter(|m| m.host.incarnation > 0);
        self.signs.update_view(now, heard, &mut did);
        self.signs_did(did, actions);
    }

    /// Takes in a sign that this host saw itself.
    pub fn seen(&mut self, now: Duration, sign: Sign, actions: &mut Vec<Action>) {
        let incarnation = match sign.incarnation {
            0 => self.life(&sign.endpoint),
            incarnation => incarnation,
        };
        self.note(
            now,
            Sign {
                incarnation,
                ..sign
            },
            actions,
        );
    }

    /// Takes in what another host of the data centre tells.
    pub fn receive(&mut self, now: Duration, news: EndpointNews, actions: &mut Vec<Action>) {
        match news {
            EndpointNews::Signs(signs) => {
                let mut did = Vec::new();
                self.signs.receive(now, &signs, &mut did);
                self.signs_did(did, actions);
                for sign in &signs {
                    self.tell_leaving(&sign.endpoint, actions);
                }
            }
            EndpointNews::Reports(reports) => self.shared(now, &reports, actions),
        }
    }

    /// Takes in what an engine said that this host asked.
    pub fn answered(&mut self, now: Duration, answer: Answer, actions: &mut Vec<Action>) {
        let id = &answer.endpoint;
        self.note_life(id, &answer, actions);
        let age = Duration::from_millis(answer.load.age_ms.into());
        let load = Load {
            running: u16::try_from(answer.load.running).unwrap_or(u16::MAX),
            waiting: u16::try_from(answer.load.waiting).unwrap_or(u16::MAX),
            at: now.saturating_sub(age),
        };
        self.reports.record_polled(id, load);
        let report = wire::LoadReport {
            endpoint: id.to_string(),
            incarnation: self.known.get(id).map_or(0, Known::life_name),
            ..answer.load
        };
        actions.push(Action::Tell(News::Loads(vec![report])));
        if !answer.cache.events.is_empty() {
            let news = News::CacheEvents(id.clone(), answer.cache);
            actions.push(Action::Tell(news));
        }
        if answer.state.leaving {
            let sign = sign(id, answer.state.incarnation, SignKind::Refusal);
            self.note(now, sign, actions);
        }
    }

    /// Takes in that the questions of a round were answered, or not in time.
    pub fn round_over(&mut self) {
        self.asking = false;
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut did = Vec::new();
        self.signs.tick(now, &mut did);
        self.signs_did(did, actions);
        if let Some(message) = self.reports.share(now) {
            let sends = self.near.iter().map(|(to, addr)| Action::Send {
                to: to.clone(),
                addr: *addr,
                message: message.clone(),
            });
            actions.extend(sends);
        }
        if now >= self.next_round {
            self.next_round = now + ROUND.mul_f64(1.0 + rand::rng().random_range(-JITTER..JITTER));
            self.note_standing(now, actions);
            self.ask(now);
        }
    }

    /// When [`Self::tick`] is to be called next, at the latest.
    pub fn next_tick(&self) -> Duration {
        let due = self.next_round.min(self.reports.next_share());
        self.signs.next_tick().map_or(due, |at| at.min(due))
    }

    /// Starts a round of questions unless one is still going on.
    fn ask(&mut self, now: Duration) {
        let mine = self.mine();
        let keys: BTreeSet<EndpointKey> = mine.iter().map(|q| reports::key(&q.endpoint)).collect();
        self.reports.retain(now, MAX_AGE, |key| keys.contains(&key));
        if self.asking || mine.is_empty() {
            return;
        }
        self.asking = true;
        let round = asking::round(self.http.clone(), mine, self.tx.clone());
        actix_rt::spawn(round);
    }

    /// The engines of the data centre that this host asks.
    fn mine(&self) -> Vec<Question> {
        let me = &self.me;
        let list = self.list.iter().flatten();
        let near = list.filter(|e| e.role == routing::Role::Engine);
        let near = near.filter(|e| e.data_centre == me.data_centre);
        let mine =
            near.filter(|e| reports::polling_host(&e.id, self.live.iter()) == Some(&me.host.id));
        let questions = mine.map(|e| Question {
            endpoint: e.id.clone(),
            addr: e.addr,
            after: self.known.get(&e.id).map_or(0, |k| k.after),
        });
        questions.collect()
    }

    /// The life of an endpoint as far as it is known; 0 if not.
    fn life(&self, endpoint: &EndpointId) -> u64 {
        self.known.get(endpoint).map_or(0, |k| k.life)
    }

    fn note_life(&mut self, id: &EndpointId, answer: &Answer, actions: &mut Vec<Action>) {
        let life = answer.load.incarnation;
        let known = self.known.entry(id.clone()).or_insert(Known {
            first: life,
            life,
            after: 0,
        });
        // The events of another life are numbered anew.
        known.after = match known.life == life {
            true => answer.cache.last,
            false => 0,
        };
        known.life = life;
        let of_earlier = self.signs.is_draining(id, 0) && !self.signs.is_draining(id, life);
        if of_earlier {
            let mut did = Vec::new();
            self.signs.mark_serving(id, life, &mut did);
            self.signs_did(did, actions);
        }
    }

    /// Takes in loads that another host asked for.
    fn shared(&mut self, now: Duration, shared: &[Report], actions: &mut Vec<Action>) {
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
            actions.push(Action::Tell(News::Loads(newer)));
        }
    }

    /// A shared load as an engine would report it. Sessions are not shared.
    fn report(&self, now: Duration, id: &EndpointId, load: Load) -> wire::LoadReport {
        let age = now.saturating_sub(load.at).as_millis();
        wire::LoadReport {
            endpoint: id.to_string(),
            incarnation: self.known.get(id).map_or(0, Known::life_name),
            running: load.running.into(),
            waiting: load.waiting.into(),
            sessions: 0,
            max_sessions: 0,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Notes the signs in the list and in the catalogue.
    fn note_standing(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let near = |e: &&routing::Endpoint| e.data_centre == self.me.data_centre;
        let listed = self.list.iter().flatten().filter(near);
        let listed = listed.filter(|e| e.draining);
        let listed = listed.map(|e| sign(&e.id, 0, SignKind::List));
        let wanted = self.intents.iter();
        let wanted = wanted.map(|id| sign(id, 0, SignKind::Operator));
        let signs: Vec<Sign> = listed.chain(wanted).collect();
        for sign in signs {
            self.note(now, sign, actions);
        }
    }

    fn note(&mut self, now: Duration, sign: Sign, actions: &mut Vec<Action>) {
        let mut did = Vec::new();
        self.signs.observe_sign(now, &sign, &mut did);
        self.signs_did(did, actions);
        self.tell_leaving(&sign.endpoint, actions);
    }

    fn signs_did(&mut self, did: Vec<endpoints::Action>, actions: &mut Vec<Action>) {
        for action in did {
            match action {
                endpoints::Action::Send { to, addr, message } => {
                    actions.push(Action::Send { to, addr, message });
                }
                endpoints::Action::Changed(endpoint) => self.tell_leaving(&endpoint, actions),
            }
        }
    }

    /// Tells the request arbiter whether an endpoint leaves, if that changed.
    fn tell_leaving(&mut self, endpoint: &EndpointId, actions: &mut Vec<Action>) {
        let leaving = self.signs.is_draining(endpoint, self.life(endpoint));
        let changed = match leaving {
            true => self.told.insert(endpoint.clone()),
            false => self.told.remove(endpoint),
        };
        if changed {
            let endpoint = endpoint.clone();
            let word = if leaving { "leaves" } else { "serves" };
            log::info!("engines: {endpoint} {word}, as the data centre's hosts know.");
            actions.push(Action::Tell(News::Leaving { endpoint, leaving }));
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
