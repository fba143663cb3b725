//! Events that the router receives about endpoints, and the state it derives from them.

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire;

use crate::{
    Endpoint, Outcome, Router, StepSize, cost,
    health::BreakerAction,
    router::DrainNotice,
    table::{Health, Role, Slot},
    tuning::Tuning,
};

/// Weight of one answer in the mean slowdown factor of a group.
const GROUP_SLOWDOWN_WEIGHT: f64 = 0.02;
/// Nominal latency of a call of a service in microseconds: a shorter latency does not reduce the
/// concurrency limit.
const ACCEPTABLE_CALL_US: f64 = 1_000.0;
/// Minimum weight of one report in the mean load of a group.
const MIN_REPORT_WEIGHT: f64 = 0.05;

impl Router {
    /// Records that work was sent to an endpoint.
    pub fn sent(&mut self, now: Duration, endpoint: &EndpointId) {
        let Some(at) = self.table.find(endpoint) else {
            return;
        };
        self.change_load(at, |slot| {
            slot.endpoint.in_flight += 1;
            slot.stats.sent(now);
        });
    }

    /// Records the outcome of work sent to an endpoint. The work is assumed to be one token.
    pub fn ended(&mut self, now: Duration, endpoint: &EndpointId, outcome: Outcome) {
        self.ended_work(now, endpoint, outcome, None);
    }

    /// Records the outcome of a step sent to an endpoint.
    pub fn ended_step(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        outcome: Outcome,
        work: StepSize,
    ) {
        self.ended_work(now, endpoint, outcome, Some(work));
    }

    /// Records that a chain through an endpoint ended, or continues without it.
    ///
    /// Must be called once for each chosen [`crate::Hop`] if [`Tuning::count_chains`] is set.
    pub fn released(&mut self, _now: Duration, endpoint: &EndpointId) {
        if let Some(at) = self.table.find(endpoint) {
            self.change_load(at, |slot| slot.stats.chain_released());
        }
    }

    /// Applies an endpoint's load report.
    ///
    /// A report of a different incarnation than the known one discards all measurements of the
    /// endpoint except the count of chains through it.
    pub fn apply_load_report(&mut self, now: Duration, report: &wire::LoadReport) {
        let Ok(id) = EndpointId::try_from(report.endpoint.as_str()) else {
            log::warn!(
                "routing: A load report has an invalid endpoint id: {:?}.",
                report.endpoint
            );
            return;
        };
        let Some(at) = self.table.find(&id) else {
            return;
        };
        self.check_incarnation(now, at, report.incarnation);
        let slot = self.table.slot_mut(at);
        let (role, in_flight) = (slot.endpoint.role, slot.endpoint.in_flight);
        let foreign = slot.stats.record_report(now, report, role, in_flight);
        let group = slot.group;
        let group = self.table.index.get_mut(group);
        let weight = (1.0 / group.len.max(1) as f64).max(MIN_REPORT_WEIGHT);
        group.mean_foreign_load += weight * (foreign - group.mean_foreign_load);
    }

    /// Applies changes of an endpoint's prefix cache.
    pub fn apply_cache_events(
        &mut self,
        _now: Duration,
        endpoint: &EndpointId,
        ev: &wire::CacheEvents,
    ) {
        let Some(at) = self.table.find(endpoint) else {
            return;
        };
        let stats = &mut self.table.slot_mut(at).stats;
        let sketch = stats.sketch.get_or_insert_default();
        for event in &ev.events {
            match event.stored {
                true => sketch.insert(event.block),
                false => sketch.remove(event.block),
            }
        }
    }

    pub(crate) fn change_load(&mut self, at: u32, change: impl FnOnce(&mut Slot)) {
        let slot = self.table.slot_mut(at);
        let before = slot.own_load();
        change(slot);
        let (after, group, site) = (slot.own_load(), slot.group, slot.site);
        if before != after {
            self.table
                .index
                .get_mut(group)
                .change_own_load(site, before, after);
        }
    }

    fn check_incarnation(&mut self, now: Duration, at: u32, incarnation: u64) {
        let slot = self.table.slot_mut(at);
        match slot.stats.incarnation {
            Some(known) if known == incarnation => {}
            None => slot.stats.incarnation = Some(incarnation),
            Some(_) => {
                log::info!("routing: {} reported a new incarnation.", slot.endpoint.id);
                self.table.reset_incarnation(at, incarnation);
                self.table.slot_mut(at).stats.ramp_started_at = Some(now);
            }
        }
    }

