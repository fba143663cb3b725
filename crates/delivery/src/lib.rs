//! The life cycle of a request on its host, as state machines without sockets, tasks or clocks.
//!
//! A host passes events to a state machine and carries out the actions that it returns, so the same
//! code runs in the program, the model checker and the tests.
//!
//! - [`lifecycle`] encodes the states of a request as types, so that a dispatched request can't be
//!   answered with an error that claims it was not run.
//! - [`generation`] drives one request through a [`chain`] of endpoints and recovers from their
//!   faults.
//! - [`record`] runs a call that is not repeatable at most once, by means of a record in the
//!   platform's table.
//! - [`dedup`] computes the host at which duplicate runs of a repeatable request are detected.
//! - [`error`] is the closed list of error kinds, with the answer to each.
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
