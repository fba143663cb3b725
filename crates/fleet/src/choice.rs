//! Selects a chain for one request.
//!
//! For each endpoint, a host tracks the load of its own requests and the load that the other hosts
//! last reported. From these loads it estimates the time to the first event, the gap between events
//! and the memory used at each stage of a chain. The chain with the shortest estimated total time
//! is chosen. A chain that would miss its targets is chosen only if no other chain is left.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    admission::ServiceLoad,
    arrivals::Arrivals,
    chains::{Chain, Stage},
    dispatch_rate::RecentDispatches,
};

/// Age up to which loads reported by other hosts are used; reports arrive several times a second.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Time for which an endpoint that refused a request for lack of memory gets no requests: about the
/// time in which some of its requests end.
const FULL_DURATION: Duration = Duration::from_millis(150);
/// Maximum number of steps in which the unreported requests of other hosts are assigned to chains.
/// Each step evaluates one chain again.
const MAX_PLACEMENT_STEPS: f64 = 8.0;
/// Fraction of an endpoint's memory that is planned with, because answer lengths vary widely.
const PLANNED_MEMORY_FRACTION: f64 = 0.9;

/// Resources and latency targets of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestDemand {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: f64,
    /// Time left for the first event to meet its target, in ms; greater than zero.
    pub first_event_target_ms: f64,
    /// Longest gap between events that meets the target, in ms.
    pub max_gap_ms: f64,
    /// Tokens per event.
    pub tokens_per_event: f64,
}

/// Load of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub requests: f64,
    /// Tokens of these requests, each counted once for each layer that the endpoint runs.
    pub token_layers: f64,
}

impl Load {
    /// Sum of two loads.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            token_layers: self.token_layers + other.token_layers,
        }
    }

    /// Difference of two loads; each component is at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: (self.requests - other.requests).max(0.0),
            token_layers: (self.token_layers - other.token_layers).max(0.0),
        }
    }

    fn times(self, n: f64) -> Self {
        Self {
            requests: self.requests * n,
            token_layers: self.token_layers * n,
        }
    }
}

/// Loads by endpoint id.
pub type LoadMap = FxHashMap<Rc<str>, Load>;

/// Loads of all endpoints, as far as this host knows them.
#[derive(Debug, Default)]
pub struct Loads {
    own: LoadMap,
    others: LoadMap,
    others_updated_at: Option<Duration>,
    /// Prompt tokens that this host has sent to each endpoint and that are not prefilled yet.
    prefill_tokens: FxHashMap<Rc<str>, f64>,
    /// Endpoints that refused a request for lack of memory, with the time until which they count as
    /// full.
    full_until: FxHashMap<Rc<str>, Duration>,
    /// Recent dispatches of this host.
    dispatches: RecentDispatches,
    /// New streams.
    pub arrivals: Arrivals,
    /// Number of hosts that send requests, including this one.
    pub hosts: u32,
}

impl Loads {
    /// Adds a request of this host with the given number of tokens to the stages of a chain.
    pub fn add_request(&mut self, chain: &Chain, tokens: f64) {
        for stage in &chain.stages {
            let load = self.own.entry(stage.id.clone()).or_default();
            *load = load.plus(stage_load(tokens, stage.layers.count()));
        }
    }

    /// Removes a request that was added by [`Self::add_request`].
    pub fn remove_request(&mut self, chain: &Chain, tokens: f64) {
        for stage in &chain.stages {
            let Some(load) = self.own.get_mut(&stage.id) else {
                continue;
            };
            *load = load.minus(stage_load(tokens, stage.layers.count()));
            // Clears rounding errors of the floating-point sum.
            if load.requests < 0.5 {
                self.own.remove(&stage.id);
            }
        }
    }

    /// Records that this host dispatched a request.
    pub fn record_dispatch(&mut self, now: Duration) {
        self.dispatches.record(now);
    }

    /// New streams per second for a service at all hosts, as far as known. Without a recent report,
    /// each other host is assumed to receive as many as this one.
    fn offered_per_s(&self, service: &str, now: Duration) -> f64 {
        let own = self.arrivals.own_per_s(service, now);
        match self.others_updated_at {
            Some(at) if at + MAX_REPORT_AGE > now => own + self.arrivals.others_per_s(service),
            _ => own * f64::from(self.hosts.max(1)),
        }
    }

