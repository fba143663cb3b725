//! Admission control of new streams.

use dragonflyrill_fleet::{
    admission::{Level, Rank, Verdict},
    choice::Estimate,
};
use rand::Rng;

use super::{AdmittedRequest, attempts::Attempts, request_log::Decision};
use crate::gateway::Gateway;

impl AdmittedRequest {
    /// Decides on a stream of which nothing has run yet, by the estimate for its best chain. A rejection is recorded in
    /// `attempts`.
    pub(super) fn admit_stream(
        &self,
        gateway: &Gateway,
        estimate: &Estimate,
        attempts: &mut Attempts,
    ) -> Verdict {
        let Some(admission) = &gateway.settings.admission else {
            return Verdict::Admit;
        };
        // Spares the hash of the request and the sum of the loads while there is room.
        if admission.config.admits_all(estimate.memory_fill) {
            return Verdict::Admit;
        }
        let load = gateway.service_load(&self.service, estimate);
        let level = self.level(gateway);
        let verdict = admission.config.decide(level, &load, rand::rng().random());
        if verdict == Verdict::Reject {
            gateway.metrics.rejected(level);
            self.request_log.record(Decision::Rejected { level, load });
            self.record_overload(gateway, attempts);
        }
        verdict
    }

    /// Records that the stream is refused for lack of memory. Without admission control the refusal stays as it is.
    pub(super) fn record_overload(&self, gateway: &Gateway, attempts: &mut Attempts) {
        if gateway.settings.admission.is_some() {
            let delay = gateway.return_delay(self.fingerprint(), self.time_left(gateway));
            attempts.record_overload(delay);
        }
    }

    /// How urgent the request is.
    pub(super) fn rank(&self) -> Rank {
        Rank {
            priority: self.priority,
            route_priority: self.route.priority,
        }
    }

    /// How early the request is shed when memory is short.
    fn level(&self, gateway: &Gateway) -> Level {
        let position = gateway.rank_position(&self.service.name, self.rank());
        let workspace = self.workspace.as_deref();
        let excess = workspace.map_or(0.0, |w| gateway.workspace_excess(w));
        Level::of(position, excess, gateway.is_return(self.fingerprint()))
    }
}
