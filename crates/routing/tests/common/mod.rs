//! Endpoints, queries and routers for the tests.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::{net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::{DataCentre, EndpointId, TargetName, entry::LinkEntry};
use dragonflyrill_engines::wire;
use dragonflyrill_routing::{ChainQuery, Endpoint, Health, Hop, NoEndpoint, Outcome, Role, Router};

pub(crate) fn id(name: &str) -> EndpointId {
    EndpointId::try_from(name).unwrap()
}

pub(crate) fn model() -> TargetName {
    TargetName::try_from("m").unwrap()
}

pub(crate) fn data_centre(name: &str) -> DataCentre {
    DataCentre::try_from(name).unwrap()
}

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn layers(first: u32, end: u32) -> wire::Layers {
    wire::Layers { first, end }
}

pub(crate) fn engine(name: &str, at: &str, engine_layers: wire::Layers) -> Endpoint {
    Endpoint {
        id: id(name),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        role: Role::Engine,
        data_centre: data_centre(at),
        target: model(),
        layers: engine_layers,
        accelerator: "a".into(),
        layer_us: 50.0,
        draining: false,
        in_flight: 0,
        health: Health::Up,
    }
}

pub(crate) fn service(name: &str, at: &str) -> Endpoint {
    Endpoint {
        role: Role::Service,
        target: TargetName::try_from("s").unwrap(),
        layer_us: 0.0,
        ..engine(name, at, layers(0, 0))
    }
}

/// A router in data centre `a` that knows `endpoints`.
pub(crate) fn router(seed: u64, endpoints: impl IntoIterator<Item = Endpoint>) -> Router {
    let mut router = Router::new(data_centre("a"), seed);
    for endpoint in endpoints {
        router.table_mut().upsert(endpoint);
    }
    router
}

/// `n` identical engines in data centre `a`, each with all eight layers.
pub(crate) fn identical_engines(n: usize) -> Vec<Endpoint> {
    (0..n)
        .map(|i| engine(&format!("e{i:03}"), "a", layers(0, 8)))
        .collect()
}

pub(crate) fn choose(router: &mut Router, now: Duration) -> Result<Vec<Hop>, NoEndpoint> {
    choose_with(router, now, &[], &[])
}

pub(crate) fn choose_with(
    router: &mut Router,
    now: Duration,
    prefix: &[u64],
    avoid: &[EndpointId],
) -> Result<Vec<Hop>, NoEndpoint> {
    let model = model();
    router.choose_chain(
        now,
        &ChainQuery {
            model: &model,
            layers: layers(0, 8),
            prompt_tokens: 128,
            max_tokens: 16,
            prefix,
            avoid,
        },
    )
}

/// Chooses a chain, which must be a single endpoint, and records a request sent to it.
pub(crate) fn send_one(router: &mut Router, now: Duration) -> EndpointId {
    let hops = choose(router, now).unwrap();
    assert_eq!(hops.len(), 1);
    let endpoint = hops[0].endpoint.clone();
    router.sent(now, &endpoint);
    endpoint
}

pub(crate) fn ok(latency_ms: u64) -> Outcome {
    Outcome::Ok {
        latency: ms(latency_ms),
    }
}

pub(crate) fn link(a: &str, b: &str, latency_us: u32, mbit_per_second: u32) -> LinkEntry {
    LinkEntry {
        a: data_centre(a),
        b: data_centre(b),
        latency_us,
        mbit_per_second,
    }
}

pub(crate) fn report(name: &str, incarnation: u64, running: u32) -> wire::LoadReport {
    wire::LoadReport {
        endpoint: name.into(),
        incarnation,
        running,
        waiting: 0,
        sessions: running,
        max_sessions: 0,
        age_ms: 0,
    }
}
