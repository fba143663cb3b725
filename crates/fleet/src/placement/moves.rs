//! Which layers empty endpoints load, and which loaded endpoints move.
//!
//! A choice is evaluated by the requests that its data centre serves until [`HORIZON_S`] from now:
//! with the layers that the endpoint keeps while it loads, and with the whole range after that. So
//! a gap is closed by the neighbour that has the fewest layers to load, where a far better range
//! would take seconds without a chain.
//!
//! Beside single choices there is the layout that the data centre would have if it were placed
//! anew. Where that serves much more, endpoints move towards it, one after the other while there is
//! a chain.

use super::{
    Placement, Slot,
    covers::MIN_REQUESTS,
    max_layers, request_tokens,
    target::{self, layers_to_load},
    value::{has_chain, layer_speeds, value, weakest_range},
};
use crate::{catalogue::Engine, layers::LayerRange};

/// How long a placement is expected to last, in seconds: in the worst case endpoints come and go
/// about every ten seconds, and a placement serves until its own endpoints go.
const HORIZON_S: f64 = 15.0;
/// The number of requests for which an endpoint that joins keeps memory.
const TYPICAL_REQUESTS: f64 = 32.0;
/// The minimum ratio of the requests served with a load to those without it, for a range to be
/// chosen by the requests served.
const MIN_LOAD_GAIN: f64 = 1.02;
/// The minimum ratio of the requests served with a move to those without it, for a loaded endpoint
/// to move. It leaves a margin, as the expected rate of chains is only an estimate.
const MIN_MOVE_GAIN: f64 = 1.25;
/// The maximum number of moves at once where no chain is left.
const MAX_MOVES: usize = 6;
/// The minimum share of what is served now that must still be served during a step towards a better
/// layout.
const MIN_STEP_RATIO: f64 = 0.9;

/// A range for an endpoint, and the requests that its data centre serves with it until the horizon.
#[derive(Debug, Clone, Copy)]
struct RangeChoice {
    range: LayerRange,
    served: f64,
}

/// The endpoints of a data centre (or one cell of it) and what each holds, loads or is to load.
struct DataCentreLayers<'a> {
    engine: &'a Engine,
    slots: &'a [Slot<'a>],
    held: Vec<Option<LayerRange>>,
}

impl<'a> DataCentreLayers<'a> {
    /// Starts with the layers that each slot holds, or was assigned before in `out`.
    fn new(engine: &'a Engine, slots: &'a [Slot<'a>], out: &[Placement]) -> Self {
        let placed = |s: &Slot<'_>| {
            out.iter()
                .find(|p| p.id == s.candidate.id)
                .map(|p| p.layers)
        };
        let held = slots
            .iter()
            .map(|s| s.candidate.held_layers.or_else(|| placed(s)))
            .collect();
        Self {
            engine,
            slots,
            held,
        }
    }

    /// The value of the current layers, in requests per second.
    fn value(&self) -> f64 {
        value(self.engine, self.slots, &self.held)
    }

    /// The value if a slot holds other layers, in requests per second.
    fn value_with(&mut self, slot: usize, range: Option<LayerRange>) -> f64 {
        let before = std::mem::replace(&mut self.held[slot], range);
        let value = self.value();
        self.held[slot] = before;
        value
    }

    /// How long a slot takes to load the layers of a range that it does not hold, in seconds.
    fn load_s(&self, slot: usize, range: LayerRange) -> f64 {
        let layers_to_load = layers_to_load(self.held[slot], range);
        self.engine.load_s * f64::from(layers_to_load) / f64::from(self.engine.layers)
    }

    /// The requests served until the horizon if a slot loads a range from now on; `None` if that
    /// can't exceed `min_served`.
    fn served_with(
        &mut self,
        slot: usize,
        range: LayerRange,
        current_rate: f64,
        min_served: f64,
    ) -> Option<f64> {
        let kept = self.held[slot].and_then(|held| held.intersection(range));
        let load_s = self.load_s(slot, range).min(HORIZON_S);
        let after = self.value_with(slot, Some(range)) * (HORIZON_S - load_s);
        // During the load no more is served than before it.
        if after + current_rate * load_s <= min_served {
            return None;
        }
        let during = match kept == self.held[slot] {
            true => current_rate,
            false => self.value_with(slot, kept),
        };
        Some(after + during * load_s)
    }

