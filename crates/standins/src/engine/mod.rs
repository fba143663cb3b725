//! The engine stand-in: a deterministic model behind the interface of
//! [`dragonflyrill_engines::wire`].
//!
//! [`core::Engine`] makes all decisions and uses no sockets, tasks or clocks. [`start`] serves many
//! engines over HTTP in one process, each on its own address.
//!
//! Paths in addition to the engine interface:
//!
//! | call | answer |
//! |---|---|
//! | `POST /standin/faults` | 204; replaces all [`faults::Faults`] |
//! | `POST /standin/leave` | 204; new requests are refused from now on |
//! | `GET /standin/ledger` | one [`ledger::LedgerEntry`] per line, for each step that ran |
//! | `GET /standin/stats` | [`outcome::Stats`] |
//!
//! # Sessions
//!
//! The state of a request is its session: one KV state per layer, the position at which it ends, and
//! the results of the steps that ran in its newest attempt. A retried step is answered with its earlier
//! result and does not run again. A step has to start at the end of the session, or at the end that it
//! will have when the queued steps have run. A newer attempt continues from there; to start over it has
//! to cancel the older attempt, or to import a checkpoint under its own attempt number. A cancel does
//! not affect the work of a newer attempt. The layers of a session are those of its first step and
//! never change.
//!
//! # Time
//!
//! Steps run in iterations of up to `max_batch` steps, in the order of priority and then of arrival.
//! One iteration takes
//!
//! `layer_us * layers * (1 + prefill_factor * extra) * slow * time_scale` microseconds,
//!
//! where `layers` is the maximum number of layers that a step of the batch runs, and `extra` is the
//! number of positions beyond the first of each step, without those that the prefix cache covers. An
//! iteration takes no time if the prefix cache covers the complete batch or if the time scale is 0;
//! otherwise it takes at least one timer tick (1 ms).

mod cache;
mod config;
pub mod core;
pub mod faults;
pub mod ledger;
mod load;
mod order;
pub mod outcome;
mod server;
mod session;
mod sessions;

pub use config::EngineConfig;
pub use server::start;
