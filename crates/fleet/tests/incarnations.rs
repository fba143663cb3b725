//! Tests that nothing known of one incarnation of an endpoint is applied to another, and that an
//! earlier incarnation is never listed again.

mod common;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use common::{endpoint, ms};
use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint, PutOutcome},
    incarnations::{self, StartTime},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// An engine with the given start time, at an address derived from its name.
fn incarnation(name: &str, started_at: u64) -> Endpoint {
    let started_at = Some(StartTime(started_at));
    Endpoint {
        id: incarnations::id(name, started_at),
        started_at,
        ..endpoint(name, "a", "l40s", 0, 40)
    }
}

fn draining(endpoint: Endpoint) -> Endpoint {
    Endpoint {
        draining: true,
        ..endpoint
    }
}

#[test]
fn a_later_incarnation_replaces_an_earlier_one_and_inherits_nothing() {
    let mut directory = Directory::default();
    let first = incarnation("e", 1000);
    directory.put(draining(first.clone()), ms(0));
    directory.record_failure(&first.id, ms(10));
    directory.record_slowdown(&first.id, 5.0, ms(10));
    directory.begin_request(&first.id);
    let second = incarnation("e", 2000);
    let put = directory.put(second.clone(), ms(20));
    assert_eq!(
        put,
        PutOutcome::Replaced(vec![Rc::new(draining(first.clone()))])
    );
    assert!(directory.has_ended(&first.id) && !directory.has_ended(&second.id));
    assert!(directory.usable(&second.id, ms(20)));
    assert_eq!(directory.slowdown_factor(&second.id, ms(20)), 1.0);
    assert_eq!(directory.in_flight(&second.id), 0);
    // Requests of the former incarnation end without an effect.
    directory.end_request(&first.id);
    directory.record_success(&first.id);
    assert_eq!(directory.by_name("e"), Some(&Rc::new(second)));
}

#[test]
fn a_later_incarnation_at_another_address_replaces_the_earlier_one() {
    let mut directory = Directory::default();
    let first = incarnation("e", 1000);
    directory.put(first.clone(), ms(0));
    let second = Endpoint {
        addr: ([127, 0, 0, 1], 9).into(),
        ..incarnation("e", 2000)
    };
    let put = directory.put(second.clone(), ms(10));
    assert_eq!(put, PutOutcome::Replaced(vec![Rc::new(first.clone())]));
    assert!(directory.has_ended(&first.id));
    assert_eq!(directory.get(&first.id), None);
    assert_eq!(directory.by_name("e").map(|e| &e.id), Some(&second.id));
}

#[test]
fn an_earlier_incarnation_is_never_listed_again() {
    let mut directory = Directory::default();
    let (first, second) = (incarnation("e", 1000), incarnation("e", 2000));
    directory.put(second.clone(), ms(0));
    assert_eq!(directory.put(first.clone(), ms(10)), PutOutcome::Outdated);
    assert!(directory.usable(&second.id, ms(10)));
    directory.remove(&second.id);
    assert_eq!(
        directory.put(first, ms(20)),
        PutOutcome::Outdated,
        "the later incarnation was removed"
    );
    assert_eq!(directory.put(second, ms(30)), PutOutcome::Relisted);
}

#[test]
fn an_entry_without_the_expected_start_time_is_foreign() {
    let mut directory = Directory::default();
    directory.put(incarnation("e", 1000), ms(0));
    let foreign = endpoint("e", "a", "l40s", 0, 40);
    assert_eq!(directory.put(foreign, ms(10)), PutOutcome::Foreign);
    assert_eq!(
        directory.by_name("e"),
        None,
        "the endpoint is no longer listed"
    );
}

#[test]
fn the_name_is_recovered_from_the_id() {
    for started_at in [None, Some(StartTime(0)), Some(StartTime(u64::MAX))] {
        assert_eq!(
            incarnations::name(&incarnations::id("i-1", started_at)),
            "i-1"
        );
    }
}

#[test]
fn the_first_reported_start_time_means_a_new_incarnation() {
    let mut directory = Directory::default();
    directory.put(draining(endpoint("e", "a", "l40s", 0, 40)), ms(0));
    let after = incarnation("e", 1000);
    assert!(matches!(
        directory.put(after.clone(), ms(10)),
        PutOutcome::Replaced(_)
    ));
    assert!(directory.usable(&after.id, ms(10)));
}

