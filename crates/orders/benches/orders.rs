//! Costs of leases and orders. All times are on a virtual clock, except for the time of a tick. See
//! `docs/measurements/orders.md`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    hint::black_box,
    time::{Duration, Instant},
};

use common::{engine::Engine, host, ms};
use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_orders::{
    group::{Action, Group, GroupConfig, GroupSpec, RawGroup, RawRange},
    lease::{self, Fence, LeaseConfig, LeaseName, Leases},
};
use dragonflyrill_protocol::HostId;
use dragonflyrill_store::table::{Op, TableCall, memory::MemoryTable};

const TERM: Duration = Duration::from_secs(10);
const MARGIN: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);

fn main() {
    table_load();
    takeover();
    restore();
    tick_time();
}

/// Simulated hosts that share a table which answers immediately.
struct Fleet {
    now: Duration,
    table: MemoryTable,
    /// The leases of each host, and whether the host is running.
    hosts: Vec<(Leases, bool)>,
    txns: TxnCounts,
}

/// Counts of table calls, of the rows in them, and of the bytes written.
#[derive(Default)]
struct TxnCounts {
    reads: u64,
    writes: u64,
    rows: u64,
    bytes: u64,
}

impl TxnCounts {
    fn count(&mut self, call: &TableCall) {
        let ops = match call {
            TableCall::Write(txn) => &txn.ops[..],
            TableCall::Read(_) | TableCall::RemoveAll(_) => &[],
        };
        self.writes += u64::from(!ops.is_empty());
        self.reads += u64::from(ops.is_empty());
        self.rows += match call {
            TableCall::Read(keys) => keys.len() as u64,
            _ => ops.len() as u64,
        };
        let bytes = ops.iter().map(|op| match op {
            Op::Put { key, value } => key.len() + value.len(),
            _ => 0,
        });
        self.bytes += bytes.sum::<usize>() as u64;
    }
}

