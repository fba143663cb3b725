//! Counters, histograms and gauges of an entry host, exported in the format of Prometheus.
//!
//! The fields of [`Metrics`] are named after the metrics that they hold.

use dragonflyrill_fleet::admission::Level;
use http::StatusCode;
use prometheus::{
    Counter, Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder, core::Collector, exponential_buckets,
};

/// The buckets of the histograms: the lowest bound in seconds, the factor between bounds, and the number of bounds.
/// They range from a few milliseconds, the duration of a plain call, to the longest deadline of some 20 seconds.
const LATENCY_BUCKETS: (f64, f64, usize) = (0.005, 2.0, 13);

/// How a request that had a route ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer of an endpoint was relayed.
    Served,
    /// The caller was answered that the request was not run.
    Refused,
    /// The caller was answered with an error, of the endpoint or of this host.
    Failed,
    /// The answer was truncated.
    Broken,
    /// The caller closed its connection.
    Abandoned,
}

impl Outcome {
    /// The label of this outcome.
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

/// All metrics of a host, in a registry of their own.
pub struct Metrics {
    registry: Registry,
    /// Answers by kind of request and status.
    pub answers: IntCounterVec,
    /// Dispatches of requests to endpoints.
    pub sends: IntCounter,
    /// Retries: dispatches beyond the first of a request.
    pub repeats: IntCounter,
    /// Retries that the retry budget did not permit.
    pub repeats_refused: IntCounter,
    /// Streams that were resumed at another chain.
    pub resumed: IntCounter,
    /// Streams whose answer was truncated, by what a further run lacked.
    pub broken_off: IntCounterVec,
    /// Bytes of relayed events.
    pub relayed: IntCounter,
    /// Callers that closed their connection before the answer was complete.
    pub abandoned: IntCounter,
    /// Calls to the store, by purpose and outcome.
    pub store_calls: IntCounterVec,
    /// Orders to engines, by outcome.
    pub orders: IntCounterVec,
    /// Successful requests whose log lines were omitted.
    pub unlogged: IntCounter,
    /// Seconds from when a request was read to its end, by kind and outcome.
    pub request_seconds: HistogramVec,
    /// Seconds from when the request of a stream was read to its first event.
    pub first_event_seconds: Histogram,
    /// Seconds that calls to the store took, by purpose.
    pub store_seconds: HistogramVec,
    /// Endpoints that ended because another incarnation replaced them.
    pub endpoint_restarts: IntCounter,
    /// Restorations of the store from a copy, as this host has heard of them.
    pub store_restorations: IntCounter,
    /// Suspensions of the machine.
    pub suspensions: IntCounter,
    /// The total time of these suspensions, in seconds.
    pub suspended_seconds: Counter,
    /// Entries that describe no usable endpoint, by fault.
    pub entries_ignored: IntCounterVec,
    /// Endpoints, by state.
    pub endpoints: IntGaugeVec,
    /// The version of the catalogue in force.
    pub catalogue_version: IntGauge,
    /// Hosts that are alive.
    pub hosts: IntGauge,
    /// The number of hosts by which this one divides the shared bounds; 0 if it may use none of them.
    pub share_hosts: IntGauge,
    /// Workspaces above their fair share of the work of all hosts.
    pub workspaces_over_share: IntGauge,
    /// Requests that are being answered.
    pub open: IntGauge,
    /// Endpoints that terminated while they ran a request of this host, counted once for each request.
    pub ended_under: IntCounter,
    /// Quarantined requests: they are not sent any more, as endpoints terminated while they ran them.
    pub held_requests: IntGauge,
    /// Endpoints that state a limit.
    pub limited_endpoints: IntGauge,
    /// Dispatches to endpoints that state a limit.
    pub limited_sends: IntCounter,
    /// Dispatches that were not made because the limit of an endpoint left no permit.
    pub permits_refused: IntCounter,
    /// Answers that state a limit that can't be parsed.
    pub unreadable_limits: IntCounter,
    /// Answers by which endpoints request a backoff.
    pub backoffs: IntCounter,
    /// Answers that request a backoff that can't be parsed.
    pub unreadable_backoffs: IntCounter,
    /// Successes that ended the avoidance of an endpoint early.
    pub avoidances_ended: IntCounter,
    /// Dispatches that another host relayed.
    pub relayed_sends: IntCounter,
    /// Requests and calls to engines that this host passed on for other hosts.
    pub relayed_requests: IntCounter,
    /// Questions to other hosts whether they reach an endpoint.
    pub path_checks: IntCounter,
    /// Endpoints to which the path of this host is cut.
    pub cut_paths: IntGauge,
    /// The age of the freshness proof of the catalogue.
    pub proof_age_seconds: Gauge,
    /// The time since the store last answered this host or the host that it polls.
    pub store_silence_seconds: Gauge,
    /// The age of the list of endpoints that this host uses.
    pub list_age_seconds: Gauge,
    /// Answers of polled hosts that did not contain the requested list of endpoints.
    pub lists_not_told: IntCounter,
    /// Streams that admission control rejected, by level in tenths.
    pub admission_rejections: IntCounterVec,
    /// Requests recognised as returns of callers that were refused under overload.
    pub returns_recognised: IntCounter,
    /// Requests refused before they were read completely, and connections closed or refused, by reason.
    pub caller_refusals: IntCounterVec,
    /// Connections of callers.
    pub caller_connections: IntGauge,
    /// Connections of other hosts.
    pub peer_connections: IntGauge,
    /// The memory that callers make this host hold, by kind, in bytes.
    pub caller_bytes: IntGaugeVec,
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
        let (lowest, factor, n) = LATENCY_BUCKETS;
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
        let suspended = Counter::with_opts(options(
            "suspended_seconds_total",
            "Time for which the machine was suspended",
        ));
        let endpoints = IntGaugeVec::new(options("endpoints", "Endpoints"), &["state"]);
        let caller_bytes = IntGaugeVec::new(
            options("caller_bytes", "Memory that callers make this host hold"),
            &["kind"],
        );
        Self {
            answers: vector("answers_total", "Answers to callers", &["kind", "status"]),
            sends: counter("sends_total", "Requests sent to endpoints"),
            repeats: counter("repeats_total", "Sends beyond the first of a request"),
            repeats_refused: counter(
                "repeats_refused_total",
                "Repeats that the budget did not allow",
            ),
            resumed: counter("resumed_streams_total", "Streams resumed at another chain"),
            broken_off: vector(
                "broken_off_streams_total",
                "Streams whose answer was truncated",
                &["lacked"],
            ),
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
            store_restorations: counter(
                "store_restorations_total",
                "Restorations of the store from a copy.",
            ),
            suspensions: counter("suspensions_total", "Suspensions of the machine"),
            suspended_seconds: register(&registry, suspended.expect("a valid name")),
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
            workspaces_over_share: gauge(
                "workspaces_over_share",
                "Workspaces above their fair share of the work of all hosts",
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
            backoffs: counter(
                "backoffs_requested_total",
                "Answers by which endpoints request a backoff",
            ),
            unreadable_backoffs: counter(
                "unreadable_backoffs_total",
                "Answers that request a backoff that can't be read",
            ),
            avoidances_ended: counter(
                "avoidances_ended_total",
                "Successes that ended the avoidance of an endpoint early",
            ),
            relayed_sends: counter(
                "relayed_sends_total",
                "Requests sent to endpoints through another host",
            ),
            relayed_requests: counter(
                "relayed_requests_total",
                "Requests and calls to engines passed on for other hosts",
            ),
            path_checks: counter(
                "path_checks_total",
                "Questions to other hosts whether they reach an endpoint",
            ),
            cut_paths: gauge(
                "cut_paths",
                "Endpoints that this host does not reach itself",
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
            admission_rejections: vector(
                "admission_rejections_total",
                "Streams rejected as engines are short of memory",
                &["level"],
            ),
            returns_recognised: counter(
                "recognised_returns_total",
                "Requests recognised as returns of refused callers",
            ),
            caller_refusals: vector(
                "caller_refusals_total",
                "Requests refused unread, and connections closed or refused",
                &["reason"],
            ),
            caller_connections: gauge("caller_connections", "Connections of callers"),
            peer_connections: gauge("peer_connections", "Connections of other hosts"),
            caller_bytes: register(&registry, caller_bytes.expect("a valid name")),
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
    /// Counts an answer to a caller.
    pub fn answered(&self, kind: &str, status: StatusCode) {
        let labels = [kind, status.as_str()];
        self.answers.with_label_values(&labels).inc();
    }

    /// Counts a stream that admission control rejected.
    pub fn rejected(&self, level: Level) {
        let tenths = format!("{:.1}", level.value());
        self.admission_rejections.with_label_values(&[tenths]).inc();
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        if let Err(e) = encoded {
            log::error!(target: "metrics", "Metrics can't be written: {e}.");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}
