//! Ranges of a model's layers.

use std::fmt;

/// A range of layers, never empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LayerRange {
    /// The first layer.
    pub first: u32,
    /// The layer after the last one. Invariant: `first < end`.
    pub end: u32,
}

impl LayerRange {
    /// The range, unless it is empty.
    pub fn new(first: u32, end: u32) -> Option<Self> {
        (first < end).then_some(Self { first, end })
    }

    /// How many layers.
    pub fn count(&self) -> u32 {
        self.end - self.first
    }

    /// The layers that are in both, if there are any.
    pub fn intersection(self, other: Self) -> Option<Self> {
        Self::new(self.first.max(other.first), self.end.min(other.end))
    }

    /// Whether it has the layer.
    pub fn contains(&self, layer: u32) -> bool {
        (self.first..self.end).contains(&layer)
    }
}

/// Whether ranges hold all layers of a model between them.
pub fn hold_all(layers: u32, ranges: impl Iterator<Item = LayerRange>) -> bool {
    let mut ranges: Vec<LayerRange> = ranges.collect();
    ranges.sort();
    let reach = |reached: u32, r: &LayerRange| match r.first <= reached {
        true => reached.max(r.end),
        false => reached,
    };
    ranges.iter().fold(0, reach) >= layers
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.end)
    }
}
