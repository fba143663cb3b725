//! The rate limit of loads from the weight store.

use std::time::Duration;

use super::LoadBudget;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// A token bucket of layers that is charged after the fact: an order may be sent once the budget
/// has covered the layers of all earlier orders. So in any time `t`, at most
/// `layers_per_second * t` layers plus those of one order are loaded, even if an order has more
/// layers than the budget of one second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LoadLimiter {
    /// When the budget has covered the layers of all earlier orders.
    next_load_at: Duration,
}

impl LoadLimiter {
    /// Creates a limiter that allows the first order at `next_load_at`.
    pub(super) fn new(next_load_at: Duration) -> Self {
        Self { next_load_at }
    }

    /// Whether an order may be sent at `now`.
    pub(super) fn allows_load(&self, now: Duration) -> bool {
        self.next_load_at <= now
    }

    /// Returns when the next order may be sent.
    pub(super) fn next_load_at(&self) -> Duration {
        self.next_load_at
    }

    /// Charges the budget for an order to load `layers` that is sent at `now`.
    pub(super) fn charge(&mut self, now: Duration, layers: u32, budget: LoadBudget) {
        self.next_load_at = self.next_load_at.max(now) + min_load_time(layers, budget);
    }
}

/// Returns the shortest time in which the budget allows `layers` to be loaded.
pub(super) fn min_load_time(layers: u32, budget: LoadBudget) -> Duration {
    let rate = u128::from(budget.layers_per_second);
    let nanos = (u128::from(layers) * NANOS_PER_SECOND).div_ceil(rate);
    Duration::from_nanos(nanos as u64)
}
