//! Splits a stream into complete events, so that another run can continue the stream after any of them.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// The name of the field that holds the id of an event, at the start of its line.
const ID_FIELD: &[u8] = b"id:";

/// The maximum size of an event that is not complete: a server in trouble may send one that never ends.
const MAX_PARTIAL_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream into complete events and drops those that the caller already has.
///
/// Buffers only the beginning of an event that is not complete yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// The id of the last event that was returned, or that the caller had before.
    last: Option<u64>,
}

/// The events that a piece of a stream completes.
#[derive(Debug, PartialEq, Eq)]
pub enum EventBatch {
    /// Complete events that continue the stream.
    Events(Bytes),
    /// No complete event, or only events that the caller already has.
    Empty,
    /// Events are missing before the one that was received.
    Missing,
    /// An event is too long to be buffered.
    TooLong,
}

impl EventSplitter {
    /// A splitter for a stream of which the caller has all events up to and including `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last,
        }
    }

    /// The id of the last event that was returned, or that the caller had before.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether no partial event is buffered.
    pub fn is_at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the partial event, because another run continues the stream after the last complete one.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Adds a piece of the stream and returns the events that can be relayed to the caller.
    pub fn push(&mut self, piece: Bytes) -> EventBatch {
        let complete = match self.partial.is_empty() {
            // The common case: a piece consists of one or more complete events and needs no copy.
            true => match memmem::rfind(&piece, EVENT_END) {
                Some(at) if at + EVENT_END.len() == piece.len() => piece,
                Some(at) => {
                    self.partial
                        .extend_from_slice(&piece[at + EVENT_END.len()..]);
                    piece.slice(..at + EVENT_END.len())
                }
                None => return self.buffer(&piece),
            },
            false => {
                let before = self.partial.len();
                if self.buffer(&piece) == EventBatch::TooLong {
                    return EventBatch::TooLong;
                }
                // The end of an event may begin in the part that was searched before.
                let unsearched = before.saturating_sub(EVENT_END.len() - 1);
                match memmem::rfind(&self.partial[unsearched..], EVENT_END) {
                    Some(at) => {
                        let end = unsearched + at + EVENT_END.len();
                        self.partial.split_to(end).freeze()
                    }
                    None => return EventBatch::Empty,
                }
            }
        };
        self.drop_delivered(complete)
    }

    /// Buffers a piece that may not complete the partial event.
    fn buffer(&mut self, piece: &[u8]) -> EventBatch {
        if self.partial.len() + piece.len() > MAX_PARTIAL_EVENT_BYTES {
            return EventBatch::TooLong;
        }
        self.partial.extend_from_slice(piece);
        EventBatch::Empty
    }

    /// Checks that no event is missing after the last one, and drops those that the caller already has.
    /// If the first event has no id, all are returned unchecked.
    fn drop_delivered(&mut self, mut complete: Bytes) -> EventBatch {
        let Some(first) = first_event_id(&complete) else {
            return EventBatch::Events(complete);
        };
        if let Some(last) = self.last {
            if first > last + 1 {
                return EventBatch::Missing;
            }
            while first_event_id(&complete).is_some_and(|id| id <= last) {
                let end = memmem::find(&complete, EVENT_END)
                    .map_or(complete.len(), |at| at + EVENT_END.len());
                complete = complete.slice(end..);
            }
            if complete.is_empty() {
                return EventBatch::Empty;
            }
        }
        self.last = last_event_id(&complete).or(self.last);
        EventBatch::Events(complete)
    }
}

/// The id of the first of some complete events.
fn first_event_id(events: &[u8]) -> Option<u64> {
    let end = memmem::find(events, EVENT_END).unwrap_or(events.len());
    event_id(&events[..end])
}

/// The id of the last of some complete events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let body = events.strip_suffix(EVENT_END).unwrap_or(events);
    let start = memmem::rfind(body, EVENT_END).map_or(0, |at| at + EVENT_END.len());
    event_id(&body[start..])
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|b| *b == b'\n')
        .find(|l| l.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..])
        .ok()?
        .trim()
        .parse()
        .ok()
}
