//! The error type of all calls to the platform.

use std::time::Duration;

/// Why a call to the platform has no usable response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The request did not leave this host, for lack of a connection. Nothing took effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The platform refused the request because of its rate limit. Nothing took effect.
    #[error("rate limited by the platform, retry after {} ms", .retry_after.as_millis())]
    RateLimited {
        /// The minimum delay before a retry, as the platform states it.
        retry_after: Duration,
    },
    /// The platform could not serve the call. Nothing took effect.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// The response to a write was lost: the write may have taken effect, or may still do so.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The platform rejected the request as invalid. Nothing took effect.
    #[error("rejected with status {status}: {message}")]
    Rejected {
        /// The HTTP status code.
        status: u16,
        /// The beginning of the response body.
        message: String,
    },
    /// The response, or a stored value, is not in the expected format.
    #[error("malformed: {0}")]
    Malformed(String),
    /// The change history no longer reaches back to the requested revision: the complete state has
    /// to be read instead.
    #[error("the change history no longer reaches back to the requested revision")]
    HistoryTrimmed,
}

impl PlatformError {
    /// Whether the write may have taken effect, or may still do so.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::NotSent(_)
            | Self::RateLimited { .. }
            | Self::Unavailable(_)
            | Self::Unknown(_) => true,
            Self::Rejected { .. } | Self::Malformed(_) | Self::HistoryTrimmed => false,
        }
    }

    /// The minimum delay before the next attempt, if the platform states one.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::RateLimited { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}
