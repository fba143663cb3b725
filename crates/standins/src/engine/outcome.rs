//! Results of calls to an engine.

use std::time::Duration;

use dragonflyrill_engines::wire;
use serde::{Deserialize, Serialize};

/// The id of a queued or running step; tickets increase in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// The outcome of submitting a step.
#[derive(Debug)]
pub enum Submitted {
    /// The step is answered.
    Answered(wire::StepResult),
    /// The step is queued; [`Engine::finish`](super::core::Engine::finish) or
    /// [`Engine::begin`](super::core::Engine::begin) returns its result.
    Waiting(Ticket),
}

/// The result of a step that was queued.
#[derive(Debug)]
pub struct Finished {
    /// The ticket of the step.
    pub ticket: Ticket,
    /// The result of the step.
    pub result: wire::StepResult,
}

/// The outcome of [`Engine::begin`](super::core::Engine::begin).
#[derive(Debug)]
pub struct Iteration {
    /// Steps that were cancelled, became stale or passed their deadline in the queue.
    pub refused: Vec<Finished>,
    /// The duration of the iteration at time scale 1 and without faults; `None` if no step runs.
    pub duration: Option<Duration>,
}

/// Why a checkpoint or an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The attempt is outdated or cancelled, or the fencing number is outdated.
    Stale,
    /// It does not fit the model or its loaded layers.
    Layers,
    /// No slot is free, or the engine is draining and accepts no new requests.
    Busy,
}

/// Counters since the start, over all incarnations of the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Steps that ran.
    pub ran: u64,
    /// Positions that ran, each counted once for all layers of its step.
    pub positions: u64,
    /// Positions that the prefix cache covered.
    pub cached: u64,
    /// Retried steps that were answered with their earlier result.
    pub repeated: u64,
    /// Steps that were refused.
    pub refused: u64,
    /// Iterations that ran.
    pub iterations: u64,
    /// Blocks that are now in the prefix cache.
    pub prefix_blocks: u64,
}
