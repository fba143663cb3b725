//! Finds chains of endpoints that together run each layer once, in order.
//!
//! A chain stays inside one data centre, because the data passed from one stage to the next is
//! large and the links between data centres are narrow. Endpoints hold overlapping ranges of
//! layers, and a stage may use only some of the layers that its endpoint holds, so many chains are
//! possible. Chains are computed when the set of endpoints changes, not per request: first the
//! fastest chain of a data centre, then the fastest chain that avoids endpoints already in use, and
//! so on until no new endpoint is used.
//!
//! [`ChainFinder`] searches only the data centres in which something has changed: a fleet of
//! thousands of endpoints changes several times a second, and requests wait for the search.

use std::{
    fmt,
    hash::{Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
};

use rustc_hash::FxHasher;

use crate::{
    catalogue::{Accelerator, Engine},
    endpoints::Endpoint,
    layers::LayerRange,
};

/// Maximum number of chains kept per data centre. Each further chain is slower than the previous
/// one, and every request evaluates all of them.
const MAX_CHAINS_PER_DATA_CENTRE: usize = 6;
/// Time to pass a token to the next stage, in ms: network latency within a data centre plus the
/// wait for the pass in progress.
const HOP_MS: f64 = 0.5;
/// Average memory of a running request relative to a typical request. It is above 1 because longer
/// requests run for longer and so are over-represented among the running ones.
const RUNNING_REQUEST_LENGTH_FACTOR: f64 = 1.3;
/// Maximum fraction of its time that an endpoint spends on prefill; the rest is left for decoding
/// steps.
const MAX_PREFILL_FRACTION: f64 = 0.6;
const MS_PER_S: f64 = 1000.0;
/// Increase of an endpoint's cost, relative to its unused cost, for each chain that already uses
/// it.
const REUSE_COST_FACTOR: f64 = 4.0;

/// One stage of a chain: an endpoint and the layers that it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Stage {
    /// Id of the endpoint.
    pub id: Rc<str>,
    /// Name of the endpoint.
    pub name: Rc<str>,
    /// Address at which the endpoint listens.
    pub addr: SocketAddr,
    /// Layers that the stage runs.
    pub layers: LayerRange,
    /// Time that each request generating at this endpoint adds to a token, in ms.
    pub token_ms_per_request: f64,
    /// Time to prefill one prompt token at this stage, in ms.
    pub prefill_ms_per_token: f64,
    /// Memory of the endpoint for requests, in tokens times layers.
    pub capacity: f64,
}

/// A chain: stages that together run all layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Chain {
    /// Hash of the stages; equal for chains with the same stages.
    pub key: u64,
    /// Data centre of all stages.
    pub data_centre: Rc<str>,
    /// Stages in the order of their layers. Invariant: each layer is in exactly one stage, and no
    /// endpoint occurs twice.
    pub stages: Vec<Stage>,
    /// Time to generate one token on an idle chain, in ms.
    pub token_ms: f64,
    /// Time to prefill one prompt token through all stages, in ms.
    pub prefill_ms_per_token: f64,
    /// Time for which prefilling one prompt token occupies the slowest stage, in ms.
    pub bottleneck_prefill_ms: f64,
}

impl Chain {
    /// Returns the first stage, to whose endpoint requests are sent.
    pub fn first_stage(&self) -> &Stage {
        &self.stages[0]
    }

    /// Whether the endpoint is a stage of the chain.
    pub fn uses(&self, id: &str) -> bool {
        self.stages.iter().any(|stage| &*stage.id == id)
    }
}

impl fmt::Display for Chain {
    /// Writes the endpoint ids, each with the layers that it runs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, stage) in self.stages.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            write!(f, "{comma}{}={}", stage.id, stage.layers)?;
        }
        Ok(())
    }
}

/// Performance parameters of an endpoint that holds layers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LayerHolder {
    /// Layers that the endpoint holds.
    pub(crate) layers: LayerRange,
    pub(crate) step_factor: f64,
    pub(crate) prefill_factor: f64,
    pub(crate) memory_mb: f64,
    /// Number of chains that already use the endpoint.
    pub(crate) used_by_chains: u32,
}

impl LayerHolder {
    pub(crate) fn new(accelerator: &Accelerator, layers: LayerRange) -> Self {
        Self {
            layers,
            step_factor: accelerator.step_factor,
            prefill_factor: accelerator.prefill_factor,
            memory_mb: accelerator.memory_mb,
            used_by_chains: 0,
        }
    }

