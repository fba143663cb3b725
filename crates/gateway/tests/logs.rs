//! Logs never hold whoever writes them, and tell what was lost.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

use dragonflyrill_gateway::logs::Lines;

/// How long a test waits for what comes about.
const LONG: Duration = Duration::from_secs(30);

/// An output whose reader stalls until it is told to go on, once for each line.
struct Stalling {
    go_on: Receiver<()>,
    written: Sender<String>,
}

impl Write for Stalling {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.go_on.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(line).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stalls_costs_lines_and_not_time() {
    let (go, go_on) = channel();
    let (written, rx) = channel();
    let mut lines = Lines::to(Stalling { go_on, written }).expect("a thread");
    // Far more than fit; none of these calls may wait for the reader.
    for i in 0..50_000 {
        let line = format!("line {i}\n");
        lines.write_all(line.as_bytes()).expect("never fails");
    }
    // The reader goes on: what was kept comes in order, and what was dropped is told.
    (0..10_000).for_each(|_| go.send(()).expect("it still writes"));
    let mut kept = 0;
    let dropped = loop {
        let line = rx.recv().expect("it tells what was dropped");
        if line.contains("Lines were dropped.") {
            let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
            break value["dropped"].as_u64().expect("a number");
        }
        kept += 1;
    };
    assert_eq!(
        kept, 1,
        "the loss is told after the next line that is written"
    );
    assert!(dropped > 40_000 && dropped < 50_000, "{dropped}");
}

/// Hosts that could not listen at their addresses ended without a word on why: the thread that writes had not
/// come to the line yet when the process ended.
#[test]
fn the_last_lines_are_waited_for() {
    let (go, go_on) = channel();
    let (written, rx) = channel();
    let mut lines = Lines::to(Stalling { go_on, written }).expect("a thread");
    let ends = lines.written();
    lines.write_all(b"it can't listen\n").expect("never fails");
    assert!(!ends.wait(Duration::from_millis(20)), "the reader stalls");
    go.send(()).expect("it still writes");
    assert!(ends.wait(LONG));
    assert_eq!(rx.try_recv().as_deref(), Ok("it can't listen\n"));
}

#[test]
fn a_reader_that_stalls_does_not_keep_a_process_from_ending() {
    let (_go, go_on) = channel();
    let (written, _rx) = channel();
    let mut lines = Lines::to(Stalling { go_on, written }).expect("a thread");
    let ends = lines.written();
    (0..10_000).for_each(|_| lines.write_all(b"a line\n").expect("never fails"));
    assert!(!ends.wait(Duration::from_millis(20)), "the queue is full");
}
