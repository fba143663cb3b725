//! Tests of the engine stand-in over HTTP: steps, faults, checkpoints and orders.

mod common;

use std::net::SocketAddr;

use common::{layers, outputs, refusal, step};
use dragonflyrill_engines::wire::{self, StepRefusal};
use dragonflyrill_standins::{
    Running,
    engine::{self, EngineConfig, ledger::LedgerEntry, outcome::Stats},
    reference,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

fn config(id: &str, first: u32, end: u32) -> EngineConfig {
    EngineConfig {
        layers: layers(first, end),
        ..EngineConfig::new(id, common::MODEL, 8)
    }
}

const ALL: wire::Layers = wire::Layers { first: 0, end: 8 };

async fn start() -> (Running, SocketAddr) {
    let running = engine::start(vec![config("e", 0, 8)]).await.expect("start");
    let addr = running.addr();
    (running, addr)
}

async fn ran(addr: SocketAddr) -> u64 {
    common::get(addr, "/standin/stats")
        .await
        .expect("stats")
        .json::<Stats>()
        .ran
}

#[actix_rt::test]
async fn a_chain_of_engines_in_one_process_generates_the_reference_tokens() {
    let cfgs = vec![config("a", 0, 3), config("b", 3, 8)];
    let running = engine::start(cfgs).await.expect("start");
    let (a, b) = (running.addrs()[0], running.addrs()[1]);
    let prompt = reference::tokenize("condition of tank 4");

    let mut tokens: Vec<u64> = Vec::new();
    let mut inputs = prompt.clone();
    let mut start = 0;
    while tokens.len() < 10 {
        let first = common::steps(a, &[step("r", layers(0, 3), start, &inputs)])
            .await
            .expect("a");
        let activations = outputs(&first[0]);
        let last = common::steps(b, &[step("r", layers(3, 8), start, activations)]).await;
        start += inputs.len() as u32;
        inputs = vec![*outputs(&last.expect("b")[0]).last().expect("output")];
        tokens.extend(&inputs);
    }

    assert_eq!(
        tokens,
        reference::expected_tokens(common::MODEL, 8, &prompt, 10)
    );
    let ledger: Vec<LedgerEntry> = common::get(b, "/standin/ledger")
        .await
        .expect("ledger")
        .lines();
    assert_eq!(ledger.len(), 10);
    assert!(
        ledger
            .iter()
            .all(|entry| entry.layers == layers(3, 8) && &*entry.request == "r")
    );
    running.stop().await;
}

#[actix_rt::test]
async fn a_step_that_is_retried_after_a_lost_answer_runs_once() {
    let (running, addr) = start().await;
    let step = [step("r", ALL, 0, &[5])];
    common::set_faults(addr, r#"{"drop_answers": 1.0}"#).await;
    assert_eq!(
        common::steps(addr, &step).await,
        Err(common::ConnectionClosed)
    );
    common::set_faults(addr, "{}").await;
    let again = common::steps(addr, &step).await.expect("answer");
    let tokens = reference::expected_tokens(common::MODEL, 8, &[5], 1);
    assert_eq!(outputs(&again[0]), tokens);
    assert_eq!(ran(addr).await, 1);
    running.stop().await;
}

#[actix_rt::test]
async fn a_frozen_engine_answers_when_it_is_unfrozen() {
    let (running, addr) = start().await;
    common::set_faults(addr, r#"{"mode": "freeze"}"#).await;
    let step = [step("r", ALL, 0, &[5])];
    let mut call = Box::pin(common::steps(addr, &step));
    for _ in 0..5 {
        assert!(common::is_pending(&mut call));
        assert_eq!(ran(addr).await, 0);
    }
    common::set_faults(addr, "{}").await;
    assert_eq!(outputs(&call.await.expect("answer")[0]).len(), 1);
    running.stop().await;
}

#[actix_rt::test]
async fn an_engine_that_was_down_restarts_as_a_new_incarnation() {
    let (running, addr) = start().await;
    let state = async || -> wire::EngineState {
        common::get(addr, "/v1/state").await.expect("state").json()
    };
    common::steps(addr, &[step("r", ALL, 0, &[5])])
        .await
        .expect("answer");
    let before = state().await.incarnation;
    common::set_faults(addr, r#"{"mode": "down"}"#).await;
    let closed = common::steps(addr, &[step("r", ALL, 1, &[6])]).await;
    assert_eq!(closed, Err(common::ConnectionClosed));
    common::set_faults(addr, "{}").await;
    assert_ne!(state().await.incarnation, before);
    let lost = common::steps(addr, &[step("r", ALL, 1, &[6])])
        .await
        .expect("answer");
    assert_eq!(refusal(&lost[0]), (StepRefusal::Position, 0));
    let ledger: Vec<LedgerEntry> = common::get(addr, "/standin/ledger")
        .await
        .expect("l")
        .lines();
    assert_eq!(ledger.len(), 1);
    running.stop().await;
}

#[actix_rt::test]
async fn the_kv_cache_moves_between_engines_and_is_freed_by_a_cancel() {
    let running = engine::start(vec![config("a", 0, 8), config("b", 0, 8)])
        .await
        .expect("start");
    let (a, b) = (running.addrs()[0], running.addrs()[1]);
    common::steps(a, &[step("r", ALL, 0, &[5, 6])])
        .await
        .expect("answer");
    let kv: wire::KvCheckpoint = common::get(a, "/v1/kv/r").await.expect("kv").json();
    assert_eq!(
        common::post(b, "/v1/kv", &kv).await.expect("import").status,
        204
    );
    let next = common::steps(b, &[step("r", ALL, 2, &[7])])
        .await
        .expect("answer");
    let tokens = reference::expected_tokens(common::MODEL, 8, &[5, 6, 7], 1);
    assert_eq!(outputs(&next[0]), tokens);

    let cancel = wire::Cancel {
        request: "r".to_owned(),
        attempt: 1,
    };
    assert_eq!(
        common::post(a, "/v1/cancel", &cancel)
            .await
            .expect("cancel")
            .status,
        204
    );
    assert_eq!(common::get(a, "/v1/kv/r").await.expect("kv").status, 404);
    assert_eq!(
        common::post(a, "/v1/kv", &kv).await.expect("import").status,
        409
    );
    running.stop().await;
}

#[actix_rt::test]
async fn an_order_with_an_outdated_fencing_number_is_answered_409() {
    let (running, addr) = start().await;
    let order = |fence| wire::Order {
        fence,
        model: common::MODEL.to_owned(),
        version: "2".to_owned(),
        layers: ALL,
    };
    let state: wire::EngineState = common::post(addr, "/v1/orders", &order(2))
        .await
        .expect("order")
        .json();
    assert_eq!((state.fence, &*state.version), (2, "2"));
    assert_eq!(
        common::post(addr, "/v1/orders", &order(1))
            .await
            .expect("order")
            .status,
        409
    );
    running.stop().await;
}

#[actix_rt::test]
async fn steps_that_are_not_json_are_refused_with_their_line() {
    let (running, addr) = start().await;
    let answer = common::send("POST", addr, "/v1/steps", &[], b"{}\n".to_vec()).await;
    let answer = answer.expect("answer");
    assert_eq!(answer.status, 400);
    assert!(String::from_utf8_lossy(&answer.body).contains("line 1: missing field"));
    running.stop().await;
}

#[actix_rt::test]
async fn an_engine_that_goes_down_truncates_the_answers_in_progress() {
    let slow = EngineConfig {
        time_scale: 1.0,
        layer_us: 60_000_000,
        ..config("e", 0, 8)
    };
    let running = engine::start(vec![slow]).await.expect("start");
    let addr = running.addr();
    let mut socket = TcpStream::connect(addr).await.expect("connect");
    let step = serde_json::to_string(&step("r", ALL, 0, &[5])).expect("step");
    let head = format!(
        "POST /v1/steps HTTP/1.1\r\nhost: e\r\ncontent-length: {}",
        step.len()
    );
    let call = format!("{head}\r\n\r\n{step}");
    socket.write_all(call.as_bytes()).await.expect("call");
    loop {
        let load = common::get(addr, "/v1/load").await.expect("load");
        if load.json::<wire::LoadReport>().running == 1 {
            break;
        }
        tokio::task::yield_now().await;
    }
    common::set_faults(addr, r#"{"mode": "down"}"#).await;
    let mut answer = Vec::new();
    socket
        .read_to_end(&mut answer)
        .await
        .expect("the connection is closed");
    let answer = String::from_utf8_lossy(&answer);
    assert!(
        !answer.ends_with("0\r\n\r\n"),
        "the truncated answer ends like a complete one: {answer}"
    );
    running.stop().await;
}

#[actix_rt::test]
async fn faults_out_of_range_are_refused() {
    let (running, addr) = start().await;
    let cases = [
        (r#"{"mode": "slow", "slow": -1}"#, "not a number from 0"),
        (r#"{"drop_answers": 1.5}"#, "not a share from 0 to 1"),
    ];
    for (faults, error) in cases {
        let answer = common::send("POST", addr, "/standin/faults", &[], faults.into()).await;
        let answer = answer.expect("answer");
        assert_eq!(answer.status, 400);
        assert!(String::from_utf8_lossy(&answer.body).contains(error));
    }
    running.stop().await;
}
