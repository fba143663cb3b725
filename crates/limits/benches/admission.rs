//! The time of one admission and its settlement on a host that lends the key itself.
//!
//! `cargo bench -p dragonflyrill-limits --bench admission`

#[path = "../tests/support/mod.rs"]
mod support;

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion};
use dragonflyrill_limits::{Action, AdmissionRequest, Config, Declaration, HostLimiter, Terms};
use dragonflyrill_store::table::memory::MemoryTable;
use support::{data_centre, host, key, limit};

/// The limiter of the only host of a data centre, with three limits for each of `owners`.
fn limiter(owners: usize) -> HostLimiter {
    let mut limiter = HostLimiter::new(Config {
        me: host(0, 1),
        data_centre: data_centre(0),
        seed: 1,
        terms: Terms::default(),
        max_queued_per_key: 256,
    });
    let limits: Vec<_> = (0..owners * 3)
        .map(|i| limit(key(i / 3, i % 3), 1e6, 1e9, 1000))
        .collect();
    let declared = Declaration {
        revision: 1,
        data_centres: &[data_centre(0)],
        limits: &limits,
        weights: &[],
    };
    let mut actions = Vec::new();
    limiter.configure(Duration::ZERO, &declared, &mut actions);
    limiter.tick(Duration::ZERO, &mut actions);
    let mut table = MemoryTable::default();
    while let Some(action) = actions.pop() {
        if let Action::Table { id, call } = action {
            let outcome = table.call(&call);
            limiter.handle_table_answer(Duration::from_millis(1), id, Ok(outcome), &mut actions);
        }
    }
    limiter
}

fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit and settle");
    for owners in [10, 220, 1000] {
        let mut limiter = limiter(owners);
        let keys: Vec<_> = (0..owners * 3).map(|i| key(i / 3, i % 3)).collect();
        let mut now = Duration::from_secs(1);
        let mut i = 0;
        let mut actions = Vec::new();
        group.bench_function(BenchmarkId::from_parameter(owners * 3), |b| {
            b.iter(|| {
                now += Duration::from_micros(10);
                i = (i + 1) % keys.len();
                let request = AdmissionRequest {
                    key: keys[i].clone(),
                    tokens: 280,
                    admit_by: now + Duration::from_secs(1),
                };
                actions.clear();
                limiter.tick(now, &mut actions);
                let ticket = limiter.request_admission(now, &request, &mut actions);
                assert!(actions.contains(&Action::Admit(ticket)));
                limiter.settle(now, ticket, 200, &mut actions);
                black_box(&actions);
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    admission(&mut criterion);
    criterion.final_summary();
}
