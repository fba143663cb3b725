//! The parts of a request that is being received: its head, which may arrive byte by byte, and its body, which may arrive
//! in many small pieces.

use dragonflyrill_intake::memory::Source;

use super::READ_CHUNK_BYTES;
use crate::http::{
    body::{Body, BodyBuffer},
    callers::Handler,
    intake::{ConnectionGuard, Hold, NoRoom},
};

/// The size up to which a body is counted as part of its connection.
const BASE_BODY_BYTES: usize = 2 * READ_CHUNK_BYTES;
/// The number of pieces of a body that a connection decodes in one turn.
const PIECES_PER_TURN: u32 = 128;
/// The size below which pieces of a body are small on average: decoding them takes longer than receiving them.
const SMALL_PIECE_BYTES: usize = 64;

/// A body that is being received. It is counted by itself once it is larger than what is counted for its connection.
#[derive(Default)]
pub(super) struct ReceivingBody {
    /// What was received before it is counted.
    uncounted: BodyBuffer,
    hold: Option<Hold>,
    /// The length that the head states.
    announced: Option<usize>,
    /// Whose request it is, once this is known and as long as the hold lacks it.
    source: Option<Source>,
}

impl ReceivingBody {
    pub(super) fn begin(
        handler: &impl Handler,
        connection: &ConnectionGuard,
        announced: Option<usize>,
    ) -> Self {
        let is_large = announced.is_some_and(|len| len > BASE_BODY_BYTES);
        let counted = is_large || handler.counts_small_bodies();
        Self {
            hold: counted.then(|| connection.receive()),
            announced,
            ..Self::default()
        }
    }

    pub(super) fn len(&self) -> usize {
        let hold = self.hold.as_ref();
        hold.map_or_else(|| self.uncounted.len(), Hold::body_len)
    }

    /// Records whose request it is, if that is known.
    pub(super) fn set_source(&mut self, source: Option<Source>) {
        self.source = source;
        self.assign();
    }

    fn assign(&mut self) {
        if let Some(hold) = &self.hold
            && let Some(source) = self.source.take()
        {
            hold.assign(source);
        }
    }

    pub(super) fn append(
        &mut self,
        piece: &[u8],
        connection: &ConnectionGuard,
    ) -> Result<(), NoRoom> {
        if self.hold.is_none() && self.uncounted.len() + piece.len() > BASE_BODY_BYTES {
            let hold = connection.receive();
            hold.put_body(std::mem::take(&mut self.uncounted));
            self.hold = Some(hold);
            self.assign();
        }
        match &self.hold {
            Some(hold) => hold.append(piece, self.announced),
            None => self.uncounted.append(piece, self.announced, |_| Ok(())),
        }
    }

    /// The complete body. Fails if it was dropped for others.
    pub(super) fn finish(self) -> Result<Body, NoRoom> {
        match self.hold {
            Some(hold) => hold.finish_body(),
            None => Ok(self.uncounted.finish(None)),
        }
    }
}

/// Counts the pieces of a body that were decoded in one turn.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PieceCount {
    pieces: u32,
    bytes: usize,
}

impl PieceCount {
    /// Counts a piece; returns whether it is the last one of the turn.
    pub(super) fn ends_turn(&mut self, bytes: usize) -> bool {
        self.pieces += 1;
        self.bytes += bytes;
        self.pieces >= PIECES_PER_TURN
    }

    /// Whether decoding the pieces took longer than receiving them.
    pub(super) fn are_small(&self) -> bool {
        self.bytes < self.pieces as usize * SMALL_PIECE_BYTES
    }
}

/// Tells when it is worth decoding a head that arrives in many small pieces: each attempt takes time in proportion to
/// what has been received.
#[derive(Debug, Default)]
pub(super) struct HeadScan {
    /// The number of bytes that were looked at for the end of the head.
    scanned: usize,
    /// The number of bytes at the last attempt to decode it.
    decoded: usize,
}

impl HeadScan {
    /// Whether the head may have been received completely, or much more of it than at the last attempt.
    pub(super) fn may_be_complete(&mut self, buf: &[u8]) -> bool {
        if self.decoded == 0 {
            return true;
        }
        let ends: [&[u8]; 2] = [b"\n\r\n", b"\n\n"];
        let overlap = ends[0].len() - 1;
        let new = &buf[self.scanned.saturating_sub(overlap).min(buf.len())..];
        self.scanned = buf.len();
        let ended = ends
            .iter()
            .any(|end| memchr::memmem::find(new, end).is_some());
        ended || buf.len() >= 2 * self.decoded
    }

    /// Records that the head could not be decoded yet.
    pub(super) fn decoded(&mut self, buf: &[u8]) {
        self.decoded = buf.len();
    }
}
