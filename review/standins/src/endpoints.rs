//! Stand-ins of plain servers, and the entries that servers write in the store.

use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    record::Record,
    store::Store,
};

/// The interval at which a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The pause before a server repeats a write of its entry that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub at: Instant,
}

/// All requests that servers ran.
#[derive(Default)]
pub struct Ledger(Mutex<Vec<Run>>);

impl Ledger {
    fn add(&self, run: Run) {
        self.0.lock().unwrap().push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// How a server is listed.
#[derive(Debug, Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// Whether its entry says that it is draining.
    pub draining: Arc<AtomicBool>,
    /// Whether it has left: it writes no entry any more, though it may go on serving.
    pub left: Arc<AtomicBool>,
}

impl Listed {
    /// The entry after `beats` heartbeats.
    pub fn entry(&self, beats: u64) -> String {
        let Self {
            service,
            addr,
            zone,
            slots,
            ..
        } = self;
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldRemainingMs":0,"sequence":{beats}}}"#
        )
    }

    fn has_left(&self) -> bool {
        self.left.load(Ordering::SeqCst)
    }

    /// Removes the entry of the server, which leaves. Returns the time of the store's acknowledgement and its version.
    pub fn leave(&self, store: &Store) -> (Instant, u64) {
        self.left.store(true, Ordering::SeqCst);
        loop {
            if let Some(ver) = store.write("servers", &self.id, None) {
                return (Instant::now(), ver);
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Reports that the server drains. Returns the time of the store's acknowledgement and the version of the row.
    pub fn drain(&self, store: &Store) -> (Instant, u64) {
        self.draining.store(true, Ordering::SeqCst);
        loop {
            if let Some(ver) = store.write("servers", &self.id, Some(&self.entry(0))) {
                return (Instant::now(), ver);
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Writes the entry of the server at each heartbeat, from now on. A write that fails is repeated until it succeeds.
    pub fn keep_listed(self, store: Arc<Store>) {
        thread::spawn(move || {
            for beats in 1.. {
                let entry = self.entry(beats);
                while !self.has_left() && store.write("servers", &self.id, Some(&entry)).is_none() {
                    thread::sleep(RETRY_PAUSE);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// The stand-in of a plain server: it runs each request for the same time and answers with a body that names the request.
pub struct PlainServer {
    pub listed: Listed,
    pub work: Duration,
    pub ledger: Arc<Ledger>,
    pub record: Arc<Record>,
}

impl PlainServer {
    pub fn start(self) -> io::Result<()> {
        let listener = TcpListener::bind(self.listed.addr)?;
        let server = Arc::new(self);
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(io));
            }
        });
        Ok(())
    }

    fn serve(&self, mut io: TcpStream) {
        let _ = io.set_nodelay(true);
        let Ok(copy) = io.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(req) = http::read_request(&mut reader) {
            if self.answer(&req, &mut io).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Request, io: &mut TcpStream) -> io::Result<()> {
        let id = &*self.listed.id;
        if req.path() == "/health" {
            return http::write_answer(io, 200, &[("Instance-Id", id)], b"");
        }
        if req
            .header("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            return http::write_answer(io, 421, &[("Instance-Id", id)], b"");
        }
        let attempt = req.header("attempt-id").unwrap_or_default().to_owned();
        let tenant = req.header("tenant").unwrap_or("-");
        self.ledger.add(Run {
            attempt: attempt.clone(),
            server: id.to_owned(),
            at: Instant::now(),
        });
        self.record
            .add(&format!("run {attempt} at {id}, tenant {tenant}"));
        thread::sleep(self.work);
        let seal = format!("{id}.{attempt}");
        let headers = [("Attempt-Id", &*attempt), ("Response-Seal", &*seal)];
        http::write_answer(io, 200, &headers, format!("answer to {attempt}").as_bytes())
    }
}
