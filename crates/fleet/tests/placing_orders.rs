//! Orders go only to the incarnation that was polled, never two at once, and the layout is restored
//! after any failure of engines and orders.
//!
//! Runs random schedules of a data centre against the real planner and engine states. Engines
//! restart between being polled, being ordered and being listed, with and without reporting when
//! they started. Others are replaced, the new one first. Entries come late, also of former
//! incarnations. Polls get no answer. Orders are lost, refused, or carried out seconds later, also
//! by an incarnation that they were not meant for. The lease passes to a host without any state.

mod common;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use common::{endpoint, engine, ms};
use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint},
    incarnations::{self, StartTime},
    layers::LayerRange,
    placement::{
        engine_states::{EngineStates, LoadReport, Order, OrderOutcome},
        planner::{ListedEngines, Planner},
    },
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const STEP: Duration = Duration::from_millis(100);
/// How long after it was sent an order without an answer may still be carried out, in ms.
const ORDER_DELAY_MS: std::ops::Range<u64> = 2000..12_000;

/// When an engine that is replaced starts to drain, after its replacement was started, and how long
/// it serves from then on.
const DRAIN_DELAY: Duration = Duration::from_millis(1100);
const DRAIN_DURATION: Duration = Duration::from_millis(2500);

/// How long the entry of a terminated incarnation stays in the list.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3600);

/// The actual state of an engine.
struct Engine {
    /// Its index among all engines, which is also its address.
    index: usize,
    kind: &'static str,
    /// When it announces that it drains.
    drains_at: Option<Duration>,
    incarnation: u64,
    layers: Option<LayerRange>,
    /// The layers that it is loading, and until when.
    loads: Option<(LayerRange, Duration)>,
    orders: u64,
}

impl Engine {
    fn new(index: usize, kind: &'static str) -> Self {
        Self {
            index,
            kind,
            drains_at: None,
            incarnation: 1,
            layers: None,
            loads: None,
            orders: 0,
        }
    }

    fn is_draining(&self, now: Duration) -> bool {
        self.drains_at.is_some_and(|at| at <= now)
    }

    fn is_gone(&self, now: Duration) -> bool {
        self.drains_at.is_some_and(|at| at + DRAIN_DURATION <= now)
    }
}

struct World {
    rng: Pcg64,
    now: Duration,
    /// Whether entries have the start time; else each incarnation has a name of its own.
    reports_start: bool,
    engines: Vec<Engine>,
    directory: Directory,
    states: EngineStates,
    planner: Planner,
    /// Entries that are not yet visible, and when they become visible; `None` removes the entry of
    /// the endpoint.
    entries: Vec<(Duration, Rc<str>, Option<Endpoint>)>,
    /// Orders that are carried out later.
    late_orders: Vec<(Duration, usize, Order)>,
    /// Until when an incarnation that did not answer an order must not get another one from this
    /// holder of the lease.
    unanswered: BTreeMap<Rc<str>, Duration>,
    order_count: usize,
    /// The number of orders to engines that hold layers.
    move_count: usize,
}

const KINDS: [&str; 6] = ["a100", "a100", "l40s", "l40s", "l4", "l4"];

