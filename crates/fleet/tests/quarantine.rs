//! Requests during which endpoints terminate are quarantined, by all hosts alike, and others are not.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    fingerprint::Fingerprint,
    quarantine::{
        Provers, Quarantine, QuarantinePeriod, QuarantineRecord, RunSuspects, SuspectReport,
    },
};
use proptest::prelude::*;

const FIRST_DURATION: Duration = Duration::from_secs(3600);
const MIN_TERMINATIONS: u64 = 3;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn request(n: u8) -> Fingerprint {
    Fingerprint::from([n; 16])
}

fn run(n: u8) -> RunSuspects {
    RunSuspects::request_only(request(n))
}

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_prompt_part(id)
}

/// A run of a request whose prompt has these shared parts.
fn run_with(request_number: u8, parts: &[&str]) -> RunSuspects {
    RunSuspects {
        request: request(request_number),
        prompt_parts: parts.iter().map(|id| part(id)).collect(),
    }
}

fn incarnation(n: u64) -> Rc<str> {
    format!("e{n}").into()
}

/// Three incarnations terminate while they run the request.
fn quarantine_by_three_terminations(
    quarantine: &mut Quarantine,
    at: Duration,
) -> Option<QuarantinePeriod> {
    let mut period = None;
    for n in 1..=MIN_TERMINATIONS {
        period = quarantine.note_termination(request(1), &incarnation(n), at + s(n));
    }
    period
}

/// Reports to one host all that another one knows.
fn report(from: &Quarantine, to: &mut Quarantine, now: Duration) {
    to.merge_reports(from.changes_since(0, now), now);
}

#[test]
fn a_request_is_quarantined_after_three_terminations() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    assert!(quarantine.is_empty());
    for n in 1..MIN_TERMINATIONS {
        assert_eq!(
            quarantine.note_termination(request(1), &incarnation(n), s(n)),
            None
        );
        assert_eq!(quarantine.quarantined_for(&request(1), s(n)), None);
    }
    let period = quarantine.note_termination(
        request(1),
        &incarnation(MIN_TERMINATIONS),
        s(MIN_TERMINATIONS),
    );
    assert_eq!(
        period.map(|p| (p.count, p.remaining())),
        Some((1, FIRST_DURATION))
    );
    assert_eq!(
        quarantine.quarantined_for(&request(1), s(MIN_TERMINATIONS)),
        Some(FIRST_DURATION)
    );
    assert_eq!(
        quarantine.quarantined_for(&request(2), s(MIN_TERMINATIONS)),
        None
    );
    assert_eq!(quarantine.quarantined_count(s(MIN_TERMINATIONS)), 1);
}

#[test]
fn a_termination_counts_once_however_often_it_is_observed() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    for n in 0..10 {
        quarantine.note_termination(request(1), &incarnation(1), s(n));
        quarantine.note_termination(request(1), &incarnation(2), s(n));
    }
    assert_eq!(quarantine.quarantined_for(&request(1), s(10)), None);
}

#[test]
fn an_answer_in_between_clears_earlier_terminations() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_termination(request(1), &incarnation(1), s(1));
    quarantine.note_termination(request(1), &incarnation(2), s(2));
    assert!(!quarantine.note_answer(&request(1), s(3)));
    quarantine.note_termination(request(1), &incarnation(3), s(200));
    quarantine.note_termination(request(1), &incarnation(4), s(201));
    assert_eq!(quarantine.quarantined_for(&request(1), s(202)), None);
    assert!(
        quarantine
            .note_termination(request(1), &incarnation(5), s(203))
            .is_some()
    );
}

#[test]
fn no_termination_counts_within_a_minute_after_an_answer() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    for minute in 1..5 {
        quarantine.note_answer(&request(1), s(60 * minute));
        quarantine.note_answer(&request(2), s(60 * minute));
        assert_eq!(
            quarantine_by_three_terminations(&mut quarantine, s(60 * minute + 50)),
            None
        );
        assert!(quarantine.is_empty());
    }
    assert!(quarantine_by_three_terminations(&mut quarantine, s(60 * 4 + 121)).is_some());
}

#[test]
fn an_answer_discards_runs_that_broke_off_before_it() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_broken_run(run(1), &incarnation(1), s(1));
    quarantine.note_broken_run(run(2), &incarnation(1), s(1));
    quarantine.note_answer(&request(1), s(2));
    assert_eq!(quarantine.confirm_termination("e1", s(3)), [run(2)]);
}

#[test]
fn the_number_of_remembered_answers_is_bounded() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_answer(&request(1), s(1));
    for n in 0..20_000u32 {
        let mut bytes = [7; 16];
        bytes[..4].copy_from_slice(&n.to_be_bytes());
        quarantine.note_answer(&Fingerprint::from(bytes), s(2));
    }
    assert!(
        quarantine_by_three_terminations(&mut quarantine, s(3)).is_some(),
        "the answer was dropped"
    );
}

