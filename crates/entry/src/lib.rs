//! The entry host: serves callers over HTTP and runs their requests on chains of endpoints.
//!
//! One thread, the request arbiter, owns all state that requests share ([`host::Host`]). A second
//! one, the control arbiter, communicates with the platform and with other hosts ([`control`]) and
//! sends updates to the first. So control work never delays a token, and no lock is needed.
//!
//! [`caller`] parses and checks a request; [`admission`] admits it under its workspace's limit. The
//! router in [`host`] chooses its chain of endpoints, and [`drive`] runs it over the connections of
//! [`pool`]. [`requests`] keeps the answer, which any number of callers may read. [`stalls`]
//! reports that the request arbiter made no progress. [`node`] assembles these parts.

#![deny(clippy::disallowed_methods)]

pub mod admission;
pub mod caller;
pub mod control;
pub mod drive;
pub mod host;
pub mod node;
pub mod pool;
pub mod recording;
pub mod requests;
pub mod retries;
pub mod serve;
pub mod services;
pub mod settings;
pub mod stalls;
