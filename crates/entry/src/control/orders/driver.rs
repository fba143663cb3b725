//! The task: takes in events, ticks the state machines when they are due, and carries out what
//! they ask for.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_catalogue::{EndpointId, entry};
use dragonflyrill_orders::{
    group::{self, CallId, Group, GroupSpec, RawGroup, RawRange, SpecError},
    lease::{self, LeaseName, Leases},
};
use dragonflyrill_protocol::HostId;
use tokio::sync::mpsc;

use super::{CallRef, Config, Event, ListedEndpoint, calls::Calls};
use crate::clock::Clock;

/// Hosts that go for a lease: one holds it, one watches its row.
const CANDIDATES: usize = 2;
/// The most events that share one tick.
const BATCH: usize = 256;
/// How long the task sleeps when nothing is due.
const IDLE: Duration = Duration::from_secs(60);

/// One declared group.
struct Managed {
    group: Group,
    /// Tells it from a group of the same name that was there before.
    life: u64,
    /// Endpoints that should get no new work. Their sessions are asked for.
    drained: BTreeSet<EndpointId>,
}

/// The state of the task.
pub(super) struct Driver {
    cfg: Config,
    clock: Clock,
    leases: Rc<RefCell<Leases>>,
    calls: Calls,
    groups: BTreeMap<LeaseName, Managed>,
    lives: u64,
    listed: BTreeMap<EndpointId, ListedEndpoint>,
    peers: Vec<HostId>,
}

impl Driver {
    /// A task that knows nothing yet.
    pub(super) fn new(cfg: Config, clock: Clock, tx: mpsc::WeakUnboundedSender<Event>) -> Self {
        let leases = Rc::new(RefCell::new(Leases::new(cfg.lease.clone())));
        let calls = Calls::new(&cfg, clock, leases.clone(), tx);
        Self {
            cfg,
            clock,
            leases,
            calls,
            groups: BTreeMap::new(),
            lives: 0,
            listed: BTreeMap::new(),
            peers: Vec::new(),
        }
    }

