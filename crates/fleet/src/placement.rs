//! Decides which endpoint holds which layers.
//!
//! A plain function from what is known to the ranges that should be loaded. Each data centre gets
//! covers of its own, since it may be cut off from the others. Layers and requests share an
//! endpoint's memory: the more layers it holds, the fewer requests it can carry. So the fast
//! accelerators make the first cover with room for many requests, and the slow ones a second
//! cover, which carries on when an endpoint of the first is lost.
//!
//! What is loaded mostly stays where it is: endpoints that hold nothing are given the layers that
//! help their data centre most, and a loaded one moves only if that is worth far more than it
//! costs.

use std::rc::Rc;

use crate::{
    catalogue::{Accelerator, Engine},
    chains::{self, Figures, Holding},
    layers::LayerRange,
};

/// Requests for which each endpoint of a cover keeps memory at least.
const FEWEST_REQUESTS: f64 = 12.0;
/// Steps in which room for more requests is tried, and how many: up to what a fast chain can run at
/// once before its steps get long.
const ROOM_STEP: f64 = 4.0;
const ROOM_STEPS: u32 = 30;
/// Requests for which an endpoint that joins keeps memory.
const USUAL_REQUESTS: f64 = 32.0;
/// Covers that are searched for together: each further one makes that some thirty times longer.
const MOST_COVERS: usize = 2;
/// How many times more a data centre must serve for layers to be chosen by that.
const WORTH_A_LOAD: f64 = 1.02;
/// How many times more a data centre must serve after a move, which takes seconds in which it
/// serves less.
const WORTH_A_MOVE: f64 = 1.25;
/// The most moves at once where no chain is left.
const MOST_MOVES: usize = 6;
/// What a covered layer is worth where there is no chain, in requests a second: next to nothing.
const COVERED_WEIGHT: f64 = 0.001;
/// What a request served after the loss of an endpoint is worth beside one served before.
const LOSS_WEIGHT: f64 = 0.5;
/// An endpoint that may hold layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub id: Rc<str>,
    /// Where it is.
    pub data_centre: Rc<str>,
    /// Its accelerator's name.
    pub accelerator: Rc<str>,
    /// The layers that it holds, or is loading.
    pub holds: Option<LayerRange>,
    /// It is loading, or may be.
    pub loading: bool,
}

/// Layers that an endpoint should load.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub id: Rc<str>,
    /// The layers.
    pub layers: LayerRange,
}

struct Slot<'a> {
    candidate: &'a Candidate,
    accelerator: &'a Accelerator,
}

/// What endpoints should load: all that hold nothing, and loaded ones that are worth moving.
pub fn plan(engine: &Engine, candidates: &[Candidate]) -> Vec<Placement> {
    let mut centres: Vec<&Rc<str>> = candidates.iter().map(|c| &c.data_centre).collect();
    centres.sort();
    centres.dedup();
    let mut placements = Vec::new();
    for centre in centres {
        let local = candidates.iter().filter(|c| c.data_centre == *centre);
        let mut slots: Vec<Slot<'_>> = local.filter_map(|c| slot(engine, c)).collect();
        slots.sort_by(|a, b| {
            let pace = a.accelerator.pace.total_cmp(&b.accelerator.pace);
            pace.then_with(|| a.candidate.id.cmp(&b.candidate.id))
        });
        let fresh = slots.iter().all(|s| s.candidate.holds.is_none());
        match fresh {
            true => cover_anew(engine, &slots, &mut placements),
            false => {
                let before = placements.len();
                fill_gaps(engine, &slots, &mut placements);
                if placements.len() == before && !slots.iter().any(|s| s.candidate.loading) {
                    moves(engine, &slots, &mut placements);
                }
            }
        }
    }
    placements
}

fn slot<'a>(engine: &'a Engine, candidate: &'a Candidate) -> Option<Slot<'a>> {
    let accelerator = engine.accelerator(&candidate.accelerator)?;
    Some(Slot {
        candidate,
        accelerator,
    })
}

