//! Streams are cut at the ends of events, and go on without gap or repeat.

use bytes::Bytes;
use dragonflyrill_gateway::forward::{Events, Taken};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: x\n\n")
}

fn take(events: &mut Events, text: &str) -> Taken {
    events.take(Bytes::copy_from_slice(text.as_bytes()))
}

fn whole(text: &str) -> Taken {
    Taken::Events(Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn whole_events_pass_at_once_and_a_beginning_waits() {
    let mut events = Events::after(None);
    let text = event(1) + &event(2) + "id: 3\nda";
    assert_eq!(take(&mut events, &text), whole(&(event(1) + &event(2))));
    assert_eq!(events.last(), Some(2));
    assert!(!events.at_end_of_event());
    assert_eq!(take(&mut events, "ta: x"), Taken::Nothing);
    assert_eq!(take(&mut events, "\n\n"), whole(&event(3)));
    assert!(events.at_end_of_event());
}

#[test]
fn another_run_goes_on_after_the_last_event_and_drops_what_was_unfinished() {
    let mut events = Events::after(None);
    take(&mut events, &(event(1) + "id: 2\nda"));
    events.resume();
    assert_eq!(take(&mut events, &event(2)), whole(&event(2)));
}

#[test]
fn events_that_the_caller_has_are_dropped() {
    let mut events = Events::after(Some(2));
    let text = event(1) + &event(2) + &event(3);
    assert_eq!(take(&mut events, &text), whole(&event(3)));
    assert_eq!(take(&mut events, &event(3)), Taken::Nothing);
}

#[test]
fn missing_events_are_noticed() {
    let mut events = Events::after(Some(2));
    assert_eq!(take(&mut events, &event(4)), Taken::Gap);
}