    /// The range for a slot that serves most, if that is more than `min_served`.
    fn best_range(
        &mut self,
        slot: usize,
        current_rate: f64,
        min_served: f64,
        requests: f64,
    ) -> Option<RangeChoice> {
        let mut best: Option<RangeChoice> = None;
        for range in self.ranges(slot, requests) {
            let min_served = best.map_or(min_served, |b| b.served) + 1e-9;
            if let Some(served) = self.served_with(slot, range, current_rate, min_served)
                && served > min_served
            {
                best = Some(RangeChoice { range, served });
            }
        }
        best
    }

    /// The ranges that a slot may hold: their ends are those of other holders' ranges, or they are
    /// as large as the memory allows.
    fn ranges(&self, slot: usize, requests: f64) -> Vec<LayerRange> {
        let tokens = requests * request_tokens(self.engine);
        let accelerator = self.slots[slot].accelerator;
        let max_size = max_layers(self.engine, accelerator, tokens).min(self.engine.layers);
        let mut bounds: Vec<u32> = vec![0, self.engine.layers];
        for (i, range) in self.held.iter().enumerate() {
            if let Some(range) = range.filter(|_| i != slot) {
                bounds.extend([range.first, range.end]);
            }
        }
        bounds.sort_unstable();
        bounds.dedup();
        let mut ranges: Vec<LayerRange> = Vec::new();
        for (i, &first) in bounds.iter().enumerate() {
            for &end in &bounds[i + 1..] {
                match end - first <= max_size {
                    true => ranges.extend(LayerRange::new(first, end)),
                    false => {
                        // As many layers of a longer stretch as fit, from either end of it.
                        ranges.extend(LayerRange::new(first, first + max_size));
                        ranges.extend(LayerRange::new(end - max_size, end));
                        break;
                    }
                }
            }
        }
        ranges.retain(|r| self.held[slot] != Some(*r));
        ranges
    }

    /// The layout as if placed anew, and the requests served until the horizon during and after the
    /// change to it.
    fn target(&self, current_rate: f64) -> TargetLayout {
        let layout = target::layout(self.engine, self.slots, &self.held);
        let differing = |i: &usize| layout[*i] != self.held[*i];
        let differing_slots: Vec<usize> = (0..self.slots.len()).filter(differing).collect();
        let loads = differing_slots
            .iter()
            .filter_map(|&i| Some(self.load_s(i, layout[i]?)));
        let load_s = match has_chain(self.engine, current_rate) {
            // Moves are made one after the other while there is a chain, otherwise all at once.
            true => loads.sum::<f64>(),
            false => {
                let load_factor = differing_slots.len() as f64 / self.engine.concurrent_loads;
                loads.fold(0.0, f64::max) * load_factor.max(1.0)
            }
        };
        let load_s = load_s.min(HORIZON_S);
        let after = value(self.engine, self.slots, &layout);
        TargetLayout {
            served: current_rate * load_s + after * (HORIZON_S - load_s),
            layout,
            differing_slots,
        }
    }

    fn may_move(&self, slot: usize) -> bool {
        !self.slots[slot].candidate.loading
    }
}

/// A layout and the slots that differ from it.
struct TargetLayout {
    layout: Vec<Option<LayerRange>>,
    differing_slots: Vec<usize>,
    served: f64,
}

/// Assigns layers to empty endpoints: those of the layout as if placed anew if that serves most,
/// those with which the data centre serves most if this endpoint alone is changed, or else those in
/// which it is weakest.
pub(super) fn fill_gaps(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    let mut data_centre = DataCentreLayers::new(engine, slots, out);
    for (i, slot) in slots.iter().enumerate() {
        if data_centre.held[i].is_some() || slot.candidate.loading {
            continue;
        }
        let current_rate = data_centre.value();
        let min_served = current_rate * HORIZON_S * MIN_LOAD_GAIN;
        let single = data_centre.best_range(i, current_rate, min_served, MIN_REQUESTS);
        let served = single.map_or(min_served, |c| c.served);
        let target = data_centre.target(current_rate);
        let planned = target.layout[i].filter(|_| target.served > served);
        let range = planned
            .or(single.map(|c| c.range))
            .unwrap_or_else(|| range_by_weakness(&data_centre, i));
        data_centre.held[i] = Some(range);
        out.push(Placement {
            id: slot.candidate.id.clone(),
            layers: range,
        });
    }
}