#[test]
fn an_answer_to_a_run_from_before_the_quarantine_ends_it() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine_by_three_terminations(&mut quarantine, s(0));
    quarantine.mark_persisted(quarantine.to_persist(s(4)).0);
    assert!(!quarantine.persist_due());
    assert!(quarantine.note_answer(&request(1), s(5)));
    assert_eq!(quarantine.quarantined_for(&request(1), s(5)), None);
    assert!(
        quarantine.persist_due(),
        "the stored period must be removed"
    );
}

#[test]
fn each_termination_after_a_quarantine_begins_one_of_twice_the_length() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine_by_three_terminations(&mut quarantine, s(0));
    let mut now = s(MIN_TERMINATIONS);
    for n in 1..4 {
        now += quarantine
            .quarantined_for(&request(1), now)
            .expect("the request is quarantined");
        assert_eq!(
            quarantine.quarantined_for(&request(1), now),
            None,
            "period {n}"
        );
        now += s(1);
        let period = quarantine.note_termination(request(1), &incarnation(100 + u64::from(n)), now);
        let period = period.map(|p| (p.count, p.remaining()));
        assert_eq!(period, Some((n + 1, FIRST_DURATION * 2u32.pow(n))));
    }
}

#[test]
fn a_broken_run_counts_once_its_endpoint_is_known_to_have_terminated() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_broken_run(run(1), &incarnation(1), s(1));
    quarantine.note_broken_run(run(1), &incarnation(1), s(2));
    quarantine.note_broken_run(run(2), &incarnation(1), s(2));
    quarantine.note_broken_run(run(1), &incarnation(2), s(3));
    assert!(quarantine.is_empty(), "no termination is confirmed yet");
    assert_eq!(quarantine.confirm_termination("e1", s(5)), [run(1), run(2)]);
    assert_eq!(
        quarantine.confirm_termination("e1", s(5)),
        [],
        "each run is returned once"
    );
    assert_eq!(
        quarantine.confirm_termination("e2", s(60)),
        [],
        "the run broke off too long ago"
    );
}

#[test]
fn terminations_observed_by_two_hosts_count_together() {
    let (mut a, mut b) = (
        Quarantine::new(FIRST_DURATION),
        Quarantine::new(FIRST_DURATION),
    );
    a.note_termination(request(1), &incarnation(1), s(1));
    b.note_termination(request(1), &incarnation(2), s(2));
    b.note_termination(request(1), &incarnation(1), s(2));
    report(&a, &mut b, s(3));
    assert_eq!(b.quarantined_for(&request(1), s(3)), None);
    b.note_termination(request(1), &incarnation(3), s(4));
    report(&b, &mut a, s(5));
    assert!(a.quarantined_for(&request(1), s(5)).is_some());
    assert!(
        a.to_persist(s(5)).1.is_empty(),
        "only the host that determined the period stores it"
    );
    assert_eq!(b.to_persist(s(5)).1.len(), 1);
}

#[test]
fn terminations_that_led_to_a_quarantine_don_t_count_again() {
    let (mut a, mut b) = (
        Quarantine::new(FIRST_DURATION),
        Quarantine::new(FIRST_DURATION),
    );
    a.note_termination(request(1), &incarnation(1), s(1));
    a.note_termination(request(1), &incarnation(2), s(2));
    report(&a, &mut b, s(3));
    b.note_termination(request(1), &incarnation(3), s(4));
    // The period has expired when a host that was cut off reports the terminations that led to it.
    let later = s(4) + FIRST_DURATION + s(1);
    assert_eq!(b.quarantined_for(&request(1), later), None);
    report(&a, &mut b, later);
    assert_eq!(b.quarantined_for(&request(1), later), None);
}

#[test]
fn a_host_that_has_just_started_merges_reports_of_earlier_times() {
    let (mut old, mut new) = (
        Quarantine::new(FIRST_DURATION),
        Quarantine::new(FIRST_DURATION),
    );
    quarantine_by_three_terminations(&mut old, s(1000));
    old.note_termination(request(2), &incarnation(1), s(1004));
    let reported = old.changes_since(0, s(1010));
    assert_eq!(new.merge_reports(reported, s(1)), [request(1)]);
    let left = new.quarantined_for(&request(1), s(1));
    assert_eq!(left, old.quarantined_for(&request(1), s(1010)));
}

