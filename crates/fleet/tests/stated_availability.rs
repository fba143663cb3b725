//! Tests that endpoints get no new work within the backoffs that they request, or once they have stated that they are
//! draining.

mod common;

use std::rc::Rc;

use common::{endpoint, ms};
use dragonflyrill_fleet::{
    endpoints::{AvoidedEndpoint, Directory, Endpoint, PutOutcome},
    incarnations::{self, StartTime},
    stated_availability::{RequestedBackoff, StatedAvailability},
};
use proptest::prelude::*;

fn app(id: &str) -> Endpoint {
    Endpoint {
        slots: 6,
        accelerator: None,
        layers: None,
        service: "app".into(),
        ..endpoint(id, "a", "", 0, 1)
    }
}

fn backoff(ms: u64) -> RequestedBackoff {
    let seconds = ms as f64 / 1000.0;
    RequestedBackoff::try_from(seconds).expect("a valid backoff")
}

#[test]
fn only_finite_times_that_are_not_negative_are_backoffs() {
    for seconds in [0.0, 0.25, 3.0, 86_400.0] {
        assert!(RequestedBackoff::try_from(seconds).is_ok(), "{seconds}");
    }
    for seconds in [-0.1, f64::NAN, f64::INFINITY, 1e30] {
        assert!(RequestedBackoff::try_from(seconds).is_err(), "{seconds}");
    }
}

#[test]
fn the_backoff_that_ends_last_applies() {
    let mut stated = StatedAvailability::default();
    assert!(stated.record_backoff("x", backoff(3000), ms(0)));
    assert!(!stated.record_backoff("x", backoff(500), ms(1000)));
    assert_eq!(stated.remaining_backoff("x", ms(2000)), ms(1000));
    assert!(!stated.record_backoff("x", backoff(3000), ms(2000)));
    assert_eq!(stated.remaining_backoff("x", ms(4000)), ms(1000));
    assert!(stated.record_backoff("x", backoff(1000), ms(5000)));
    assert!(!stated.record_backoff("y", backoff(0), ms(0)));
}

#[test]
fn an_endless_backoff_does_not_overflow() {
    let mut stated = StatedAvailability::default();
    let longest = RequestedBackoff::try_from(u64::MAX as f64 / 4.0).expect("a valid backoff");
    stated.record_backoff("x", longest, ms(u64::MAX));
    assert!(!stated.remaining_backoff("x", ms(u64::MAX)).is_zero());
}

#[test]
fn backoffs_are_forgotten_once_they_end() {
    let mut stated = StatedAvailability::default();
    stated.record_backoff("x", backoff(1000), ms(0));
    stated.record_backoff("y", backoff(3000), ms(0));
    stated.expire(|_| true, ms(1000));
    assert_eq!(stated.backoff_ends().collect::<Vec<_>>(), [ms(3000)]);
}

#[test]
fn chains_are_searched_again_when_a_backoff_begins_and_when_it_ends() {
    let mut directory = Directory::default();
    directory.put(app("x"), ms(0));
    let before = directory.generation();
    directory.record_backoff("x", backoff(3000), ms(10));
    assert!(directory.generation() > before);
    assert_eq!(directory.next_expiry(ms(20)), Some(ms(3010)));
    assert_eq!(directory.counts(ms(20)).backing_off, 1);
    assert!(directory.usable("x", ms(3010)));
}

#[test]
fn the_shortest_backoff_of_a_service_counts() {
    let mut directory = Directory::default();
    for id in ["x", "y", "z"] {
        directory.put(app(id), ms(0));
    }
    assert_eq!(directory.shortest_backoff("app", ms(0)), None);
    directory.record_backoff("x", backoff(3000), ms(0));
    directory.record_backoff("y", backoff(2000), ms(0));
    assert_eq!(directory.shortest_backoff("app", ms(500)), Some(ms(1500)));
    assert_eq!(directory.shortest_backoff("other", ms(500)), None);
}

/// What happens to one of two endpoints.
#[derive(Debug, Clone, Copy)]
enum Event {
    Backoff(u64),
    Failure,
    Error,
    Success,
    Unresponsive,
    Listed,
    Delisted,
    AvoidedByOthers(bool),
    Expiry,
}

