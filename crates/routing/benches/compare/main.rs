//! Compares latency and goodput of the router, of simpler policies and of the router without single
//! mechanisms, under the same seeded arrivals and faults. The simulation is a small queueing model,
//! not a full cluster simulator.

use std::thread;

use dragonflyrill_routing::{
    LimitRule, Mechanisms, Router, Tuning,
    baseline::{LeastReported, Policy, RoundRobin},
    prefix_blocks,
};
use rand::{Rng, SeedableRng};

use crate::{
    engine::{Engine, Fault},
    simulation::{Arrival, FaultWindow, RunResults, Simulation},
};

mod engine;
#[path = "../fleet.rs"]
mod fleet;
mod simulation;

const ENGINES: usize = 60;
const DATA_CENTRES: usize = 3;
const HOSTS: usize = 8;
const RUN_SECONDS: u64 = 20;
const SEED: u64 = 7;
/// Number of runs in parallel; each run is deterministic by itself.
const THREADS: usize = 4;

/// A routing policy under test.
#[derive(Clone)]
enum Rule {
    Router(Box<Tuning>),
    RoundRobin { local: bool },
    LeastReported { local: bool },
}

impl Rule {
    fn new_policy(&self, site: usize, seed: u64) -> Box<dyn Policy> {
        let mut policy: Box<dyn Policy> = match self {
            Self::Router(tuning) => {
                let here = fleet::data_centre(site);
                let mut router = Router::with_tuning(here, seed, (**tuning).clone());
                router.set_links(&fleet::links(DATA_CENTRES));
                Box::new(router)
            }
            Self::RoundRobin { local } => {
                let local = local.then(|| fleet::data_centre(site));
                Box::new(RoundRobin::new(local))
            }
            Self::LeastReported { local } => {
                let local = local.then(|| fleet::data_centre(site));
                Box::new(LeastReported::new(local))
            }
        };
        policy
            .table_mut()
            .replace_all(fleet::engines(ENGINES, DATA_CENTRES));
        policy
    }
}

fn rules() -> Vec<(&'static str, Rule)> {
    let base = Tuning {
        count_chains: true,
        ..Tuning::default()
    };
    let with = |change: &dyn Fn(&mut Tuning)| {
        let mut tuning = base.clone();
        change(&mut tuning);
        Rule::Router(Box::new(tuning))
    };
    let without = |change: fn(&mut Mechanisms)| with(&|t| change(&mut t.mechanisms));
    vec![
        ("router", with(&|_| {})),
        ("round robin", Rule::RoundRobin { local: false }),
        ("  local first", Rule::RoundRobin { local: true }),
        ("least reported", Rule::LeastReported { local: false }),
        ("  local first", Rule::LeastReported { local: true }),
        ("- affinity", without(|m| m.affinity = false)),
        ("- power of two", without(|m| m.power_of_two = false)),
        ("- health", without(|m| m.health = false)),
        ("- slow start", without(|m| m.slow_start = false)),
        ("- concurrency", without(|m| m.concurrency = false)),
        ("- chain counts", with(&|t| t.count_chains = false)),
        ("- herd factor", with(&|t| t.herd_factor = 0.0)),
        (
            "hill climbing",
            with(&|t| t.limit_rule = LimitRule::HillClimb),
        ),
    ]
}

/// The calling applications: their number, and the number of leading positions that all prompts of
/// one application share.
#[derive(Clone, Copy)]
struct Workload {
    apps: u64,
    shared_positions: usize,
}

/// A workload whose shared prefixes all fit into the cache of every engine.
const FEW_APPS: Workload = Workload {
    apps: 40,
    shared_positions: 256,
};
/// A workload whose shared prefixes do not all fit into the cache of one engine.
const MANY_APPS: Workload = Workload {
    apps: 200,
    shared_positions: 2048,
};

