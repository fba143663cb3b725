//! The wire format of the engine interface.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/steps` | one [`Step`] or [`TracedStep`] per line | one [`StepResult`] per line, in the order in which the steps end |
//! | `POST /v1/cancel` | [`Cancel`] | 204; the slot and the KV cache of the request are freed |
//! | `GET /v1/load` | | [`LoadReport`], delayed by the engine's lag |
//! | `GET /v1/cache-events?after=SEQ` | | [`CacheEvents`] |
//! | `GET /v1/kv/REQUEST` | | [`KvCheckpoint`]; 404 if the engine holds none |
//! | `POST /v1/kv` | [`KvCheckpoint`] | 204 |
//! | `POST /v1/orders` | [`Order`] | [`EngineState`]; 409 if the engine checks fencing numbers and that of the order is old |
//! | `GET /v1/state` | | [`EngineState`] |

use std::{fmt, ops::Range};

use serde::{Deserialize, Serialize};

/// A contiguous range of layers, `first..end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Layers {
    /// The first layer.
    pub first: u32,
    /// One past the last layer.
    pub end: u32,
}

impl Layers {
    /// Converts to the range type of the standard library.
    pub fn range(self) -> Range<u32> {
        self.first..self.end
    }
}

impl fmt::Display for Layers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}

/// One unit of work: run `layers` over the positions `start..start + inputs.len()`.
///
/// A step is identified by (request, attempt, start). The engine runs it at most once, and answers a
/// retry with the stored result. It refuses a step of an attempt older than the newest that it has
/// received for the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The request, unique over all workspaces.
    pub request: String,
    /// The number of the attempt; it increases each time the chain of the request changes.
    pub attempt: u32,
    /// The model.
    pub model: String,
    /// The layers to run. The engine must hold all of them; it may hold more.
    pub layers: Layers,
    /// The position in the sequence of the first input.
    pub start: u32,
    /// One input for each position: token ids if `layers.first == 0`, else activations.
    pub inputs: Vec<u64>,
    /// Hashes of the prompt's prefix blocks, for the prefix cache; empty for generated tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prefix: Vec<u64>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
}

/// A step with its trace context. On the wire the trace context is one more field of the step, so
/// that one call can carry steps of several traces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TracedStep {
    /// The step.
    #[serde(flatten)]
    pub step: Step,
    /// The W3C `traceparent` of the hop.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<String>,
}

/// Evidence of which endpoint, incarnation and layers ran a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The endpoint that ran the step.
    pub endpoint: String,
    /// The incarnation of the endpoint; each restart has a new one.
    pub incarnation: u64,
    /// The layers that it ran.
    pub layers: Layers,
}

/// Why an engine did not run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepRefusal {
    /// The engine's KV cache of this request doesn't end at `start`.
    Position,
    /// The engine knows a newer attempt of this request.
    StaleAttempt,
    /// The engine does not hold the layers or the model.
    Layers,
    /// The engine has no free slot, or is draining.
    Busy,
    /// The engine is draining and accepts no new requests.
    Leaving,
    /// The step's deadline has passed.
    Deadline,
    /// The request was cancelled.
    Cancelled,
}

/// How a step ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepOutcome {
    /// The step ran.
    Done {
        /// The endpoint, incarnation and layers that ran it.
        receipt: Receipt,
        /// One output for each position: activations, or token ids from the last layer.
        outputs: Vec<u64>,
        /// The number of positions that were answered from the prefix cache.
        cached: u32,
    },
    /// The step did not run.
    Refused {
        /// Why the step did not run.
        reason: StepRefusal,
        /// The position at which the engine's KV cache of this request ends.
        expected: u32,
    },
}

/// The answer to one [`Step`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepResult {
    /// The step's request.
    pub request: String,
    /// The step's attempt.
    pub attempt: u32,
    /// The step's first position.
    pub start: u32,
    /// How the step ended.
    pub outcome: StepOutcome,
}

/// A call that frees the slot and the KV cache of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub request: String,
    /// From now on the engine refuses attempts up to this one.
    pub attempt: u32,
}

/// An engine's report of its own load. It may be delayed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: String,
    /// The incarnation of the endpoint that reports.
    pub incarnation: u64,
    /// The number of steps that are running.
    pub running: u32,
    /// The number of steps that are waiting.
    pub waiting: u32,
    /// The number of requests whose KV cache the engine holds.
    pub sessions: u32,
    /// The maximum number of requests whose KV cache the engine can hold.
    pub max_sessions: u32,
    /// The age of the numbers, in milliseconds.
    pub age_ms: u32,
}

/// Changes of an engine's prefix cache. They may be delayed, and events may be missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The event number to pass as `after` in the next call.
    pub last: u64,
    /// The events, oldest first. Event numbers may be missing.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event; a gap in the numbers means that events were lost.
    pub seq: u64,
    /// The hash of the prefix block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The KV cache of one request over a range of layers, as an engine exports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCheckpoint {
    /// The request.
    pub request: String,
    /// The attempt that created the KV cache.
    pub attempt: u32,
    /// The model.
    pub model: String,
    /// The layers that the KV cache covers.
    pub layers: Layers,
    /// The position at which the KV cache ends.
    pub position: u32,
    /// One state for each layer.
    pub state: Vec<u64>,
}

/// An order to an engine: the model, version and layers that it must hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The lease holder's fencing number.
    pub fence: u64,
    /// The model to hold.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The layers to hold.
    pub layers: Layers,
}

/// The state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The endpoint.
    pub endpoint: String,
    /// The incarnation of the endpoint.
    pub incarnation: u64,
    /// The highest fencing number that the engine has received.
    pub fence: u64,
    /// The model that the engine holds.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The layers that the engine holds.
    pub layers: Layers,
    /// Whether the weights are still being loaded.
    pub loading: bool,
    /// Whether the engine is draining and accepts no new requests.
    pub leaving: bool,
}