    /// Memory for requests, in tokens times layers.
    fn capacity(&self, engine: &Engine) -> f64 {
        engine.request_capacity(self.memory_mb, self.layers)
    }

    /// Time to prefill one prompt token through `layers`, in ms.
    fn prefill_ms_per_token(&self, engine: &Engine, layers: LayerRange) -> f64 {
        layer_fraction(engine, layers) * self.prefill_factor / engine.prefill_tokens_per_ms
    }

    /// Time that each generating request adds to a token, in ms.
    fn ms_per_request(&self, engine: &Engine, layers: LayerRange) -> f64 {
        let context_k = (engine.typical_prompt_tokens + engine.typical_answer_tokens) / 1000.0;
        let per_request = engine.step_ms_per_request + engine.step_ms_per_1k_context * context_k;
        layer_fraction(engine, layers) * self.step_factor * per_request
    }
}

/// Fraction of all layers that is in the range.
fn layer_fraction(engine: &Engine, layers: LayerRange) -> f64 {
    f64::from(layers.count()) / f64::from(engine.layers)
}

/// An endpoint that may become a stage of a chain.
struct EndpointHolder<'a> {
    endpoint: &'a Endpoint,
    layer_holder: LayerHolder,
}

/// Estimated times and token capacity of a chain, from the layers that each stage runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ChainEstimate {
    pub(crate) token_ms: f64,
    pub(crate) token_ms_per_request: f64,
    pub(crate) prefill_ms_per_token: f64,
    pub(crate) bottleneck_prefill_ms: f64,
    pub(crate) token_capacity: f64,
}

impl ChainEstimate {
    pub(crate) fn new<'a>(
        engine: &Engine,
        stages: impl Iterator<Item = (&'a LayerHolder, LayerRange)>,
    ) -> Self {
        let mut estimate = Self {
            token_ms: 0.0,
            token_ms_per_request: 0.0,
            prefill_ms_per_token: 0.0,
            bottleneck_prefill_ms: 0.0,
            token_capacity: f64::INFINITY,
        };
        for (layer_holder, layers) in stages {
            let step_factor = layer_fraction(engine, layers) * layer_holder.step_factor;
            let prefill_ms_per_token = layer_holder.prefill_ms_per_token(engine, layers);
            let token_capacity = layer_holder.capacity(engine) / f64::from(layers.count());
            estimate.token_ms += step_factor * engine.step_ms + HOP_MS;
            estimate.token_ms_per_request += layer_holder.ms_per_request(engine, layers);
            estimate.prefill_ms_per_token += prefill_ms_per_token;
            estimate.bottleneck_prefill_ms =
                estimate.bottleneck_prefill_ms.max(prefill_ms_per_token);
            estimate.token_capacity = estimate.token_capacity.min(token_capacity);
        }
        estimate
    }

    /// Requests per second that the chain can serve: the number that fits in its memory at once,
    /// each for the duration of its answer, but no more than can be prefilled.
    pub(crate) fn requests_per_s(&self, engine: &Engine) -> f64 {
        let request = (engine.typical_prompt_tokens + engine.typical_answer_tokens).max(1.0);
        let concurrent_requests = self.token_capacity / (request * RUNNING_REQUEST_LENGTH_FACTOR);
        let token_ms = self.token_ms + self.token_ms_per_request * concurrent_requests;
        let answer_ms = engine.typical_answer_tokens * token_ms
            + engine.typical_prompt_tokens * self.prefill_ms_per_token;
        let by_memory = concurrent_requests / answer_ms.max(1.0);
        let by_prefill = MAX_PREFILL_FRACTION
            / (engine.typical_prompt_tokens * self.bottleneck_prefill_ms).max(1e-9);
        by_memory.min(by_prefill) * MS_PER_S
    }
}

/// Finds the chains through the given endpoints, in all data centres.
///
/// Each endpoint is paired with its slowdown factor: how many times slower it is than its
/// accelerator is expected to be.
pub fn find<'a>(
    engine: &Engine,
    endpoints: impl Iterator<Item = (&'a Endpoint, f64)>,
) -> Vec<Chain> {
    ChainFinder::default().find(engine, endpoints)
}

/// What the chains of a data centre depend on, of one endpoint.
#[derive(Debug, PartialEq)]
struct SearchedHolder {
    id: Rc<str>,
    name: Rc<str>,
    addr: SocketAddr,
    layer_holder: LayerHolder,
}

