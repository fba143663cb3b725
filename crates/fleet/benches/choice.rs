//! Benchmarks the choice of a chain for one request, by the number of hosts.
//!
//! `cargo bench -p dragonflyrill-fleet --bench choice`

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;

use common::{STREAM, chains_of_86, ms};
use criterion::{BenchmarkId, Criterion};
use dragonflyrill_fleet::{
    chains::Chain,
    choice::{self, Load, LoadMap, Loads},
};

/// The loads known to a host of a fleet of the given size: each endpoint has some load, reported
/// 250 ms ago.
fn loads_of_host(chains: &[Chain], hosts: u32) -> Loads {
    let mut loads = Loads::default();
    loads.hosts = hosts;
    let load = Load {
        requests: 10.0,
        token_layers: 60_000.0,
    };
    let stages = chains.iter().flat_map(|c| &c.stages);
    let reported: LoadMap = stages.map(|p| (p.id.clone(), load)).collect();
    loads.apply_update(reported, ms(4750));
    (0..20).for_each(|n| loads.record_dispatch(ms(250 * n)));
    loads
}

fn bench(c: &mut Criterion) {
    let chains = chains_of_86();
    let mut group = c.benchmark_group("choose");
    for hosts in [1, 8, 76, 300] {
        let loads = loads_of_host(&chains, hosts);
        let name = format!("{} chains, {hosts} hosts", chains.len());
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter(|| choice::choose(black_box(&chains), &loads, &STREAM, ms(5000), 0.5, |_| true));
        });
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    bench(&mut c);
    c.final_summary();
}
