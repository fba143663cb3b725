//! When a host holds its share, and for how long.

use std::time::Duration;

use dragonflyrill_fleet::share::{
    self, CLAIM_TERM, Claim, ClaimRow, ClaimsSnapshot, Share, ShareHolding,
};

mod common;
use common::ms;

const SETTLE_TIME: Duration = Duration::from_secs(11);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A row whose claim was renewed at `read_at` by the store's clock, and which counts all rows before it.
fn row(version: u64, since: u64, read_at: Duration) -> ClaimRow {
    let claim = Claim {
        since: Some(since),
        counted_to: version - 1,
        read_at,
        held: None,
    };
    ClaimRow { version, claim }
}

fn held(row: ClaimRow, version: u64, usable_at: Duration) -> ClaimRow {
    let held = Some(ShareHolding { version, usable_at });
    let claim = Claim { held, ..row.claim };
    ClaimRow { claim, ..row }
}

/// The share of a host that takes over the row `own` from an earlier process, at `clock` by the store's
/// clock.
fn taken_over(own: ClaimRow, clock: Duration) -> Share {
    let mut share = Share::new(SETTLE_TIME);
    let snapshot = ClaimsSnapshot::of(&[own], own.version + 1, clock);
    share.take_over(&own, &snapshot, ms(10));
    share.merge_snapshot(snapshot, ms(10), ms(20));
    share
}

#[test]
fn a_host_uses_one_of_a_bound_while_the_number_of_hosts_is_unknown() {
    assert_eq!(share::host_portion(55, Some(8)), 6);
    assert_eq!(share::host_portion(55, Some(360)), 1);
    assert_eq!(share::host_portion(55, None), 1);
}

#[test]
fn a_snapshot_counts_claims_until_they_expire() {
    let rows = [row(5, 1, secs(100)), row(6, 2, secs(130))];
    let snapshot = ClaimsSnapshot::of(&rows, 9, secs(140));
    assert_eq!(
        (snapshot.hosts, snapshot.newest, snapshot.counted_by_all),
        (2, 2, 4)
    );
    let later = ClaimsSnapshot::of(&rows, 10, secs(100) + CLAIM_TERM);
    assert_eq!((later.hosts, later.counted_by_all), (1, 5));
}

#[test]
fn a_share_is_not_used_before_every_host_counts_it() {
    let mut share = Share::new(SETTLE_TIME);
    assert_eq!(share.divisor(ms(0)), None);
    let other = row(5, 1, secs(100));
    share.merge_snapshot(ClaimsSnapshot::of(&[other], 6, secs(100)), ms(0), ms(5));
    let draft = share.draft(ms(5)).expect("a snapshot");
    assert_eq!((draft.claim.since, draft.claim.counted_to), (None, 6));
    share.confirm_write(&draft, 7, ms(8));
    assert_eq!(share.divisor(ms(8)), None);
    // Both rows are in the snapshot, but the other one doesn't count this one yet.
    let own = row(9, 7, secs(101));
    share.merge_snapshot(
        ClaimsSnapshot::of(&[other, own], 9, secs(101)),
        ms(1000),
        ms(1005),
    );
    assert_eq!(share.divisor(ms(1005)), None);
    let other = row(10, 1, secs(102));
    share.merge_snapshot(
        ClaimsSnapshot::of(&[other, own], 10, secs(102)),
        ms(2000),
        ms(2005),
    );
    assert_eq!(share.divisor(ms(2005)), Some(2));
}

#[test]
fn an_older_snapshot_is_ignored() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    let two = [row(5, 1, secs(100)), row(9, 3, secs(100))];
    share.merge_snapshot(ClaimsSnapshot::of(&two, 10, secs(102)), ms(30), ms(31));
    assert_eq!(share.divisor(ms(31)), Some(2));
    share.merge_snapshot(ClaimsSnapshot::of(&two[..1], 8, secs(101)), ms(32), ms(33));
    assert_eq!(
        share.divisor(ms(33)),
        Some(2),
        "the older snapshot came late from another host"
    );
}