impl Fleet {
    fn new(hosts: impl IntoIterator<Item = LeaseConfig>) -> Self {
        Self {
            now: Duration::ZERO,
            table: MemoryTable::default(),
            hosts: hosts
                .into_iter()
                .map(|cfg| (Leases::new(cfg), true))
                .collect(),
            txns: TxnCounts::default(),
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            for index in 0..self.hosts.len() {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let (leases, alive) = &mut self.hosts[index];
        if !*alive || leases.next_tick().is_none_or(|at| at > self.now) {
            return;
        }
        let mut actions = Vec::new();
        leases.tick(self.now, &mut actions);
        while let Some(action) = actions.pop() {
            if let lease::Action::CallTable { id, call } = action {
                self.txns.count(&call);
                let outcome = self.table.call(&call);
                leases.handle_table_result(self.now, id, Ok(outcome), &mut actions);
            }
        }
    }
}

fn config(name: &str, seed: u64) -> LeaseConfig {
    LeaseConfig::new(host(name), TERM, MARGIN, seed)
}

/// Measures the transactions per second for the leases of 25 data centres with 14 hosts and 3
/// models each.
fn table_load() {
    const SECONDS: u64 = 300;
    println!("table load, 25 data centres x 3 models, 14 hosts each, term 10 s:");
    for (what, max_batch, shared_candidates) in [
        ("separate candidates for each lease, batches of 1", 1, false),
        (
            "separate candidates for each lease, batches of 64",
            64,
            false,
        ),
        (
            "one pair of candidates per data centre, batches of 1",
            1,
            true,
        ),
        (
            "one pair of candidates per data centre, batches of 64",
            64,
            true,
        ),
    ] {
        let mut fleet = Fleet::new(vec![]);
        for dc in 0..25 {
            add_data_centre(&mut fleet, dc, max_batch, shared_candidates);
        }
        fleet.run_until(Duration::from_secs(60));
        fleet.txns = TxnCounts::default();
        let end = fleet.now + Duration::from_secs(SECONDS);
        fleet.run_until(end);
        let per_second = |n: u64| n as f64 / SECONDS as f64;
        println!(
            "  {what}: {:.2} reads/s, {:.2} writes/s, {:.2} rows/s, {:.0} bytes written/s",
            per_second(fleet.txns.reads),
            per_second(fleet.txns.writes),
            per_second(fleet.txns.rows),
            per_second(fleet.txns.bytes)
        );
    }
}

fn add_data_centre(fleet: &mut Fleet, dc: u64, max_batch: usize, shared_candidates: bool) {
    let names: Vec<_> = (0..14).map(|i| format!("dc{dc}-{i}")).collect();
    let peers: Vec<HostId> = names.iter().map(|name| host(name).id).collect();
    for (i, peer) in peers.iter().enumerate() {
        let cfg = LeaseConfig {
            max_batch,
            ..config(&names[i], dc * 100 + i as u64)
        };
        let mut leases = Leases::new(cfg);
        for model in 0..3 {
            let name = format!("orders/m{model}/dc{dc}");
            let lease = LeaseName::try_from(name.as_str()).unwrap();
            let shared = LeaseName::try_from(format!("dc{dc}").as_str()).unwrap();
            let ranked_by = if shared_candidates { &shared } else { &lease };
            if lease::is_candidate(ranked_by, peer, &peers, 2) {
                leases.request(Duration::ZERO, &lease);
            }
        }
        fleet.hosts.push((leases, true));
    }
}

/// Measures the time from the crash of a holder to the next holder.
fn takeover() {
    println!("takeover after the crash of a holder, term 10 s, margin 1 s, 500 seeds:");
    for (what, watch_delay) in [
        ("another host watched the row", None),
        ("another host starts to watch the row after 3 s", Some(3)),
    ] {
        let mut times: Vec<_> = (0..500)
            .map(|seed| takeover_time(seed, watch_delay))
            .collect();
        times.sort();
        println!(
            "  {what}: p50 {:.2} s, worst {:.2} s",
            times[times.len() / 2].as_secs_f64(),
            times.last().unwrap().as_secs_f64()
        );
    }
}

fn takeover_time(seed: u64, watch_delay: Option<u64>) -> Duration {
    let name = LeaseName::try_from("orders/m/d").unwrap();
    let mut fleet = Fleet::new([config("a", 2 * seed), config("b", 2 * seed + 1)]);
    fleet.hosts[0].0.request(Duration::ZERO, &name);
    fleet.run_until(Duration::from_secs(15));
    if watch_delay.is_none() {
        fleet.hosts[1].0.request(fleet.now, &name);
    }
    let crashed_at = Duration::from_secs(20) + STEP * (seed % 250) as u32;
    fleet.run_until(crashed_at);
    fleet.hosts[0].1 = false;
    if let Some(watch_delay) = watch_delay {
        fleet.run_until(crashed_at + Duration::from_secs(watch_delay));
        fleet.hosts[1].0.request(fleet.now, &name);
    }
    while fleet.hosts[1].0.held_fence(fleet.now, &name).is_none() {
        let next = fleet.now + STEP;
        fleet.run_until(next);
    }
    fleet.now - crashed_at
}

/// One simulated group on a virtual clock.
struct SimulatedGroup {
    now: Duration,
    group: Group,
    engines: BTreeMap<EndpointId, Engine>,
    crashed: BTreeSet<EndpointId>,
    /// The number of layers loaded so far.
    loaded_layers: u32,
}

const RANGES: u32 = 4;
const LAYERS_PER_RANGE: u32 = 10;

impl SimulatedGroup {
    /// Creates a group with `per_range` endpoints for each range, and with spares that hold only
    /// layer 0. `rate` is the limit of the weight store in layers per second.
    fn new(per_range: u32, spares: u32, rate: u32, layer_time: Duration) -> Self {
        let ranges = (0..RANGES).map(|i| (i * LAYERS_PER_RANGE, (i + 1) * LAYERS_PER_RANGE));
        let mut held: Vec<_> = ranges
            .clone()
            .flat_map(|r| vec![r; per_range as usize])
            .collect();
        held.extend(vec![(0, 1); spares as usize]);
        let mut engines = BTreeMap::new();
        for (i, (first, end)) in held.into_iter().enumerate() {
            let name = format!("e{i:05}");
            let mut engine = Engine::new(&name, "m", "1", first, end);
            engine.layer_time = layer_time;
            engines.insert(EndpointId::try_from(name.as_str()).unwrap(), engine);
        }
        let ranges = ranges.map(|(first, end)| RawRange {
            first,
            end,
            minimum: per_range,
        });
        let spec = GroupSpec::try_from(RawGroup {
            model: "m".to_owned(),
            data_centre: "d".to_owned(),
            version: "1".to_owned(),
            layers: RANGES * LAYERS_PER_RANGE,
            ranges: ranges.collect(),
            spares,
            endpoints: engines.keys().map(|id| id.as_str().to_owned()).collect(),
            loads_at_once: 4,
            layers_per_second: rate,
        });
        let mut group = Group::new(GroupConfig::default(), spec.unwrap());
        group.lease_held(Duration::ZERO, Fence(1), &mut Vec::new());
        Self {
            now: Duration::ZERO,
            group,
            engines,
            crashed: BTreeSet::new(),
            loaded_layers: 0,
        }
    }

    fn tick(&mut self) {
        while self
            .group
            .next_tick(self.now)
            .is_some_and(|at| at <= self.now)
        {
            self.tick_once();
        }
    }

    fn tick_once(&mut self) {
        let mut actions = Vec::new();
        self.group.tick(self.now, &mut actions);
        while let Some(action) = actions.pop() {
            let (call, endpoint, order) = match action {
                Action::ReadState { call, endpoint } => (call, endpoint, None),
                Action::Order {
                    call,
                    endpoint,
                    order,
                } => (call, endpoint, Some(order)),
                _ => continue,
            };
            let engine = self.engines.get_mut(&endpoint).unwrap();
            if let Some(order) = order {
                self.loaded_layers += engine.execute(self.now, &order).unwrap_or(0);
            }
            let state = engine.state(self.now);
            self.group
                .handle_answer(self.now, &endpoint, call, Ok(state), &mut actions);
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            self.tick();
        }
    }

    fn crash(&mut self, count: usize) {
        for (id, engine) in self.engines.iter_mut().take(count) {
            engine.alive = false;
            self.group.set_alive(self.now, id, false);
            self.crashed.insert(id.clone());
        }
    }

    fn serving_first(&self) -> u32 {
        self.group.status(self.now).ranges[0].serving
    }
}

/// Measures the time until a range that lost all its endpoints is served again, and until it is
/// served by as many endpoints as declared.
fn restore() {
    println!("restoring a range of 10 layers after both its endpoints crashed, 2 spares:");
    for rate in [10, 50, 200] {
        for layer_ms in [50, 200] {
            let mut simulation = SimulatedGroup::new(2, 2, rate, ms(layer_ms));
            simulation.run_until(Duration::from_secs(10));
            simulation.crash(2);
            let crashed_at = simulation.now;
            let mut times = Vec::new();
            while times.len() < 2 {
                simulation.run_until(simulation.now + STEP);
                if simulation.serving_first() as usize > times.len() {
                    times.push((simulation.now - crashed_at).as_secs_f64());
                }
            }
            println!(
                "  {rate} layers/s, {layer_ms} ms per layer: served after {:.2} s, as declared after {:.2} s",
                times[0], times[1]
            );
        }
    }
}

/// Measures the time of one tick of a group in the declared state, and of a group with a range that
/// has too few endpoints.
fn tick_time() {
    println!("time of one tick of one group:");
    for per_range in [9, 120, 250, 3000] {
        let mut simulation = SimulatedGroup::new(per_range, 0, 50, ms(50));
        simulation.run_until(Duration::from_secs(4));
        let endpoints = per_range * RANGES;
        let steady = time_tick(&simulation);
        simulation.crash(1);
        simulation.run_until(simulation.now + STEP);
        let short = time_tick(&simulation);
        println!(
            "  {endpoints} endpoints: {steady} ns as declared, {short} ns with an endpoint missing"
        );
    }
}

fn time_tick(simulation: &SimulatedGroup) -> u128 {
    const ROUNDS: u32 = 20;
    let mut times: Vec<_> = (0..ROUNDS)
        .map(|_| {
            let mut group = simulation.group.clone();
            let mut actions = Vec::new();
            let start = Instant::now();
            group.tick(simulation.now, &mut actions);
            let took = start.elapsed();
            black_box((group, actions));
            took.as_nanos()
        })
        .collect();
    times.sort_unstable();
    times[times.len() / 2]
}
