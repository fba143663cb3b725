//! A fake entry host on an ephemeral port that sends scripted replies.

// Each test file uses only some of the items.
#![allow(dead_code)]

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The reply to one request other than a probe.
#[derive(Clone)]
pub(crate) enum Reply {
    /// Writes the text and keeps the connection open for the next request.
    KeepOpen(String),
    /// Writes the text and closes the connection.
    Close(String),
}

/// The requests other than probes that the fake host received, in order.
#[derive(Clone, Default)]
pub(crate) struct ReceivedRequests(pub(crate) Rc<RefCell<Vec<String>>>);

/// Starts a fake host that sends `replies` in order and repeats the last one for all further
/// requests.
pub(crate) async fn fake_host(replies: Vec<Reply>) -> (SocketAddr, ReceivedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let received = ReceivedRequests::default();
    let received_by_server = received.clone();
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(serve(stream, replies.clone(), received_by_server.clone()));
        }
    });
    (addr, received)
}

async fn serve(mut stream: TcpStream, replies: Vec<Reply>, received: ReceivedRequests) {
    while let Some(req) = read_request(&mut stream).await {
        if req.starts_with("GET /readyz") {
            let ok = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(ok.as_bytes()).await;
            continue;
        }
        let n = received.0.borrow().len().min(replies.len() - 1);
        received.0.borrow_mut().push(req);
        match &replies[n] {
            Reply::KeepOpen(text) => stream.write_all(text.as_bytes()).await.unwrap(),
            Reply::Close(text) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .filter_map(|line| line.split_once(": "))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .map_or(0, |(_, value)| value.parse().unwrap());
            if body.len() >= length {
                return Some(text);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

/// A complete HTTP response with a JSON body.
pub(crate) fn json(status: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {len}\r\n{headers}\r\n{body}")
}

/// The head of a streamed HTTP response, and its events as one chunk. The final empty chunk is
/// missing.
pub(crate) fn stream(events: &str) -> String {
    let len = events.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r1\r\n\
         transfer-encoding: chunked\r\n\r\n{len:x}\r\n{events}\r\n"
    )
}

/// The event of one token.
pub(crate) fn token(index: usize, text: &str) -> String {
    format!(
        "id: {index}\ndata: {{\"id\":\"r1\",\"choices\":[{{\"index\":0,\"text\":\"{text}\"}}]}}\n\n"
    )
}
