//! Headers that apply to one connection only.

use actix_http::header::{self, HeaderMap, HeaderName};

/// Their names, besides those that a `Connection` header lists.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that must not be forwarded in either direction.
pub fn remove(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
}
