//! Reads request bodies up to a maximum size.

use actix_http::Request;
use bytes::{Bytes, BytesMut};
use dragonflyrill_delivery::ErrorKind;
use futures_util::StreamExt;

use crate::requests::Failure;

/// Reads the whole body of `req`.
///
/// # Errors
/// The body can't be read, or is larger than `max_bytes`.
pub async fn read(req: &mut Request, max_bytes: usize) -> Result<Bytes, Failure> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| {
            Failure::new(
                ErrorKind::BadRequest,
                format!("the body can't be read: {e}"),
            )
        })?;
        if buf.len() + chunk.len() > max_bytes {
            let message = format!("the body is larger than {max_bytes} bytes");
            return Err(Failure::new(ErrorKind::TooLarge, message));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
