//! The task: passes events to the state machines, calls their ticks when they are due, and executes
//! the actions that they return.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_catalogue::{EndpointId, entry};
use dragonflyrill_clock::Clock;
use dragonflyrill_orders::{
    group::{self, CallId, Group, GroupSpec, RawGroup, RawRange, SpecError},
    lease::{self, LeaseName, Leases},
};
use dragonflyrill_protocol::HostId;
use tokio::sync::mpsc;

use super::{CallRef, Config, Event, ListedEndpoint, calls::Calls};

/// How many hosts request a lease: one holds it, the other watches its row.
const LEASE_CANDIDATES: usize = 2;
/// How many events are handled at most before one tick.
const MAX_EVENTS_PER_TICK: usize = 256;
/// How long the task sleeps when nothing is due.
const IDLE_SLEEP: Duration = Duration::from_secs(60);

/// One declared group.
struct ManagedGroup {
    group: Group,
    /// Distinguishes the group from an earlier one of the same name.
    generation: u64,
    /// Endpoints that are to get no new work. Reads of their state include their sessions.
    drained: BTreeSet<EndpointId>,
}

/// The state of the task.
pub(super) struct Driver {
    cfg: Config,
    clock: Clock,
    leases: Rc<RefCell<Leases>>,
    calls: Calls,
    groups: BTreeMap<LeaseName, ManagedGroup>,
    last_generation: u64,
    listed: BTreeMap<EndpointId, ListedEndpoint>,
    peers: Vec<HostId>,
}

impl Driver {
    /// Creates a task without groups, endpoints and peers.
    pub(super) fn new(cfg: Config, clock: Clock, tx: mpsc::WeakUnboundedSender<Event>) -> Self {
        let leases = Rc::new(RefCell::new(Leases::new(cfg.lease.clone())));
        let calls = Calls::new(&cfg, clock.clone(), leases.clone(), tx);
        Self {
            cfg,
            clock,
            leases,
            calls,
            groups: BTreeMap::new(),
            last_generation: 0,
            listed: BTreeMap::new(),
            peers: Vec::new(),
        }
    }

    /// Handles events until the handle is dropped.
    pub(super) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        let mut events = Vec::new();
        loop {
            let wait = self.next_tick().saturating_sub(self.clock.now());
            tokio::select! {
                count = rx.recv_many(&mut events, MAX_EVENTS_PER_TICK) => if count == 0 {
                    return;
                },
                () = self.clock.sleep(wait) => {}
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
        dues.min().unwrap_or(now + IDLE_SLEEP)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.leases.borrow_mut().tick(now, &mut actions);
        self.execute_leases(actions);
        let due = |managed: &ManagedGroup| managed.group.next_tick(now).is_some_and(|at| at <= now);
        let due = self.groups.iter().filter(|(_, managed)| due(managed));
        let due: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            self.run_group(&name, |group, actions| group.tick(now, actions));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Catalogue { groups, models } => self.update_declared(&groups, &models),
            Event::Endpoints(listed) => {
                self.listed = listed.into_iter().map(|e| (e.id.clone(), e)).collect();
                self.update_listed();
            }
            Event::Peers(peers) => {
                self.peers = peers;
                self.update_candidacies();
            }
            Event::TxnDone(id, result) => {
                let mut actions = Vec::new();
                let mut leases = self.leases.borrow_mut();
                leases.handle_table_result(now, id, result, &mut actions);
                drop(leases);
                self.execute_leases(actions);
            }
            Event::CallDone(of, result) if self.is_current(&of) => {
                self.run_group(&of.lease, |group, actions| {
                    group.handle_answer(now, &of.endpoint, of.call, result, actions);
                });
            }
            Event::SessionCount(of, count, at) if self.is_current(&of) => {
                self.run_group(&of.lease, |group, _| {
                    group.set_session_count(&of.endpoint, count, at);
                });
            }
            Event::CallDone(..) | Event::SessionCount(..) => {}
        }
    }

    /// Whether the group for which the call was made still exists.
    fn is_current(&self, of: &CallRef) -> bool {
        let managed = self.groups.get(&of.lease);
        managed.is_some_and(|managed| managed.generation == of.generation)
    }

