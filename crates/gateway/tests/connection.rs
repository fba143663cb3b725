//! What the other end of a connection sees when it is dropped.

use std::io;

use actix_http::RequestHead;
use bytes::Bytes;
use dragonflyrill_gateway::http::{codec_config, connection::Connection};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// A connection over which a request was sent, and its other end, which has read it.
async fn asked() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let mut connection = Connection::open(addr, &codec_config())
        .await
        .expect("it listens");
    let (mut peer, _) = listener.accept().await.expect("a connection");
    let mut head = RequestHead::default();
    head.uri = "/get/x".parse().expect("a path");
    let sent = connection.send(head, Bytes::new()).await;
    sent.expect("it is read");
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        peer.read_buf(&mut text).await.expect("a request");
    }
    (connection, peer)
}

/// What the other end reads next.
async fn next(mut peer: TcpStream) -> Result<usize, io::ErrorKind> {
    let read = peer.read(&mut [0]).await;
    read.map_err(|e| e.kind())
}

#[actix_rt::test]
async fn a_request_that_is_given_up_is_taken_back_by_a_reset() {
    let (connection, peer) = asked().await;
    drop(connection);
    assert_eq!(next(peer).await, Err(io::ErrorKind::ConnectionReset));
}

#[actix_rt::test]
async fn an_answer_that_is_left_before_its_end_is_taken_back_by_a_reset() {
    let (mut connection, mut peer) = asked().await;
    let part = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
    peer.write_all(part).await.expect("it is read");
    connection.head().await.expect("an answer");
    connection.chunk().await.expect("a part of it");
    drop(connection);
    assert_eq!(next(peer).await, Err(io::ErrorKind::ConnectionReset));
}

#[actix_rt::test]
async fn a_connection_whose_answer_was_read_whole_is_closed() {
    let (mut connection, mut peer) = asked().await;
    let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    peer.write_all(whole).await.expect("it is read");
    connection.head().await.expect("an answer");
    connection.whole_body(10).await.expect("all of it");
    drop(connection);
    assert_eq!(next(peer).await, Ok(0));
}
