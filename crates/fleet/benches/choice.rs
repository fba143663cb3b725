//! What the choice of a chain for one request costs, by the number of hosts.
//!
//! `cargo bench -p dragonflyrill-fleet --bench choice`

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;

use common::{engine, fleet, ms};
use criterion::{BenchmarkId, Criterion};
use dragonflyrill_fleet::{
    chains::{self, Chain},
    choice::{self, Load, LoadMap, Loads, Want},
    placement,
};

const WANT: Want = Want {
    prompt: 774.0,
    answer: 204.0,
    target_ms: 600.0,
    gap_ms: 250.0,
    tokens_per_event: 3.0,
};

/// The chains of three data centres with 86 engines.
fn found() -> Vec<Chain> {
    let mut candidates = fleet(&[("a", [4, 6, 14]), ("b", [2, 9, 22]), ("c", [2, 15, 12])]);
    for placed in placement::plan(&engine(), &candidates, |_| false) {
        let found = candidates.iter_mut().find(|c| c.id == placed.id);
        found.expect("a candidate").holds = Some(placed.layers);
    }
    let placed = candidates.iter().filter_map(|c| Some((c, c.holds?)));
    let endpoints: Vec<_> = placed
        .map(|(c, layers)| common::placed(c, layers))
        .collect();
    chains::find(&engine(), endpoints.iter().map(|e| (e, 1.0)))
}

/// What a host of a fleet of so many knows: each endpoint has some load, told 250 ms ago.
fn known(chains: &[Chain], hosts: u32) -> Loads {
    let mut loads = Loads::default();
    loads.hosts = hosts;
    let load = Load {
        requests: 10.0,
        token_layers: 60_000.0,
    };
    let parts = chains.iter().flat_map(|c| &c.parts);
    let told: LoadMap = parts.map(|p| (p.id.clone(), load)).collect();
    loads.told(told, ms(4750));
    (0..20).for_each(|n| loads.sent(ms(250 * n)));
    loads
}

fn bench(c: &mut Criterion) {
    let chains = found();
    let mut group = c.benchmark_group("choose");
    for hosts in [1, 8, 76, 300] {
        let loads = known(&chains, hosts);
        let name = format!("{} chains, {hosts} hosts", chains.len());
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter(|| choice::choose(black_box(&chains), &loads, &WANT, ms(5000), 0.5, |_| true));
        });
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    bench(&mut c);
    c.final_summary();
}
