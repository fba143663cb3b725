//! Finds chains of endpoints that together run each layer once, in order.
//!
//! A chain stays inside one data centre: what a stage hands to the next is large, and the pipes
//! between data centres are narrow. Endpoints hold overlapping ranges, and a part need not use all
//! that its endpoint holds, so that there are many chains. They are found when the endpoints
//! change, not for each request: first the fastest chain of a data centre, then the fastest one
//! that avoids what is already used, and so on while there are new ones.

use std::{net::SocketAddr, rc::Rc};

use crate::{catalogue::Engine, endpoints::Endpoint, layers::LayerRange};

/// The most chains kept for one data centre. Each further one is slower than the last, and a
/// request looks at all of them.
const MOST_CHAINS: usize = 6;
/// What handing a token to the next stage takes, in ms: the network inside a data centre and the
/// wait for the pass that is under way.
const HOP_MS: f64 = 0.5;
/// How much dearer an endpoint looks for each chain that already uses it.
const USED_FACTOR: f64 = 4.0;

/// One endpoint's part of a chain.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The endpoint.
    pub id: Rc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// Endpoints that together run all layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Chain {
    /// Where all of them are.
    pub data_centre: Rc<str>,
    /// In the order of the layers. Invariant: each layer in exactly one, no endpoint twice.
    pub parts: Vec<Part>,
    /// What one token takes when nothing else runs, in ms.
    pub token_ms: f64,
    /// What each other request that is generating adds to that, in ms.
    pub token_ms_per_request: f64,
    /// What reading one token of a prompt takes, in ms.
    pub read_ms: f64,
    /// What reading a token occupies the busiest part for, in ms.
    pub read_busy_ms: f64,
    /// Tokens of requests for which its parts have memory.
    pub room: f64,
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

/// An endpoint that may be part of a chain.
struct Holder<'a> {
    endpoint: &'a Endpoint,
    layers: LayerRange,
    pace: f64,
    read_factor: f64,
    memory_mb: f64,
    /// Chains that use it already.
    used: u32,
}

/// The chains through the endpoints given, of all data centres.
pub fn find<'a>(engine: &Engine, endpoints: impl Iterator<Item = &'a Endpoint>) -> Vec<Chain> {
    let mut holders: Vec<Holder<'a>> = endpoints.filter_map(|e| holder(engine, e)).collect();
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
        let (mut local, rest): (Vec<_>, Vec<_>) = holders
            .into_iter()
            .partition(|h| h.endpoint.data_centre == centre);
        find_in(engine, &centre, &mut local, &mut chains);
        holders = rest;
    }
    chains
}

fn holder<'a>(engine: &Engine, endpoint: &'a Endpoint) -> Option<Holder<'a>> {
    let accelerator = engine.accelerator(endpoint.accelerator.as_deref()?)?;
    Some(Holder {
        endpoint,
        layers: endpoint.layers?,
        pace: accelerator.pace,
        read_factor: accelerator.read_factor,
        memory_mb: accelerator.memory_mb,
        used: 0,
    })
}

fn find_in(engine: &Engine, centre: &Rc<str>, holders: &mut [Holder<'_>], out: &mut Vec<Chain>) {
    let start = out.len();
    while out.len() < start + MOST_CHAINS {
        let Some(path) = cheapest(engine, holders) else {
            return;
        };
        let chain = build(engine, centre, holders, &path);
        for (i, _) in &path {
            holders[*i].used += 1;
        }
        let fresh = path.iter().any(|(i, _)| holders[*i].used == 1);
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
fn cheapest(engine: &Engine, holders: &[Holder<'_>]) -> Option<Vec<(usize, LayerRange)>> {
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
    let mut chain = Chain {
        data_centre: centre.clone(),
        parts: Vec::with_capacity(path.len()),
        token_ms: 0.0,
        token_ms_per_request: 0.0,
        read_ms: 0.0,
        read_busy_ms: 0.0,
        room: f64::INFINITY,
    };
    for (i, layers) in path {
        let holder = &holders[*i];
        let share = f64::from(layers.count()) / f64::from(engine.layers);
        let pace = share * holder.pace;
        let read_ms = share * holder.read_factor / engine.read_per_ms;
        let held_mb = f64::from(holder.layers.count()) * engine.layer_mb;
        let per_token_mb = f64::from(layers.count()) * engine.token_layer_mb;
        let context_k = (engine.usual_prompt + engine.usual_answer) / 1000.0;
        let per_request = engine.step_ms_per_request + engine.step_ms_per_1k_context * context_k;
        chain.token_ms += pace * engine.step_ms + HOP_MS;
        chain.token_ms_per_request += pace * per_request;
        chain.read_ms += read_ms;
        chain.read_busy_ms = chain.read_busy_ms.max(read_ms);
        chain.room = chain
            .room
            .min((holder.memory_mb - held_mb).max(0.0) / per_token_mb);
        chain.parts.push(Part {
            id: holder.endpoint.id.clone(),
            addr: holder.endpoint.addr,
            layers: *layers,
        });
    }
    chain
}
