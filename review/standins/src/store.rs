//! The stand-in of the platform's store: rows, their feed and transactions.
//!
//! It answers as the platform's pages say: a transaction is atomic, versions come from a single counter, a feed from a
//! version that the store does not have is answered 410, and each answer has the header `Store-Era`.

use std::{
    collections::BTreeMap,
    fmt,
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex, MutexGuard,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{self, Value},
};

/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How long a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
/// The maximum number of rows of an answer.
const MAX_ROWS: usize = 500;

/// The version before the first transaction.
const FIRST_VERSION: u64 = 100;

/// A row is named by its table and its key; all parts are empty.
type Name = (String, String);

#[derive(Debug, Clone)]
struct Change {
    ver: u64,
    at: Instant,
    name: Name,
    /// Base64; `None` if the row was removed.
    value: Option<String>,
}

struct State {
    history: Vec<Change>,
    /// The version of the last transaction.
    ver: u64,
    era: u64,
}

impl State {
    fn rows(&self) -> BTreeMap<Name, Change> {
        let mut rows = BTreeMap::new();
        for change in &self.history {
            match change.value {
                Some(_) => rows.insert(change.name.clone(), change.clone()),
                None => rows.remove(&change.name),
            };
        }
        rows
    }

    fn apply(&mut self, changes: Vec<(Name, Option<String>)>) -> u64 {
        self.ver += 1;
        for (name, value) in changes {
            self.history.push(Change {
                ver: self.ver,
                at: Instant::now(),
                name,
                value,
            });
        }
        self.ver
    }
}

/// The stand-in of the store.
pub struct Store {
    addr: SocketAddr,
    started_at: Instant,
    state: Mutex<State>,
    changed: Condvar,
    connections: Mutex<Vec<TcpStream>>,
    /// Cleared while the store is away.
    up: AtomicBool,
}

/// What a restoration did.
#[derive(Clone, Copy)]
pub struct Restored {
    /// The last version before it.
    pub before: u64,
    /// The version of the copy.
    pub copy: u64,
}

