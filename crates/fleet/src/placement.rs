//! Decides which endpoint holds which layers.
//!
//! A plain function from what is known to the ranges that should be loaded. Each data centre gets
//! covers of its own, since it may be cut off from the others. Layers and requests share an
//! endpoint's memory: the more layers it holds, the fewer requests it can carry. So the fast
//! accelerators make the first cover with room for many requests, and the slow ones a second
//! cover, which carries on when an endpoint of the first is lost.
//!
//! What is loaded stays where it is: only endpoints that hold nothing are given layers, each the
//! range that its data centre is weakest in.

use std::rc::Rc;

use crate::{
    catalogue::{Accelerator, Engine},
    layers::LayerRange,
};

/// Requests for which the memory of a first cover is planned: about what a fast chain can run at
/// once before the steps of its slowest part get long.
const REQUESTS_AT_ONCE: f64 = 56.0;
/// Requests for which each endpoint keeps memory even if layers are short.
const FEWEST_REQUESTS: f64 = 12.0;
/// Covers that are aimed for in each data centre.
const COVERS: u32 = 2;

/// An endpoint that may hold layers.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub id: Rc<str>,
    /// Where it is.
    pub data_centre: Rc<str>,
    /// Its accelerator's name.
    pub accelerator: Rc<str>,
    /// The layers that it holds, or is loading.
    pub holds: Option<LayerRange>,
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

/// What the endpoints that hold nothing should load.
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
            false => fill_gaps(engine, &slots, &mut placements),
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

/// The room for requests, in tokens, that lets the endpoints hold the covers that are aimed for.
fn room(engine: &Engine, slots: &[Slot<'_>]) -> f64 {
    let request = request_tokens(engine);
    let wanted = COVERS * engine.layers;
    let mut requests = REQUESTS_AT_ONCE;
    while requests > FEWEST_REQUESTS {
        let tokens = requests * request;
        let held: u32 = slots
            .iter()
            .map(|s| most_layers(engine, s.accelerator, tokens))
            .sum();
        if held >= wanted {
            break;
        }
        requests -= 1.0;
    }
    requests * request
}

/// Places covers on endpoints of which none holds anything, the fastest first.
fn cover_anew(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    let tokens = room(engine, slots);
    let mut rest = slots;
    while !rest.is_empty() {
        let sizes: Vec<u32> = rest
            .iter()
            .map(|s| most_layers(engine, s.accelerator, tokens))
            .collect();
        let taken = members(engine.layers, &sizes);
        lay_out(engine.layers, &rest[..taken], &sizes[..taken], out);
        rest = &rest[taken..];
    }
}

/// How many of the endpoints one cover takes.
fn members(layers: u32, sizes: &[u32]) -> usize {
    let mut held = 0;
    for (i, size) in sizes.iter().enumerate() {
        held += size;
        if held >= layers {
            return i + 1;
        }
    }
    sizes.len()
}

/// Gives the members of one cover ranges one after the other.
///
/// What they could hold beyond the layers is left for requests, on all of them alike.
fn lay_out(layers: u32, slots: &[Slot<'_>], sizes: &[u32], out: &mut Vec<Placement>) {
    let held: u32 = sizes.iter().sum();
    let mut first = 0;
    let mut asked = 0;
    for (slot, size) in slots.iter().zip(sizes) {
        asked += size;
        let end = match held > layers {
            true => (f64::from(asked) * f64::from(layers) / f64::from(held)).round() as u32,
            false => asked,
        };
        let Some(range) = LayerRange::new(first, end.min(layers)) else {
            continue;
        };
        out.push(Placement {
            id: slot.candidate.id.clone(),
            layers: range,
        });
        first = range.end;
    }
}

/// Gives endpoints that hold nothing the ranges in which the others are weakest.
fn fill_gaps(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    let mut speed = vec![0.0; engine.layers as usize];
    let add = |speed: &mut Vec<f64>, accelerator: &Accelerator, range: LayerRange| {
        for layer in range.first..range.end.min(engine.layers) {
            speed[layer as usize] += 1.0 / accelerator.pace;
        }
    };
    for slot in slots {
        if let Some(range) = slot.candidate.holds {
            add(&mut speed, slot.accelerator, range);
        }
    }
    let tokens = room(engine, slots);
    for slot in slots.iter().filter(|s| s.candidate.holds.is_none()) {
        let size = most_layers(engine, slot.accelerator, tokens).min(engine.layers);
        let range = weakest(&speed, size);
        add(&mut speed, slot.accelerator, range);
        out.push(Placement {
            id: slot.candidate.id.clone(),
            layers: range,
        });
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
