//! Positions of different timelines of the store.
//!
//! Guards against versions that are compared across a restoration of the store, which gives them out again.

use std::time::Duration;

use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint, PutOutcome},
    leader_lease::{LeaderLease, LeaseRecord, Step, WriteOutcome},
    share::{ClaimRow, ClaimsSnapshot, Share},
    timeline::{LatestTimeline, Observation, StoreRevision, Timeline},
};

const TERM: Duration = Duration::from_secs(10);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn at(timeline: u64, version: u64) -> StoreRevision {
    StoreRevision::new(Timeline(timeline), version)
}

#[test]
fn an_answer_of_another_timeline_does_not_continue_a_read() {
    assert!(at(1, 5).is_continued_by(at(1, 5)));
    assert!(at(1, 5).is_continued_by(at(1, 9)));
    assert!(!at(1, 5).is_continued_by(at(2, 9)));
    assert!(!at(2, 5).is_continued_by(at(1, 9)));
    // A store that states no timeline shows a restoration by its version only.
    assert!(!at(0, 5).is_continued_by(at(0, 4)));
    assert!(at(2, 1) > at(1, 9));
}

#[test]
fn late_messages_of_an_earlier_timeline_are_outdated() {
    let mut known = LatestTimeline::default();
    assert_eq!(known.observe(Timeline(4)), Observation::Known);
    assert_eq!(known.of_message(None), Some(Timeline(4)));
    let restored = Observation::Restored {
        before: Timeline(4),
    };
    assert_eq!(known.observe(Timeline(6)), restored);
    assert_eq!(known.observe(Timeline(5)), Observation::Outdated);
    assert_eq!(known.observe(Timeline(6)), Observation::Known);
    assert_eq!(known.of_message(Some(Timeline(5))), None);
    assert_eq!(known.of_message(Some(Timeline(6))), Some(Timeline(6)));
    assert_eq!(known.of_message(None), None);
}

#[test]
fn a_list_has_no_version_at_a_revision_of_another_timeline() {
    let mut directory = Directory::default();
    directory.record_revision(at(1, 8));
    directory.record_revision(at(2, 3));
    assert_eq!(directory.version_at_revision(at(1, 9)), Some(0));
    assert_eq!(directory.version_at_revision(at(2, 3)), Some(0));
    assert_eq!(directory.version_at_revision(at(2, 2)), None);
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        name: id.into(),
        started_at: None,
        service: "s".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        data_centre: "z1".into(),
        slots: 1,
        draining: false,
        accelerator: None,
        layers: None,
    }
}

#[test]
fn an_endpoint_that_was_removed_before_a_restoration_is_withheld_until_its_entry_is_confirmed() {
    let mut directory = Directory::default();
    directory.put(endpoint("a"), secs(0));
    directory.remove("a");
    directory.record_restoration(secs(5), secs(10));
    assert_eq!(directory.put(endpoint("a"), secs(11)), PutOutcome::Withheld);
    assert!(directory.get("a").is_none() && directory.take_withheld(secs(14)).is_empty());
    // The entry that is removed again is not listed later.
    let listed_again = directory.ids_except(std::iter::empty());
    assert_eq!(listed_again, ["a".into()]);
    directory.remove("a");
    assert!(directory.take_withheld(secs(15)).is_empty());
    directory.record_restoration(secs(5), secs(20));
    assert_eq!(directory.put(endpoint("a"), secs(21)), PutOutcome::Withheld);
    directory.record_entry_written("a");
    assert_eq!(directory.put(endpoint("a"), secs(21)), PutOutcome::Listed);
}

#[test]
fn an_entry_that_outlasts_those_of_endpoints_that_have_left_is_listed() {
    let mut directory = Directory::default();
    directory.put(endpoint("a"), secs(0));
    directory.remove("a");
    directory.record_restoration(secs(5), secs(10));
    assert_eq!(directory.put(endpoint("a"), secs(11)), PutOutcome::Withheld);
    let released = directory.take_withheld(secs(15));
    assert_eq!(released, [endpoint("a")]);
    assert_eq!(directory.put(endpoint("a"), secs(15)), PutOutcome::Listed);
}

#[test]
fn a_lease_is_not_held_after_a_restoration_until_its_row_was_read_and_written() {
    let mut lease = LeaderLease::new("a".to_owned(), TERM, secs(5));
    lease.record_read(secs(0), None);
    lease.record_write(secs(0), secs(0), WriteOutcome::Done(7));
    assert!(lease.held(secs(1)));
    lease.record_restoration();
    assert!(!lease.held(secs(1)));
    // The version 7 may be that of another holder's row by now.
    assert_eq!(lease.step(secs(1)), Step::Read);
    let other = LeaseRecord {
        holder: "b".to_owned(),
        version: 7,
    };
    lease.record_read(secs(2), Some(other));
    assert_eq!(lease.step(secs(2)), Step::Wait);
    let own = LeaseRecord {
        holder: "a".to_owned(),
        version: 5,
    };
    lease.record_read(secs(3), Some(own));
    assert!(!lease.held(secs(3)));
    assert_eq!(lease.step(secs(3)), Step::Write { expected: 5 });
}

#[test]
fn a_lease_whose_row_has_the_same_version_after_a_restoration_is_not_taken_from_its_holder() {
    let mut lease = LeaderLease::new("b".to_owned(), TERM, secs(5));
    let renewed = || LeaseRecord {
        holder: "a".to_owned(),
        version: 7,
    };
    lease.record_read(secs(0), Some(renewed()));
    // The store was restored, and the holder has written its row again, which got the version 7 once more.
    lease.record_restoration();
    lease.record_read(secs(9), Some(renewed()));
    assert_eq!(lease.step(secs(11)), Step::Wait);
    assert_eq!(lease.step(secs(14)), Step::Read);
}

#[test]
fn claims_of_before_a_restoration_are_neither_drafted_nor_reported_nor_kept() {
    let snapshot =
        |version, hosts: &[ClaimRow]| ClaimsSnapshot::of(hosts, version, secs(100 + version));
    let mut share = Share::new(secs(10));
    share.merge_snapshot(snapshot(40, &[]), secs(1), secs(1));
    let draft = share.draft(secs(1)).expect("a snapshot");
    share.confirm_write(&draft, 41, secs(1));
    share.record_restoration();
    assert!(share.draft(secs(2)).is_none());
    assert!(share.current_snapshot().is_none());
    assert!(!share.awaited());
    share.merge_snapshot(snapshot(30, &[]), secs(3), secs(3));
    assert_eq!(share.current_snapshot().map(|s| s.version), Some(30));
    let draft = share.draft(secs(3)).expect("a snapshot");
    assert_eq!(draft.claim.counted_to, 30);
}