#[test]
fn of_two_names_at_one_address_the_later_incarnation_is_listed() {
    let mut directory = Directory::default();
    let at = |name: &str, started_at| Endpoint {
        addr: ([127, 0, 0, 1], 7).into(),
        ..incarnation(name, started_at)
    };
    directory.put(at("e", 1000), ms(0));
    assert!(matches!(
        directory.put(at("f", 2000), ms(10)),
        PutOutcome::Replaced(_)
    ));
    assert_eq!(directory.put(at("g", 1500), ms(20)), PutOutcome::Outdated);
    assert!(directory.is_active(&at("f", 2000).id));
}

#[test]
fn an_endpoint_that_moves_releases_its_address() {
    let mut directory = Directory::default();
    let at = |name: &str, port: u16| Endpoint {
        addr: ([127, 0, 0, 1], port).into(),
        ..endpoint(name, "a", "l40s", 0, 40)
    };
    directory.put(at("e", 7), ms(0));
    directory.put(at("e", 8), ms(10));
    assert_eq!(directory.put(at("f", 7), ms(20)), PutOutcome::Listed);
    assert!(directory.is_active("e") && directory.is_active("f"));
}

/// An update about one endpoint in transit to a host: its entry, or its removal.
#[derive(Clone)]
enum Update {
    Entry(Endpoint),
    Removed(Rc<str>),
}

/// Endpoints restart repeatedly, and two hosts receive updates about them out of order, duplicated
/// and late: entries, removals, and the list of the other host.
#[test]
fn no_host_returns_to_an_earlier_incarnation_after_delayed_updates() {
    for seed in 0..300 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut hosts = [Directory::default(), Directory::default()];
        let mut newest: BTreeMap<Rc<str>, Endpoint> = BTreeMap::new();
        let mut seen: [BTreeMap<Rc<str>, StartTime>; 2] = Default::default();
        let mut in_transit: Vec<(usize, Update)> = Vec::new();
        for step in 0..400u64 {
            let now = Duration::from_millis(step * 50);
            if rng.random_bool(0.3) {
                let name: Rc<str> = format!("e{}", rng.random_range(0..4)).into();
                let before = newest.get(&name);
                let started = match before {
                    Some(known) if rng.random_bool(0.5) => Endpoint {
                        draining: rng.random_bool(0.3),
                        layers: None,
                        ..known.clone()
                    },
                    _ => incarnation(&name, 1000 + step),
                };
                for host in 0..2 {
                    in_transit.push((host, Update::Entry(started.clone())));
                    if let Some(known) = before.filter(|_| rng.random_bool(0.5)) {
                        in_transit.push((host, Update::Removed(known.id.clone())));
                    }
                }
                newest.insert(name, started);
            }
            for _ in 0..rng.random_range(0..4) {
                if in_transit.is_empty() {
                    break;
                }
                let at = rng.random_range(0..in_transit.len());
                let duplicated = rng.random_bool(0.3);
                let (host, update) = match duplicated {
                    true => in_transit[at].clone(),
                    false => in_transit.swap_remove(at),
                };
                deliver(&mut hosts[host], &mut seen[host], update, now, seed);
            }
            // One host sends its list to the other.
            if rng.random_bool(0.1) {
                let from = rng.random_range(0..2);
                let list = hosts[from].changes_since(None).changed;
                for endpoint in list {
                    let update = Update::Entry((*endpoint).clone());
                    deliver(&mut hosts[1 - from], &mut seen[1 - from], update, now, seed);
                }
            }
        }
        // In the end, entries of the newest incarnations arrive, because endpoints write their
        // entries repeatedly.
        for (host, seen) in hosts.iter_mut().zip(&mut seen) {
            for endpoint in newest.values() {
                let update = Update::Entry(endpoint.clone());
                deliver(host, seen, update, Duration::from_secs(60), seed);
                let listed = host.by_name(&endpoint.name).map(|e| e.started_at);
                assert_eq!(listed, Some(endpoint.started_at), "seed {seed}");
            }
        }
    }
}

fn deliver(
    host: &mut Directory,
    seen: &mut BTreeMap<Rc<str>, StartTime>,
    update: Update,
    now: Duration,
    seed: u64,
) {
    match update {
        Update::Entry(endpoint) => drop(host.put(endpoint, now)),
        Update::Removed(id) => drop(host.remove(&id)),
    }
    for endpoint in host.iter() {
        let started_at = endpoint.started_at.expect("all entries have a start time");
        let before = seen.insert(endpoint.name.clone(), started_at);
        assert!(
            before.is_none_or(|b| b <= started_at),
            "seed {seed}: {endpoint:?}"
        );
        let with_same_name = host.iter().filter(|e| e.name == endpoint.name).count();
        assert_eq!(
            with_same_name, 1,
            "seed {seed}: two incarnations of {}",
            endpoint.name
        );
    }
}
