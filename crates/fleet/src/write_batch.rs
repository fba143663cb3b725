//! Conditional writes of several hosts' rows that one host makes with one call.
//!
//! A call to the store is atomic: if one row does not have its expected version, none is written. The others are
//! then submitted once more without it. A row is not written after the time that its host has set: by then that
//! host may have written the row itself, or its claim may have expired.

use std::time::Duration;

/// One row that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingWrite<T> {
    /// The version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// Time after which the row must not be written, by the store's clock.
    pub not_after: Duration,
    /// The row, and who waits for the outcome.
    pub row: T,
}

/// Rows that wait to be written together.
#[derive(Debug)]
pub struct WriteBatch<T> {
    max_rows: usize,
    pending: Vec<PendingWrite<T>>,
}

/// The rows of one call.
#[derive(Debug, PartialEq, Eq)]
pub struct NextCall<T> {
    /// The rows to write.
    pub writes: Vec<PendingWrite<T>>,
    /// Rows that were not written in time.
    pub expired: Vec<T>,
}

/// A row that has another version than expected.
#[derive(Debug, PartialEq, Eq)]
pub struct Conflict<T> {
    /// The row.
    pub row: T,
    /// Its version; 0 if it does not exist.
    pub version: u64,
}

impl<T> WriteBatch<T> {
    /// Creates an empty batch. A call takes `max_rows` rows at most.
    pub fn new(max_rows: usize) -> Self {
        let pending = Vec::new();
        Self { max_rows, pending }
    }

    /// Adds a row; returns whether it is the first one that waits.
    pub fn add(&mut self, write: PendingWrite<T>) -> bool {
        self.pending.push(write);
        self.pending.len() == 1
    }

    /// Whether no row waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the rows that wait fill a call.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= self.max_rows
    }

    /// Takes the rows of the next call, which is made at the time `clock` of the store's clock.
    pub fn next_call(&mut self, clock: Duration) -> NextCall<T> {
        let mut next = NextCall {
            writes: Vec::new(),
            expired: Vec::new(),
        };
        let mut rest = Vec::new();
        for write in self.pending.drain(..) {
            match write.not_after {
                not_after if not_after < clock => next.expired.push(write.row),
                _ if next.writes.len() < self.max_rows => next.writes.push(write),
                _ => rest.push(write),
            }
        }
        self.pending = rest;
        next
    }

    /// Records that a call was not carried out because of conflicts: `current` returns the version of a row, 0 if it
    /// does not exist. Returns the conflicting rows; the others are submitted once more.
    pub fn record_conflict(
        &mut self,
        writes: Vec<PendingWrite<T>>,
        current: impl Fn(&T) -> u64,
    ) -> Vec<Conflict<T>> {
        let conflict = |write: PendingWrite<T>, version| Conflict {
            row: write.row,
            version,
        };
        let mut conflicts = Vec::new();
        let mut again = Vec::new();
        for write in writes {
            match current(&write.row) {
                version if version == write.expected => again.push(write),
                version => conflicts.push(conflict(write, version)),
            }
        }
        // Without a conflicting row the answer makes no sense, and would be received again.
        if conflicts.is_empty() {
            let all = again.drain(..);
            conflicts.extend(all.map(|write| {
                let expected = write.expected;
                conflict(write, expected)
            }));
        }
        again.append(&mut self.pending);
        self.pending = again;
        conflicts
    }
}
