//! A failed call is reported as not sent only if it can't have run. The tests guard against a lost
//! answer that is reported as a call that was not sent, which a caller would retry, and against a
//! body that was cut short but counts as complete.

use std::time::Duration;

use dragonflyrill_engines::{CallError, EngineClient};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an endpoint that accepts one call, reads the first bytes of it, writes `answer` and closes
/// the connection. Returns a client of it.
async fn client_of_endpoint(answer: &'static [u8]) -> EngineClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut io, _) = listener.accept().await.expect("a call");
        let mut buf = [0; 4096];
        let n = io.read(&mut buf).await.expect("a request");
        assert!(n > 0);
        io.write_all(answer).await.expect("an open connection");
    });
    EngineClient::new(awc::Client::default(), addr)
}

#[actix_rt::test]
async fn connection_closed_after_the_request_is_a_lost_answer() {
    let engine = client_of_endpoint(b"").await;
    let result = engine.steps(&[], TIMEOUT, drop).await;
    assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
}

#[actix_rt::test]
async fn refused_connection_is_a_call_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let engine = EngineClient::new(awc::Client::default(), addr);
    let result = engine.steps(&[], TIMEOUT, drop).await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
}

#[actix_rt::test]
async fn body_cut_short_is_a_lost_answer() {
    let engine = client_of_endpoint(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}").await;
    let result = engine.load(TIMEOUT).await;
    assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
}
