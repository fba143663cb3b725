//! Writing a log line never blocks, lost lines are counted in the log, and the last lines before an exit are written.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

use dragonflyrill_gateway::logs::LogWriter;

/// The maximum time that a test waits for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// An output that blocks before each line until it is resumed once.
struct StallingOutput {
    resume_rx: Receiver<()>,
    written: Sender<String>,
}

impl Write for StallingOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.resume_rx.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(line).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_loses_lines_and_does_not_block() {
    let (resume, resume_rx) = channel();
    let (written, rx) = channel();
    let mut lines = LogWriter::spawn(StallingOutput { resume_rx, written }).expect("a thread");
    // Far more lines than the queue holds; none of these calls may wait for the reader.
    for i in 0..50_000 {
        let line = format!("line {i}\n");
        lines.write_all(line.as_bytes()).expect("never fails");
    }
    // When the reader resumes, it receives the queued lines in order and the number of dropped lines.
    (0..10_000).for_each(|_| resume.send(()).expect("the thread runs"));
    let mut kept = 0;
    let dropped = loop {
        let line = rx.recv().expect("a line with the number of dropped lines");
        if line.contains("Lines were dropped.") {
            let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
            break value["dropped"].as_u64().expect("a number");
        }
        kept += 1;
    };
    assert_eq!(
        kept, 1,
        "the loss is logged after the next line that is written"
    );
    assert!(dropped > 40_000 && dropped < 50_000, "{dropped}");
}

/// A process that exits right after it logs an error, such as that it can't listen at its address, must wait for the
/// thread that writes: otherwise the process ends before the thread has written the line, and the error is lost.
#[test]
fn a_flush_waits_until_the_last_lines_are_written() {
    let (resume, resume_rx) = channel();
    let (written, rx) = channel();
    let mut lines = LogWriter::spawn(StallingOutput { resume_rx, written }).expect("a thread");
    let flush = lines.flush_handle();
    lines.write_all(b"it can't listen\n").expect("never fails");
    assert!(
        !flush.wait(Duration::from_millis(20)),
        "the reader is stalled"
    );
    resume.send(()).expect("the thread runs");
    assert!(flush.wait(MAX_WAIT));
    assert_eq!(rx.try_recv().as_deref(), Ok("it can't listen\n"));
}

#[test]
fn a_stalled_reader_does_not_keep_a_process_from_exiting() {
    let (_resume, resume_rx) = channel();
    let (written, _rx) = channel();
    let mut lines = LogWriter::spawn(StallingOutput { resume_rx, written }).expect("a thread");
    let flush = lines.flush_handle();
    (0..10_000).for_each(|_| lines.write_all(b"a line\n").expect("never fails"));
    assert!(!flush.wait(Duration::from_millis(20)), "the queue is full");
}
