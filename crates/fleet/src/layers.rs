//! Ranges of a model's layers.

use std::fmt;

/// A non-empty, half-open range of layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LayerRange {
    /// The first layer.
    pub first: u32,
    /// The layer after the last one. Invariant: `first < end`.
    pub end: u32,
}

impl LayerRange {
    /// Returns the range, or `None` if it is empty.
    pub fn new(first: u32, end: u32) -> Option<Self> {
        (first < end).then_some(Self { first, end })
    }

    /// Number of layers in the range.
    pub fn count(&self) -> u32 {
        self.end - self.first
    }

    /// Layers that are in both ranges, or `None` if there are none.
    pub fn intersection(self, other: Self) -> Option<Self> {
        Self::new(self.first.max(other.first), self.end.min(other.end))
    }

    /// Whether the range contains the layer.
    pub fn contains(&self, layer: u32) -> bool {
        (self.first..self.end).contains(&layer)
    }
}

/// Whether `ranges` together contain all layers of a model with `layers` layers.
pub fn cover_all_layers(layers: u32, ranges: impl Iterator<Item = LayerRange>) -> bool {
    let mut ranges: Vec<LayerRange> = ranges.collect();
    ranges.sort();
    let extend = |covered: u32, r: &LayerRange| match r.first <= covered {
        true => covered.max(r.end),
        false => covered,
    };
    ranges.iter().fold(0, extend) >= layers
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.end)
    }
}
