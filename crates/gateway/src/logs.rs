//! Structured logs: one JSON object per line.
//!
//! Lines pass through a bounded queue to a thread that writes them, so that a stalled reader of the output never blocks
//! a request. Lines that do not fit into the queue are dropped; their number is logged later. A process that exits
//! waits a short time for its last lines ([`FlushHandle`]), which state why it exits.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender, TrySendError},
    },
    thread,
    time::Duration,
};

use dragonflyrill_clock::{
    awake::{self, Instant},
    wall,
};
use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};

/// The filter if `RUST_LOG` is unset. `tarpc`, the library of the calls between hosts, logs each call at level info,
/// which is several lines per second and host.
const DEFAULT_FILTER: &str = "info,tarpc=warn";
/// The maximum number of queued lines: what a host logs in some seconds of the worst failures, below 1 MB.
const MAX_QUEUED_LINES: usize = 2048;
/// The pause between attempts to queue a flush request while the queue is full.
const FULL_QUEUE_PAUSE: Duration = Duration::from_millis(5);

/// An item of the queue, processed in order.
enum Item {
    Line(Vec<u8>),
    /// A flush request: the sender is notified when all lines before it have been written.
    Flush(SyncSender<()>),
}

/// Queues lines to be written by a thread. Each call of `write` must contain one line; it never blocks.
pub struct LogWriter {
    tx: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

/// Waits until queued lines have been written.
pub struct FlushHandle {
    tx: SyncSender<Item>,
}

impl FlushHandle {
    /// Waits until all lines queued so far have been written; false if they have not been after `limit`.
    pub fn wait(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let (done, written) = mpsc::sync_channel(1);
        let mut item = Item::Flush(done);
        loop {
            item = match self.tx.try_send(item) {
                Ok(()) => break,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(item)) => item,
            };
            if Instant::now() >= until {
                return false;
            }
            awake::block(FULL_QUEUE_PAUSE);
        }
        let left = until.saturating_duration_since(Instant::now());
        written.recv_timeout(left).is_ok()
    }
}

impl LogWriter {
    /// Starts a thread that writes the lines to `output`.
    pub fn spawn(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(&rx, &counted, output))?;
        Ok(Self { tx, dropped })
    }

    /// A handle to wait until queued lines have been written.
    pub fn flush_handle(&self) -> FlushHandle {
        let tx = self.tx.clone();
        FlushHandle { tx }
    }
}

impl Write for LogWriter {
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

/// Writes lines until all senders have been dropped or the output fails.
fn write_all(rx: &mpsc::Receiver<Item>, dropped: &AtomicU64, mut output: impl Write) {
    for item in rx {
        let line = match item {
            Item::Line(line) => line,
            Item::Flush(done) => {
                // The receiver may have timed out.
                let _ = done.try_send(());
                continue;
            }
        };
        if output.write_all(&line).is_err() {
            return;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let notice = json!({
                "t": wall::epoch_ms(), "level": "WARN", "part": "logs", "m": "Lines were dropped.",
                "dropped": lost,
            });
            if output.write_all(format!("{notice}\n").as_bytes()).is_err() {
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

/// Sets up logging to standard output, filtered by `RUST_LOG`.
///
/// A line contains the time since the Unix epoch in ms (`t`), the `level`, the `part` of the program, the message (`m`)
/// and the fields of the event. The process must wait on the returned handle before it exits: lines that have not been
/// written by then are lost.
pub fn init() -> io::Result<FlushHandle> {
    let lines = LogWriter::spawn(io::stdout())?;
    let written = lines.flush_handle();
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(lines)))
        .format(|out, record| {
            let mut line = Map::new();
            line.insert("t".to_owned(), json!(wall::epoch_ms()));
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
