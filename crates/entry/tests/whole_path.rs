//! Requests through one entry host, a chain of engines and a plain service, over real sockets. The
//! tests guard against a wrong or incomplete answer, a second run of the same key, and a refusal that
//! doesn't name its reason.

mod common;

use common::{Fleet, expected_text};
use serde_json::{Value, json};

async fn json_body(
    mut rsp: awc::ClientResponse<
        impl futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    >,
) -> Value {
    let body = rsp.body().await.expect("a complete body");
    serde_json::from_slice(&body).unwrap_or_else(|e| panic!("{e}: {body:?}"))
}

/// Returns the text of the tokens in a stream of server-sent events, and whether the stream is
/// complete.
fn parse_events(stream: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for line in stream.lines() {
        match line.strip_prefix("data: ") {
            Some("[DONE]") => done = true,
            Some(data) => {
                let event: Value = serde_json::from_str(data).expect("JSON");
                text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
            }
            None => {}
        }
    }
    (text, done)
}

#[actix_rt::test]
async fn unstreamed_answer_equals_the_reference() {
    let fleet = Fleet::start(1).await;
    let req = json!({"model": "m", "prompt": "tank 4", "max_tokens": 5});
    let rsp = fleet
        .completion(0)
        .send_json(&req)
        .await
        .expect("an answer");
    assert_eq!(rsp.status(), 200);
    let answer = json_body(rsp).await;
    assert_eq!(answer["choices"][0]["text"], expected_text("tank 4", 5));
    assert_eq!(answer["usage"]["total_tokens"], 11);
}

#[actix_rt::test]
async fn streamed_answer_equals_the_reference_and_is_complete() {
    let fleet = Fleet::start(1).await;
    let req = json!({"model": "m", "prompt": "tank 5", "max_tokens": 7, "stream": true});
    let mut rsp = fleet
        .completion(0)
        .send_json(&req)
        .await
        .expect("an answer");
    assert_eq!(rsp.status(), 200);
    let stream = rsp.body().await.expect("a complete stream");
    let (text, done) = parse_events(std::str::from_utf8(&stream).expect("text"));
    assert_eq!(text, expected_text("tank 5", 7));
    assert!(done);
}

#[actix_rt::test]
async fn repeated_key_gets_the_same_answer_and_the_work_runs_once() {
    let fleet = Fleet::start(1).await;
    let req = json!({"model": "m", "prompt": "once", "max_tokens": 3});
    let mut answers = Vec::new();
    for _ in 0..2 {
        let call = fleet.completion(0).insert_header(("idempotency-key", "k1"));
        let rsp = call.send_json(&req).await.expect("an answer");
        answers.push(json_body(rsp).await["choices"][0]["text"].clone());
    }
    assert_eq!(answers[0], answers[1]);
    assert_eq!(fleet.nodes[0].host.metrics.tokens.get(), 3);
}

#[actix_rt::test]
async fn same_key_with_another_body_is_refused_and_not_run() {
    let fleet = Fleet::start(1).await;
    for (prompt, status) in [("a", 200), ("b", 422)] {
        let req = json!({"model": "m", "prompt": prompt, "max_tokens": 1});
        let call = fleet.completion(0).insert_header(("idempotency-key", "k1"));
        let rsp = call.send_json(&req).await.expect("an answer");
        assert_eq!(rsp.status(), status);
    }
    assert_eq!(fleet.nodes[0].host.metrics.tokens.get(), 1);
}

#[actix_rt::test]
async fn finished_stream_can_be_resumed_after_an_event() {
    let fleet = Fleet::start(1).await;
    let req = json!({"model": "m", "prompt": "resume", "max_tokens": 6});
    let call = fleet.completion(0).insert_header(("idempotency-key", "k2"));
    call.send_json(&req).await.expect("an answer");
    let resume = fleet
        .http
        .get(fleet.url(0, "/v1/requests/k2/events"))
        .insert_header(("x-workspace", "w"))
        .insert_header(("last-event-id", "3"));
    let stream = resume
        .send()
        .await
        .expect("an answer")
        .body()
        .await
        .expect("a complete stream");
    let (text, done) = parse_events(std::str::from_utf8(&stream).expect("text"));
    let whole = expected_text("resume", 6);
    let head = expected_text("resume", 4);
    assert_eq!(Some(text.as_str()), whole.strip_prefix(&head));
    assert!(done);
}

