//! When callers that are refused under overload are told to return, and which requests return as told.

use std::time::Duration;

use dragonflyrill_fleet::{fingerprint::Fingerprint, return_slots::ReturnSlots};
use rand::Rng;

use super::Gateway;
use crate::forward;

impl Gateway {
    fn return_slots(&self) -> Option<ReturnSlots> {
        Some(self.settings.admission?.return_slots)
    }

    /// The delay after which the caller of a refused request is to return; `time_left` is the time until its answer
    /// must be complete. Without admission control, the delay of requests that no endpoint can run.
    pub fn return_delay(&self, fingerprint: Fingerprint, time_left: Duration) -> Duration {
        let draw = rand::rng().random();
        let Some(slots) = self.return_slots() else {
            return forward::no_endpoint_delay(draw);
        };
        let clock = self.bounds.store_clock(self.now());
        slots.delay(fingerprint, clock, time_left, draw)
    }

    /// Whether a request that has just arrived returns as its caller was told, by this or another host; counts it if
    /// so. To be called once for each attempt of a caller, when its request has been read. Always false without admission
    /// control, and while the store's clock isn't known.
    pub fn is_return(&self, fingerprint: Fingerprint) -> bool {
        let Some(slots) = self.return_slots() else {
            return false;
        };
        let returns = slots.is_return(fingerprint, self.bounds.store_clock(self.now()));
        if returns {
            self.metrics.returns_recognised.inc();
        }
        returns
    }
}
