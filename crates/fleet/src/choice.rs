//! Picks a chain for one request.
//!
//! Each endpoint has an account of the requests that run on it: those of this host, and what the
//! other hosts last told of theirs. From these follow the time to the first event, the time between
//! events and the memory that is taken on each part of a chain; the chain with the least expected
//! time for the whole answer wins, one that would miss its targets only if no other is left.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    chains::{Chain, Stage},
    dispatch_rate::RecentDispatches,
};

/// For how long what other hosts told is taken as it is; it comes several times a second.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// For how long an endpoint that refused for want of memory gets nothing: about the time in which
/// some of its requests end.
const FULL_DURATION: Duration = Duration::from_millis(150);
/// Steps in which requests that other hosts have sent meanwhile are put on chains at most: each costs one look
/// at a chain.
const MAX_PLACEMENT_STEPS: f64 = 8.0;
/// The part of an endpoint's memory that is planned with: answers differ widely in length.
const PLANNED_MEMORY_FRACTION: f64 = 0.9;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct RequestDemand {
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Tokens of its answer, as expected.
    pub answer_tokens: f64,
    /// The time that is left for the first event to be on time, in ms; over zero.
    pub first_event_target_ms: f64,
    /// The longest pause between events that is on time, in ms.
    pub max_gap_ms: f64,
    /// Tokens in one event.
    pub tokens_per_event: f64,
}

/// The requests at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// How many run there.
    pub requests: f64,
    /// Their tokens, each counted once for each layer that the endpoint runs.
    pub token_layers: f64,
}

impl Load {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            token_layers: self.token_layers + other.token_layers,
        }
    }

    /// Without the other's part; never below nothing.
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

/// Loads by endpoint.
pub type LoadMap = FxHashMap<Rc<str>, Load>;

/// The loads of all endpoints, as far as this host knows.
#[derive(Debug, Default)]
pub struct Loads {
    own: LoadMap,
    others: LoadMap,
    others_at: Option<Duration>,
    /// Tokens of prompts that this host has sent to endpoints and that are still being read.
    reading: FxHashMap<Rc<str>, f64>,
    /// Endpoints that refused for want of memory, until when they count as full.
    full: FxHashMap<Rc<str>, Duration>,
    /// What this host has sent lately.
    dispatches: RecentDispatches,
    /// Hosts that send requests, this one included.
    pub hosts: u32,
}

impl Loads {
    /// A request of this host with so many tokens begins on a chain.
    pub fn add_request(&mut self, chain: &Chain, tokens: f64) {
        for stage in &chain.stages {
            let load = self.own.entry(stage.id.clone()).or_default();
            *load = load.plus(stage_load(tokens, stage.layers.count()));
        }
    }

    /// Such a request has ended.
    pub fn remove_request(&mut self, chain: &Chain, tokens: f64) {
        for stage in &chain.stages {
            let Some(load) = self.own.get_mut(&stage.id) else {
                continue;
            };
            *load = load.minus(stage_load(tokens, stage.layers.count()));
            // Nothing of a sum of fractions may stay behind.
            if load.requests < 0.5 {
                self.own.remove(&stage.id);
            }
        }
    }

    /// A request of this host is sent.
    pub fn record_dispatch(&mut self, now: Duration) {
        self.dispatches.record(now);
    }

    /// Requests that the other hosts have sent since they told of theirs, about.
    fn unreported_requests(&self, now: Duration) -> f64 {
        let others = self.hosts.saturating_sub(1);
        let age = self.others_at.map(|at| now.saturating_sub(at));
        let age = age.filter(|age| *age < MAX_REPORT_AGE);
        self.dispatches.estimate_others(others, age, now)
    }

    /// A chain begins to read so many tokens of a request of this host.
    pub fn add_prefill(&mut self, chain: &Chain, tokens: f64) {
        for stage in &chain.stages {
            *self.reading.entry(stage.id.clone()).or_default() += tokens;
        }
    }

    /// It has read them, or does so no more.
    pub fn remove_prefill(&mut self, chain: &Chain, tokens: f64) {
        for stage in &chain.stages {
            let Some(reading) = self.reading.get_mut(&stage.id) else {
                continue;
            };
            *reading -= tokens;
            // Nothing of a sum of fractions may stay behind.
            if *reading < 0.5 {
                self.reading.remove(&stage.id);
            }
        }
    }

    /// How long a chain still reads what was sent before, in ms.
    ///
    /// What the other hosts have sent in the same moment is not told yet. They are taken to have sent
    /// as much as this one: after the loss of a chain all of them send their streams elsewhere at
    /// once, and each by itself would find the next best chain idle.
    fn prefill_wait_ms(&self, chain: &Chain) -> f64 {
        let ms = |stage: &Stage| {
            self.reading.get(&stage.id).copied().unwrap_or(0.0) * stage.prefill_ms_per_token
        };
        let own = chain.stages.iter().map(ms).fold(0.0, f64::max);
        own * f64::from(self.hosts.max(1))
    }

