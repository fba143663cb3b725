//! Which endpoints a request goes to.
//!
//! A [`Router`] is told what happened (lists, load reports, cache events, sent work and how it
//! ended) and answers with chains of engines or with a service's endpoint. It holds no sockets,
//! reads no clock and draws randomness from its own seeded generator: the same calls give the same
//! choices.
//!
//! A choice goes in three steps. [`EndpointTable`] keeps endpoints in groups that run the same
//! layers of the same model. A few candidates of each group are gathered: the one that the
//! prompt's prefix prefers, some by chance, some of other data centres, and an ejected one that is
//! due for a probe. The cheapest chain through them is found by dynamic programming over layer
//! boundaries, where cost is expected time: compute under the estimated load, links, and the risk
//! of failing. So a choice costs the same for a group of ten and of a thousand.
//!
//! Start with [`Router::choose_chain`]. [`Tuning`] has all numbers and switches; [`budget`] bounds
//! retries; [`baseline`] has simpler rules to compare with.

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

/// One endpoint's part of a chosen chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers it is to run.
    pub layers: wire::Layers,
}

/// What a chain is wanted for.
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
    /// Hashes of the prompt's prefix blocks, as [`prefix_blocks`] makes them.
    pub prefix: &'a [u64],
    /// Endpoints not to use.
    pub avoid: &'a [EndpointId],
}

/// The size of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepSize {
    /// The layers run.
    pub layers: wire::Layers,
    /// The positions run.
    pub positions: u32,
}

/// No live endpoints cover what was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoEndpoint {
    /// The first layer without an endpoint; 0 for a service.
    pub layer: u32,
    /// Why there is none.
    pub shortage: Shortage,
}

/// Why there is no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// None is live.
    Missing,
    /// All are at their limits.
    Full {
        /// When to come back; spread by chance.
        retry_after: Duration,
    },
}

/// How a call to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered after `latency`.
    Ok {
        /// From sending to the answer.
        latency: Duration,
    },
    /// It refused: busy.
    Busy,
    /// It refused: it is leaving.
    Draining,
    /// It failed, or did not answer in time.
    Failed,
    /// This host gave the work up; nothing is known of the endpoint.
    Abandoned,
}
