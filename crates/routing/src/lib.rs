//! Selects the endpoints that serve a request.
//!
//! A [`Router`] receives events (endpoint lists, load reports, cache events, steps sent and their
//! outcomes) and returns chains of engines or an endpoint of a service. It opens no sockets, reads
//! no clock and draws random numbers from its own seeded generator, so equal sequences of calls
//! give equal choices.
//!
//! A choice has three steps. [`EndpointTable`] keeps endpoints in groups that run the same layers
//! of the same model. From each group a few candidates are gathered: the one preferred for the
//! prompt's prefix, some random ones, some in other data centres, and an ejected one whose probe is
//! due. Dynamic programming over layer boundaries then finds the cheapest chain through the
//! candidates, where cost is expected time: compute time under the estimated load, transfer time
//! over links, and the risk of failure. A choice therefore costs the same in a group of ten
//! endpoints as in one of a thousand.
//!
//! The entry point is [`Router::choose_chain`]. [`Tuning`] holds all parameters and switches,
//! [`budget`] bounds retries, and [`baseline`] has simpler policies for comparison.

pub mod baseline;
pub mod budget;
pub mod table;
pub mod tuning;

mod affinity;
mod candidates;
mod chain;
mod concurrency;
mod cost;
mod endpoint_stats;
mod events;
mod health;
mod index;
mod links;
mod router;
mod sketch;

use std::time::Duration;

use dragonflyrill_catalogue::{EndpointId, TargetName};
use dragonflyrill_engines::wire;

pub use affinity::{BLOCK_POSITIONS, prefix_blocks};
pub use budget::{Backoff, RetryBudget};
pub use router::Router;
pub use table::{Endpoint, EndpointTable, Health, Role};
pub use tuning::{ActivationPath, LimitRule, Mechanisms, Tuning};

/// One stage of a chosen chain: an endpoint and the layers it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers that the endpoint runs.
    pub layers: wire::Layers,
}

/// A request for a chain.
#[derive(Debug, Clone)]
pub struct ChainQuery<'a> {
    /// The model.
    pub model: &'a TargetName,
    /// The layers to cover.
    pub layers: wire::Layers,
    /// Positions in the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefix blocks, as returned by [`prefix_blocks`].
    pub prefix: &'a [u64],
    /// Endpoints that must not be chosen.
    pub avoid: &'a [EndpointId],
}

/// The amount of work in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepSize {
    /// The layers that the step runs.
    pub layers: wire::Layers,
    /// The number of positions that the step processes.
    pub positions: u32,
}

/// No usable endpoint covers some requested layer, or the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoEndpoint {
    /// The first layer without an endpoint; 0 for a service.
    pub layer: u32,
    /// Why no endpoint is usable.
    pub shortage: Shortage,
}

/// Why no endpoint is usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// No endpoint that accepts new work covers the layer.
    Missing,
    /// The remaining endpoints are at their concurrency limits.
    Full {
        /// Time after which to retry, with random jitter.
        retry_after: Duration,
    },
}

/// How a call to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered after `latency`.
    Ok {
        /// Time from sending the call to receiving the answer.
        latency: Duration,
    },
    /// The endpoint refused the call because it is busy.
    Busy,
    /// The endpoint refused the call because it is draining.
    Draining,
    /// The call failed or timed out.
    Failed,
    /// This host abandoned the call; the outcome tells nothing about the endpoint.
    Abandoned,
}