    fn update_declared(&mut self, groups: &[entry::GroupEntry], models: &[entry::ModelEntry]) {
        let mut specs = BTreeMap::new();
        for entry in groups {
            match spec(entry, models) {
                Ok(spec) => drop(specs.insert(spec.id().lease_name(), spec)),
                Err(e) => {
                    log::error!("orders: No orders are sent to a group that is not valid: {e}.")
                }
            }
        }
        let removed = self.groups.keys().filter(|name| !specs.contains_key(name));
        let removed: Vec<_> = removed.cloned().collect();
        for name in removed {
            self.release_lease(&name);
            self.groups.remove(&name);
        }
        for (name, spec) in specs {
            self.update_spec(name, spec);
        }
        self.update_listed();
        self.update_candidacies();
    }

    fn update_spec(&mut self, name: LeaseName, spec: GroupSpec) {
        let now = self.clock.now();
        match self.groups.get(&name) {
            Some(managed) if *managed.group.spec() == spec => {}
            Some(_) => self.run_group(&name, |group, actions| group.set_spec(now, spec, actions)),
            None => {
                self.last_generation += 1;
                let managed = ManagedGroup {
                    group: Group::new(self.cfg.group.clone(), spec),
                    generation: self.last_generation,
                    drained: BTreeSet::new(),
                };
                self.groups.insert(name, managed);
            }
        }
    }

    /// Updates the groups with which of their endpoints are listed, and which of those are draining.
    fn update_listed(&mut self) {
        let now = self.clock.now();
        for managed in self.groups.values_mut() {
            let endpoints = managed.group.spec().endpoints().clone();
            for id in endpoints {
                let listed = self.listed.get(&id);
                managed.group.set_alive(now, &id, listed.is_some());
                let draining = listed.is_some_and(|endpoint| endpoint.draining);
                managed.group.set_shutting_down(&id, draining);
            }
        }
    }

    /// Requests the leases for which this host is a candidate among the live hosts, and releases the
    /// others.
    fn update_candidacies(&mut self) {
        let names: Vec<_> = self.groups.keys().cloned().collect();
        for name in names {
            let me = &self.cfg.me().id;
            if lease::is_candidate(&name, me, &self.peers, LEASE_CANDIDATES) {
                self.leases.borrow_mut().request(self.clock.now(), &name);
            } else {
                self.release_lease(&name);
            }
        }
    }

    /// Releases a lease. The right to send orders ends before the release is written.
    fn release_lease(&mut self, name: &LeaseName) {
        self.leases.borrow_mut().release(self.clock.now(), name);
        self.run_group(name, Group::lease_lost);
    }

    fn execute_leases(&mut self, actions: Vec<lease::Action>) {
        let now = self.clock.now();
        for action in actions {
            match action {
                lease::Action::CallTable { id, call } => self.calls.call_table(id, call),
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
            self.execute_group_action(name, action);
        }
    }

    fn execute_group_action(&mut self, name: &LeaseName, action: group::Action) {
        let managed = self
            .groups
            .get_mut(name)
            .expect("the group that returned the action exists");
        let generation = managed.generation;
        let of = |endpoint, call| call_ref(name, generation, endpoint, call);
        match action {
            group::Action::ReadState { call, endpoint } => {
                let drained = managed.drained.contains(&endpoint);
                match self.listed.get(&endpoint) {
                    Some(at) => self.calls.read_state(of(endpoint, call), at.addr, drained),
                    None => self.calls.report_not_sent(of(endpoint, call)),
                }
            }
            group::Action::Order {
                call,
                endpoint,
                order,
            } => match self.listed.get(&endpoint) {
                Some(at) => self.calls.send_order(of(endpoint, call), at.addr, order),
                None => self.calls.report_not_sent(of(endpoint, call)),
            },
            group::Action::Drain(endpoint) => {
                log::info!("orders: {name}: {endpoint} is drained for an order.");
                managed.drained.insert(endpoint);
            }
            group::Action::Undrain(endpoint) => {
                if managed.drained.remove(&endpoint) {
                    log::info!("orders: {name}: {endpoint} is not drained any more.");
                }
            }
            group::Action::RaiseFence(floor) => {
                let now = self.clock.now();
                self.leases.borrow_mut().raise_fence(now, name, floor);
            }
        }
    }
}

fn call_ref(name: &LeaseName, generation: u64, endpoint: EndpointId, call: CallId) -> CallRef {
    CallRef {
        lease: name.clone(),
        generation,
        endpoint,
        call,
    }
}

/// Converts the declaration of a group, and checks it against its model.
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
        // A group whose model is not declared has 0 layers, which is refused.
        layers: model.map_or(0, |model| model.layers),
        ranges: ranges.collect(),
        spares: e.spares,
        endpoints: e.endpoints.iter().map(ToString::to_string).collect(),
        loads_at_once: e.loads_at_once,
        layers_per_second: e.layers_per_second,
    })
}
