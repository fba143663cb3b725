//! The layout that a data centre would have if it were placed anew, with the minimum number of
//! layers to load.

use pathfinding::{kuhn_munkres::kuhn_munkres_min, matrix::Matrix};

use super::{Slot, covers};
use crate::{catalogue::Engine, layers::LayerRange};

/// The number of layers of a range that an endpoint would have to load.
pub(super) fn layers_to_load(held: Option<LayerRange>, range: LayerRange) -> u32 {
    let kept = held.and_then(|held| held.intersection(range));
    range.count() - kept.map_or(0, |k| k.count())
}

/// The layers that each slot would hold. Slots that are in no cover keep theirs.
pub(super) fn layout(
    engine: &Engine,
    slots: &[Slot<'_>],
    held: &[Option<LayerRange>],
) -> Vec<Option<LayerRange>> {
    let mut layout = held.to_vec();
    let planned = covers::cover_layout(engine, slots);
    for accelerator in &engine.accelerators {
        let of_kind = |i: &usize| slots[*i].accelerator.name == accelerator.name;
        let indices: Vec<usize> = (0..slots.len()).filter(of_kind).collect();
        let ranges = planned.iter().filter(|(i, _)| of_kind(i));
        let ranges: Vec<LayerRange> = ranges.map(|(_, range)| *range).collect();
        for (index, range) in min_load_assignment(&indices, &ranges, held) {
            layout[index] = Some(range);
        }
    }
    layout
}

/// Assigns ranges to endpoints of the same kind such that the number of layers to load is minimal.
fn min_load_assignment(
    indices: &[usize],
    ranges: &[LayerRange],
    held: &[Option<LayerRange>],
) -> Vec<(usize, LayerRange)> {
    if ranges.is_empty() {
        return Vec::new();
    }
    let cost = |(r, p): (usize, usize)| i64::from(layers_to_load(held[indices[p]], ranges[r]));
    let costs = Matrix::from_fn(ranges.len(), indices.len(), cost);
    let (_, chosen) = kuhn_munkres_min(&costs);
    let pairs = chosen.into_iter().zip(ranges);
    pairs.map(|(p, range)| (indices[p], *range)).collect()
}
