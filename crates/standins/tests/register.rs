//! Registration in the store.

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

const TRIES: u32 = 500;
/// Far more than a local call takes.
const LIMIT: Duration = Duration::from_secs(60);

async fn list(store: SocketAddr) -> Vec<Endpoint> {
    let list = EndpointList::new(store, LIMIT);
    list.read().await.expect("the store answers")
}

/// Reads the list until it is as wanted.
async fn until(store: SocketAddr, wanted: impl Fn(&[Endpoint]) -> bool) {
    for _ in 0..TRIES {
        if wanted(&list(store).await) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the list stays {:?}", list(store).await);
}

#[actix_rt::test]
async fn an_engine_is_listed_as_live_then_leaving_then_not_at_all() {
    let (_store, running) = Store::start().await.expect("start");
    let store = running.addr;
    let cfg = EngineConfig::new("e", common::MODEL, 8);
    let engine = engine::start(vec![cfg]).await.expect("start");
    let (tx, rx) = oneshot::channel::<()>();
    let ended = async { rx.await.map_err(io::Error::other) };

    let registered = register::run_registered(Some(store), &engine, ended);
    let watched = async {
        let addr = engine.addr();
        until(store, |list| {
            list.len() == 1 && list[0].addr == addr && list[0].layers == LayerRange::new(0, 8)
        })
        .await;
        common::send("POST", engine.addr(), "/standin/leave", &[], Vec::new())
            .await
            .expect("ok");
        until(store, |list| list[0].draining).await;
        tx.send(()).expect("still registered");
    };
    let (result, ()) = future::join(registered, watched).await;
    result.expect("registered");
    assert!(list(store).await.is_empty());
    engine.stop().await;
}

#[actix_rt::test]
async fn a_restarted_store_is_told_again() {
    let (_first, first) = Store::start().await.expect("start");
    let listen = first.addr;
    let service = service::start(vec![ServiceConfig::new("s", "quay-app")])
        .await
        .expect("start");
    let registered = register::run_registered(Some(listen), &service, future::pending());
    let watched = async {
        until(listen, |list| list.len() == 1).await;
        first.stop().await;
        let second = Store::start_at(listen, None).await.expect("start");
        until(listen, |list| list.len() == 1).await;
        second
    };
    let ended = future::select(Box::pin(registered), Box::pin(watched)).await;
    assert!(matches!(ended, future::Either::Right(_)), "it goes on");
    drop(ended);
    service.stop().await;
}
