//! A stage that answers nothing for a second ends no answer that could still be completed.

mod common;

use std::time::Duration;

use common::{CATALOGUE, Fleet, LAYERS, MODEL, apply_to, expected_text, until};
use dragonflyrill_catalogue::WorkspaceName;
use dragonflyrill_engines::wire;
use dragonflyrill_standins::engine::{self, EngineConfig};
use serde_json::{Value, json};

/// Longer than all timeouts of a step together.
const SILENCE: Duration = Duration::from_millis(1200);
const TOKENS: usize = 300;

/// A fleet whose answers have time for all tokens on a busy machine.
async fn start_fleet() -> Fleet {
    let fleet = Fleet::start(1).await;
    let catalogue = CATALOGUE.replace("deadline_ms = 5000", "deadline_ms = 30000");
    apply_to(fleet.platform.addr, &catalogue).await;
    let host = fleet.nodes[0].host.clone();
    until("the deadline is in force", || {
        host.catalogue().revision().0 > 1
    })
    .await;
    fleet
}

async fn set_mode(fleet: &Fleet, engine: usize, mode: &str) {
    let addr = fleet.engines[engine].addr();
    let call = fleet.http.post(format!("http://{addr}/standin/faults"));
    let set = call.send_json(&json!({ "mode": mode })).await;
    assert!(set.expect("the engine answers").status().is_success());
}

/// Starts another engine for the last layers, and waits until the host knows it.
async fn add_spare(fleet: &mut Fleet, max_sessions: usize) {
    let mut cfg = EngineConfig::new("e2", MODEL, LAYERS);
    cfg.data_centre = "dc".into();
    cfg.layers = wire::Layers { first: 4, end: 8 };
    cfg.time_scale = 0.0;
    cfg.max_sessions = max_sessions;
    let running = engine::start(vec![cfg.clone()]).await.expect("a free port");
    fleet.list(&cfg.listing(running.addr())).await;
    fleet.engines.push(running);
    let listed = fleet.engines.len() + fleet.services.len();
    let host = fleet.nodes[0].host.clone();
    until("the engine is listed", || {
        host.router.borrow().table().len() == listed
    })
    .await;
}

/// The status and body of an answer whose last stage falls silent for [`SILENCE`] after its first tokens. The
/// spare engine, if any, is there from then on and has so many slots.
async fn answer_through_silence(fleet: &mut Fleet, spare_slots: Option<usize>) -> (u16, Value) {
    let req = json!({"model": MODEL, "prompt": "tank 4", "max_tokens": TOKENS});
    let sent = fleet.completion(0).send_json(&req);
    let answer = async {
        let mut rsp = sent.await.expect("an answer");
        let body = rsp.body().await.expect("a complete body");
        let body = serde_json::from_slice(&body).expect("JSON");
        (rsp.status().as_u16(), body)
    };
    let silence = async {
        let tokens = fleet.nodes[0].host.metrics.tokens.clone();
        until("the answer has begun", || tokens.get() > 3).await;
        set_mode(fleet, 1, "freeze").await;
        if let Some(slots) = spare_slots {
            add_spare(fleet, slots).await;
        }
        actix_rt::time::sleep(SILENCE).await;
        set_mode(fleet, 1, "up").await;
    };
    futures_util::join!(answer, silence).0
}

fn assert_complete((status, body): (u16, Value)) {
    assert_eq!(status, 200, "{body}");
    assert_eq!(
        body["choices"][0]["text"],
        expected_text("tank 4", TOKENS),
        "every token once"
    );
}

#[actix_rt::test]
async fn an_answer_whose_only_chain_is_silent_for_a_second_is_completed() {
    let mut fleet = start_fleet().await;
    assert_complete(answer_through_silence(&mut fleet, None).await);
    assert_eq!(fleet.nodes[0].host.metrics.stages_replaced.get(), 0);
}

#[actix_rt::test]
async fn an_answer_whose_chain_is_silent_while_the_catalogue_changes_is_completed() {
    let mut fleet = start_fleet().await;
    let tokens = fleet.nodes[0].host.metrics.tokens.clone();
    let before = fleet.nodes[0].host.catalogue().revision().0;
    let catalogue = CATALOGUE.replace("in_flight = 1000", "in_flight = 100");
    let registry = fleet.platform.addr;
    let changes = async {
        until("the answer has begun", || tokens.get() > 3).await;
        actix_rt::time::sleep(SILENCE / 3).await;
        apply_to(registry, &catalogue).await;
    };
    let answer = answer_through_silence(&mut fleet, None);
    let (answer, ()) = futures_util::join!(answer, changes);
    assert_complete(answer);
    assert!(fleet.nodes[0].host.catalogue().revision().0 > before);
}

#[actix_rt::test]
async fn an_answer_whose_chain_is_silent_is_completed_without_a_retry_left_in_the_budget() {
    let mut fleet = start_fleet().await;
    let host = fleet.nodes[0].host.clone();
    let workspace = WorkspaceName::try_from("w").expect("a name");
    while host.retries.try_retry(&workspace, host.now()) {}
    assert_complete(answer_through_silence(&mut fleet, Some(4)).await);
    assert_eq!(host.metrics.stages_replaced.get(), 0);
}

#[actix_rt::test]
async fn an_answer_whose_silent_stage_has_a_replacement_is_completed_there() {
    let mut fleet = start_fleet().await;
    assert_complete(answer_through_silence(&mut fleet, Some(4)).await);
    assert_eq!(fleet.nodes[0].host.metrics.stages_replaced.get(), 1);
}

#[actix_rt::test]
async fn an_answer_whose_silent_stage_is_replaced_by_one_that_refuses_is_completed() {
    let mut fleet = start_fleet().await;
    assert_complete(answer_through_silence(&mut fleet, Some(0)).await);
}
