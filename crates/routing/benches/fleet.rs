//! Endpoints and links for the benchmarks.
#![allow(dead_code, reason = "each bench uses its own part")]

use std::net::SocketAddr;

use dragonflyrill_catalogue::{DataCentre, EndpointId, TargetName, entry::LinkEntry};
use dragonflyrill_engines::wire;
use dragonflyrill_routing::{Endpoint, Health, Role};

/// Number of layers of the model.
pub(crate) const LAYERS: u32 = 32;
/// Number of stages that the layers are split into.
pub(crate) const STAGES: u32 = 4;
/// Microseconds for one layer of one token, by kind of accelerator.
pub(crate) const KINDS: [f64; 5] = [100.0, 150.0, 250.0, 400.0, 600.0];

pub(crate) fn model() -> TargetName {
    TargetName::try_from("m").expect("a name")
}

pub(crate) fn data_centre(i: usize) -> DataCentre {
    DataCentre::try_from(format!("d{i}").as_str()).expect("a name")
}

/// Returns `n` engines with mixed kinds of accelerators, spread evenly over stages and data
/// centres.
pub(crate) fn engines(n: usize, data_centres: usize) -> Vec<Endpoint> {
    let stages = STAGES as usize;
    let engine = |i: usize| {
        let stage = (i % stages) as u32;
        let width = LAYERS / STAGES;
        Endpoint {
            id: EndpointId::try_from(format!("e{i:05}").as_str()).expect("a name"),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            role: Role::Engine,
            data_centre: data_centre(i / stages % data_centres),
            target: model(),
            layers: wire::Layers {
                first: stage * width,
                end: (stage + 1) * width,
            },
            accelerator: String::new(),
            layer_us: KINDS[(i / stages / data_centres) % KINDS.len()],
            draining: false,
            in_flight: 0,
            health: Health::Up,
        }
    };
    (0..n).map(engine).collect()
}

/// Returns links between all pairs of data centres that differ by a factor of up to 100: 0.3 to 30
/// ms and 1000 to 10 Mbit/s.
pub(crate) fn links(data_centres: usize) -> Vec<LinkEntry> {
    let mut links = Vec::new();
    for a in 0..data_centres {
        for b in a + 1..data_centres {
            let factor = [1, 10, 100][(a + b) % 3];
            links.push(LinkEntry {
                a: data_centre(a),
                b: data_centre(b),
                latency_us: 300 * factor,
                mbit_per_second: 1000 / factor,
            });
        }
    }
    links
}
