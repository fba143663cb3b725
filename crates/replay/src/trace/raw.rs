//! The lines of a trace as they are in the file. Unknown fields are rejected.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The version of the format.
    pub trace: u32,
    /// The deployment that the trace is for.
    pub deployment: String,
    /// The model of requests that name none.
    pub model: String,
    /// The number of layers of `model`.
    pub layers: u32,
    /// The seed that a synthetic trace was generated from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// Any line but the first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Line {
    /// A generation request.
    Request(Request),
    /// A call of a plain service.
    Call(Call),
    /// A fault.
    Fault(Fault),
    /// A stated outcome.
    Outcome(Outcome),
}

/// A generation request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The intended send time, in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// The id, unique within the trace.
    pub id: String,
    /// The workspace that owns the work.
    pub workspace: String,
    /// The class of work.
    pub class: String,
    /// The model; the one in the header if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The length of the prompt in tokens. The text is generated from `workspace` and `key`.
    pub prompt_tokens: u32,
    /// The length of the answer in tokens.
    pub max_tokens: u32,
    /// The caller's deadline, in milliseconds from the intended send time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the request is sent as a chat completion.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub chat: bool,
    /// Whether the request may be run again; the header is not sent if this is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// The data centre whose entry hosts the caller sends to.
    pub data_centre: String,
    /// The idempotency key; `id` if left out. Lines of a workspace with the same key are
    /// duplicates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The intended send time, in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// The id, unique within the trace.
    pub id: String,
    /// The workspace that owns the work.
    pub workspace: String,
    /// The class of work.
    pub class: String,
    /// The service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path within the service, starting with `/`.
    pub path: String,
    /// The JSON body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Value>,
    /// The caller's deadline, in milliseconds from the intended send time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
    /// Whether the call may be run again; the header is not sent if this is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// The data centre whose entry hosts the caller sends to.
    pub data_centre: String,
    /// The idempotency key; `id` if left out. Lines of a workspace with the same key are
    /// duplicates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault is injected, in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// The id, unique within the trace.
    pub id: String,
    /// The action to carry out.
    #[serde(rename = "do")]
    pub action: Action,
    /// The target: the name of a section of the targets file.
    pub target: String,
    /// The path that `body` is posted to, for [`Action::Post`]; `/standin/faults` if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// The JSON body that is posted to the stand-in, for [`Action::Post`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Value>,
}

/// The action of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Kills the process.
    Kill,
    /// Pauses the process.
    Stop,
    /// Resumes a paused process.
    Cont,
    /// Asks the process to terminate.
    Term,
    /// Starts the process again.
    Start,
    /// Posts the body to the stand-in.
    Post,
}

/// A stated outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The check to apply.
    pub check: Check,
    /// The maximum number of violations with which the outcome is kept; 0 if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<u64>,
    /// The id of the fault whose recovery is timed, for [`Check::Recovery`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<String>,
    /// The maximum recovery time in milliseconds, for [`Check::Recovery`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_ms: Option<u64>,
    /// The length in milliseconds of the windows over which the completed rate is measured, for
    /// [`Check::Recovery`]; 1000 if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window_ms: Option<u64>,
}

/// What an outcome checks. Every check but [`Check::Recovery`] counts violations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// Answers that are truncated, repeat tokens or differ from the reference.
    AnswersEqual,
    /// Requests refused as not run.
    Refused,
    /// Requests that failed other than by a refusal as not run, or that got no answer.
    Failed,
    /// Answers that were received after the deadline.
    Late,
    /// Requests with a position that a layer did not run although the request was answered, or that
    /// one attempt ran twice in a layer.
    LayersOnce,
    /// Requests that were reported as not run although a ledger shows that they ran.
    NotRunTrue,
    /// Calls marked as not repeatable that ran more than once.
    AtMostOnce,
    /// The time from a fault until the completed rate has recovered.
    Recovery,
}
