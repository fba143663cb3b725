//! Callers' connections while the host shuts down or its limits change.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::catalogue::CallerLimits;
use dragonflyrill_gateway::http::{
    callers::{self, Handler, Received, Responder},
    codec_config,
};
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

const REQUEST: &str = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
const ANSWER: &str = "HTTP/1.1 200 OK\r\n";
/// How long the requests take to be answered, and the pauses while they are sent.
const PAUSE: Duration = Duration::from_millis(150);

/// Answers each request after a pause.
#[derive(Default)]
struct Slow {
    limits: Cell<CallerLimits>,
    received: Cell<u32>,
}

impl Handler for Slow {
    fn limits(&self) -> CallerLimits {
        self.limits.get()
    }

    fn shutting_down(&self) -> bool {
        false
    }

    async fn handle(&self, _req: Received, out: &mut Responder<'_>) -> io::Result<()> {
        self.received.set(self.received.get() + 1);
        time::sleep(PAUSE).await;
        out.send_complete(StatusCode::OK, Default::default(), Bytes::new())
            .await
    }

    fn abandoned(&self) {}
}

struct Server {
    addr: SocketAddr,
    handler: Rc<Slow>,
    closing: watch::Sender<bool>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let handler = Rc::new(Slow::default());
        let closing = watch::Sender::new(false);
        let (serving, receiver) = (handler.clone(), closing.subscribe());
        actix_rt::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let (handler, closing) = (serving.clone(), receiver.clone());
                actix_rt::spawn(callers::serve(io, handler, codec_config(), closing));
            }
        });
        Self {
            addr,
            handler,
            closing,
        }
    }

    /// Applies limits by which a connection may be idle for 1 ms, and a head may take as long.
    fn tighten_limits(&self) {
        let ms = Duration::from_millis(1);
        self.handler.limits.set(CallerLimits {
            head_timeout: ms,
            idle_timeout: ms,
            max_head_bytes: 1,
            max_body_bytes: 1,
        });
    }
}

async fn connect(addr: SocketAddr) -> TcpStream {
    let io = TcpStream::connect(addr).await.expect("it listens");
    time::sleep(PAUSE).await;
    io
}

async fn send(io: &mut TcpStream, text: &str) {
    io.write_all(text.as_bytes()).await.expect("it reads");
}

/// What is received within a second, up to the end of a head.
async fn answer(io: &mut TcpStream) -> String {
    let mut text = String::new();
    let read = async {
        let mut buf = [0; 1024];
        while !text.ends_with("\r\n\r\n") {
            match io.read(&mut buf).await {
                Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&buf[..n])),
                _ => return,
            }
        }
    };
    // A missing answer is seen in the text.
    let _ = time::timeout(Duration::from_secs(1), read).await;
    text
}

#[actix_rt::test]
async fn a_request_that_is_being_read_when_idle_connections_close_is_answered() {
    for sent in [10, REQUEST.len() - 2] {
        let server = Server::start().await;
        let mut io = connect(server.addr).await;
        let (begin, rest) = REQUEST.split_at(sent);
        send(&mut io, begin).await;
        time::sleep(PAUSE).await;
        server.closing.send_replace(true);
        time::sleep(PAUSE).await;
        send(&mut io, rest).await;
        let answer = answer(&mut io).await;
        assert!(answer.starts_with(ANSWER), "{sent} bytes: {answer:?}");
    }
}

#[actix_rt::test]
async fn a_request_that_has_arrived_as_idle_connections_close_is_answered() {
    let server = Server::start().await;
    let io = connect(server.addr).await;
    let io = io.into_std().expect("a socket");
    // Written without giving the server a chance to read before it is told to close.
    io::Write::write_all(&mut &io, REQUEST.as_bytes()).expect("it fits into the buffer");
    server.closing.send_replace(true);
    let mut io = TcpStream::from_std(io).expect("a socket");
    let answer = answer(&mut io).await;
    assert!(answer.starts_with(ANSWER), "{answer:?}");
}

#[actix_rt::test]
async fn idle_connections_close() {
    let server = Server::start().await;
    let mut io = connect(server.addr).await;
    server.closing.send_replace(true);
    assert_eq!(answer(&mut io).await, "");
    assert_eq!(io.read(&mut [0]).await.expect("an end"), 0);
}

#[actix_rt::test]
async fn new_limits_do_not_cut_a_request_that_is_being_read_or_answered() {
    let server = Server::start().await;
    let (mut read, mut answered) = (connect(server.addr).await, connect(server.addr).await);
    let (begin, rest) = REQUEST.split_at(10);
    send(&mut read, begin).await;
    send(&mut answered, REQUEST).await;
    time::sleep(PAUSE / 2).await;
    assert_eq!(server.handler.received.get(), 1);
    server.tighten_limits();
    assert!(answer(&mut answered).await.starts_with(ANSWER));
    send(&mut read, rest).await;
    assert!(answer(&mut read).await.starts_with(ANSWER));
}
