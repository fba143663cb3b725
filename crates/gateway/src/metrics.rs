//! Counters of an entry host, by `prometheus`.

use prometheus::{
    Encoder, IntCounter, IntCounterVec, Opts, Registry, TextEncoder, core::Collector,
};

/// The counters, in a registry of their own.
pub struct Metrics {
    registry: Registry,
    /// Answers by kind of request and status.
    pub answers: IntCounterVec,
    /// Sends to endpoints.
    pub sends: IntCounter,
    /// Sends beyond the first of a request.
    pub repeats: IntCounter,
    /// Streams that went on at another chain.
    pub resumed: IntCounter,
    /// Bytes of events relayed.
    pub relayed: IntCounter,
    /// Callers that left before their answer was complete.
    pub abandoned: IntCounter,
    /// Calls to the store, by outcome.
    pub store_calls: IntCounterVec,
    /// Orders to engines, by outcome.
    pub orders: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::with_opts(options(name, help)).expect("a valid name");
            register(&registry, counter)
        };
        let vector = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(options(name, help), labels).expect("a valid name");
            register(&registry, vector)
        };
        Self {
            answers: vector("answers_total", "Answers to callers", &["kind", "status"]),
            sends: counter("sends_total", "Requests sent to endpoints"),
            repeats: counter("repeats_total", "Sends beyond the first of a request"),
            resumed: counter("resumed_streams_total", "Streams resumed at another chain"),
            relayed: counter("relayed_bytes_total", "Bytes of events relayed"),
            abandoned: counter("abandoned_total", "Callers that left early"),
            store_calls: vector("store_calls_total", "Calls to the store", &["outcome"]),
            orders: vector("orders_total", "Orders to engines", &["outcome"]),
            registry,
        }
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("dragonflyrill")
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> C {
    registry
        .register(Box::new(collector.clone()))
        .expect("each name is registered once");
    collector
}

impl Metrics {
    /// The counters in the text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        if let Err(e) = encoded {
            log::error!(target: "metrics", "Metrics can't be written: {e}.");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}
