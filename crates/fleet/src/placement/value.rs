//! What the endpoints of a data centre serve, by the layers that each holds.

use super::Slot;
use crate::{
    catalogue::Engine,
    chains::{self, ChainEstimate, LayerHolder},
    layers::LayerRange,
};

/// What a covered layer is worth where there is no chain, in requests a second: next to nothing.
const COVERED_WEIGHT: f64 = 0.001;
/// A layer that nobody holds weighs as much as this many that only a slow endpoint holds.
const UNHELD: f64 = 1000.0;

/// A holder's part of a chain.
pub(super) struct ChainPart {
    /// Names the holder.
    pub(super) place: usize,
    pub(super) holding: LayerHolder,
    /// The layers that it runs.
    pub(super) layers: LayerRange,
}

/// Holders that are part of no chain yet, of chains that share no holder.
pub(super) struct Remaining {
    places: Vec<usize>,
    holdings: Vec<LayerHolder>,
}

impl Remaining {
    pub(super) fn new(holders: impl Iterator<Item = (usize, LayerHolder)>) -> Self {
        let (places, holdings) = holders.unzip();
        Self { places, holdings }
    }

    /// The fastest chain of those that remain, without which the rest remains.
    pub(super) fn take_chain(&mut self, engine: &Engine) -> Option<Vec<ChainPart>> {
        let path = chains::cheapest_cover(engine, &self.holdings)?;
        let part = |(i, layers): &(usize, LayerRange)| ChainPart {
            place: self.places[*i],
            holding: self.holdings[*i],
            layers: *layers,
        };
        let chain = path.iter().map(part).collect();
        let mut taken: Vec<usize> = path.iter().map(|(i, _)| *i).collect();
        taken.sort_unstable();
        for i in taken.into_iter().rev() {
            self.places.remove(i);
            self.holdings.remove(i);
        }
        Some(chain)
    }
}

/// Whether a value is that of a data centre that has a chain.
pub(super) fn has_chain(engine: &Engine, value: f64) -> bool {
    value > COVERED_WEIGHT * f64::from(engine.layers) + 1e-6
}

/// The speed at which each layer is held, over all its holders.
pub(super) fn speeds(engine: &Engine, slots: &[Slot<'_>], held: &[Option<LayerRange>]) -> Vec<f64> {
    let mut speeds = vec![0.0; engine.layers as usize];
    for (slot, range) in slots.iter().zip(held) {
        for layer in range.iter().flat_map(|r| r.first..r.end.min(engine.layers)) {
            speeds[layer as usize] += 1.0 / slot.accelerator.step_factor;
        }
    }
    speeds
}

/// What a data centre serves in a second with such holdings, by chains that share no endpoint;
/// where there is none, the more the nearer it is to having one.
pub(super) fn value(engine: &Engine, slots: &[Slot<'_>], held: &[Option<LayerRange>]) -> f64 {
    let holding = |(place, (slot, range)): (usize, (&Slot<'_>, &Option<LayerRange>))| {
        Some((place, LayerHolder::new(slot.accelerator, (*range)?)))
    };
    let holdings = slots.iter().zip(held).enumerate().filter_map(holding);
    let mut remaining = Remaining::new(holdings);
    let mut rate = 0.0;
    while let Some(chain) = remaining.take_chain(engine) {
        let parts = chain.iter().map(|part| (&part.holding, part.layers));
        rate += ChainEstimate::new(engine, parts).requests_per_s(engine);
    }
    let covered = speeds(engine, slots, held)
        .iter()
        .filter(|s| **s > 0.0)
        .count();
    rate + COVERED_WEIGHT * covered as f64
}

/// The range of `size` layers that gains most from another holder.
pub(super) fn weakest(speed: &[f64], size: u32) -> LayerRange {
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
