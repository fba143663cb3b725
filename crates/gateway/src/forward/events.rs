//! Cuts a stream into whole events, so that a stream can go on elsewhere after any of them.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Ends an event.
const END: &[u8] = b"\n\n";
/// Begins the line with an event's id.
const ID: &[u8] = b"id:";

/// A part of a stream that has not been passed on: the beginning of an event.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    /// The last event that was passed on, or that the caller had before.
    last: Option<u64>,
}

/// What came with a piece of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    /// Whole events that continue the stream.
    Events(Bytes),
    /// No whole event yet.
    Nothing,
    /// Events are missing before the one that came.
    Gap,
}

impl Events {
    /// A stream of which the caller has everything up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last,
        }
    }

    /// The last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the stream is at the end of an event.
    pub fn at_end_of_event(&self) -> bool {
        self.partial.is_empty()
    }

    /// Another run goes on after the last event; what came of an unfinished one is dropped.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Takes a piece and gives the whole events that can be passed on.
    pub fn take(&mut self, piece: Bytes) -> Taken {
        let whole = match self.partial.is_empty() {
            // The usual case: a piece is one or more whole events and needs no copy.
            true => match memmem::rfind(&piece, END) {
                Some(at) if at + END.len() == piece.len() => piece,
                Some(at) => {
                    self.partial.extend_from_slice(&piece[at + END.len()..]);
                    piece.slice(..at + END.len())
                }
                None => {
                    self.partial.extend_from_slice(&piece);
                    return Taken::Nothing;
                }
            },
            false => {
                self.partial.extend_from_slice(&piece);
                match memmem::rfind(&self.partial, END) {
                    Some(at) => self.partial.split_to(at + END.len()).freeze(),
                    None => return Taken::Nothing,
                }
            }
        };
        self.follow(whole)
    }

    /// Checks that whole events follow the last one, and drops those that the caller has.
    fn follow(&mut self, mut whole: Bytes) -> Taken {
        let Some(first) = first_id(&whole) else {
            return Taken::Events(whole);
        };
        if let Some(last) = self.last {
            if first > last + 1 {
                return Taken::Gap;
            }
            while first_id(&whole).is_some_and(|id| id <= last) {
                let end = memmem::find(&whole, END).map_or(whole.len(), |at| at + END.len());
                whole = whole.slice(end..);
            }
            if whole.is_empty() {
                return Taken::Nothing;
            }
        }
        self.last = last_id(&whole).or(self.last);
        Taken::Events(whole)
    }
}

/// The id of the first event of whole ones.
fn first_id(events: &[u8]) -> Option<u64> {
    let end = memmem::find(events, END).unwrap_or(events.len());
    id_in(&events[..end])
}

/// The id of the last event of whole ones.
fn last_id(events: &[u8]) -> Option<u64> {
    let body = events.strip_suffix(END).unwrap_or(events);
    let start = memmem::rfind(body, END).map_or(0, |at| at + END.len());
    id_in(&body[start..])
}

fn id_in(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find(|l| l.starts_with(ID))?;
    std::str::from_utf8(&line[ID.len()..])
        .ok()?
        .trim()
        .parse()
        .ok()
}
