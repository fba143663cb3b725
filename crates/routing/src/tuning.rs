//! Parameters and switches of the routing decisions.

use std::time::Duration;

/// How activations travel from one endpoint of a chain to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActivationPath {
    /// Through this host: each hop costs a round trip between the host and the endpoint.
    Relayed,
    /// Directly between endpoints: each hop costs one one-way transfer between successive
    /// endpoints.
    Direct,
}

/// How an endpoint's concurrency limit is adapted to its latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitRule {
    /// The limit shrinks in proportion to the rise of the latency over its floor.
    Gradient,
    /// Hill climbing towards the best measured ratio of throughput to latency; restarts when the
    /// latency shifts.
    HillClimb,
}

/// One switch for each mechanism, so that the effect of each can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Prefer endpoints that are likely to have the prompt's prefix cached.
    pub affinity: bool,
    /// Sample candidates at random; otherwise the endpoint with the lowest estimated cost of all is
    /// used.
    pub power_of_two: bool,
    /// Eject or deprioritise endpoints that fail or are slow.
    pub health: bool,
    /// Give a new or restored endpoint a reduced, growing share of work.
    pub slow_start: bool,
    /// Refuse work for endpoints at their concurrency limit.
    pub concurrency: bool,
}

impl Mechanisms {
    /// All mechanisms on.
    pub const ALL: Self = Self {
        affinity: true,
        power_of_two: true,
        health: true,
        slow_start: true,
        concurrency: true,
    };
}

/// Parameters of the routing decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Which mechanisms are enabled.
    pub mechanisms: Mechanisms,
    /// How activations travel between endpoints.
    pub activation_path: ActivationPath,
    /// How concurrency limits are adapted.
    pub limit_rule: LimitRule,
    /// Cost of each further prompt position in a step, as a fraction of the cost of the first.
    pub prefill_factor: f64,
    /// Size of the activation of one position, in bytes.
    pub activation_bytes: f64,
    /// Load at which an endpoint is estimated to be half as fast as an idle one. More than 0.
    pub load_scale: f64,
    /// Candidates sampled from each group in the nearest data centre. At least 1.
    ///
    /// Two candidates suffice among equal endpoints. With five kinds of accelerators, two
    /// candidates often miss the fast ones.
    pub samples: usize,
    /// Candidates sampled from each group in each other data centre that is considered. At least 1.
    pub remote_samples: usize,
    /// The load of an endpoint preferred by prefix is at most this multiple of the mean load of its
    /// group. More than 1.
    pub load_bound: f64,
    /// Fraction of the prompt assumed to be cached at an endpoint that is preferred by hash alone,
    /// 0 to 1.
    pub assumed_cached_share: f64,
    /// Age at which a load report has half its initial weight.
    pub report_half_life: Duration,
    /// Factor by which this host's change in load since a report is assumed to have happened on
    /// other hosts too, 0 to 1. It counters thundering herds.
    pub herd_factor: f64,
    /// Number of consecutive failures after which an endpoint is ejected. At least 1.
    pub failures_to_eject: u32,
    /// Duration of the first ejection; each further one lasts twice as long as the one before.
    pub eject_time: Duration,
    /// The longest duration of an ejection.
    pub max_eject_time: Duration,
    /// The largest fraction of a group that may be ejected, 0 to 1.
    pub max_ejected_share: f64,
    /// Time after which an unanswered probe is considered lost and another one may be sent.
    pub probe_timeout: Duration,
    /// Duration of slow start.
    pub slow_start: Duration,
    /// Expected cost of one failed attempt.
    pub failure_cost: Duration,
    /// The shortest time without an answer after which an endpoint with outstanding work is
    /// suspect.
    pub min_silence: Duration,
    /// An endpoint slower than the mean of its group by more than this factor is an outlier.
    pub outlier_ratio: f64,
    /// The largest fraction of this host's load on a group that may run in other data centres while
    /// this data centre has endpoints of the group, 0 to 1.
    pub max_remote_share: f64,
    /// The highest cost of crossing to another data centre, as a multiple of the cost of the work
    /// there, while this data centre has endpoints of the group.
    pub max_crossing_ratio: f64,
    /// A remote endpoint has to be cheaper than a local one by this factor before spilling starts.
    /// At least 1.
    pub spill_start_ratio: f64,
    /// The factor by which a remote endpoint has to be cheaper to continue spilling. At least 1, at
    /// most `spill_start_ratio`.
    pub spill_stop_ratio: f64,
    /// Whether a chain counts as load from its choice until [`crate::Router::released`], which the
    /// caller must then call. Otherwise only unanswered steps count as load.
    pub count_chains: bool,
    /// How long an endpoint's own notice that it is draining is valid if the list does not confirm
    /// it.
    pub drain_notice_lifetime: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            mechanisms: Mechanisms::ALL,
            activation_path: ActivationPath::Relayed,
            limit_rule: LimitRule::Gradient,
            prefill_factor: 0.02,
            activation_bytes: 8192.0,
            load_scale: 8.0,
            samples: 8,
            remote_samples: 2,
            load_bound: 1.25,
            assumed_cached_share: 0.5,
            report_half_life: Duration::from_secs(1),
            herd_factor: 0.5,
            failures_to_eject: 3,
            eject_time: Duration::from_secs(1),
            max_eject_time: Duration::from_secs(60),
            max_ejected_share: 1.0 / 3.0,
            probe_timeout: Duration::from_secs(10),
            slow_start: Duration::from_secs(5),
            failure_cost: Duration::from_secs(1),
            min_silence: Duration::from_millis(250),
            outlier_ratio: 2.0,
            max_remote_share: 1.0 / 3.0,
            max_crossing_ratio: 4.0,
            spill_start_ratio: 1.5,
            spill_stop_ratio: 1.1,
            count_chains: false,
            drain_notice_lifetime: Duration::from_secs(30),
        }
    }
}
