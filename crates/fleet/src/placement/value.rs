//! The rate of requests that the endpoints of a data centre serve, by the layers that each holds.

use super::Slot;
use crate::{
    catalogue::Engine,
    chains::{self, ChainEstimate, LayerHolder},
    layers::LayerRange,
};

/// The value of a covered layer where there is no chain, in requests per second: next to nothing.
const COVERED_LAYER_VALUE: f64 = 0.001;
/// The gain of a further holder for a layer that nobody holds; for a layer with one holder the gain
/// is the slowdown factor of that holder.
const UNHELD_LAYER_GAIN: f64 = 1000.0;

/// One stage of a chain, run by a holder.
pub(super) struct ChainStage {
    /// Identifies the holder.
    pub(super) index: usize,
    pub(super) holding: LayerHolder,
    /// The layers that it runs.
    pub(super) layers: LayerRange,
}

/// The holders that are in no chain yet; no two chains share a holder.
pub(super) struct UnchainedHolders {
    indices: Vec<usize>,
    holdings: Vec<LayerHolder>,
}

impl UnchainedHolders {
    pub(super) fn new(holders: impl Iterator<Item = (usize, LayerHolder)>) -> Self {
        let (indices, holdings) = holders.unzip();
        Self { indices, holdings }
    }

    /// Removes the holders of the fastest remaining chain and returns it; `None` if there is no
    /// chain left.
    pub(super) fn remove_fastest_chain(&mut self, engine: &Engine) -> Option<Vec<ChainStage>> {
        let path = chains::cheapest_cover(engine, &self.holdings)?;
        let stage = |(i, layers): &(usize, LayerRange)| ChainStage {
            index: self.indices[*i],
            holding: self.holdings[*i],
            layers: *layers,
        };
        let chain = path.iter().map(stage).collect();
        let mut removed: Vec<usize> = path.iter().map(|(i, _)| *i).collect();
        removed.sort_unstable();
        for i in removed.into_iter().rev() {
            self.indices.remove(i);
            self.holdings.remove(i);
        }
        Some(chain)
    }
}

/// Whether a value is that of a data centre that has a chain.
pub(super) fn has_chain(engine: &Engine, value: f64) -> bool {
    value > COVERED_LAYER_VALUE * f64::from(engine.layers) + 1e-6
}

/// The speed of each layer, summed over all its holders.
pub(super) fn layer_speeds(
    engine: &Engine,
    slots: &[Slot<'_>],
    held: &[Option<LayerRange>],
) -> Vec<f64> {
    let mut layer_speeds = vec![0.0; engine.layers as usize];
    for (slot, range) in slots.iter().zip(held) {
        for layer in range.iter().flat_map(|r| r.first..r.end.min(engine.layers)) {
            layer_speeds[layer as usize] += 1.0 / slot.accelerator.step_factor;
        }
    }
    layer_speeds
}

/// The requests per second that a data centre serves with these layers, by chains that share no
/// endpoint. Each covered layer adds [`COVERED_LAYER_VALUE`], so that without a chain the value
/// rises the nearer the data centre is to having one.
pub(super) fn value(engine: &Engine, slots: &[Slot<'_>], held: &[Option<LayerRange>]) -> f64 {
    let holding = |(index, (slot, range)): (usize, (&Slot<'_>, &Option<LayerRange>))| {
        Some((index, LayerHolder::new(slot.accelerator, (*range)?)))
    };
    let holdings = slots.iter().zip(held).enumerate().filter_map(holding);
    let mut remaining = UnchainedHolders::new(holdings);
    let mut rate = 0.0;
    while let Some(chain) = remaining.remove_fastest_chain(engine) {
        let stages = chain.iter().map(|stage| (&stage.holding, stage.layers));
        rate += ChainEstimate::new(engine, stages).requests_per_s(engine);
    }
    let covered = layer_speeds(engine, slots, held)
        .iter()
        .filter(|s| **s > 0.0)
        .count();
    rate + COVERED_LAYER_VALUE * covered as f64
}

/// The range of `size` layers that gains most from a further holder.
pub(super) fn weakest_range(speed: &[f64], size: u32) -> LayerRange {
    let gain: Vec<f64> = speed
        .iter()
        .map(|s| if *s > 0.0 { 1.0 / s } else { UNHELD_LAYER_GAIN })
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