impl fmt::Display for Restored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} became {}", self.before, self.copy)
    }
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            addr,
            started_at: Instant::now(),
            state: Mutex::new(State {
                history: Vec::new(),
                ver: FIRST_VERSION,
                era: 1,
            }),
            changed: Condvar::new(),
            connections: Mutex::default(),
            up: AtomicBool::new(false),
        });
        store.listen()?;
        Ok(store)
    }

    /// Writes a row as the operator or a server; `None` removes it. Returns its version, or `None` if the store is away.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) -> Option<u64> {
        let mut state = self.state();
        if !self.is_up() {
            return None;
        }
        let name = (table.to_owned(), key.to_owned());
        let value = value.map(|text| json::base64(text.as_bytes()));
        let ver = state.apply(vec![(name, value)]);
        self.changed.notify_all();
        Some(ver)
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// Goes away: connections end, and new ones are refused.
    pub fn go_away(&self) {
        let state = self.state();
        self.up.store(false, Ordering::SeqCst);
        drop(state);
        // Unblocks `accept`, which then closes the listener.
        let _ = TcpStream::connect(self.addr);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Comes back from a copy taken at `copy_at`: later writes are gone, and their versions are given out again. The
    /// operator and the servers write again what they wrote since.
    pub fn come_back_from_copy(self: &Arc<Self>, copy_at: Instant) -> io::Result<Restored> {
        let mut state = self.state();
        let before = state.ver;
        let kept = state.history.partition_point(|change| change.at <= copy_at);
        state.history.truncate(kept);
        state.ver = state
            .history
            .last()
            .map_or(FIRST_VERSION, |change| change.ver);
        state.era += 1;
        let copy = state.ver;
        drop(state);
        self.listen()?;
        Ok(Restored { before, copy })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.addr)?;
        self.up.store(true, Ordering::SeqCst);
        let store = self.clone();
        thread::spawn(move || {
            for io in listener.incoming() {
                if !store.is_up() {
                    return;
                }
                let Ok(io) = io else { continue };
                if let Ok(copy) = io.try_clone() {
                    store.connections.lock().unwrap().push(copy);
                }
                let store = store.clone();
                thread::spawn(move || store.serve(io));
            }
        });
        Ok(())
    }

    fn serve(&self, mut io: TcpStream) {
        let _ = io.set_nodelay(true);
        let Ok(copy) = io.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(req) = http::read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let Some((status, body)) = self.answer(&req) else {
                return;
            };
            let era = self.state().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &*era)];
            if http::write_answer(&mut io, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a call; `None` if the store has gone away.
    fn answer(&self, req: &Request) -> Option<(u16, String)> {
        match (&*req.method, req.path()) {
            ("GET", "/dragonflyrill/rows-get") => self.read_rows(req),
            ("GET", "/dragonflyrill/rows-feed") => self.read_feed(req),
            ("POST", "/dragonflyrill/rows-tx") => self.transact(&req.body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn read_rows(&self, req: &Request) -> Option<(u16, String)> {
        let table = req.query("table").unwrap_or_default();
        let from = req.query("from").unwrap_or_default();
        let target = req.query("target").filter(|key| !key.is_empty());
        let limit = req.query("limit").and_then(|n| n.parse().ok());
        let limit = limit.unwrap_or(MAX_ROWS).clamp(1, MAX_ROWS);
        let state = self.state();
        if !self.is_up() {
            return None;
        }
        let rows = state.rows();
        let found = rows.iter().filter(|((of, key), _)| {
            *of == table && *key >= from && target.as_ref().is_none_or(|target| key < target)
        });
        let found: Vec<&Change> = found.map(|(_, change)| change).collect();
        let page = &found[..found.len().min(limit)];
        Some((200, self.rows_body(&state, page, found.len() > limit)))
    }

    fn read_feed(&self, req: &Request) -> Option<(u16, String)> {
        let table = req.query("table").unwrap_or_default();
        let number = |name| {
            req.query(name)
                .and_then(|n| n.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("afterRevision");
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let mut state = self.state();
        loop {
            if !self.is_up() {
                return None;
            }
            if after > state.ver {
                return Some((410, "{}".to_owned()));
            }
            let mut last: BTreeMap<&Name, &Change> = BTreeMap::new();
            for change in state
                .history
                .iter()
                .filter(|c| c.ver > after && c.name.0 == table)
            {
                last.insert(&change.name, change);
            }
            let left = until.saturating_duration_since(Instant::now());
            if !last.is_empty() || left.is_zero() {
                let mut found: Vec<&Change> = last.into_values().collect();
                found.sort_by_key(|change| change.ver);
                return Some((200, self.rows_body(&state, &found, false)));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> Option<(u16, String)> {
        thread::sleep(TRANSACTION_TIME);
        let Some(tx) = json::parse(body) else {
            return Some((400, "{}".to_owned()));
        };
        let mut state = self.state();
        if !self.is_up() {
            return None;
        }
        let rows = state.rows();
        let name = |row: &Value| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let conditions = tx.get("precondition").list();
        let holds =
            |row: &Value| rows.get(&name(row)).map_or(0, |c| c.ver) == row.get("ver").number();
        if !conditions.iter().all(holds) {
            let found: Vec<&Change> = conditions
                .iter()
                .filter_map(|row| rows.get(&name(row)))
                .collect();
            return Some((412, self.rows_body(&state, &found, false)));
        }
        let upserts = tx.get("upserts").list().iter();
        let upserts = upserts.map(|row| (name(row), Some(row.get("value").text().to_owned())));
        let removed = tx.get("remove").list().iter().map(|row| (name(row), None));
        let changes: Vec<(Name, Option<String>)> = upserts.chain(removed).collect();
        if changes
            .iter()
            .any(|((table, _), _)| table == "op" || table == "servers")
        {
            return Some((403, "{}".to_owned()));
        }
        state.apply(changes);
        self.changed.notify_all();
        Some((200, self.rows_body(&state, &[], false)))
    }

    fn rows_body(&self, state: &State, rows: &[&Change], more: bool) -> String {
        let rows: Vec<String> = rows.iter().map(|change| row_text(change)).collect();
        let now_ms = self.started_at.elapsed().as_millis();
        let ver = state.ver;
        format!(
            r#"{{"rows":[{}],"hasMore":{more},"ver":{ver},"nowMs":{now_ms}}}"#,
            rows.join(",")
        )
    }
}

fn row_text(change: &Change) -> String {
    let (table, key) = &change.name;
    let ver = change.ver;
    match &change.value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#
        ),
        None => {
            format!(r#"{{"table":"{table}","part":"","key":"{key}","deleted":true,"ver":{ver}}}"#)
        }
    }
}