#[test]
fn a_host_is_awaited_while_its_row_does_not_count_the_newest_claim() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    assert!(!share.awaited());
    let rows = [row(5, 1, secs(100)), row(9, 9, secs(100))];
    share.merge_snapshot(ClaimsSnapshot::of(&rows, 10, secs(102)), ms(30), ms(31));
    assert!(share.awaited());
    let draft = share.draft(ms(40)).expect("a snapshot");
    share.confirm_write(&draft, 11, ms(45));
    assert!(!share.awaited());
}

#[test]
fn the_term_counts_from_when_the_read_that_the_row_names_was_sent() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    let own = [row(5, 1, secs(100))];
    share.merge_snapshot(ClaimsSnapshot::of(&own, 10, secs(130)), secs(30), secs(31));
    let draft = share.draft(secs(31)).expect("a snapshot");
    // The answer to the write takes long.
    share.confirm_write(&draft, 11, secs(60));
    let expires_at = secs(30) + CLAIM_TERM;
    assert_eq!(share.divisor(expires_at - secs(3)), Some(1));
    assert_eq!(share.divisor(expires_at - secs(2)), None);
}

#[test]
fn an_expired_share_is_claimed_anew() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    let late = CLAIM_TERM + secs(1);
    assert_eq!(share.divisor(late), None);
    let others = [held(row(20, 2, secs(190)), 4, secs(10))];
    let snapshot = ClaimsSnapshot::of(&others, 21, secs(192));
    share.merge_snapshot(snapshot, late, late + ms(5));
    let draft = share.draft(late + ms(5)).expect("a snapshot");
    assert_eq!((draft.claim.since, draft.claim.held), (None, None));
    share.confirm_write(&draft, 22, late + ms(9));
    // All hosts count the new claim, and the others held their shares before without counting it.
    let own = row(22, 22, secs(192));
    let own = ClaimRow {
        claim: Claim {
            counted_to: 23,
            ..own.claim
        },
        ..own
    };
    let others = [held(row(24, 2, secs(193)), 4, secs(10)), own];
    let then = late + secs(2);
    share.merge_snapshot(
        ClaimsSnapshot::of(&others, 25, secs(194)),
        then,
        then + ms(5),
    );
    assert_eq!(share.divisor(then + SETTLE_TIME), None);
    assert_eq!(share.divisor(then + ms(5) + SETTLE_TIME), Some(2));
}

#[test]
fn a_claim_that_is_about_to_expire_is_not_renewed_without_interruption() {
    let mut share = taken_over(row(5, 1, secs(100)), secs(101));
    let expires_at = CLAIM_TERM - secs(3);
    let draft = share.draft(expires_at - secs(16)).expect("a snapshot");
    assert_eq!(draft.claim.since, Some(1));
    let draft = share.draft(expires_at - secs(14)).expect("a snapshot");
    assert_eq!(
        draft.claim.since, None,
        "the write may take effect after the claim has expired"
    );
}

#[test]
fn a_process_takes_over_an_unexpired_claim() {
    let own = held(row(5, 1, secs(100)), 4, secs(90));
    assert_eq!(taken_over(own, secs(101)).divisor(ms(20)), Some(1));
    let too_late = secs(100) + CLAIM_TERM - secs(14);
    assert_eq!(taken_over(own, too_late).divisor(ms(20)), None);
    let other_clock = secs(99);
    assert_eq!(taken_over(own, other_clock).divisor(ms(20)), None);
}

#[test]
fn a_process_that_takes_over_a_settling_share_waits_for_the_rest_of_the_time() {
    let own = held(row(5, 1, secs(100)), 4, secs(107));
    let mut share = taken_over(own, secs(101));
    assert_eq!(share.divisor(secs(6)), None);
    assert_eq!(share.divisor(secs(6) + ms(10)), Some(1));
}
