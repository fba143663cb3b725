//! The configuration, events and actions of a generation.

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire;
use serde::{Deserialize, Serialize};

use super::timing::StepTimes;
use crate::{
    chain::{Chain, Stage},
    error::ErrorKind,
};

/// The specification of what is to be generated.
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
    /// The number of tokens to generate. At least 1.
    pub max_tokens: u32,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The caller's deadline.
    pub deadline: Duration,
    /// Hashes of the prompt's prefix blocks.
    pub prefix: Vec<u64>,
}

/// The limits and timing of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The maximum number of replacements and cache rebuilds of one generation.
    pub max_replacements: u32,
    /// The maximum number of times that a step is sent before its stage is replaced. At least 1.
    pub max_step_sends: u32,
    /// The minimum timeout of a step.
    pub min_step_timeout: Duration,
    /// The timeout of a step, as a multiple of its expected duration.
    pub step_timeout_factor: u32,
    /// The step durations that the host has observed so far.
    pub step_times: StepTimes,
    /// The base delay before a step is sent again to an endpoint that still holds an older attempt.
    pub free_retry_delay: Duration,
    /// The maximum size of the activations that are kept for replacements, in bytes.
    pub max_kept_bytes: u64,
    /// The size of one position's activation, in bytes.
    pub activation_bytes: u64,
    /// The number of tokens between requests for KV checkpoints; 0 disables checkpoints.
    pub export_every_tokens: u32,
    /// The maximum time that a handover waits for the token in flight.
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

/// The state that another host needs to continue a generation.
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
    /// The number of tokens of the complete answer.
    pub max_tokens: u32,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The remaining time until the deadline.
    pub left: Duration,
    /// Hashes of the prompt's prefix blocks.
    pub prefix: Vec<u64>,
    /// The tokens released so far, in order.
    pub released: Vec<u64>,
    /// The last attempt number used; the next attempt has a greater number.
    pub attempt: u32,
    /// The chain whose KV caches hold all positions except that of the last token; empty if there
    /// is no such chain.
    pub stages: Vec<Stage>,
    /// All endpoints that may hold a session of the request.
    pub used: Vec<EndpointId>,
}

/// An input of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A chain was chosen. Only the first chain is accepted.
    Start(Chain),
    /// Continue with the chain of [`ResumeState::stages`]; ignored if it is empty.
    Continue,
    /// An endpoint answered a step.
    Result {
        /// The endpoint that answered.
        endpoint: EndpointId,
        /// The endpoint's answer.
        result: wire::StepResult,
    },
    /// The answer of a step will not arrive: it was lost, or the endpoint is unreachable.
    StepLost {
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt number of the step.
        attempt: u32,
        /// The first position of the step.
        start: u32,
    },
    /// Endpoints for the layers of [`Action::Replace`].
    Replacement(Chain),
    /// There are no endpoints for the layers of [`Action::Replace`] or for a first chain, or the
    /// retry budget is used up. A generation whose stage is only silent waits for it further.
    NoReplacement,
    /// An endpoint exported its KV cache.
    Exported {
        /// The endpoint.
        endpoint: EndpointId,
        /// The KV cache.
        checkpoint: wire::KvCheckpoint,
    },
    /// An endpoint imported the KV cache of [`Action::Import`].
    Imported {
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt number of the imported checkpoint.
        attempt: u32,
    },
    /// An endpoint did not import the KV cache of [`Action::Import`], or its answer was lost.
    ImportFailed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt number of the checkpoint.
        attempt: u32,
    },
    /// The time of [`Generation::next_wake`] has come.
    ///
    /// [`Generation::next_wake`]: super::Generation::next_wake
    Tick,
    /// This host is shutting down: move the generation to another host.
    Handover,
    /// The caller cancelled the request.
    Cancel,
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a step. The host needs no timeout of its own: see [`Generation::next_wake`].
    ///
    /// [`Generation::next_wake`]: super::Generation::next_wake
    Send {
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The step.
        step: wire::Step,
    },
    /// Release the next token to the caller.
    Release {
        /// The index of the token in the answer, from 0.
        index: u32,
        /// The token id.
        token: u64,
    },
    /// Find other endpoints for `layers`, and answer with [`Event::Replacement`] or
    /// [`Event::NoReplacement`].
    Replace {
        /// The layers to replace.
        layers: wire::Layers,
        /// The endpoint that failed.
        failed: EndpointId,
    },
    /// Export the KV cache of the request, and answer with [`Event::Exported`]; a failure needs no
    /// answer.
    Export {
        /// The endpoint.
        endpoint: EndpointId,
        /// The position that the endpoint's cache has reached or passed.
        position: u32,
    },
    /// Import a KV cache, and answer with [`Event::Imported`] or [`Event::ImportFailed`].
    Import {
        /// The endpoint.
        endpoint: EndpointId,
        /// The KV cache.
        checkpoint: wire::KvCheckpoint,
    },
    /// Free the slot that an endpoint holds for the request.
    Free {
        /// The endpoint.
        endpoint: EndpointId,
        /// The message to the endpoint.
        cancel: wire::Cancel,
    },
    /// The answer is complete.
    Finish,
    /// The generation has ended at this host and is to continue at another one. No more tokens are
    /// released at this host.
    Moved(ResumeState),
    /// The generation ended without its complete answer. [`Generation::retry_after`] says when the
    /// caller should retry.
    ///
    /// [`Generation::retry_after`]: super::Generation::retry_after
    Fail(ErrorKind),
}
