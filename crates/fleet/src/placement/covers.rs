//! Covers of a data centre whose endpoints hold nothing yet.

use super::{Placement, Slot, most_layers, moves, request_tokens};
use crate::{
    catalogue::Engine,
    chains::{ChainEstimate, LayerHolder},
    layers::LayerRange,
};

/// Requests for which each endpoint of a cover keeps memory at least.
pub(super) const FEWEST_REQUESTS: f64 = 12.0;
/// Steps in which room for more requests is tried, and how many: up to what a fast chain can run at
/// once before its steps get long.
const ROOM_STEP: f64 = 4.0;
const ROOM_STEPS: u32 = 30;
/// Covers that are searched for together: each further one makes that some thirty times longer.
const MOST_COVERS: usize = 2;
/// What a request served after the loss of an endpoint is worth beside one served before.
const LOSS_WEIGHT: f64 = 0.5;

/// The most layers of each endpoint while there is room for `requests` on each of them.
fn sizes(engine: &Engine, slots: &[Slot<'_>], requests: f64) -> Vec<u32> {
    let tokens = requests * request_tokens(engine);
    let size = |s: &Slot<'_>| most_layers(engine, s.accelerator, tokens);
    slots.iter().map(size).collect()
}

/// Endpoints that hold all layers between them.
#[derive(Debug, Clone)]
struct Cover {
    /// Places among the slots, with the layers of each.
    members: Vec<(usize, LayerRange)>,
    /// Requests that it serves in a second.
    rate: f64,
}

/// Places covers on endpoints of which none holds anything.
pub(super) fn cover_anew(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    for (i, layers) in laid_out(engine, slots) {
        out.push(Placement {
            id: slots[i].candidate.id.clone(),
            layers,
        });
    }
    moves::fill_gaps(engine, slots, out);
}

/// The layers of the endpoints that are part of a cover, as if none of them held anything.
pub(super) fn laid_out(engine: &Engine, slots: &[Slot<'_>]) -> Vec<(usize, LayerRange)> {
    let free: Vec<usize> = (0..slots.len()).collect();
    let mut plans: Vec<Vec<Cover>> = rooms()
        .map(|most| many_covers(engine, slots, most))
        .collect();
    plans.push(best_covers(engine, slots, &free, MOST_COVERS));
    let worth = |covers: &Vec<Cover>| worth(covers, slots.len());
    let best = plans
        .into_iter()
        .max_by(|a, b| worth(a).total_cmp(&worth(b)));
    let covers = best.unwrap_or_default();
    covers.into_iter().flat_map(|c| c.members).collect()
}

/// The amounts of room that are tried, in requests, the least first.
fn rooms() -> impl Iterator<Item = f64> {
    (0..ROOM_STEPS).map(|step| FEWEST_REQUESTS + f64::from(step) * ROOM_STEP)
}

/// As many covers as there are, with room for `most` requests while that lasts, and then with less
/// and less.
fn many_covers(engine: &Engine, slots: &[Slot<'_>], most: f64) -> Vec<Cover> {
    let mut free: Vec<usize> = (0..slots.len()).collect();
    let mut covers = Vec::new();
    let mut requests = most;
    while requests >= FEWEST_REQUESTS {
        let sizes = sizes(engine, slots, requests);
        let Some(members) = cover(engine.layers, &sizes, &free) else {
            requests -= ROOM_STEP;
            continue;
        };
        free.retain(|i| !members.contains(i));
        let members = lay_out(engine.layers, &sizes, &members);
        covers.push(Cover {
            rate: rate(engine, slots, &members),
            members,
        });
    }
    covers
}

/// The covers of the free endpoints that are worth most.
///
/// For the first cover each amount of room for requests is tried, and for each the best of what is
/// left over is found in the same way.
fn best_covers(engine: &Engine, slots: &[Slot<'_>], free: &[usize], most: usize) -> Vec<Cover> {
    if most == 0 {
        return Vec::new();
    }
    let mut best: (f64, Vec<Cover>) = (0.0, Vec::new());
    let mut seen: Vec<Vec<(usize, LayerRange)>> = Vec::new();
    for requests in rooms() {
        let sizes = sizes(engine, slots, requests);
        let Some(members) = cover(engine.layers, &sizes, free) else {
            // Endpoints hold less and less from here on.
            break;
        };
        let members = lay_out(engine.layers, &sizes, &members);
        if seen.contains(&members) {
            continue;
        }
        let rest: Vec<usize> = free
            .iter()
            .filter(|i| members.iter().all(|(m, _)| m != *i))
            .copied()
            .collect();
        let mut covers = best_covers(engine, slots, &rest, most - 1);
        covers.insert(
            0,
            Cover {
                rate: rate(engine, slots, &members),
                members: members.clone(),
            },
        );
        seen.push(members);
        let worth = worth(&covers, slots.len());
        if worth > best.0 {
            best = (worth, covers);
        }
    }
    best.1
}

/// What covers are worth: the requests that they serve in a second, and those that they still
/// serve, on average, when any one of the endpoints is lost.
fn worth(covers: &[Cover], endpoints: usize) -> f64 {
    let kept = |c: &Cover| c.rate * (1.0 - c.members.len() as f64 / endpoints as f64);
    let whole: f64 = covers.iter().map(|c| c.rate).sum();
    whole + LOSS_WEIGHT * covers.iter().map(kept).sum::<f64>()
}

/// Requests that a cover serves in a second.
fn rate(engine: &Engine, slots: &[Slot<'_>], members: &[(usize, LayerRange)]) -> f64 {
    let held = |(i, layers): &(usize, LayerRange)| LayerHolder::new(slots[*i].accelerator, *layers);
    let holdings: Vec<LayerHolder> = members.iter().map(held).collect();
    let parts = holdings.iter().map(|h| (h, h.layers));
    ChainEstimate::new(engine, parts).requests_per_s(engine)
}

/// One cover out of the endpoints that are free: the fastest that fit, and for what is missing then
/// the one that wastes least.
fn cover(layers: u32, sizes: &[u32], free: &[usize]) -> Option<Vec<usize>> {
    let mut members = Vec::new();
    let mut missing = layers;
    for &i in free {
        if sizes[i] <= missing {
            missing -= sizes[i];
            members.push(i);
        }
    }
    if missing > 0 {
        let rest = free.iter().filter(|i| !members.contains(i));
        let last = rest.min_by_key(|i| sizes[**i])?;
        members.push(*last);
    }
    members.sort_unstable();
    Some(members)
}

/// Gives the members of one cover ranges one after the other.
///
/// What they could hold beyond the layers is left for requests, on all of them alike.
fn lay_out(layers: u32, sizes: &[u32], members: &[usize]) -> Vec<(usize, LayerRange)> {
    let held: u32 = members.iter().map(|i| sizes[*i]).sum();
    let mut first = 0;
    let mut asked = 0;
    let mut ranges = Vec::with_capacity(members.len());
    for &i in members {
        asked += sizes[i];
        let end = f64::from(asked) * f64::from(layers) / f64::from(held);
        if let Some(range) = LayerRange::new(first, end.round() as u32) {
            ranges.push((i, range));
            first = range.end;
        }
    }
    ranges
}
