//! What a caller is answered whose request or connection is refused before the request was read completely.

use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use rand::Rng;
use tokio::net::TcpStream;

use crate::http::intake::Reason;

/// The minimum time after which a caller is to return whose request is refused for lack of room, and the range of a random
/// addition that keeps callers from returning at the same moment. What others send has arrived or was dropped by then.
const RETURN_DELAY: Duration = Duration::from_millis(500);
const RETURN_DELAY_SPREAD: Duration = Duration::from_millis(500);

/// The answer to a request that was not read completely.
#[derive(Debug, Clone)]
pub struct OwnAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl From<Reason> for OwnAnswer {
    /// The reason in words, and when the caller may return if it is of use. None of these requests has run or will run.
    fn from(reason: Reason) -> Self {
        let (status, text) = match reason {
            Reason::Malformed => (StatusCode::BAD_REQUEST, "The request is malformed.\n"),
            Reason::HeadTooLarge => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "The head is too large.\n",
            ),
            Reason::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "The body is too large.\n"),
            Reason::HeadTooSlow => (StatusCode::REQUEST_TIMEOUT, "The head took too long.\n"),
            Reason::BodyTooSlow => (StatusCode::REQUEST_TIMEOUT, "The body took too long.\n"),
            Reason::NoMemory | Reason::RequestDropped => (
                StatusCode::SERVICE_UNAVAILABLE,
                "This host has no memory left for the request.\n",
            ),
            Reason::NoConnection | Reason::ConnectionReplaced | Reason::AnswerNotRead => (
                StatusCode::SERVICE_UNAVAILABLE,
                "All connections of this host are in use.\n",
            ),
        };
        let mut headers = HeaderMap::with_capacity(2);
        let content_type = HeaderValue::from_static("text/plain");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(delay) = return_delay(reason) {
            let seconds = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()));
            headers.insert(header::RETRY_AFTER, seconds.expect("a number"));
        }
        Self {
            status,
            headers,
            body: Bytes::from_static(text.as_bytes()),
        }
    }
}

/// When a caller is to return that was refused for this reason; `None` if this is of no use.
pub fn return_delay(reason: Reason) -> Option<Duration> {
    match reason {
        Reason::Malformed | Reason::HeadTooLarge | Reason::BodyTooLarge => None,
        _ => {
            let draw: f64 = rand::rng().random();
            Some(RETURN_DELAY + RETURN_DELAY_SPREAD.mul_f64(draw))
        }
    }
}

/// Refuses a connection for which there is no room, without waiting for what its caller sends.
pub fn refuse_connection(io: &TcpStream) {
    let answer = OwnAnswer::from(Reason::NoConnection);
    let retry_after = answer.headers.get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|v| v.to_str().ok()).unwrap_or("1");
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {retry_after}\r\nConnection: close\r\n\
         Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{}",
        answer.body.len(),
        String::from_utf8_lossy(&answer.body),
    );
    // What the caller has not received by then, it learns from the end of the connection.
    let _ = socket2::SockRef::from(io).send(text.as_bytes());
}
