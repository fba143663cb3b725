//! Tests that no change is left out of what a host sends to another, whichever calls fail and
//! processes restart.

use dragonflyrill_fleet::delta_sync::{Cursor, DeltaSync};

fn cursor(origin: u64, version: u64) -> Cursor {
    Cursor { origin, version }
}

#[test]
fn acknowledged_changes_are_not_sent_again() {
    let mut sync = DeltaSync::default();
    assert_eq!(
        (sync.acknowledged(), sync.received()),
        (0, Cursor::default())
    );
    sync.record_response(5, cursor(7, 3));
    assert_eq!((sync.acknowledged(), sync.received()), (5, cursor(7, 3)));
    sync.record_response(6, cursor(7, 4));
    assert_eq!((sync.acknowledged(), sync.received()), (6, cursor(7, 4)));
}

#[test]
fn all_changes_are_sent_again_to_another_process() {
    let mut sync = DeltaSync::default();
    sync.record_response(5, cursor(7, 3));
    sync.record_response(6, cursor(8, 1));
    assert_eq!((sync.acknowledged(), sync.received()), (0, cursor(8, 1)));
    sync.record_response(6, cursor(8, 1));
    assert_eq!(sync.acknowledged(), 6);
}

#[test]
fn all_changes_are_sent_again_after_a_failed_call() {
    let mut sync = DeltaSync::default();
    sync.record_response(5, cursor(7, 3));
    sync.reset();
    assert_eq!(
        (sync.acknowledged(), sync.received()),
        (0, Cursor::default())
    );
}

#[test]
fn a_cursor_of_another_process_counts_as_the_beginning() {
    assert_eq!(cursor(7, 3).known_version(7), 3);
    assert_eq!(cursor(7, 3).known_version(8), 0);
    assert_eq!(Cursor::default().known_version(8), 0);
}
