//! Nothing that a host has to tell another is left out, whatever becomes of calls and processes.

use dragonflyrill_fleet::telling::{Place, Telling};

fn place(origin: u64, version: u64) -> Place {
    Place { origin, version }
}

#[test]
fn what_was_told_and_heard_is_not_told_again() {
    let mut telling = Telling::default();
    assert_eq!((telling.told(), telling.heard()), (0, Place::default()));
    telling.answered(5, place(7, 3));
    assert_eq!((telling.told(), telling.heard()), (5, place(7, 3)));
    telling.answered(6, place(7, 4));
    assert_eq!((telling.told(), telling.heard()), (6, place(7, 4)));
}

#[test]
fn all_is_told_again_to_another_process() {
    let mut telling = Telling::default();
    telling.answered(5, place(7, 3));
    telling.answered(6, place(8, 1));
    assert_eq!((telling.told(), telling.heard()), (0, place(8, 1)));
    telling.answered(6, place(8, 1));
    assert_eq!(telling.told(), 6);
}

#[test]
fn all_is_told_again_after_a_call_that_may_not_have_come_over() {
    let mut telling = Telling::default();
    telling.answered(5, place(7, 3));
    telling.failed();
    assert_eq!((telling.told(), telling.heard()), (0, Place::default()));
}

#[test]
fn a_place_in_the_changes_of_another_process_is_the_beginning() {
    assert_eq!(place(7, 3).known_of(7), 3);
    assert_eq!(place(7, 3).known_of(8), 0);
    assert_eq!(Place::default().known_of(8), 0);
}