    fn ended_work(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        outcome: Outcome,
        work: Option<StepSize>,
    ) {
        let Some(at) = self.table.find(endpoint) else {
            return;
        };
        self.change_load(at, |slot| {
            slot.endpoint.in_flight = slot.endpoint.in_flight.saturating_sub(1);
            slot.stats.call_ended(now, slot.endpoint.in_flight);
        });
        match outcome {
            Outcome::Ok { latency } => self.handle_answer(now, at, latency, work),
            Outcome::Busy => self.handle_refusal(now, at),
            Outcome::Draining => self.handle_draining(now, at),
            Outcome::Failed => self.handle_failure(now, at),
            Outcome::Abandoned => {}
        }
    }

    fn handle_answer(&mut self, now: Duration, at: u32, latency: Duration, work: Option<StepSize>) {
        let (tuning, slot) = (&self.tuning, self.table.slot_mut(at));
        let nominal = nominal_us(&slot.endpoint, work, tuning);
        let ratio = slot.stats.record_latency(latency, nominal);
        let own = slot.stats.own_load(slot.endpoint.in_flight) + 1.0;
        let us = latency.as_secs_f64() * 1e6;
        let reference_us = if nominal > 0.0 {
            nominal
        } else {
            ACCEPTABLE_CALL_US
        };
        let limiter = &mut slot.stats.limiter;
        limiter.record_answer(now, tuning.limit_rule, us, reference_us, own);
        let action = slot.stats.breaker.record_success(now, tuning);
        let id = slot.group;
        let group = self.table.index.get_mut(id);
        group.slowdown = match group.slowdown == 0.0 {
            true => ratio,
            false => group.slowdown + GROUP_SLOWDOWN_WEIGHT * (ratio - group.slowdown),
        };
        if action == BreakerAction::Restore {
            self.restore_endpoint(now, at);
        }
    }

    fn restore_endpoint(&mut self, now: Duration, at: u32) {
        let slot = self.table.slot_mut(at);
        log::info!("routing: {} is no longer ejected.", slot.endpoint.id);
        slot.stats.breaker.restore(now);
        slot.stats.ramp_started_at = Some(now);
        slot.endpoint.health = Health::Up;
        let id = slot.group;
        self.table.index.get_mut(id).ejected.retain(|s| *s != at);
    }

    fn handle_failure(&mut self, now: Duration, at: u32) {
        let (tuning, slot) = (&self.tuning, self.table.slot_mut(at));
        let action = slot.stats.breaker.record_failure(now, tuning);
        let id = slot.group;
        let draining = slot.endpoint.draining;
        if action != BreakerAction::Eject || draining || !tuning.mechanisms.health {
            return;
        }
        let group = self.table.index.get_mut(id);
        if group.ejected.len() >= group.max_ejected(tuning.max_ejected_share) {
            return;
        }
        group.ejected.push(at);
        let slot = self.table.slot_mut(at);
        slot.stats.breaker.eject(now, tuning);
        slot.endpoint.health = Health::Ejected;
        log::warn!("routing: {} is ejected.", slot.endpoint.id);
    }

    fn handle_refusal(&mut self, now: Duration, at: u32) {
        let slot = self.table.slot_mut(at);
        let own = slot.stats.own_load(slot.endpoint.in_flight);
        slot.stats.limiter.record_refusal(now, own);
    }

    fn handle_draining(&mut self, now: Duration, at: u32) {
        self.table
            .update_signs(at, |signs| signs.reported_at = Some(now));
        let endpoint = self.table.slot(at).endpoint.id.clone();
        self.drain_notices.push_back(DrainNotice {
            endpoint,
            received_at: now,
        });
    }
}

/// Returns the nominal time of `work` at an idle endpoint in microseconds; 0 for a service, which
/// has none.
fn nominal_us(endpoint: &Endpoint, work: Option<StepSize>, tuning: &Tuning) -> f64 {
    if endpoint.role == Role::Service {
        return 0.0;
    }
    let work = work.unwrap_or(StepSize {
        layers: endpoint.layers,
        positions: 1,
    });
    let layers = f64::from(work.layers.end.saturating_sub(work.layers.first));
    let extra = f64::from(work.positions.saturating_sub(1));
    cost::nominal_layer_us(endpoint.layer_us) * layers * (1.0 + tuning.prefill_factor * extra)
}
