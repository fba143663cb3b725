//! Helpers of the tests: an in-memory platform, entry hosts with a fixed status, and command runs.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    rc::Rc,
    thread,
    time::Duration,
};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_adapter_standin::{server::Running, store::Store};
use dragonflyrill_ctl::{args::Args, report::Exit, run};
use dragonflyrill_store::entry_hosts::{self, EntryHost};

/// The timeout of a store call; far longer than any local call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a path below the repository's root.
pub(crate) fn repository_path(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join(path).to_str().expect("a UTF-8 path").to_owned()
}

/// Returns the words of a command line, with the program name first.
pub(crate) fn command_line(words: &[&str]) -> Vec<String> {
    let words = ["dragonflyrillctl"].iter().chain(words);
    words.map(|w| (*w).to_owned()).collect()
}

/// Runs a command line and returns its exit code and output.
pub(crate) async fn run_command(line: &[&str]) -> (Exit, String) {
    let args = Args::parse(&command_line(line)).expect("a valid command line");
    let mut out = Vec::new();
    let exit = run(&args, &mut out).await;
    (exit, String::from_utf8(out).expect("UTF-8"))
}

/// An in-memory platform store, served in the test's own thread.
pub(crate) struct Platform {
    store: Rc<Store>,
    server: Running,
}

/// Starts a server on a free port that answers every request with `body`, and returns its address.
fn serve_body(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut conn in listener.incoming().flatten() {
            if read_head(&mut conn).is_none() {
                continue;
            }
            let length = body.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
            let _ = conn.write_all(format!("{head}{body}").as_bytes());
        }
    });
    addr
}

/// Reads a request without a body up to its end. `None` if the connection fails first.
fn read_head(conn: &mut TcpStream) -> Option<()> {
    let mut lines = BufReader::new(conn).lines();
    lines
        .find(|line| !line.as_ref().is_ok_and(|l| !l.is_empty()))?
        .ok()?;
    Some(())
}

impl Platform {
    pub(crate) async fn start() -> Self {
        let (store, server) = Store::start().await.expect("a free port");
        Self { store, server }
    }

    /// Runs a command line with this platform and returns its exit code and output.
    pub(crate) async fn run(&self, line: &[&str]) -> (Exit, String) {
        let addr = self.server.addr.to_string();
        run_command(&[["--platform", &addr].as_slice(), line].concat()).await
    }

    /// Drops the responses to the next `count` writes to the store.
    pub(crate) fn drop_next_responses(&self, count: u32) {
        self.store.lose_next_answers(count);
    }

    /// Starts an entry host that reports `revision` as in force, and adds it to the platform's
    /// list.
    pub(crate) async fn add_host(&self, id: &str, data_centre: &str, revision: u64) {
        let addr = serve_body(format!(
            r#"{{"host":"{id}","data_centre":"{data_centre}","revision":{revision},"since_ms":40,
            "incarnation":1,"ready":true,"peers":2}}"#
        ));
        self.list_host(id, data_centre, addr).await;
    }

    /// Adds an entry host at `addr` to the platform's list.
    pub(crate) async fn list_host(&self, id: &str, data_centre: &str, addr: SocketAddr) {
        let table = Table::new(self.server.addr, CALL_TIMEOUT);
        let host = EntryHost {
            id: id.try_into().expect("a valid id"),
            callers: addr,
            peers: addr,
            data_centre: data_centre.try_into().expect("a valid name"),
            shutting_down: false,
        };
        let announced = entry_hosts::register(&table, &host).await;
        announced.expect("the store answers");
    }
}

/// A declaration or log file that is removed when the value is dropped.
pub(crate) struct TempFile(std::path::PathBuf);

impl TempFile {
    /// Writes `text` to the file `name`. Tests run in parallel, so each name is used by one test
    /// only.
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).expect("written");
        Self(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().expect("a UTF-8 path")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
