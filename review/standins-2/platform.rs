//! Stand-ins for scripts of the second review, without dependencies: the platform's store, plain servers, clients, and
//! the processes of the gateway. Each script has a program of its own that includes this file as a module.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The names on the wire of this deployment.
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
/// The interval at which servers write their entries.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What was sent, answered and run, with times since the start of the script.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = File::create(path)?;
        for (at, text) in self.lines.lock().unwrap().iter() {
            writeln!(file, "{:9.3} {text}", at.as_secs_f64())?;
        }
        Ok(())
    }
}

/// A message of HTTP/1.1: its first line, its headers in lower case, and its body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body has arrived to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` at the end of the connection.
pub fn read_message(io: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if io.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if io.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut message =
        Message { first: first.trim_end().to_owned(), headers, body: Vec::new(), complete: true };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        message.complete = read_chunks(io, &mut message.body).is_ok();
    } else {
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        message.complete = io.read_exact(&mut message.body).is_ok();
    }
    Ok(Some(message))
}

fn read_chunks(io: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        io.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        io.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Accepts connections until the process ends; each is served by a thread.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(io));
        }
    });
    addr
}

/// A free port below those that the operating system gives to outgoing connections, so that it stays free.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 97 + unix_ms();
    loop {
        let port = 20_000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
        if TcpListener::bind(("127.0.0.1", port as u16)).is_ok() {
            return port as u16;
        }
    }
}

