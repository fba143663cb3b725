//! Endpoints that leave or fail get no new work while others can take it.

mod common;

use std::rc::Rc;

use common::{endpoint, ms};
use dragonflyrill_fleet::endpoints::{AvoidedEndpoint, Directory, Endpoint, PutOutcome};

fn service(id: &str, centre: &str) -> Endpoint {
    Endpoint {
        slots: 6,
        accelerator: None,
        layers: None,
        service: "app".into(),
        ..endpoint(id, centre, "", 0, 1)
    }
}

fn directory(ids: &[(&str, &str)]) -> Directory {
    let mut directory = Directory::default();
    for (id, centre) in ids {
        assert_eq!(
            directory.put(service(id, centre), ms(0)),
            PutOutcome::Listed
        );
    }
    directory
}

fn pick(directory: &Directory, now: u64) -> Option<String> {
    let picked = directory.pick("app", "a", &[], ms(now));
    picked.map(|e| e.id.to_string())
}

#[test]
fn an_entry_that_did_not_change_changes_nothing() {
    let mut directory = directory(&[("x", "a")]);
    let before = directory.generation();
    assert_eq!(
        directory.put(service("x", "a"), ms(0)),
        PutOutcome::Unchanged
    );
    assert_eq!(directory.generation(), before);
}

#[test]
fn the_near_endpoint_is_picked_until_a_whole_queue_is_ahead() {
    let mut directory = directory(&[("x", "a"), ("y", "b")]);
    assert_eq!(pick(&directory, 0).as_deref(), Some("x"));
    for _ in 0..6 {
        directory.begin_request("x");
    }
    assert_eq!(pick(&directory, 0).as_deref(), Some("y"));
}

#[test]
fn a_leaving_endpoint_is_never_picked() {
    let mut directory = directory(&[("x", "a")]);
    let leaving = Endpoint {
        draining: true,
        ..service("x", "a")
    };
    directory.put(leaving, ms(0));
    assert_eq!(pick(&directory, 0), None);
    assert!(!directory.usable("x", ms(0)));
}

#[test]
fn a_failed_endpoint_is_avoided_longer_each_time_and_forgiven_when_it_answers() {
    let mut directory = directory(&[("x", "a"), ("y", "b")]);
    directory.record_failure("x", ms(0));
    assert_eq!(pick(&directory, 10).as_deref(), Some("y"));
    assert_eq!(directory.next_expiry(ms(10)), Some(ms(400)));
    assert_eq!(pick(&directory, 400).as_deref(), Some("x"));
    directory.record_failure("x", ms(400));
    assert_eq!(directory.next_expiry(ms(400)), Some(ms(1200)));
    directory.record_success("x");
    assert_eq!(pick(&directory, 401).as_deref(), Some("x"));
}

#[test]
fn an_avoided_endpoint_is_better_than_none() {
    let mut directory = directory(&[("x", "a")]);
    directory.record_failure("x", ms(0));
    assert_eq!(pick(&directory, 10).as_deref(), Some("x"));
}

#[test]
fn an_endpoint_that_was_leaving_does_not_come_back_by_an_older_entry() {
    let mut directory = directory(&[("x", "a")]);
    let leaving = Endpoint {
        draining: true,
        ..service("x", "a")
    };
    directory.put(leaving, ms(0));
    assert_eq!(
        directory.put(service("x", "a"), ms(0)),
        PutOutcome::Unchanged
    );
    assert_eq!(pick(&directory, 0), None);
}

#[test]
fn changes_are_told_one_by_one_and_as_a_whole_to_whoever_knows_nothing() {
    let mut directory = directory(&[("x", "a"), ("y", "b")]);
    let whole = directory.changes_since(None);
    assert!(whole.complete && whole.changed.len() == 2);
    directory.remove("x");
    directory.put(service("z", "b"), ms(0));
    let news = directory.changes_since(Some(whole.version));
    let changed: Vec<&str> = news.changed.iter().map(|e| &*e.id).collect();
    let removed: Vec<&str> = news.removed.iter().map(|id| &**id).collect();
    assert!(!news.complete);
    assert_eq!((changed, removed), (vec!["z"], vec!["x"]));
    let unknown = directory.changes_since(Some(news.version + 1));
    assert!(unknown.complete, "a version that never was is not known");
}

#[test]
fn what_went_too_long_ago_is_told_as_a_whole() {
    let mut directory = Directory::default();
    directory.put(service("first", "a"), ms(0));
    let version = directory.changes_since(None).version;
    for i in 0..300 {
        let id = format!("e{i}");
        directory.put(service(&id, "a"), ms(0));
        directory.remove(&id);
    }
    assert!(directory.changes_since(Some(version)).complete);
}

#[test]
fn errors_in_a_row_count_as_a_failure_and_one_alone_does_not() {
    let mut directory = directory(&[("x", "a"), ("y", "b")]);
    directory.record_error("x", ms(0));
    assert_eq!(pick(&directory, 1).as_deref(), Some("x"));
    directory.record_success("x");
    directory.record_error("x", ms(2));
    assert_eq!(pick(&directory, 3).as_deref(), Some("x"));
    directory.record_error("x", ms(4));
    assert_eq!(pick(&directory, 5).as_deref(), Some("y"));
}

