//! One attempt of a request: it is sent to one entry host, or its stream is resumed there.

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::Instant;
use awc::{
    ClientRequest, ClientResponse,
    error::{ConnectError, SendRequestError},
    http::{Method as HttpMethod, StatusCode},
};
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};

use super::stream::ReceivedTokens;
use crate::{
    prompt,
    record::{Answer, CallAnswer, Refusal, RunState},
    reference, sse,
    trace::{
        Arrival, Work,
        checked::{Call, Generation, Method},
    },
};

/// The maximum size of the body of an answer that is not streamed.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The data of the last event of a complete stream.
const END_OF_STREAM: &str = "[DONE]";

/// The result of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// An answer that the entry host marked as complete.
    Answered(Answer),
    /// An error answer, and the delay of its `Retry-After` header.
    Refused(Refusal, Option<Duration>),
    /// The connection could not be opened, so nothing was sent. Holds the reason.
    NotSent(String),
    /// There is no complete answer, and the request may have been received. Holds the reason.
    Lost(String),
}

/// Sends the HTTP requests of one attempt.
pub struct Sender<'a> {
    /// The HTTP client.
    pub http: &'a awc::Client,
    /// The request or call to send.
    pub arrival: &'a Arrival,
    /// The idempotency key.
    pub key: &'a str,
    /// The entry host.
    pub addr: SocketAddr,
    /// The time of the caller's deadline.
    pub deadline_at: Instant,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<[Message<'a>; 1]>,
    max_tokens: u32,
    stream: bool,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    message: Option<Content>,
    delta: Option<Content>,
}

#[derive(Deserialize)]
struct Content {
    content: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: String,
    run: RunState,
}

impl Choice {
    fn into_text(self) -> Option<String> {
        let content = self.message.or(self.delta).map(|c| c.content);
        self.text.or(content)
    }
}

impl Sender<'_> {
    /// Sends the request and reads the answer. Adds the tokens of a stream to `received` and stores
    /// the `X-Request-Id` header of the answer in `request_id`.
    pub async fn send(
        &self,
        received: &mut ReceivedTokens,
        request_id: &mut Option<String>,
    ) -> AttemptResult {
        received.start_connection(0);
        let sent = match &self.arrival.work {
            Work::Generation(generation) => self.send_generation(generation).await,
            Work::Call(call) => self.send_call(call).await,
        };
        let mut res = match sent {
            Ok(res) => res,
            Err(e) => return from_send_error(&e),
        };
        if let Some(id) = res.headers().get("x-request-id") {
            *request_id = id.to_str().ok().map(str::to_owned);
        }
        match &self.arrival.work {
            Work::Generation(generation) => read_generation(&mut res, generation, received).await,
            Work::Call(_) => read_call(&mut res).await,
        }
    }

    /// Resumes the interrupted stream `id` after the tokens in `received`. Returns `None` if the
    /// host gives no answer or one other than 200.
    pub async fn resume(&self, id: &str, received: &mut ReceivedTokens) -> Option<AttemptResult> {
        let uri = format!("http://{}/v1/requests/{id}/events", self.addr);
        let mut req = self.headers(self.http.get(uri));
        if let Some(last) = received.len().checked_sub(1) {
            req = req.insert_header(("Last-Event-ID", last.to_string()));
        }
        let mut res = req.send().await.ok()?;
        if res.status() != StatusCode::OK {
            return None;
        }
        received.start_connection(received.len());
        Some(read_stream(&mut res, received).await)
    }

    async fn send_generation(&self, generation: &Generation) -> SendResult {
        let text = prompt::text(self.arrival, generation.prompt_tokens);
        let message = Message {
            role: "user",
            content: &text,
        };
        let body = CompletionBody {
            model: generation.model.as_str(),
            prompt: (!generation.chat).then_some(&text),
            messages: generation.chat.then_some([message]),
            max_tokens: generation.max_tokens,
            stream: generation.stream,
        };
        let path = match generation.chat {
            true => "/v1/chat/completions",
            false => "/v1/completions",
        };
        let uri = format!("http://{}{path}", self.addr);
        self.headers(self.http.post(uri)).send_json(&body).await
    }

    async fn send_call(&self, call: &Call) -> SendResult {
        let Call { service, path, .. } = call;
        let uri = format!("http://{}/services/{service}{path}", self.addr);
        let method = match call.method {
            Method::Get => HttpMethod::GET,
            Method::Post => HttpMethod::POST,
            Method::Put => HttpMethod::PUT,
            Method::Delete => HttpMethod::DELETE,
        };
        let req = self.headers(self.http.request(method, uri));
        match &call.body {
            Some(body) => req.send_json(body).await,
            None => req.send().await,
        }
    }

    fn headers(&self, req: ClientRequest) -> ClientRequest {
        let left = self.deadline_at.saturating_duration_since(Instant::now());
        let mut req = req
            .insert_header(("X-Workspace", self.arrival.workspace.as_str()))
            .insert_header(("X-Class", self.arrival.class.as_str()))
            .insert_header(("Idempotency-Key", self.key));
        if self.arrival.deadline.is_some() {
            req = req.insert_header(("X-Deadline-Ms", left.as_millis().max(1).to_string()));
        }
        if let Some(repeatable) = self.arrival.repeatable {
            req = req.insert_header(("X-Repeatable", repeatable.to_string()));
        }
        req
    }
}

