//! The record of a run: what was sent, answered and run, one line each.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, line: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} s  {line}").expect("the record can be written");
    }

    /// Adds a line, and writes it to standard output as well.
    pub fn announce(&self, line: &str) {
        println!("{line}");
        self.add(line);
        self.file
            .lock()
            .unwrap()
            .flush()
            .expect("the record can be written");
    }
}
