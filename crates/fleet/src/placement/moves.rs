//! What endpoints load that hold nothing, and which loaded ones move.
//!
//! A choice is judged by the requests that its data centre serves until [`HORIZON_S`] from now: with
//! what the endpoint keeps while it loads, and with the whole range from then on. So a gap is closed
//! by the neighbour that has the fewest layers to load, where a far better range would take seconds
//! in which there is no chain.
//!
//! Beside single choices there is the layout that the data centre would have if it were placed anew:
//! where that serves much more, endpoints move towards it, one after the other while there is a chain.

use super::{
    Placement, Slot,
    covers::FEWEST_REQUESTS,
    most_layers, request_tokens,
    target::{self, new_layers},
    value::{has_chain, speeds, value, weakest},
};
use crate::{catalogue::Engine, layers::LayerRange};

/// How long a placement is expected to last, in seconds: on bad days endpoints come and go every ten
/// seconds or so, and what is placed serves on until its own endpoints go.
const HORIZON_S: f64 = 15.0;
/// Requests for which an endpoint that joins keeps memory.
const USUAL_REQUESTS: f64 = 32.0;
/// How many times more a data centre must serve for layers to be chosen by that.
const WORTH_A_LOAD: f64 = 1.02;
/// How many times more a data centre must serve for a loaded endpoint to move: what is expected of
/// chains is not what they serve to the last request.
const WORTH_A_MOVE: f64 = 1.25;
/// The most moves at once where no chain is left.
const MOST_MOVES: usize = 6;
/// The part of what is served now that must still be served during a step towards a better layout.
const STEP_KEEPS: f64 = 0.9;

/// A range for an endpoint, and the requests that its data centre serves with it.
#[derive(Debug, Clone, Copy)]
struct Choice {
    range: LayerRange,
    served: f64,
}

/// The endpoints of a data centre and what each holds, loads or is to load.
struct Centre<'a> {
    engine: &'a Engine,
    slots: &'a [Slot<'a>],
    held: Vec<Option<LayerRange>>,
}

impl<'a> Centre<'a> {
    /// What each slot holds, or was given before in `out`.
    fn new(engine: &'a Engine, slots: &'a [Slot<'a>], out: &[Placement]) -> Self {
        let placed = |s: &Slot<'_>| {
            out.iter()
                .find(|p| p.id == s.candidate.id)
                .map(|p| p.layers)
        };
        let held = slots
            .iter()
            .map(|s| s.candidate.holds.or_else(|| placed(s)))
            .collect();
        Self {
            engine,
            slots,
            held,
        }
    }

    /// What is served in a second as things are.
    fn value(&self) -> f64 {
        value(self.engine, self.slots, &self.held)
    }

    /// What is served in a second if a slot holds other layers.
    fn value_with(&mut self, slot: usize, range: Option<LayerRange>) -> f64 {
        let before = std::mem::replace(&mut self.held[slot], range);
        let value = self.value();
        self.held[slot] = before;
        value
    }

    /// How long a slot takes to load what it does not hold of a range, in seconds.
    fn load_s(&self, slot: usize, range: LayerRange) -> f64 {
        let new_layers = new_layers(self.held[slot], range);
        self.engine.load_s * f64::from(new_layers) / f64::from(self.engine.layers)
    }

    /// What is served until the horizon if a slot loads a range from now on; `None` if that can't
    /// be more than `least`.
    fn served(&mut self, slot: usize, range: LayerRange, now: f64, least: f64) -> Option<f64> {
        let kept = self.held[slot].and_then(|held| held.intersection(range));
        let load_s = self.load_s(slot, range).min(HORIZON_S);
        let after = self.value_with(slot, Some(range)) * (HORIZON_S - load_s);
        // While it loads, no more is served than before.
        if after + now * load_s <= least {
            return None;
        }
        let during = match kept == self.held[slot] {
            true => now,
            false => self.value_with(slot, kept),
        };
        Some(after + during * load_s)
    }

    /// The range for a slot with which most is served, if that is more than `least`.
    fn best(&mut self, slot: usize, now: f64, least: f64, requests: f64) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        for range in self.ranges(slot, requests) {
            let least = best.map_or(least, |b| b.served) + 1e-9;
            if let Some(served) = self.served(slot, range, now, least)
                && served > least
            {
                best = Some(Choice { range, served });
            }
        }
        best
    }

    /// The ranges that a slot may hold: they begin and end where other holders' do, or are as large
    /// as the memory allows.
    fn ranges(&self, slot: usize, requests: f64) -> Vec<LayerRange> {
        let tokens = requests * request_tokens(self.engine);
        let accelerator = self.slots[slot].accelerator;
        let most = most_layers(self.engine, accelerator, tokens).min(self.engine.layers);
        let mut ends: Vec<u32> = vec![0, self.engine.layers];
        for (i, range) in self.held.iter().enumerate() {
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
        ranges.retain(|r| self.held[slot] != Some(*r));
        ranges
    }

    /// The layout as if placed anew, and what is served until the horizon on the way to it.
    fn target(&self, now: f64) -> Target {
        let layout = target::layout(self.engine, self.slots, &self.held);
        let differing = |i: &usize| layout[*i] != self.held[*i];
        let steps: Vec<usize> = (0..self.slots.len()).filter(differing).collect();
        let loads = steps
            .iter()
            .filter_map(|&i| Some(self.load_s(i, layout[i]?)));
        let load_s = match has_chain(self.engine, now) {
            // One after the other, or all at once.
            true => loads.sum::<f64>(),
            false => {
                let crowd = steps.len() as f64 / self.engine.concurrent_loads;
                loads.fold(0.0, f64::max) * crowd.max(1.0)
            }
        };
        let load_s = load_s.min(HORIZON_S);
        let after = value(self.engine, self.slots, &layout);
        Target {
            served: now * load_s + after * (HORIZON_S - load_s),
            layout,
            steps,
        }
    }

    fn still(&self, slot: usize) -> bool {
        !self.slots[slot].candidate.loading
    }
}