#[test]
fn a_reported_answer_ends_the_quarantine_on_every_host() {
    let (mut a, mut b, mut c) = (
        Quarantine::new(FIRST_DURATION),
        Quarantine::new(FIRST_DURATION),
        Quarantine::new(FIRST_DURATION),
    );
    quarantine_by_three_terminations(&mut a, s(0));
    report(&a, &mut b, s(4));
    report(&a, &mut c, s(4));
    a.mark_persisted(a.to_persist(s(5)).0);
    assert!(!a.persist_due());
    c.note_answer(&request(1), s(6));
    report(&c, &mut b, s(7));
    // The report of the quarantine comes late, and is older than the answer.
    report(&a, &mut b, s(8));
    assert_eq!(b.quarantined_for(&request(1), s(8)), None);
    report(&b, &mut a, s(9));
    assert_eq!(a.quarantined_for(&request(1), s(9)), None);
    assert!(a.persist_due() && a.to_persist(s(9)).1.is_empty());
}

#[test]
fn an_answer_reported_before_the_quarantine_is_known_ends_it() {
    let new = || Quarantine::new(FIRST_DURATION);
    let (mut a, mut b, mut c) = (new(), new(), new());
    quarantine_by_three_terminations(&mut a, s(0));
    report(&a, &mut b, s(4));
    a.note_answer(&request(1), s(6));
    report(&a, &mut c, s(7));
    report(&b, &mut c, s(8));
    assert_eq!(c.quarantined_for(&request(1), s(8)), None);
}

#[test]
fn a_reported_answer_soon_after_the_known_one_ends_a_quarantine_from_in_between() {
    let new = || Quarantine::new(FIRST_DURATION);
    let (mut a, mut b, mut c) = (new(), new(), new());
    let ms = Duration::from_millis;
    b.note_termination(request(1), &incarnation(8), s(1));
    c.note_termination(request(1), &incarnation(9), s(1));
    c.note_answer(&request(1), ms(2000));
    for n in 1..=MIN_TERMINATIONS {
        a.note_termination(request(1), &incarnation(n), ms(2300));
    }
    report(&a, &mut c, ms(2400));
    b.note_answer(&request(1), ms(2600));
    report(&b, &mut c, ms(2700));
    report(&c, &mut a, ms(2800));
    for host in [&a, &b, &c] {
        assert_eq!(host.quarantined_for(&request(1), ms(2800)), None);
    }
}

#[test]
fn stored_quarantines_apply_to_the_next_process() {
    let mut before = Quarantine::new(FIRST_DURATION);
    assert!(!before.persist_due());
    quarantine_by_three_terminations(&mut before, s(0));
    assert!(before.persist_due());
    let (revision, stored) = before.to_persist(s(10));
    before.mark_persisted(revision);
    assert!(!before.persist_due());
    let mut after = Quarantine::new(FIRST_DURATION);
    assert_eq!(after.restore(stored.clone(), true, s(0)), [request(1)]);
    assert_eq!(
        after.quarantined_for(&request(1), s(0)),
        before.quarantined_for(&request(1), s(10))
    );
    assert_eq!(
        after.to_persist(s(0)).1,
        stored,
        "the next process stores it as well"
    );
    let mut other = Quarantine::new(FIRST_DURATION);
    other.restore(stored, false, s(0));
    assert!(
        other.quarantined_for(&request(1), s(0)).is_some() && other.to_persist(s(0)).1.is_empty()
    );
}

#[test]
fn stored_terminations_count_at_the_next_process() {
    let mut before = Quarantine::new(FIRST_DURATION);
    let unchanged = before.suspects_revision();
    before.note_termination(request(1), &incarnation(1), s(1));
    before.note_termination(request(1), &incarnation(2), s(2));
    assert!(before.suspects_revision() > unchanged);
    let stored = before.suspects_to_persist(Provers::AllHosts, s(10));
    let mut after = Quarantine::new(FIRST_DURATION);
    assert_eq!(after.restore_suspects(stored.clone(), false, s(0)), []);
    assert!(
        after
            .note_termination(request(1), &incarnation(3), s(1))
            .is_some()
    );
    assert!(
        after
            .suspects_to_persist(Provers::AllHosts, s(1))
            .is_empty()
    );
    // What led to the quarantine does not count again when the row is read once more.
    assert_eq!(after.restore_suspects(stored, false, s(2)), []);
    assert!(
        after
            .suspects_to_persist(Provers::AllHosts, s(2))
            .is_empty()
    );
}

