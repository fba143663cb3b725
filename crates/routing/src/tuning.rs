//! The numbers and switches of the decisions.

use std::time::Duration;

/// Who carries activations from one endpoint of a chain to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActivationPath {
    /// This host: each hop costs a round trip between the host and the endpoint.
    Relayed,
    /// The endpoints: each hop costs one way between successive endpoints.
    Direct,
}

/// How an endpoint's concurrency limit follows its latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitRule {
    /// The limit shrinks in proportion to the latency's rise over its floor.
    Gradient,
    /// The limit climbs towards the best measured throughput for its latency, and starts over
    /// when the latency shifts.
    HillClimb,
}

/// Switches, one for each mechanism, so that its worth can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Prefer endpoints likely to hold the prompt's prefix.
    pub affinity: bool,
    /// Sample candidates; else the apparently best of all is taken.
    pub power_of_two: bool,
    /// Eject and deprioritise endpoints that fail or are slow.
    pub health: bool,
    /// Give a new or returned endpoint little work at first.
    pub slow_start: bool,
    /// Refuse work for endpoints at their concurrency limit.
    pub concurrency: bool,
}

impl Mechanisms {
    /// All of them.
    pub const ALL: Self = Self {
        affinity: true,
        power_of_two: true,
        health: true,
        slow_start: true,
        concurrency: true,
    };
}

/// What the decisions are made with.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Which mechanisms are on.
    pub mechanisms: Mechanisms,
    /// Who carries activations.
    pub activation_path: ActivationPath,
    /// How concurrency limits are found.
    pub limit_rule: LimitRule,
    /// Cost of one more prompt position in a step, as a part of the first one's.
    pub prefill_factor: f64,
    /// Bytes of one position's activation.
    pub activation_bytes: f64,
    /// Load at which an endpoint is reckoned half as fast as an idle one. More than 0.
    pub load_scale: f64,
    /// Candidates sampled for each group in the nearest data centre. At least 1.
    ///
    /// Two suffice among equals. With five kinds of accelerators, two often miss the fast ones.
    pub samples: usize,
    /// The same in each other data centre looked at. At least 1.
    pub remote_samples: usize,
    /// Preferred endpoints carry at most this many times the mean load. More than 1.
    pub load_bound: f64,
    /// Part of the prompt reckoned cached at an endpoint preferred by hash alone, 0 to 1.
    pub assumed_cached_share: f64,
    /// Age at which a load report counts half.
    pub report_half_life: Duration,
    /// How far other hosts are reckoned to do as this one does between reports, 0 to 1.
    pub herd_factor: f64,
    /// Consecutive failures that eject. At least 1.
    pub failures_to_eject: u32,
    /// The first ejection's time; doubled with each further one.
    pub eject_time: Duration,
    /// The longest ejection.
    pub max_eject_time: Duration,
    /// The most of a group that may be ejected, 0 to 1.
    pub max_ejected_share: f64,
    /// How long a probe may stay unanswered before another one is let through.
    pub probe_timeout: Duration,
    /// How long slow start lasts.
    pub slow_start: Duration,
    /// Expected cost of one failed attempt.
    pub failure_cost: Duration,
    /// Unanswered work makes an endpoint suspect after this time at the earliest.
    pub min_silence: Duration,
    /// An endpoint this many times slower than its group is an outlier.
    pub outlier_ratio: f64,
    /// The most of a group's own load that may run in other data centres while this one has
    /// endpoints of the group, 0 to 1.
    pub max_remote_share: f64,
    /// The most that crossing to another data centre may cost, as a multiple of the work there,
    /// while this one has endpoints of the group.
    pub max_crossing_ratio: f64,
    /// A remote endpoint has to be cheaper by this factor before spilling starts. At least 1.
    pub spill_start_ratio: f64,
    /// The same while spilling. At least 1, at most `spill_start`.
    pub spill_stop_ratio: f64,
    /// Whether chains count from their choice to [`crate::Router::released`], which has to be
    /// called then; else only unanswered steps count.
    pub count_chains: bool,
    /// A word of leaving by the endpoint itself holds this long if the list doesn't confirm it.
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
