//! Plans the runs of a stream: on which chain, and how long to wait for it.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    adaptive_timeout::{NextRun, RunTiming},
    budget::RetryReason,
    catalogue::Engine,
    chains::Chain,
    choice::{self, Choice, Estimate, RequestDemand},
};
use rand::Rng;

use super::{Stream, run::Run};
use crate::{forward::refusal::Refusal, ports::RequestMetadata};

/// The estimated memory fill of its fullest stage above which a chain gets no requests. Requests end early as
/// often as late, so a chain that is estimated to be full may still have free capacity.
const MAX_MEMORY_FILL: f64 = 1.6;
/// The minimum time that is assumed to be left for an event to meet its target.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// The next run of a stream.
pub(super) struct PlannedRun {
    pub(super) chain: Rc<Chain>,
    /// The resources and latency targets of the run.
    pub(super) demand: RequestDemand,
    /// The estimated service by the chain.
    pub(super) estimate: Estimate,
}

impl PlannedRun {
    /// The expected time to the first event.
    pub(super) fn expected_first(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.first_event_ms.max(0.0) / 1000.0)
    }
}

impl Stream<'_> {
    /// Plans the next run; `None` if no chain can accept it.
    pub(super) fn plan_run(&mut self, engine: &Engine) -> Option<PlannedRun> {
        let gateway = self.gateway;
        let chains = gateway.chains(&self.admitted.service.name, engine);
        let now = gateway.now();
        let demand = self.demand(engine);
        let loads = gateway.loads.borrow();
        let without_permit = gateway.without_permit(&self.admitted.service.name);
        let permitted =
            |chain: &Chain| !chain.stages.iter().any(|p| without_permit.contains(&p.id));
        let untried = |chain: &Chain| !self.tried_chains.contains(&chain.key) && permitted(chain);
        let with_capacity = |chain: &Chain| untried(chain) && !loads.is_full(chain, now);
        let draw = rand::rng().random();
        let chosen = choice::choose(&chains, &loads, &demand, now, draw, with_capacity)
            .or_else(|| choice::choose(&chains, &loads, &demand, now, draw, untried));
        let Some(Choice { index, estimate }) = chosen else {
            if !chains.is_empty() && !without_permit.is_empty() {
                self.attempts.record_not_sent(Refusal::AtLimit);
            } else if chains.is_empty()
                && let Some(remaining) = gateway.shortest_backoff(&self.admitted.service.name)
            {
                self.attempts.record_backoff(remaining);
            }
            return None;
        };
        if estimate.memory_fill > MAX_MEMORY_FILL {
            let short = Refusal::NoEndpoint("memory is short everywhere");
            self.attempts.record_not_sent(short);
            self.admitted.record_overload(gateway, &mut self.attempts);
            return None;
        }
        Some(PlannedRun {
            chain: Rc::new(chains[index].clone()),
            demand,
            estimate,
        })
    }

    /// The resources and latency targets of the next run.
    fn demand(&self, engine: &Engine) -> RequestDemand {
        let RequestMetadata {
            tokens,
            expected_answer_tokens,
            ..
        } = self.admitted.incoming;
        let prompt_tokens = tokens.map_or(engine.typical_prompt_tokens, |(prompt, _)| {
            f64::from(prompt)
        });
        let max_tokens = tokens.map_or(f64::INFINITY, |(_, max_tokens)| f64::from(max_tokens));
        let route = &self.admitted.route;
        let on_time = match self.last_event_at {
            Some(at) => at + route.gap_target,
            None => self.admitted.received_at + route.latency_target,
        };
        let left = on_time.saturating_sub(self.gateway.now());
        RequestDemand {
            prompt_tokens,
            answer_tokens: expected_answer_tokens
                .map_or(engine.typical_answer_tokens, f64::from)
                .min(max_tokens),
            first_event_target_ms: ms(left.max(MIN_TIME_LEFT)),
            max_gap_ms: ms(route.gap_target),
            tokens_per_event: engine.tokens_per_event,
        }
    }

    /// The timing of a run that is dispatched now.
    pub(super) fn timing(&self, planned: &PlannedRun) -> RunTiming {
        let route = &self.admitted.route;
        RunTiming {
            started: false,
            answer_begun: self.last_event_at.is_some(),
            may_retry: self.may_start_another(1),
            first_event_target: route.latency_target,
            max_gap: route.gap_target,
            expected_first: planned.expected_first(),
            waited_before: self
                .gateway
                .now()
                .saturating_sub(self.last_event_at.unwrap_or(self.admitted.received_at)),
        }
    }

    /// Whether the route allows another run once `more` runs were started besides those that are open.
    pub(super) fn may_start_another(&self, more: u32) -> bool {
        let open = self.runs.len() as u32 + more;
        self.admitted.may_dispatch_beside(&self.attempts, open)
    }

    /// Plans the run that is to replace the newest one, and evaluates whether it may. `path_lost` states whether only the
    /// connection of the newest run is lost.
    pub(super) fn plan_replacement(
        &mut self,
        engine: &Engine,
        path_lost: bool,
    ) -> (NextRun, Option<PlannedRun>) {
        let gateway = self.gateway;
        // A probe of quarantined parts of a prompt runs once.
        let dispatch_allowed = self.may_start_another(0)
            && self.started_runs < self.max_runs()
            && !self.admitted.is_probe()
            && self.admitted.quarantine_refusal(gateway).is_none();
        let retry_left = gateway.may_retry(&self.admitted.service.name, RetryReason::Loss);
        let planned = match dispatch_allowed && retry_left {
            true => self.plan_run(engine),
            false => None,
        };
        let now = gateway.now();
        let accepts_work =
            |run: &PlannedRun| path_lost || !gateway.loads.borrow().is_full(&run.chain, now);
        let planned = planned.filter(accepts_work);
        let next_run = NextRun {
            sent: self.runs.last().is_some_and(Run::sent),
            dispatch_allowed,
            retry_left,
            path_lost,
            memory_fill: planned.as_ref().map(|run| run.estimate.memory_fill),
        };
        let replacement = planned.filter(|_| next_run.may_replace_current());
        (next_run, replacement)
    }
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