/// Guards against a restart after which a host no longer stores what its earlier process proved.
#[test]
fn a_host_stores_the_terminations_that_it_or_an_earlier_process_of_it_has_proved() {
    let (mut before, mut other) = (
        Quarantine::new(FIRST_DURATION),
        Quarantine::new(FIRST_DURATION),
    );
    assert_eq!(before.own_termination_version(), 0);
    before.note_termination(request(1), &incarnation(1), s(1));
    let proved = before.own_termination_version();
    assert!(proved > 0);
    other.note_termination(request(1), &incarnation(2), s(1));
    other.note_termination(request(2), &incarnation(2), s(1));
    report(&other, &mut before, s(1));
    assert_eq!(before.own_termination_version(), proved);
    let own = before.suspects_to_persist(Provers::ThisHost, s(1));
    let endpoints = |stored: &[SuspectReport]| -> Vec<(Fingerprint, Rc<str>)> {
        let of = |s: &SuspectReport| {
            let request = s.request;
            let terminations = s.terminations.clone().into_iter();
            terminations
                .map(move |t| (request, t.endpoint))
                .collect::<Vec<_>>()
        };
        stored.iter().flat_map(of).collect()
    };
    assert_eq!(endpoints(&own), [(request(1), incarnation(1))]);
    let mut after = Quarantine::new(FIRST_DURATION);
    after.restore_suspects(
        other.suspects_to_persist(Provers::ThisHost, s(1)),
        false,
        s(0),
    );
    after.restore_suspects(own.clone(), true, s(0));
    assert_eq!(after.suspects_to_persist(Provers::ThisHost, s(0)), own);
    assert!(
        after
            .note_termination(request(1), &incarnation(3), s(1))
            .is_some()
    );
}

#[test]
fn stored_terminations_are_forgotten_after_an_answer_and_with_time() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_termination(request(1), &incarnation(1), s(1));
    quarantine.note_termination(request(2), &incarnation(1), s(1));
    let stored = quarantine.suspects_to_persist(Provers::AllHosts, s(1));
    quarantine.note_answer(&request(1), s(5));
    quarantine.restore_suspects(stored.clone(), false, s(6));
    let suspects = quarantine.suspects_to_persist(Provers::AllHosts, s(6));
    assert!(suspects.iter().all(|s| s.request != request(1)));
    let mut later = Quarantine::new(FIRST_DURATION);
    let mut aged = stored;
    aged.iter_mut()
        .flat_map(|suspect| &mut suspect.terminations)
        .for_each(|t| t.age = FIRST_DURATION);
    later.restore_suspects(aged, false, s(0));
    assert!(later.is_empty());
}

#[test]
fn the_number_of_stored_suspects_is_bounded_and_those_with_most_terminations_stay() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_termination(request(1), &incarnation(1), s(1));
    quarantine.note_termination(request(1), &incarnation(2), s(2));
    for n in 0..500u32 {
        let mut bytes = [7; 16];
        bytes[..4].copy_from_slice(&n.to_be_bytes());
        quarantine.note_termination(Fingerprint::from(bytes), &incarnation(1), s(3));
    }
    let stored = quarantine.suspects_to_persist(Provers::AllHosts, s(4));
    assert!(stored.len() <= 128, "{}", stored.len());
    assert_eq!(stored[0].request, request(1));
}

#[test]
fn a_host_that_stores_a_period_stores_a_longer_reported_one() {
    let (mut a, mut b) = (
        Quarantine::new(FIRST_DURATION),
        Quarantine::new(2 * FIRST_DURATION),
    );
    quarantine_by_three_terminations(&mut a, s(0));
    quarantine_by_three_terminations(&mut b, s(0));
    report(&b, &mut a, s(5));
    let stored = a.to_persist(s(5)).1;
    assert_eq!(stored.len(), 1);
    assert_eq!(stored[0].period.duration, 2 * FIRST_DURATION);
}

#[test]
fn a_period_expires_at_the_same_time_by_a_clock_that_outlives_the_process() {
    let period = QuarantinePeriod {
        count: 2,
        age: s(20),
        duration: s(60),
    };
    let span = period.span(s(1000));
    assert_eq!((span.since, span.until), (s(980), s(1040)));
    let later = QuarantinePeriod::from_span(2, span, s(1030));
    assert_eq!(
        (later.count, later.age, later.remaining()),
        (2, s(50), s(10))
    );
    assert_eq!(
        QuarantinePeriod::from_span(2, span, s(2000)).remaining(),
        s(0)
    );
}

#[test]
fn a_stored_period_that_has_expired_is_ignored() {
    let period = QuarantinePeriod {
        count: 1,
        age: s(20),
        duration: s(10),
    };
    let stored = QuarantineRecord {
        request: request(1),
        period,
    };
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    assert_eq!(quarantine.restore(vec![stored], true, s(0)), []);
    assert!(quarantine.is_empty());
}

#[test]
fn a_request_without_updates_is_removed() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_termination(request(1), &incarnation(1), s(0));
    quarantine.note_termination(request(1), &incarnation(2), s(1));
    quarantine.note_termination(request(2), &incarnation(1), FIRST_DURATION + s(5));
    assert_eq!(
        quarantine.note_termination(request(1), &incarnation(3), FIRST_DURATION + s(6)),
        None
    );
}