type SendResult = Result<ClientResponse, SendRequestError>;

fn from_send_error(e: &SendRequestError) -> AttemptResult {
    match e {
        SendRequestError::Connect(ConnectError::Disconnected) => AttemptResult::Lost(e.to_string()),
        SendRequestError::Connect(_) => AttemptResult::NotSent(e.to_string()),
        _ => AttemptResult::Lost(e.to_string()),
    }
}

async fn read_generation(
    res: &mut ClientResponse,
    generation: &Generation,
    received: &mut ReceivedTokens,
) -> AttemptResult {
    if res.status() != StatusCode::OK {
        return read_refusal(res).await;
    }
    if generation.stream {
        return read_stream(res, received).await;
    }
    let body = match read_body(res).await {
        Ok(body) => body,
        Err(reason) => return AttemptResult::Lost(reason),
    };
    let text = serde_json::from_slice(&body)
        .ok()
        .and_then(|completion: Completion| completion.choices.into_iter().next())
        .and_then(Choice::into_text);
    match text {
        Some(text) => AttemptResult::Answered(Answer::Tokens(reference::split_tokens(&text))),
        None => AttemptResult::Lost("the answer is not a completion".to_owned()),
    }
}

async fn read_call(res: &mut ClientResponse) -> AttemptResult {
    let status = res.status();
    let body = match read_body(res).await {
        Ok(body) => body,
        Err(reason) => return AttemptResult::Lost(reason),
    };
    if status.is_success() {
        let status = status.as_u16();
        return AttemptResult::Answered(Answer::Call(CallAnswer { status, body }));
    }
    parse_refusal(res, &body)
}

async fn read_refusal(res: &mut ClientResponse) -> AttemptResult {
    match read_body(res).await {
        Ok(body) => parse_refusal(res, &body),
        Err(reason) => AttemptResult::Lost(reason),
    }
}

/// Parses an error answer. The run state is [`RunState::MayHaveRun`] if the answer does not state
/// one.
fn parse_refusal(res: &ClientResponse, body: &[u8]) -> AttemptResult {
    let detail = serde_json::from_slice(body).ok();
    let (code, run) = match detail {
        Some(ErrorBody { error }) => (error.code, error.run),
        None => ("unreadable".to_owned(), RunState::MayHaveRun),
    };
    let status = res.status().as_u16();
    AttemptResult::Refused(Refusal { status, code, run }, retry_after(res))
}

fn retry_after(res: &ClientResponse) -> Option<Duration> {
    let value = res.headers().get("retry-after")?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

async fn read_body(res: &mut ClientResponse) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    while let Some(chunk) = res.next().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        body.extend_from_slice(&chunk);
        if body.len() > MAX_BODY_BYTES {
            return Err(format!("the answer is longer than {MAX_BODY_BYTES} bytes"));
        }
    }
    Ok(body)
}

async fn read_stream(res: &mut ClientResponse, received: &mut ReceivedTokens) -> AttemptResult {
    let mut parser = sse::Parser::default();
    let mut events = Vec::new();
    while let Some(chunk) = res.next().await {
        let pushed = match chunk {
            Ok(chunk) => parser.push(&chunk, &mut events),
            Err(e) => return AttemptResult::Lost(e.to_string()),
        };
        if let Err(e) = pushed {
            return AttemptResult::Lost(e.to_string());
        }
        for event in events.drain(..) {
            if let Some(attempt) = handle_event(&event, received) {
                return attempt;
            }
        }
    }
    AttemptResult::Lost("the stream ended before its last event".to_owned())
}

/// Processes one event of a stream. Returns the result of the attempt if it is the last event.
fn handle_event(event: &sse::Event, received: &mut ReceivedTokens) -> Option<AttemptResult> {
    if event.event == "error" {
        return Some(stream_error(&event.data));
    }
    if event.data == END_OF_STREAM {
        let tokens = received.tokens().to_vec();
        return Some(AttemptResult::Answered(Answer::Tokens(tokens)));
    }
    let text = serde_json::from_str(&event.data)
        .ok()
        .and_then(|completion: Completion| completion.choices.into_iter().next())
        .and_then(Choice::into_text);
    match (event.id.parse(), text) {
        (Ok(index), Some(text)) => received.add_token(index, &text),
        _ => received.add_protocol_error(format!("event {:?} is not a token", event.id)),
    }
    None
}

fn stream_error(data: &str) -> AttemptResult {
    let (code, run) = match serde_json::from_str(data) {
        Ok(ErrorBody { error }) => (error.code, error.run),
        Err(_) => ("unreadable".to_owned(), RunState::MayHaveRun),
    };
    let status = StatusCode::OK.as_u16();
    AttemptResult::Refused(Refusal { status, code, run }, None)
}
