//! Tests of the relay: what a link does with connections while it is cut, and with reset and silenced
//! connections.

mod common;

use std::net::SocketAddr;

use dragonflyrill_standins::{
    Running,
    relay::{self, LinkConfig, LinkStats, RunningRelay},
    service::{self, Echo, ServiceConfig},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const CALL: &[u8] = b"GET /tides HTTP/1.1\r\nhost: s\r\n\r\n";

/// Starts a service and a relay with one link to it.
async fn start() -> (Running, RunningRelay) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = service::start(vec![ServiceConfig::new("s", "quay-app")])
        .await
        .expect("start");
    let link = LinkConfig {
        name: "l".to_owned(),
        listen: any,
        to: service.addr(),
    };
    let relay = relay::start(any, vec![link]).await.expect("start");
    (service, relay)
}

/// Makes a call and reads its complete answer, which ends with a JSON object.
async fn call(socket: &mut TcpStream) {
    socket.write_all(CALL).await.expect("call");
    let mut answer = Vec::new();
    while answer.last() != Some(&b'}') {
        assert!(socket.read_buf(&mut answer).await.expect("answer") > 0);
    }
}

async fn stats(relay: &RunningRelay) -> LinkStats {
    let answer = common::get(relay.control(), "/standin/stats")
        .await
        .expect("stats");
    answer.json::<Vec<LinkStats>>().remove(0)
}

async fn set_faults(relay: &RunningRelay, faults: &str) {
    let path = "/standin/links/l";
    let answer = common::send("POST", relay.control(), path, &[], faults.into()).await;
    assert_eq!(answer.expect("answer").status, 204);
}

#[actix_rt::test]
async fn a_working_link_carries_calls_and_answers() {
    let (service, relay) = start().await;
    for faults in ["{}", r#"{"delay_ms": 2}"#] {
        set_faults(&relay, faults).await;
        let body = vec![b'x'; 300_000];
        let answer = common::send("POST", relay.links()[0], "/notes", &[], body).await;
        assert_eq!(answer.expect("answer").json::<Echo>().body.len(), 300_000);
    }
    assert_eq!(stats(&relay).await.accepted, 2);
    relay.stop().await;
    service.stop().await;
}

#[actix_rt::test]
async fn a_cut_link_refuses_new_connections() {
    let (service, relay) = start().await;
    set_faults(&relay, r#"{"mode": "cut"}"#).await;
    assert_eq!(
        common::get(relay.links()[0], "/tides").await.err(),
        Some(common::ConnectionClosed)
    );
    assert_eq!(stats(&relay).await.refused, 1);
    set_faults(&relay, "{}").await;
    assert_eq!(
        common::get(relay.links()[0], "/tides")
            .await
            .expect("answer")
            .status,
        200
    );
    relay.stop().await;
    service.stop().await;
}

#[actix_rt::test]
async fn a_connection_that_lost_bytes_is_closed_when_the_link_works_again() {
    let (service, relay) = start().await;
    let mut socket = TcpStream::connect(relay.links()[0]).await.expect("connect");
    call(&mut socket).await;

    set_faults(&relay, r#"{"mode": "cut"}"#).await;
    socket.write_all(CALL).await.expect("call");
    while stats(&relay).await.dropped < CALL.len() as u64 {
        tokio::task::yield_now().await;
    }
    let mut buf = [0; 64];
    assert!(
        socket.try_read(&mut buf).is_err(),
        "the connection has no data while the link is cut"
    );
    set_faults(&relay, "{}").await;
    let end = socket.read(&mut buf).await;
    assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    relay.stop().await;
    service.stop().await;
}

#[actix_rt::test]
async fn an_idle_connection_survives_a_cut() {
    let (service, relay) = start().await;
    let mut socket = TcpStream::connect(relay.links()[0]).await.expect("connect");
    for faults in [r#"{"mode": "cut"}"#, "{}"] {
        call(&mut socket).await;
        set_faults(&relay, faults).await;
        set_faults(&relay, "{}").await;
    }
    relay.stop().await;
    service.stop().await;
}

#[actix_rt::test]
async fn an_unknown_link_is_refused() {
    let (service, relay) = start().await;
    let answer = common::send(
        "POST",
        relay.control(),
        "/standin/links/x",
        &[],
        b"{}".to_vec(),
    );
    assert_eq!(answer.await.expect("answer").status, 404);
    relay.stop().await;
    service.stop().await;
}

/// Makes a call on a connection that may be silenced; returns whether it was answered.
async fn answered(socket: &mut TcpStream) -> bool {
    socket.write_all(CALL).await.is_ok() && socket.read_u8().await.is_ok()
}

#[actix_rt::test]
async fn a_reset_ends_open_connections_and_new_ones_work() {
    let (service, relay) = start().await;
    let mut old = TcpStream::connect(relay.links()[0]).await.expect("a link");
    call(&mut old).await;
    let path = "/standin/links/l/reset";
    let injected = common::send("POST", relay.control(), path, &[], Vec::new()).await;
    assert_eq!(injected.expect("answer").status, 204);
    let mut byte = [0];
    let ended = old.read(&mut byte).await;
    let reset = ended.expect_err("an error").kind();
    assert_eq!(reset, std::io::ErrorKind::ConnectionReset);
    let mut new = TcpStream::connect(relay.links()[0]).await.expect("a link");
    call(&mut new).await;
    relay.stop().await;
    service.stop().await;
}

#[actix_rt::test]
async fn silenced_connections_stay_open_and_silent_and_new_ones_work() {
    let (service, relay) = start().await;
    let mut old = TcpStream::connect(relay.links()[0]).await.expect("a link");
    call(&mut old).await;
    let path = "/standin/links/l/silence";
    let injected = common::send("POST", relay.control(), path, &[], Vec::new()).await;
    assert_eq!(injected.expect("answer").status, 204);
    let mut waiting = Box::pin(answered(&mut old));
    assert!(common::is_pending(&mut waiting));
    let mut new = TcpStream::connect(relay.links()[0]).await.expect("a link");
    call(&mut new).await;
    assert!(
        common::is_pending(&mut waiting),
        "the old connection is silent after the call on the new one"
    );
    drop(waiting);
    relay.stop().await;
    service.stop().await;
}

#[actix_rt::test]
async fn a_link_cut_one_way_carries_the_other_direction() {
    let (service, relay) = start().await;
    let mut socket = TcpStream::connect(relay.links()[0]).await.expect("a link");
    call(&mut socket).await;
    set_faults(&relay, r#"{"mode": "cut_back"}"#).await;
    socket.write_all(CALL).await.expect("sent");
    while stats(&relay).await.dropped == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let carried = stats(&relay).await.carried;
    assert!(carried >= 2 * CALL.len() as u64, "both calls arrived");
    relay.stop().await;
    service.stop().await;
}