#[actix_rt::test]
async fn service_call_is_forwarded() {
    let fleet = Fleet::start(1).await;
    let call = fleet
        .http
        .put(fleet.url(0, "/services/s/tanks/7?full=1"))
        .insert_header(("x-workspace", "w"))
        .insert_header(("content-type", "application/json"));
    let rsp = call
        .send_body(r#"{"salinity":31}"#)
        .await
        .expect("an answer");
    assert_eq!(rsp.status(), 200);
    let answer = json_body(rsp).await;
    assert_eq!(answer["method"], "PUT");
    assert!(
        answer["path"]
            .as_str()
            .expect("a path")
            .starts_with("/tanks/7")
    );
}

#[actix_rt::test]
async fn refusals_name_the_field_and_report_not_run() {
    let fleet = Fleet::start(1).await;
    let cases = [
        (
            json!({"model": "nope", "prompt": "x"}),
            404,
            "unknown_target",
            "nope",
        ),
        (json!({"model": "m"}), 400, "bad_request", "prompt"),
        (
            json!({"model": "m", "prompt": ""}),
            400,
            "bad_request",
            "prompt",
        ),
        (
            json!({"model": "m", "prompt": "x", "max_tokens": 0}),
            400,
            "bad_request",
            "max_tokens",
        ),
        (
            json!({"model": "m", "prompt": "x", "max_tokens": 600}),
            400,
            "bad_request",
            "1 to 511",
        ),
        (
            json!({"model": 3, "prompt": "x"}),
            400,
            "bad_request",
            "body",
        ),
        (
            json!({"model": "m", "prompt": "x", "messages": [{"content": "y"}]}),
            400,
            "bad_request",
            "not both",
        ),
    ];
    for (req, status, code, named) in cases {
        let rsp = fleet
            .completion(0)
            .send_json(&req)
            .await
            .expect("an answer");
        assert_eq!(rsp.status(), status, "{req}");
        let error = json_body(rsp).await["error"].clone();
        assert_eq!(error["code"], code, "{req}");
        assert_eq!(error["run"], "not_run", "{req}");
        let message = error["message"].as_str().expect("a message");
        assert!(message.contains(named), "{message}");
    }
}

#[actix_rt::test]
async fn invalid_headers_are_refused() {
    let fleet = Fleet::start(1).await;
    let cases = [
        ("x-workspace", "nobody", 403),
        ("x-workspace", "Not A Name", 400),
        ("x-class", "night", 403),
        ("x-deadline-ms", "soon", 400),
        ("x-deadline-ms", "0", 400),
        ("idempotency-key", "a b", 400),
        ("x-repeatable", "maybe", 400),
    ];
    for (header, value, status) in cases {
        let req = json!({"model": "m", "prompt": "x", "max_tokens": 1});
        let call = fleet.completion(0).insert_header((header, value));
        let rsp = call.send_json(&req).await.expect("an answer");
        assert_eq!(rsp.status(), status, "{header}: {value}");
        assert_eq!(json_body(rsp).await["error"]["run"], "not_run");
    }
}

#[actix_rt::test]
async fn oversized_body_is_refused() {
    let fleet = Fleet::start(1).await;
    let prompt = "x".repeat(2 << 20);
    let req = json!({"model": "m", "prompt": prompt});
    let rsp = fleet
        .completion(0)
        .send_json(&req)
        .await
        .expect("an answer");
    assert_eq!(rsp.status(), 413);
}

#[actix_rt::test]
async fn draining_host_refuses_new_work_and_is_not_ready() {
    let fleet = Fleet::start(1).await;
    fleet.nodes[0].host.draining.set(true);
    let req = json!({"model": "m", "prompt": "x", "max_tokens": 1});
    let rsp = fleet
        .completion(0)
        .send_json(&req)
        .await
        .expect("an answer");
    assert_eq!(rsp.status(), 503);
    assert!(rsp.headers().contains_key("retry-after"));
    assert_eq!(json_body(rsp).await["error"]["code"], "not_ready");
    let ready = fleet
        .http
        .get(fleet.url(0, "/readyz"))
        .send()
        .await
        .expect("an answer");
    assert_eq!(ready.status(), 503);
}

#[actix_rt::test]
async fn metrics_count_requests_by_end_and_tokens() {
    let fleet = Fleet::start(1).await;
    let req = json!({"model": "m", "prompt": "count", "max_tokens": 4});
    fleet
        .completion(0)
        .send_json(&req)
        .await
        .expect("an answer");
    let mut rsp = fleet
        .http
        .get(fleet.url(0, "/metrics"))
        .send()
        .await
        .expect("an answer");
    let text = rsp.body().await.expect("a complete body");
    let text = std::str::from_utf8(&text).expect("text");
    assert!(
        text.contains("dragonflyrill_requests_total{end=\"whole\"} 1"),
        "{text}"
    );
    assert!(text.contains("dragonflyrill_tokens_total 4"), "{text}");
}
