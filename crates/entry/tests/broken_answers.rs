//! Answers of plain services that end too early.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::Fleet;
use dragonflyrill_standins::service::ServiceConfig;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

/// The time between the last bytes of an answer and a reset, which discards what was not read.
const TIME_TO_READ: Duration = Duration::from_millis(50);
const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a service that answers each call with these bytes, and then closes or resets the connection.
async fn start_service(answer: String, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind(common::any_port()).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    actix_rt::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            if !io.read(&mut buf).await.is_ok_and(|n| n > 0) {
                continue;
            }
            // The host may have closed the connection.
            let _ = io.write_all(answer.as_bytes()).await;
            if reset {
                time::sleep(TIME_TO_READ).await;
                let _ = socket2::SockRef::from(&io).set_linger(Some(Duration::ZERO));
            }
        }
    });
    addr
}

/// Declares a service with one endpoint that answers like this, and calls it once. Returns the status and the body.
async fn call(fleet: &mut Fleet, name: &str, answer: &str, reset: bool) -> (u16, String) {
    let addr = start_service(answer.to_owned(), reset).await;
    let declarations = format!(
        "[service {name}]\nnot_repeatable = /once\n[limit w/{name}/interactive]\n\
         requests_per_second = 100\ntokens_per_second = 0\nin_flight = 100\nburst_seconds = 1\n\
         deadline_ms = 5000\nrepeatable = true\n"
    );
    let host = fleet.nodes[0].host.clone();
    let before = host.catalogue().revision();
    fleet.apply(&declarations).await;
    common::until("the service is declared", || {
        host.catalogue().revision() > before
    })
    .await;
    let mut cfg = ServiceConfig::new(&format!("e-{name}"), name);
    cfg.data_centre = "dc".into();
    let endpoints = host.router.borrow().table().len();
    fleet.list(&cfg.listing(addr)).await;
    common::until("the endpoint is known", || {
        host.router.borrow().table().len() == endpoints + 1
    })
    .await;
    let url = fleet.url(0, &format!("/services/{name}/once/x"));
    let sent = fleet.http.post(url).insert_header(("x-workspace", "w"));
    let mut rsp = sent.send_body("x").await.expect("an answer");
    let body = rsp.body().await.expect("a body");
    let body = String::from_utf8_lossy(&body).into_owned();
    (rsp.status().as_u16(), body)
}

/// Guards against a part of an answer that the caller gets as a whole one.
#[actix_rt::test]
async fn a_part_of_a_services_answer_is_not_relayed_as_a_whole_one() {
    let mut fleet = Fleet::start(1).await;
    let broken = [
        "HTTP/1.1 2".to_owned(),
        HEAD.to_owned(),
        format!("{HEAD}Content-Length: 8\r\n"),
        format!("{HEAD}Content-Length: 8\r\n\r\n"),
        format!("{HEAD}Content-Length: 8\r\n\r\npart"),
        CHUNKED.to_owned(),
        format!("{CHUNKED}8"),
        format!("{CHUNKED}8\r\npart"),
        format!("{CHUNKED}4\r\npart\r\n"),
        format!("{CHUNKED}4\r\npart\r\n0\r\n"),
    ];
    for (i, answer) in broken.iter().enumerate() {
        for reset in [false, true] {
            let name = format!("t{i}-{reset}");
            let (status, body) = call(&mut fleet, &name, answer, reset).await;
            let case = format!("{answer:?}, reset: {reset}: {body}");
            assert_eq!(status, 502, "{case}");
            assert!(!body.contains("\"part") && body != "part", "{case}");
        }
    }
}

/// Guards against an answer without a length that was reset, and one that ends regularly and is refused.
#[actix_rt::test]
async fn an_answer_that_ends_with_its_connection_is_whole_unless_that_is_reset() {
    let mut fleet = Fleet::start(1).await;
    let answer = format!("{HEAD}\r\nwhole");
    let closed = call(&mut fleet, "closes", &answer, false).await;
    assert_eq!(closed, (200, "whole".to_owned()));
    let (status, body) = call(&mut fleet, "resets", &answer, true).await;
    assert_eq!(status, 502, "{body}");
}