    /// The load of a service with the given chains, as the choice of a chain sees it.
    pub fn service_load(
        &self,
        service: &str,
        chains: &[Chain],
        estimate: &Estimate,
        now: Duration,
    ) -> ServiceLoad {
        let mut first_stages: Vec<&Rc<str>> = chains.iter().map(|c| &c.first_stage().id).collect();
        first_stages.sort_unstable();
        first_stages.dedup();
        let requests = |id: &&Rc<str>| self.load_at(id, now).requests;
        let answer_ms = estimate.total_ms - estimate.first_event_ms;
        ServiceLoad {
            memory_fill: estimate.memory_fill,
            running: first_stages.iter().map(requests).sum(),
            offered_per_s: self.offered_per_s(service, now),
            answer: Duration::from_secs_f64(answer_ms.max(0.0) / 1000.0),
        }
    }

    /// Estimates how many requests the other hosts have sent since they last reported their loads.
    fn unreported_requests(&self, now: Duration) -> f64 {
        let others = self.hosts.saturating_sub(1);
        let age = self.others_updated_at.map(|at| now.saturating_sub(at));
        let age = age.filter(|age| *age < MAX_REPORT_AGE);
        self.dispatches.estimate_others(others, age, now)
    }

    /// Adds prompt tokens of a request of this host that a chain starts to prefill.
    pub fn add_prefill(&mut self, chain: &Chain, tokens: f64) {
        for stage in &chain.stages {
            *self.prefill_tokens.entry(stage.id.clone()).or_default() += tokens;
        }
    }

    /// Removes prompt tokens whose prefill is complete or abandoned.
    pub fn remove_prefill(&mut self, chain: &Chain, tokens: f64) {
        for stage in &chain.stages {
            let Some(tokens_left) = self.prefill_tokens.get_mut(&stage.id) else {
                continue;
            };
            *tokens_left -= tokens;
            // Clears rounding errors of the floating-point sum.
            if *tokens_left < 0.5 {
                self.prefill_tokens.remove(&stage.id);
            }
        }
    }

    /// Time that a chain still needs to prefill the prompts sent earlier, in ms.
    ///
    /// What the other hosts have sent at the same moment is not reported yet, so they are assumed
    /// to have sent as much as this host: after the loss of a chain, all hosts redirect their
    /// streams at once, and each of them would consider the next best chain idle.
    fn prefill_wait_ms(&self, chain: &Chain) -> f64 {
        let ms = |stage: &Stage| {
            self.prefill_tokens.get(&stage.id).copied().unwrap_or(0.0) * stage.prefill_ms_per_token
        };
        let own = chain.stages.iter().map(ms).fold(0.0, f64::max);
        own * f64::from(self.hosts.max(1))
    }

    /// Time that a chain still needs to prefill the given number of tokens, sent by other hosts
    /// since they last reported their loads, in ms.
    fn unreported_prefill_ms(&self, chain: &Chain, tokens: f64, now: Duration) -> f64 {
        let since = self
            .others_updated_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let prefilled_meanwhile_ms = since.min(MAX_REPORT_AGE).as_secs_f64() * 1000.0;
        (tokens * chain.bottleneck_prefill_ms - prefilled_meanwhile_ms).max(0.0)
    }

    /// Loads caused by the requests of this host.
    pub fn own(&self) -> &LoadMap {
        &self.own
    }

    /// Replaces the loads caused by the other hosts by those received at `now`.
    pub fn apply_update(&mut self, mut others: LoadMap, now: Duration) {
        self.arrivals.take_from(&mut others);
        self.others = others;
        self.others_updated_at = Some(now);
    }

    /// Records that an endpoint refused a request for lack of memory.
    pub fn record_refusal(&mut self, id: &Rc<str>, now: Duration) {
        self.full_until.insert(id.clone(), now + FULL_DURATION);
    }

    /// Whether an endpoint of the chain recently refused a request for lack of memory.
    pub fn is_full(&self, chain: &Chain, now: Duration) -> bool {
        let full = |id: &Rc<str>| self.full_until.get(id).is_some_and(|until| *until > now);
        chain.stages.iter().any(|stage| full(&stage.id))
    }

    /// Discards the state of an endpoint that is no longer listed.
    pub fn forget(&mut self, id: &str) {
        self.full_until.remove(id);
        self.own.remove(id);
        self.others.remove(id);
    }

    /// Load caused by all hosts on an endpoint, as far as known. Without a recent report, each
    /// other host is assumed to cause the same load as this one.
    pub fn load_at(&self, id: &str, now: Duration) -> Load {
        let own = self.own.get(id).copied().unwrap_or_default();
        match self.others_updated_at {
            Some(at) if at + MAX_REPORT_AGE > now => {
                own.plus(self.others.get(id).copied().unwrap_or_default())
            }
            _ => own.times(f64::from(self.hosts.max(1))),
        }
    }
}

