//! Bodies of requests, in pieces of limited size.
//!
//! Pieces of the same size are allocated and freed without gaps between them, and a body that grows is not copied. So
//! many bodies take as much memory as is counted for them.

use bytes::{Bytes, BytesMut};
use dragonflyrill_intake::memory::SMALL_BYTES;
use std::rc::Rc;

use super::intake::{Hold, NoRoom};

/// The size of a full piece.
const PIECE_BYTES: usize = SMALL_BYTES;
/// The least capacity of a piece of a body without a length.
const MIN_PIECE_BYTES: usize = 1024;

/// A complete body. Clones share its memory, which is counted until the last of them is dropped.
#[derive(Debug, Clone, Default)]
pub struct Body {
    first: Bytes,
    rest: Vec<Bytes>,
    len: usize,
    hold: Option<Rc<Hold>>,
}

impl Body {
    /// Its length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Its pieces, in order.
    pub fn pieces(&self) -> impl Iterator<Item = &Bytes> + Clone {
        std::iter::once(&self.first).chain(&self.rest)
    }

    /// The whole body; copied if it has several pieces.
    pub fn to_bytes(&self) -> Bytes {
        if self.rest.is_empty() {
            return self.first.clone();
        }
        let mut whole = BytesMut::with_capacity(self.len);
        self.pieces().for_each(|p| whole.extend_from_slice(p));
        whole.freeze()
    }

    /// The memory that is counted for it.
    pub fn hold(&self) -> Option<&Rc<Hold>> {
        self.hold.as_ref()
    }
}

impl From<Bytes> for Body {
    fn from(whole: Bytes) -> Self {
        Self {
            len: whole.len(),
            first: whole,
            ..Self::default()
        }
    }
}

/// A body that is being received.
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    full: Vec<Bytes>,
    last: Vec<u8>,
    len: usize,
}

impl BodyBuffer {
    /// The number of bytes received.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Adds received bytes. `announced` is the length of the whole body, if it is known, and `reserve` requests memory
    /// for so many bytes in total.
    pub(super) fn append(
        &mut self,
        mut bytes: &[u8],
        announced: Option<usize>,
        reserve: impl Fn(usize) -> Result<(), NoRoom>,
    ) -> Result<(), NoRoom> {
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.make_room(bytes.len(), announced, &reserve)?;
            }
            let room = self.last.capacity() - self.last.len();
            let (fitting, rest) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(fitting);
            self.len += fitting.len();
            bytes = rest;
        }
        Ok(())
    }

    fn make_room(
        &mut self,
        more: usize,
        announced: Option<usize>,
        reserve: impl Fn(usize) -> Result<(), NoRoom>,
    ) -> Result<(), NoRoom> {
        if self.last.len() >= PIECE_BYTES {
            self.full.push(std::mem::take(&mut self.last).into());
        }
        let wanted = match announced {
            Some(len) => len - self.len.min(len) + self.last.len(),
            None if self.full.is_empty() => (2 * self.last.len()).max(self.last.len() + more),
            None => PIECE_BYTES,
        };
        let capacity = wanted.clamp(MIN_PIECE_BYTES.min(more), PIECE_BYTES);
        let capacity = capacity.max((self.last.len() + 1).min(PIECE_BYTES));
        reserve(self.full.len() * PIECE_BYTES + capacity)?;
        self.last.reserve_exact(capacity - self.last.len());
        Ok(())
    }

    /// The body, whose memory is `hold`, if it is counted by itself.
    pub(super) fn finish(mut self, hold: Option<Hold>) -> Body {
        let last = Bytes::from(self.last);
        let first = match self.full.is_empty() {
            true => last,
            false => {
                if !last.is_empty() {
                    self.full.push(last);
                }
                self.full.remove(0)
            }
        };
        Body {
            first,
            rest: self.full,
            len: self.len,
            hold: hold.map(Rc::new),
        }
    }
}
