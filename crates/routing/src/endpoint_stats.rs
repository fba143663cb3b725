//! Measurements of one endpoint by this host.

use std::time::Duration;

use dragonflyrill_engines::wire;

use crate::{Tuning, concurrency::Limiter, health::CircuitBreaker, sketch::Sketch, table::Role};

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of the newest slowdown factor in the moving average.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// The smallest share of its work that an endpoint in slow start gets.
const MIN_RAMP_SHARE: f64 = 0.1;
/// Chains that are chosen but never released are dropped from the count after one to two of these
/// periods.
const SESSION_ROTATION_PERIOD: Duration = Duration::from_secs(120);
/// An endpoint that leaves work unanswered for this many mean latencies is suspect.
const SILENCE_LATENCY_FACTOR: f64 = 8.0;

/// The parts of a load report that routing uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportedLoad {
    /// When the reported load was measured, by this host's clock.
    pub(crate) taken_at: Duration,
    /// The load that comes from other hosts.
    pub(crate) foreign: f64,
    /// This host's own load at the time the report arrived.
    own_at_receipt: f64,
    /// Sessions that the endpoint holds for other hosts.
    foreign_sessions: u32,
    max_sessions: u32,
}

/// Counts the chains chosen through an endpoint and not yet released.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sessions {
    recent_count: u32,
    older_count: u32,
    rotated_at: Duration,
}

impl Sessions {
    /// Returns the number of chains.
    pub(crate) fn count(&self) -> u32 {
        self.recent_count + self.older_count
    }

    fn add(&mut self, now: Duration) {
        if now >= self.rotated_at + SESSION_ROTATION_PERIOD {
            *self = Self {
                recent_count: 0,
                older_count: self.recent_count,
                rotated_at: now,
            };
        }
        self.recent_count += 1;
    }

    fn release(&mut self) {
        match self.older_count {
            0 => self.recent_count = self.recent_count.saturating_sub(1),
            _ => self.older_count -= 1,
        }
    }
}

/// Measurements of one endpoint by this host; reset with each incarnation of the endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointStats {
    /// The incarnation of the endpoint; `None` before the first load report.
    pub(crate) incarnation: Option<u64>,
    /// When slow start began; `None` if the endpoint is not in slow start.
    pub(crate) ramp_started_at: Option<Duration>,
    /// The circuit breaker, with the outcomes of the endpoint's calls.
    pub(crate) breaker: CircuitBreaker,
    /// The endpoint's concurrency limit.
    pub(crate) limiter: Limiter,
    /// Chains through the endpoint.
    pub(crate) sessions: Sessions,
    /// The endpoint's last load report.
    pub(crate) report: Option<ReportedLoad>,
    /// Mean latency of the endpoint's calls in microseconds; 0 before the first answer.
    pub(crate) latency_us: f64,
    /// Slowdown factor: mean ratio of the latency to the nominal time of the same work, or the mean
    /// latency in microseconds if there is no nominal time; 0 before the first answer.
    pub(crate) slowdown: f64,
    /// Since when the endpoint has had outstanding work without giving any answer.
    pub(crate) silent_since: Option<Duration>,
    /// Prefix blocks that the endpoint probably caches.
    pub(crate) sketch: Option<Sketch>,
}

impl EndpointStats {
    /// Records that work was sent.
    pub(crate) fn sent(&mut self, now: Duration) {
        self.silent_since.get_or_insert(now);
    }

    /// Records an answer or a failure, after which `in_flight` calls remain.
    pub(crate) fn call_ended(&mut self, now: Duration, in_flight: u32) {
        self.silent_since = (in_flight > 0).then_some(now);
    }

    /// Records that a chain through the endpoint was chosen.
    pub(crate) fn chain_chosen(&mut self, now: Duration) {
        self.sessions.add(now);
    }

    /// Records that a chain through the endpoint ended.
    pub(crate) fn chain_released(&mut self) {
        self.sessions.release();
    }

    /// Records the latency of work that nominally takes `nominal_us` microseconds. Returns the
    /// ratio of the latency to the nominal time, or the latency in microseconds if `nominal_us` is
    /// 0.
    pub(crate) fn record_latency(&mut self, latency: Duration, nominal_us: f64) -> f64 {
        let us = latency.as_secs_f64() * 1e6;
        self.latency_us = mean(self.latency_us, us, LATENCY_WEIGHT);
        let ratio = match nominal_us > 0.0 {
            true => us / nominal_us,
            false => us,
        };
        self.slowdown = mean(self.slowdown, ratio, SLOWDOWN_WEIGHT);
        ratio
    }

