//! The headers of a request that another host passes on to an endpoint, and of that host's own answers to it.
//!
//! Everything else in such a request and its answer is the endpoint's. An answer of the relaying host itself states a
//! [`RelayResult`], and each of these guarantees that no byte was sent to the endpoint. Once one may have been sent, the
//! relaying host answers nothing of its own: it closes the connection.

use std::net::SocketAddr;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};

/// The address of the endpoint.
const RELAY_TO: HeaderName = HeaderName::from_static("relay-to");
/// What is passed on, see [`RelayKind`].
const RELAY_KIND: HeaderName = HeaderName::from_static("relay-kind");
/// The relaying host's own answer, see [`RelayResult`].
const RELAY_RESULT: HeaderName = HeaderName::from_static("relay-result");

/// What a host asks another one to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayKind {
    /// A caller's request.
    Request,
    /// A call to the control interface of an engine.
    Control,
    /// Nothing: whether the host reaches the endpoint.
    Check,
}

impl RelayKind {
    const ALL: [Self; 3] = [Self::Request, Self::Control, Self::Check];

    fn word(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Control => "control",
            Self::Check => "check",
        }
    }
}

/// What the relaying host itself answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayResult {
    /// The answer to a check: it reaches the endpoint.
    Reached,
    /// The endpoint's port is closed.
    Refused,
    /// It does not reach the endpoint.
    Unreachable,
    /// It lists no endpoint at that address.
    Unlisted,
    /// The endpoint has stated to it that it accepts nothing now.
    Unavailable,
    /// It is shutting down.
    Stopping,
    /// It has no memory left for the request.
    Full,
}

impl RelayResult {
    const ALL: [Self; 7] = [
        Self::Reached,
        Self::Refused,
        Self::Unreachable,
        Self::Unlisted,
        Self::Unavailable,
        Self::Stopping,
        Self::Full,
    ];

    /// The word for it in the header and in log lines.
    pub fn word(self) -> &'static str {
        match self {
            Self::Reached => "reached",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Unlisted => "unlisted",
            Self::Unavailable => "unavailable",
            Self::Stopping => "stopping",
            Self::Full => "full",
        }
    }

    /// Reads the result in an answer; `None` if the answer is the endpoint's.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let word = headers.get(&RELAY_RESULT)?.as_bytes();
        let found = Self::ALL.into_iter().find(|r| r.word().as_bytes() == word);
        // Any other result was added later, and guarantees the same.
        Some(found.unwrap_or(Self::Unreachable))
    }

    /// Writes it into the headers of an answer.
    pub(crate) fn write(self, headers: &mut HeaderMap) {
        headers.insert(RELAY_RESULT, HeaderValue::from_static(self.word()));
    }
}

/// Marks a request as to be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayOrder {
    /// The address of the endpoint.
    pub to: SocketAddr,
    /// What is passed on.
    pub kind: RelayKind,
}

impl RelayOrder {
    /// Writes it into the headers of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        let to = HeaderValue::from_str(&self.to.to_string());
        headers.insert(RELAY_TO, to.expect("an address is a valid value"));
        headers.insert(RELAY_KIND, HeaderValue::from_static(self.kind.word()));
    }

    /// Removes it from the headers of a request; `None` if it is missing or invalid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let to = headers.remove(RELAY_TO).next();
        let kind = headers.remove(RELAY_KIND).next();
        let kind = kind?;
        let mut kinds = RelayKind::ALL.into_iter();
        Some(Self {
            to: to?.to_str().ok()?.parse().ok()?,
            kind: kinds.find(|k| k.word().as_bytes() == kind.as_bytes())?,
        })
    }
}

/// Removes a result from the headers of an endpoint's answer: only relaying hosts state one.
pub(crate) fn remove_result(headers: &mut HeaderMap) {
    headers.remove(RELAY_RESULT);
}
