//! Limits the concurrent work of an endpoint, adapting the limit to its latency.

use std::time::Duration;

use crate::tuning::LimitRule;

/// The limit of an endpoint without measurements.
const INITIAL_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 512.0;
/// The latency may rise to this multiple of its floor before the limit shrinks.
const LATENCY_TOLERANCE: f64 = 3.0;
/// Minimum number of samples for one update of the limit.
const MIN_SAMPLES: u32 = 16;
/// Minimum time between updates: chains last longer than steps, and the effect of an update has to
/// become visible before the next one.
const MIN_UPDATE_PERIOD: Duration = Duration::from_millis(250);
/// Factor by which the floor rises with each update, so that a lasting change in latency is
/// eventually accepted.
const FLOOR_RISE: f64 = 1.005;
/// After a refusal the limit is this fraction of the load that was refused.
const REFUSAL_FACTOR: f64 = 0.9;
/// The limit does not grow for this time after a refusal.
const GROWTH_PAUSE: Duration = Duration::from_secs(1);

/// The concurrency limit of one endpoint, for this host's work alone.
#[derive(Debug, Clone)]
pub(crate) struct Limiter {
    limit: f64,
    /// The lowest mean ratio of latency to nominal time, which rises slowly. Infinite before the
    /// first update.
    floor: f64,
    /// Sums of the latency and of the nominal time of the answers since the last update.
    ///
    /// The sums are compared, not the ratios of single answers: a short step queued behind a long
    /// one has a very large ratio although nothing is wrong.
    latency: f64,
    nominal: f64,
    samples: u32,
    /// Whether the load was at least half the limit at some answer since the last update.
    nearly_reached: bool,
    updated_at: Duration,
    refused_at: Option<Duration>,
    climber: HillClimber,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            floor: f64::INFINITY,
            latency: 0.0,
            nominal: 0.0,
            samples: 0,
            nearly_reached: false,
            updated_at: Duration::ZERO,
            refused_at: None,
            climber: HillClimber::default(),
        }
    }
}

impl Limiter {
    /// Returns the largest load that the endpoint is given at once.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Records an answer after `latency` to work with a nominal time of `nominal`, which is above
    /// 0, at a load of `load`. `latency` and `nominal` are in the same, arbitrary unit. A latency
    /// up to the nominal time counts as the nominal time.
    pub(crate) fn record_answer(
        &mut self,
        now: Duration,
        rule: LimitRule,
        latency: f64,
        nominal: f64,
        load: f64,
    ) {
        self.latency += latency.max(nominal);
        self.nominal += nominal;
        self.samples += 1;
        self.nearly_reached |= load * 2.0 >= self.limit;
        let period = now.saturating_sub(self.updated_at);
        if self.samples < MIN_SAMPLES || period < MIN_UPDATE_PERIOD {
            return;
        }
        let mean = self.latency / self.nominal;
        let new_limit = match rule {
            LimitRule::Gradient => self.gradient(mean),
            LimitRule::HillClimb => {
                let rate = f64::from(self.samples) / period.as_secs_f64();
                self.climber
                    .next_limit(self.limit, rate / mean, mean, self.nearly_reached)
            }
        };
        let growth_paused = self.refused_at.is_some_and(|at| now < at + GROWTH_PAUSE);
        if !growth_paused || new_limit < self.limit {
            self.limit = new_limit.clamp(MIN_LIMIT, MAX_LIMIT);
        }
        (self.latency, self.nominal) = (0.0, 0.0);
        (self.samples, self.nearly_reached) = (0, false);
        self.updated_at = now;
    }

    /// Records that the endpoint refused work because of overload at a load of `load`.
    pub(crate) fn record_refusal(&mut self, now: Duration, load: f64) {
        // Refusals of calls that were in flight together count once.
        if self
            .refused_at
            .is_none_or(|at| now >= at + MIN_UPDATE_PERIOD)
        {
            self.limit = (self.limit.min(load) * REFUSAL_FACTOR).max(MIN_LIMIT);
            self.refused_at = Some(now);
        }
    }

    fn gradient(&mut self, mean: f64) -> f64 {
        self.floor = (self.floor * FLOOR_RISE).min(mean);
        let gradient = (LATENCY_TOLERANCE * self.floor / mean).clamp(0.5, 1.0);
        if !self.nearly_reached && gradient >= 1.0 {
            return self.limit;
        }
        let new_limit = gradient * self.limit + self.limit.sqrt();
        0.8 * self.limit + 0.2 * new_limit
    }
}

/// Factor by which the limit changes in one step of the climb.
const CLIMB_FACTOR: f64 = 1.15;
/// Number of direction reversals after which the limit stays as it is.
const MAX_REVERSALS: u32 = 3;
/// Drift and threshold of the change detector, relative to the reference latency.
const CUSUM_DRIFT: f64 = 0.1;
const CUSUM_THRESHOLD: f64 = 1.0;

/// Hill climbing on throughput divided by latency; restarts when the latency shifts.
///
/// Follows the self-tuning in Li, Van Roy and Romano, "Speculative Transaction Processing in
/// Geo-Replicated Data Stores", 2017, which names a CUSUM detector for the restart.
#[derive(Debug, Clone, Default)]
struct HillClimber {
    last_utility: f64,
    descending: bool,
    reversals: u32,
    /// Mean latency at the first check after the climb stopped; 0 before.
    reference_latency: f64,
    cusum_above: f64,
    cusum_below: f64,
}

impl HillClimber {
    /// Returns the next limit after a period with the given utility and mean latency.
    fn next_limit(&mut self, limit: f64, utility: f64, mean: f64, nearly_reached: bool) -> f64 {
        if self.reversals >= MAX_REVERSALS {
            if !self.has_changed(mean) {
                return limit;
            }
            *self = Self::default();
        }
        if !nearly_reached {
            return limit;
        }
        if utility < self.last_utility {
            self.descending = !self.descending;
            self.reversals += 1;
        }
        self.last_utility = utility;
        match self.descending {
            true => limit / CLIMB_FACTOR,
            false => limit * CLIMB_FACTOR,
        }
    }

    /// Whether the mean latency has shifted, by a CUSUM detector in both directions.
    fn has_changed(&mut self, mean: f64) -> bool {
        if self.reference_latency == 0.0 {
            self.reference_latency = mean;
        }
        let deviation = mean / self.reference_latency - 1.0;
        self.cusum_above = (self.cusum_above + deviation - CUSUM_DRIFT).max(0.0);
        self.cusum_below = (self.cusum_below - deviation - CUSUM_DRIFT).max(0.0);
        self.cusum_above > CUSUM_THRESHOLD || self.cusum_below > CUSUM_THRESHOLD
    }
}
