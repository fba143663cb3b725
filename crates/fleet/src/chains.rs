//! Finds chains of endpoints that together run each layer once, in order.
//!
//! A chain stays inside one data centre: what a stage hands to the next is large, and the pipes
//! between data centres are narrow. Endpoints hold overlapping ranges, and a part need not use all
//! that its endpoint holds, so that there are many chains. They are found when the endpoints
//! change, not for each request: first the fastest chain of a data centre, then the fastest one
//! that avoids what is already used, and so on while there are new ones.

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

/// The most chains kept for one data centre. Each further one is slower than the last, and a
/// request looks at all of them.
const MOST_CHAINS: usize = 6;
/// What handing a token to the next stage takes, in ms: the network inside a data centre and the
/// wait for the pass that is under way.
const HOP_MS: f64 = 0.5;
/// Requests that run are longer than the usual one, as long ones run longer: their part of the
/// memory against that of the usual request.
const LONG_REQUESTS: f64 = 1.3;
/// The part of its time that an endpoint may read; the rest is for steps.
const MOST_READING: f64 = 0.6;
const MS_PER_S: f64 = 1000.0;
/// How much dearer an endpoint looks for each chain that already uses it.
const USED_FACTOR: f64 = 4.0;

/// One endpoint's part of a chain.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The endpoint.
    pub id: Rc<str>,
    /// The name that it answers to.
    pub name: Rc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The layers that it runs.
    pub layers: LayerRange,
    /// What each request that is generating there adds to a token, in ms.
    pub token_ms_per_request: f64,
    /// What reading a token of a prompt takes there, in ms.
    pub read_ms: f64,
    /// The memory of the endpoint for requests, in tokens times layers.
    pub capacity: f64,
}

/// Endpoints that together run all layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Chain {
    /// The same for chains of the same parts.
    pub key: u64,
    /// Where all of them are.
    pub data_centre: Rc<str>,
    /// In the order of the layers. Invariant: each layer in exactly one, no endpoint twice.
    pub parts: Vec<Part>,
    /// What one token takes when nothing else runs, in ms.
    pub token_ms: f64,
    /// What reading one token of a prompt takes, in ms.
    pub read_ms: f64,
    /// What reading a token occupies the busiest part for, in ms.
    pub read_busy_ms: f64,
}

impl Chain {
    /// The endpoint that a request is sent to.
    pub fn first(&self) -> &Part {
        &self.parts[0]
    }

    /// Whether the endpoint is part of it.
    pub fn uses(&self, id: &str) -> bool {
        self.parts.iter().any(|p| &*p.id == id)
    }
}

impl fmt::Display for Chain {
    /// Its endpoints, each with the layers that it runs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, part) in self.parts.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            write!(f, "{comma}{}={}", part.id, part.layers)?;
        }
        Ok(())
    }
}

/// What a holder of layers is able to do.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Holding {
    /// The layers that it holds.
    pub(crate) layers: LayerRange,
    pub(crate) pace: f64,
    pub(crate) read_factor: f64,
    pub(crate) memory_mb: f64,
    /// Chains that use it already.
    pub(crate) used: u32,
}

impl Holding {
    pub(crate) fn new(accelerator: &Accelerator, layers: LayerRange) -> Self {
        Self {
            layers,
            pace: accelerator.pace,
            read_factor: accelerator.read_factor,
            memory_mb: accelerator.memory_mb,
            used: 0,
        }
    }

    /// The memory for requests, in tokens times layers.
    fn capacity(&self, engine: &Engine) -> f64 {
        engine.memory_left(self.memory_mb, self.layers)
    }

    /// What reading a token of a prompt through some of its layers takes, in ms.
    fn read_ms(&self, engine: &Engine, layers: LayerRange) -> f64 {
        share(engine, layers) * self.read_factor / engine.read_per_ms
    }

    /// What each request that is generating adds to a token, in ms.
    fn ms_per_request(&self, engine: &Engine, layers: LayerRange) -> f64 {
        let context_k = (engine.usual_prompt + engine.usual_answer) / 1000.0;
        let per_request = engine.step_ms_per_request + engine.step_ms_per_1k_context * context_k;
        share(engine, layers) * self.pace * per_request
    }
}

