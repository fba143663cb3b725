//! Generation calls, in the JSON format that clients of language-model APIs send.

use std::{hash::Hasher, rc::Rc};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use dragonflyrill_catalogue::{
    TargetName,
    entry::{LimitKey, ModelEntry},
};
use dragonflyrill_delivery::ErrorKind;
use dragonflyrill_engines::token;
use dragonflyrill_gateway::http::{
    body::Body,
    intake::{Hold, NoRoom},
};
use dragonflyrill_routing as routing;
use serde::Deserialize;
use tracing::Instrument;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    caller::{answer, attach::attach, envelope::Envelope},
    drive,
    host::Host,
    requests::{Failure, Reader},
};

/// The path of generation calls with a prompt.
pub(super) const PATH: &str = "/v1/completions";
/// The path of generation calls with messages.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";
/// The memory of a token of a prompt, in bytes: the call and its run have a copy each.
const PROMPT_TOKEN_BYTES: usize = 2 * size_of::<u64>();
/// The number of tokens to generate if the call sets none.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// The body of a call, before its checks.
#[derive(Debug, Deserialize)]
struct RawCompletion {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<RawMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct RawMessage {
    content: String,
}

/// A checked generation call.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The checked headers.
    pub envelope: Envelope,
    /// The model. Declared in the catalogue.
    pub model: ModelEntry,
    /// The prompt's token ids. Not empty.
    pub prompt: Vec<u64>,
    /// The number of tokens to generate. At least 1; prompt and generated tokens fit the model's
    /// context.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Hashes of the prompt's prefix blocks.
    pub prefix: Vec<u64>,
    /// The memory that is counted for the call.
    _hold: Option<Rc<Hold>>,
}

impl Completion {
    /// The key of the limit that the call is admitted under.
    pub fn limit_key(&self) -> LimitKey {
        LimitKey {
            workspace: self.envelope.workspace.clone(),
            target: self.model.name.clone(),
            class: self.envelope.class.clone(),
        }
    }

    /// The maximum number of tokens that the call uses: the prompt's and the generated ones.
    pub fn max_total_tokens(&self) -> u32 {
        self.prompt.len() as u32 + self.max_tokens
    }

    /// Hash of the model, the prompt and the number of tokens, but not of how the answer is sent.
    fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.write(self.model.name.as_str().as_bytes());
        hasher.write_u32(self.max_tokens);
        for token in &self.prompt {
            hasher.write_u64(*token);
        }
        hasher.finish()
    }
}

/// Decides on a call without its body.
pub(super) fn check_head(host: &Host, req: &Request) -> Result<Envelope, Failure> {
    if !host.ready() {
        return Err(answer::not_ready());
    }
    Envelope::read(host, req.headers())
}

/// Answers a generation call.
pub(super) async fn handle(
    host: &Rc<Host>,
    req: &Request,
    body: &Body,
) -> Result<Response<BoxBody>, Failure> {
    let envelope = check_head(host, req)?;
    let call = check(host, envelope, body)?;
    let (stream, prompt_tokens) = (call.stream, call.prompt.len());
    let model = call.model.name.clone();
    let reader = open(host, call)?;
    match stream {
        true => answer::stream(reader, model, 0).await,
        false => answer::complete(reader, &model, prompt_tokens).await,
    }
}

fn check(host: &Host, envelope: Envelope, body: &Body) -> Result<Completion, Failure> {
    let raw: RawCompletion = serde_json::from_slice(&body.to_bytes())
        .map_err(|e| Failure::new(ErrorKind::BadRequest, format!("body: {e}")))?;
    let name = TargetName::try_from(raw.model.as_str())
        .map_err(|e| bad_field("model", &format!("{:?}: {e}", raw.model)))?;
    let model = host.model(&name).ok_or_else(|| {
        Failure::new(
            ErrorKind::UnknownTarget,
            format!("no model {name} is declared"),
        )
    })?;
    let prompt = prompt_text(&raw)?;
    let prompt_tokens = token::count(&prompt);
    if prompt_tokens == 0 {
        return Err(bad_field("prompt", "at least one character is needed"));
    }
    let max_tokens = raw.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let free_context = u64::from(model.context).saturating_sub(prompt_tokens as u64);
    if max_tokens == 0 || u64::from(max_tokens) > free_context {
        let expected = format!(
            "{max_tokens} does not fit: 1 to {free_context} are possible after this prompt"
        );
        return Err(bad_field("max_tokens", &expected));
    }
    reserve_tokens(body, prompt_tokens)?;
    let prompt = token::tokenize(&prompt);
    let prefix = routing::prefix_blocks(&model.name, &prompt);
    let mut call = Completion {
        envelope,
        model,
        prompt,
        max_tokens,
        stream: raw.stream,
        priority: 0,
        repeatable: true,
        prefix,
        _hold: body.hold().cloned(),
    };
    apply_limit(host, &mut call)?;
    Ok(call)
}

/// Counts the memory of a prompt's tokens as part of its body.
fn reserve_tokens(body: &Body, tokens: usize) -> Result<(), Failure> {
    let bytes = body.len() + tokens * PROMPT_TOKEN_BYTES;
    match body.hold().map(|hold| hold.grow(bytes)) {
        None | Some(Ok(())) => Ok(()),
        Some(Err(NoRoom)) => Err(answer::host_full()),
    }
}

fn prompt_text(raw: &RawCompletion) -> Result<String, Failure> {
    match (&raw.prompt, raw.messages.as_slice()) {
        (Some(prompt), []) => Ok(prompt.clone()),
        (None, [_, ..]) => {
            let contents: Vec<_> = raw.messages.iter().map(|m| m.content.as_str()).collect();
            Ok(contents.join("\n"))
        }
        _ => Err(bad_field(
            "prompt",
            "either prompt or messages is needed, not both",
        )),
    }
}

/// Applies the priority, and the defaults for deadline and repeatability, of the call's limit.
///
/// # Errors
/// No limit is declared for the call.
fn apply_limit(host: &Host, call: &mut Completion) -> Result<(), Failure> {
    let key = call.limit_key();
    let limit = host.limit(&key).ok_or_else(|| answer::no_limit(&key))?;
    call.priority = limit.priority;
    call.repeatable = call.envelope.repeatable.unwrap_or(limit.repeatable);
    call.envelope.apply_limit_deadline(host, &limit);
    Ok(())
}

/// Attaches to the run of `call`; starts one if there is none.
///
/// # Errors
/// The call's idempotency key was used with another call.
fn open(host: &Rc<Host>, call: Completion) -> Result<Reader, Failure> {
    let (envelope, fingerprint) = (&call.envelope, call.fingerprint());
    let attachment = attach(host, envelope, fingerprint, call.repeatable)?;
    if let Some(slot) = attachment.new_slot {
        actix_rt::spawn(drive::generate(host.clone(), slot, call).in_current_span());
    }
    Ok(attachment.reader)
}

fn bad_field(field: &str, problem: &str) -> Failure {
    Failure::new(ErrorKind::BadRequest, format!("body: {field}: {problem}"))
}
