//! The record of a request, as its caller observed it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether the work of a refused request was run, according to the error answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No part of the work was run.
    NotRun,
    /// It is not known whether the work was run.
    MayHaveRun,
    /// The work was run.
    Ran,
}

/// The outcome of a request, as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An answer was received that was marked as complete.
    Answered(Answer),
    /// The last attempt ended with an error answer, or could not be sent.
    Refused(Refusal),
    /// No complete answer was received. Holds the reason.
    Lost(String),
}

/// An answer as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The texts of the tokens of a generation, in order.
    Tokens(Vec<String>),
    /// The answer to a call of a plain service.
    Call(CallAnswer),
}

/// The answer to a call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// An error as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status; 200 for an error within a stream, 0 if the request could not be sent.
    pub status: u16,
    /// The machine-readable error code.
    pub code: String,
    /// The run state that the error reports. [`RunState::NotRun`] is replaced by
    /// [`RunState::MayHaveRun`] if an earlier attempt of the same caller was lost.
    pub run: RunState,
}

/// The record of one request. Points in time are relative to the start of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The index in `Trace::arrivals`.
    pub arrival: usize,
    /// The intended send time, from which latencies are measured.
    pub intended: Duration,
    /// When the first streamed token was received.
    pub first_token: Option<Duration>,
    /// The tokens that were streamed, including those of a stream that failed later.
    pub streamed: Vec<String>,
    /// The times between consecutive streamed tokens.
    pub inter_token_gaps: Vec<Duration>,
    /// When the request ended.
    pub ended: Duration,
    /// The number of attempts: how often the request was sent or resumed.
    pub attempts: u32,
    /// Errors in the order or content of the received events, such as a repeated token.
    pub protocol_errors: Vec<String>,
    /// The outcome of the request.
    pub outcome: RequestOutcome,
}
