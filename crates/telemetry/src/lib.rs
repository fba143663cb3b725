//! Logs, spans and metrics, with the same setup for every program.
//!
//! [`logs`] sets up log lines on standard error. [`spans`] exports the spans of a trace to a file or
//! to a collector. [`context`] propagates a trace from hop to hop in the W3C form. [`metrics`] has
//! the metrics of an entry host.

pub mod context;
mod file;
pub mod logs;
pub mod metrics;
mod otlp;
pub mod spans;