fn events() -> impl Strategy<Value = Vec<(bool, u64, Event)>> {
    let event = prop_oneof![
        (0..4000u64).prop_map(Event::Backoff),
        Just(Event::Failure),
        Just(Event::Error),
        Just(Event::Success),
        Just(Event::Unresponsive),
        Just(Event::Listed),
        Just(Event::Delisted),
        any::<bool>().prop_map(Event::AvoidedByOthers),
        Just(Event::Expiry),
    ];
    prop::collection::vec((any::<bool>(), 0..800u64, event), 1..60)
}

fn apply(directory: &mut Directory, id: &str, event: Event, now: u64) {
    let now = ms(now);
    match event {
        Event::Backoff(ms) => {
            directory.record_backoff(id, backoff(ms), now);
        }
        Event::Failure => directory.record_failure(id, now),
        Event::Error => directory.record_error(id, now),
        Event::Success => directory.record_success(id),
        Event::Unresponsive => {
            directory.record_unresponsive(id, now);
        }
        Event::Listed => {
            directory.put(app(id), now);
        }
        Event::Delisted => {
            directory.remove(id);
        }
        Event::AvoidedByOthers(avoided) => {
            let endpoint = AvoidedEndpoint {
                id: id.into(),
                remaining: ms(300),
            };
            let reported = if avoided { vec![endpoint] } else { Vec::new() };
            directory.apply_peer_avoided(reported, now);
        }
        Event::Expiry => directory.expire_statements(now),
    }
}

proptest! {
    #[test]
    fn no_endpoint_gets_work_before_its_backoff_ends(events in events()) {
        let mut directory = Directory::default();
        let ids: [Rc<str>; 2] = ["x".into(), "y".into()];
        let mut ends = [0, 0];
        let mut now = 0;
        ids.iter().for_each(|id| { directory.put(app(id), ms(0)); });
        for (second, step, event) in events {
            now += step;
            let which = usize::from(second);
            if let Event::Backoff(ms) = event {
                ends[which] = ends[which].max(now + ms);
            }
            apply(&mut directory, &ids[which], event, now);
            let picked = directory.pick("app", "a", &[], ms(now));
            for (id, end) in ids.iter().zip(ends) {
                let listed = directory.get(id).is_some();
                prop_assert_eq!(directory.accepts_work(id, ms(now)), listed && end <= now);
                prop_assert!(end <= now || !directory.usable(id, ms(now)));
                prop_assert!(end <= now || picked.as_ref().is_none_or(|e| e.id != *id));
            }
            let accepting = ids.iter().any(|id| directory.accepts_work(id, ms(now)));
            prop_assert_eq!(picked.is_some(), accepting);
        }
    }
}

#[test]
fn an_endpoint_that_states_that_it_is_draining_stays_so_whatever_its_entries_say() {
    let mut directory = Directory::default();
    directory.put(app("x"), ms(0));
    let version = directory.changes_since(None).version;
    assert!(directory.record_stated_draining("x", ms(10)));
    assert!(!directory.record_stated_draining("x", ms(20)));
    let changes = directory.changes_since(Some(version));
    assert!(changes.changed[0].draining, "other hosts receive it");
    assert_eq!(directory.put(app("x"), ms(30)), PutOutcome::Unchanged);
    directory.remove("x");
    directory.expire_statements(ms(40));
    directory.put(app("x"), ms(50));
    assert!(!directory.is_active("x"));
    assert_eq!(directory.counts(ms(60)).draining, 1);
}

#[test]
fn the_statement_of_a_draining_endpoint_is_kept_while_it_is_listed_and_for_a_while_after() {
    let mut stated = StatedAvailability::default();
    stated.record_draining("x", ms(0));
    stated.expire(|_| true, ms(3_600_000));
    assert!(stated.is_draining("x"));
    stated.expire(|_| false, ms(3_600_000 + 599_000));
    assert!(stated.is_draining("x"));
    stated.expire(|_| false, ms(3_600_000 + 601_000));
    assert!(!stated.is_draining("x"));
}

#[test]
fn the_next_incarnation_of_an_endpoint_makes_its_own_statements() {
    let started = |at: u64| Endpoint {
        id: incarnations::id("x", Some(StartTime(at))),
        name: "x".into(),
        started_at: Some(StartTime(at)),
        ..app("x")
    };
    let mut directory = Directory::default();
    let (first, second) = (started(1), started(2));
    directory.put(first.clone(), ms(0));
    directory.record_stated_draining(&first.id, ms(10));
    directory.record_backoff(&first.id, backoff(3000), ms(10));
    directory.put(second.clone(), ms(20));
    assert!(directory.accepts_work(&second.id, ms(20)));
}
