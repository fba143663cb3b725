//! The same request at several hosts runs once and has the same answer at each host. The tests guard
//! against a second run, or an unknown request, at a host that doesn't run the request itself.

mod common;

use common::{Fleet, expected_text};
use futures_util::future::join_all;
use serde_json::{Value, json};

async fn send(call: awc::ClientRequest, req: &Value) -> (u16, Value) {
    let mut rsp = call.send_json(req).await.expect("an answer");
    let body = rsp.body().await.expect("a complete body");
    (
        rsp.status().as_u16(),
        serde_json::from_slice(&body).expect("JSON"),
    )
}

fn released_tokens(fleet: &Fleet) -> u64 {
    fleet
        .nodes
        .iter()
        .map(|n| n.host.metrics.tokens.get())
        .sum()
}

#[actix_rt::test]
async fn same_key_at_all_hosts_at_the_same_time_runs_once() {
    let fleet = Fleet::start(3).await;
    let req = json!({"model": "m", "prompt": "twice", "max_tokens": 6});
    let calls = (0..9).map(|i| {
        let call = fleet
            .completion(i % 3)
            .insert_header(("idempotency-key", "k"));
        send(call, &req)
    });
    for (status, body) in join_all(calls).await {
        assert_eq!(status, 200, "{body}");
        assert_eq!(body["choices"][0]["text"], expected_text("twice", 6));
    }
    assert_eq!(released_tokens(&fleet), 6, "one run");
}

#[actix_rt::test]
async fn each_key_is_answered_from_its_run_at_any_host() {
    let fleet = Fleet::start(3).await;
    for k in 0..12 {
        let req = json!({"model": "m", "prompt": format!("key {k}"), "max_tokens": 2});
        for n in [k % 3, (k + 1) % 3] {
            let call = fleet
                .completion(n)
                .insert_header(("idempotency-key", format!("k{k}")));
            let (status, body) = send(call, &req).await;
            assert_eq!(status, 200, "{body}");
            assert_eq!(
                body["choices"][0]["text"],
                expected_text(&format!("key {k}"), 2)
            );
        }
    }
    assert_eq!(released_tokens(&fleet), 24, "each of 12 keys ran once");
}

#[actix_rt::test]
async fn same_key_with_another_body_is_refused_at_another_host_too() {
    let fleet = Fleet::start(2).await;
    for (n, prompt, expected) in [(0, "a", 200), (1, "b", 422)] {
        let req = json!({"model": "m", "prompt": prompt, "max_tokens": 1});
        let call = fleet.completion(n).insert_header(("idempotency-key", "k"));
        let (status, body) = send(call, &req).await;
        assert_eq!(status, expected, "{body}");
    }
    assert_eq!(released_tokens(&fleet), 1);
}

#[actix_rt::test]
async fn stream_is_resumed_at_another_host() {
    let fleet = Fleet::start(2).await;
    let req = json!({"model": "m", "prompt": "move", "max_tokens": 6});
    let call = fleet.completion(0).insert_header(("idempotency-key", "k"));
    send(call, &req).await;
    let resume = fleet
        .http
        .get(fleet.url(1, "/v1/requests/k/events"))
        .insert_header(("x-workspace", "w"))
        .insert_header(("last-event-id", "1"));
    let mut rsp = resume.send().await.expect("an answer");
    assert_eq!(rsp.status(), 200);
    let stream = rsp.body().await.expect("a complete stream");
    let stream = std::str::from_utf8(&stream).expect("text");
    let ids: Vec<_> = stream
        .lines()
        .filter_map(|l| l.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["2", "3", "4", "5"]);
    assert!(stream.ends_with("data: [DONE]\n\n"));
}

#[actix_rt::test]
async fn unknown_request_gets_404() {
    let fleet = Fleet::start(2).await;
    let call = fleet
        .http
        .get(fleet.url(0, "/v1/requests/never"))
        .insert_header(("x-workspace", "w"));
    let rsp = call.send().await.expect("an answer");
    assert_eq!(rsp.status(), 404);
}
