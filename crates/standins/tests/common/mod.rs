//! Helpers of the tests: an HTTP client and constructors for steps.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub(crate) mod driver;

use std::{net::SocketAddr, pin::Pin};

use dragonflyrill_engines::wire;
use futures_util::FutureExt;
use serde::{Serialize, de::DeserializeOwned};

/// The model of all tests.
pub(crate) const MODEL: &str = "m";

/// The error of a call whose connection was closed without a complete answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ConnectionClosed;

/// The status and the body of an answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|err| panic!("{err}: {:?}", String::from_utf8_lossy(&self.body)))
    }

    /// Parses a body that has one JSON value per line.
    pub(crate) fn lines<T: DeserializeOwned>(&self) -> Vec<T> {
        let lines = self
            .body
            .split(|&byte| byte == b'\n')
            .filter(|line| !line.is_empty());
        lines
            .map(|line| serde_json::from_slice(line).expect("line"))
            .collect()
    }
}

/// Sends a request with a body, and headers given as pairs of name and value.
pub(crate) async fn send(
    method: &str,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Answer, ConnectionClosed> {
    let method = method.parse::<awc::http::Method>().expect("method");
    let mut req = awc::Client::default().request(method, format!("http://{addr}{path}"));
    for &header in headers {
        req = req.insert_header(header);
    }
    let mut res = req.send_body(body).await.map_err(|_| ConnectionClosed)?;
    let body = res
        .body()
        .limit(64 << 20)
        .await
        .map_err(|_| ConnectionClosed)?;
    Ok(Answer {
        status: res.status().as_u16(),
        body: body.to_vec(),
    })
}

pub(crate) async fn get(addr: SocketAddr, path: &str) -> Result<Answer, ConnectionClosed> {
    send("GET", addr, path, &[], Vec::new()).await
}

pub(crate) async fn post(
    addr: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<Answer, ConnectionClosed> {
    send(
        "POST",
        addr,
        path,
        &[],
        serde_json::to_vec(body).expect("body"),
    )
    .await
}

/// Polls a call once; returns whether it is still pending.
pub(crate) fn is_pending<T>(call: &mut Pin<Box<impl Future<Output = T>>>) -> bool {
    call.as_mut().now_or_never().is_none()
}

/// Replaces the faults of a stand-in; `faults` is JSON.
pub(crate) async fn set_faults(addr: SocketAddr, faults: &str) {
    let answer = send("POST", addr, "/standin/faults", &[], faults.into()).await;
    assert_eq!(answer.expect("answer").status, 204);
}

/// Sends steps, one per line.
///
/// Fails if there are fewer results than steps: the client doesn't report a truncated body as an error.
pub(crate) async fn steps(
    addr: SocketAddr,
    steps: &[wire::Step],
) -> Result<Vec<wire::StepResult>, ConnectionClosed> {
    let mut body = Vec::new();
    for step in steps {
        serde_json::to_writer(&mut body, step).expect("step");
        body.push(b'\n');
    }
    let results: Vec<_> = send("POST", addr, "/v1/steps", &[], body).await?.lines();
    if results.len() < steps.len() {
        Err(ConnectionClosed)
    } else {
        Ok(results)
    }
}

/// Creates a step without prefix blocks and with a deadline of 60 s.
pub(crate) fn step(request: &str, layers: wire::Layers, start: u32, inputs: &[u64]) -> wire::Step {
    wire::Step {
        request: request.to_owned(),
        attempt: 1,
        model: MODEL.to_owned(),
        layers,
        start,
        inputs: inputs.to_vec(),
        prefix: Vec::new(),
        priority: 0,
        deadline_ms: 60_000,
    }
}

pub(crate) fn layers(first: u32, end: u32) -> wire::Layers {
    wire::Layers { first, end }
}

/// The outputs of a step that ran.
pub(crate) fn outputs(result: &wire::StepResult) -> &[u64] {
    match &result.outcome {
        wire::StepOutcome::Done { outputs, .. } => outputs,
        wire::StepOutcome::Refused { .. } => panic!("refused: {result:?}"),
    }
}

/// The reason for which a step was refused, and the expected position.
pub(crate) fn refusal(result: &wire::StepResult) -> (wire::StepRefusal, u32) {
    match result.outcome {
        wire::StepOutcome::Refused { reason, expected } => (reason, expected),
        wire::StepOutcome::Done { .. } => panic!("done: {result:?}"),
    }
}
