//! Rows of several hosts are written together, and none after its time or against its condition.

mod common;

use common::ms;
use dragonflyrill_fleet::write_batch::{Conflict, PendingWrite, WriteBatch};

fn write(row: u32, expected: u64, not_after: u64) -> PendingWrite<u32> {
    PendingWrite {
        expected,
        not_after: ms(not_after),
        row,
    }
}

fn rows(writes: &[PendingWrite<u32>]) -> Vec<u32> {
    writes.iter().map(|w| w.row).collect()
}

#[test]
fn a_call_takes_a_bounded_number_of_rows_in_order() {
    let mut batch = WriteBatch::new(3);
    assert!(batch.is_empty());
    for row in 0..7 {
        assert_eq!(batch.add(write(row, 1, 100)), row == 0);
        assert_eq!(batch.is_full(), row >= 2);
    }
    assert_eq!(rows(&batch.next_call(ms(50)).writes), [0, 1, 2]);
    assert_eq!(rows(&batch.next_call(ms(50)).writes), [3, 4, 5]);
    assert_eq!(rows(&batch.next_call(ms(50)).writes), [6]);
    assert!(batch.is_empty());
}

/// Guards against a row that is written after its host's claim has expired, as the writing host was frozen.
#[test]
fn a_row_is_not_written_after_its_time() {
    let mut batch = WriteBatch::new(3);
    batch.add(write(1, 1, 100));
    batch.add(write(2, 1, 300));
    let next = batch.next_call(ms(200));
    assert_eq!((rows(&next.writes), next.expired), (vec![2], vec![1]));
}

/// Guards against a conflict of one host that keeps the rows of all others from being written.
#[test]
fn rows_without_a_conflict_are_submitted_once_more() {
    let mut batch = WriteBatch::new(3);
    for row in 0..4 {
        batch.add(write(row, 5, 100));
    }
    let next = batch.next_call(ms(50));
    let conflicts = batch.record_conflict(next.writes, |row| if *row == 1 { 9 } else { 5 });
    assert_eq!(conflicts, [Conflict { row: 1, version: 9 }]);
    assert_eq!(rows(&batch.next_call(ms(50)).writes), [0, 2, 3]);
}

#[test]
fn a_conflict_without_a_conflicting_row_ends_all_writes() {
    let mut batch = WriteBatch::new(3);
    batch.add(write(1, 5, 100));
    let next = batch.next_call(ms(50));
    let conflicts = batch.record_conflict(next.writes, |_| 5);
    assert_eq!(conflicts, [Conflict { row: 1, version: 5 }]);
    assert!(batch.is_empty());
}
