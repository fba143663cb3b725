//! HTTP/1.1 on sockets, by the codec of `actix-http`.
//!
//! The codec is used without its dispatcher and without `awc`, because forwarding needs facts that those hide: whether
//! any byte of a request was sent, whether a peer sent more than its answer, whether an answer without a length is
//! complete or was truncated, and when a caller closes its connection.

pub mod body;
pub mod body_memory;
pub mod call;
pub mod callers;
pub mod connection;
pub mod frames;
pub mod hop_by_hop;
pub mod intake;
pub mod listener;
pub mod network;
pub mod pool;
pub mod relayed;

use actix_http::{KeepAlive, RequestHead, ServiceConfig, ServiceConfigBuilder, header::HeaderMap};
use http::{Method, Uri};

/// Builds a request head.
pub(crate) fn request_head(method: Method, uri: Uri, headers: HeaderMap) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.headers = headers;
    head
}

/// The codec's configuration. A process uses one, as each has its own task that updates the date.
pub fn codec_config() -> ServiceConfig {
    ServiceConfigBuilder::new()
        .keep_alive(KeepAlive::Os)
        .build()
}