/// A layout and the slots that differ from it.
struct Target {
    layout: Vec<Option<LayerRange>>,
    steps: Vec<usize>,
    served: f64,
}

/// Gives endpoints that hold nothing layers: those of the layout as if placed anew if that serves
/// most, those that let the data centre serve most by themselves, or else those in which it is
/// weakest.
pub(super) fn fill_gaps(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    let mut centre = Centre::new(engine, slots, out);
    for (i, slot) in slots.iter().enumerate() {
        if centre.held[i].is_some() || slot.candidate.loading {
            continue;
        }
        let now = centre.value();
        let least = now * HORIZON_S * WORTH_A_LOAD;
        let alone = centre.best(i, now, least, FEWEST_REQUESTS);
        let served = alone.map_or(least, |c| c.served);
        let target = centre.target(now);
        let planned = target.layout[i].filter(|_| target.served > served);
        let range = planned
            .or(alone.map(|c| c.range))
            .unwrap_or_else(|| by_weakness(&centre, i));
        centre.held[i] = Some(range);
        out.push(Placement {
            id: slot.candidate.id.clone(),
            layers: range,
        });
    }
}

/// The layers in which a data centre is weakest, as many as leave the usual room for requests.
fn by_weakness(centre: &Centre<'_>, slot: usize) -> LayerRange {
    let engine = centre.engine;
    let accelerator = centre.slots[slot].accelerator;
    let tokens = USUAL_REQUESTS * request_tokens(engine);
    let most = engine.max_layers(accelerator).max(1);
    let size = most_layers(engine, accelerator, tokens).min(most);
    let speeds = speeds(engine, centre.slots, &centre.held);
    weakest(&speeds, size.min(engine.layers))
}

/// Moves of loaded endpoints with which a data centre serves much more.
///
/// Where no chain is left several endpoints may move at once, as there is nothing to lose; else
/// one at a time, and only when nothing loads any more.
pub(super) fn moves(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    let mut centre = Centre::new(engine, slots, out);
    let loading = slots.iter().any(|s| s.candidate.loading);
    for _ in 0..MOST_MOVES {
        let now = centre.value();
        let chosen = match has_chain(engine, now) {
            true if loading => return,
            true => improve(&mut centre, now),
            false => repair(&mut centre, now),
        };
        for &(i, range) in &chosen {
            centre.held[i] = Some(range);
            out.retain(|p| p.id != slots[i].candidate.id);
            out.push(Placement {
                id: slots[i].candidate.id.clone(),
                layers: range,
            });
        }
        if chosen.len() != 1 || has_chain(engine, now) {
            return;
        }
    }
}

/// What a data centre that has a chain moves: one endpoint towards the layout as if placed anew, or
/// none.
fn improve(centre: &mut Centre<'_>, now: f64) -> Vec<(usize, LayerRange)> {
    let target = centre.target(now);
    if target.served <= now * HORIZON_S * WORTH_A_MOVE {
        return Vec::new();
    }
    let least = now * HORIZON_S * STEP_KEEPS;
    let mut best: Option<(usize, Choice)> = None;
    for &i in &target.steps {
        let Some(range) = target.layout[i].filter(|_| centre.still(i)) else {
            continue;
        };
        let least = best.map_or(least, |(_, c)| c.served);
        if let Some(served) = centre.served(i, range, now, least)
            && served > least
        {
            best = Some((i, Choice { range, served }));
        }
    }
    best.map(|(i, c)| (i, c.range)).into_iter().collect()
}

/// What a data centre without a chain moves: one endpoint that brings it back or nearer to it, or
/// all that differ from the layout as if placed anew.
fn repair(centre: &mut Centre<'_>, now: f64) -> Vec<(usize, LayerRange)> {
    let least = now * HORIZON_S;
    let alone = best_move(centre, now, least, USUAL_REQUESTS);
    let alone = alone.or_else(|| best_move(centre, now, least, FEWEST_REQUESTS));
    let target = centre.target(now);
    if target.served <= alone.map_or(least, |(_, c)| c.served) {
        return alone.map(|(i, c)| (i, c.range)).into_iter().collect();
    }
    let steps = target.steps.iter().filter(|i| centre.still(**i));
    steps
        .filter_map(|&i| Some((i, target.layout[i]?)))
        .collect()
}

/// The move with which most is served, if that is more than `least`.
fn best_move(
    centre: &mut Centre<'_>,
    now: f64,
    least: f64,
    requests: f64,
) -> Option<(usize, Choice)> {
    let mut best: Option<(usize, Choice)> = None;
    for i in 0..centre.slots.len() {
        if !centre.still(i) || centre.held[i].is_none() {
            continue;
        }
        let least = best.map_or(least, |(_, c)| c.served);
        if let Some(choice) = centre.best(i, now, least, requests) {
            best = Some((i, choice));
        }
    }
    best
}
