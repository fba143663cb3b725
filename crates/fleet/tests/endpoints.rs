//! Tests that endpoints that are draining or have failed get no new work while others are usable.

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
fn an_unchanged_entry_changes_nothing() {
    let mut directory = directory(&[("x", "a")]);
    let before = directory.generation();
    assert_eq!(
        directory.put(service("x", "a"), ms(0)),
        PutOutcome::Unchanged
    );
    assert_eq!(directory.generation(), before);
}

#[test]
fn the_local_endpoint_is_picked_until_its_queue_is_full() {
    let mut directory = directory(&[("x", "a"), ("y", "b")]);
    assert_eq!(pick(&directory, 0).as_deref(), Some("x"));
    for _ in 0..6 {
        directory.begin_request("x");
    }
    assert_eq!(pick(&directory, 0).as_deref(), Some("y"));
}

#[test]
fn a_draining_endpoint_is_never_picked() {
    let mut directory = directory(&[("x", "a")]);
    let draining = Endpoint {
        draining: true,
        ..service("x", "a")
    };
    directory.put(draining, ms(0));
    assert_eq!(pick(&directory, 0), None);
    assert!(!directory.usable("x", ms(0)));
}

#[test]
fn a_failed_endpoint_is_avoided_longer_each_time_and_used_again_after_a_success() {
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
fn an_avoided_endpoint_is_picked_if_there_is_no_other() {
    let mut directory = directory(&[("x", "a")]);
    directory.record_failure("x", ms(0));
    assert_eq!(pick(&directory, 10).as_deref(), Some("x"));
}

#[test]
fn a_draining_endpoint_stays_draining_after_an_older_entry() {
    let mut directory = directory(&[("x", "a")]);
    let draining = Endpoint {
        draining: true,
        ..service("x", "a")
    };
    directory.put(draining, ms(0));
    assert_eq!(
        directory.put(service("x", "a"), ms(0)),
        PutOutcome::Unchanged
    );
    assert_eq!(pick(&directory, 0), None);
}

#[test]
fn changes_are_listed_individually_or_completely_for_an_unknown_version() {
    let mut directory = directory(&[("x", "a"), ("y", "b")]);
    let full_list = directory.changes_since(None);
    assert!(full_list.complete && full_list.changed.len() == 2);
    directory.remove("x");
    directory.put(service("z", "b"), ms(0));
    let changes = directory.changes_since(Some(full_list.version));
    let changed: Vec<&str> = changes.changed.iter().map(|e| &*e.id).collect();
    let removed: Vec<&str> = changes.removed.iter().map(|id| &**id).collect();
    assert!(!changes.complete);
    assert_eq!((changed, removed), (vec!["z"], vec!["x"]));
    let unknown = directory.changes_since(Some(changes.version + 1));
    assert!(
        unknown.complete,
        "a version that was never reached is unknown"
    );
}

#[test]
fn the_list_is_complete_if_removals_are_no_longer_remembered() {
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
fn consecutive_errors_count_as_a_failure_and_a_single_one_does_not() {
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
fn endpoints_avoided_by_peers_are_avoided_while_peers_report_them() {
    let mut directory = directory(&[("x", "a"), ("y", "b")]);
    let reported = |ids: &[&str]| -> Vec<AvoidedEndpoint> {
        let avoided = |id: &&str| AvoidedEndpoint {
            id: (*id).into(),
            remaining: ms(500),
        };
        ids.iter().map(avoided).collect()
    };
    directory.apply_peer_avoided(reported(&["x"]), ms(0));
    assert_eq!(pick(&directory, 100).as_deref(), Some("y"));
    assert_eq!(
        directory.avoided(ms(100)),
        [],
        "avoidance reported by peers is not reported on"
    );
    assert_eq!(directory.next_expiry(ms(100)), Some(ms(500)));
    let before = directory.generation();
    directory.apply_peer_avoided(reported(&[]), ms(200));
    assert_eq!(pick(&directory, 200).as_deref(), Some("x"));
    assert!(directory.generation() > before, "chains are computed again");
    directory.apply_peer_avoided(reported(&["x"]), ms(300));
    assert_eq!(
        pick(&directory, 800).as_deref(),
        Some("x"),
        "the report has expired"
    );
    let before = directory.generation();
    directory.apply_peer_avoided(reported(&["x"]), ms(900));
    assert!(
        directory.generation() > before,
        "the endpoint is avoided again"
    );
}

#[test]
fn an_unresponsive_endpoint_is_avoided_until_it_responds() {
    let mut directory = directory(&[("x", "a"), ("y", "a")]);
    assert!(directory.record_unresponsive("x", ms(1000)));
    assert!(
        !directory.record_unresponsive("x", ms(1100)),
        "it was unresponsive before"
    );
    assert!(
        !directory.record_unresponsive("z", ms(1100)),
        "the endpoint is unknown"
    );
    assert!(directory.is_unresponsive("x") && !directory.is_unresponsive("y"));
    assert!(!directory.usable("x", ms(3000)));
    assert_eq!(pick(&directory, 3000).as_deref(), Some("y"));
    let reported: Vec<_> = directory
        .avoided(ms(1200))
        .into_iter()
        .map(|a| a.id)
        .collect();
    assert_eq!(reported, ["x".into()]);
    let before = directory.generation();
    directory.record_success("x");
    assert!(directory.usable("x", ms(1300)) && !directory.is_unresponsive("x"));
    assert_ne!(directory.generation(), before, "chains are computed again");
}

#[test]
fn an_endpoint_that_stays_unresponsive_changes_chains_once() {
    let mut directory = directory(&[("x", "a")]);
    directory.record_unresponsive("x", ms(1000));
    let before = directory.generation();
    directory.record_unresponsive("x", ms(2000));
    assert_eq!(directory.generation(), before);
    assert!(!directory.usable("x", ms(3500)));
}

#[test]
fn a_reported_slowdown_is_valid_for_a_limited_time() {
    let mut directory = directory(&[("x", "a")]);
    let before = directory.generation();
    assert!(
        !directory.record_slowdown("x", 1.2, ms(1000)),
        "small factors are random variation"
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
        "chains are computed again, once"
    );
    assert_eq!(directory.slowdown_factor("x", ms(3900)), 12.5);
    assert_eq!(directory.next_expiry(ms(1500)), Some(ms(4000)));
    assert_eq!(directory.slowdown_factor("x", ms(4000)), 1.0);
}

/// Guards against work for engines that have ended behind a network partition. Their last entries,
/// delayed by the partition, arrived half a second after the engines had been removed and listed
/// them with all their layers for 3.6 s: 340 requests on chains through them failed.
#[test]
fn a_relisted_engine_gets_no_work_before_it_responds() {
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
fn a_relisted_plain_service_is_used_at_once() {
    let mut directory = directory(&[("x", "a")]);
    directory.remove("x");
    assert_eq!(
        directory.put(service("x", "a"), ms(500)),
        PutOutcome::Listed
    );
    assert!(directory.usable("x", ms(500)));
}

/// Guards against work for the former incarnation of a restarted engine. Engines that restarted at
/// the same address were listed under a new id half a second before their old ids were removed, and
/// delayed entries listed the old ids again for 3.6 s: requests sent to these were refused because
/// they were addressed to another endpoint.
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
        "a delayed entry"
    );
    assert!(directory.get("e").is_none() && directory.is_active("f"));
    assert_eq!(directory.put(after, ms(700)), PutOutcome::Unchanged);
}

#[test]
fn an_endpoint_that_is_listed_again_under_its_id_has_not_ended() {
    let mut directory = Directory::default();
    let moved = |endpoint: Endpoint, port| Endpoint {
        addr: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        ..endpoint
    };
    directory.put(moved(service("x", "a"), 1), ms(0));
    directory.put(moved(service("y", "a"), 1), ms(10));
    assert!(directory.has_ended("x"));
    directory.put(moved(service("x", "a"), 2), ms(20));
    assert!(directory.is_active("x") && !directory.has_ended("x"));
}
