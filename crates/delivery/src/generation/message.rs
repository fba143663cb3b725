//! What a generation is told, and what it asks for.

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire;
use serde::{Deserialize, Serialize};

use super::timing::StepTimes;
use crate::{
    chain::{Chain, Stage},
    error::ErrorKind,
};

/// What is to be generated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// The request's id, unique over all workspaces.
    pub request: String,
    /// The model.
    pub model: String,
    /// The number of the model's layers.
    pub layers: u32,
    /// The prompt's token ids. Not empty.
    pub prompt: Vec<u64>,
    /// How many tokens to generate. At least 1.
    pub max_tokens: u32,
    /// 0 is served first.
    pub priority: u8,
    /// When the caller's time is up.
    pub deadline: Duration,
    /// Hashes of the prompt's prefix blocks.
    pub prefix: Vec<u64>,
}

/// Bounds and habits of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// How many replacements and rebuilt caches one generation may use up.
    pub max_replacements: u32,
    /// How often one step is sent before its endpoint counts as lost. At least 1.
    pub max_step_sends: u32,
    /// No step counts as late before this.
    pub min_step_timeout: Duration,
    /// A step is late after this many times its expected duration.
    pub step_timeout_factor: u32,
    /// What the host has learned of step durations so far.
    pub step_times: StepTimes,
    /// The wait before an endpoint that is still freeing an older attempt is asked again.
    pub free_retry_delay: Duration,
    /// The most bytes of activations that are kept for replacements.
    pub max_kept_bytes: u64,
    /// The size of one position's activation.
    pub activation_bytes: u64,
    /// A KV checkpoint is asked for every so many tokens; 0 is never.
    pub export_every_tokens: u32,
    /// How long a handover waits for the token in flight.
    pub handover_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_replacements: 8,
            max_step_sends: 2,
            min_step_timeout: Duration::from_millis(150),
            step_timeout_factor: 8,
            step_times: StepTimes::default(),
            free_retry_delay: Duration::from_millis(20),
            max_kept_bytes: 1 << 20,
            activation_bytes: 8,
            export_every_tokens: 0,
            handover_timeout: Duration::from_millis(500),
        }
    }
}

/// What another host needs to go on with a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeState {
    /// The request's id.
    pub request: String,
    /// The model.
    pub model: String,
    /// The number of the model's layers.
    pub layers: u32,
    /// The prompt's token ids.
    pub prompt: Vec<u64>,
    /// How many tokens the whole answer has.
    pub max_tokens: u32,
    /// 0 is served first.
    pub priority: u8,
    /// The time left until the deadline.
    pub left: Duration,
    /// Hashes of the prompt's prefix blocks.
    pub prefix: Vec<u64>,
    /// The tokens released so far, in order.
    pub released: Vec<u64>,
    /// The last attempt used; the next one is greater.
    pub attempt: u32,
    /// The endpoints whose KV caches hold all positions but the last token's; empty if there are
    /// none.
    pub stages: Vec<Stage>,
    /// All endpoints that may hold something for the request.
    pub used: Vec<EndpointId>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The chain is chosen; may come once.
    Start(Chain),
    /// Go on with the chain of [`Resume::stages`]; ignored if there is none.
    Continue,
    /// An endpoint answered a step.
    Result {
        /// Who answered.
        endpoint: EndpointId,
        /// The answer.
        result: wire::StepResult,
    },
    /// A step's answer was lost, or the endpoint is gone.
    StepLost {
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt of the step.
        attempt: u32,
        /// The position of the step.
        start: u32,
    },
    /// Endpoints for a range asked for by [`Action::Replace`].
    Replacement(Chain),
    /// There are no endpoints for a range asked for by [`Action::Replace`], or the budget of
    /// retries is spent.
    NoReplacement,
    /// An endpoint exported its KV cache.
    Exported {
        /// The endpoint.
        endpoint: EndpointId,
        /// The KV cache.
        checkpoint: wire::KvCheckpoint,
    },
    /// An endpoint took the KV cache of [`Action::Import`].
    Imported {
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt of the checkpoint that it took.
        attempt: u32,
    },
    /// An endpoint did not take the KV cache of [`Action::Import`], or its answer was lost.
    ImportFailed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt of the checkpoint.
        attempt: u32,
    },
    /// Time passed.
    Tick,
    /// This host is leaving: move to another one.
    Handover,
    /// The caller gave up.
    Cancel,
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a step. The host does not time it: see [`Generation::next_wake`].
    ///
    /// [`Generation::next_wake`]: super::Generation::next_wake
    Send {
        /// To whom.
        endpoint: EndpointId,
        /// The step.
        step: wire::Step,
    },
    /// Release the next token to the caller.
    Release {
        /// Its place in the answer, from 0.
        index: u32,
        /// The token id.
        token: u64,
    },
    /// Find other endpoints for `layers` and answer with [`Event::Replacement`].
    Replace {
        /// The layers that were lost.
        layers: wire::Layers,
        /// The endpoint that lost them.
        failed: EndpointId,
    },
    /// Export the KV cache of the request and answer with [`Event::Exported`]; a failure needs no
    /// answer.
    Export {
        /// The endpoint.
        endpoint: EndpointId,
        /// The position that the endpoint's cache has reached, or passed.
        position: u32,
    },
    /// Import a KV cache and answer with [`Event::Imported`] or [`Event::ImportFailed`].
    Import {
        /// The endpoint.
        endpoint: EndpointId,
        /// The KV cache.
        checkpoint: wire::KvCheckpoint,
    },
    /// Free what an endpoint holds.
    Free {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order to it.
        cancel: wire::Cancel,
    },
    /// The answer is whole.
    Finish,
    /// The generation ended here, to go on elsewhere. Nothing more is released here.
    Moved(ResumeState),
    /// The generation ended without its whole answer. [`Generation::retry_after`] says when to
    /// come back.
    ///
    /// [`Generation::retry_after`]: super::Generation::retry_after
    Fail(ErrorKind),
}
