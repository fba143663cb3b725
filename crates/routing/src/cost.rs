//! Estimates the cost of sending work to an endpoint, in expected microseconds.

use rand::Rng;

use crate::{
    affinity::BLOCK_POSITIONS,
    candidates::Gatherer,
    index::Group,
    table::{Role, Slot},
};

/// Nominal microseconds for one layer of one token if the list gives none.
const DEFAULT_LAYER_US: f64 = 50.0;
/// Nominal microseconds for a call of a service before its first answer.
const DEFAULT_CALL_US: f64 = 10_000.0;

impl<R: Rng> Gatherer<'_, R> {
    /// Returns the expected cost of a failure in microseconds.
    pub(crate) fn failure_us(&self, slot: &Slot) -> f64 {
        if !self.tuning.mechanisms.health {
            return 0.0;
        }
        let breaker = &slot.stats.breaker;
        let suspect = breaker.is_suspect(self.context.now, self.tuning)
            || slot.stats.is_silent(self.context.now, self.tuning);
        let rate = match suspect {
            true => 1.0,
            false => breaker.failure_rate(self.context.now, self.tuning),
        };
        rate * self.tuning.failure_cost.as_secs_f64() * 1e6
    }

    /// Returns the expected cost of the work in microseconds: per layer for an engine, per call for
    /// a service.
    pub(crate) fn work_us(&self, group: &Group, slot: &Slot, preferred: bool) -> f64 {
        let (now, tuning) = (self.context.now, self.tuning);
        let (endpoint, stats) = (&slot.endpoint, &slot.stats);
        let mean_foreign = group.mean_foreign_load;
        let foreign_per_own =
            mean_foreign / (f64::from(group.own_load().max(1)) / group.len.max(1) as f64);
        let load = stats.estimated_load(
            now,
            endpoint.in_flight,
            mean_foreign,
            foreign_per_own,
            tuning,
        );
        let loaded = 1.0 + load / tuning.load_scale;
        let relative = stats.slowdown / group.slowdown.max(f64::MIN_POSITIVE);
        let outlier = match tuning.mechanisms.health && relative > tuning.outlier_ratio {
            true => relative,
            false => 1.0,
        };
        let idle = match endpoint.role {
            Role::Service if stats.latency_us > 0.0 => stats.latency_us,
            Role::Service if group.slowdown > 0.0 => group.slowdown,
            Role::Service => DEFAULT_CALL_US,
            Role::Engine => {
                nominal_layer_us(endpoint.layer_us) * self.equivalent_positions(slot, preferred)
            }
        };
        idle * loaded * outlier / stats.ramp_share(now, tuning)
    }

    /// Returns the work at the endpoint as an equivalent number of positions, each as costly as one
    /// generated token.
    fn equivalent_positions(&self, slot: &Slot, preferred: bool) -> f64 {
        let size = &self.context.size;
        let mut cached = 0.0;
        if self.tuning.mechanisms.affinity {
            cached = slot.stats.cached_blocks(size.prefix) as f64;
            if preferred {
                cached = cached.max(self.tuning.assumed_cached_share * size.prefix.len() as f64);
            }
        }
        let extra = (size.prompt - 1.0 - cached * BLOCK_POSITIONS as f64).max(0.0);
        1.0 + self.tuning.prefill_factor * extra + size.decode
    }
}

/// Returns the listed time per layer in microseconds, or a default if none is listed.
pub(crate) fn nominal_layer_us(listed: f64) -> f64 {
    match listed > 0.0 {
        true => listed,
        false => DEFAULT_LAYER_US,
    }
}
