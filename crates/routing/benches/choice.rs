//! Measures the time of one choice by number of endpoints.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion};
use dragonflyrill_engines::wire;
use dragonflyrill_routing::{
    ChainQuery, Outcome, Router, StepSize,
    baseline::{LeastReported, Policy, RoundRobin},
    prefix_blocks,
};

#[path = "fleet.rs"]
mod fleet;

/// Numbers of endpoints and data centres, from a small deployment to the target size.
const SIZES: [(usize, usize); 3] = [(36, 3), (1_000, 6), (12_000, 25)];

fn choices(c: &mut Criterion) {
    let mut group = c.benchmark_group("choice");
    for (n, data_centres) in SIZES {
        let mut router = Router::new(fleet::data_centre(0), 1);
        router.set_links(&fleet::links(data_centres));
        let mut rules: [(&str, Box<dyn Policy>); 3] = [
            ("router", Box::new(router)),
            ("round robin", Box::new(RoundRobin::default())),
            ("least reported", Box::new(LeastReported::default())),
        ];
        for (name, rule) in &mut rules {
            rule.table_mut()
                .replace_all(fleet::engines(n, data_centres));
            group.bench_function(BenchmarkId::new(*name, n), |b| choose(b, rule.as_mut()));
        }
    }
    group.finish();
}

/// Measures one choice with the `sent` and `ended` events of its first step.
fn choose(b: &mut criterion::Bencher<'_>, rule: &mut dyn Policy) {
    let model = fleet::model();
    let prefix = prefix_blocks(&model, &[7; 256]);
    let query = ChainQuery {
        model: &model,
        layers: wire::Layers {
            first: 0,
            end: fleet::LAYERS,
        },
        prompt_tokens: 300,
        max_tokens: 32,
        prefix: &prefix,
        avoid: &[],
    };
    let mut now = Duration::ZERO;
    b.iter(|| {
        now += Duration::from_micros(100);
        let hops = rule
            .choose(now, black_box(&query))
            .expect("all layers are covered");
        let work = StepSize {
            layers: hops[0].layers,
            positions: 300,
        };
        let outcome = Outcome::Ok {
            latency: Duration::from_millis(5),
        };
        rule.sent(now, &hops[0].endpoint);
        rule.ended(now, &hops[0].endpoint, outcome, work);
        hops
    });
}

fn steps(c: &mut Criterion) {
    let mut group = c.benchmark_group("step");
    for (n, data_centres) in SIZES {
        let mut router = Router::new(fleet::data_centre(0), 1);
        let engines = fleet::engines(n, data_centres);
        router.table_mut().replace_all(engines.clone());
        let work = StepSize {
            layers: engines[0].layers,
            positions: 1,
        };
        let outcome = Outcome::Ok {
            latency: Duration::from_millis(1),
        };
        let mut i = 0;
        group.bench_function(BenchmarkId::new("sent and ended", n), |b| {
            b.iter(|| {
                i = (i + 4) % n;
                router.sent(Duration::ZERO, &engines[i].id);
                router.ended_step(Duration::ZERO, &engines[i].id, outcome, work);
            });
        });
        group.bench_function(BenchmarkId::new("list again", n), |b| {
            b.iter(|| router.table_mut().replace_all(engines.clone()));
        });
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    choices(&mut c);
    steps(&mut c);
    c.final_summary();
}
