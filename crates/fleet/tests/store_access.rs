//! Which hosts call a store that doesn't answer.

use std::time::Duration;

use dragonflyrill_fleet::store_access::{self, ProbeSlots, Role, StoreAccess, StoreReport};
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("h{i}")).collect()
}

#[test]
fn a_store_is_unavailable_after_three_consecutive_failures() {
    let mut access = StoreAccess::default();
    access.failed(ms(1));
    access.failed(ms(2));
    access.answered(ms(2));
    access.failed(ms(3));
    access.failed(ms(4));
    assert!(!access.unavailable(), "single calls fail on lossy links");
    access.failed(ms(5));
    assert!(access.unavailable());
    access.answered(ms(6));
    assert!(!access.unavailable());
    access.suspected(ms(7));
    assert!(access.unavailable(), "until the store has answered");
    access.answered(ms(8));
    assert!(!access.unavailable());
}

/// A read that was sent before the store began to refuse a host may be answered after the refusals. If such
/// an answer counted, the host would take the store for available, and the host that reads in its place would
/// stop.
#[test]
fn an_answer_to_a_read_sent_before_a_failure_does_not_make_the_store_available() {
    let mut access = StoreAccess::default();
    let long_poll_sent_at = ms(1);
    for failed_at in [10, 20, 30] {
        access.failed(ms(failed_at));
    }
    access.answered(long_poll_sent_at);
    assert!(access.unavailable());
    access.answered(ms(31));
    assert!(!access.unavailable());
}

#[test]
fn a_host_reads_the_store_if_a_recent_report_lacks_the_list() {
    let report = |has_list| {
        Some(StoreReport {
            fresh: true,
            from_this_host: false,
            unavailable: false,
            probe_slot: false,
            has_list,
        })
    };
    assert_eq!(store_access::role(report(true), false), Role::Follower);
    for keeps_reading in [false, true] {
        assert_eq!(
            store_access::role(report(false), keeps_reading),
            Role::Reader
        );
    }
}

#[test]
fn a_host_waits_for_a_probe_slot_while_the_store_is_reported_unavailable() {
    let report = |fresh, from_this_host, probe_slot| {
        Some(StoreReport {
            fresh,
            from_this_host,
            unavailable: !fresh,
            probe_slot,
            has_list: true,
        })
    };
    let role = store_access::role;
    assert_eq!(
        role(None, false),
        Role::Reader,
        "no other host is reachable"
    );
    assert_eq!(role(report(true, false, false), false), Role::Follower);
    assert_eq!(role(report(true, false, false), true), Role::Follower);
    assert_eq!(role(report(false, false, false), false), Role::Waiting);
    assert_eq!(role(report(false, false, true), false), Role::Reader);
    assert_eq!(role(report(false, false, false), true), Role::Reader);
    // The data of the other host comes from this one.
    assert_eq!(role(report(true, true, false), true), Role::Reader);
    assert_eq!(role(report(true, true, false), false), Role::Waiting);
}

/// The host that grants slots may still have recent data when the store stops answering it. If hosts ignored
/// slots granted then, nobody would check for 0.7 s whether the store answers another host.
#[test]
fn a_recent_report_of_an_unavailable_store_lets_a_host_use_its_probe_slot() {
    let report = |probe_slot| {
        Some(StoreReport {
            fresh: true,
            from_this_host: false,
            unavailable: true,
            probe_slot,
            has_list: true,
        })
    };
    let role = store_access::role;
    assert_eq!(role(report(true), false), Role::Reader);
    assert_eq!(role(report(false), false), Role::Waiting);
    assert_eq!(
        role(report(false), true),
        Role::Reader,
        "the store answers this host"
    );
}

/// A host polls while its probe is under way, or when the catalogue was answered and the list was not. If the
/// report then made it wait, it would stop reading, and the next host would do the same.
#[test]
fn a_host_with_a_probe_slot_keeps_reading_until_its_probe_has_ended() {
    let mut access = StoreAccess::default();
    assert!(access.keeps_reading(), "no call has failed");
    access.suspected(ms(1));
    assert!(!access.keeps_reading());
    access.slot_granted(ms(2));
    assert!(access.unavailable() && access.keeps_reading());
    access.failed(ms(3));
    assert!(!access.keeps_reading(), "the probe has failed");
    access.slot_granted(ms(4));
    access.answered(ms(5));
    assert!(
        !access.unavailable() && access.keeps_reading(),
        "the store answers this host"
    );
}

/// Lets hosts poll in the given order, each after an interval in ms; returns which hosts were granted slots,
/// and when.
fn granted_slots(hosts: usize, polls: &[(usize, u64)]) -> Vec<(usize, Duration)> {
    let names = names(hosts);
    let mut probe_slots = ProbeSlots::default();
    let mut now = Duration::ZERO;
    let mut grants = Vec::new();
    for (host, interval) in polls {
        now += ms(*interval);
        let host = host % hosts;
        let others = names.iter().map(String::as_str);
        if probe_slots.grant(&names[host], others, now) {
            grants.push((host, now));
        }
    }
    grants
}

proptest! {
    /// The calls to the store don't grow with the number of hosts or with how often they poll.
    #[test]
    fn probe_slots_are_as_few_for_many_hosts(
        hosts in 1..300_usize,
        polls in proptest::collection::vec((0..300_usize, 0..20_u64), 0..2000),
    ) {
        let grants = granted_slots(hosts, &polls);
        for (nth, pair) in grants.windows(2).enumerate() {
            let least = if nth < 3 { ms(100) } else { ms(700) };
            prop_assert!(pair[1].1 - pair[0].1 >= least);
        }
    }

    /// Other hosts don't keep a host from probing that the store would answer: no host is granted a second
    /// slot before each other polling host has had one.
    #[test]
    fn each_host_has_its_turn(
        hosts in 1..12_usize,
        polls in proptest::collection::vec((0..12_usize, 0..400_u64), 0..2000),
    ) {
        let grants = granted_slots(hosts, &polls);
        let mut granted = vec![0; hosts];
        for (host, _) in grants {
            granted[host] += 1;
            let most = granted.iter().max();
            let least = granted.iter().min();
            prop_assert!(most <= least.map(|n| n + 1).as_ref(), "{granted:?}");
        }
    }
}

/// Three of a data centre's four hosts may be cut off from the store together. If the fourth is granted its
/// slot last, 1.4 s after the first, it acts on its catalogue for 0.06 s longer than a change may take to be
/// in force.
#[test]
fn all_hosts_of_a_small_data_centre_are_granted_a_slot_within_half_a_second() {
    let poll_schedule = [(0, 62), (1, 63), (2, 62), (3, 63)].repeat(4);
    let grants = granted_slots(4, &poll_schedule);
    let first = grants[0].1;
    let mut soon: Vec<usize> = grants
        .iter()
        .take_while(|(_, at)| *at <= first + ms(500))
        .map(|(host, _)| *host)
        .collect();
    soon.sort();
    assert_eq!(soon, [0, 1, 2, 3]);
}

#[test]
fn the_first_slot_is_granted_at_once_also_after_a_reset() {
    let mut probe_slots = ProbeSlots::default();
    let now = ms(5000);
    let others = || ["h1", "h2"].into_iter();
    assert!(probe_slots.grant("h1", others(), now));
    assert!(!probe_slots.grant("h2", others(), now));
    probe_slots.reset();
    assert!(probe_slots.grant("h1", others(), now));
}
