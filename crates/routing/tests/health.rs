//! Endpoint health: failures, ejection, probes, slow start and concurrency limits.
//!
//! Guards against requests that are lost at failing, frozen or slow endpoints, against ejections
//! that leave too few endpoints of a group, and against overload of new or restored endpoints.

mod common;

use std::collections::BTreeMap;

use common::*;
use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_routing::{Health, Outcome, Router, Shortage, Tuning};
use proptest::prelude::*;

fn ejected(router: &Router) -> usize {
    router
        .table()
        .iter()
        .filter(|e| e.health == Health::Ejected)
        .count()
}

/// Sends one request every 10 ms from `from` to `until` (in ms), each of which ends with `outcome`
/// after 5 ms. Returns the number of requests by endpoint.
fn run_requests(
    router: &mut Router,
    from: u64,
    until: u64,
    outcome: impl Fn(&EndpointId) -> Outcome,
) -> BTreeMap<EndpointId, u32> {
    let mut counts = BTreeMap::new();
    for t in (from..until).step_by(10) {
        let endpoint = send_one(router, ms(t));
        router.ended(ms(t + 5), &endpoint, outcome(&endpoint));
        *counts.entry(endpoint).or_default() += 1;
    }
    counts
}

proptest! {
    #[test]
    fn ejections_stay_within_the_cap_and_ejected_endpoints_get_one_probe_at_a_time(
        seed: u64,
        n in 1usize..30,
        steps in prop::collection::vec((0u8..4, 0u64..400), 1..200),
    ) {
        let mut router = router(seed, identical_engines(n));
        let cap = if n < 2 { 0 } else { (n / 3).max(1) };
        let mut outstanding: Vec<EndpointId> = Vec::new();
        let mut probing: BTreeMap<EndpointId, std::time::Duration> = BTreeMap::new();
        let mut now = ms(0);
        for (action, wait) in steps {
            now += ms(wait);
            match (action, outstanding.is_empty()) {
                (0 | 1, _) | (_, true) => {
                    let Ok(hops) = choose(&mut router, now) else { continue };
                    let chosen = hops[0].endpoint.clone();
                    if router.table().get(&chosen).unwrap().health == Health::Ejected {
                        let earlier = probing.insert(chosen.clone(), now);
                        let open = earlier.is_some_and(|t| now < t + ms(10_000));
                        prop_assert!(!open, "a second probe of {chosen}");
                    }
                    router.sent(now, &chosen);
                    outstanding.push(chosen);
                }
                (2, _) => {
                    let endpoint = outstanding.remove(0);
                    probing.remove(&endpoint);
                    router.ended(now, &endpoint, ok(5));
                }
                (_, _) => {
                    let endpoint = outstanding.remove(0);
                    probing.remove(&endpoint);
                    router.ended(now, &endpoint, Outcome::Failed);
                }
            }
            prop_assert!(ejected(&router) <= cap, "{} of {n}", ejected(&router));
        }
    }
}

#[test]
fn a_failing_endpoint_gets_almost_no_requests() {
    let mut router = router(1, identical_engines(10));
    let failing = id("e003");
    let counts = run_requests(&mut router, 0, 20_000, |e| match *e == failing {
        true => Outcome::Failed,
        false => ok(5),
    });
    // An even share of the 2,000 requests is 200. Each ejection lasts twice as long as the one
    // before.
    println!("{} of 2000", counts[&failing]);
    assert!(counts[&failing] <= 10, "{}", counts[&failing]);
    assert_eq!(ejected(&router), 1);
}

#[test]
fn failing_endpoints_beyond_the_ejection_cap_get_almost_no_requests() {
    let mut router = router(1, identical_engines(6));
    let failing = [id("e000"), id("e001"), id("e002"), id("e003")];
    let counts = run_requests(&mut router, 0, 20_000, |e| match failing.contains(e) {
        true => Outcome::Failed,
        false => ok(5),
    });
    let wasted: u32 = failing.iter().filter_map(|e| counts.get(e)).sum();
    println!("{wasted} of 2000");
    assert!(wasted <= 60, "{wasted}");
    assert_eq!(ejected(&router), 2);
}

#[test]
fn an_ejected_endpoint_is_restored_after_one_answered_probe() {
    let mut router = router(1, identical_engines(4));
    let failing = id("e002");
    run_requests(&mut router, 0, 2_000, |e| match *e == failing {
        true => Outcome::Failed,
        false => ok(5),
    });
    let counts = run_requests(&mut router, 30_000, 60_000, |_| ok(5));
    assert_eq!(ejected(&router), 0);
    assert!(counts[&failing] > 300, "{}", counts[&failing]);
}

#[test]
fn a_frozen_endpoint_is_avoided_before_its_calls_time_out() {
    let mut router = router(1, identical_engines(4));
    let frozen = id("e001");
    run_requests(&mut router, 0, 2_000, |_| ok(5));
    let mut late = 0;
    for t in (2_000..4_000).step_by(10) {
        let endpoint = send_one(&mut router, ms(t));
        match endpoint == frozen {
            true => late += u32::from(t > 2_500),
            false => router.ended(ms(t + 5), &endpoint, ok(5)),
        }
    }
    assert_eq!(late, 0);
}

