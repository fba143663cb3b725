//! The metrics of an entry host, in the Prometheus text format.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the buckets of the latency histograms, in seconds.
const LATENCY_BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// All metrics of one host.
pub struct Metrics {
    registry: Registry,
    /// Ended requests by the label `end`: `whole`, `called`, or the code of the error.
    pub requests: IntCounterVec,
    /// Tokens released to callers.
    pub tokens: IntCounter,
    /// Steps sent to engines.
    pub steps: IntCounter,
    /// Stages that were replaced while a request was running.
    pub stages_replaced: IntCounter,
    /// Times for which the request arbiter made no progress.
    pub stalls: IntCounter,
    /// Requests refused before they were read completely, and connections closed or refused, by the label `reason`.
    pub caller_refusals: IntCounterVec,
    /// Requests that are running now.
    pub requests_running: IntGauge,
    /// The revision of the catalogue in force.
    pub catalogue_revision: IntGauge,
    /// Seconds from the arrival of a request to its first token.
    pub first_token: Histogram,
    /// Seconds between two consecutive tokens of one request.
    pub between_tokens: Histogram,
}

impl Metrics {
    /// Creates and registers the metrics, all at zero.
    ///
    /// # Errors
    /// Doesn't fail in practice: the names are constants, valid and distinct.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("dragonflyrill".into()), None)?;
        let requests = Opts::new("requests_total", "Requests by how they ended.");
        let refusals = Opts::new(
            "caller_refusals_total",
            "Requests refused unread, and connections closed or refused.",
        );
        Ok(Self {
            requests: register(&registry, IntCounterVec::new(requests, &["end"])?)?,
            tokens: counter(&registry, "tokens_total", "Tokens released to callers.")?,
            steps: counter(&registry, "steps_total", "Steps sent to engines.")?,
            stages_replaced: counter(
                &registry,
                "stages_replaced_total",
                "Stages replaced in mid-request.",
            )?,
            stalls: counter(
                &registry,
                "stalls_total",
                "Times for which nothing ran on the request arbiter.",
            )?,
            caller_refusals: register(&registry, IntCounterVec::new(refusals, &["reason"])?)?,
            requests_running: gauge(&registry, "requests_running", "Requests running now.")?,
            catalogue_revision: gauge(
                &registry,
                "catalogue_revision",
                "Revision of the catalogue in force.",
            )?,
            first_token: histogram(&registry, "first_token_seconds", "Arrival to first token.")?,
            between_tokens: histogram(&registry, "between_tokens_seconds", "Between two tokens.")?,
            registry,
        })
    }

    /// Returns the metrics in the Prometheus text format; an empty text, with an error in the log, if
    /// they can't be encoded.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|e| {
                log::error!("metrics: The metrics could not be encoded: {e}.");
                String::new()
            })
    }
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    collector: C,
) -> prometheus::Result<C> {
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    register(registry, IntCounter::new(name, help)?)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    register(registry, IntGauge::new(name, help)?)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Histogram> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
    register(registry, Histogram::with_opts(opts)?)
}