/// A JSON value.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        Self::value(&chars, &mut at)
    }

    fn space(c: &[char], at: &mut usize) {
        while *at < c.len() && c[*at].is_whitespace() {
            *at += 1;
        }
    }

    fn value(c: &[char], at: &mut usize) -> Option<Self> {
        Self::space(c, at);
        match *c.get(*at)? {
            '{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::space(c, at);
                    match *c.get(*at)? {
                        '}' => break,
                        ',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(c, at)? else { return None };
                            Self::space(c, at);
                            *at += 1;
                            fields.push((name, Self::value(c, at)?));
                        }
                    }
                }
                *at += 1;
                Some(Self::Object(fields))
            }
            '[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::space(c, at);
                    match *c.get(*at)? {
                        ']' => break,
                        ',' => *at += 1,
                        _ => items.push(Self::value(c, at)?),
                    }
                }
                *at += 1;
                Some(Self::List(items))
            }
            '"' => {
                *at += 1;
                let mut text = String::new();
                loop {
                    match *c.get(*at)? {
                        '"' => break,
                        '\\' => {
                            *at += 1;
                            match *c.get(*at)? {
                                'n' => text.push('\n'),
                                't' => text.push('\t'),
                                'u' => {
                                    let hex: String = c.get(*at + 1..*at + 5)?.iter().collect();
                                    text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        other => text.push(other),
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(text))
            }
            _ => {
                let from = *at;
                while *at < c.len() && !",]} \n\r\t".contains(c[*at]) {
                    *at += 1;
                }
                let word: String = c[from..*at].iter().collect();
                Some(match &*word {
                    "null" => Self::Null,
                    "true" => Self::Bool(true),
                    "false" => Self::Bool(false),
                    number => Self::Number(number.parse().ok()?),
                })
            }
        }
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => {
                fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn unescaped(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
}

#[derive(Clone, Default)]
struct Rows {
    ver: u64,
    /// How often the store came back from a copy.
    era: u64,
    /// The store is away: it takes no connections and answers nothing.
    away: bool,
    rows: BTreeMap<(String, String), Row>,
    /// Table, key, value, version, whether the row was dropped.
    history: Vec<(String, String, String, u64, bool)>,
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: String) {
        let ver = self.ver;
        self.rows.insert((table.into(), key.into()), Row { value: value.clone(), ver });
        self.history.push((table.into(), key.into(), value, ver, false));
    }

    fn drop_row(&mut self, table: &str, key: &str) {
        if self.rows.remove(&(table.into(), key.into())).is_some() {
            let ver = self.ver;
            self.history.push((table.into(), key.into(), String::new(), ver, true));
        }
    }
}

/// A copy of the store's rows.
pub struct StoreCopy(Rows);

/// The platform's store: rows, their feed and transactions. All rows are in the part with the empty name.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    start: Instant,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<Rows>, Condvar)> = Arc::default();
        let start = Instant::now();
        let served = state.clone();
        let addr = listen(move |io| {
            let _ = Self::serve(&served, start, io);
        });
        Self { state, start, addr }
    }

    /// Writes a row as the operator or a server does; returns whether the store has acknowledged it.
    pub fn put(&self, table: &str, key: &str, json: &str) -> bool {
        let mut rows = self.state.0.lock().unwrap();
        if rows.away {
            return false;
        }
        rows.ver += 1;
        rows.put(table, key, base64(json.as_bytes()));
        self.state.1.notify_all();
        true
    }

    /// A copy of all that the store holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().unwrap().clone())
    }

    /// The store goes away: its connections end, and no call is answered.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().away = true;
        self.state.1.notify_all();
    }

    /// The store comes back with what a copy holds.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut rows = self.state.0.lock().unwrap();
        let era = rows.era + 1;
        *rows = copy.0;
        rows.era = era;
        rows.away = false;
    }

    /// Removes a row as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.state.0.lock().unwrap();
        rows.ver += 1;
        rows.drop_row(table, key);
        self.state.1.notify_all();
    }

    fn serve(state: &(Mutex<Rows>, Condvar), start: Instant, io: TcpStream) -> io::Result<()> {
        io.set_nodelay(true)?;
        let mut reader = BufReader::new(io.try_clone()?);
        let mut writer = io;
        while let Some(request) = read_message(&mut reader)? {
            if state.0.lock().unwrap().away {
                return Ok(());
            }
            let target = request.first.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: HashMap<&str, String> = query
                .split('&')
                .filter_map(|q| q.split_once('='))
                .map(|(n, v)| (n, unescaped(v)))
                .collect();
            let (status, body) = match path {
                "/dragonflyrill/rows-get" => Self::get(state, start, &query),
                "/dragonflyrill/rows-feed" => Self::feed(state, start, &query),
                "/dragonflyrill/rows-tx" => Self::tx(state, start, &request.body),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            // An answer of the store takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let (away, era) = { let rows = state.0.lock().unwrap(); (rows.away, rows.era) };
            if away {
                return Ok(());
            }
            write!(
                writer,
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
        Ok(())
    }

    fn answer(rows: &[String], more: bool, ver: u64, start: Instant) -> String {
        let (rows, now) = (rows.join(","), start.elapsed().as_millis());
        format!("{{\"rows\":[{rows}],\"hasMore\":{more},\"ver\":{ver},\"nowMs\":{now}}}")
    }

    fn row(table: &str, key: &str, value: &str, ver: u64, deleted: bool) -> String {
        let deleted = if deleted { ",\"deleted\":true" } else { "" };
        format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{ver}{deleted}}}"
        )
    }

    fn get(
        state: &(Mutex<Rows>, Condvar),
        start: Instant,
        query: &HashMap<&str, String>,
    ) -> (&'static str, String) {
        let rows = state.0.lock().unwrap();
        let table = query.get("table").map_or("", |t| t);
        let from = query.get("from").map_or("", |f| f);
        let to = query.get("target");
        let limit = query.get("limit").and_then(|l| l.parse().ok()).unwrap_or(500).clamp(1, 500);
        let found: Vec<String> = rows
            .rows
            .iter()
            .filter(|((t, k), _)| t == table && &**k >= from && to.is_none_or(|to| k < to))
            .map(|((t, k), r)| Self::row(t, k, &r.value, r.ver, false))
            .collect();
        let more = found.len() > limit;
        let page = &found[..found.len().min(limit)];
        ("200 OK", Self::answer(page, more, rows.ver, start))
    }

    fn feed(
        state: &(Mutex<Rows>, Condvar),
        start: Instant,
        query: &HashMap<&str, String>,
    ) -> (&'static str, String) {
        let table = query.get("table").map_or("", |t| t);
        let number = |name: &str| query.get(name).and_then(|n| n.parse().ok()).unwrap_or(0u64);
        let (after, wait) = (number("afterRevision"), number("waitMs").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = state.0.lock().unwrap();
        let era = rows.era;
        loop {
            // A version that the store does not have, or a wait that the store's absence has ended.
            if after > rows.ver || rows.era != era || rows.away {
                return ("410 Gone", "{}".to_owned());
            }
            let found: Vec<String> = rows
                .history
                .iter()
                .filter(|(t, _, _, ver, _)| t == table && *ver > after)
                .map(|(t, k, v, ver, deleted)| Self::row(t, k, v, *ver, *deleted))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return ("200 OK", Self::answer(&found, false, rows.ver, start));
            }
            rows = state.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn tx(state: &(Mutex<Rows>, Condvar), start: Instant, body: &[u8]) -> (&'static str, String) {
        let Some(tx) = Json::parse(&String::from_utf8_lossy(body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let mut rows = state.0.lock().unwrap();
        let name = |j: &Json| (j.get("table").text().to_owned(), j.get("key").text().to_owned());
        let written = || tx.get("upserts").list().iter().chain(tx.get("remove").list());
        if written().any(|w| matches!(w.get("table").text(), "op" | "servers")) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let conditions = tx.get("precondition").list();
        let holds = |c: &Json| rows.rows.get(&name(c)).map_or(0, |r| r.ver) == c.get("ver").number();
        if !conditions.iter().all(holds) {
            let current = conditions.iter().filter_map(|c| {
                let (table, key) = name(c);
                let row = rows.rows.get(&(table.clone(), key.clone()))?;
                Some(Self::row(&table, &key, &row.value, row.ver, false))
            });
            let current: Vec<String> = current.collect();
            let answer = Self::answer(&current, false, rows.ver, start);
            return ("412 Precondition Failed", answer);
        }
        rows.ver += 1;
        for upsert in tx.get("upserts").list() {
            let (table, key) = name(upsert);
            rows.put(&table, &key, upsert.get("value").text().to_owned());
        }
        for removed in tx.get("remove").list() {
            let (table, key) = name(removed);
            rows.drop_row(&table, &key);
        }
        state.1.notify_all();
        ("200 OK", Self::answer(&[], false, rows.ver, start))
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch").as_millis() as u64
}

/// A plain server, which runs each request for some time and answers with a seal.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub born: u64,
    /// The attempts that it has run, and when each reached it.
    pub ran_at: Arc<Mutex<Vec<(String, Duration)>>>,
}

impl Server {
    pub fn start(id: &str, work: Duration, record: &Record) -> Self {
        let (own, record) = (id.to_owned(), record.clone());
        let ran_at: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
        let runs = ran_at.clone();
        let addr = listen(move |io| {
            let _ = Self::serve(&own, work, &record, &runs, io);
        });
        Self { id: id.to_owned(), addr, born: unix_ms(), ran_at }
    }

    fn serve(id: &str, work: Duration, record: &Record, ran: &Mutex<Vec<(String, Duration)>>, io: TcpStream) -> io::Result<()> {
        io.set_nodelay(true)?;
        let mut reader = BufReader::new(io.try_clone()?);
        let mut writer = io;
        while let Some(request) = read_message(&mut reader)? {
            if !request.complete {
                return Ok(());
            }
            let attempt = request.header("attempt-id").to_owned();
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != id {
                record.note(format!("server {id} refuses {attempt} with 421: it was sent to {expected}"));
                write!(
                    writer,
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            record.note(format!("server {id} runs {attempt}"));
            ran.lock().unwrap().push((attempt.clone(), record.now()));
            thread::sleep(work);
            let body = format!("answer of {id} to {attempt}");
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\nInstance-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
        Ok(())
    }

    /// Its entry in the platform's list.
    pub fn entry(&self, service: &str, zone: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.addr, self.born
        )
    }
}

/// Writes an entry again and again, as the platform asks of what is alive, until `stop` becomes true.
pub fn keep_listed(
    store: &Store,
    key: &str,
    stop: Arc<AtomicBool>,
    entry: impl Fn(u64) -> String + Send + 'static,
) {
    let (store, key) = (store.clone(), key.to_owned());
    thread::spawn(move || {
        for sequence in 1.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            // A write that the store does not take is repeated soon.
            match store.put("servers", &key, &entry(sequence)) {
                true => thread::sleep(HEARTBEAT),
                false => thread::sleep(Duration::from_millis(100)),
            }
        }
    });
}

/// A process of the gateway.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pids: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    pub fn new(dir: &Path, root: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let ports: Vec<u16> = (0..4).map(|_| free_port()).collect();
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let mut text = String::new();
        let _ = write!(
            text,
            "[host]\nname = {name}\naddress = 127.0.0.1\ndata_centre = {zone}\nlink_mbps = 1000\n\
             [listen]\ncallers = {}\nreadiness = {}\nmetrics_port = {}\npeers_port = {}\n\
             [process]\nmemory_mb = 260\ndescriptors = 1000\n\
             [store]\naddress = {store}\n\
             [bounds]\nkey_revocation_ms = 5000\nconfig_apply_ms = 2000\nendpoint_drain_ms = 2000\n\
             endpoint_heartbeat_ms = 1200\ngrace_s = 8\n\
             [retries]\nratio = 0.2\nburst = 200\nwindow_s = 10\n[admission]\nenabled = yes\n",
            at(ports[0]),
            at(ports[1]),
            ports[2],
            ports[3]
        );
        let settings = dir.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the temporary folder can be written");
        Self {
            name: name.to_owned(),
            callers: at(ports[0]),
            readiness: at(ports[1]),
            settings,
            log: dir.join(format!("{name}.log")),
            pids: dir.join("pids"),
            program: root.join("target/release/dragonflyrill-gateway"),
            child: None,
        }
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env_clear()
            .env("DRAGONFLYRILL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut pids = File::options().create(true).append(true).open(&self.pids)?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.forget(child.id());
        }
    }

    /// Removes a process that has ended from the list of those that the script has to end.
    fn forget(&self, id: u32) {
        let listed = std::fs::read_to_string(&self.pids).unwrap_or_default();
        let left: Vec<&str> = listed.lines().filter(|line| **line != id.to_string()).collect();
        let _ = std::fs::write(&self.pids, left.iter().map(|l| format!("{l}\n")).collect::<String>());
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut io = TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            io.set_read_timeout(Some(Duration::from_millis(500)))?;
            write!(io, "GET /dragonflyrill/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let answer = read_message(&mut BufReader::new(io))?;
            Ok(answer.map_or(0, |a| a.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An attempt of a client, which is a request of its own.
#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub path: String,
    /// The key of the client.
    pub key: &'static str,
    pub sent: Duration,
    /// The status of the whole answer; 0 without one.
    pub status: u16,
}

/// Clients that send requests one after the other over kept connections.
pub struct Clients {
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

impl Clients {
    /// Starts `n` clients, each with a pause between its requests. `make` names method and path of the request with a
    /// number.
    pub fn start(
        n: usize,
        fronts: Vec<SocketAddr>,
        key: &'static str,
        pause: Duration,
        record: &Record,
        make: impl Fn(u64) -> (&'static str, String) + Send + Sync + 'static,
    ) -> Self {
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let make = Arc::new(make);
        let threads = (0..n).map(|client| {
            let (attempts, stop, make) = (attempts.clone(), stop.clone(), make.clone());
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || {
                let mut kept: Option<BufReader<TcpStream>> = None;
                let mut front = client;
                while !stop.load(Ordering::Relaxed) {
                    let number = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
                    let (method, path) = make(number);
                    let id = format!("a{number:08}");
                    let sent = record.now();
                    record.note(format!("client {client} sends {id} {method} {path} to front {}", front % fronts.len()));
                    let addr = fronts[front % fronts.len()];
                    let answer = send(&mut kept, addr, key, method, &path, &id);
                    let (status, text) = match &answer {
                        Ok(a) if a.complete => (a.status(), format!(
                            "{} seal={:?} retry-after={:?}", a.status(), a.header("response-seal"), a.header("retry-after")
                        )),
                        Ok(a) => (0, format!("{} incomplete", a.status())),
                        Err(e) => (0, format!("no answer: {e}")),
                    };
                    record.note(format!("client {client} gets for {id}: {text}"));
                    attempts.lock().unwrap().push(Attempt { id, path, key, sent, status });
                    let ends = answer.as_ref().map_or(true, |a| {
                        !a.complete || a.header("connection").eq_ignore_ascii_case("close")
                    });
                    // What was refused or lost is tried at another front next.
                    if ends || status != 200 {
                        kept = None;
                        front += 1;
                    }
                    thread::sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Self { attempts, stop, threads }
    }

    /// Ends the clients once their requests have ended.
    pub fn end(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let attempts = self.attempts.lock().unwrap();
        attempts.clone()
    }
}

fn send(
    kept: &mut Option<BufReader<TcpStream>>,
    addr: SocketAddr,
    key: &str,
    method: &str,
    path: &str,
    id: &str,
) -> io::Result<Message> {
    let deadline = Duration::from_millis(4000);
    if kept.is_none() {
        let io = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        io.set_nodelay(true)?;
        io.set_read_timeout(Some(deadline))?;
        *kept = Some(BufReader::new(io));
    }
    let io = kept.as_mut().expect("opened above");
    let body = if method == "GET" { String::new() } else { format!("order of {id}") };
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let mut out = io.get_ref();
    write!(
        out,
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nRequest-Deadline: {}\r\nCredential: {key}\r\n{length}\r\n{body}",
        deadline.as_millis()
    )?;
    read_message(io)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The share of the requests sent in a span that got a success.
pub fn served(attempts: &[Attempt], from: Duration, to: Duration) -> (usize, usize) {
    let in_span = attempts.iter().filter(|a| a.sent >= from && a.sent < to);
    let (mut n, mut served) = (0, 0);
    for attempt in in_span {
        n += 1;
        served += usize::from(attempt.status == 200);
    }
    (served, n)
}

/// The arguments of a script's program: the root of the project, the folder of the case, and the temporary folder.
pub fn folders() -> (PathBuf, PathBuf, PathBuf) {
    let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    match &args[..] {
        [root, case, temp] => (root.clone(), case.clone(), temp.clone()),
        _ => {
            eprintln!("usage: PROGRAM ROOT CASE TEMP");
            std::process::exit(2);
        }
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}