impl SearchedHolder {
    fn is(&self, holder: &EndpointHolder<'_>) -> bool {
        let endpoint = holder.endpoint;
        self.layer_holder == holder.layer_holder
            && self.id == endpoint.id
            && self.name == endpoint.name
            && self.addr == endpoint.addr
    }
}

impl From<&EndpointHolder<'_>> for SearchedHolder {
    fn from(holder: &EndpointHolder<'_>) -> Self {
        Self {
            id: holder.endpoint.id.clone(),
            name: holder.endpoint.name.clone(),
            addr: holder.endpoint.addr,
            layer_holder: holder.layer_holder,
        }
    }
}

/// The chains of a data centre, and the endpoints among which they were found.
#[derive(Debug)]
struct SearchedDataCentre {
    name: Rc<str>,
    holders: Vec<SearchedHolder>,
    chains: Vec<Chain>,
}

impl SearchedDataCentre {
    fn is_current(&self, name: &str, holders: &[EndpointHolder<'_>]) -> bool {
        let mut both = self.holders.iter().zip(holders);
        *self.name == *name
            && self.holders.len() == holders.len()
            && both.all(|(searched, holder)| searched.is(holder))
    }
}

/// Finds chains, and keeps those of data centres in which nothing has changed.
#[derive(Debug, Default)]
pub struct ChainFinder {
    engine: Option<Engine>,
    searched: Vec<SearchedDataCentre>,
    searches: u64,
}

impl ChainFinder {
    /// Finds the chains through the given endpoints like [`find`].
    pub fn find<'a>(
        &mut self,
        engine: &Engine,
        endpoints: impl Iterator<Item = (&'a Endpoint, f64)>,
    ) -> Vec<Chain> {
        if self.engine.as_ref() != Some(engine) {
            self.engine = Some(engine.clone());
            self.searched.clear();
        }
        let holders = endpoints
            .filter_map(|(e, slowdown_factor)| endpoint_holder(engine, e, slowdown_factor));
        let mut holders: Vec<EndpointHolder<'a>> = holders.collect();
        // The order breaks ties and must be the same on all hosts.
        holders.sort_by(|a, b| {
            let (a, b) = (a.endpoint, b.endpoint);
            a.data_centre.cmp(&b.data_centre).then(a.id.cmp(&b.id))
        });
        let before = std::mem::take(&mut self.searched);
        for local in holders.chunk_by(|a, b| a.endpoint.data_centre == b.endpoint.data_centre) {
            let name = &local[0].endpoint.data_centre;
            let known = before.iter().find(|s| s.is_current(name, local));
            let chains = match known {
                Some(known) => known.chains.clone(),
                None => self.search(engine, name, local),
            };
            self.searched.push(SearchedDataCentre {
                name: name.clone(),
                holders: local.iter().map(SearchedHolder::from).collect(),
                chains,
            });
        }
        self.searched
            .iter()
            .flat_map(|s| &s.chains)
            .cloned()
            .collect()
    }

    /// Number of data centres that were searched so far.
    pub fn searches(&self) -> u64 {
        self.searches
    }

    fn search(
        &mut self,
        engine: &Engine,
        data_centre: &Rc<str>,
        holders: &[EndpointHolder<'_>],
    ) -> Vec<Chain> {
        self.searches += 1;
        let mut chains = Vec::new();
        find_in_data_centre(engine, data_centre, holders, &mut chains);
        chains
    }
}

fn endpoint_holder<'a>(
    engine: &Engine,
    endpoint: &'a Endpoint,
    slowdown_factor: f64,
) -> Option<EndpointHolder<'a>> {
    let accelerator = engine.accelerator(endpoint.accelerator.as_deref()?)?;
    let mut layer_holder = LayerHolder::new(accelerator, endpoint.layers?);
    layer_holder.step_factor *= slowdown_factor;
    layer_holder.prefill_factor *= slowdown_factor;
    Some(EndpointHolder {
        endpoint,
        layer_holder,
    })
}

