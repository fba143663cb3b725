//! The entry host that forwards requests over chains which the engines drive themselves.
//!
//! A request comes in on a caller's connection ([`http::callers`]), its route and workspace are
//! found ([`forward`]), an endpoint or a chain is chosen by the rules of `dragonflyrill-fleet`, and
//! the answer is passed on. Beside that a host follows the catalogue and the endpoints
//! ([`control`]), mostly through another host ([`peers`]), so that few ask the store.
//!
//! Nothing here knows how the platform spells its messages: that is behind the traits in [`ports`],
//! which an adapter implements.
//!
//! Where to start: [`host::run`] starts everything; [`gateway::Gateway`] is what the tasks share.

pub mod bounds;
pub mod control;
pub mod forward;
pub mod gateway;
pub mod host;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod ports;
pub mod settings;