fn stage_load(tokens: f64, layers: u32) -> Load {
    Load {
        requests: 1.0,
        token_layers: tokens * f64::from(layers),
    }
}

/// Estimated service of a request by a chain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Time to the first event, in ms. It includes the wait for memory if the chain's planned memory is full.
    pub first_event_ms: f64,
    /// Gap between events, in ms.
    pub gap_ms: f64,
    /// Time to the end of the answer, in ms.
    pub total_ms: f64,
    /// Fraction of the chain's usable memory that is used, including this request, at its fullest
    /// stage; the request does not fit if it is above 1.
    pub memory_fill: f64,
}

impl Estimate {
    /// Whether the answer meets its targets and fits into memory.
    fn meets_targets(&self, demand: &RequestDemand) -> bool {
        self.first_event_ms <= demand.first_event_target_ms
            && self.gap_ms <= demand.max_gap_ms
            && self.memory_fill <= 1.0
    }
}

/// Estimates the service of a request by a chain under the given loads, if the chain first spends
/// `prefill_wait_ms` on prompts that were sent earlier.
pub fn predict(
    chain: &Chain,
    demand: &RequestDemand,
    prefill_wait_ms: f64,
    load: impl Fn(&Stage) -> Load,
) -> Estimate {
    let demand_tokens = demand.prompt_tokens + demand.answer_tokens;
    let mut token_ms = chain.token_ms;
    let mut running: f64 = 0.0;
    let mut memory_fill: f64 = 0.0;
    for stage in &chain.stages {
        let load = load(stage);
        token_ms += stage.token_ms_per_request * load.requests;
        running = running.max(load.requests);
        let used_token_layers = load.token_layers + demand_tokens * f64::from(stage.layers.count());
        memory_fill = memory_fill.max(used_token_layers / planned_token_layers(stage));
    }
    let gap_ms = token_ms * demand.tokens_per_event;
    // Prefills of other requests interleave with the steps; their share of the time follows from
    // how long an answer takes.
    let answer_ms =
        demand.answer_tokens * token_ms + demand.prompt_tokens * chain.prefill_ms_per_token;
    let prefill_fraction = (running * demand.prompt_tokens * chain.bottleneck_prefill_ms
        / answer_ms.max(1.0))
    .min(0.95);
    let slowed = 1.0 / (1.0 - prefill_fraction);
    let mut first_event_ms =
        prefill_wait_ms + (demand.prompt_tokens * chain.prefill_ms_per_token + gap_ms) * slowed;
    if memory_fill > 1.0 {
        first_event_ms += memory_wait_ms(chain, demand, load);
    }
    Estimate {
        first_event_ms,
        gap_ms: gap_ms * slowed,
        total_ms: first_event_ms + demand.answer_tokens * token_ms * slowed,
        memory_fill,
    }
}

/// Token-layers that a stage is planned to hold.
fn planned_token_layers(stage: &Stage) -> f64 {
    (stage.capacity * PLANNED_MEMORY_FRACTION).max(1.0)
}

/// Time until a chain whose planned memory is full has room for a request, in ms.
///
/// The requests that fit run, and the others wait before this one. Each frees its memory when its answer
/// ends. So during one answer as much becomes free as is in use, and the wait is the same fraction of an
/// answer's duration as what is missing is of what is in use. The other requests are assumed to be like this
/// one.
fn memory_wait_ms(chain: &Chain, demand: &RequestDemand, load: impl Fn(&Stage) -> Load) -> f64 {
    let demand_tokens = demand.prompt_tokens + demand.answer_tokens;
    let mut token_ms = chain.token_ms;
    let mut running: f64 = 0.0;
    let mut answers: f64 = 0.0;
    for stage in &chain.stages {
        let load = load(stage);
        let planned = planned_token_layers(stage);
        let in_use = load.token_layers.min(planned);
        if in_use <= 0.0 {
            continue;
        }
        let fitting_requests = load.requests * (in_use / load.token_layers);
        token_ms += stage.token_ms_per_request * fitting_requests;
        running = running.max(fitting_requests);
        let used = load.token_layers + demand_tokens * f64::from(stage.layers.count());
        // A request that exceeds the memory of an idle stage waits for no more than what is in use.
        let missing = (used - planned).clamp(0.0, load.token_layers);
        answers = answers.max(missing / in_use);
    }
    // Each of the running requests is prefilled once during an answer.
    let prompts_ms = running * demand.prompt_tokens * chain.bottleneck_prefill_ms;
    let answer_ms = demand.prompt_tokens * chain.prefill_ms_per_token
        + demand.answer_tokens * token_ms
        + prompts_ms;
    answers * answer_ms
}