    /// Handles events until the feed is dropped.
    pub(super) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        let mut events = Vec::new();
        loop {
            let wait = self.next_tick().saturating_sub(self.clock.now());
            tokio::select! {
                count = rx.recv_many(&mut events, BATCH) => if count == 0 {
                    return;
                },
                () = actix_rt::time::sleep(wait) => {}
            }
            for event in events.drain(..) {
                self.handle(event);
            }
            self.tick();
        }
    }

    fn next_tick(&self) -> Duration {
        let now = self.clock.now();
        let groups = self.groups.values();
        let groups = groups.filter_map(|managed| managed.group.next_tick(now));
        let dues = groups.chain(self.leases.borrow().next_tick());
        dues.min().unwrap_or(now + IDLE)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.leases.borrow_mut().tick(now, &mut actions);
        self.leases_did(actions);
        let due = |managed: &Managed| managed.group.next_tick(now).is_some_and(|at| at <= now);
        let due = self.groups.iter().filter(|(_, managed)| due(managed));
        let due: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            self.run_group(&name, |group, actions| group.tick(now, actions));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Catalogue { groups, models } => self.declared(&groups, &models),
            Event::Endpoints(listed) => {
                self.listed = listed.into_iter().map(|e| (e.id.clone(), e)).collect();
                self.tell_listed();
            }
            Event::Peers(peers) => {
                self.peers = peers;
                self.choose_leases();
            }
            Event::Table(id, result) => {
                let mut actions = Vec::new();
                let mut leases = self.leases.borrow_mut();
                leases.handle_table_result(now, id, result, &mut actions);
                drop(leases);
                self.leases_did(actions);
            }
            Event::Answer(of, result) if self.lives_on(&of) => {
                self.run_group(&of.lease, |group, actions| {
                    group.handle_answer(now, &of.endpoint, of.call, result, actions);
                });
            }
            Event::Sessions(of, count, at) if self.lives_on(&of) => {
                self.run_group(&of.lease, |group, _| {
                    group.set_session_count(&of.endpoint, count, at);
                });
            }
            Event::Answer(..) | Event::Sessions(..) => {}
        }
    }

    /// Whether the group that the call was made for is still there.
    fn lives_on(&self, of: &CallRef) -> bool {
        let managed = self.groups.get(&of.lease);
        managed.is_some_and(|managed| managed.life == of.life)
    }

    fn declared(&mut self, groups: &[entry::GroupEntry], models: &[entry::ModelEntry]) {
        let mut specs = BTreeMap::new();
        for entry in groups {
            match spec(entry, models) {
                Ok(spec) => drop(specs.insert(spec.id().lease_name(), spec)),
                Err(e) => log::error!("orders: No orders are given: {e}."),
            }
        }
        let gone = self.groups.keys().filter(|name| !specs.contains_key(name));
        let gone: Vec<_> = gone.cloned().collect();
        for name in gone {
            self.give_up(&name);
            self.groups.remove(&name);
        }
        for (name, spec) in specs {
            self.take_spec(name, spec);
        }
        self.tell_listed();
        self.choose_leases();
    }

    fn take_spec(&mut self, name: LeaseName, spec: GroupSpec) {
        let now = self.clock.now();
        match self.groups.get(&name) {
            Some(managed) if *managed.group.spec() == spec => {}
            Some(_) => self.run_group(&name, |group, actions| group.set_spec(now, spec, actions)),
            None => {
                self.lives += 1;
                let managed = Managed {
                    group: Group::new(self.cfg.group.clone(), spec),
                    life: self.lives,
                    drained: BTreeSet::new(),
                };
                self.groups.insert(name, managed);
            }
        }
    }

    /// Tells the groups which of their endpoints the host list has.
    fn tell_listed(&mut self) {
        let now = self.clock.now();
        for managed in self.groups.values_mut() {
            let endpoints = managed.group.spec().endpoints().clone();
            for id in endpoints {
                let listed = self.listed.get(&id);
                managed.group.set_alive(now, &id, listed.is_some());
                let leaving = listed.is_some_and(|endpoint| endpoint.leaving);
                managed.group.set_shutting_down(&id, leaving);
            }
        }
    }

    /// Goes for the leases for which this host comes early enough among the live ones.
    fn choose_leases(&mut self) {
        let names: Vec<_> = self.groups.keys().cloned().collect();
        for name in names {
            let me = &self.cfg.me().id;
            if lease::is_candidate(&name, me, &self.peers, CANDIDATES) {
                self.leases.borrow_mut().request(self.clock.now(), &name);
            } else {
                self.give_up(&name);
            }
        }
    }

    /// Gives a lease back. The right to act ends first.
    fn give_up(&mut self, name: &LeaseName) {
        self.leases.borrow_mut().release(self.clock.now(), name);
        self.run_group(name, Group::lease_lost);
    }

    fn leases_did(&mut self, actions: Vec<lease::Action>) {
        let now = self.clock.now();
        for action in actions {
            match action {
                lease::Action::CallTable { id, call } => self.calls.table(id, call),
                lease::Action::Held(name, fence) => {
                    self.run_group(&name, |group, actions| {
                        group.lease_held(now, fence, actions);
                    });
                }
                lease::Action::Lost(name) => self.run_group(&name, Group::lease_lost),
            }
        }
    }

    fn run_group(
        &mut self,
        name: &LeaseName,
        step: impl FnOnce(&mut Group, &mut Vec<group::Action>),
    ) {
        let Some(managed) = self.groups.get_mut(name) else {
            return;
        };
        let mut actions = Vec::new();
        step(&mut managed.group, &mut actions);
        for action in actions {
            self.carry_out(name, action);
        }
    }

    fn carry_out(&mut self, name: &LeaseName, action: group::Action) {
        let managed = self.groups.get_mut(name).expect("its group asked");
        let life = managed.life;
        let of = |endpoint, call| call_ref(name, life, endpoint, call);
        match action {
            group::Action::ReadState { call, endpoint } => {
                let drained = managed.drained.contains(&endpoint);
                match self.listed.get(&endpoint) {
                    Some(at) => self.calls.read(of(endpoint, call), at.addr, drained),
                    None => self.calls.not_sent(of(endpoint, call)),
                }
            }
            group::Action::Order {
                call,
                endpoint,
                order,
            } => match self.listed.get(&endpoint) {
                Some(at) => self.calls.order(of(endpoint, call), at.addr, order),
                None => self.calls.not_sent(of(endpoint, call)),
            },
            group::Action::Drain(endpoint) => {
                log::info!("orders: {name}: {endpoint} is to get no new work.");
                managed.drained.insert(endpoint);
            }
            group::Action::Undrain(endpoint) => {
                if managed.drained.remove(&endpoint) {
                    log::info!("orders: {name}: {endpoint} may get work again.");
                }
            }
            group::Action::RaiseFence(floor) => {
                let now = self.clock.now();
                self.leases.borrow_mut().raise_fence(now, name, floor);
            }
        }
    }
}

fn call_ref(name: &LeaseName, life: u64, endpoint: EndpointId, call: CallId) -> CallRef {
    CallRef {
        lease: name.clone(),
        life,
        endpoint,
        call,
    }
}

/// The declared state of a group, checked against its model.
fn spec(e: &entry::GroupEntry, models: &[entry::ModelEntry]) -> Result<GroupSpec, SpecError> {
    let model = models.iter().find(|model| model.name == e.model);
    let ranges = e.ranges.iter().map(|range| RawRange {
        first: range.first,
        end: range.end,
        minimum: range.min,
    });
    GroupSpec::try_from(RawGroup {
        model: e.model.to_string(),
        data_centre: e.data_centre.to_string(),
        version: e.version.clone(),
        // 0 is refused, so a group without its model is.
        layers: model.map_or(0, |model| model.layers),
        ranges: ranges.collect(),
        spares: e.spares,
        endpoints: e.endpoints.iter().map(ToString::to_string).collect(),
        loads_at_once: e.loads_at_once,
        layers_per_second: e.layers_per_second,
    })
}
