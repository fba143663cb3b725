//! Structured logs: one JSON object a line.
//!
//! Lines go through a bounded queue to a thread that writes them, so that a reader that stalls never
//! holds a request. What does not fit is dropped, counted and told. A process that ends waits a moment for
//! its last lines ([`Written`]), which tell why it does.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender, TrySendError},
    },
    thread,
    time::{Duration, Instant},
};

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};

/// What is logged if `RUST_LOG` is unset. The library of calls between hosts has lines for each
/// call, several a second and host.
const USUAL: &str = "info,tarpc=warn";
/// Lines that wait to be written: some seconds of a host in the worst trouble, below 1 MB.
const QUEUE: usize = 2048;
/// How often it is tried to ask, while the queue is full, whether all was written.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// What the thread that writes gets, in order.
enum Item {
    Line(Vec<u8>),
    /// All before it is to be written; whoever asks is told then.
    Asked(SyncSender<()>),
}

/// Takes lines, each in one call, and never waits.
pub struct Lines {
    tx: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

/// Tells whether lines have been written.
pub struct Written {
    tx: SyncSender<Item>,
}

impl Written {
    /// Waits until all lines so far have been written, for a while at most: false if they have not.
    pub fn wait(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        let (done, written) = mpsc::sync_channel(1);
        let mut item = Item::Asked(done);
        loop {
            item = match self.tx.try_send(item) {
                Ok(()) => break,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(item)) => item,
            };
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(FULL_PAUSE);
        }
        let left = until.saturating_duration_since(Instant::now());
        written.recv_timeout(left).is_ok()
    }
}

impl Lines {
    /// Lines for an output, written by a thread of its own.
    pub fn to(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(&rx, &counted, output))?;
        Ok(Self { tx, dropped })
    }

    /// To ask whether they have been written.
    pub fn written(&self) -> Written {
        let tx = self.tx.clone();
        Written { tx }
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(Item::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until nobody can send any more, or the output is gone.
fn write_all(rx: &mpsc::Receiver<Item>, dropped: &AtomicU64, mut output: impl Write) {
    for item in rx {
        let line = match item {
            Item::Line(line) => line,
            Item::Asked(done) => {
                // Whoever asked may have given up.
                let _ = done.try_send(());
                continue;
            }
        };
        if output.write_all(&line).is_err() {
            return;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let told = json!({
                "t": now_ms(), "level": "WARN", "part": "logs", "m": "Lines were dropped.",
                "dropped": lost,
            });
            if output.write_all(format!("{told}\n").as_bytes()).is_err() {
                return;
            }
        }
    }
}

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(n), _) => json!(n),
            (_, Some(b)) => json!(b),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Sets up logging on standard output; `RUST_LOG` chooses what is logged.
///
/// A line has the time since the epoch in ms (`t`), the `level`, the `part` of the program, the
/// message (`m`) and the fields of the event. Before the process ends it waits for what is given: lines
/// that were not written by then are lost.
pub fn init() -> io::Result<Written> {
    let lines = Lines::to(io::stdout())?;
    let written = lines.written();
    let env = env_logger::Env::default().default_filter_or(USUAL);
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(lines)))
        .format(|out, record| {
            let mut line = Map::new();
            line.insert("t".to_owned(), json!(now_ms()));
            line.insert("level".to_owned(), json!(record.level().as_str()));
            line.insert("part".to_owned(), json!(record.target()));
            line.insert("m".to_owned(), json!(record.args().to_string()));
            let visited = record.key_values().visit(&mut Fields(&mut line));
            debug_assert!(visited.is_ok(), "no field fails");
            writeln!(out, "{}", serde_json::Value::Object(line))
        })
        .init();
    Ok(written)
}
