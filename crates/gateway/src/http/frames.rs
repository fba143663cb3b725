//! Counts the memory of frames that other hosts send, by their lengths.
//!
//! A frame is buffered until it is complete. Anyone who reaches the port for other hosts could begin many of them.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::intake::{ConnectionGuard, Hold};

/// The size of the length that precedes each frame, in bytes: a big-endian number.
const LENGTH_BYTES: usize = 4;
/// The size up to which a frame is counted as part of its connection.
const BASE_FRAME_BYTES: usize = 8 * 1024;

/// A connection over which another host sends frames. It fails if there is no memory for one.
pub struct CountedFrames {
    io: TcpStream,
    connection: Rc<ConnectionGuard>,
    length: [u8; LENGTH_BYTES],
    /// The number of bytes received since the end of the last frame.
    received: usize,
    hold: Option<Hold>,
}

impl CountedFrames {
    /// Counts what is received over a connection.
    pub fn new(io: TcpStream, connection: Rc<ConnectionGuard>) -> Self {
        Self {
            io,
            connection,
            length: [0; LENGTH_BYTES],
            received: 0,
            hold: None,
        }
    }

    fn count(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let missing = match LENGTH_BYTES.checked_sub(self.received) {
                Some(missing) if missing > 0 => missing,
                _ => LENGTH_BYTES + u32::from_be_bytes(self.length) as usize - self.received,
            };
            let (next, rest) = bytes.split_at(missing.min(bytes.len()));
            if self.received < LENGTH_BYTES {
                self.length[self.received..][..next.len()].copy_from_slice(next);
            }
            self.received += next.len();
            bytes = rest;
            self.end_frame_if_complete();
        }
        if self.received <= BASE_FRAME_BYTES {
            return Ok(());
        }
        let hold = self.hold.get_or_insert_with(|| self.connection.receive());
        let counted = hold.grow(self.received);
        counted.map_err(|_| io::Error::new(io::ErrorKind::OutOfMemory, "no memory for a frame"))
    }

    fn end_frame_if_complete(&mut self) {
        let len = u32::from_be_bytes(self.length) as usize;
        if self.received >= LENGTH_BYTES && self.received == LENGTH_BYTES + len {
            self.received = 0;
            self.hold = None;
        }
    }
}

impl AsyncRead for CountedFrames {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.io).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => Poll::Ready(self.count(&buf.filled()[before..])),
            other => other,
        }
    }
}

impl AsyncWrite for CountedFrames {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
