//! The validated types of a trace, converted from the lines of [`raw`].

use std::time::Duration;

use dragonflyrill_catalogue::name::{ClassName, DataCentre, Name, TargetName, WorkspaceName};
use serde_json::Value;

use super::raw;

/// The version of the trace format that is read and written.
pub const FORMAT_VERSION: u32 = 1;
/// The maximum length of a prompt and of an answer, in tokens.
pub const MAX_TOKENS: u32 = 1 << 20;
/// The maximum length of an id or key, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// The path that the body of a fault is posted to if the trace gives none.
pub const DEFAULT_FAULTS_PATH: &str = "/standin/faults";
/// The window of a [`Recovery`] if the trace gives none.
pub const DEFAULT_RECOVERY_WINDOW: Duration = Duration::from_secs(1);

/// The deployment and the model that a trace is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The deployment.
    pub deployment: Name,
    /// The model of all requests of the trace.
    pub model: TargetName,
    /// The number of layers of `model`. At least 1.
    pub layers: u32,
    /// The seed that a synthetic trace was generated from.
    pub seed: Option<u64>,
}

/// One request or call, sent at its intended time regardless of the state of the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The intended send time, since the start of the trace.
    pub at: Duration,
    /// The id, unique within the trace.
    pub id: String,
    /// The workspace that owns the work.
    pub workspace: WorkspaceName,
    /// The class of work.
    pub class: ClassName,
    /// The caller's deadline, from the intended send time; `None` if the caller sends none.
    pub deadline: Option<Duration>,
    /// Whether the work may be run again; `None` if the caller does not state it.
    pub repeatable: Option<bool>,
    /// The data centre whose entry hosts the caller sends to.
    pub data_centre: DataCentre,
    /// The idempotency key. Invariant: visible ASCII without `/`.
    pub key: String,
    /// The requested work.
    pub work: Work,
}

/// The work that an arrival requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// Token generation by a model.
    Generation(Generation),
    /// A call of a plain service.
    Call(Call),
}

/// Token generation by a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// The model.
    pub model: TargetName,
    /// The length of the prompt in tokens. At least 1.
    pub prompt_tokens: u32,
    /// The length of the answer in tokens. At least 1.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the request is sent as a chat completion.
    pub chat: bool,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The service.
    pub service: TargetName,
    /// The method.
    pub method: Method,
    /// The path within the service, starting with `/`.
    pub path: String,
    /// The JSON body.
    pub body: Option<Value>,
}

/// The HTTP method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `DELETE`
    Delete,
}

impl Method {
    /// The method as it is written in an HTTP request.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
        }
    }
}

/// A fault.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// When the fault is injected, since the start of the trace.
    pub at: Duration,
    /// The id, unique within the trace.
    pub id: String,
    /// The target: the name of a section of the targets file.
    pub target: String,
    /// The action to carry out.
    pub action: Action,
}

/// The action of a fault.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A signal to a process. It is written to the orders file and delivered by the program that
    /// started the process.
    Signal(Signal),
    /// A request to the control interface of the stand-in.
    Post(Post),
}

/// A request to the control interface of a stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct Post {
    /// The path. Invariant: below `/standin/`.
    pub path: String,
    /// The JSON body.
    pub body: Value,
}

/// A signal that changes the state of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Kills the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Resumes a paused process.
    Cont,
    /// Asks the process to terminate.
    Term,
    /// Starts the process again.
    Start,
}

impl Signal {
    /// The name of the signal in the orders file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Stop => "stop",
            Self::Cont => "cont",
            Self::Term => "term",
            Self::Start => "start",
        }
    }
}

/// A stated outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The check finds at most this many violations.
    AtMost(raw::Check, u64),
    /// The completed rate recovers from a fault in time.
    Recovery(Recovery),
}

/// The time in which the completed rate must recover from a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovery {
    /// The id of the fault.
    pub fault: String,
    /// The maximum recovery time.
    pub max: Duration,
    /// The length of the windows over which the completed rate is measured.
    pub window: Duration,
}
