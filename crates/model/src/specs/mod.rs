//! The specifications, each small enough for an exhaustive search.
//!
//! All of them model asynchrony in the same way: a message is in flight until a step delivers it,
//! in any order and after any delay, and a host that is slow, paused or partitioned takes no step.
//! A pause or a partition is therefore a separate fault only where the specification models time.

pub mod catalogue;
pub mod delivery;
pub mod lease;
pub mod rights;
pub mod stream;
mod successors;