/// The chain chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the chain in the list.
    pub index: usize,
    /// Estimated service of the request by this chain.
    pub estimate: Estimate,
}

/// Chooses the chain for a request, or `None` if no chain is usable.
///
/// Other hosts choose at the same moment from the same data. Therefore a fraction `draw` (uniform
/// in 0..1) of the requests that they are estimated to have sent since their last report is first
/// assigned to the chains where these requests would go, and this request goes where the next one
/// would go. Together, the hosts thus fill the chains in the order of their cost; with fresh data,
/// each host takes the best chain.
///
/// `usable` filters the chains that may be chosen.
pub fn choose(
    chains: &[Chain],
    loads: &Loads,
    demand: &RequestDemand,
    now: Duration,
    draw: f64,
    usable: impl Fn(&Chain) -> bool,
) -> Option<Choice> {
    let chains = chains.iter().enumerate().filter(|(_, c)| usable(c));
    let mut scored: Vec<ScoredChain<'_>> = chains
        .map(|(index, chain)| ScoredChain::new(index, chain, loads, demand, now))
        .collect();
    let unreported = draw * loads.unreported_requests(now);
    let steps = unreported.ceil().min(MAX_PLACEMENT_STEPS);
    for _ in 0..steps as u32 {
        let next = cheapest(&mut scored)?;
        next.unreported += unreported / steps;
        next.rescore(loads, demand, now);
    }
    cheapest(&mut scored).map(|best| Choice {
        index: best.index,
        estimate: best.estimate,
    })
}

/// Returns the chain with the lowest cost; the first one of equals.
fn cheapest<'a, 'b>(scored: &'a mut [ScoredChain<'b>]) -> Option<&'a mut ScoredChain<'b>> {
    let by_cost = |a: &&mut ScoredChain<'_>, b: &&mut ScoredChain<'_>| {
        let misses_targets = a.cost.0.cmp(&b.cost.0);
        misses_targets.then(a.cost.1.total_cmp(&b.cost.1))
    };
    scored.iter_mut().min_by(by_cost)
}

/// A usable chain with its estimate and cost.
struct ScoredChain<'a> {
    index: usize,
    chain: &'a Chain,
    /// Estimated number of unreported requests of other hosts on this chain.
    unreported: f64,
    /// Estimate without the unreported requests.
    estimate: Estimate,
    /// Whether the answer would miss its targets, and the rank among chains for which this is
    /// equal.
    cost: (bool, f64),
}

impl<'a> ScoredChain<'a> {
    fn new(
        index: usize,
        chain: &'a Chain,
        loads: &Loads,
        demand: &RequestDemand,
        now: Duration,
    ) -> Self {
        let prefill_wait_ms = loads.prefill_wait_ms(chain);
        let estimate = predict(chain, demand, prefill_wait_ms, |stage| {
            loads.load_at(&stage.id, now)
        });
        Self {
            index,
            chain,
            unreported: 0.0,
            estimate,
            cost: cost(&estimate, demand),
        }
    }

    fn rescore(&mut self, loads: &Loads, demand: &RequestDemand, now: Duration) {
        let tokens = demand.prompt_tokens + demand.answer_tokens;
        let unreported_wait_ms =
            loads.unreported_prefill_ms(self.chain, demand.prompt_tokens * self.unreported, now);
        let prefill_wait_ms = loads.prefill_wait_ms(self.chain).max(unreported_wait_ms);
        let unreported =
            |stage: &Stage| stage_load(tokens, stage.layers.count()).times(self.unreported);
        let estimate = predict(self.chain, demand, prefill_wait_ms, |stage| {
            loads.load_at(&stage.id, now).plus(unreported(stage))
        });
        self.cost = cost(&estimate, demand);
    }
}

fn cost(estimate: &Estimate, demand: &RequestDemand) -> (bool, f64) {
    let misses_targets = !estimate.meets_targets(demand);
    // Chains that miss their targets are ranked by how full they are, because running out of memory
    // costs the most.
    let cost = match misses_targets {
        true => estimate
            .memory_fill
            .max(estimate.first_event_ms / demand.first_event_target_ms),
        false => estimate.total_ms,
    };
    (misses_targets, cost)
}
