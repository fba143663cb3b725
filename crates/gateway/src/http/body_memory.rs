//! Bounds the memory of answers that are read completely before they are passed on.
//!
//! The limit of a single answer is not enough: many servers in trouble may send long ones at the same time. So the large
//! answers share an amount of memory. Small ones need none of it, so that they are not affected by the large ones.

use std::{cell::Cell, rc::Rc};

/// The size up to which an answer needs no shared memory.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// The memory of all larger answers: a fifth of the memory of a small host.
const MAX_SHARED_BYTES: usize = 48 * 1024 * 1024;

/// The memory that large answers share.
#[derive(Debug, Clone, Default)]
pub struct BodyMemory {
    used: Rc<Cell<usize>>,
}

impl BodyMemory {
    /// Starts an answer, which takes no shared memory yet.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            reserved: 0,
        }
    }

    /// The shared memory in use, in bytes.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// The shared memory that an answer uses, until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    reserved: usize,
}

impl BodyReservation {
    /// Reserves memory for an answer of `len` bytes so far; false if there is none left.
    #[must_use]
    pub fn grow_to(&mut self, len: usize) -> bool {
        if len <= self.reserved.max(SMALL_BODY_BYTES) {
            return true;
        }
        let more = len - self.reserved;
        let used = self.memory.used.get() + more;
        if used > MAX_SHARED_BYTES {
            return false;
        }
        self.memory.used.set(used);
        self.reserved += more;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.reserved);
    }
}
