//! Measures the cost of plans, by the number of endpoints.
//!
//! `cargo bench -p dragonflyrill-fleet --bench planning`

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;

use common::{engine, fleet};
use criterion::{BenchmarkId, Criterion};
use dragonflyrill_fleet::placement::{self, Candidate};

/// The number of data centres, with endpoints by data centre and kind: a small fleet, one of twice
/// its size, 25 data centres of 40 endpoints, and three of 330 and of 990.
fn sizes() -> Vec<(usize, Vec<Candidate>)> {
    let small = fleet(&[("a", [2, 2, 5]), ("b", [1, 3, 8]), ("c", [1, 6, 5])]);
    let doubled = fleet(&[("a", [4, 6, 14]), ("b", [2, 9, 22]), ("c", [2, 15, 12])]);
    let names: Vec<String> = (0..25).map(|i| format!("dc{i:02}")).collect();
    let many: Vec<(&str, [usize; 3])> = names.iter().map(|n| (n.as_str(), [4, 12, 24])).collect();
    let three = |kinds| fleet(&[("a", kinds), ("b", kinds), ("c", kinds)]);
    let (large, largest) = (three([10, 100, 220]), three([30, 300, 660]));
    vec![
        (3, small),
        (3, doubled),
        (25, fleet(&many)),
        (3, large),
        (3, largest),
    ]
}

/// All endpoints with the layers that the planner gives them.
fn placed(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    for placement in placement::plan(&engine(), &candidates, |_| false) {
        let found = candidates.iter_mut().find(|c| c.id == placement.id);
        found.expect("a candidate").held_layers = Some(placement.layers);
    }
    candidates
}

fn bench(c: &mut Criterion) {
    let engine = engine();
    let mut group = c.benchmark_group("plan");
    group.sample_size(10);
    for (centres, fresh) in sizes() {
        let size = format!("{} in {centres}", fresh.len());
        group.bench_function(BenchmarkId::new("first", &size), |b| {
            b.iter(|| placement::plan(&engine, black_box(&fresh), |_| false));
        });
        let mut joined = placed(fresh.clone());
        // Eight endpoints join, of each kind in proportion to its number.
        let step = joined.len() / 8;
        joined
            .iter_mut()
            .step_by(step)
            .for_each(|c| c.held_layers = None);
        group.bench_function(BenchmarkId::new("eight join", &size), |b| {
            b.iter(|| placement::plan(&engine, black_box(&joined), |_| false));
        });
        let mut lost = placed(fresh);
        lost.remove(0);
        group.bench_function(BenchmarkId::new("after a loss", &size), |b| {
            b.iter(|| placement::plan(&engine, black_box(&lost), |_| false));
        });
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    bench(&mut c);
    c.final_summary();
}
