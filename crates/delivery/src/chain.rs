//! Chains: the assignment of a model's layers to endpoints.

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire;
use serde::{Deserialize, Serialize};

/// One endpoint of a chain and the layers that it runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers that the endpoint runs.
    pub layers: wire::Layers,
}

/// Stages that together run a contiguous range of layers.
///
/// Invariant: each stage starts at the layer at which the previous stage ends; no stage is empty.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Chain {
    stages: Vec<Stage>,
}

/// The error for stages that do not cover the requested layers exactly once, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotACover {
    /// The first layer that is missing or covered twice.
    pub layer: u32,
}

impl Chain {
    /// Makes a chain of `stages`.
    ///
    /// # Errors
    /// [`NotACover`] unless `stages` cover `layers` exactly once, in order.
    pub fn new(layers: wire::Layers, stages: Vec<Stage>) -> Result<Self, NotACover> {
        let mut next = layers.first;
        for stage in &stages {
            if stage.layers.first != next || stage.layers.end <= next {
                return Err(NotACover { layer: next });
            }
            next = stage.layers.end;
        }
        if next != layers.end {
            return Err(NotACover { layer: next });
        }
        Ok(Self { stages })
    }

    /// The stages, in the order of their layers.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Replaces stage `at` by the stages of `replacement`.
    ///
    /// # Errors
    /// [`NotACover`] unless `replacement` covers the layers of stage `at`; the chain is unchanged.
    pub fn replace(&mut self, at: usize, replacement: Self) -> Result<(), NotACover> {
        let layers = self.stages[at].layers;
        let replacement = Self::new(layers, replacement.stages)?;
        self.stages.splice(at..=at, replacement.stages);
        Ok(())
    }
}
