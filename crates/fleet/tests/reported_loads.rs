//! Sums of reported loads are those of the unexpired reports, and cost no more the more hosts report.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::ms;
use dragonflyrill_fleet::{
    choice::{Load, LoadMap},
    reported_loads::ReportedLoads,
};
use proptest::prelude::*;

const TTL: Duration = Duration::from_millis(1500);

/// A report of a load on each of the endpoints.
fn loads(endpoints: impl Iterator<Item = (u32, u32)>) -> LoadMap {
    let load = |(endpoint, requests): (u32, u32)| {
        let load = Load {
            requests: f64::from(requests),
            token_layers: f64::from(requests) * 1234.5,
        };
        (format!("e{endpoint}").into(), load)
    };
    endpoints.map(load).collect()
}

/// Guards against work of the polled host that grows with the square of the number of hosts.
#[test]
fn a_poll_updates_as_many_entries_however_many_hosts_report() {
    for hosts in [50u32, 200, 800] {
        let mut reported = ReportedLoads::new(TTL);
        let mut poll = |host: u32| {
            let before = reported.updated_entries();
            let own = loads((0..8).map(|n| ((host + n) % 30, 1)));
            reported.record(&format!("h{host}"), "a", own, ms(100));
            reported.sum_except(&format!("h{host}"), ms(100));
            reported.updated_entries() - before
        };
        (0..hosts).for_each(|host| assert_eq!(poll(host), 8));
        (0..hosts).for_each(|host| assert_eq!(poll(host), 16, "{hosts} hosts"));
    }
}

#[test]
fn a_report_is_used_until_it_expires_or_is_replaced() {
    let mut reported = ReportedLoads::new(TTL);
    reported.record("h1", "a", loads([(1, 2)].into_iter()), ms(0));
    reported.record("h2", "b", loads([(1, 3), (2, 1)].into_iter()), ms(1000));
    assert_eq!(reported.sum(ms(1000))["e1"].requests, 5.0);
    assert_eq!(reported.sum_of("a", ms(1000))["e1"].requests, 2.0);
    assert_eq!(reported.sum_except("h2", ms(1000)).len(), 1);
    reported.record("h1", "a", loads([(3, 1)].into_iter()), ms(1100));
    assert_eq!(reported.sum(ms(1100))["e1"].requests, 3.0);
    assert_eq!(reported.sum(ms(2499)).len(), 3);
    assert_eq!(reported.sum(ms(2500)).len(), 1);
    assert!(reported.sum(ms(2600)).is_empty());
}

proptest! {
    #[test]
    fn sums_are_those_of_the_unexpired_reports(
        reports in prop::collection::vec(
            (0..5u32, prop::collection::btree_map(0..6u32, 1..20u32, 0..5), 0..900u64),
            0..60,
        ),
    ) {
        let mut reported = ReportedLoads::new(TTL);
        let mut latest = BTreeMap::new();
        let mut now = ms(0);
        for (host, entries, after) in reports {
            now += ms(after);
            let received = loads(entries.clone().into_iter());
            let data_centre = host / 3;
            reported.record(&format!("h{host}"), &format!("d{data_centre}"), received, now);
            latest.insert(host, (now, entries));
            let mut expected: BTreeMap<u32, u32> = BTreeMap::new();
            for (at, entries) in latest.values() {
                if *at + TTL > now {
                    entries.iter().for_each(|(e, n)| *expected.entry(*e).or_default() += n);
                }
            }
            let sum = reported.sum(now);
            prop_assert_eq!(sum.len(), expected.len());
            for (endpoint, requests) in expected {
                let load = sum[&*format!("e{endpoint}")];
                prop_assert!((load.requests - f64::from(requests)).abs() < 1e-6);
                prop_assert!((load.token_layers - f64::from(requests) * 1234.5).abs() < 1e-3);
            }
        }
    }
}