/// The layers in which a data centre is weakest, as many as leave capacity for
/// [`TYPICAL_REQUESTS`].
fn range_by_weakness(data_centre: &DataCentreLayers<'_>, slot: usize) -> LayerRange {
    let engine = data_centre.engine;
    let accelerator = data_centre.slots[slot].accelerator;
    let tokens = TYPICAL_REQUESTS * request_tokens(engine);
    let max_size = engine.max_layers(accelerator).max(1);
    let size = max_layers(engine, accelerator, tokens).min(max_size);
    let layer_speeds = layer_speeds(engine, data_centre.slots, &data_centre.held);
    weakest_range(&layer_speeds, size.min(engine.layers))
}

/// Moves loaded endpoints where a data centre then serves much more.
///
/// Where no chain is left several endpoints may move at once, as there is nothing to lose.
/// Otherwise one moves at a time, and only when no endpoint is loading.
pub(super) fn plan_moves(engine: &Engine, slots: &[Slot<'_>], out: &mut Vec<Placement>) {
    let mut data_centre = DataCentreLayers::new(engine, slots, out);
    let loading = slots.iter().any(|s| s.candidate.loading);
    for _ in 0..MAX_MOVES {
        let current_rate = data_centre.value();
        let chosen = match has_chain(engine, current_rate) {
            true if loading => return,
            true => improve(&mut data_centre, current_rate),
            false => repair(&mut data_centre, current_rate),
        };
        for &(i, range) in &chosen {
            data_centre.held[i] = Some(range);
            out.retain(|p| p.id != slots[i].candidate.id);
            out.push(Placement {
                id: slots[i].candidate.id.clone(),
                layers: range,
            });
        }
        if chosen.len() != 1 || has_chain(engine, current_rate) {
            return;
        }
    }
}

/// The move of a data centre that has a chain: at most one endpoint, towards the layout as if
/// placed anew.
fn improve(data_centre: &mut DataCentreLayers<'_>, current_rate: f64) -> Vec<(usize, LayerRange)> {
    let target = data_centre.target(current_rate);
    if target.served <= current_rate * HORIZON_S * MIN_MOVE_GAIN {
        return Vec::new();
    }
    let min_served = current_rate * HORIZON_S * MIN_STEP_RATIO;
    let mut best: Option<(usize, RangeChoice)> = None;
    for &i in &target.differing_slots {
        let Some(range) = target.layout[i].filter(|_| data_centre.may_move(i)) else {
            continue;
        };
        let min_served = best.map_or(min_served, |(_, c)| c.served);
        if let Some(served) = data_centre.served_with(i, range, current_rate, min_served)
            && served > min_served
        {
            best = Some((i, RangeChoice { range, served }));
        }
    }
    best.map(|(i, c)| (i, c.range)).into_iter().collect()
}

/// The moves of a data centre without a chain: one endpoint that restores a chain or comes nearer
/// to one, or all that differ from the layout as if placed anew.
fn repair(data_centre: &mut DataCentreLayers<'_>, current_rate: f64) -> Vec<(usize, LayerRange)> {
    let min_served = current_rate * HORIZON_S;
    let single = best_move(data_centre, current_rate, min_served, TYPICAL_REQUESTS);
    let single = single.or_else(|| best_move(data_centre, current_rate, min_served, MIN_REQUESTS));
    let target = data_centre.target(current_rate);
    if target.served <= single.map_or(min_served, |(_, c)| c.served) {
        return single.map(|(i, c)| (i, c.range)).into_iter().collect();
    }
    let differing_slots = target
        .differing_slots
        .iter()
        .filter(|i| data_centre.may_move(**i));
    differing_slots
        .filter_map(|&i| Some((i, target.layout[i]?)))
        .collect()
}

/// The move that serves most, if that is more than `min_served`.
fn best_move(
    data_centre: &mut DataCentreLayers<'_>,
    current_rate: f64,
    min_served: f64,
    requests: f64,
) -> Option<(usize, RangeChoice)> {
    let mut best: Option<(usize, RangeChoice)> = None;
    for i in 0..data_centre.slots.len() {
        if !data_centre.may_move(i) || data_centre.held[i].is_none() {
            continue;
        }
        let min_served = best.map_or(min_served, |(_, c)| c.served);
        if let Some(choice) = data_centre.best_range(i, current_rate, min_served, requests) {
            best = Some((i, choice));
        }
    }
    best
}