impl World {
    fn new(seed: u64, kinds: &[&'static str]) -> Self {
        let engines = kinds.iter().enumerate();
        Self {
            rng: Pcg64::seed_from_u64(seed),
            now: ms(0),
            reports_start: seed.is_multiple_of(2),
            engines: engines.map(|(at, kind)| Engine::new(at, kind)).collect(),
            directory: Directory::default(),
            states: EngineStates::default(),
            planner: Planner::default(),
            entries: Vec::new(),
            late_orders: Vec::new(),
            unanswered: BTreeMap::new(),
            order_count: 0,
            move_count: 0,
        }
    }

    /// The entry that an engine would write now.
    fn entry(&self, at: usize) -> Endpoint {
        let engine = &self.engines[at];
        let (name, started_at) = match self.reports_start {
            true => (format!("e{at}"), Some(StartTime(engine.incarnation))),
            false => (format!("e{at}-{}", engine.incarnation), None),
        };
        Endpoint {
            id: incarnations::id(&name, started_at),
            name: name.as_str().into(),
            started_at,
            addr: ([127, 0, 0, 1], 1000 + engine.index as u16).into(),
            layers: engine.layers,
            draining: engine.is_draining(self.now),
            ..endpoint(&name, "a", engine.kind, 0, 1)
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn run(&mut self, duration: Duration, fault_rate: f64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            self.advance_engines(fault_rate);
            self.deliver_entries();
            self.poll_unresponsive(fault_rate);
            self.execute_late_orders();
            if self.chance(0.05 * fault_rate) {
                self.states.clear();
                self.unanswered.clear();
            }
            self.run_round(fault_rate);
        }
    }

    /// Starts an engine of the same kind that is to replace another.
    fn start_replacement(&mut self, at: usize) {
        let new = self.engines.len();
        let kind = self.engines[at].kind;
        self.engines.push(Engine::new(new, kind));
        self.write_entry(new, ms(100));
        self.engines[at].drains_at = Some(self.now + DRAIN_DELAY);
    }

    /// A random engine that does not drain.
    fn staying(&mut self) -> usize {
        let staying = (0..self.engines.len()).filter(|at| self.engines[*at].drains_at.is_none());
        let staying: Vec<usize> = staying.collect();
        staying[self.rng.random_range(0..staying.len())]
    }

    fn write_entry(&mut self, at: usize, lag: Duration) {
        let entry = self.entry(at);
        let gone_now = self.engines[at].is_gone(self.now);
        let id = entry.id.clone();
        let entry = (!gone_now).then_some(entry);
        self.entries.push((self.now + lag, id, entry));
    }

    fn advance_engines(&mut self, fault_rate: f64) {
        if self.chance(0.02 * fault_rate) {
            let at = self.staying();
            self.start_replacement(at);
        }
        for at in 0..self.engines.len() {
            let now = self.now;
            let engine = &mut self.engines[at];
            // The platform that runs the engine updates the list.
            if engine.drains_at == Some(now)
                || engine
                    .drains_at
                    .is_some_and(|at| at + DRAIN_DURATION == now)
            {
                self.write_entry(at, ms(500));
            }
            let engine = &mut self.engines[at];
            if engine.is_gone(now) {
                continue;
            }
            if let Some((layers, _)) = engine.loads.filter(|(_, until)| *until <= now) {
                engine.layers = Some(layers);
                engine.loads = None;
            }
            if self.chance(0.01 * fault_rate) {
                self.restart(at);
            }
            if self.chance(0.15) {
                let lag = ms(self.rng.random_range(0..1500));
                let delayed = self.chance(0.1 * fault_rate);
                let lag = if delayed { lag + ms(3000) } else { lag };
                self.write_entry(at, lag);
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let former = self.entry(at).id;
        self.entries.push((self.now + ENTRY_EXPIRY, former, None));
        let engine = &mut self.engines[at];
        engine.incarnation += 1;
        engine.layers = None;
        engine.loads = None;
        engine.orders = 0;
    }

    /// Entries of an incarnation become visible in the order in which they were written, except
    /// late ones.
    fn deliver_entries(&mut self) {
        let now = self.now;
        let (due, later) = self.entries.drain(..).partition(|(at, ..)| *at <= now);
        self.entries = later;
        let mut due: Vec<(Duration, Rc<str>, Option<Endpoint>)> = due;
        due.sort_by_key(|(at, ..)| *at);
        for (_, id, entry) in due {
            let Some(entry) = entry else {
                self.directory.remove(&id);
                continue;
            };
            let at = usize::from(entry.addr.port() - 1000);
            // No more entries are written for this incarnation; its entry expires.
            if self.engines[at].is_gone(now) || self.entry(at).id != id {
                self.entries.push((now + ENTRY_EXPIRY, id, None));
            }
            self.directory.put(entry, now);
        }
    }

    /// Polls unresponsive engines until they answer and hold the layers that they are listed with.
    fn poll_unresponsive(&mut self, fault_rate: f64) {
        let unresponsive = self.directory.iter();
        let unresponsive = unresponsive.filter(|e| self.directory.is_unresponsive(&e.id));
        for endpoint in unresponsive.cloned().collect::<Vec<_>>() {
            let report = self.poll(&endpoint, fault_rate);
            if report.is_some_and(|report| report.layers == endpoint.layers) {
                self.directory.record_success(&endpoint.id);
            }
        }
    }

    fn execute_late_orders(&mut self) {
        let now = self.now;
        let (due, later) = self.late_orders.drain(..).partition(|(at, ..)| *at <= now);
        self.late_orders = later;
        for (_, at, order) in due {
            self.accept(at, &order);
        }
    }

    /// The engine at an index accepts an order if its count of orders is the expected one.
    fn accept(&mut self, at: usize, order: &Order) -> bool {
        let now = self.now;
        let model = engine();
        let engine = &mut self.engines[at];
        if engine.is_gone(now) || engine.orders != order.expected_orders || engine.loads.is_some() {
            return false;
        }
        let accelerator = model.accelerator(engine.kind).expect("a kind");
        assert!(order.layers.count() <= model.max_layers(accelerator));
        engine.orders += 1;
        engine.layers = None;
        let load = Duration::from_secs_f64(14.0 * f64::from(order.layers.count()) / 80.0);
        engine.loads = Some((order.layers, now + load));
        true
    }

    /// The report of the process at an endpoint's address, which also tells its incarnation.
    fn poll(&mut self, endpoint: &Endpoint, fault_rate: f64) -> Option<LoadReport> {
        if self.chance(0.1 * fault_rate) {
            return None;
        }
        let at = usize::from(endpoint.addr.port() - 1000);
        if self.engines[at].is_gone(self.now) {
            return None;
        }
        let entry = self.entry(at);
        let engine = &self.engines[at];
        let report = LoadReport {
            layers: engine.layers,
            busy: engine.loads.is_some(),
            orders: engine.orders,
        };
        if entry.started_at > endpoint.started_at {
            self.directory.put(entry, self.now);
        }
        Some(report)
    }

    /// The listed engines: those that stay, and those that drain.
    fn listed(&self) -> (Vec<Rc<Endpoint>>, Vec<Rc<Endpoint>>) {
        let mut listed: Vec<Rc<Endpoint>> = self.directory.iter().cloned().collect();
        listed.sort_by(|a, b| a.id.cmp(&b.id));
        listed.into_iter().partition(|e| !e.draining)
    }

    fn is_listed(&self, id: &str) -> bool {
        self.directory.get(id).is_some()
    }

    /// One round of the host that places layers.
    fn run_round(&mut self, fault_rate: f64) {
        let (staying, draining) = self.listed();
        let engines = ListedEngines {
            staying: &staying,
            draining: &draining,
            states: &self.states,
            directory: &self.directory,
        };
        if !self.planner.settled(&engines, false, self.now) {
            return;
        }
        for endpoint in self.states.unknown_empty(&staying, self.now) {
            let report = self.poll(&endpoint, fault_rate);
            if self.is_listed(&endpoint.id) {
                self.states
                    .record_empty_report(&endpoint.id, report, self.now);
            }
        }
        // An engine may restart while others are polled and ordered.
        if self.chance(0.02 * fault_rate) {
            let at = self.staying();
            self.restart(at);
            if self.chance(0.5) {
                let entry = self.entry(at);
                self.directory.put(entry, self.now);
            }
        }
        let engines = ListedEngines {
            staying: &staying,
            draining: &draining,
            states: &self.states,
            directory: &self.directory,
        };
        let placements = self.planner.plan(&engine(), &engines, self.now).placements;
        for endpoint in self.states.unknown_movers(&staying, &placements) {
            let report = self.poll(&endpoint, fault_rate);
            if self.is_listed(&endpoint.id) {
                self.states.record_mover_report(&endpoint, report, self.now);
            }
        }
        let orders = self.states.orders(&self.directory, &placements);
        for order in orders {
            self.order(order, fault_rate);
        }
        self.states.retain_listed(&self.directory);
    }

    fn order(&mut self, order: Order, fault_rate: f64) {
        let id = order.endpoint.id.clone();
        assert!(
            self.is_listed(&id),
            "order to an incarnation that is known to have terminated: {id}"
        );
        let blocked_until = self.unanswered.get(&id).copied().unwrap_or_default();
        assert!(
            blocked_until <= self.now,
            "{id} may still carry out an order"
        );
        self.order_count += 1;
        self.move_count += usize::from(order.endpoint.layers.is_some());
        let at = usize::from(order.endpoint.addr.port() - 1000);
        let outcome = match self.rng.random_range(0.0..1.0) {
            x if x < 0.1 * fault_rate => {
                let delay = ms(self.rng.random_range(ORDER_DELAY_MS));
                self.late_orders.push((self.now + delay, at, order.clone()));
                OrderOutcome::Unknown
            }
            x if x < 0.15 * fault_rate => OrderOutcome::Unknown,
            _ if self.accept(at, &order) => OrderOutcome::Accepted,
            _ => OrderOutcome::Refused,
        };
        if outcome == OrderOutcome::Unknown {
            self.unanswered
                .insert(id, self.now + ms(ORDER_DELAY_MS.end));
        }
        self.states.record_outcome(&order, outcome, self.now);
    }

    /// The minimum number of holders over all layers.
    fn min_holders(&self) -> usize {
        let serving = self.engines.iter().filter(|e| !e.is_gone(self.now));
        let held: Vec<LayerRange> = serving.filter_map(|e| e.layers).collect();
        let holders = |layer| held.iter().filter(|l| l.contains(layer)).count();
        (0..engine().layers).map(holders).min().unwrap_or(0)
    }
}

#[test]
fn after_random_faults_the_layout_is_restored_and_orders_reach_only_the_polled_incarnation() {
    let mut restarts = 0;
    let mut orders = 0;
    for seed in (0..60).chain([77]) {
        let mut world = World::new(seed, &KINDS);
        world.run(ms(8000), 0.0);
        world.run(ms(60_000), 1.0);
        world.run(ms(60_000), 0.0);
        assert!(world.min_holders() > 0, "seed {seed}");
        let before = world.order_count;
        world.run(ms(10_000), 0.0);
        assert_eq!(
            world.order_count, before,
            "seed {seed}: a settled layout still gets orders"
        );
        restarts += world.engines.iter().map(|e| e.incarnation - 1).sum::<u64>();
        orders += world.order_count;
    }
    assert!(restarts > 600 && orders > 1200, "{restarts}, {orders}");
}

/// Guards against moves during a rolling replacement with the new engine first. If a new engine
/// gets the layers that help most when it joins, each replacement leaves a gap: 20 moves of loaded
/// engines, and the second cover incomplete for 3.3 s of each 4 s.
#[test]
fn replacing_engines_one_by_one_moves_no_other_engine() {
    const PAUSE_STEPS: usize = 40;
    /// A load of 3.5 s starts 0.6 s after the old engine has announced that it drains, and that
    /// serves for 2.5 s.
    const MISSING_STEPS: usize = 16;
    let (mut move_count, mut missing) = (0, 0);
    for seed in 0..20 {
        let mut world = World::new(seed, &["l40s"; 8]);
        (0..8).for_each(|at| world.write_entry(at, ms(100)));
        world.run(ms(20_000), 0.0);
        assert_eq!(world.min_holders(), 2, "seed {seed}: two covers");
        let before = world.move_count;
        for at in 0..8 {
            world.start_replacement(at);
            for _ in 0..PAUSE_STEPS {
                world.run(STEP, 0.0);
                missing += usize::from(world.min_holders() < 2);
            }
        }
        world.run(ms(20_000), 0.0);
        assert_eq!(world.min_holders(), 2, "seed {seed}: two covers again");
        move_count += world.move_count - before;
    }
    assert_eq!(move_count, 0);
    assert!(missing <= 20 * 8 * MISSING_STEPS, "{missing}");
}
