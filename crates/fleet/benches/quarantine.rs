//! Cost of an answered request in the quarantine: its fingerprint and the record of the answer.
//!
//! `cargo bench -p dragonflyrill-fleet --bench quarantine`

use std::{hint::black_box, time::Duration};

use criterion::Criterion;
use dragonflyrill_fleet::{
    fingerprint::{Fingerprint, RequestIdentity},
    quarantine::Quarantine,
};

/// Bytes of a typical prompt.
const BODY: usize = 800;

fn answered(c: &mut Criterion) {
    let mut quarantine = Quarantine::new(Duration::from_secs(3600));
    let mut body = [b'x'; BODY];
    let mut n = 0u64;
    c.bench_function("an answered request of 800 bytes", |b| {
        b.iter(|| {
            n += 1;
            body[..8].copy_from_slice(&n.to_be_bytes());
            let identity = RequestIdentity {
                host: "h.example",
                method: "POST",
                path: "/stream/x",
                workspace: Some("w1"),
                body: black_box(&body),
            };
            let now = Duration::from_millis(n);
            quarantine.note_answer(&Fingerprint::of(&identity), now)
        });
    });
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    answered(&mut c);
    c.final_summary();
}
