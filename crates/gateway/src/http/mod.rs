//! HTTP/1.1 on sockets, by the codec of `actix-http`.
//!
//! The codec is used without its dispatcher and without `awc`, because forwarding needs to see what
//! those hide: whether a byte of a request has left, whether a peer sent more than its answer,
//! whether an answer without a length ended or broke off, and when a caller closes its connection.

pub mod call;
pub mod callers;
pub mod connection;
pub mod pool;

use actix_http::{KeepAlive, RequestHead, ServiceConfig, ServiceConfigBuilder, header::HeaderMap};
use http::{Method, Uri};

/// A head made of its parts.
pub(crate) fn request_head(method: Method, uri: Uri, headers: HeaderMap) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.headers = headers;
    head
}

/// The codec's settings, one for the whole process: it keeps a task of its own for the date.
pub fn codec_config() -> ServiceConfig {
    ServiceConfigBuilder::new()
        .keep_alive(KeepAlive::Os)
        .build()
}
