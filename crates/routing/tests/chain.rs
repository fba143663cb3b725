//! Chain selection: coverage of the layers, cost, prefix affinity, data centres and draining
//! endpoints.
//!
//! Guards against chains that miss or repeat a layer, use an endpoint that does not run the layer
//! or is draining, overload the endpoint preferred for a prefix, or cross data centres when the
//! crossing costs more than it saves.

mod common;

use common::*;
use dragonflyrill_catalogue::entry::{EndpointEntry, EndpointIntent};
use dragonflyrill_routing::{ActivationPath, Router, Shortage, Tuning, prefix_blocks};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_chain_covers_each_layer_once_by_endpoints_that_hold_it(
        ranges in prop::collection::vec((0u32..8, 1u32..8, 0usize..3, any::<bool>()), 1..40),
        seed: u64,
        direct: bool,
    ) {
        let clamped_layers = |first: u32, len: u32| layers(first, (first + len).min(8));
        let endpoints: Vec<_> = ranges.iter().enumerate().map(|(i, (first, len, at, draining))| {
            let mut e = engine(&format!("e{i}"), ["a", "b", "c"][*at], clamped_layers(*first, *len));
            e.draining = *draining;
            e
        }).collect();
        let activation_path = if direct { ActivationPath::Direct } else { ActivationPath::Relayed };
        let tuning = Tuning { activation_path, ..Tuning::default() };
        let mut router = Router::with_tuning(data_centre("a"), seed, tuning);
        endpoints.iter().cloned().for_each(|e| router.table_mut().upsert(e));
        let first_uncovered = (0..8).find(|layer| {
            !endpoints.iter().any(|e| !e.draining && e.layers.range().contains(layer))
        });
        match choose(&mut router, ms(1)) {
            Err(e) => {
                prop_assert_eq!(Some(e.layer), first_uncovered);
                prop_assert_eq!(e.shortage, Shortage::Missing);
            }
            Ok(hops) => {
                prop_assert_eq!(first_uncovered, None);
                let mut next = 0;
                for hop in &hops {
                    prop_assert_eq!(hop.layers.first, next);
                    prop_assert!(hop.layers.end > next);
                    let e = router.table().get(&hop.endpoint).unwrap();
                    prop_assert!(!e.draining);
                    prop_assert!(e.layers.first <= next && hop.layers.end <= e.layers.end);
                    next = hop.layers.end;
                }
                prop_assert_eq!(next, 8);
                let mut ids: Vec<_> = hops.iter().map(|h| &h.endpoint).collect();
                ids.sort();
                ids.dedup();
                prop_assert_eq!(ids.len(), hops.len());
            }
        }
    }

    #[test]
    fn equal_seeds_and_calls_give_equal_choices(seed: u64, n in 1usize..50) {
        let run = || {
            let mut router = router(seed, identical_engines(n));
            let chosen = (0..50).map(|i| {
                let hops = choose(&mut router, ms(i));
                if let Ok(hops) = &hops {
                    router.sent(ms(i), &hops[0].endpoint);
                    if i % 3 == 0 {
                        router.ended(ms(i), &hops[0].endpoint, ok(5));
                    }
                }
                hops
            });
            chosen.collect::<Vec<_>>()
        };
        prop_assert_eq!(run(), run());
    }

    #[test]
    fn one_prefix_never_loads_an_endpoint_beyond_the_bound(seed: u64, n in 2usize..40, sends in 1usize..200) {
        let mut tuning = Tuning::default();
        tuning.mechanisms.concurrency = false;
        let bound = tuning.load_bound;
        let mut router = Router::with_tuning(data_centre("a"), seed, tuning);
        identical_engines(n).into_iter().for_each(|e| router.table_mut().upsert(e));
        let prefix = prefix_blocks(&model(), &[7; 128]);
        for sent in 0..sends {
            let hops = choose_with(&mut router, ms(1), &prefix, &[]).unwrap();
            router.sent(ms(1), &hops[0].endpoint);
            let mean = sent as f64 / n as f64;
            let load = router.table().get(&hops[0].endpoint).unwrap().in_flight;
            prop_assert!(f64::from(load) <= (bound * (mean + 1.0)).ceil(), "{load} of mean {mean}");
        }
    }
}

#[test]
fn a_repeated_prompt_goes_to_the_endpoint_preferred_by_its_prefix() {
    let mut router = router(1, identical_engines(30));
    let prefix = prefix_blocks(&model(), &[7; 256]);
    let first = choose_with(&mut router, ms(0), &prefix, &[]).unwrap();
    for i in 0..50 {
        assert_eq!(
            choose_with(&mut router, ms(i), &prefix, &[]).unwrap(),
            first
        );
    }
}

