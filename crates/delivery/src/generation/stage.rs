//! The state of each stage of a running chain.

use dragonflyrill_engines::wire;

use crate::chain::Stage;

/// The kept inputs of one stage, for a contiguous range of positions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Inputs {
    /// The first position whose input is kept.
    pub(super) from: u32,
    /// The inputs of the positions starting at `from`.
    pub(super) values: Vec<u64>,
}

impl Inputs {
    pub(super) fn starting_at(from: u32) -> Self {
        Self {
            from,
            values: Vec::new(),
        }
    }

    /// One past the last position whose input is kept.
    pub(super) fn end(&self) -> u32 {
        self.from + self.values.len() as u32
    }

    /// The inputs starting at `position`, which is a kept position or the end.
    pub(super) fn tail_from(&self, position: u32) -> &[u64] {
        &self.values[(position - self.from) as usize..]
    }

    /// Drops the inputs of the positions before `position`.
    pub(super) fn drop_before(&mut self, position: u32) {
        let position = position.clamp(self.from, self.end());
        self.values.drain(..(position - self.from) as usize);
        self.from = position;
    }
}

/// One stage of the running chain.
///
/// Invariants: the endpoint's KV cache held the positions before `cache_end` when it last answered;
/// `cache_end <= forwarded <= inputs.end()`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StageState {
    pub(super) stage: Stage,
    pub(super) inputs: Inputs,
    pub(super) cache_end: u32,
    /// One past the last position whose output was forwarded to the next stage or released.
    pub(super) forwarded: u32,
    /// The incarnation of the endpoint whose KV cache ends at `cache_end`; `None` if unknown.
    pub(super) incarnation: Option<u64>,
    /// The newest checkpoint. It covers exactly the stage's layers.
    pub(super) checkpoint: Option<wire::KvCheckpoint>,
    /// Whether the checkpoint has to be imported before the next step.
    pub(super) import_pending: bool,
}

impl StageState {
    pub(super) fn new(stage: Stage, inputs: Inputs) -> Self {
        Self {
            stage,
            cache_end: inputs.from,
            forwarded: inputs.from,
            inputs,
            incarnation: None,
            checkpoint: None,
            import_pending: false,
        }
    }

    /// Whether the kept inputs are enough to rebuild the stage's KV cache from an empty one.
    pub(super) fn has_all_inputs(&self) -> bool {
        self.inputs.from == 0
    }

    /// The checkpoint, if the inputs that follow it are kept, there is at least one of them, and
    /// the outputs of all its positions were forwarded: they can't be computed from the checkpoint.
    pub(super) fn usable_checkpoint(&self) -> Option<&wire::KvCheckpoint> {
        let checkpoint = self.checkpoint.as_ref()?;
        let follows = self.inputs.from..self.inputs.end();
        let usable =
            follows.contains(&checkpoint.position) && checkpoint.position <= self.forwarded;
        usable.then_some(checkpoint)
    }

    /// Whether the stage's KV cache can be rebuilt at another endpoint.
    pub(super) fn can_rebuild(&self) -> bool {
        self.has_all_inputs() || self.usable_checkpoint().is_some()
    }

    /// Stores a checkpoint if it is of this stage's layers, newer than the stored one, and its
    /// position is within the kept inputs.
    pub(super) fn keep_checkpoint(&mut self, checkpoint: wire::KvCheckpoint) {
        let layers = self.stage.layers;
        let fits = checkpoint.layers == layers
            && checkpoint.state.len() == layers.range().len()
            && (self.inputs.from..=self.inputs.end()).contains(&checkpoint.position);
        let old = self.checkpoint.as_ref().map_or(0, |c| c.position);
        if fits && checkpoint.position > old {
            self.checkpoint = Some(checkpoint);
        }
    }

    /// Prepares the stage for an endpoint with an empty KV cache, which is to be filled by an
    /// import of `checkpoint` or, without one, by running the kept inputs.
    pub(super) fn rebuild(&mut self, checkpoint: Option<wire::KvCheckpoint>) {
        self.incarnation = None;
        self.cache_end = checkpoint.as_ref().map_or(self.inputs.from, |c| c.position);
        self.import_pending = checkpoint.is_some();
        self.checkpoint = checkpoint;
    }

    /// The slice of the stage's usable checkpoint that covers `layers`.
    pub(super) fn slice_checkpoint(&self, layers: wire::Layers) -> Option<wire::KvCheckpoint> {
        let full = self.usable_checkpoint()?;
        let first = (layers.first - full.layers.first) as usize;
        let state = full.state[first..first + layers.range().len()].to_vec();
        Some(wire::KvCheckpoint {
            layers,
            state,
            ..full.clone()
        })
    }
}
