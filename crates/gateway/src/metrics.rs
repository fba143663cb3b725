//! Counters, histograms and gauges of an entry host, by `prometheus`.

use http::StatusCode;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, core::Collector, exponential_buckets,
};

/// The lowest bound of the histograms, in seconds, the factor between bounds and how many there are:
/// from a plain call's few milliseconds to the longest deadline of some twenty seconds.
const BOUNDS: (f64, f64, usize) = (0.005, 2.0, 13);

/// How a request that had a route ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// An endpoint's answer was passed on whole.
    Served,
    /// It was answered that it was not run.
    Refused,
    /// It was answered with a failure, of the endpoint's or of the host's own.
    Failed,
    /// Its answer broke off.
    Broken,
    /// Its caller left.
    Abandoned,
}

impl Outcome {
    /// Its label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// All of them, in a registry of their own.
pub struct Metrics {
    registry: Registry,
    /// Answers by kind of request and status.
    pub answers: IntCounterVec,
    /// Sends to endpoints.
    pub sends: IntCounter,
    /// Sends beyond the first of a request.
    pub repeats: IntCounter,
    /// Repeats that the budget did not allow.
    pub repeats_refused: IntCounter,
    /// Streams that went on at another chain.
    pub resumed: IntCounter,
    /// Bytes of events relayed.
    pub relayed: IntCounter,
    /// Callers that left before their answer was complete.
    pub abandoned: IntCounter,
    /// Calls to the store, by what they are for and outcome.
    pub store_calls: IntCounterVec,
    /// Orders to engines, by outcome.
    pub orders: IntCounterVec,
    /// Requests that went well and whose lines were left out.
    pub unlogged: IntCounter,
    /// From the reading of a request to its end, by kind and outcome.
    pub request_seconds: HistogramVec,
    /// From the reading of a stream's request to its first event.
    pub first_event_seconds: Histogram,
    /// Calls to the store, by what they are for.
    pub store_seconds: HistogramVec,
    /// Endpoints that ended because another start took their place.
    pub endpoint_restarts: IntCounter,
    /// Entries that name no endpoint to use, by what is wrong with them.
    pub entries_ignored: IntCounterVec,
    /// Endpoints, by state.
    pub endpoints: IntGaugeVec,
    /// The version of the catalogue in force.
    pub catalogue_version: IntGauge,
    /// Hosts that are alive.
    pub hosts: IntGauge,
    /// By how many hosts this one divides what all share; 0 if it has no part of it.
    pub share_hosts: IntGauge,
    /// Requests that are being answered.
    pub open: IntGauge,
    /// Endpoints that ended while they ran a request of this host's, once for each request.
    pub ended_under: IntCounter,
    /// Requests that are not sent any more, as endpoints have ended under them.
    pub held_requests: IntGauge,
    /// Endpoints that name a limit.
    pub limited_endpoints: IntGauge,
    /// Sends to endpoints that name a limit.
    pub limited_sends: IntCounter,
    /// Sends that were not made, as the limit of an endpoint left no permit.
    pub permits_refused: IntCounter,
    /// Answers that name a limit that can't be read.
    pub unreadable_limits: IntCounter,
    /// How old the proof is that the catalogue is the newest.
    pub proof_age_seconds: Gauge,
    /// How long ago the store last answered, this host or the one that it asks.
    pub store_silence_seconds: Gauge,
    /// How old the list of endpoints is that this host acts on.
    pub list_age_seconds: Gauge,
    /// Answers of other hosts that told nothing of the list of endpoints, though it was asked for.
    pub lists_not_told: IntCounter,
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
        let (lowest, factor, n) = BOUNDS;
        let bounds = exponential_buckets(lowest, factor, n).expect("valid bounds");
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::from(options(name, help)).buckets(bounds.clone());
            register(&registry, Histogram::with_opts(opts).expect("a valid name"))
        };
        let histograms = |name: &str, help: &str, labels: &[&str]| {
            let opts = HistogramOpts::from(options(name, help)).buckets(bounds.clone());
            register(
                &registry,
                HistogramVec::new(opts, labels).expect("a valid name"),
            )
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::with_opts(options(name, help)).expect("a valid name");
            register(&registry, gauge)
        };
        let seconds = |name: &str, help: &str| {
            let gauge = Gauge::with_opts(options(name, help)).expect("a valid name");
            register(&registry, gauge)
        };
        let endpoints = IntGaugeVec::new(options("endpoints", "Endpoints"), &["state"]);
        Self {
            answers: vector("answers_total", "Answers to callers", &["kind", "status"]),
            sends: counter("sends_total", "Requests sent to endpoints"),
            repeats: counter("repeats_total", "Sends beyond the first of a request"),
            repeats_refused: counter(
                "repeats_refused_total",
                "Repeats that the budget did not allow",
            ),
            resumed: counter("resumed_streams_total", "Streams resumed at another chain"),
            relayed: counter("relayed_bytes_total", "Bytes of events relayed"),
            abandoned: counter("abandoned_total", "Callers that left early"),
            store_calls: vector(
                "store_calls_total",
                "Calls to the store",
                &["call", "outcome"],
            ),
            orders: vector("orders_total", "Orders to engines", &["outcome"]),
            unlogged: counter(
                "unlogged_requests_total",
                "Requests whose lines were left out",
            ),
            request_seconds: histograms(
                "request_seconds",
                "From reading a request to its end",
                &["kind", "outcome"],
            ),
            first_event_seconds: histogram(
                "first_event_seconds",
                "From reading a stream's request to its first event",
            ),
            store_seconds: histograms("store_seconds", "Calls to the store", &["call"]),
            endpoint_restarts: counter(
                "endpoint_restarts_total",
                "Endpoints that ended because another start took their place",
            ),
            entries_ignored: vector(
                "entries_ignored_total",
                "Entries that name no endpoint to use",
                &["fault"],
            ),
            endpoints: register(&registry, endpoints.expect("a valid name")),
            catalogue_version: gauge("catalogue_version", "Version of the catalogue in force"),
            hosts: gauge("hosts", "Hosts that are alive"),
            share_hosts: gauge(
                "share_hosts",
                "By how many hosts this one divides what all share; 0 for no part",
            ),
            open: gauge("open_requests", "Requests that are being answered"),
            ended_under: counter(
                "endpoint_ends_total",
                "Endpoints that ended while they ran a request, for each request",
            ),
            held_requests: gauge(
                "held_requests",
                "Requests that are not sent, as endpoints end under them",
            ),
            limited_endpoints: gauge("limited_endpoints", "Endpoints that name a limit"),
            limited_sends: counter(
                "limited_sends_total",
                "Requests sent to endpoints that name a limit",
            ),
            permits_refused: counter(
                "permits_refused_total",
                "Sends that the limit of an endpoint left no permit for",
            ),
            unreadable_limits: counter(
                "unreadable_limits_total",
                "Answers that name a limit that can't be read",
            ),
            proof_age_seconds: seconds(
                "proof_age_seconds",
                "Age of the proof that the catalogue is the newest",
            ),
            store_silence_seconds: seconds(
                "store_silence_seconds",
                "Since the store last answered",
            ),
            list_age_seconds: seconds("list_age_seconds", "Age of the list of endpoints in use"),
            lists_not_told: counter(
                "lists_not_told_total",
                "Answers of other hosts without the list of endpoints",
            ),
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
    /// A caller got an answer.
    pub fn answered(&self, kind: &str, status: StatusCode) {
        let labels = [kind, status.as_str()];
        self.answers.with_label_values(&labels).inc();
    }

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
