//! Answers to callers: errors from the table of error kinds, completions in one body or as
//! server-sent events.

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
use dragonflyrill_gateway::http::{callers, intake::Reason};
use futures_util::stream;
use serde::Serialize;

use crate::requests::{Failure, Reader, RequestEnd, Slot};

/// The retry delay of a host that isn't ready, and of failures that bring no delay of their own.
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

/// The failure of a request to a host that accepts none.
pub fn not_ready() -> Failure {
    let message = "the host has no catalogue yet, or is draining";
    Failure::with_retry_after(ErrorKind::NotReady, message, NOT_READY_RETRY_AFTER)
}

/// The failure of a call for which there is no memory.
pub fn host_full() -> Failure {
    let kind = ErrorKind::HostFull;
    let delay = callers::return_delay(Reason::NoMemory);
    Failure::with_retry_after(
        kind,
        kind.answer().meaning,
        delay.unwrap_or(NOT_READY_RETRY_AFTER),
    )
}

/// The failure of a call for which no limit is declared.
pub fn no_limit(key: &LimitKey) -> Failure {
    let LimitKey {
        workspace,
        target,
        class,
    } = key;
    let message = format!("workspace {workspace} has no limit for {target}, class {class}");
    Failure::new(ErrorKind::NoLimit, message)
}

/// The failure of a call whose idempotency key was used with another call.
pub fn key_reused() -> Failure {
    Failure::new(
        ErrorKind::KeyReused,
        "the idempotency key was used with another request",
    )
}

/// The error response for a failure, from the table of error kinds.
pub fn failure(failure: &Failure) -> Response<BoxBody> {
    let answer = failure.kind.answer();
    // The table contains only valid status codes.
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut rsp = Response::build(status);
    rsp.insert_header((CONTENT_TYPE, "application/json"));
    if answer.retry_after {
        rsp.insert_header((RETRY_AFTER, retry_seconds(failure).to_string()));
    }
    rsp.body(error_json(failure)).map_into_boxed_body()
}

/// The retry delay in seconds from 1 to 3600, rounded up, since the header has no fractions.
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
    // Serialization of structs of strings and numbers can't fail.
    serde_json::to_string(body).expect("plain data")
}

fn ok_response(slot: &Slot) -> ResponseBuilder {
    let mut rsp = Response::build(StatusCode::OK);
    rsp.insert_header(("x-request-id", slot.key.id.as_str()));
    rsp
}

/// Waits for the complete answer and sends it in one body.
///
/// # Errors
/// The request failed.
pub async fn complete(
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
    let mut rsp = ok_response(slot);
    rsp.insert_header((CONTENT_TYPE, "application/json"));
    Ok(rsp.body(json(&body)).map_into_boxed_body())
}

/// Streams the answer from token `from` on, as server-sent events.
///
/// # Errors
/// The request failed before it released token `from`. A later failure is sent as an event.
pub async fn stream(
    reader: Reader,
    model: TargetName,
    from: usize,
) -> Result<Response<BoxBody>, Failure> {
    reader.slot().wait_for_more(from).await;
    if let Some(failure) = failure_before(reader.slot(), from) {
        return Err(failure);
    }
    let mut rsp = ok_response(reader.slot());
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

fn failure_before(slot: &Slot, from: usize) -> Option<Failure> {
    let progress = slot.progress();
    match &progress.end {
        Some(RequestEnd::Failed(failure)) if progress.tokens.len() <= from => Some(failure.clone()),
        _ => None,
    }
}

/// The state of one caller's stream.
struct EventStream {
    reader: Reader,
    model: TargetName,
    /// The index of the first token that is not sent yet.
    next: usize,
    done: bool,
}

impl EventStream {
    /// All events that are not sent yet, as one chunk; waits if there are none.
    async fn next_chunk(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        if self.done {
            return None;
        }
        self.reader.slot().wait_for_more(self.next).await;
        let chunk = self.encode_new_events();
        Some((Ok(chunk), self))
    }

    fn encode_new_events(&mut self) -> Bytes {
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
            Some(RequestEnd::Complete | RequestEnd::ServiceAnswered(_)) => {
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
