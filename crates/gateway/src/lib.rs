//! The entry host that forwards requests to chains of engines, where the engines pass the work on among themselves.
//!
//! A request is read from a caller's connection ([`http::callers`]), its route and workspace are determined
//! ([`forward`]), an endpoint or a chain is chosen by the rules of `dragonflyrill-fleet`, and the answer is relayed to
//! the caller. An endpoint that this host does not reach gets its requests through another host ([`paths`]). In the
//! background a host follows the catalogue and the list of endpoints ([`control`]), mostly by
//! polling another host ([`peers`]), so that few hosts read the store.
//!
//! This crate does not depend on the platform's message formats: they are hidden behind the traits in [`ports`], which
//! an adapter implements.
//!
//! Where to start: [`host::run`] starts all tasks; [`gateway::Gateway`] is the state that they share.

#![deny(clippy::disallowed_methods)]

pub mod bounds;
pub mod control;
pub mod forward;
pub mod gateway;
pub mod host;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod paths;
pub mod peers;
pub mod ports;
pub mod settings;