fn find_in_data_centre(
    engine: &Engine,
    data_centre: &Rc<str>,
    holders: &[EndpointHolder<'_>],
    out: &mut Vec<Chain>,
) {
    let start = out.len();
    let mut layer_holders: Vec<LayerHolder> = holders.iter().map(|h| h.layer_holder).collect();
    while out.len() < start + MAX_CHAINS_PER_DATA_CENTRE {
        let Some(path) = cheapest_cover(engine, &layer_holders) else {
            return;
        };
        let chain = build_chain(engine, data_centre, holders, &path);
        for (i, _) in &path {
            layer_holders[*i].used_by_chains += 1;
        }
        let uses_new_endpoint = path
            .iter()
            .any(|(i, _)| layer_holders[*i].used_by_chains == 1);
        if !uses_new_endpoint {
            return;
        }
        out.push(chain);
    }
}

/// The last step of the cheapest path found so far that covers all layers below a boundary.
#[derive(Clone, Copy)]
struct PathStep {
    cost: f64,
    holder: usize,
    from: u32,
}

/// Finds the cheapest cover of all layers: indexes into `holders`, each with the layers that it
/// runs.
pub(crate) fn cheapest_cover(
    engine: &Engine,
    holders: &[LayerHolder],
) -> Option<Vec<(usize, LayerRange)>> {
    let end = engine.layers;
    let mut boundaries: Vec<u32> = holders
        .iter()
        .flat_map(|h| [h.layers.first, h.layers.end])
        .chain([0, end])
        .filter(|b| *b <= end)
        .collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    let mut best: Vec<Option<PathStep>> = vec![None; end as usize + 1];
    for &at in boundaries.iter().take_while(|b| **b < end) {
        let cost_so_far = match (at, best[at as usize]) {
            (0, _) => 0.0,
            (_, Some(step)) => step.cost,
            (_, None) => continue,
        };
        for (i, holder) in holders.iter().enumerate() {
            if !holder.layers.contains(at) || on_path(&best, at, i) {
                continue;
            }
            let per_layer = holder.step_factor * engine.step_ms / f64::from(end)
                * (1.0 + REUSE_COST_FACTOR * f64::from(holder.used_by_chains));
            let until = boundaries
                .iter()
                .filter(|b| **b > at && **b <= holder.layers.end);
            for &to in until {
                let cost = cost_so_far + HOP_MS + per_layer * f64::from(to - at);
                let known = &mut best[to as usize];
                if known.is_none_or(|k| cost < k.cost) {
                    *known = Some(PathStep {
                        cost,
                        holder: i,
                        from: at,
                    });
                }
            }
        }
    }
    backtrack(&best, end)
}

/// Whether the path to boundary `at` already uses `holder`.
fn on_path(best: &[Option<PathStep>], mut at: u32, holder: usize) -> bool {
    while let Some(step) = best[at as usize].filter(|_| at > 0) {
        if step.holder == holder {
            return true;
        }
        at = step.from;
    }
    false
}

fn backtrack(best: &[Option<PathStep>], end: u32) -> Option<Vec<(usize, LayerRange)>> {
    let mut path = Vec::new();
    let mut at = end;
    while at > 0 {
        let step = best[at as usize]?;
        path.push((step.holder, LayerRange::new(step.from, at)?));
        at = step.from;
    }
    path.reverse();
    Some(path)
}

fn build_chain(
    engine: &Engine,
    data_centre: &Rc<str>,
    holders: &[EndpointHolder<'_>],
    path: &[(usize, LayerRange)],
) -> Chain {
    let stages = path
        .iter()
        .map(|(i, layers)| (&holders[*i].layer_holder, *layers));
    let estimate = ChainEstimate::new(engine, stages);
    let stage = |(i, layers): &(usize, LayerRange)| {
        let EndpointHolder {
            endpoint,
            layer_holder,
        } = &holders[*i];
        Stage {
            id: endpoint.id.clone(),
            name: endpoint.name.clone(),
            addr: endpoint.addr,
            layers: *layers,
            token_ms_per_request: layer_holder.ms_per_request(engine, *layers),
            prefill_ms_per_token: layer_holder.prefill_ms_per_token(engine, *layers),
            capacity: layer_holder.capacity(engine),
        }
    };
    let stages: Vec<Stage> = path.iter().map(stage).collect();
    Chain {
        key: chain_key(&stages),
        data_centre: data_centre.clone(),
        stages,
        token_ms: estimate.token_ms,
        prefill_ms_per_token: estimate.prefill_ms_per_token,
        bottleneck_prefill_ms: estimate.bottleneck_prefill_ms,
    }
}

fn chain_key(stages: &[Stage]) -> u64 {
    let mut hasher = FxHasher::default();
    for stage in stages {
        (&stage.id, stage.layers.first).hash(&mut hasher);
    }
    hasher.finish()
}
