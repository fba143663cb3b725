//! Reads response bodies. A body that is not complete is an error.

use awc::{ClientResponse, error::PayloadError, http::header::CONTENT_LENGTH};
use bytes::Bytes;
use futures_util::Stream;

use crate::CallError;

/// Reads the complete body of `rsp`, at most `max_bytes` bytes.
///
/// # Errors
/// [`CallError::Lost`] if the body can't be read, is longer than `max_bytes`, or is shorter than its
/// `Content-Length`. The HTTP client itself returns a body that was cut short as if it were complete.
pub async fn read<S>(rsp: &mut ClientResponse<S>, max_bytes: usize) -> Result<Bytes, CallError>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let expected = content_length(rsp);
    let body = rsp.body().limit(max_bytes).await;
    let body = body.map_err(|e| CallError::Lost(e.to_string()))?;
    match expected {
        Some(length) if length != body.len() => Err(CallError::Lost(format!(
            "received {} of {length} bytes of the body",
            body.len()
        ))),
        _ => Ok(body),
    }
}

fn content_length<S>(rsp: &ClientResponse<S>) -> Option<usize> {
    let value = rsp.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
