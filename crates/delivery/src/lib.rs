//! The life of a request on its host, as state machines without sockets, tasks or clocks.
//!
//! Hosts feed events in and carry out the actions that come back, so the same code runs in the
//! program, the model checker and the tests.
//!
//! - [`lifecycle`] has the states of a request as types: "not run" can't be said once it was dispatched.
//! - [`generation`] drives one request through a [`chain`] of endpoints, and through their faults.
//! - [`record`] runs a call that is not repeatable at most once, by a record in the table.
//! - [`dedup`] says at which host the runs of a repeatable request meet.
//! - [`error`] is the closed list of what can go wrong and how each is answered.
//!
//! Start with [`Generation::handle`](generation::Generation::handle) and
//! [`Recorder::begin`](record::Recorder::begin).

pub mod chain;
pub mod dedup;
pub mod error;
pub mod generation;
pub mod lifecycle;
pub mod record;

pub use chain::{Chain, Stage};
pub use error::{ErrorKind, NotRunKind, RunStatus};
pub use generation::{Action, Config, Event, Generation, ResumeState, Spec};