#[test]
fn one_failed_call_makes_an_endpoint_suspect_at_once() {
    let mut router = router(1, identical_engines(4));
    run_requests(&mut router, 0, 1_000, |_| ok(5));
    router.sent(ms(1_000), &id("e001"));
    router.ended(ms(1_001), &id("e001"), Outcome::Failed);
    let counts = run_requests(&mut router, 1_010, 1_900, |_| ok(5));
    assert_eq!(counts.get(&id("e001")), None);
}

#[test]
fn an_endpoint_slower_than_its_group_gets_fewer_requests() {
    let mut router = router(1, identical_engines(8));
    let slow = id("e005");
    let counts = run_requests(&mut router, 0, 10_000, |e| {
        ok(if *e == slow { 100 } else { 5 })
    });
    assert!(counts[&slow] < 30, "{} of 1000", counts[&slow]);
}

#[test]
fn slow_start_ramps_up_the_requests_of_a_new_endpoint() {
    let mut router = router(1, identical_engines(4));
    run_requests(&mut router, 0, 1_000, |_| ok(5));
    router.table_mut().upsert(engine("new", "a", layers(0, 8)));
    let early = run_requests(&mut router, 1_000, 2_000, |_| ok(5));
    let later = run_requests(&mut router, 10_000, 11_000, |_| ok(5));
    let share = |counts: &BTreeMap<EndpointId, u32>| counts.get(&id("new")).copied().unwrap_or(0);
    assert!(share(&early) <= 5, "{early:?}");
    assert!(share(&later) >= 10, "{later:?}");
}

#[test]
fn a_new_incarnation_resets_the_measurements() {
    let mut router = router(1, identical_engines(4));
    let failing = id("e002");
    router.apply_load_report(ms(0), &report("e002", 1, 0));
    for _ in 0..3 {
        router.sent(ms(1), &failing);
        router.ended(ms(2), &failing, Outcome::Failed);
    }
    assert_eq!(ejected(&router), 1);
    router.apply_load_report(ms(2_000), &report("e002", 2, 0));
    assert_eq!(ejected(&router), 0);
}

#[test]
fn endpoints_at_their_limits_give_a_full_shortage_with_retry_after() {
    let mut router = router(1, identical_engines(2));
    let refused = (0..200).find_map(|_| match choose(&mut router, ms(1)) {
        Ok(hops) => {
            router.sent(ms(1), &hops[0].endpoint);
            None
        }
        Err(e) => Some(e),
    });
    let refused = refused.unwrap();
    assert!(matches!(refused.shortage, Shortage::Full { .. }));
    // There is free capacity again once a call has ended.
    let some = router.table().iter().next().unwrap().id.clone();
    router.ended(ms(2), &some, ok(5));
    assert!(choose(&mut router, ms(2)).is_ok());
}

#[test]
fn a_limit_shrinks_as_latency_rises_and_grows_again() {
    // The latency grows with the number of calls in flight, as in a queue that is served one call
    // at a time.
    let tuning = Tuning::default();
    let mut router = Router::with_tuning(data_centre("a"), 1, tuning);
    router.table_mut().upsert(identical_engines(1).remove(0));
    let fill = |router: &mut Router, now: u64, each_ms: u64| {
        let mut sent = 0;
        while let Ok(hops) = choose(router, ms(now)) {
            router.sent(ms(now), &hops[0].endpoint);
            sent += 1;
        }
        for i in 0..sent {
            router.ended(ms(now + 1), &id("e000"), ok((i + 1) * each_ms));
        }
        sent
    };
    for i in 0..20 {
        fill(&mut router, i * 10, 0);
        let one = choose(&mut router, ms(i * 10)).unwrap();
        router.sent(ms(i * 10), &one[0].endpoint);
        router.ended(ms(i * 10 + 1), &id("e000"), ok(2));
    }
    let before = fill(&mut router, 1_000, 2);
    for i in 0..200 {
        fill(&mut router, 2_000 + i * 10, 2);
    }
    let loaded = fill(&mut router, 10_000, 2);
    assert!(loaded < before, "{before} -> {loaded}");
    for i in 0..300 {
        let n = fill(&mut router, 20_000 + i * 10, 0);
        assert!(n > 0);
    }
    assert!(fill(&mut router, 30_000, 0) > loaded);
}

#[test]
fn a_service_call_skips_avoided_endpoints() {
    let mut router = router(1, (0..3).map(|i| service(&format!("s{i}"), "a")));
    let name = service("s0", "a").target;
    for _ in 0..9 {
        let endpoint = router.choose_service(ms(1), &name, &[id("s1")]).unwrap();
        assert_ne!(endpoint, id("s1"));
        router.sent(ms(1), &endpoint);
    }
    let endpoint = router
        .choose_service(ms(1), &name, &[id("s0"), id("s2")])
        .unwrap();
    assert_eq!(endpoint, id("s1"));
}
