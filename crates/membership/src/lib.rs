//! Membership of the entry hosts, and distribution of the catalogue and of endpoint state to them.
//!
//! All state machines here are sans-IO: they are given the time (since an arbitrary origin, on a
//! monotonic clock), messages and answers of the platform, and emit actions. They are built for
//! messages that are lost, duplicated, delayed or reordered.
//!
//! - [`members`]: which entry hosts are alive. Heartbeats go among all hosts of a data centre and
//!   over a few links to each other data centre.
//! - [`spread`]: distributes the catalogue to every host; its revision never decreases.
//! - [`endpoints`]: signs that an endpoint is draining, shared within a data centre.
//! - [`reports`]: which host polls which endpoint for its load, and how hosts share the reports.
//! - [`rendezvous`]: how hosts choose the same few hosts without communication.
//!
//! Start with [`members::Members`]: its view is the input of all others.

pub mod endpoints;
pub mod members;
pub mod rendezvous;
pub mod reports;
pub mod spread;
