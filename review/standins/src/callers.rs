//! Clients that call hosts over kept connections.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    deployment::{DOMAIN, SERVICES},
    hosts::Host,
    http::Connection,
    record::Record,
};

/// The pause of a client between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(100);
/// How long a client waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// A request that a client sent.
#[derive(Debug, Clone)]
pub struct Sent {
    pub key: &'static str,
    pub host: String,
    pub at: Instant,
    /// The status of its answer, if there was one.
    pub status: Option<u16>,
}

/// How many of some requests were served.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub sent: usize,
    pub served: usize,
}

impl fmt::Display for Served {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} requests were served", self.served, self.sent)
    }
}

/// All clients, and what they sent.
pub struct Callers {
    record: Arc<Record>,
    pub sent: Mutex<HashMap<String, Sent>>,
    next: AtomicU64,
    pub stop: AtomicBool,
}

impl Callers {
    /// Clients that call the route of each service in turn.
    pub fn new(record: Arc<Record>) -> Self {
        Self {
            record,
            sent: Mutex::default(),
            next: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        }
    }

    /// Starts a client for each host and key.
    pub fn call_all(
        self: &Arc<Self>,
        hosts: &[Host],
        keys: &[&'static str],
    ) -> Vec<JoinHandle<()>> {
        let mut threads = Vec::new();
        for host in hosts {
            for key in keys.iter().copied() {
                let (callers, host) = (self.clone(), host.clone());
                threads.push(thread::spawn(move || callers.call(&host, key)));
            }
        }
        threads
    }

    /// Calls a host with a key until the clients stop.
    fn call(&self, host: &Host, key: &'static str) {
        let mut connection = None;
        while !self.stop.load(Ordering::SeqCst) {
            let n = self.next.fetch_add(1, Ordering::SeqCst);
            let attempt = format!("{n:016x}");
            let service = SERVICES[n as usize % SERVICES.len()].name;
            let sent = Sent {
                key,
                host: host.name.clone(),
                at: Instant::now(),
                status: None,
            };
            self.sent.lock().unwrap().insert(attempt.clone(), sent);
            let name = &host.name;
            self.record.add(&format!(
                "sent {attempt} to {name}, service {service}, key {key}"
            ));
            connection = self.send(connection, host.callers(), service, &attempt, key);
            thread::sleep(CALL_PAUSE);
        }
    }

    /// Sends a request and records its answer. Returns the connection if it can be used again.
    fn send(
        &self,
        connection: Option<Connection>,
        addr: SocketAddr,
        service: &str,
        attempt: &str,
        key: &str,
    ) -> Option<Connection> {
        let record = &self.record;
        let Some(mut connection) = connection.or_else(|| Connection::open(addr, ANSWER_LIMIT).ok())
        else {
            record.add(&format!("no connection for {attempt}"));
            return None;
        };
        let headers = [
            ("Host", DOMAIN),
            ("Attempt-Id", attempt),
            ("Request-Deadline", "1500"),
            ("Credential", key),
        ];
        match connection.call("GET", &format!("/{service}/lot"), &headers, b"") {
            Ok(answer) => {
                record.add(&format!("answered {attempt} {}", answer.status));
                if let Some(sent) = self.sent.lock().unwrap().get_mut(attempt) {
                    sent.status = Some(answer.status);
                }
                let closes = |value: &str| value.eq_ignore_ascii_case("close");
                (!answer.header("connection").is_some_and(closes)).then_some(connection)
            }
            Err(e) => {
                record.add(&format!("no answer to {attempt}: {e}"));
                None
            }
        }
    }

    /// How many of the requests that were sent from `from` to `until` were served.
    pub fn served_between(&self, from: Instant, until: Instant) -> Served {
        let mut served = Served::default();
        for sent in self.sent.lock().unwrap().values() {
            if sent.at >= from && sent.at < until {
                served.sent += 1;
                served.served += usize::from(sent.status == Some(200));
            }
        }
        served
    }
}