#[test]
fn the_number_of_records_is_bounded_and_no_quarantined_request_is_evicted() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine_by_three_terminations(&mut quarantine, s(0));
    for n in 0..5000u32 {
        let mut bytes = [7; 16];
        bytes[..4].copy_from_slice(&n.to_be_bytes());
        quarantine.note_termination(Fingerprint::from(bytes), &incarnation(1), s(10));
    }
    for n in 0..5000 {
        quarantine.note_broken_run(run(2), &incarnation(n), s(11));
    }
    assert_eq!(quarantine.confirm_termination("e0", s(11)), []);
    assert_eq!(quarantine.confirm_termination("e4999", s(11)), [run(2)]);
    assert!(quarantine.quarantined_for(&request(1), s(10)).is_some());
    assert!(quarantine.changes_since(0, s(10)).len() <= 1024);
}

/// Requests with the part `fatal` end the endpoints `from` and the next ones, one each.
fn terminations_under_part(quarantine: &mut Quarantine, from: u64, count: u64, at: Duration) {
    for n in from..from + count {
        let run = run_with(100 + n as u8, &["first", "fatal"]);
        quarantine.note_run_termination(&run, &incarnation(n), at + s(n));
    }
}

#[test]
fn a_part_is_quarantined_after_three_terminations_under_different_requests() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_answer(&part("first"), s(1));
    terminations_under_part(&mut quarantine, 1, 2, s(1));
    assert_eq!(quarantine.quarantined_for(&part("fatal"), s(4)), None);
    let third = run_with(103, &["first", "fatal"]);
    let begun = quarantine.note_run_termination(&third, &incarnation(3), s(4));
    let begun: Vec<Fingerprint> = begun.iter().map(|b| b.suspect).collect();
    assert_eq!(begun, [part("fatal")], "the first part was answered");
    assert_eq!(quarantine.quarantined_count(s(4)), 1);
}

/// Guards against sound requests that are refused because one request ended endpoints that has a part in common with them.
#[test]
fn one_request_alone_does_not_quarantine_the_parts_of_its_prompt() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    for n in 1..=6 {
        quarantine.note_run_termination(&run_with(1, &["a"]), &incarnation(n), s(n));
    }
    assert!(quarantine.quarantined_for(&request(1), s(7)).is_some());
    assert_eq!(quarantine.quarantined_for(&part("a"), s(7)), None);
    let other = run_with(2, &["a"]);
    let begun = quarantine.note_run_termination(&other, &incarnation(7), s(8));
    assert_eq!(begun.len(), 1);
    assert!(quarantine.quarantined_for(&part("a"), s(8)).is_some());
}

#[test]
fn a_run_beyond_the_beginning_of_its_answer_does_not_count_against_parts() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_broken_run(run_with(1, &["a", "b"]), &incarnation(1), s(1));
    quarantine.note_answer(&part("a"), s(1));
    assert_eq!(
        quarantine.confirm_termination("e1", s(2)),
        [run_with(1, &["b"])]
    );
    let begun = quarantine.note_run_termination(&run(1), &incarnation(1), s(2));
    assert_eq!(begun, []);
    assert_eq!(quarantine.changes_since(0, s(2)).len(), 1);
}

/// Guards against a sound part that is quarantined on all hosts because the host whose streams broke off has not had an
/// answer on it.
#[test]
fn a_host_that_knows_of_a_recent_answer_ends_the_quarantine_that_others_report() {
    let new = || Quarantine::new(FIRST_DURATION);
    let (mut a, mut b, mut c) = (new(), new(), new());
    b.note_answer(&part("first"), s(10));
    terminations_under_part(&mut a, 1, 3, s(40));
    assert!(a.quarantined_for(&part("first"), s(44)).is_some());
    report(&a, &mut c, s(44));
    report(&a, &mut b, s(44));
    assert_eq!(b.quarantined_for(&part("first"), s(44)), None);
    report(&b, &mut a, s(45));
    report(&b, &mut c, s(45));
    for host in [&a, &b, &c] {
        assert_eq!(host.quarantined_for(&part("first"), s(45)), None);
        assert!(host.quarantined_for(&part("fatal"), s(45)).is_some());
    }
    let (version_a, version_b) = (a.version(), b.version());
    report(&a, &mut b, s(46));
    report(&b, &mut a, s(46));
    assert_eq!((a.version(), b.version()), (version_a, version_b));
}

/// Guards against sound requests that are refused for an hour because they ran three times beside those with the part.
#[test]
fn requests_that_broke_off_beside_a_quarantined_part_are_no_longer_quarantined() {
    let new = || Quarantine::new(FIRST_DURATION);
    let (mut a, mut b) = (new(), new());
    for n in 1..=3 {
        a.note_run_termination(&run(1), &incarnation(n), s(n));
    }
    a.mark_persisted(a.to_persist(s(4)).0);
    report(&a, &mut b, s(4));
    assert!(b.quarantined_for(&request(1), s(4)).is_some());
    // Requests with the part ran at these endpoints, and at another one, on another host.
    terminations_under_part(&mut b, 1, 3, s(1));
    assert!(b.quarantined_for(&part("fatal"), s(5)).is_some());
    assert_eq!(b.quarantined_for(&request(1), s(5)), None);
    report(&b, &mut a, s(5));
    assert_eq!(a.quarantined_for(&request(1), s(5)), None);
    assert!(a.persist_due(), "the stored period must be removed");
    assert_eq!(a.to_persist(s(5)).1, []);
}

