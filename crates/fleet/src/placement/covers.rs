//! Lays out covers for a data centre whose endpoints hold no layers yet.

use super::{Placement, Slot, max_layers, moves, request_tokens};
use crate::{
    catalogue::Engine,
    chains::{ChainEstimate, LayerHolder},
    layers::LayerRange,
};

/// The minimum number of concurrent requests for which each endpoint of a cover keeps memory.
pub(super) const MIN_REQUESTS: f64 = 12.0;
/// The step between the request capacities that are tried, and the number of steps: up to what a
/// fast chain can run at once before its steps get long.
const CAPACITY_STEP_REQUESTS: f64 = 4.0;
const CAPACITY_STEPS: u32 = 30;
/// The maximum number of covers that are searched for together; each further one makes the search
/// about thirty times longer.
const MAX_COVERS: usize = 2;
/// The weight of a request served after the loss of an endpoint, relative to one served before it.
const LOSS_WEIGHT: f64 = 0.5;

/// The maximum number of layers of each endpoint that leaves free capacity for `requests`.
fn max_sizes(engine: &Engine, slots: &[Slot<'_>], requests: f64) -> Vec<u32> {
    let tokens = requests * request_tokens(engine);
    let size = |s: &Slot<'_>| max_layers(engine, s.accelerator, tokens);
    slots.iter().map(size).collect()
}

/// Endpoints that hold all layers between them.
#[derive(Debug, Clone)]
struct Cover {
    /// Indices of slots, with the layers of each.
    members: Vec<(usize, LayerRange)>,
    /// Requests per second that it serves.
    rate: f64,
}

/// Places covers on endpoints none of which holds layers, then assigns layers to the endpoints that
/// are in no cover.
pub(super) fn place_covers(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    for (i, layers) in cover_layout(engine, slots) {
        out.push(Placement {
            id: slots[i].candidate.id.clone(),
            layers,
        });
    }
    moves::fill_gaps(engine, slots, out);
}

/// The layers of the endpoints that are in a cover, computed as if no endpoint held any.
pub(super) fn cover_layout(engine: &Engine, slots: &[Slot<'_>]) -> Vec<(usize, LayerRange)> {
    let free: Vec<usize> = (0..slots.len()).collect();
    let mut plans: Vec<Vec<Cover>> = request_capacities()
        .map(|max_requests| maximal_covers(engine, slots, max_requests))
        .collect();
    plans.push(best_covers(engine, slots, &free, MAX_COVERS));
    let score = |covers: &Vec<Cover>| score(covers, slots.len());
    let best = plans
        .into_iter()
        .max_by(|a, b| score(a).total_cmp(&score(b)));
    let covers = best.unwrap_or_default();
    covers.into_iter().flat_map(|c| c.members).collect()
}

/// The request capacities that are tried, in ascending order.
fn request_capacities() -> impl Iterator<Item = f64> {
    (0..CAPACITY_STEPS).map(|step| MIN_REQUESTS + f64::from(step) * CAPACITY_STEP_REQUESTS)
}

/// As many covers as the endpoints allow, with free capacity for `max_requests` as long as
/// possible, and then with less and less, down to [`MIN_REQUESTS`].
fn maximal_covers(engine: &Engine, slots: &[Slot<'_>], max_requests: f64) -> Vec<Cover> {
    let mut free: Vec<usize> = (0..slots.len()).collect();
    let mut covers = Vec::new();
    let mut requests = max_requests;
    while requests >= MIN_REQUESTS {
        let max_sizes = max_sizes(engine, slots, requests);
        let Some(members) = select_cover(engine.layers, &max_sizes, &free) else {
            requests -= CAPACITY_STEP_REQUESTS;
            continue;
        };
        free.retain(|i| !members.contains(i));
        let members = assign_ranges(engine.layers, &max_sizes, &members);
        covers.push(Cover {
            rate: rate(engine, slots, &members),
            members,
        });
    }
    covers
}

/// The covers of the free endpoints that have the highest score.
///
/// Tries each request capacity for the first cover, and for each of these finds the best covers of
/// the remaining endpoints in the same way.
fn best_covers(
    engine: &Engine,
    slots: &[Slot<'_>],
    free: &[usize],
    max_covers: usize,
) -> Vec<Cover> {
    if max_covers == 0 {
        return Vec::new();
    }
    let mut best: (f64, Vec<Cover>) = (0.0, Vec::new());
    let mut seen: Vec<Vec<(usize, LayerRange)>> = Vec::new();
    for requests in request_capacities() {
        let max_sizes = max_sizes(engine, slots, requests);
        let Some(members) = select_cover(engine.layers, &max_sizes, free) else {
            // The number of layers for each endpoint falls as the capacity rises, so no later one
            // fits.
            break;
        };
        let members = assign_ranges(engine.layers, &max_sizes, &members);
        if seen.contains(&members) {
            continue;
        }
        let rest: Vec<usize> = free
            .iter()
            .filter(|i| members.iter().all(|(m, _)| m != *i))
            .copied()
            .collect();
        let mut covers = best_covers(engine, slots, &rest, max_covers - 1);
        covers.insert(
            0,
            Cover {
                rate: rate(engine, slots, &members),
                members: members.clone(),
            },
        );
        seen.push(members);
        let score = score(&covers, slots.len());
        if score > best.0 {
            best = (score, covers);
        }
    }
    best.1
}

/// The score of covers: the requests per second that they serve, plus, with [`LOSS_WEIGHT`], those
/// that they still serve on average after the loss of any one endpoint.
fn score(covers: &[Cover], endpoints: usize) -> f64 {
    let kept = |c: &Cover| c.rate * (1.0 - c.members.len() as f64 / endpoints as f64);
    let total: f64 = covers.iter().map(|c| c.rate).sum();
    total + LOSS_WEIGHT * covers.iter().map(kept).sum::<f64>()
}

/// Requests per second that a cover serves.
fn rate(engine: &Engine, slots: &[Slot<'_>], members: &[(usize, LayerRange)]) -> f64 {
    let held = |(i, layers): &(usize, LayerRange)| LayerHolder::new(slots[*i].accelerator, *layers);
    let holdings: Vec<LayerHolder> = members.iter().map(held).collect();
    let stages = holdings.iter().map(|h| (h, h.layers));
    ChainEstimate::new(engine, stages).requests_per_s(engine)
}

/// Selects one cover from the free endpoints: the fastest that fit, and for the remaining layers
/// the endpoint that wastes least memory. `None` if no free endpoints hold all layers.
fn select_cover(layers: u32, max_sizes: &[u32], free: &[usize]) -> Option<Vec<usize>> {
    let mut members = Vec::new();
    let mut missing = layers;
    for &i in free {
        if max_sizes[i] <= missing {
            missing -= max_sizes[i];
            members.push(i);
        }
    }
    if missing > 0 {
        let rest = free.iter().filter(|i| !members.contains(i));
        let last = rest.min_by_key(|i| max_sizes[**i])?;
        members.push(*last);
    }
    members.sort_unstable();
    Some(members)
}

/// Assigns consecutive ranges to the members of one cover.
///
/// Memory beyond what the layers need is left for requests, in proportion on all members.
fn assign_ranges(layers: u32, max_sizes: &[u32], members: &[usize]) -> Vec<(usize, LayerRange)> {
    let held: u32 = members.iter().map(|i| max_sizes[*i]).sum();
    let mut first = 0;
    let mut assigned = 0;
    let mut ranges = Vec::with_capacity(members.len());
    for &i in members {
        assigned += max_sizes[i];
        let end = f64::from(assigned) * f64::from(layers) / f64::from(held);
        if let Some(range) = LayerRange::new(first, end.round() as u32) {
            ranges.push((i, range));
            first = range.end;
        }
    }
    ranges
}
