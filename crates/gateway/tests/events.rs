//! Splitting of streams into events.
//!
//! Guards against partial, missing or duplicate events in an answer: pieces of a stream end at any byte, and a
//! run that continues a broken stream may send events again or skip some.

use bytes::Bytes;
use dragonflyrill_gateway::forward::{EventBatch, EventSplitter};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: x\n\n")
}

fn push(events: &mut EventSplitter, text: &str) -> EventBatch {
    events.push(Bytes::copy_from_slice(text.as_bytes()))
}

fn batch(text: &str) -> EventBatch {
    EventBatch::Events(Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn complete_events_are_returned_at_once_and_a_partial_one_is_buffered() {
    let mut events = EventSplitter::after(None);
    let text = event(1) + &event(2) + "id: 3\nda";
    assert_eq!(push(&mut events, &text), batch(&(event(1) + &event(2))));
    assert_eq!(events.last(), Some(2));
    assert!(!events.is_at_event_boundary());
    assert_eq!(push(&mut events, "ta: x"), EventBatch::Empty);
    assert_eq!(push(&mut events, "\n\n"), batch(&event(3)));
    assert!(events.is_at_event_boundary());
}

#[test]
fn a_resumed_stream_continues_after_the_last_event_and_drops_the_partial_one() {
    let mut events = EventSplitter::after(None);
    push(&mut events, &(event(1) + "id: 2\nda"));
    events.resume();
    assert_eq!(push(&mut events, &event(2)), batch(&event(2)));
}

#[test]
fn delivered_events_are_dropped() {
    let mut events = EventSplitter::after(Some(2));
    let text = event(1) + &event(2) + &event(3);
    assert_eq!(push(&mut events, &text), batch(&event(3)));
    assert_eq!(push(&mut events, &event(3)), EventBatch::Empty);
}

#[test]
fn missing_events_are_detected() {
    let mut events = EventSplitter::after(Some(2));
    assert_eq!(push(&mut events, &event(4)), EventBatch::Missing);
}
