//! Bounds the memory of answers that are read completely before they are passed on.
//!
//! The limit of a single answer is not enough: many servers in trouble may send long ones at the same time. So the large
//! answers share an amount of memory. Small ones need none of it, so that they are not affected by the large ones.

use std::{cell::Cell, fmt, rc::Rc};

use tokio::task;

/// The size up to which an answer needs no shared memory.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// The memory of all larger answers: a fifth of the memory of a small host.
const MAX_SHARED_BYTES: usize = 48 * 1024 * 1024;

/// The number of other tasks' turns after which an answer that was dropped has given its memory back.
const RELIEF_TURNS: usize = 2;

/// The memory that large answers share.
#[derive(Clone)]
pub struct BodyMemory {
    used: Rc<Cell<usize>>,
    limit: usize,
    /// Drops an answer whose caller does not read it; false if all callers read theirs.
    relieve: Rc<dyn Fn() -> bool>,
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self::new(MAX_SHARED_BYTES, || false)
    }
}

impl fmt::Debug for BodyMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let used = self.used();
        f.debug_struct("BodyMemory").field("used", &used).finish()
    }
}

impl BodyMemory {
    /// Memory of at most `limit` bytes. If it is used up, `relieve` is to drop an answer whose caller does not read it,
    /// and to return whether there was one.
    pub fn new(limit: usize, relieve: impl Fn() -> bool + 'static) -> Self {
        Self {
            used: Rc::default(),
            limit: limit.min(MAX_SHARED_BYTES),
            relieve: Rc::new(relieve),
        }
    }

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
        if used > self.memory.limit {
            return false;
        }
        self.memory.used.set(used);
        self.reserved += more;
        true
    }

    /// The same; answers that their callers don't read are dropped for it.
    pub async fn grow_to_with_relief(&mut self, len: usize) -> bool {
        while !self.grow_to(len) {
            if !(self.memory.relieve)() {
                return false;
            }
            for _ in 0..RELIEF_TURNS {
                task::yield_now().await;
            }
        }
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.reserved);
    }
}
