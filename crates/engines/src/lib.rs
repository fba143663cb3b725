//! Client side of endpoints: model engines that hold a range of layers, and plain services.
//!
//! No published protocol runs single layer ranges, so [`wire`] defines a small engine interface with
//! JSON over HTTP: the request has one step per line, the response one result per line. [`client`]
//! calls this interface. [`body`] reads complete response bodies. [`token`] converts text to token ids
//! and back.

pub mod body;
pub mod client;
pub mod token;
pub mod wire;

pub use client::{CallError, EngineClient};
