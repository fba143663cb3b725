//! Claims and queries between peers for requests that may run on another host.
//!
//! Each request key has a home: one host that all hosts compute alike and that keeps track of which
//! host runs the request. Before a host runs a named request, it sends a [`Claim`] to the home. If
//! another host runs the request already, the claiming host follows that host's answer with
//! [`Query`]s instead of running the request a second time.

use dragonflyrill_catalogue::WorkspaceName;
use serde::{Deserialize, Serialize};

use crate::HostRef;

/// Asks the home of a key for the right to run its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Workspace that owns the request.
    pub workspace: WorkspaceName,
    /// The caller's idempotency key.
    pub id: String,
    /// The host that makes the claim.
    pub by: HostRef,
    /// Purpose of the claim.
    pub intent: Intent,
}

/// The purpose of a [`Claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Intent {
    /// Find out which host runs the request, without a claim to run it.
    Look,
    /// Run the request, unless another host does.
    Take,
    /// Release the claim: the claiming host has not run the request and never will.
    GiveBack,
}

/// The answer to a [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// No other host runs the request. With [`Intent::Take`] the claiming host now has the right to
    /// run it.
    Free {
        /// Number of times that the home has granted the right to run the request before, as far as
        /// it knows.
        runs: u32,
    },
    /// This host has the right to run the request. It may have failed since.
    Taken(HostRef),
}

/// Asks a host for the state and the answer of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Query {
    /// Workspace that owns the request.
    pub workspace: WorkspaceName,
    /// The caller's idempotency key.
    pub id: String,
    /// Number of tokens that the querying host already has.
    pub from: u32,
    /// Maximum time for which the answer may wait for something new, in milliseconds.
    pub wait_ms: u32,
}

/// The answer to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Found {
    /// The host has no record of the request.
    Unknown,
    /// The request runs on this host, or ran on it.
    Known(Answer),
}

/// The state of a request and its answer so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Hash of the content of the request.
    pub fingerprint: u64,
    /// Number of the latest attempt of the run.
    pub attempt: u32,
    /// Tokens from the position [`Query::from`] on.
    pub tokens: Vec<u64>,
    /// Answer of a plain service; `None` until it is complete.
    pub call: Option<CallAnswer>,
    /// State of the request.
    pub state: State,
}

/// The state of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The request is running.
    Running,
    /// The answer is complete.
    Whole,
    /// The request failed. The code is one of the table of error kinds.
    Failed {
        /// Machine-readable error code.
        code: String,
        /// Human-readable message.
        message: String,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body of the answer.
    pub body: Vec<u8>,
}