/// The most layers that leave room for `tokens` of requests on each of them.
fn most_layers(engine: &Engine, accelerator: &Accelerator, tokens: f64) -> u32 {
    let per_layer = engine.layer_mb + tokens * engine.token_layer_mb;
    ((accelerator.memory_mb / per_layer) as u32).clamp(1, engine.most_layers(accelerator).max(1))
}

/// Tokens of one request, prompt and answer.
fn request_tokens(engine: &Engine) -> f64 {
    (engine.usual_prompt + engine.usual_answer).max(1.0)
}

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
fn cover_anew(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
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
    for (i, layers) in covers.iter().flat_map(|c| &c.members) {
        out.push(Placement {
            id: slots[*i].candidate.id.clone(),
            layers: *layers,
        });
    }
    fill_gaps(engine, slots, out);
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
    let held = |(i, layers): &(usize, LayerRange)| Holding::new(slots[*i].accelerator, *layers);
    let holdings: Vec<Holding> = members.iter().map(held).collect();
    let parts = holdings.iter().map(|h| (h, h.layers));
    Figures::new(engine, parts).rate(engine)
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

/// The layers of each slot: what it holds, or what was placed on it before in `out`.
fn held(slots: &[Slot<'_>], out: &[Placement]) -> Vec<Option<LayerRange>> {
    let placed = |s: &Slot<'_>| {
        out.iter()
            .find(|p| p.id == s.candidate.id)
            .map(|p| p.layers)
    };
    slots
        .iter()
        .map(|s| s.candidate.holds.or_else(|| placed(s)))
        .collect()
}

/// Gives endpoints that hold nothing layers: those that let the data centre serve most, or else
/// those in which it is weakest.
fn fill_gaps(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    let mut held = held(slots, out);
    for (i, slot) in slots.iter().enumerate() {
        if held[i].is_some() {
            continue;
        }
        let most = engine.most_layers(slot.accelerator).max(1);
        let now = value(engine, slots, &held);
        let range = match best_range(engine, slots, &mut held, i) {
            Some((range, value)) if value > now * WORTH_A_LOAD => range,
            _ => {
                let tokens = USUAL_REQUESTS * request_tokens(engine);
                let size = most_layers(engine, slot.accelerator, tokens).min(most);
                weakest(&speeds(engine, slots, &held), size.min(engine.layers))
            }
        };
        held[i] = Some(range);
        out.push(Placement {
            id: slot.candidate.id.clone(),
            layers: range,
        });
    }
}

/// The speed at which each layer is held, over all its holders.
fn speeds(engine: &Engine, slots: &[Slot<'_>], held: &[Option<LayerRange>]) -> Vec<f64> {
    let mut speeds = vec![0.0; engine.layers as usize];
    for (slot, range) in slots.iter().zip(held) {
        for layer in range.iter().flat_map(|r| r.first..r.end.min(engine.layers)) {
            speeds[layer as usize] += 1.0 / slot.accelerator.pace;
        }
    }
    speeds
}

/// What a data centre serves in a second with such holdings, by chains that share no endpoint;
/// where there is none, the more the nearer it is to having one.
fn value(engine: &Engine, slots: &[Slot<'_>], held: &[Option<LayerRange>]) -> f64 {
    let holding =
        |(s, r): (&Slot<'_>, &Option<LayerRange>)| Some(Holding::new(s.accelerator, (*r)?));
    let mut holdings: Vec<Holding> = slots.iter().zip(held).filter_map(holding).collect();
    let mut rate = 0.0;
    while let Some(path) = chains::cheapest(engine, &holdings) {
        let parts = path.iter().map(|(i, layers)| (&holdings[*i], *layers));
        rate += Figures::new(engine, parts).rate(engine);
        let mut place = 0;
        holdings.retain(|_| {
            place += 1;
            path.iter().all(|(i, _)| i + 1 != place)
        });
    }
    let covered = speeds(engine, slots, held)
        .iter()
        .filter(|s| **s > 0.0)
        .count();
    rate + COVERED_WEIGHT * covered as f64
}

/// The layers for one endpoint with which its data centre serves most, and how much that is.
///
/// Ranges begin and end where other holders' do, or are as large as the memory allows.
fn best_range(
    engine: &Engine,
    slots: &[Slot<'_>],
    held: &mut [Option<LayerRange>],
    slot: usize,
) -> Option<(LayerRange, f64)> {
    let before = held[slot];
    let tokens = FEWEST_REQUESTS * request_tokens(engine);
    let most = most_layers(engine, slots[slot].accelerator, tokens).min(engine.layers);
    let mut ends: Vec<u32> = vec![0, engine.layers];
    for (i, range) in held.iter().enumerate() {
        if let Some(range) = range.filter(|_| i != slot) {
            ends.extend([range.first, range.end]);
        }
    }
    ends.sort_unstable();
    ends.dedup();
    let mut ranges: Vec<LayerRange> = Vec::new();
    for (i, &first) in ends.iter().enumerate() {
        for &end in &ends[i + 1..] {
            match end - first <= most {
                true => ranges.extend(LayerRange::new(first, end)),
                false => {
                    // A part of a longer stretch, from either side.
                    ranges.extend(LayerRange::new(first, first + most));
                    ranges.extend(LayerRange::new(end - most, end));
                    break;
                }
            }
        }
    }
    let mut best: Option<(LayerRange, f64)> = None;
    for range in ranges {
        held[slot] = Some(range);
        let value = value(engine, slots, held);
        if best.is_none_or(|(_, v)| value > v + 1e-9) {
            best = Some((range, value));
        }
    }
    held[slot] = before;
    best
}

/// Moves of loaded endpoints after which a data centre serves much more, the best first.
///
/// Where no chain is left several endpoints may move at once, as there is nothing to lose; else
/// one at a time.
fn moves(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    let mut held = held(slots, out);
    for _ in 0..MOST_MOVES {
        let now = value(engine, slots, &held);
        let alive = now > COVERED_WEIGHT * f64::from(engine.layers) + 1e-6;
        let mut best: Option<(usize, LayerRange, f64)> = None;
        for i in 0..slots.len() {
            if let Some((range, value)) = best_range(engine, slots, &mut held, i)
                && best.is_none_or(|(_, _, v)| value > v)
            {
                best = Some((i, range, value));
            }
        }
        let needed = if alive {
            now * WORTH_A_MOVE
        } else {
            now + 1e-6
        };
        let Some((i, range, _)) = best.filter(|(i, r, v)| *v > needed && held[*i] != Some(*r))
        else {
            return;
        };
        held[i] = Some(range);
        out.retain(|p| p.id != slots[i].candidate.id);
        out.push(Placement {
            id: slots[i].candidate.id.clone(),
            layers: range,
        });
        if alive {
            return;
        }
    }
}

/// A layer that nobody holds weighs as much as this many that only a slow endpoint holds.
const UNHELD: f64 = 1000.0;

/// The range of `size` layers that gains most from another holder.
fn weakest(speed: &[f64], size: u32) -> LayerRange {
    let gain: Vec<f64> = speed
        .iter()
        .map(|s| if *s > 0.0 { 1.0 / s } else { UNHELD })
        .collect();
    let size = size.max(1) as usize;
    let mut best = (f64::MIN, 0);
    for first in 0..=gain.len() - size {
        let sum: f64 = gain[first..first + size].iter().sum();
        if sum > best.0 + 1e-9 {
            best = (sum, first);
        }
    }
    LayerRange {
        first: best.1 as u32,
        end: (best.1 + size) as u32,
    }
}
