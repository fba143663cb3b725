//! Tests of the service stand-in over HTTP: its ledger, its faults and its load report.

mod common;

use std::net::SocketAddr;

use dragonflyrill_standins::{
    Running,
    service::{self, Echo, LedgerEntry, ServiceConfig, ServiceLoad},
};

async fn start() -> (Running, SocketAddr) {
    let running = service::start(vec![ServiceConfig::new("s1", "quay-app")]).await;
    let running = running.expect("start");
    let addr = running.addr();
    (running, addr)
}

async fn call(addr: SocketAddr, key: &str) -> Result<common::Answer, common::ConnectionClosed> {
    let headers = [("Idempotency-Key", key), ("X-Request-Id", "r")];
    common::send("POST", addr, "/certificates", &headers, b"lot 7".to_vec()).await
}

/// The number of calls with this key that ran.
async fn runs(addr: SocketAddr, key: &str) -> u64 {
    let ledger: Vec<LedgerEntry> = common::get(addr, "/standin/ledger")
        .await
        .expect("l")
        .json();
    ledger
        .iter()
        .find(|entry| entry.key == key)
        .map_or(0, |entry| entry.count)
}

#[actix_rt::test]
async fn the_ledger_counts_runs_by_idempotency_key() {
    let (running, addr) = start().await;
    for run in 1..=2 {
        let answer = call(addr, "k").await;
        let echo: Echo = answer.expect("answer").json();
        assert_eq!(
            (echo.run, &*echo.method, &*echo.path),
            (run, "POST", "/certificates")
        );
        assert_eq!((&*echo.body, &*echo.service), ("lot 7", "quay-app"));
    }

    let ledger: Vec<LedgerEntry> = common::get(addr, "/standin/ledger")
        .await
        .expect("ledger")
        .json();
    assert_eq!(ledger.len(), 1);
    assert_eq!(
        (&*ledger[0].key, ledger[0].count, &*ledger[0].path),
        ("k", 2, "/certificates")
    );
    running.stop().await;
}

#[actix_rt::test]
async fn calls_without_a_key_are_counted_by_request_id() {
    let (running, addr) = start().await;
    let headers = [("X-Request-Id", "r")];
    let answer = common::send("DELETE", addr, "/seals/4", &headers, Vec::new()).await;
    assert_eq!(answer.expect("answer").status, 200);
    assert_eq!(runs(addr, "r").await, 1);
    running.stop().await;
}

#[actix_rt::test]
async fn a_call_whose_answer_was_lost_ran() {
    let (running, addr) = start().await;
    common::set_faults(addr, r#"{"drop_answers": 1.0}"#).await;
    assert_eq!(call(addr, "k").await.err(), Some(common::ConnectionClosed));
    assert_eq!(runs(addr, "k").await, 1);
    running.stop().await;
}

#[actix_rt::test]
async fn a_call_answered_503_did_not_run() {
    let (running, addr) = start().await;
    common::set_faults(addr, r#"{"error_rate": 1.0}"#).await;
    assert_eq!(call(addr, "k").await.expect("answer").status, 503);
    common::set_faults(addr, r#"{"mode": "down"}"#).await;
    assert_eq!(call(addr, "k").await.err(), Some(common::ConnectionClosed));
    assert_eq!(runs(addr, "k").await, 0);
    running.stop().await;
}

#[actix_rt::test]
async fn a_frozen_service_runs_the_call_when_it_is_unfrozen() {
    let (running, addr) = start().await;
    common::set_faults(addr, r#"{"mode": "freeze"}"#).await;
    let mut call = Box::pin(call(addr, "k"));
    for _ in 0..5 {
        assert!(common::is_pending(&mut call));
        assert_eq!(runs(addr, "k").await, 0);
    }
    common::set_faults(addr, "{}").await;
    assert_eq!(call.await.expect("answer").status, 200);
    assert_eq!(runs(addr, "k").await, 1);
    running.stop().await;
}

#[actix_rt::test]
async fn an_idle_service_reports_no_load() {
    let (running, addr) = start().await;
    call(addr, "k").await.expect("answer");
    let load: ServiceLoad = common::get(addr, "/load").await.expect("load").json();
    assert_eq!(
        load,
        ServiceLoad {
            running: 0,
            waiting: 0
        }
    );
    running.stop().await;
}