/// Returns Poisson arrivals. The prompts of each application start with the same prefix.
fn arrivals(per_second: f64, workload: Workload) -> Vec<Arrival> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(SEED);
    let model = fleet::model();
    let (mut at, mut all) = (0.0, Vec::new());
    while at < RUN_SECONDS as f64 {
        at += -(1.0 - rng.random::<f64>()).ln() / per_second;
        // A few applications send most of the requests.
        let app = (workload.apps as f64 * rng.random::<f64>().powi(2)) as u64;
        let own = rng.random_range(16..400);
        let mut prompt = vec![app; workload.shared_positions];
        prompt.extend((0..own).map(|_| rng.random::<u64>()));
        all.push(Arrival {
            at: (at * 1e6) as u64,
            host: rng.random_range(0..HOSTS),
            prompt: prompt.len() as u32,
            tokens: rng.random_range(8..48),
            prefix: prefix_blocks(&model, &prompt),
        });
    }
    all
}

fn run(rule: &Rule, arrivals: &[Arrival], fault_windows: &[FaultWindow]) -> RunResults {
    let sites: Vec<_> = (0..HOSTS).map(|i| i % DATA_CENTRES).collect();
    let hosts = sites
        .iter()
        .enumerate()
        .map(|(i, site)| rule.new_policy(*site, SEED + i as u64));
    let hosts = hosts.collect();
    let engines = fleet::engines(ENGINES, DATA_CENTRES)
        .into_iter()
        .map(Engine::new)
        .collect();
    Simulation::new(hosts, sites, DATA_CENTRES, engines).run(arrivals, fault_windows)
}

fn print(name: &str, f: &RunResults) {
    let ms = |h: &hdrhistogram::Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
    println!(
        "  {name:<16} {:>7.1} {:>6} {:>7} {:>6} {:>7}   {:>7.1} {:>7.1} {:>7.1}   {:>6.1} {:>6.1} {:>6.1}",
        f.good as f64 / RUN_SECONDS as f64,
        f.late,
        f.refused,
        f.failed,
        f.retries,
        ms(&f.first_token, 0.5),
        ms(&f.first_token, 0.95),
        ms(&f.first_token, 0.99),
        ms(&f.between_tokens, 0.5),
        ms(&f.between_tokens, 0.95),
        ms(&f.between_tokens, 0.99),
    );
}

fn main() {
    let filter = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let fault_window = |engine, fault| FaultWindow {
        engine,
        fault,
        from: 5_000_000,
        until: 11_000_000,
    };
    // Engines 0 to 3 have the fastest kind of accelerator in data centre 0, one for each stage.
    let scenarios: [(&str, f64, Workload, Vec<FaultWindow>); 8] = [
        ("light", 40.0, FEW_APPS, vec![]),
        ("busy", 120.0, FEW_APPS, vec![]),
        ("prefixes", 120.0, MANY_APPS, vec![]),
        ("full", 480.0, FEW_APPS, vec![]),
        ("overload", 1_440.0, FEW_APPS, vec![]),
        (
            "kill",
            120.0,
            FEW_APPS,
            vec![
                fault_window(0, Fault::Crashed),
                fault_window(5, Fault::Crashed),
            ],
        ),
        (
            "freeze",
            120.0,
            FEW_APPS,
            vec![
                fault_window(0, Fault::Frozen),
                fault_window(5, Fault::Frozen),
            ],
        ),
        (
            "slow",
            120.0,
            FEW_APPS,
            vec![fault_window(0, Fault::Slow), fault_window(5, Fault::Slow)],
        ),
    ];
    println!(
        "{HOSTS} hosts, {ENGINES} engines, {RUN_SECONDS} s; good answers a second; late, refused, failed, replaced;"
    );
    println!("first token and between tokens, p50 p95 p99 in ms");
    for (name, per_second, workload, fault_windows) in scenarios {
        if filter.as_ref().is_some_and(|o| !o.contains(name)) {
            continue;
        }
        println!("{name}: {per_second} requests/s");
        let arrivals = arrivals(per_second, workload);
        for rules in rules().chunks(THREADS) {
            let results: Vec<_> = thread::scope(|scope| {
                let (arrivals, fault_windows) = (&arrivals, &fault_windows);
                let start = |rule| scope.spawn(move || run(rule, arrivals, fault_windows));
                let runs: Vec<_> = rules.iter().map(|(_, rule)| start(rule)).collect();
                runs.into_iter()
                    .map(|r| r.join().expect("a run doesn't panic"))
                    .collect()
            });
            for ((rule_name, _), results) in rules.iter().zip(&results) {
                print(rule_name, results);
            }
        }
    }
}