    /// Records a load report; returns the load that comes from other hosts.
    pub(crate) fn record_report(
        &mut self,
        now: Duration,
        report: &wire::LoadReport,
        role: Role,
        in_flight: u32,
    ) -> f64 {
        let own_sessions = self.sessions.count();
        let steps = f64::from(report.running + report.waiting);
        let foreign_sessions = report.sessions.saturating_sub(own_sessions);
        let foreign = match role {
            Role::Engine => f64::from(foreign_sessions).max(steps - f64::from(in_flight)),
            Role::Service => steps - f64::from(in_flight),
        };
        let foreign = foreign.max(0.0);
        let age = Duration::from_millis(u64::from(report.age_ms));
        self.report = Some(ReportedLoad {
            taken_at: now.saturating_sub(age),
            foreign,
            own_at_receipt: self.own_load(in_flight),
            foreign_sessions,
            max_sessions: report.max_sessions,
        });
        foreign
    }

    /// Returns the load of this host's own work.
    pub(crate) fn own_load(&self, in_flight: u32) -> f64 {
        f64::from(self.sessions.count().max(in_flight))
    }

    /// Returns the estimated load of all hosts' work.
    ///
    /// The weight of a reported foreign load falls with the age of the report, and `mean_foreign`,
    /// the mean of the group, takes the remaining weight. An endpoint without recent reports thus
    /// does not look idle. Other hosts see the same report and choose alike. Each change of this
    /// host's own load since the report is therefore assumed to have happened on the other hosts in
    /// proportion, where `foreign_per_own` is their load for each unit of this host's load. This
    /// prevents a thundering herd of hosts on an endpoint with a low reported load.
    pub(crate) fn estimated_load(
        &self,
        now: Duration,
        in_flight: u32,
        mean_foreign: f64,
        foreign_per_own: f64,
        tuning: &Tuning,
    ) -> f64 {
        let own = self.own_load(in_flight);
        let foreign = self.report.map_or(mean_foreign, |r| {
            let age = now.saturating_sub(r.taken_at).as_secs_f64();
            let half = tuning.report_half_life.as_secs_f64();
            let weight = half / (half + age);
            let assumed_change = (own - r.own_at_receipt) * foreign_per_own * tuning.herd_factor;
            let reported = (r.foreign + assumed_change).max(0.0);
            weight * reported + (1.0 - weight) * mean_foreign
        });
        own + foreign
    }

    /// Whether the last report, if recent, leaves no session free.
    pub(crate) fn out_of_sessions(&self, now: Duration, tuning: &Tuning) -> bool {
        self.report.is_some_and(|r| {
            let recent = now < r.taken_at + tuning.report_half_life;
            let sessions_in_use = r.foreign_sessions + self.sessions.count();
            recent && r.max_sessions > 0 && sessions_in_use >= r.max_sessions
        })
    }

    /// Returns the share of its regular work that the endpoint gets, up to 1.
    pub(crate) fn ramp_share(&self, now: Duration, tuning: &Tuning) -> f64 {
        let Some(started_at) = self.ramp_started_at else {
            return 1.0;
        };
        if !tuning.mechanisms.slow_start {
            return 1.0;
        }
        let share = now.saturating_sub(started_at).as_secs_f64() / tuning.slow_start.as_secs_f64();
        share.clamp(MIN_RAMP_SHARE, 1.0)
    }

    /// Whether the endpoint has left work unanswered for so long that it is suspect.
    pub(crate) fn is_silent(&self, now: Duration, tuning: &Tuning) -> bool {
        self.silent_since.is_some_and(|since| {
            let latency_bound =
                Duration::from_secs_f64(SILENCE_LATENCY_FACTOR * self.latency_us / 1e6);
            now.saturating_sub(since) > tuning.min_silence.max(latency_bound)
        })
    }

    /// Returns how many of the leading blocks of `prefix` the endpoint probably caches.
    pub(crate) fn cached_blocks(&self, prefix: &[u64]) -> usize {
        let Some(sketch) = &self.sketch else { return 0 };
        prefix.iter().take_while(|b| sketch.contains(**b)).count()
    }
}

fn mean(old: f64, new: f64, weight: f64) -> f64 {
    match old == 0.0 {
        true => new,
        false => old + weight * (new - old),
    }
}