/// Guards against a stored quarantine that a part ends for want of known terminations, and against one that stays stored
/// once a part explains it.
#[test]
fn only_a_quarantine_whose_terminations_are_known_is_explained_and_then_it_is_no_longer_stored() {
    let new = || Quarantine::new(FIRST_DURATION);
    let (mut before, mut other) = (new(), new());
    quarantine_by_three_terminations(&mut before, s(0));
    let (revision, stored) = before.to_persist(s(4));
    before.mark_persisted(revision);
    terminations_under_part(&mut other, 1, 3, s(0));
    let mut after = new();
    after.restore(stored, true, s(4));
    report(&other, &mut after, s(5));
    assert!(after.quarantined_for(&request(1), s(5)).is_some());
    report(&other, &mut before, s(5));
    assert_eq!(before.quarantined_for(&request(1), s(5)), None);
    assert!(before.persist_due());
}

#[test]
fn a_host_that_knows_of_a_recent_answer_does_not_take_the_quarantine_over_from_a_row() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    for n in 1..=MIN_TERMINATIONS {
        let run = run_with(100 + n as u8, &["a"]);
        quarantine.note_run_termination(&run, &incarnation(n), s(40));
    }
    let (_, stored) = quarantine.to_persist(s(41));
    let mut other = Quarantine::new(FIRST_DURATION);
    other.note_answer(&part("a"), s(10));
    assert_eq!(other.restore(stored, false, s(41)), []);
    assert_eq!(other.quarantined_for(&part("a"), s(41)), None);
    report(&other, &mut quarantine, s(42));
    assert_eq!(quarantine.quarantined_for(&part("a"), s(42)), None);
}

#[test]
fn terminations_that_a_quarantined_part_explains_count_half_against_others() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    terminations_under_part(&mut quarantine, 1, 6, s(1));
    for n in 1..=3 {
        quarantine.note_run_termination(&run_with(1, &["b"]), &incarnation(n), s(6));
    }
    for n in 2..=4 {
        quarantine.note_run_termination(&run_with(2, &["b"]), &incarnation(n), s(6));
    }
    assert_eq!(quarantine.quarantined_for(&request(1), s(6)), None);
    assert_eq!(quarantine.quarantined_for(&part("b"), s(6)), None);
    // Two more that it does not explain.
    quarantine.note_run_termination(&run_with(3, &["b"]), &incarnation(20), s(7));
    assert_eq!(quarantine.quarantined_for(&part("b"), s(7)), None);
    quarantine.note_run_termination(&run_with(4, &["b"]), &incarnation(21), s(8));
    assert!(quarantine.quarantined_for(&part("b"), s(8)).is_some());
}

/// Guards against a companion of the actual cause that, once quarantined by coincidence, explains all that the cause does.
#[test]
fn the_cause_is_quarantined_though_a_companion_was_before() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    for n in 1..=3 {
        let companion = run_with(n as u8, &["companion"]);
        quarantine.note_run_termination(&companion, &incarnation(n), s(n));
        if n < 3 {
            let cause = run_with(100 + n as u8, &["fatal"]);
            quarantine.note_run_termination(&cause, &incarnation(n), s(n));
        }
    }
    assert!(
        quarantine
            .quarantined_for(&part("companion"), s(4))
            .is_some()
    );
    for n in 3..=5 {
        let cause = run_with(100 + n as u8, &["fatal"]);
        quarantine.note_run_termination(&cause, &incarnation(n), s(n));
    }
    assert!(quarantine.quarantined_for(&part("fatal"), s(6)).is_some());
}

/// A host that has just started quarantines the parts of all prompts, as three endpoints terminate at once.
fn quarantine_of_a_new_host(parts: &[&str]) -> Quarantine {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    for n in 1..=MIN_TERMINATIONS {
        let run = run_with(100 + n as u8, parts);
        quarantine.note_run_termination(&run, &incarnation(n), s(2));
    }
    for id in parts {
        assert!(quarantine.quarantined_for(&part(id), s(2)).is_some());
    }
    quarantine
}