#[test]
fn prefix_hashes_are_chained_and_skip_incomplete_blocks() {
    let a = prefix_blocks(&model(), &[1; 70]);
    let mut changed = [1; 70];
    changed[0] = 2;
    let b = prefix_blocks(&model(), &changed);
    assert_eq!(a.len(), 2);
    assert!(a[0] != b[0] && a[1] != b[1]);
    assert_eq!(a[..1], prefix_blocks(&model(), &[1; 32])[..]);
    let other = dragonflyrill_catalogue::TargetName::try_from("n").unwrap();
    assert_ne!(a, prefix_blocks(&other, &[1; 70]));
}

#[test]
fn stored_block_events_attract_matching_prompts_until_eviction() {
    use dragonflyrill_engines::wire::{CacheEvent, CacheEvents};
    let mut tuning = Tuning {
        samples: 4,
        assumed_cached_share: 0.0,
        ..Tuning::default()
    };
    tuning.prefill_factor = 1.0;
    let mut router = Router::with_tuning(data_centre("a"), 3, tuning);
    identical_engines(4)
        .into_iter()
        .for_each(|e| router.table_mut().upsert(e));
    let prefix = prefix_blocks(&model(), &[9; 128]);
    let events = |stored| CacheEvents {
        last: 1,
        events: prefix
            .iter()
            .enumerate()
            .map(|(i, block)| CacheEvent {
                seq: i as u64,
                block: *block,
                stored,
            })
            .collect(),
    };
    let count_matching = |router: &mut Router| {
        let chosen = (0..40).map(|i| choose_with(router, ms(i), &prefix, &[]).unwrap());
        chosen.filter(|hops| hops[0].endpoint == id("e002")).count()
    };
    router.apply_cache_events(ms(0), &id("e002"), &events(true));
    assert_eq!(count_matching(&mut router), 40);
    router.apply_cache_events(ms(0), &id("e002"), &events(false));
    assert!(count_matching(&mut router) < 40);
}

#[test]
fn a_slow_link_outweighs_a_fast_accelerator() {
    let mut far = engine("far", "b", layers(0, 8));
    far.layer_us = 10.0;
    let mut router = router(1, [engine("near", "a", layers(0, 8)), far]);
    router.set_links(&[link("a", "b", 30_000, 10)]);
    for i in 0..50 {
        assert_eq!(choose(&mut router, ms(i)).unwrap()[0].endpoint, id("near"));
    }
}

#[test]
fn direct_chains_stay_in_one_data_centre_once_there() {
    let tuning = Tuning {
        activation_path: ActivationPath::Direct,
        ..Tuning::default()
    };
    let mut router = Router::with_tuning(data_centre("a"), 1, tuning);
    for endpoint in [
        engine("b0", "b", layers(0, 4)),
        engine("b1", "b", layers(4, 8)),
        engine("c1", "c", layers(4, 8)),
    ] {
        router.table_mut().upsert(endpoint);
    }
    router.set_links(&[
        link("a", "b", 500, 1000),
        link("a", "c", 400, 1000),
        link("b", "c", 40_000, 10),
    ]);
    for i in 0..50 {
        assert_eq!(choose(&mut router, ms(i)).unwrap()[1].endpoint, id("b1"));
    }
}

#[test]
fn a_full_data_centre_spills_no_more_than_its_share() {
    let mut endpoints = identical_engines(3);
    endpoints.extend((0..30).map(|i| engine(&format!("f{i:02}"), "b", layers(0, 8))));
    let mut router = router(1, endpoints);
    router.set_links(&[link("a", "b", 300, 1000)]);
    let mut refused = 0;
    for _ in 0..300 {
        match choose(&mut router, ms(1)) {
            Ok(hops) => router.sent(ms(1), &hops[0].endpoint),
            Err(e) => {
                assert!(
                    matches!(e.shortage, Shortage::Full { retry_after } if !retry_after.is_zero())
                );
                refused += 1;
            }
        }
    }
    let remote: u32 = router
        .table()
        .iter()
        .filter(|e| e.data_centre == data_centre("b"))
        .map(|e| e.in_flight)
        .sum();
    let all: u32 = router.table().iter().map(|e| e.in_flight).sum();
    assert!(refused > 0 && remote > 0);
    assert!(
        f64::from(remote) <= 2.0 + f64::from(all) / 3.0,
        "{remote} of {all}"
    );
}