    /// How long a chain still reads so many tokens that others have sent since they told of their loads, in ms.
    fn unreported_prefill_ms(&self, chain: &Chain, tokens: f64, now: Duration) -> f64 {
        let since = self
            .others_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let prefilled_meanwhile_ms = since.min(MAX_REPORT_AGE).as_secs_f64() * 1000.0;
        (tokens * chain.bottleneck_prefill_ms - prefilled_meanwhile_ms).max(0.0)
    }

    /// What this host puts on endpoints.
    pub fn own(&self) -> &LoadMap {
        &self.own
    }

    /// What the other hosts put on endpoints, as told at `now`.
    pub fn apply_update(&mut self, others: LoadMap, now: Duration) {
        self.others = others;
        self.others_at = Some(now);
    }

    /// An endpoint refused for want of memory.
    pub fn record_refusal(&mut self, id: &Rc<str>, now: Duration) {
        self.full.insert(id.clone(), now + FULL_DURATION);
    }

    /// Whether an endpoint of the chain has just refused for want of memory.
    pub fn is_full(&self, chain: &Chain, now: Duration) -> bool {
        let full = |id: &Rc<str>| self.full.get(id).is_some_and(|until| *until > now);
        chain.stages.iter().any(|p| full(&p.id))
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, id: &str) {
        self.full.remove(id);
        self.own.remove(id);
        self.others.remove(id);
    }

    /// What all hosts put on an endpoint, as far as is known: if the others have not told of
    /// theirs lately, they are taken to do as this one.
    pub fn load_at(&self, id: &str, now: Duration) -> Load {
        let own = self.own.get(id).copied().unwrap_or_default();
        match self.others_at {
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

/// What a request may expect of a chain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Until the first event, in ms.
    pub first_event_ms: f64,
    /// Between events, in ms.
    pub gap_ms: f64,
    /// Until the end, in ms.
    pub total_ms: f64,
    /// The part of the chain's memory that is taken, this request included; over 1 is too much.
    pub memory_fill: f64,
}

impl Estimate {
    /// Whether an answer would be on time.
    fn meets_targets(&self, demand: &RequestDemand) -> bool {
        self.first_event_ms <= demand.first_event_target_ms
            && self.gap_ms <= demand.max_gap_ms
            && self.memory_fill <= 1.0
    }
}

/// What the request may expect of the chain under such loads, after `reading_ms` in which it reads
/// what was sent before.
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
        let taken = load.token_layers + demand_tokens * f64::from(stage.layers.count());
        memory_fill = memory_fill.max(taken / (stage.capacity * PLANNED_MEMORY_FRACTION).max(1.0));
    }
    let gap_ms = token_ms * demand.tokens_per_event;
    // Prompts of others are read in between; how many, follows from how long answers take.
    let answer_ms =
        demand.answer_tokens * token_ms + demand.prompt_tokens * chain.prefill_ms_per_token;
    let reading = (running * demand.prompt_tokens * chain.bottleneck_prefill_ms
        / answer_ms.max(1.0))
    .min(0.95);
    let slowed = 1.0 / (1.0 - reading);
    let first_event_ms =
        prefill_wait_ms + (demand.prompt_tokens * chain.prefill_ms_per_token + gap_ms) * slowed;
    Estimate {
        first_event_ms,
        gap_ms: gap_ms * slowed,
        total_ms: first_event_ms + demand.answer_tokens * token_ms * slowed,
        memory_fill,
    }
}

/// The chain for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Its place in the list.
    pub index: usize,
    /// What the request may expect of it.
    pub estimate: Estimate,
}

/// Picks the chain for a request.
///
/// Other hosts choose in the same moment by the same numbers. So a part of what they are taken to have sent
/// since, drawn by `draw` from 0 to 1, is put where it would go, and the request goes where the next one would:
/// all hosts together fill the chains in the order of their costs, and where the numbers are fresh each
/// takes the best.
///
/// `usable` says which chains may get it.
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
    cheapest(&mut scored).map(|w| Choice {
        index: w.index,
        estimate: w.estimate,
    })
}

/// The one that costs least, the first of equals.
fn cheapest<'a, 'b>(scored: &'a mut [ScoredChain<'b>]) -> Option<&'a mut ScoredChain<'b>> {
    let by_cost = |a: &&mut ScoredChain<'_>, b: &&mut ScoredChain<'_>| {
        let misses_targets = a.cost.0.cmp(&b.cost.0);
        misses_targets.then(a.cost.1.total_cmp(&b.cost.1))
    };
    scored.iter_mut().min_by(by_cost)
}

/// A chain that may get the request.
struct ScoredChain<'a> {
    index: usize,
    chain: &'a Chain,
    /// Requests that other hosts are taken to have sent to it meanwhile.
    unreported: f64,
    /// Without those.
    estimate: Estimate,
    /// Whether the answer would be late, and what ranks it among others.
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
    // Late ones are ranked by how full they are, as memory that ran out costs most.
    let cost = match misses_targets {
        true => estimate
            .memory_fill
            .max(estimate.first_event_ms / demand.first_event_target_ms),
        false => estimate.total_ms,
    };
    (misses_targets, cost)
}
