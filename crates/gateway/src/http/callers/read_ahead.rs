//! What is received of further requests while one is answered.

use std::io;

use bytes::BytesMut;
use tokio::{net::tcp::ReadHalf, task};

use super::{BASE_BUFFER_BYTES, READ_CHUNK_BYTES};
use crate::http::intake::{ConnectionGuard, Hold};

/// The maximum number of bytes of further requests that are buffered while one is answered.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// What is received while a request is answered.
pub(super) struct ReadAhead<'a> {
    buf: &'a mut BytesMut,
    buffered: &'a mut Option<Hold>,
    connection: &'a ConnectionGuard,
}

impl<'a> ReadAhead<'a> {
    pub(super) fn new(
        buf: &'a mut BytesMut,
        buffered: &'a mut Option<Hold>,
        connection: &'a ConnectionGuard,
    ) -> Self {
        Self {
            buf,
            buffered,
            connection,
        }
    }

    /// Waits until the caller has closed its side of the connection; buffers the bytes of further requests meanwhile.
    pub(super) async fn until_closed(&mut self, io: &mut ReadHalf<'_>) {
        loop {
            if self.buf.len() > MAX_READ_AHEAD_BYTES || !self.has_room() {
                std::future::pending::<()>().await;
            }
            // `readable` does not yield to other tasks while there are bytes.
            task::coop::consume_budget().await;
            if io.readable().await.is_err() {
                return;
            }
            self.buf.reserve(READ_CHUNK_BYTES);
            match io.try_read_buf(self.buf) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Whether there is memory for further requests; without it the caller has to wait until its request is answered.
    fn has_room(&mut self) -> bool {
        let bytes = self.buf.len() + READ_CHUNK_BYTES;
        if bytes <= BASE_BUFFER_BYTES {
            return true;
        }
        let hold = self.buffered.get_or_insert_with(|| {
            let hold = self.connection.receive();
            hold.set_in_use(true);
            hold
        });
        hold.grow_if_plenty(bytes)
    }
}
