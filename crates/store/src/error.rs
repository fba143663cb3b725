//! The closed list of ways in which a call to the platform fails.

use std::time::Duration;

/// Why a call to the platform has no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The request did not leave this host: no connection. Nothing took effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The platform refused the request for its rate. Nothing took effect.
    #[error("refused for its rate, to be retried after {} ms", .retry_after.as_millis())]
    Refused {
        /// How long the platform asks to wait.
        retry_after: Duration,
    },
    /// The platform did not serve the call. Nothing took effect.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// The answer to a write was lost: the write may have taken effect, or may still do so.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The platform rejected the request as wrong. Nothing took effect.
    #[error("rejected with status {status}: {message}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The start of the answer.
        message: String,
    },
    /// The answer, or a stored value, is not in the expected format.
    #[error("malformed: {0}")]
    Malformed(String),
    /// The history of changes does not reach back to the mark: the whole has to be read anew.
    #[error("history is gone")]
    HistoryGone,
}

impl PlatformError {
    /// Whether the write may have taken effect, or may still.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Refused { .. } | Self::Unavailable(_) | Self::Unknown(_) => {
                true
            }
            Self::Rejected { .. } | Self::Malformed(_) | Self::HistoryGone => false,
        }
    }

    /// How long the platform asks to wait before the next try.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}
