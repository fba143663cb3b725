//! The cost of the clock: a reading, a check for suspensions, and a timer that is not used up.

use std::{hint::black_box, time::Duration};

use criterion::Criterion;
use dragonflyrill_clock::{Clock, awake};

fn readings(c: &mut Criterion) {
    let clock = Clock::system();
    c.bench_function("read the clock", |b| b.iter(|| black_box(clock.now())));
    c.bench_function("read the steady clock", |b| {
        b.iter(|| black_box(awake::Instant::now()));
    });
    c.bench_function("check for a suspension", |b| {
        b.iter(|| black_box(clock.check()));
    });
}

fn timers(c: &mut Criterion) {
    let runtime = actix_rt::System::new();
    let clock = Clock::system();
    c.bench_function("1000 limits of work that is ready", |b| {
        b.iter(|| {
            runtime.block_on(async {
                for _ in 0..1000 {
                    let ready = clock.timeout(Duration::from_secs(1), std::future::ready(()));
                    assert!(ready.await.is_ok());
                }
            });
        });
    });
    c.bench_function("1000 limits of work that is ready, steady clock", |b| {
        b.iter(|| {
            runtime.block_on(async {
                for _ in 0..1000 {
                    let ready = awake::timeout(Duration::from_secs(1), std::future::ready(()));
                    assert!(ready.await.is_ok());
                }
            });
        });
    });
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    readings(&mut c);
    timers(&mut c);
    c.final_summary();
}
