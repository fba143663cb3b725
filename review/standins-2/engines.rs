//! A stand-in of a model server: it reports what it holds, takes orders to load layers, and answers streams.

use crate::platform::{Json, Message, Record, read_message, unix_ms};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The kind of a server's accelerator.
#[derive(Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub megabytes: u64,
}

pub const A100: Kind = Kind { name: "a100", megabytes: 72_000 };
pub const L4: Kind = Kind { name: "l4", megabytes: 21_600 };
pub const LAYER_MB: u64 = 1_750;
/// How long a server takes to load what it is ordered to hold.
const LOAD: Duration = Duration::from_millis(500);
/// The events of a stream, and the time between two of them.
pub const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Held {
    layers: Option<(u64, u64)>,
    target: Option<((u64, u64), Instant)>,
    sequence: u64,
}

impl Held {
    /// Completes a load whose time is over.
    fn settle(&mut self) {
        if let Some((layers, at)) = self.target
            && at <= Instant::now()
        {
            self.layers = Some(layers);
            self.target = None;
        }
    }
}

/// A model server.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: &'static str,
    pub kind: Kind,
    pub addr: SocketAddr,
    pub born: u64,
    held: Arc<Mutex<Held>>,
    /// It no longer answers anything.
    silent: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Whether it was ordered to hold more than it has memory for.
    pub overloaded: Arc<AtomicBool>,
    /// The number of times that it has written its entry.
    pub heartbeats: Arc<AtomicU64>,
    record: Record,
}

impl Engine {
    /// Starts an empty server at an address; port 0 stands for any free port.
    pub fn start(id: &str, service: &'static str, kind: Kind, addr: SocketAddr, record: &Record) -> Self {
        let listener = TcpListener::bind(addr).expect("the address is free");
        listener.set_nonblocking(true).expect("it accepts without waiting");
        let engine = Self {
            id: id.to_owned(),
            service,
            kind,
            addr: listener.local_addr().expect("bound"),
            born: unix_ms(),
            held: Arc::default(),
            silent: Arc::default(),
            ended: Arc::default(),
            open: Arc::default(),
            overloaded: Arc::default(),
            heartbeats: Arc::default(),
            record: record.clone(),
        };
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(listener));
        engine
    }

    fn accept(&self, listener: TcpListener) {
        while !self.ended.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((io, _)) => {
                    let _ = io.set_nonblocking(false);
                    self.open.lock().unwrap().extend(io.try_clone());
                    if self.silent.load(Ordering::Relaxed) {
                        continue;
                    }
                    let engine = self.clone();
                    thread::spawn(move || engine.serve(io));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// The server falls silent: nothing that reaches it is answered any more.
    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Gives the address of a server that has ended free.
    pub fn release(&self) {
        self.ended.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(5));
        for io in self.open.lock().unwrap().drain(..) {
            let _ = io.shutdown(Shutdown::Both);
        }
    }

    pub fn layers(&self) -> Option<(u64, u64)> {
        let mut held = self.held.lock().unwrap();
        held.settle();
        held.layers
    }

    fn layers_json(&self) -> String {
        match self.layers() {
            Some((from, target)) => {
                format!(",\"layers\":{{\"from\":{from},\"target\":{target},\"version\":1}}")
            }
            None => String::new(),
        }
    }

    /// Its entry in the platform's list.
    pub fn entry(&self, zone: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":192,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{},\"stage\":\"colocated\",\"models\":[],\"kind\":\"{}\"{}}}",
            self.service, self.addr, self.born, self.kind.name, self.layers_json()
        )
    }

    fn serve(&self, io: TcpStream) {
        let _ = io.set_nodelay(true);
        let Ok(read) = io.try_clone() else { return };
        let mut reader = BufReader::new(read);
        let mut writer = io;
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.silent.load(Ordering::Relaxed) {
                // The connection stays open until the address is given free.
                return;
            }
            if self.ended.load(Ordering::Relaxed) || self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let path = request.first.split(' ').nth(1).unwrap_or_default();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let attempt = request.header("attempt-id");
            self.record.note(format!("server {} refuses {} {attempt} with 421: it was sent to {expected}", self.id, request.first));
            return write!(
                out,
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        match path {
            "/dragonflyrill/report" => {
                let busy = { let mut h = self.held.lock().unwrap(); h.settle(); h.target.is_some() };
                let sequence = self.held.lock().unwrap().sequence;
                let body = format!(
                    "{{\"stage\":\"colocated\",\"models\":[],\"busy\":{busy},\"sequence\":{sequence},\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":1000000,\"handles\":0,\"pace\":1.0,\"kind\":\"{}\",\"born\":{}{}}}",
                    self.kind.name, self.born, self.layers_json()
                );
                json(out, "200 OK", &body)
            }
            "/dragonflyrill/order" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let status = self.order(&text);
                self.record.note(format!(
                    "server {} ({}, {}, {} MB) is ordered {text}: {status}",
                    self.id, self.service, self.kind.name, self.kind.megabytes
                ));
                json(out, status, "{}")
            }
            _ => self.stream(request, out),
        }
    }

    fn order(&self, text: &str) -> &'static str {
        let Some(order) = Json::parse(text) else { return "400 Bad Request" };
        if order.get("op").text() != "place" {
            return "400 Bad Request";
        }
        let mut held = self.held.lock().unwrap();
        held.settle();
        if let Json::Number(expected) = order.get("precondition")
            && *expected as u64 != held.sequence
        {
            return "409 Conflict";
        }
        let layers = (order.get("from").number(), order.get("target").number());
        if held.layers == Some(layers) {
            return "200 OK";
        }
        if held.target.is_some() {
            return "409 Conflict";
        }
        held.sequence += 1;
        held.target = Some((layers, Instant::now() + LOAD));
        if (layers.1 - layers.0) * LAYER_MB > self.kind.megabytes {
            self.overloaded.store(true, Ordering::Relaxed);
            self.record.note(format!(
                "server {} is ordered to hold {} MB and has {}",
                self.id, (layers.1 - layers.0) * LAYER_MB, self.kind.megabytes
            ));
            // A server that is ordered to hold more than it has crashes.
            let server = self.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(50));
                server.release();
            });
        }
        "202 Accepted"
    }

    fn stream(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header("attempt-id");
        let own = request.header("hop-count").split(',').next().unwrap_or_default().to_owned();
        let part = own.split('=').nth(1).and_then(|p| p.split_once('-'));
        let part = part.and_then(|(a, b)| Some((a.parse::<u64>().ok()?, b.parse::<u64>().ok()?)));
        let holds = match (part, self.layers()) {
            (Some((from, target)), Some(held)) => held.0 <= from && target <= held.1,
            _ => false,
        };
        if !holds {
            self.record.note(format!("server {} refuses {attempt} with 421: it does not hold its part", self.id));
            return write!(
                out,
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nAttempt-Id: {attempt}\r\nAt-Server: {}\r\nContent-Length: 0\r\n\r\n",
                self.id, self.addr
            );
        }
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.record.note(format!("server {} runs {attempt} after event {after} over {}", self.id, request.header("hop-count")));
        write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {}.{attempt}\r\nWeight-Versions: 1\r\n\r\n",
            self.id
        )?;
        for event in after + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            if self.silent.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
            write!(out, "{:x}\r\n{text}\r\n", text.len())?;
        }
        write!(out, "0\r\n\r\n")
    }
}

fn json(out: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    write!(
        out,
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
