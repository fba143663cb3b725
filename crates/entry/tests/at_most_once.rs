//! Calls that are not repeatable run at most once, and a call that is reported as "not run" has not
//! run. The tests guard against double runs and false reports when a key is sent to several hosts,
//! the platform's table is unavailable or loses answers, or a host stops.

mod common;

use common::Fleet;
use dragonflyrill_adapter_standin::store::{DownAs, Faults};
use futures_util::future::join_all;
use serde_json::{Value, json};

struct CallAnswer {
    status: u16,
    retry_after: bool,
    body: Value,
}

async fn post_certificate(fleet: &Fleet, host: usize, key: &str) -> CallAnswer {
    let call = fleet
        .http
        .post(fleet.url(host, "/services/s/once/certificate"))
        .insert_header(("x-workspace", "w"))
        .insert_header(("idempotency-key", key.to_owned()));
    let mut rsp = call
        .send_json(&json!({"lot": key}))
        .await
        .expect("an answer");
    let body = rsp.body().await.expect("a complete body");
    CallAnswer {
        status: rsp.status().as_u16(),
        retry_after: rsp.headers().contains_key("retry-after"),
        body: serde_json::from_slice(&body).expect("JSON"),
    }
}

#[actix_rt::test]
async fn same_key_at_all_hosts_at_the_same_time_runs_once() {
    let fleet = Fleet::start(3).await;
    let calls = (0..9).map(|i| post_certificate(&fleet, i % 3, "lot-1"));
    for answer in join_all(calls).await {
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(fleet.ran("lot-1").await, 1);
}

#[actix_rt::test]
async fn call_is_refused_and_not_run_while_the_table_is_unavailable() {
    let fleet = Fleet::start(2).await;
    fleet.store.set_faults(Faults::down(DownAs::Closed));
    let answer = post_certificate(&fleet, 0, "lot-2").await;
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert_eq!(answer.body["error"]["code"], "record_unavailable");
    assert_eq!(answer.body["error"]["run"], "not_run");
    assert!(answer.retry_after);
    assert_eq!(fleet.ran("lot-2").await, 0);
}

#[actix_rt::test]
async fn repeatable_request_is_served_without_the_table() {
    let fleet = Fleet::start(1).await;
    fleet.store.set_faults(Faults::down(DownAs::Closed));
    let req = json!({"model": "m", "prompt": "still", "max_tokens": 2});
    let rsp = fleet
        .completion(0)
        .send_json(&req)
        .await
        .expect("an answer");
    assert_eq!(rsp.status(), 200);
}

#[actix_rt::test]
async fn lost_answers_of_the_table_cause_no_double_run_and_no_false_report() {
    let fleet = Fleet::start(2).await;
    fleet.store.set_faults(Faults {
        lose_answers: 0.5,
        ..Faults::default()
    });
    for n in 0..12 {
        let key = format!("lost-{n}");
        let answer = post_certificate(&fleet, n % 2, &key).await;
        let ran = fleet.ran(&key).await;
        match answer.body["error"]["run"].as_str() {
            None => assert_eq!((answer.status, ran), (200, 1), "{key}"),
            Some("not_run") => assert_eq!(ran, 0, "{key}"),
            Some(_) => assert!(ran <= 1, "{key}"),
        }
    }
}

#[actix_rt::test]
async fn answer_is_sent_again_from_the_record_after_its_host_stopped() {
    let mut fleet = Fleet::start(2).await;
    fleet.until_guarded().await;
    let first = post_certificate(&fleet, 0, "lot-3").await;
    assert_eq!(first.status, 200, "{}", first.body);
    // The end of a call is recorded after its answer was sent.
    for _ in 0..200 {
        if fleet.recorded_ends().await > 0 {
            break;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    fleet.nodes.remove(0).stop();
    let again = post_certificate(&fleet, 0, "lot-3").await;
    assert_eq!(again.status, 200, "{}", again.body);
    assert_eq!(again.body, first.body);
    assert_eq!(fleet.ran("lot-3").await, 1);
}

#[actix_rt::test]
async fn not_run_is_not_reported_for_a_key_that_another_host_may_have_started() {
    let mut fleet = Fleet::start(2).await;
    fleet.until_guarded().await;
    let first = post_certificate(&fleet, 0, "lot-4").await;
    assert_eq!(first.status, 200, "{}", first.body);
    fleet.store.set_faults(Faults::down(DownAs::Closed));
    fleet.nodes.remove(0).stop();
    let again = post_certificate(&fleet, 0, "lot-4").await;
    assert_ne!(again.body["error"]["run"], "not_run", "{}", again.body);
    assert_eq!(fleet.ran("lot-4").await, 1);
}

#[actix_rt::test]
async fn retry_of_a_call_that_was_refused_as_not_run_is_refused_as_not_run() {
    let fleet = Fleet::start(2).await;
    fleet.store.set_faults(Faults::down(DownAs::Closed));
    for host in [0, 1, 0] {
        // The home receives the end of the call after the caller does, so a fast retry may still get
        // "may have run".
        let mut run = Value::Null;
        for _ in 0..100 {
            run = post_certificate(&fleet, host, "lot-5").await.body["error"]["run"].clone();
            if run == "not_run" {
                break;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(run, "not_run");
    }
    assert_eq!(fleet.ran("lot-5").await, 0);
}
