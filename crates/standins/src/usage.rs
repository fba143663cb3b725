//! What a process uses, as the operating system reports it.

use std::{fs, io, time::Duration};

use tokio::time;

use crate::crowd::CLIENTS;

/// The memory of the process of a small host, 260 MB, in KiB.
pub const MAX_MEMORY_KIB: u64 = 260_000_000 / 1024;
/// The maximum number of open descriptors: two for each client of a crowd, and those that a host has without one.
const MAX_CROWD_DESCRIPTORS: usize = 2 * CLIENTS;
const MAX_OTHER_DESCRIPTORS: usize = 100;
/// The number of open descriptors of a host whose callers have gone, beyond those that it started with.
const IDLE_DESCRIPTORS: usize = 20;
/// The interval of the checks of what a process uses, and the number of equal ones after which it has settled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const SETTLED_SAMPLES: usize = 20;
/// The time after which a wait for a process fails.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum number of open descriptors beside so many crowds.
pub fn max_descriptors(crowds: usize) -> usize {
    crowds * MAX_CROWD_DESCRIPTORS + MAX_OTHER_DESCRIPTORS
}

/// A process that is measured from outside.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    id: u32,
}

impl ProcessUsage {
    /// Measures the process with this id.
    pub fn of(id: u32) -> Self {
        Self { id }
    }

    /// The most memory that the process has used, in KiB.
    ///
    /// # Errors
    /// The process has ended.
    pub fn peak_memory_kib(self) -> io::Result<u64> {
        self.status_kib("VmHWM:")
    }

    /// The memory that the process uses, in KiB.
    ///
    /// # Errors
    /// The process has ended.
    pub fn memory_kib(self) -> io::Result<u64> {
        self.status_kib("VmRSS:")
    }

    /// The number of its open descriptors.
    ///
    /// # Errors
    /// The process has ended.
    pub fn descriptors(self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.id))?.count())
    }

    /// Waits until the process has read what was sent to it.
    ///
    /// # Panics
    /// The process has ended, or does not settle.
    pub async fn until_settled(self) {
        let settled = async {
            let (mut last, mut equal) = (0, 0);
            while equal < SETTLED_SAMPLES {
                time::sleep(SAMPLE_INTERVAL).await;
                let used = self.memory_kib().expect("it runs");
                equal = if used == last { equal + 1 } else { 0 };
                last = used;
            }
        };
        time::timeout(TIMEOUT, settled).await.expect("it settles");
    }

    /// Waits until the process has closed the connections of a crowd. It had `before` open descriptors without one.
    ///
    /// # Panics
    /// The process has ended, or does not close them.
    pub async fn until_calm(self, before: usize) {
        let calm = async {
            while self.descriptors().expect("it runs") > before + IDLE_DESCRIPTORS {
                time::sleep(SAMPLE_INTERVAL).await;
            }
        };
        time::timeout(TIMEOUT, calm).await.expect("it is calm");
    }

    /// Checks what the process has used and uses.
    ///
    /// # Panics
    /// It has ended, or uses more.
    pub fn check(self, max_memory_kib: u64, max_descriptors: usize) {
        let peak = self.peak_memory_kib().expect("it runs");
        assert!(peak < max_memory_kib, "peak memory: {peak} KiB");
        let descriptors = self.descriptors().expect("it runs");
        assert!(
            descriptors < max_descriptors,
            "open descriptors: {descriptors}"
        );
    }

    fn status_kib(self, field: &str) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id))?;
        let line = status.lines().find_map(|l| l.strip_prefix(field));
        let number = line.and_then(|l| l.trim().split(' ').next()?.parse().ok());
        number.ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
