//! Latency with which a change reaches every host, and the cost of control per host, on a virtual
//! clock.
//!
//! `cargo bench -p dragonflyrill-membership --bench spread` prints all tables;
//! with an argument, `latency`, `latency-360`, `hosts`, `entries` or `endpoints`, only that one.
//! Message delays are seeded and uniform between 0.2 and 2 ms. CPU is the wall time of this process
//! inside the state machines, so on a busy machine it is an upper bound.

#[path = "../tests/fleet/mod.rs"]
mod fleet;
mod tables;

fn main() {
    // Cargo adds `--bench`.
    let wanted = std::env::args().skip(1).find(|a| !a.starts_with("--"));
    let all: [(&str, fn()); 5] = [
        ("latency", tables::latency::print_small),
        ("latency-360", tables::latency::print_large),
        ("hosts", tables::hosts::print),
        ("entries", tables::entries::print),
        ("endpoints", tables::endpoints::print),
    ];
    for (name, print) in all {
        if wanted.as_deref().is_none_or(|w| w == name) {
            print();
        }
    }
}