#[test]
fn what_others_avoid_is_avoided_for_as_long_as_they_tell_it() {
    let mut directory = directory(&[("x", "a"), ("y", "b")]);
    let told = |ids: &[&str]| -> Vec<AvoidedEndpoint> {
        let avoided = |id: &&str| AvoidedEndpoint {
            id: (*id).into(),
            remaining: ms(500),
        };
        ids.iter().map(avoided).collect()
    };
    directory.apply_peer_avoided(told(&["x"]), ms(0));
    assert_eq!(pick(&directory, 100).as_deref(), Some("y"));
    assert_eq!(directory.avoided(ms(100)), [], "it is not told on");
    assert_eq!(directory.next_expiry(ms(100)), Some(ms(500)));
    let before = directory.generation();
    directory.apply_peer_avoided(told(&[]), ms(200));
    assert_eq!(pick(&directory, 200).as_deref(), Some("x"));
    assert!(directory.generation() > before, "chains are found anew");
    directory.apply_peer_avoided(told(&["x"]), ms(300));
    assert_eq!(
        pick(&directory, 800).as_deref(),
        Some("x"),
        "it has run out"
    );
    let before = directory.generation();
    directory.apply_peer_avoided(told(&["x"]), ms(900));
    assert!(directory.generation() > before, "it is avoided once more");
}

#[test]
fn an_endpoint_that_does_not_answer_is_lost_until_it_answers_again() {
    let mut directory = directory(&[("x", "a"), ("y", "a")]);
    assert!(directory.record_unresponsive("x", ms(1000)));
    assert!(
        !directory.record_unresponsive("x", ms(1100)),
        "it was lost before"
    );
    assert!(
        !directory.record_unresponsive("z", ms(1100)),
        "nobody knows it"
    );
    assert!(directory.is_unresponsive("x") && !directory.is_unresponsive("y"));
    assert!(!directory.usable("x", ms(3000)));
    assert_eq!(pick(&directory, 3000).as_deref(), Some("y"));
    let told: Vec<_> = directory
        .avoided(ms(1200))
        .into_iter()
        .map(|a| a.id)
        .collect();
    assert_eq!(told, ["x".into()]);
    let before = directory.generation();
    directory.record_success("x");
    assert!(directory.usable("x", ms(1300)) && !directory.is_unresponsive("x"));
    assert_ne!(directory.generation(), before, "chains are found anew");
}

#[test]
fn an_endpoint_that_stays_lost_changes_chains_once() {
    let mut directory = directory(&[("x", "a")]);
    directory.record_unresponsive("x", ms(1000));
    let before = directory.generation();
    directory.record_unresponsive("x", ms(2000));
    assert_eq!(directory.generation(), before);
    assert!(!directory.usable("x", ms(3500)));
}

#[test]
fn an_endpoint_that_says_it_is_slow_is_taken_to_be_for_a_while() {
    let mut directory = directory(&[("x", "a")]);
    let before = directory.generation();
    assert!(
        !directory.record_slowdown("x", 1.2, ms(1000)),
        "that is chance"
    );
    assert_eq!(directory.slowdown_factor("x", ms(1000)), 1.0);
    assert_eq!(directory.generation(), before);
    assert!(directory.record_slowdown("x", 12.0, ms(1000)));
    assert!(
        !directory.record_slowdown("x", 12.5, ms(1500)),
        "it was slow before"
    );
    assert_eq!(
        directory.generation(),
        before + 1,
        "chains are found anew, once"
    );
    assert_eq!(directory.slowdown_factor("x", ms(3900)), 12.5);
    assert_eq!(directory.next_expiry(ms(1500)), Some(ms(4000)));
    assert_eq!(directory.slowdown_factor("x", ms(4000)), 1.0);
}

/// Engines that were cut off ended behind the cut. Their last entries, which it had held up, came when
/// they had been gone for half a second, and named them with all their layers for 3.6 s: chains over
/// them failed 340 requests.
#[test]
fn an_engine_that_is_listed_again_after_it_was_gone_gets_nothing_before_it_answers() {
    let mut directory = Directory::default();
    let engine = endpoint("e", "a", "l40s", 0, 40);
    assert_eq!(directory.put(engine.clone(), ms(0)), PutOutcome::Listed);
    directory.remove("e");
    assert_eq!(directory.put(engine.clone(), ms(500)), PutOutcome::Relisted);
    assert!(directory.is_unresponsive("e") && !directory.usable("e", ms(500)));
    directory.record_success("e");
    assert!(directory.usable("e", ms(510)));
    let moved = endpoint("e", "a", "l40s", 40, 80);
    assert_eq!(directory.put(moved, ms(600)), PutOutcome::Listed);
    assert!(directory.usable("e", ms(600)));
}

#[test]
fn a_plain_service_that_is_listed_again_is_used_at_once() {
    let mut directory = directory(&[("x", "a")]);
    directory.remove("x");
    assert_eq!(
        directory.put(service("x", "a"), ms(500)),
        PutOutcome::Listed
    );
    assert!(directory.usable("x", ms(500)));
}

/// Engines that started again at their address were listed under a new id half a second before their
/// old ids went, which came back for 3.6 s by entries that were late: what went to these was refused as
/// meant for another.
#[test]
fn an_endpoint_has_ended_when_another_one_is_listed_at_its_address() {
    let mut directory = Directory::default();
    let before = endpoint("e", "a", "l40s", 0, 40);
    let after = Endpoint {
        id: "f".into(),
        name: "f".into(),
        layers: None,
        ..before.clone()
    };
    directory.put(before.clone(), ms(0));
    let put = directory.put(after.clone(), ms(100));
    assert_eq!(put, PutOutcome::Replaced(vec![Rc::new(before.clone())]));
    assert!(directory.has_ended("e"));
    assert!(directory.get("e").is_none() && directory.is_active("f"));
    assert_eq!(
        directory.put(before, ms(600)),
        PutOutcome::Outdated,
        "an entry that is late"
    );
    assert!(directory.get("e").is_none() && directory.is_active("f"));
    assert_eq!(directory.put(after, ms(700)), PutOutcome::Unchanged);
}