/// The part of all layers that a range is.
fn share(engine: &Engine, layers: LayerRange) -> f64 {
    f64::from(layers.count()) / f64::from(engine.layers)
}

/// An endpoint that may be part of a chain.
struct Holder<'a> {
    endpoint: &'a Endpoint,
    holding: Holding,
}

/// The times and the room of a chain, from the layers that each holder runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Figures {
    pub(crate) token_ms: f64,
    pub(crate) token_ms_per_request: f64,
    pub(crate) read_ms: f64,
    pub(crate) read_busy_ms: f64,
    pub(crate) room: f64,
}

impl Figures {
    pub(crate) fn new<'a>(
        engine: &Engine,
        parts: impl Iterator<Item = (&'a Holding, LayerRange)>,
    ) -> Self {
        let mut figures = Self {
            token_ms: 0.0,
            token_ms_per_request: 0.0,
            read_ms: 0.0,
            read_busy_ms: 0.0,
            room: f64::INFINITY,
        };
        for (holding, layers) in parts {
            let pace = share(engine, layers) * holding.pace;
            let read_ms = holding.read_ms(engine, layers);
            let room = holding.capacity(engine) / f64::from(layers.count());
            figures.token_ms += pace * engine.step_ms + HOP_MS;
            figures.token_ms_per_request += holding.ms_per_request(engine, layers);
            figures.read_ms += read_ms;
            figures.read_busy_ms = figures.read_busy_ms.max(read_ms);
            figures.room = figures.room.min(room);
        }
        figures
    }

    /// Requests that such a chain serves in a second: as many at once as its memory holds, each for
    /// as long as its answer takes; no more than can be read.
    pub(crate) fn rate(&self, engine: &Engine) -> f64 {
        let request = (engine.usual_prompt + engine.usual_answer).max(1.0);
        let at_once = self.room / (request * LONG_REQUESTS);
        let token_ms = self.token_ms + self.token_ms_per_request * at_once;
        let answer_ms = engine.usual_answer * token_ms + engine.usual_prompt * self.read_ms;
        let by_memory = at_once / answer_ms.max(1.0);
        let by_reading = MOST_READING / (engine.usual_prompt * self.read_busy_ms).max(1e-9);
        by_memory.min(by_reading) * MS_PER_S
    }
}

/// The chains through the endpoints given, of all data centres.
///
/// Beside each endpoint stands how many times slower it is than its accelerator should be.
pub fn find<'a>(
    engine: &Engine,
    endpoints: impl Iterator<Item = (&'a Endpoint, f64)>,
) -> Vec<Chain> {
    let holders = endpoints.filter_map(|(e, slower)| holder(engine, e, slower));
    let mut holders: Vec<Holder<'a>> = holders.collect();
    // The order decides between equals and must be the same on all hosts.
    holders.sort_by(|a, b| a.endpoint.id.cmp(&b.endpoint.id));
    let mut centres: Vec<Rc<str>> = holders
        .iter()
        .map(|h| h.endpoint.data_centre.clone())
        .collect();
    centres.sort();
    centres.dedup();
    let mut chains = Vec::new();
    for centre in centres {
        let (local, rest): (Vec<_>, Vec<_>) = holders
            .into_iter()
            .partition(|h| h.endpoint.data_centre == centre);
        find_in(engine, &centre, &local, &mut chains);
        holders = rest;
    }
    chains
}

fn holder<'a>(engine: &Engine, endpoint: &'a Endpoint, slower: f64) -> Option<Holder<'a>> {
    let accelerator = engine.accelerator(endpoint.accelerator.as_deref()?)?;
    let mut holding = Holding::new(accelerator, endpoint.layers?);
    holding.pace *= slower;
    holding.read_factor *= slower;
    Some(Holder { endpoint, holding })
}

