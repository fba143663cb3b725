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

use self::documents::Documents;
use crate::settings::Settings;

/// How long what another host told of its loads is counted.
const LOADS_AGE: Duration = Duration::from_millis(1500);

/// Hosts of a data centre that are asked by others, one after the other.
pub const FIRST_HOSTS: usize = 2;

/// How long a host that failed is passed over the first time.
const PASSED_OVER: Duration = Duration::from_secs(2);

/// What another host told of its loads.
struct Heard {
    from: FleetHost,
    loads: LoadMap,
    /// What it avoided then.
    avoided: Vec<AvoidedEndpoint>,
    /// When the store last answered it, if it reads the store itself.
    read_at: Option<Duration>,
    at: Duration,
}

/// What is known of the other hosts.
#[derive(Default)]
pub struct Peers {
    /// All hosts that are alive, this one included, in order.
    fleet: RefCell<Vec<FleetHost>>,
    fleet_hash: Cell<u64>,
    /// Hosts that could not be used: until when they are passed over, and how often in a row.
    passed_over: RefCell<FxHashMap<String, (Duration, u32)>>,
    /// Hosts of this data centre, and the reading hosts of others, by name.
    heard: RefCell<FxHashMap<String, Heard>>,
    /// Up to where the list of the host that this one asks is known.
    list: Cell<ListMark>,
    /// The row of the lease as it was last read or told.
    lease: RefCell<Option<LeaseRow>>,
    /// This incarnation of this host.
    incarnation: Cell<u64>,
    /// The host whose reading of the store this one is told.
    reader: RefCell<Option<String>>,
    /// Hands out turns to try a store that does not answer.
    turns: RefCell<ProbeSlots>,
    /// Gives out the catalogue's document.
    documents: Documents,
    /// News that the other hosts wait for.
    hurry: Notify,
    /// Whether the other hosts are known, as far as they can be: this host has just started if not.
    known: Cell<bool>,
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
    fn first(&self, data_centre: &str, me: Option<&str>, now: Duration) -> Option<FleetHost> {
        let passed_over = self.passed_over.borrow();
        let fleet = self.fleet.borrow();
        let mut ranked = fleet
            .iter()
            .filter(|h| h.data_centre == data_centre && me.is_none_or(|me| *h.host < *me));
        let works = |h: &&FleetHost| passed_over.get(&h.host).is_none_or(|(t, _)| *t <= now);
        ranked.find(works).cloned()
    }

    /// The data centres of the fleet but one.
    fn other_data_centres(&self, but: &str) -> Vec<String> {
        let fleet = self.fleet.borrow();
        let mut others: Vec<String> = fleet.iter().map(|h| h.data_centre.clone()).collect();
        others.retain(|d| d != but);
        others.sort();
        others.dedup();
        others
    }

    /// A host could not be used: it is passed over for a while, longer each time.
    fn pass_over(&self, host: &str, now: Duration) {
        let mut passed_over = self.passed_over.borrow_mut();
        let (until, times) = passed_over.entry(host.to_owned()).or_default();
        let pause = PASSED_OVER * 2u32.saturating_pow((*times).min(3));
        *until = now + pause;
        *times += 1;
    }

    /// Whether this host is among the first of its data centre, which others ask.
    pub fn reads_for_others(&self, settings: &Settings) -> bool {
        let fleet = self.fleet.borrow();
        let near = fleet
            .iter()
            .filter(|h| *h.data_centre == *settings.data_centre);
        let before = near.filter(|h| h.host < settings.host).count();
        before < FIRST_HOSTS
    }

    /// The store has answered after trouble: hosts that were passed over may be asked again.
    pub fn forgive(&self) {
        self.passed_over.borrow_mut().clear();
    }

    /// A host had fresh news.
    fn works(&self, host: &str) {
        self.passed_over.borrow_mut().remove(host);
    }

    /// The other hosts are known, as far as they can be.
    pub fn set_known(&self) {
        if !self.known.replace(true) {
            self.hurry();
        }
    }

    /// Whether another host of this data centre can be asked before this one reads the store.
    pub fn one_before(&self, settings: &Settings, now: Duration) -> bool {
        let before = Some(settings.host.as_str());
        self.first(&settings.data_centre, before, now).is_some()
    }

    /// The next call is made at once.
    pub fn hurry(&self) {
        self.hurry.notify_one();
    }

    /// Another host told of its loads, or of those of its data centre.
    fn hear(&self, told: Heard) {
        let mut heard = self.heard.borrow_mut();
        heard.retain(|_, h| h.at + LOADS_AGE > told.at);
        heard.insert(told.from.host.clone(), told);
    }

    /// How many hosts of this data centre that come later have lately asked this one.
    pub fn asked_by(&self, settings: &Settings, now: Duration) -> u32 {
        let heard = self.heard.borrow();
        let asked = heard.values().filter(|h| {
            let near = h.from.data_centre == *settings.data_centre;
            near && h.from.host > settings.host && h.at + endpoint_limits::POOLED_SHARE_TTL > now
        });
        asked.count() as u32
    }

    /// Whether a host that asks is to try the store now, which does not answer this one.
    fn turn(&self, host: &str, data_centre: &str, now: Duration) -> bool {
        let heard = self.heard.borrow();
        let near = heard
            .iter()
            .filter(|(_, h)| h.from.data_centre == data_centre);
        let others = near.map(|(name, _)| &**name);
        self.turns.borrow_mut().grant(host, others, now)
    }

    /// The store is heard of again.
    fn no_turns(&self) {
        self.turns.borrow_mut().reset();
    }

    /// A host of a data centre that has told that it reads the store, and when last, at the latest
    /// `since`. It may have started after this host last read who there is: without the store this one learns
    /// of it by that alone.
    fn reader_near(&self, data_centre: &str, since: Duration) -> Option<FleetHost> {
        let heard = self.heard.borrow();
        let near = heard.values().filter(|h| h.from.data_centre == data_centre);
        let lately = near.filter_map(|h| Some((h.read_at.filter(|at| *at >= since)?, h)));
        let newest = lately.max_by_key(|(at, _)| *at);
        newest.map(|(_, h)| h.from.clone())
    }

    /// The sum of what was heard from hosts that `of` accepts, by name and data centre.
    fn sum(&self, now: Duration, of: impl Fn(&str, &str) -> bool) -> LoadMap {
        let mut sum = LoadMap::default();
        for (host, heard) in self.heard.borrow().iter() {
            if heard.at + LOADS_AGE > now && of(host, &heard.from.data_centre) {
                add(&mut sum, &heard.loads);
            }
        }
        sum
    }

    /// What the hosts that told this one avoid, but for `host`, and for how long still.
    fn avoided_but(&self, host: &str, now: Duration) -> Vec<AvoidedEndpoint> {
        let heard = self.heard.borrow();
        let others = heard.iter().filter(|(h, _)| **h != *host);
        let avoided = others.flat_map(|(_, h)| h.avoided.iter().map(|a| (h.at, a)));
        let left = avoided.map(|(at, a)| AvoidedEndpoint {
            id: a.id.clone(),
            remaining: (at + a.remaining).saturating_sub(now),
        });
        left.filter(|a| !a.remaining.is_zero()).collect()
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
