//! Divides the memory and the descriptors of a process.

use crate::memory::{Pools, SMALL_BYTES};

/// The share of the memory that requests over [`SMALL_BYTES`] may use together, one in this many parts.
const LARGE_REQUESTS_PART: usize = 5;
/// The share of requests up to [`SMALL_BYTES`].
const SMALL_REQUESTS_PART: usize = 10;
/// The share of answers that callers have not read.
const UNREAD_ANSWERS_PART: usize = 10;
/// The share of long answers, which are read completely before they are passed on.
const LONG_ANSWERS_PART: usize = 5;
/// The share of the connections themselves.
const CONNECTIONS_PART: usize = 10;
/// The memory that a connection takes besides what it carries, in bytes: its task, its timer, and its buffers here and in
/// the operating system.
const CONNECTION_BYTES: usize = 32 * 1024;

/// The descriptors for files, signals, timers and listeners.
const OTHER_DESCRIPTORS: usize = 200;
/// The share of the descriptors that callers may use at most, one in this many parts.
const CALLERS_PART: usize = 4;
/// The share that callers may use even if endpoints, the store and other hosts need the rest.
const CALLERS_LEAST_PART: usize = 8;
/// The share of other hosts that connect to this one.
const PEERS_PART: usize = 8;
/// The share of the memory of a separate account for other hosts.
const PEERS_MEMORY_PART: usize = 4;
/// The share of each listener for readiness checks and metrics.
const STATUS_PART: usize = 64;
/// The share that is kept free for connections that this host opens next.
const SPARE_PART: usize = 16;

/// The least memory that a process can be given, in bytes.
pub const MIN_MEMORY: u64 = 32_000_000;
/// The least number of descriptors that a process can be given.
pub const MIN_DESCRIPTORS: u64 = 512;

/// What a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Its memory, in bytes. Invariant: at least [`MIN_MEMORY`], or a part of that.
    memory: usize,
    /// The number of its open descriptors. Invariant: at least [`MIN_DESCRIPTORS`].
    descriptors: usize,
}

/// A process is given too little.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CapacityError {
    /// Too little memory.
    #[error("at least {MIN_MEMORY} bytes of memory are needed")]
    Memory,
    /// Too few descriptors.
    #[error("at least {MIN_DESCRIPTORS} descriptors are needed")]
    Descriptors,
}

impl Capacity {
    /// The capacity of a process with `memory` bytes and `descriptors` open descriptors.
    ///
    /// # Errors
    /// Either is too little.
    pub fn new(memory: u64, descriptors: u64) -> Result<Self, CapacityError> {
        if memory < MIN_MEMORY {
            return Err(CapacityError::Memory);
        }
        if descriptors < MIN_DESCRIPTORS {
            return Err(CapacityError::Descriptors);
        }
        Ok(Self {
            memory: memory as usize,
            descriptors: descriptors as usize,
        })
    }

    /// The capacity for other hosts alone, where they are served by a thread with an account of its own: all descriptors,
    /// of which they get their part, and a quarter of the memory for their frames.
    pub fn of_peers(&self) -> Self {
        Self {
            memory: self.memory / PEERS_MEMORY_PART,
            descriptors: self.descriptors,
        }
    }

    /// The memory for what callers send and for what they don't read.
    pub fn pools(&self) -> Pools {
        Pools {
            small: self.memory / SMALL_REQUESTS_PART,
            large: self.memory / LARGE_REQUESTS_PART,
            answers: self.memory / UNREAD_ANSWERS_PART,
        }
    }

    /// The memory that long answers may use together, in bytes.
    pub fn long_answers(&self) -> usize {
        self.memory / LONG_ANSWERS_PART
    }

    /// The number of connections of callers while the host itself has opened `elsewhere` connections.
    ///
    /// It falls as the host needs more for endpoints, the store and other hosts.
    pub fn callers(&self, elsewhere: usize) -> usize {
        let spare = self.descriptors / SPARE_PART;
        let left = self
            .descriptors
            .saturating_sub(OTHER_DESCRIPTORS + spare + elsewhere);
        let least = self.descriptors / CALLERS_LEAST_PART;
        let by_descriptors = left.clamp(least, self.descriptors / CALLERS_PART);
        let by_memory = self.memory / CONNECTIONS_PART / CONNECTION_BYTES;
        by_descriptors.min(by_memory)
    }

    /// The number of connections of other hosts.
    pub fn peers(&self) -> usize {
        self.descriptors / PEERS_PART
    }

    /// The number of connections to each listener for readiness checks and metrics.
    pub fn status(&self) -> usize {
        self.descriptors / STATUS_PART
    }
}

const _: () = assert!(SMALL_BYTES < MIN_MEMORY as usize / SMALL_REQUESTS_PART);
