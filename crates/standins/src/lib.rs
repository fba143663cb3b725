//! Stand-ins for model engines and plain services. The stand-in of the platform's store is in the crate
//! `dragonflyrill-adapter-standin`.
//!
//! With them the system's programs run as separate processes on one machine and meet the faults of
//! real back ends. Each stand-in records the work that it ran in a ledger, so that a test can verify
//! the system's results independently. These crates are never published.
//!
//! The entry points are [`engine`] and [`service`]: each has a `start` function that runs stand-ins
//! in-process on the current `actix_rt` system and returns a [`Running`]. [`mod@reference`] computes
//! the expected output of a model independently of any engine. [`relay`] is a TCP relay with faults
//! such as a network partition. [`crowd`] is a crowd of clients that send more than a host should hold, and [`usage`]
//! measures a process from outside.
//!
//! Besides the interface that it stands in for, each stand-in serves paths under `/standin/` for
//! faults, counters and ledgers. Injected faults don't affect these paths.

pub mod clock;
pub mod crowd;
pub mod engine;
mod number;
pub mod process;
pub mod reference;
pub mod register;
pub mod relay;
mod serve;
pub mod service;
pub mod settings;
pub mod usage;

pub use serve::Running;