#[test]
fn a_data_centre_without_endpoints_uses_others_without_a_limit() {
    let mut router = router(
        1,
        (0..4).map(|i| engine(&format!("f{i}"), "b", layers(0, 8))),
    );
    for i in 0..30 {
        send_one(&mut router, ms(i));
    }
}

#[test]
fn an_endpoint_drains_on_any_sign_and_serves_again_without_signs() {
    let mut router = router(1, identical_engines(1));
    let name = id("e000");
    let intent = |intent| EndpointEntry {
        id: id("e000"),
        intent,
        checks_fence: true,
    };
    router.set_intents(&[intent(EndpointIntent::Drain)]);
    assert!(choose(&mut router, ms(0)).is_err());
    router.set_intents(&[intent(EndpointIntent::Serve)]);
    assert!(choose(&mut router, ms(0)).is_ok());

    router.table_mut().upsert(dragonflyrill_routing::Endpoint {
        draining: true,
        ..identical_engines(1).remove(0)
    });
    assert!(choose(&mut router, ms(0)).is_err());
    router.table_mut().upsert(identical_engines(1).remove(0));
    assert!(choose(&mut router, ms(0)).is_ok());

    router.sent(ms(1), &name);
    router.ended(ms(2), &name, dragonflyrill_routing::Outcome::Draining);
    assert!(choose(&mut router, ms(3)).is_err());
    // The list lags behind and does not show the endpoint as draining yet.
    router.table_mut().upsert(identical_engines(1).remove(0));
    assert!(choose(&mut router, ms(4)).is_err());
}

#[test]
fn an_intent_applies_to_an_endpoint_listed_later() {
    let mut router = router(1, []);
    router.set_intents(&[EndpointEntry {
        id: id("e000"),
        intent: EndpointIntent::Drain,
        checks_fence: false,
    }]);
    router.table_mut().upsert(identical_engines(1).remove(0));
    assert!(choose(&mut router, ms(0)).is_err());
}

#[test]
fn a_drain_notice_ends_with_a_new_incarnation_or_expires() {
    let mut router = router(1, identical_engines(1));
    let name = id("e000");
    router.apply_load_report(ms(0), &report("e000", 1, 0));
    let leave = |router: &mut Router, now| {
        router.sent(now, &name);
        router.ended(now, &name, dragonflyrill_routing::Outcome::Draining);
    };
    leave(&mut router, ms(1));
    router.apply_load_report(ms(2), &report("e000", 1, 0));
    assert!(choose(&mut router, ms(3)).is_err());
    router.apply_load_report(ms(4), &report("e000", 2, 0));
    assert!(choose(&mut router, ms(5)).is_ok());
    leave(&mut router, ms(6));
    assert!(choose(&mut router, ms(29_000)).is_err());
    assert!(choose(&mut router, ms(31_000)).is_ok());
}

#[test]
fn replacing_the_list_removes_missing_endpoints_and_keeps_measurements() {
    let mut router = router(1, identical_engines(3));
    router.sent(ms(0), &id("e001"));
    router.table_mut().replace_all(identical_engines(2));
    assert_eq!(router.table().len(), 2);
    assert_eq!(router.table().get(&id("e001")).unwrap().in_flight, 1);
}

/// A router in data centre `a` with one local engine and one behind a very slow link.
fn local_and_remote_router() -> Router {
    let far = engine("far", "b", layers(0, 8));
    let mut router = router(1, [engine("near", "a", layers(0, 8)), far]);
    router.set_links(&[link("a", "b", 30_000, 10)]);
    router
}

#[test]
fn a_full_data_centre_does_not_spill_over_a_link_that_costs_far_more_than_the_work() {
    let mut router = local_and_remote_router();
    let mut now = ms(0);
    let refused = loop {
        now += ms(1);
        match choose(&mut router, now) {
            Ok(hops) => {
                assert_eq!(hops[0].endpoint, id("near"));
                router.sent(now, &hops[0].endpoint);
            }
            Err(e) => break e,
        }
    };
    assert!(matches!(refused.shortage, Shortage::Full { .. }));
}

#[test]
fn a_remote_endpoint_is_used_over_a_slow_link_if_no_local_one_is_usable() {
    let mut router = local_and_remote_router();
    let hops = choose_with(&mut router, ms(0), &[], &[id("near")]).unwrap();
    assert_eq!(hops[0].endpoint, id("far"));
    for _ in 0..3 {
        router.sent(ms(1), &id("near"));
        router.ended(ms(2), &id("near"), dragonflyrill_routing::Outcome::Failed);
    }
    assert_eq!(choose(&mut router, ms(3)).unwrap()[0].endpoint, id("far"));
}
