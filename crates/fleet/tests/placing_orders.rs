//! Orders go to the start that was asked, never twice at once, and the layout is made good whatever
//! becomes of engines and orders.
//!
//! Random schedules of a data centre over the real decisions: engines start again between being asked,
//! being ordered and being listed, with and without saying when they started; others are replaced, the
//! new one first; entries come late, of former starts as well; reports get no answer; orders are lost, refused, or carried out seconds
//! later, also by a start that they were not meant for; the lease passes to a host that knows nothing.

mod common;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use common::{endpoint, engine, ms};
use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint},
    incarnations::{self, StartTime},
    layers::LayerRange,
    placement::{
        knowledge::{Knowledge, Order, Outcome, Told},
        planner::{Engines, Planner},
    },
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const STEP: Duration = Duration::from_millis(100);
/// How long an order that got no answer may still be carried out.
const LATE: std::ops::Range<u64> = 2000..12_000;

/// How long after its successor an engine that is replaced leaves, and how long it serves then.
const LEAVES: Duration = Duration::from_millis(1100);
const SERVES: Duration = Duration::from_millis(2500);

/// How long the entry of an endpoint that is gone stands in the list.
const LAPSES: Duration = Duration::from_millis(3600);

/// An engine as it is.
struct Engine {
    /// Its place among all, which is its address.
    place: usize,
    kind: &'static str,
    /// When it says that it is leaving.
    leaves: Option<Duration>,
    starts: u64,
    layers: Option<LayerRange>,
    /// What it is loading, and until when.
    loads: Option<(LayerRange, Duration)>,
    orders: u64,
}

impl Engine {
    fn new(place: usize, kind: &'static str) -> Self {
        Self {
            place,
            kind,
            leaves: None,
            starts: 1,
            layers: None,
            loads: None,
            orders: 0,
        }
    }

    fn leaving(&self, now: Duration) -> bool {
        self.leaves.is_some_and(|at| at <= now)
    }

    fn gone(&self, now: Duration) -> bool {
        self.leaves.is_some_and(|at| at + SERVES <= now)
    }
}

struct World {
    rng: Pcg64,
    now: Duration,
    /// Engines say when they started; else each start has a name of its own.
    says_start: bool,
    engines: Vec<Engine>,
    directory: Directory,
    known: Knowledge,
    planner: Planner,
    /// Entries on their way; none where the endpoint's entry is removed.
    entries: Vec<(Duration, Rc<str>, Option<Endpoint>)>,
    /// Orders that are carried out later.
    late: Vec<(Duration, usize, Order)>,
    /// Until when a start that was ordered without an answer is to be left alone by this holder.
    unanswered: BTreeMap<Rc<str>, Duration>,
    ordered: usize,
    /// Orders to engines that hold layers.
    moved: usize,
}

const KINDS: [&str; 6] = ["a100", "a100", "l40s", "l40s", "l4", "l4"];

