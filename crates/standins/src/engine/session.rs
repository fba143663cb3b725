//! The session of a request: its KV cache and the results of its steps.

use std::sync::Arc;

use dragonflyrill_engines::wire;
use rustc_hash::FxHashMap;

use crate::reference;

/// The id of a step within its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct StepId {
    pub(super) attempt: u32,
    pub(super) start: u32,
}

impl StepId {
    pub(super) fn of(step: &wire::Step) -> Self {
        Self {
            attempt: step.attempt,
            start: step.start,
        }
    }
}

/// The result of a step that ran, kept to answer retries of the step.
#[derive(Debug, Clone)]
pub(super) struct StepOutput {
    pub(super) outputs: Vec<u64>,
    pub(super) cached: u32,
}

/// The copies of one step that are queued or running.
#[derive(Debug, Clone, Copy)]
struct Pending {
    /// The position after the last one of the step.
    end: u32,
    copies: u32,
}

/// The KV cache of one request over a range of layers.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) request: Arc<str>,
    pub(super) layers: wire::Layers,
    /// The newest attempt that was received; older ones are refused.
    pub(super) newest_attempt: u32,
    /// The attempt of the last step that ran, or of the imported checkpoint.
    pub(super) ran_attempt: u32,
    /// The position after the last one that ran.
    pub(super) position: u32,
    /// One KV state for each of `layers`.
    pub(super) states: Vec<u64>,
    pub(super) last_used_ms: u64,
    /// Results of steps of the attempt `ran_attempt` only.
    results: FxHashMap<StepId, StepOutput>,
    pending: FxHashMap<StepId, Pending>,
}

impl Session {
    /// Creates an empty session for a request whose first step is `step`.
    pub(super) fn new(step: &wire::Step, now_ms: u64) -> Self {
        Self {
            request: step.request.as_str().into(),
            layers: step.layers,
            newest_attempt: step.attempt,
            ran_attempt: step.attempt,
            position: 0,
            states: reference::initial_states(&step.model, step.layers.first, step.layers.end),
            last_used_ms: now_ms,
            results: FxHashMap::default(),
            pending: FxHashMap::default(),
        }
    }

    /// Creates a session that continues from a checkpoint.
    pub(super) fn import(checkpoint: &wire::KvCheckpoint, now_ms: u64) -> Self {
        Self {
            request: checkpoint.request.as_str().into(),
            layers: checkpoint.layers,
            newest_attempt: checkpoint.attempt,
            ran_attempt: checkpoint.attempt,
            position: checkpoint.position,
            states: checkpoint.state.clone(),
            last_used_ms: now_ms,
            results: FxHashMap::default(),
            pending: FxHashMap::default(),
        }
    }

    pub(super) fn export(&self, model: &str) -> wire::KvCheckpoint {
        wire::KvCheckpoint {
            request: self.request.as_ref().to_owned(),
            attempt: self.ran_attempt,
            model: model.to_owned(),
            layers: self.layers,
            position: self.position,
            state: self.states.clone(),
        }
    }

    /// The result of a step, if it ran in this session.
    pub(super) fn result_of(&self, id: StepId) -> Option<&StepOutput> {
        self.results.get(&id)
    }

    /// Whether a copy of the step is queued or running.
    pub(super) fn is_pending(&self, id: StepId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Whether no step of this session is queued or running.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// The position at which the session ends when all pending steps of `attempt` have run.
    pub(super) fn end_of_pending(&self, attempt: u32) -> u32 {
        let pending = self.pending.iter().filter(|(id, _)| id.attempt == attempt);
        pending
            .map(|(_, pending)| pending.end)
            .fold(self.position, u32::max)
    }

    pub(super) fn add_pending(&mut self, step: &wire::Step) {
        let end = step.start.saturating_add(step.inputs.len() as u32);
        let empty = Pending { end, copies: 0 };
        self.pending.entry(StepId::of(step)).or_insert(empty).copies += 1;
    }

    pub(super) fn remove_pending(&mut self, id: StepId) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.copies -= 1;
            if pending.copies == 0 {
                self.pending.remove(&id);
            }
        }
    }

    /// Runs a step that starts at `position` and keeps its result.
    pub(super) fn run(&mut self, step: &wire::Step, cached: u32, last_layer: bool) -> &StepOutput {
        if self.ran_attempt != step.attempt {
            self.ran_attempt = step.attempt;
            self.results.clear();
        }
        let mut outputs = Vec::with_capacity(step.inputs.len());
        for &input in &step.inputs {
            let first = self.layers.first;
            let x = reference::run_position(&mut self.states, first, self.position, input);
            outputs.push(if last_layer {
                reference::token_id(x)
            } else {
                x
            });
            self.position += 1;
        }
        self.results
            .entry(StepId::of(step))
            .or_insert(StepOutput { outputs, cached })
    }
}
