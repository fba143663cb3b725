//! What is known of one start of an endpoint says nothing of another, and an earlier one never comes
//! back.

mod common;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use common::{endpoint, ms};
use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint, PutOutcome},
    incarnations::{self, StartTime},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// An engine that started at a moment, at the address of its name.
fn start(name: &str, started_at: u64) -> Endpoint {
    let started_at = Some(StartTime(started_at));
    Endpoint {
        id: incarnations::id(name, started_at),
        started_at,
        ..endpoint(name, "a", "l40s", 0, 40)
    }
}

fn leaving(endpoint: Endpoint) -> Endpoint {
    Endpoint {
        draining: true,
        ..endpoint
    }
}

#[test]
fn a_later_start_takes_the_place_of_an_earlier_one_and_inherits_nothing() {
    let mut directory = Directory::default();
    let first = start("e", 1000);
    directory.put(leaving(first.clone()), ms(0));
    directory.record_failure(&first.id, ms(10));
    directory.record_slowdown(&first.id, 5.0, ms(10));
    directory.begin_request(&first.id);
    let second = start("e", 2000);
    let put = directory.put(second.clone(), ms(20));
    assert_eq!(
        put,
        PutOutcome::Replaced(vec![Rc::new(leaving(first.clone()))])
    );
    assert!(directory.has_ended(&first.id) && !directory.has_ended(&second.id));
    assert!(directory.usable(&second.id, ms(20)));
    assert_eq!(directory.slowdown_factor(&second.id, ms(20)), 1.0);
    assert_eq!(directory.in_flight(&second.id), 0);
    // What the former start was asked ends without a trace.
    directory.end_request(&first.id);
    directory.record_success(&first.id);
    assert_eq!(directory.by_name("e"), Some(&Rc::new(second)));
}

#[test]
fn a_later_start_at_another_address_takes_the_place_of_the_earlier_one_too() {
    let mut directory = Directory::default();
    let first = start("e", 1000);
    directory.put(first.clone(), ms(0));
    let second = Endpoint {
        addr: ([127, 0, 0, 1], 9).into(),
        ..start("e", 2000)
    };
    let put = directory.put(second.clone(), ms(10));
    assert_eq!(put, PutOutcome::Replaced(vec![Rc::new(first.clone())]));
    assert!(directory.has_ended(&first.id));
    assert_eq!(directory.get(&first.id), None);
    assert_eq!(directory.by_name("e").map(|e| &e.id), Some(&second.id));
}

#[test]
fn an_earlier_start_never_comes_back() {
    let mut directory = Directory::default();
    let (first, second) = (start("e", 1000), start("e", 2000));
    directory.put(second.clone(), ms(0));
    assert_eq!(directory.put(first.clone(), ms(10)), PutOutcome::Outdated);
    assert!(directory.usable(&second.id, ms(10)));
    directory.remove(&second.id);
    assert_eq!(
        directory.put(first, ms(20)),
        PutOutcome::Outdated,
        "the later one is gone"
    );
    assert_eq!(directory.put(second, ms(30)), PutOutcome::Relisted);
}

#[test]
fn an_entry_that_leaves_out_a_start_that_is_always_said_is_not_the_endpoints_own() {
    let mut directory = Directory::default();
    directory.put(start("e", 1000), ms(0));
    let foreign = endpoint("e", "a", "l40s", 0, 40);
    assert_eq!(directory.put(foreign, ms(10)), PutOutcome::Foreign);
    assert_eq!(directory.by_name("e"), None, "and it is not used any more");
}

#[test]
fn the_name_is_read_back_from_the_id_of_a_start() {
    for born in [None, Some(StartTime(0)), Some(StartTime(u64::MAX))] {
        assert_eq!(incarnations::name(&incarnations::id("i-1", born)), "i-1");
    }
}

#[test]
fn software_that_begins_to_say_its_start_has_started_again() {
    let mut directory = Directory::default();
    directory.put(leaving(endpoint("e", "a", "l40s", 0, 40)), ms(0));
    let after = start("e", 1000);
    assert!(matches!(
        directory.put(after.clone(), ms(10)),
        PutOutcome::Replaced(_)
    ));
    assert!(directory.usable(&after.id, ms(10)));
}

#[test]
fn of_two_names_at_one_address_the_later_start_listens_there() {
    let mut directory = Directory::default();
    let at = |name: &str, born| Endpoint {
        addr: ([127, 0, 0, 1], 7).into(),
        ..start(name, born)
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
fn an_endpoint_that_moves_leaves_its_address_to_others() {
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

/// News of one endpoint on their way to a host: an entry, or that it was removed.
#[derive(Clone)]
enum News {
    Entry(Endpoint),
    Removed(Rc<str>),
}

/// Endpoints that start again and again, and two hosts that hear of it out of order, doubled and
/// late: each by entries, and by the other one's list.
#[test]
fn whatever_comes_late_no_host_goes_back_to_an_earlier_start() {
    for seed in 0..300 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut hosts = [Directory::default(), Directory::default()];
        let mut newest: BTreeMap<Rc<str>, Endpoint> = BTreeMap::new();
        let mut seen: [BTreeMap<Rc<str>, StartTime>; 2] = Default::default();
        let mut under_way: Vec<(usize, News)> = Vec::new();
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
                    _ => start(&name, 1000 + step),
                };
                for host in 0..2 {
                    under_way.push((host, News::Entry(started.clone())));
                    if let Some(known) = before.filter(|_| rng.random_bool(0.5)) {
                        under_way.push((host, News::Removed(known.id.clone())));
                    }
                }
                newest.insert(name, started);
            }
            for _ in 0..rng.random_range(0..4) {
                if under_way.is_empty() {
                    break;
                }
                let at = rng.random_range(0..under_way.len());
                let doubled = rng.random_bool(0.3);
                let (host, news) = match doubled {
                    true => under_way[at].clone(),
                    false => under_way.swap_remove(at),
                };
                deliver(&mut hosts[host], &mut seen[host], news, now, seed);
            }
            // One host tells the other its list.
            if rng.random_bool(0.1) {
                let from = rng.random_range(0..2);
                let list = hosts[from].changes_since(None).changed;
                for endpoint in list {
                    let news = News::Entry((*endpoint).clone());
                    deliver(&mut hosts[1 - from], &mut seen[1 - from], news, now, seed);
                }
            }
        }
        // Entries of the newest starts come in the end, as endpoints write them again and again.
        for (host, seen) in hosts.iter_mut().zip(&mut seen) {
            for endpoint in newest.values() {
                let news = News::Entry(endpoint.clone());
                deliver(host, seen, news, Duration::from_secs(60), seed);
                let listed = host.by_name(&endpoint.name).map(|e| e.started_at);
                assert_eq!(listed, Some(endpoint.started_at), "seed {seed}");
            }
        }
    }
}

fn deliver(
    host: &mut Directory,
    seen: &mut BTreeMap<Rc<str>, StartTime>,
    news: News,
    now: Duration,
    seed: u64,
) {
    match news {
        News::Entry(endpoint) => drop(host.put(endpoint, now)),
        News::Removed(id) => drop(host.remove(&id)),
    }
    for endpoint in host.iter() {
        let born = endpoint.started_at.expect("all say it");
        let before = seen.insert(endpoint.name.clone(), born);
        assert!(
            before.is_none_or(|b| b <= born),
            "seed {seed}: {endpoint:?}"
        );
        let of_name = host.iter().filter(|e| e.name == endpoint.name).count();
        assert_eq!(of_name, 1, "seed {seed}: two starts of {}", endpoint.name);
    }
}
