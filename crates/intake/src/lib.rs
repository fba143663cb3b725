//! Decides how much callers may make a host hold, and who is refused when there is no room.
//!
//! [`capacity`] divides what a process may use: its memory among requests and answers, its descriptors among listeners.
//! [`memory`] keeps the account of everything that callers make the host hold, over all connections: heads and bodies
//! that are received, that wait, that are sent, kept for another attempt or passed on, requests read ahead, and answers
//! that a caller does not read. [`connections`] keeps the account of the connections themselves.
//!
//! Both prefer whoever comes next to whoever has held most for longest without getting on, so that a crowd that only
//! fills a host can't keep others out. Both are state machines without IO: `(state, now, event) -> decision`. Times are
//! those since any fixed moment.

pub mod capacity;
pub mod connections;
pub mod memory;