/// Guards against an outage of an hour: all hosts restart, lose several endpoints before any answer, and refuse all requests
/// for the parts that these share.
#[test]
fn an_answer_to_a_probe_ends_the_quarantine_of_sound_parts() {
    let mut quarantine = quarantine_of_a_new_host(&["a", "b"]);
    let sound = run_with(1, &["a", "b"]);
    assert!(!quarantine.begin_probe(&sound, s(2)), "too early");
    assert!(quarantine.begin_probe(&sound, s(4)));
    assert!(
        !quarantine.begin_probe(&run_with(2, &["a"]), s(4)),
        "one at a time"
    );
    for id in ["a", "b"] {
        assert!(quarantine.note_answer(&part(id), s(5)));
    }
    assert_eq!(quarantine.end_probe(s(5)), []);
    assert_eq!(quarantine.quarantined_count(s(5)), 0);
}

#[test]
fn a_failed_probe_confirms_the_only_quarantined_part() {
    let mut quarantine = quarantine_of_a_new_host(&["fatal"]);
    let probe = run_with(1, &["fatal"]);
    assert!(quarantine.begin_probe(&probe, s(4)));
    let begun = quarantine.note_run_termination(&probe, &incarnation(9), s(4));
    let begun: Vec<_> = begun.iter().map(|b| (b.suspect, b.period.count)).collect();
    assert_eq!(begun, [(part("fatal"), 2)]);
    assert_eq!(quarantine.end_probe(s(5)), []);
    let again = run_with(2, &["fatal"]);
    assert!(!quarantine.begin_probe(&again, s(7100)));
    // So it is after a restart.
    let (_, stored) = quarantine.to_persist(s(5));
    let mut next = Quarantine::new(FIRST_DURATION);
    next.restore(stored, true, s(0));
    assert!(!next.begin_probe(&again, s(3000)));
}

#[test]
fn probes_tell_the_cause_from_the_parts_that_accompany_it() {
    let mut quarantine = quarantine_of_a_new_host(&["first", "fatal"]);
    let fatal = run_with(1, &["first", "fatal"]);
    assert!(quarantine.begin_probe(&fatal, s(4)));
    assert_eq!(
        quarantine.note_run_termination(&fatal, &incarnation(9), s(4)),
        [],
        "one of two is the cause"
    );
    quarantine.end_probe(s(4));
    assert!(
        !quarantine.begin_probe(&run_with(2, &["first", "fatal"]), s(5)),
        "it would fail as well"
    );
    assert!(quarantine.begin_probe(&run_with(3, &["first"]), s(5)));
    assert!(quarantine.note_answer(&part("first"), s(6)));
    let begun = quarantine.end_probe(s(6));
    let begun: Vec<_> = begun.iter().map(|b| (b.suspect, b.period.count)).collect();
    assert_eq!(begun, [(part("fatal"), 2)], "only this one is left");
}

/// Guards against a part that is taken for the cause because a request with it, sent before, terminates another endpoint
/// while the probe is under way.
#[test]
fn only_a_termination_under_the_probe_itself_fails_it() {
    let mut quarantine = quarantine_of_a_new_host(&["first"]);
    assert!(quarantine.begin_probe(&run_with(1, &["first"]), s(4)));
    let earlier = run_with(2, &["first", "fatal"]);
    assert_eq!(
        quarantine.note_run_termination(&earlier, &incarnation(9), s(4)),
        []
    );
    assert!(quarantine.note_answer(&part("first"), s(5)));
    assert_eq!(quarantine.end_probe(s(5)), []);
    assert_eq!(quarantine.quarantined_count(s(5)), 0);
}

#[test]
fn only_the_host_that_determined_a_quarantine_sends_probes_and_few_of_them() {
    let mut quarantine = quarantine_of_a_new_host(&["a"]);
    let mut other = Quarantine::new(FIRST_DURATION);
    report(&quarantine, &mut other, s(3));
    assert!(!other.begin_probe(&run_with(1, &["a"]), s(3000)));
    let mut sent = 0;
    for n in 0..50 {
        if quarantine.begin_probe(&run_with(n, &["a"]), s(4)) {
            quarantine.note_probe_sent();
            sent += 1;
        }
        // Its caller has left.
        quarantine.end_probe(s(4));
    }
    assert_eq!(sent, 3);
}

/// Guards against a cause that stays unconfirmed because the callers of earlier probes have left.
#[test]
fn the_last_probe_that_may_be_sent_confirms_the_cause_as_well() {
    let mut quarantine = quarantine_of_a_new_host(&["fatal"]);
    let mut begun = Vec::new();
    for n in 1..=3 {
        let probe = run_with(n, &["fatal"]);
        assert!(quarantine.begin_probe(&probe, s(4)));
        quarantine.note_probe_sent();
        if n == 3 {
            begun = quarantine.note_run_termination(&probe, &incarnation(9), s(4));
        }
        quarantine.end_probe(s(4));
    }
    let begun: Vec<_> = begun.iter().map(|b| (b.suspect, b.period.count)).collect();
    assert_eq!(begun, [(part("fatal"), 2)]);
}