fn find_in(engine: &Engine, centre: &Rc<str>, holders: &[Holder<'_>], out: &mut Vec<Chain>) {
    let start = out.len();
    let mut holdings: Vec<Holding> = holders.iter().map(|h| h.holding).collect();
    while out.len() < start + MOST_CHAINS {
        let Some(path) = cheapest(engine, &holdings) else {
            return;
        };
        let chain = build(engine, centre, holders, &path);
        for (i, _) in &path {
            holdings[*i].used += 1;
        }
        let fresh = path.iter().any(|(i, _)| holdings[*i].used == 1);
        if !fresh {
            return;
        }
        out.push(chain);
    }
}

/// The best way found to have run all layers below a boundary.
#[derive(Clone, Copy)]
struct Reached {
    cost: f64,
    holder: usize,
    from: u32,
}

/// The cheapest cover of all layers: holders, each with the layers it runs.
pub(crate) fn cheapest(engine: &Engine, holders: &[Holding]) -> Option<Vec<(usize, LayerRange)>> {
    let end = engine.layers;
    let mut boundaries: Vec<u32> = holders
        .iter()
        .flat_map(|h| [h.layers.first, h.layers.end])
        .chain([0, end])
        .filter(|b| *b <= end)
        .collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    let mut best: Vec<Option<Reached>> = vec![None; end as usize + 1];
    for &at in boundaries.iter().take_while(|b| **b < end) {
        let so_far = match (at, best[at as usize]) {
            (0, _) => 0.0,
            (_, Some(reached)) => reached.cost,
            (_, None) => continue,
        };
        for (i, holder) in holders.iter().enumerate() {
            if !holder.layers.contains(at) || on_path(&best, at, i) {
                continue;
            }
            let per_layer = holder.pace * engine.step_ms / f64::from(end)
                * (1.0 + USED_FACTOR * f64::from(holder.used));
            let until = boundaries
                .iter()
                .filter(|b| **b > at && **b <= holder.layers.end);
            for &to in until {
                let cost = so_far + HOP_MS + per_layer * f64::from(to - at);
                let known = &mut best[to as usize];
                if known.is_none_or(|k| cost < k.cost) {
                    *known = Some(Reached {
                        cost,
                        holder: i,
                        from: at,
                    });
                }
            }
        }
    }
    trace(&best, end)
}

/// Whether the way to a boundary already uses the holder.
fn on_path(best: &[Option<Reached>], mut at: u32, holder: usize) -> bool {
    while let Some(reached) = best[at as usize].filter(|_| at > 0) {
        if reached.holder == holder {
            return true;
        }
        at = reached.from;
    }
    false
}

fn trace(best: &[Option<Reached>], end: u32) -> Option<Vec<(usize, LayerRange)>> {
    let mut path = Vec::new();
    let mut at = end;
    while at > 0 {
        let reached = best[at as usize]?;
        path.push((reached.holder, LayerRange::new(reached.from, at)?));
        at = reached.from;
    }
    path.reverse();
    Some(path)
}

fn build(
    engine: &Engine,
    centre: &Rc<str>,
    holders: &[Holder<'_>],
    path: &[(usize, LayerRange)],
) -> Chain {
    let parts = path
        .iter()
        .map(|(i, layers)| (&holders[*i].holding, *layers));
    let figures = Figures::new(engine, parts);
    let part = |(i, layers): &(usize, LayerRange)| {
        let Holder { endpoint, holding } = &holders[*i];
        Part {
            id: endpoint.id.clone(),
            name: endpoint.name.clone(),
            addr: endpoint.addr,
            layers: *layers,
            token_ms_per_request: holding.ms_per_request(engine, *layers),
            read_ms: holding.read_ms(engine, *layers),
            capacity: holding.capacity(engine),
        }
    };
    let parts: Vec<Part> = path.iter().map(part).collect();
    Chain {
        key: key(&parts),
        data_centre: centre.clone(),
        parts,
        token_ms: figures.token_ms,
        read_ms: figures.read_ms,
        read_busy_ms: figures.read_busy_ms,
    }
}

fn key(parts: &[Part]) -> u64 {
    let mut hasher = FxHasher::default();
    for part in parts {
        (&part.id, part.layers.first).hash(&mut hasher);
    }
    hasher.finish()
}
