//! Tests of the registration of engines and services in the store.

mod common;

use std::{io, net::SocketAddr, time::Duration};

use dragonflyrill_adapter::store::EndpointList;
use dragonflyrill_adapter_standin::store::Store;
use dragonflyrill_fleet::{endpoints::Endpoint, layers::LayerRange};
use dragonflyrill_standins::{
    engine::{self, EngineConfig},
    register,
    service::{self, ServiceConfig},
};
use futures_util::future;
use tokio::sync::oneshot;

const MAX_READS: u32 = 500;
/// The time limit of one call, far above the duration of a local call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

async fn list(store: SocketAddr) -> Vec<Endpoint> {
    let list = EndpointList::new(store, CALL_TIMEOUT);
    list.read().await.expect("the store answers")
}

/// Reads the list of endpoints until it satisfies `expected`; panics after [`MAX_READS`] reads.
async fn wait_until(store: SocketAddr, expected: impl Fn(&[Endpoint]) -> bool) {
    for _ in 0..MAX_READS {
        if expected(&list(store).await) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the list stays {:?}", list(store).await);
}

#[actix_rt::test]
async fn an_engine_is_listed_as_ready_then_draining_then_removed() {
    let (_store, running) = Store::start().await.expect("start");
    let store = running.addr;
    let cfg = EngineConfig::new("e", common::MODEL, 8);
    let engine = engine::start(vec![cfg]).await.expect("start");
    let (tx, rx) = oneshot::channel::<()>();
    let shutdown = async { rx.await.map_err(io::Error::other) };

    let registered = register::run_registered(Some(store), &engine, shutdown);
    let watched = async {
        let addr = engine.addr();
        wait_until(store, |list| {
            list.len() == 1 && list[0].addr == addr && list[0].layers == LayerRange::new(0, 8)
        })
        .await;
        common::send("POST", engine.addr(), "/standin/leave", &[], Vec::new())
            .await
            .expect("ok");
        wait_until(store, |list| list[0].draining).await;
        tx.send(()).expect("still registered");
    };
    let (result, ()) = future::join(registered, watched).await;
    result.expect("registered");
    assert!(list(store).await.is_empty());
    engine.stop().await;
}

#[actix_rt::test]
async fn entries_are_written_again_after_a_restart_of_the_store() {
    let (_first, first) = Store::start().await.expect("start");
    let listen = first.addr;
    let service = service::start(vec![ServiceConfig::new("s", "quay-app")])
        .await
        .expect("start");
    let registered = register::run_registered(Some(listen), &service, future::pending());
    let watched = async {
        wait_until(listen, |list| list.len() == 1).await;
        first.stop().await;
        let second = Store::start_at(listen, None).await.expect("start");
        wait_until(listen, |list| list.len() == 1).await;
        second
    };
    let ended = future::select(Box::pin(registered), Box::pin(watched)).await;
    assert!(
        matches!(ended, future::Either::Right(_)),
        "the registration ended"
    );
    drop(ended);
    service.stop().await;
}