#[test]
fn a_host_that_knows_what_is_answered_probes_after_a_minute_and_its_next_process_sooner() {
    let mut quarantine = Quarantine::new(FIRST_DURATION);
    quarantine.note_answer(&part("b"), s(80));
    for n in 1..=MIN_TERMINATIONS {
        let run = run_with(100 + n as u8, &["a"]);
        quarantine.note_run_termination(&run, &incarnation(n), s(100));
    }
    let (_, stored) = quarantine.to_persist(s(110));
    let mut next = Quarantine::new(FIRST_DURATION);
    next.restore(stored.clone(), true, s(0));
    let mut other = Quarantine::new(FIRST_DURATION);
    other.restore(stored, false, s(0));
    let run = run_with(1, &["a"]);
    assert!(!other.begin_probe(&run, s(3000)), "another host has it");
    assert!(!quarantine.begin_probe(&run, s(159)));
    assert!(quarantine.begin_probe(&run, s(161)));
    assert!(!next.begin_probe(&run, s(0)));
    assert!(next.begin_probe(&run, s(2)));
}

/// Two requests and two parts of prompts.
fn suspect(n: u8) -> Fingerprint {
    match n {
        0 | 1 => request(n),
        2 => part("a"),
        _ => part("b"),
    }
}

/// An event on one of three hosts.
#[derive(Debug, Clone)]
enum Event {
    /// A host observes that an incarnation of an endpoint terminates while it runs something with a suspect.
    Terminates(usize, u8, u64),
    /// A host relays an answer.
    Answers(usize, u8),
    /// A host reports to another one what has changed since its last report.
    Reports(usize, usize),
    /// A host restarts, with what was stored.
    Restarts(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..3usize, 0..4u8, 0..6u64).prop_map(|(h, r, e)| Event::Terminates(h, r, e)),
        1 => (0..3usize, 0..4u8).prop_map(|(h, r)| Event::Answers(h, r)),
        5 => (0..3usize, 0..3usize).prop_map(|(a, b)| Event::Reports(a, b)),
        1 => (0..3usize).prop_map(Event::Restarts),
    ]
}

/// Three hosts, and the version of each up to which it has reported to each other one.
struct Hosts {
    hosts: Vec<Quarantine>,
    reported_to: [[u64; 3]; 3],
}

impl Hosts {
    fn report(&mut self, from: usize, to: usize, sent: Duration, received: Duration) -> usize {
        let reports: Vec<SuspectReport> =
            self.hosts[from].changes_since(self.reported_to[from][to], sent);
        self.reported_to[from][to] = self.hosts[from].version();
        let n = reports.len();
        self.hosts[to].merge_reports(reports, received);
        n
    }
}

proptest! {
    /// Hosts that exchange reports come to quarantine the same requests and then have nothing more to report,
    /// although each of them places a reported event somewhat later than the host that reported it.
    #[test]
    fn hosts_that_exchange_reports_agree_and_stop_reporting(
        events in prop::collection::vec((event(), 0..1500u64), 0..120),
        delay_ms in 0..200u64,
    ) {
        let new = || (0..3).map(|_| Quarantine::new(FIRST_DURATION)).collect();
        let mut hosts = Hosts { hosts: new(), reported_to: [[0; 3]; 3] };
        let mut now = s(1);
        let delay = Duration::from_millis(delay_ms);
        for (event, after) in events {
            now += Duration::from_millis(after);
            match event {
                Event::Terminates(h, r, e) => {
                    let may_send = hosts.hosts[h].quarantined_for(&suspect(r), now).is_none();
                    // A quarantined request isn't sent.
                    if may_send {
                        hosts.hosts[h].note_termination(suspect(r), &incarnation(e), now);
                    }
                }
                Event::Answers(h, r) => {
                    hosts.hosts[h].note_answer(&suspect(r), now);
                }
                Event::Reports(a, b) if a != b => {
                    hosts.report(a, b, now, now + delay);
                }
                Event::Reports(..) => {}
                Event::Restarts(h) => {
                    let (_, stored) = hosts.hosts[h].to_persist(now);
                    hosts.hosts[h] = Quarantine::new(FIRST_DURATION);
                    hosts.hosts[h].restore(stored, true, now);
                    hosts.reported_to[h] = [0; 3];
                    (0..3).for_each(|other| hosts.reported_to[other][h] = 0);
                }
            }
        }
        let mut reported = usize::MAX;
        for _ in 0..12 {
            now += s(1);
            reported = 0;
            for (a, b) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                reported += hosts.report(a, b, now, now + delay);
            }
        }
        prop_assert_eq!(reported, 0, "the hosts keep reporting");
        for r in 0..4 {
            let quarantined = |h: &Quarantine| h.quarantined_for(&suspect(r), now).is_some();
            let quarantined: Vec<bool> = hosts.hosts.iter().map(quarantined).collect();
            prop_assert!(quarantined.iter().all(|h| *h == quarantined[0]), "{:?}", quarantined);
        }
    }
}
