//! When a host holds its share, and for how long.

use std::time::Duration;

use dragonflyrill_fleet::share::{self, Claim, Held, Row, Share, TERM, View};

mod common;
use common::ms;

const SETTLE: Duration = Duration::from_secs(11);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A row whose claim was renewed at a moment of the store's clock, and counts all rows before it.
fn row(version: u64, since: u64, read_at: Duration) -> Row {
    let claim = Claim {
        since: Some(since),
        counted_to: version - 1,
        read_at,
        held: None,
    };
    Row { version, claim }
}

fn held(row: Row, version: u64, whole_at: Duration) -> Row {
    let held = Some(Held { version, whole_at });
    let claim = Claim { held, ..row.claim };
    Row { claim, ..row }
}

/// A host that took its row over from a process before it, at a moment of the store's clock.
fn taken_over(own: Row, clock: Duration) -> Share {
    let mut share = Share::new(SETTLE);
    let view = View::of(&[own], own.version + 1, clock);
    share.take_over(&own, &view, ms(10));
    share.see(view, ms(10), ms(20));
    share
}

#[test]
fn a_host_that_does_not_know_how_many_they_are_uses_one_of_a_bound() {
    assert_eq!(share::divided(55, Some(8)), 6);
    assert_eq!(share::divided(55, Some(360)), 1);
    assert_eq!(share::divided(55, None), 1);
}

#[test]
fn a_view_counts_claims_until_they_lapse() {
    let rows = [row(5, 1, secs(100)), row(6, 2, secs(130))];
    let view = View::of(&rows, 9, secs(140));
    assert_eq!((view.hosts, view.newest, view.counted_by_all), (2, 2, 4));
    let later = View::of(&rows, 10, secs(100) + TERM);
    assert_eq!((later.hosts, later.counted_by_all), (1, 5));
}

#[test]
fn a_share_is_not_used_before_every_host_counts_it() {
    let mut share = Share::new(SETTLE);
    assert_eq!(share.divisor(ms(0)), None);
    let other = row(5, 1, secs(100));
    share.see(View::of(&[other], 6, secs(100)), ms(0), ms(5));
    let draft = share.draft(ms(5)).expect("a view");
    assert_eq!((draft.claim.since, draft.claim.counted_to), (None, 6));
    share.wrote(&draft, 7, ms(8));
    assert_eq!(share.divisor(ms(8)), None);
    // Both are there now, and the other one does not count this one yet.
    let own = row(9, 7, secs(101));
    share.see(View::of(&[other, own], 9, secs(101)), ms(1000), ms(1005));
    assert_eq!(share.divisor(ms(1005)), None);
    let other = row(10, 1, secs(102));
    share.see(View::of(&[other, own], 10, secs(102)), ms(2000), ms(2005));
    assert_eq!(share.divisor(ms(2005)), Some(2));
}

#[test]
fn an_older_view_is_not_taken() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    let two = [row(5, 1, secs(100)), row(9, 3, secs(100))];
    share.see(View::of(&two, 10, secs(102)), ms(30), ms(31));
    assert_eq!(share.divisor(ms(31)), Some(2));
    share.see(View::of(&two[..1], 8, secs(101)), ms(32), ms(33));
    assert_eq!(share.divisor(ms(33)), Some(2), "told late by another host");
}

#[test]
fn the_host_whose_row_does_not_count_the_newest_is_awaited() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    assert!(!share.awaited());
    let rows = [row(5, 1, secs(100)), row(9, 9, secs(100))];
    share.see(View::of(&rows, 10, secs(102)), ms(30), ms(31));
    assert!(share.awaited());
    let draft = share.draft(ms(40)).expect("a view");
    share.wrote(&draft, 11, ms(45));
    assert!(!share.awaited());
}

#[test]
fn the_term_counts_from_the_sending_of_the_read_that_the_row_names() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    let own = [row(5, 1, secs(100))];
    share.see(View::of(&own, 10, secs(130)), secs(30), secs(31));
    let draft = share.draft(secs(31)).expect("a view");
    // The answer to the write is long in coming.
    share.wrote(&draft, 11, secs(60));
    let lapses = secs(30) + TERM;
    assert_eq!(share.divisor(lapses - secs(3)), Some(1));
    assert_eq!(share.divisor(lapses - secs(2)), None);
}

#[test]
fn a_share_that_has_lapsed_is_claimed_anew() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    let late = TERM + secs(1);
    assert_eq!(share.divisor(late), None);
    let others = [held(row(20, 2, secs(190)), 4, secs(10))];
    let view = View::of(&others, 21, secs(192));
    share.see(view, late, late + ms(5));
    let draft = share.draft(late + ms(5)).expect("a view");
    assert_eq!((draft.claim.since, draft.claim.held), (None, None));
    share.wrote(&draft, 22, late + ms(9));
    // All count it again, and the others held their shares without it.
    let own = row(22, 22, secs(192));
    let own = Row {
        claim: Claim {
            counted_to: 23,
            ..own.claim
        },
        ..own
    };
    let others = [held(row(24, 2, secs(193)), 4, secs(10)), own];
    let then = late + secs(2);
    share.see(View::of(&others, 25, secs(194)), then, then + ms(5));
    assert_eq!(share.divisor(then + SETTLE), None);
    assert_eq!(share.divisor(then + ms(5) + SETTLE), Some(2));
}

#[test]
fn a_claim_that_nearly_lapses_is_not_renewed_as_the_same() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    let lapses = TERM - secs(3);
    let draft = share.draft(lapses - secs(16)).expect("a view");
    assert_eq!(draft.claim.since, Some(1));
    let draft = share.draft(lapses - secs(14)).expect("a view");
    assert_eq!(
        draft.claim.since, None,
        "the write may take effect when it has lapsed"
    );
}

#[test]
fn a_process_takes_over_a_claim_that_has_not_lapsed() {
    let own = held(row(5, 1, secs(100)), 4, secs(90));
    assert_eq!(taken_over(own, secs(101)).divisor(ms(20)), Some(1));
    let too_late = secs(100) + TERM - secs(14);
    assert_eq!(taken_over(own, too_late).divisor(ms(20)), None);
    let other_clock = secs(99);
    assert_eq!(taken_over(own, other_clock).divisor(ms(20)), None);
}

#[test]
fn a_process_that_takes_over_a_share_that_must_settle_waits_for_the_rest() {
    let own = held(row(5, 1, secs(100)), 4, secs(107));
    let mut share = taken_over(own, secs(101));
    assert_eq!(share.divisor(secs(6)), None);
    assert_eq!(share.divisor(secs(6) + ms(10)), Some(1));
}
