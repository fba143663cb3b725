//! A platform and entry hosts in threads of the test, and the program's commands.
#![allow(dead_code, reason = "each test file uses its own part")]

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

/// Far more than a local call takes.
const LIMIT: Duration = Duration::from_secs(60);

/// A path below the repository's root.
pub(crate) fn repository(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join(path).to_str().expect("a UTF-8 path").to_owned()
}

/// The words of a command line, the program first.
pub(crate) fn words(words: &[&str]) -> Vec<String> {
    let words = ["dragonflyrillctl"].iter().chain(words);
    words.map(|w| (*w).to_owned()).collect()
}

/// Runs a command line; its exit code and what it printed.
pub(crate) async fn output(line: &[&str]) -> (Exit, String) {
    let args = Args::parse(&words(line)).expect("a valid command line");
    let mut out = Vec::new();
    let exit = run(&args, &mut out).await;
    (exit, String::from_utf8(out).expect("UTF-8"))
}

/// The platform's store, in the test's own thread.
pub(crate) struct Platform {
    store: Rc<Store>,
    running: Running,
}

/// Answers every request to a free port with `body`.
fn serve(body: String) -> SocketAddr {
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

/// Reads a request without a body up to its end.
fn read_head(conn: &mut TcpStream) -> Option<()> {
    let mut lines = BufReader::new(conn).lines();
    lines
        .find(|line| !line.as_ref().is_ok_and(|l| !l.is_empty()))?
        .ok()?;
    Some(())
}

impl Platform {
    pub(crate) async fn start() -> Self {
        let (store, running) = Store::start().await.expect("a free port");
        Self { store, running }
    }

    /// Runs a command line with this platform.
    pub(crate) async fn run(&self, line: &[&str]) -> (Exit, String) {
        let addr = self.running.addr.to_string();
        output(&[["--platform", &addr].as_slice(), line].concat()).await
    }

    pub(crate) fn lose_answers(&self, count: u32) {
        self.store.lose_next_answers(count);
    }

    /// Lists an entry host with `revision` in force.
    pub(crate) async fn add_host(&self, id: &str, data_centre: &str, revision: u64) {
        let addr = serve(format!(
            r#"{{"host":"{id}","data_centre":"{data_centre}","revision":{revision},"since_ms":40,
            "incarnation":1,"ready":true,"peers":2}}"#
        ));
        self.list_host(id, data_centre, addr).await;
    }

    /// Lists an entry host at `addr`.
    pub(crate) async fn list_host(&self, id: &str, data_centre: &str, addr: SocketAddr) {
        let table = Table::new(self.running.addr, LIMIT);
        let host = EntryHost {
            id: id.try_into().expect("a valid id"),
            callers: addr,
            peers: addr,
            data_centre: data_centre.try_into().expect("a valid name"),
            leaving: false,
        };
        let announced = entry_hosts::announce(&table, &host).await;
        announced.expect("the store answers");
    }
}

/// A declaration file that is removed at the end of the test.
pub(crate) struct File(std::path::PathBuf);

impl File {
    /// `name` is used by one test only.
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).expect("written");
        Self(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().expect("a UTF-8 path")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
