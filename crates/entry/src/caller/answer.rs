//! Answers to callers: errors by the one table, completions whole or as server-sent events.

use std::{convert::Infallible, time::Duration};

use actix_http::{
    Response, ResponseBuilder, StatusCode,
    body::{BodyStream, BoxBody},
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use bytes::Bytes;
use dragonflyrill_catalogue::{TargetName, entry::LimitKey};
use dragonflyrill_delivery::ErrorKind;
use dragonflyrill_engines::token;
use futures_util::stream;
use serde::Serialize;

use crate::requests::{Failure, Reader, RequestEnd, Slot};

/// How soon to come back to a host that isn't ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: &'a str,
    run: &'a str,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: usize,
    completion_tokens: usize,
    total_tokens: usize,
}

/// The failure of a host that takes no requests.
pub fn not_ready() -> Failure {
    let message = "the host has no catalogue yet, or is draining";
    Failure::with_retry_after(ErrorKind::NotReady, message, NOT_READY_RETRY_AFTER)
}

/// The failure of a call without a limit.
pub fn no_limit(key: &LimitKey) -> Failure {
    let LimitKey {
        workspace,
        target,
        class,
    } = key;
    let message = format!("workspace {workspace} has no limit for {target}, class {class}");
    Failure::new(ErrorKind::NoLimit, message)
}

/// The failure of a call under a key that names another.
pub fn key_reused() -> Failure {
    Failure::new(
        ErrorKind::KeyReused,
        "the idempotency key was used with another request",
    )
}

/// Answers a failure by the table of error kinds.
pub fn failure(failure: &Failure) -> Response<BoxBody> {
    let answer = failure.kind.answer();
    // The table holds valid codes only.
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut rsp = Response::build(status);
    rsp.insert_header((CONTENT_TYPE, "application/json"));
    if answer.retry_after {
        rsp.insert_header((RETRY_AFTER, retry_seconds(failure).to_string()));
    }
    rsp.body(error_json(failure)).map_into_boxed_body()
}

/// Whole seconds, rounded up, since the header has no fractions.
fn retry_seconds(failure: &Failure) -> u64 {
    let wait = failure.retry_after.unwrap_or(NOT_READY_RETRY_AFTER);
    wait.as_millis().div_ceil(1000).clamp(1, 3600) as u64
}

fn error_json(failure: &Failure) -> String {
    let answer = failure.kind.answer();
    let (code, message, run) = (answer.code, failure.message.as_str(), answer.run.as_str());
    json(&ErrorBody {
        error: ErrorDetail { code, message, run },
    })
}

fn json<T: Serialize>(body: &T) -> String {
    // Plain structs of strings and numbers always serialize.
    serde_json::to_string(body).expect("plain data")
}

fn ok(slot: &Slot) -> ResponseBuilder {
    let mut rsp = Response::build(StatusCode::OK);
    rsp.insert_header(("x-request-id", slot.key.id.as_str()));
    rsp
}

/// Waits for the whole answer and sends it at once.
pub async fn whole(
    reader: Reader,
    model: &TargetName,
    prompt_tokens: usize,
) -> Result<Response<BoxBody>, Failure> {
    let slot = reader.slot();
    slot.wait_for_end().await;
    let progress = slot.progress();
    if let Some(RequestEnd::Failed(failure)) = &progress.end {
        return Err(failure.clone());
    }
    let text = progress.text();
    let completion_tokens = progress.tokens.len();
    let total_tokens = prompt_tokens + completion_tokens;
    let body = CompletionBody {
        id: &slot.key.id,
        object: "text_completion",
        model: model.as_str(),
        choices: [Choice {
            index: 0,
            text: &text,
            finish_reason: Some("length"),
        }],
        usage: Some(Usage {
            prompt_tokens,
            completion_tokens,
            total_tokens,
        }),
    };
    let mut rsp = ok(slot);
    rsp.insert_header((CONTENT_TYPE, "application/json"));
    Ok(rsp.body(json(&body)).map_into_boxed_body())
}

/// Streams the answer from token `from` on. A failure before the first token is a plain error.
pub async fn stream(
    reader: Reader,
    model: TargetName,
    from: usize,
) -> Result<Response<BoxBody>, Failure> {
    reader.slot().wait_for_more(from).await;
    if let Some(failure) = failed_before(reader.slot(), from) {
        return Err(failure);
    }
    let mut rsp = ok(reader.slot());
    rsp.insert_header((CONTENT_TYPE, "text/event-stream"));
    rsp.insert_header(("cache-control", "no-store"));
    let events = EventStream {
        reader,
        model,
        next: from,
        done: false,
    };
    let body = stream::unfold(events, EventStream::next_chunk);
    Ok(rsp
        .body(BodyStream::new(Box::pin(body)))
        .map_into_boxed_body())
}

fn failed_before(slot: &Slot, from: usize) -> Option<Failure> {
    let progress = slot.progress();
    match &progress.end {
        Some(RequestEnd::Failed(failure)) if progress.tokens.len() <= from => Some(failure.clone()),
        _ => None,
    }
}

/// A caller's place in a streamed answer.
struct EventStream {
    reader: Reader,
    model: TargetName,
    next: usize,
    done: bool,
}

impl EventStream {
    /// All events that are there, as one chunk; waits if there are none.
    async fn next_chunk(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        if self.done {
            return None;
        }
        self.reader.slot().wait_for_more(self.next).await;
        let chunk = self.take_events();
        Some((Ok(chunk), self))
    }

    fn take_events(&mut self) -> Bytes {
        let slot = self.reader.slot();
        let progress = slot.progress();
        let mut buf = String::new();
        for (i, token) in progress.tokens.iter().enumerate().skip(self.next) {
            push_token(&mut buf, slot, &self.model, i, *token);
        }
        self.next = self.next.max(progress.tokens.len());
        match &progress.end {
            None => {}
            Some(RequestEnd::Failed(failure)) => {
                buf.push_str(&format!("event: error\ndata: {}\n\n", error_json(failure)));
                self.done = true;
            }
            Some(RequestEnd::Complete | RequestEnd::Answered(_)) => {
                buf.push_str("data: [DONE]\n\n");
                self.done = true;
            }
        }
        buf.into()
    }
}

fn push_token(buf: &mut String, slot: &Slot, model: &TargetName, index: usize, token: u64) {
    let text = token::detokenize(token);
    let body = CompletionBody {
        id: &slot.key.id,
        object: "text_completion",
        model: model.as_str(),
        choices: [Choice {
            index: 0,
            text: &text,
            finish_reason: None,
        }],
        usage: None,
    };
    buf.push_str(&format!("id: {index}\ndata: {}\n\n", json(&body)));
}
