//! Clients that send a host more than it should hold: bodies that stop short of their end, bodies over the limit, and
//! many large ones at once.
//!
//! All clients of a crowd send in turns, a piece each, on a thread of their own. So how much a host holds at most does
//! not depend on the speed of the machine.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use tokio::task;

/// The number of clients of a crowd.
pub const CLIENTS: usize = 80;
/// The limit of one body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// How far before its end a body stops, in bytes.
const SHORT_BYTES: usize = 16;
/// The number of bytes that a client sends in one turn, unless the message says otherwise.
const PIECE_BYTES: usize = 64 * 1024;

/// The pause between two turns in which no client could send anything.
const IDLE_PAUSE: Duration = Duration::from_millis(5);
/// How long no client can send anything until the crowd stops trying.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// The size up to which equal chunks are repeated in memory.
const MAX_BLOCK_BYTES: usize = 64 * 1024;

/// How the end of a body is stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length, in bytes.
    Length(usize),
    /// By chunks of this size, in bytes.
    Chunks(usize),
}

/// What each client of a crowd sends.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line and the headers, without those that state the end of the body. `{n}` stands for the number of
    /// the client.
    pub head: String,
    /// How the end of the body is stated.
    pub framing: Framing,
    /// The bytes of the body that are sent.
    pub sent: usize,
    /// Whether a body in chunks is ended.
    pub ended: bool,
    /// The maximum number of bytes that a client sends in one turn.
    pub piece: usize,
}

impl Message {
    /// A message whose body stops short of its end.
    pub fn short(head: String, framing: Framing) -> Self {
        Self {
            head,
            framing,
            sent: MAX_BODY_BYTES - SHORT_BYTES,
            ended: false,
            piece: PIECE_BYTES,
        }
    }

    /// The same with its whole body.
    pub fn whole(head: String, framing: Framing) -> Self {
        Self {
            sent: MAX_BODY_BYTES,
            ended: true,
            ..Self::short(head, framing)
        }
    }

    /// Starts a crowd of clients that send this message.
    ///
    /// # Errors
    /// A client can't connect.
    pub fn start(&self, addr: SocketAddr, clients: usize) -> io::Result<Crowd> {
        let clients = (0..clients).map(|n| Client::connect(addr, self.head_of(n)));
        Ok(Crowd {
            clients: clients.collect::<io::Result<_>>()?,
            wire: Wire::new(self),
            piece: self.piece,
        })
    }

    fn head_of(&self, client: usize) -> Vec<u8> {
        let framing = match self.framing {
            Framing::Length(length) => format!("Content-Length: {length}"),
            Framing::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
        };
        let head = self.head.replace("{n}", &client.to_string());
        format!("{head}{framing}\r\n\r\n").into_bytes()
    }
}

/// The bytes of a message that follow its head.
struct Wire {
    /// Repeated to make up the body.
    block: Vec<u8>,
    /// The length of the body with its framing, without its end.
    body_len: usize,
    end: &'static [u8],
}

impl Wire {
    fn new(message: &Message) -> Self {
        let (chunk, end) = match message.framing {
            Framing::Length(_) => (vec![b'a'; MAX_BLOCK_BYTES], ""),
            Framing::Chunks(size) => {
                let chunk = format!("{size:x}\r\n{}\r\n", "a".repeat(size));
                (chunk.into_bytes(), "0\r\n\r\n")
            }
        };
        let body_len = match message.framing {
            Framing::Length(_) => message.sent,
            Framing::Chunks(size) => {
                let begun = message.sent % size;
                let framing = chunk.len() - size - "\r\n".len();
                let begun = begun + if begun > 0 { framing } else { 0 };
                message.sent / size * chunk.len() + begun
            }
        };
        Self {
            block: chunk.repeat((MAX_BLOCK_BYTES / chunk.len()).max(1)),
            body_len,
            end: if message.ended { end.as_bytes() } else { b"" },
        }
    }

    /// The bytes from `offset` on that are at hand; none at the end.
    fn from(&self, offset: usize) -> &[u8] {
        match self.body_len.checked_sub(offset) {
            Some(left) if left > 0 => {
                let bytes = &self.block[offset % self.block.len()..];
                &bytes[..bytes.len().min(left)]
            }
            _ => &self.end[(offset - self.body_len).min(self.end.len())..],
        }
    }
}

/// A client of a crowd.
struct Client {
    io: TcpStream,
    head: Vec<u8>,
    /// The number of bytes sent, with those of the head.
    sent: usize,
    /// Whether the host has closed the connection.
    closed: bool,
}

impl Client {
    fn connect(addr: SocketAddr, head: Vec<u8>) -> io::Result<Self> {
        let io = TcpStream::connect(addr)?;
        io.set_nonblocking(true)?;
        Ok(Self {
            io,
            head,
            sent: 0,
            closed: false,
        })
    }

    /// The bytes that are to be sent next; none if everything has been sent.
    fn next<'a>(&'a self, wire: &'a Wire) -> &'a [u8] {
        match self.sent.checked_sub(self.head.len()) {
            Some(offset) => wire.from(offset),
            None => &self.head[self.sent..],
        }
    }

    /// Sends the next piece; returns the number of bytes sent.
    fn send(&mut self, wire: &Wire, piece: usize) -> usize {
        let before = self.sent;
        let until = before + piece;
        while !self.closed && self.sent < until {
            let bytes = self.next(wire);
            if bytes.is_empty() {
                break;
            }
            let bytes = &bytes[..bytes.len().min(until - self.sent)];
            match (&self.io).write(bytes) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.closed = true,
            }
        }
        self.sent - before
    }
}

/// Sends the messages of crowds one after another, while all clients stay connected. `{crowd}` in a head stands for the
/// number of the crowd.
pub async fn send_all(messages: Vec<Message>, addr: SocketAddr) -> Vec<Crowd> {
    let send = move || {
        let send = |(crowd, mut message): (usize, Message)| {
            message.head = message.head.replace("{crowd}", &crowd.to_string());
            let mut crowd = message.start(addr, CLIENTS).expect("the host accepts");
            crowd.send();
            crowd
        };
        messages.into_iter().enumerate().map(send).collect()
    };
    task::spawn_blocking(send).await.expect("sent")
}

/// Clients that are connected to a host. They stay connected until the crowd is dropped.
pub struct Crowd {
    clients: Vec<Client>,
    wire: Wire,
    piece: usize,
}

impl Crowd {
    /// Sends the messages, as far as the host reads them.
    pub fn send(&mut self) {
        let mut idle_since = Instant::now();
        loop {
            let turns = self.clients.iter_mut();
            let sent: usize = turns.map(|c| c.send(&self.wire, self.piece)).sum();
            let done = |c: &Client| c.closed || c.next(&self.wire).is_empty();
            if self.clients.iter().all(done) {
                return;
            }
            if sent > 0 {
                idle_since = Instant::now();
            } else if idle_since.elapsed() < MAX_IDLE_TIME {
                thread::sleep(IDLE_PAUSE);
            } else {
                return;
            }
        }
    }

    /// The statuses of the answers that clients have received and not read yet; none for a client without one.
    pub fn statuses(&mut self) -> Vec<Option<u16>> {
        let status = |client: &mut Client| {
            let mut head = [0; 64];
            let n = client.io.read(&mut head).ok()?;
            let line = std::str::from_utf8(&head[..n]).ok()?;
            line.split(' ').nth(1)?.parse().ok()
        };
        self.clients.iter_mut().map(status).collect()
    }
}