impl World {
    fn new(seed: u64, kinds: &[&'static str]) -> Self {
        let engines = kinds.iter().enumerate();
        Self {
            rng: Pcg64::seed_from_u64(seed),
            now: ms(0),
            says_start: seed.is_multiple_of(2),
            engines: engines.map(|(at, kind)| Engine::new(at, kind)).collect(),
            directory: Directory::default(),
            known: Knowledge::default(),
            planner: Planner::default(),
            entries: Vec::new(),
            late: Vec::new(),
            unanswered: BTreeMap::new(),
            ordered: 0,
            moved: 0,
        }
    }

    /// The entry that an engine would write now.
    fn entry(&self, at: usize) -> Endpoint {
        let engine = &self.engines[at];
        let (name, started_at) = match self.says_start {
            true => (format!("e{at}"), Some(StartTime(engine.starts))),
            false => (format!("e{at}-{}", engine.starts), None),
        };
        Endpoint {
            id: incarnations::id(&name, started_at),
            name: name.as_str().into(),
            started_at,
            addr: ([127, 0, 0, 1], 1000 + engine.place as u16).into(),
            layers: engine.layers,
            draining: engine.leaving(self.now),
            ..endpoint(&name, "a", engine.kind, 0, 1)
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn run(&mut self, long: Duration, trouble: f64) {
        let until = self.now + long;
        while self.now < until {
            self.now += STEP;
            self.engines_go_on(trouble);
            self.deliver_entries();
            self.ask_lost(trouble);
            self.carry_out_late();
            if self.chance(0.05 * trouble) {
                self.known.clear();
                self.unanswered.clear();
            }
            self.place(trouble);
        }
    }

    /// Starts an engine of the same kind, which another is to be replaced by.
    fn replace(&mut self, at: usize) {
        let new = self.engines.len();
        let kind = self.engines[at].kind;
        self.engines.push(Engine::new(new, kind));
        self.write_entry(new, ms(100));
        self.engines[at].leaves = Some(self.now + LEAVES);
    }

    /// An engine of those that stay.
    fn staying(&mut self) -> usize {
        let staying = (0..self.engines.len()).filter(|at| self.engines[*at].leaves.is_none());
        let staying: Vec<usize> = staying.collect();
        staying[self.rng.random_range(0..staying.len())]
    }

    fn write_entry(&mut self, at: usize, lag: Duration) {
        let entry = self.entry(at);
        let gone = self.engines[at].gone(self.now);
        let id = entry.id.clone();
        let entry = (!gone).then_some(entry);
        self.entries.push((self.now + lag, id, entry));
    }

    fn engines_go_on(&mut self, trouble: f64) {
        if self.chance(0.02 * trouble) {
            let at = self.staying();
            self.replace(at);
        }
        for at in 0..self.engines.len() {
            let now = self.now;
            let engine = &mut self.engines[at];
            // Whoever runs it sees to it that the list says so.
            if engine.leaves == Some(now) || engine.leaves.is_some_and(|at| at + SERVES == now) {
                self.write_entry(at, ms(500));
            }
            let engine = &mut self.engines[at];
            if engine.gone(now) {
                continue;
            }
            if let Some((layers, _)) = engine.loads.filter(|(_, until)| *until <= now) {
                engine.layers = Some(layers);
                engine.loads = None;
            }
            if self.chance(0.01 * trouble) {
                self.start_again(at);
            }
            if self.chance(0.15) {
                let lag = ms(self.rng.random_range(0..1500));
                let late = self.chance(0.1 * trouble);
                let lag = if late { lag + ms(3000) } else { lag };
                self.write_entry(at, lag);
            }
        }
    }

    fn start_again(&mut self, at: usize) {
        let former = self.entry(at).id;
        self.entries.push((self.now + LAPSES, former, None));
        let engine = &mut self.engines[at];
        engine.starts += 1;
        engine.layers = None;
        engine.loads = None;
        engine.orders = 0;
    }

    /// Entries come in order of their writing for each start, but for those that are late.
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
            // Nobody writes this entry any more.
            if self.engines[at].gone(now) || self.entry(at).id != id {
                self.entries.push((now + LAPSES, id, None));
            }
            self.directory.put(entry, now);
        }
    }

    /// Engines that are lost are asked until they answer and hold what they are listed with.
    fn ask_lost(&mut self, trouble: f64) {
        let lost = self.directory.iter();
        let lost = lost.filter(|e| self.directory.is_unresponsive(&e.id));
        for endpoint in lost.cloned().collect::<Vec<_>>() {
            let told = self.ask(&endpoint, trouble);
            if told.is_some_and(|told| told.layers == endpoint.layers) {
                self.directory.record_success(&endpoint.id);
            }
        }
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        let (due, later) = self.late.drain(..).partition(|(at, ..)| *at <= now);
        self.late = later;
        for (_, at, order) in due {
            self.accept(at, &order);
        }
    }

    /// The engine at a place takes an order, if it fits its count.
    fn accept(&mut self, at: usize, order: &Order) -> bool {
        let now = self.now;
        let model = engine();
        let engine = &mut self.engines[at];
        if engine.gone(now) || engine.orders != order.begun || engine.loads.is_some() {
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

    /// What the process at an endpoint's address says, and which start it is.
    fn ask(&mut self, endpoint: &Endpoint, trouble: f64) -> Option<Told> {
        if self.chance(0.1 * trouble) {
            return None;
        }
        let at = usize::from(endpoint.addr.port() - 1000);
        if self.engines[at].gone(self.now) {
            return None;
        }
        let entry = self.entry(at);
        let engine = &self.engines[at];
        let told = Told {
            layers: engine.layers,
            busy: engine.loads.is_some(),
            orders: engine.orders,
        };
        if entry.started_at > endpoint.started_at {
            self.directory.put(entry, self.now);
        }
        Some(told)
    }

    /// The engines that are listed: those that stay, and those that leave.
    fn listed(&self) -> (Vec<Rc<Endpoint>>, Vec<Rc<Endpoint>>) {
        let mut listed: Vec<Rc<Endpoint>> = self.directory.iter().cloned().collect();
        listed.sort_by(|a, b| a.id.cmp(&b.id));
        listed.into_iter().partition(|e| !e.draining)
    }

    fn current(&self, id: &str) -> bool {
        self.directory.get(id).is_some()
    }

    /// One round of the host that places.
    fn place(&mut self, trouble: f64) {
        let (staying, leaving) = self.listed();
        let engines = Engines {
            staying: &staying,
            leaving: &leaving,
            known: &self.known,
            directory: &self.directory,
        };
        if !self.planner.settled(&engines, false, self.now) {
            return;
        }
        for endpoint in self.known.empty_ones(&staying, self.now) {
            let told = self.ask(&endpoint, trouble);
            if self.current(&endpoint.id) {
                self.known.empty_told(&endpoint.id, told, self.now);
            }
        }
        // Asking and ordering take their time, in which anything may happen.
        if self.chance(0.02 * trouble) {
            let at = self.staying();
            self.start_again(at);
            if self.chance(0.5) {
                let entry = self.entry(at);
                self.directory.put(entry, self.now);
            }
        }
        let engines = Engines {
            staying: &staying,
            leaving: &leaving,
            known: &self.known,
            directory: &self.directory,
        };
        let placements = self.planner.plan(&engine(), &engines, self.now).placements;
        for endpoint in self.known.movers(&staying, &placements) {
            let told = self.ask(&endpoint, trouble);
            if self.current(&endpoint.id) {
                self.known.mover_told(&endpoint, told, self.now);
            }
        }
        let orders = self.known.orders(&self.directory, &placements);
        for order in orders {
            self.order(order, trouble);
        }
        self.known.keep_listed(&self.directory);
    }

    fn order(&mut self, order: Order, trouble: f64) {
        let id = order.endpoint.id.clone();
        assert!(
            self.current(&id),
            "to a start that is known to be over: {id}"
        );
        let alone = self.unanswered.get(&id).copied().unwrap_or_default();
        assert!(alone <= self.now, "{id} may still carry out an order");
        self.ordered += 1;
        self.moved += usize::from(order.endpoint.layers.is_some());
        let at = usize::from(order.endpoint.addr.port() - 1000);
        let outcome = match self.rng.random_range(0.0..1.0) {
            x if x < 0.1 * trouble => {
                let late = ms(self.rng.random_range(LATE));
                self.late.push((self.now + late, at, order.clone()));
                Outcome::Unknown
            }
            x if x < 0.15 * trouble => Outcome::Unknown,
            _ if self.accept(at, &order) => Outcome::Taken,
            _ => Outcome::Refused,
        };
        if outcome == Outcome::Unknown {
            self.unanswered.insert(id, self.now + ms(LATE.end));
        }
        self.known.ordered(&order, outcome, self.now);
    }

    /// How many engines hold a layer, for the layer of which that is least.
    fn held_least(&self) -> usize {
        let serving = self.engines.iter().filter(|e| !e.gone(self.now));
        let held: Vec<LayerRange> = serving.filter_map(|e| e.layers).collect();
        let holders = |layer| held.iter().filter(|l| l.contains(layer)).count();
        (0..engine().layers).map(holders).min().unwrap_or(0)
    }
}

#[test]
fn whatever_starts_again_the_layout_is_made_good_and_orders_go_where_they_were_meant() {
    let mut restarts = 0;
    let mut orders = 0;
    for seed in (0..60).chain([77]) {
        let mut world = World::new(seed, &KINDS);
        world.run(ms(8000), 0.0);
        world.run(ms(60_000), 1.0);
        world.run(ms(60_000), 0.0);
        assert!(world.held_least() > 0, "seed {seed}");
        let before = world.ordered;
        world.run(ms(10_000), 0.0);
        assert_eq!(world.ordered, before, "seed {seed}: orders never end");
        restarts += world.engines.iter().map(|e| e.starts - 1).sum::<u64>();
        orders += world.ordered;
    }
    assert!(restarts > 600 && orders > 1200, "{restarts}, {orders}");
}

/// Engines that are replaced one by one, the new one first, cost nobody else a move. Given the layers
/// that helped most when they joined, they left a gap each time: 20 moves of loaded engines, and the
/// second cover incomplete for 3.3 s of each 4 s.
#[test]
fn engines_that_are_replaced_one_after_the_other_move_no_other() {
    const PAUSE_STEPS: usize = 40;
    /// A load of 3.5 s begins 0.6 s after the old one has said that it leaves, and that serves for 2.5 s.
    const MISSING_STEPS: usize = 16;
    let (mut moved, mut missing) = (0, 0);
    for seed in 0..20 {
        let mut world = World::new(seed, &["l40s"; 8]);
        (0..8).for_each(|at| world.write_entry(at, ms(100)));
        world.run(ms(20_000), 0.0);
        assert_eq!(world.held_least(), 2, "seed {seed}: two covers");
        let before = world.moved;
        for at in 0..8 {
            world.replace(at);
            for _ in 0..PAUSE_STEPS {
                world.run(STEP, 0.0);
                missing += usize::from(world.held_least() < 2);
            }
        }
        world.run(ms(20_000), 0.0);
        assert_eq!(world.held_least(), 2, "seed {seed}: two covers again");
        moved += world.moved - before;
    }
    assert_eq!(moved, 0);
    assert!(missing <= 20 * 8 * MISSING_STEPS, "{missing}");
}
