//! Replays recorded traces against stated outcomes.
//!
//! A trace ([`trace`]) lists requests, calls, faults and the outcomes that must hold. It is
//! replayed in open loop ([`run`]): each request is sent at its intended time, regardless of the
//! state of the others. Its caller ([`client`]) retries requests and resumes streams as a real
//! client does, while [`faults`] injects the faults. After the run the [`ledger`]s of engines and
//! services are read. [`judge`] compares what callers received and what the ledgers show with the
//! reference answers ([`mod@reference`]) and the stated outcomes; it does not rely on what the
//! system under test reports about itself. [`report`] summarizes the run.
//!
//! In addition, [`generate`] generates synthetic traces, and [`load`] measures the latency that an
//! entry host adds to a chain of engines.
//!
//! Start with [`trace::Trace`], then [`run::run`], then [`judge::judge`].

pub mod cli;
pub mod client;
pub mod faults;
pub mod generate;
pub mod hosts;
pub mod judge;
pub mod ledger;
pub mod load;
pub mod prompt;
pub mod record;
pub mod reference;
pub mod report;
pub mod run;
pub mod sse;
pub mod targets;
pub mod trace;
