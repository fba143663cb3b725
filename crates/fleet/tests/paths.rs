//! When a path counts as cut, and who is asked to relay.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use dragonflyrill_fleet::paths::{CutKind, Paths, RelayHost, Search, Way};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(10);

fn addr(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 80).into()
}

/// The host `me` in `z1` that searches a relay to an endpoint in `z2`.
fn search(me: &str) -> Search<'_> {
    Search {
        host: me,
        data_centre: "z1",
        endpoint: addr(200),
        endpoint_data_centre: Some("z2"),
    }
}

/// Hosts named `h0`, `h1` and so on, in these data centres, at the addresses with these numbers.
fn hosts<'a>(names: &'a [String], centres: &'a [&'a str]) -> Vec<RelayHost<'a>> {
    let host = |(n, (name, data_centre)): (usize, (&'a String, &&'a str))| RelayHost {
        name,
        addr: addr(n as u8),
        data_centre,
    };
    names.iter().zip(centres).enumerate().map(host).collect()
}

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("h{i}")).collect()
}

fn asked(paths: &Paths, centres: &[&str], me: &str, now: Duration) -> Vec<SocketAddr> {
    let names = names(centres.len());
    let hosts = hosts(&names, centres);
    paths.candidates(hosts.into_iter(), &search(me), now)
}

#[test]
fn a_path_is_cut_from_when_a_relay_is_known_until_the_endpoint_is_reached() {
    let mut paths = Paths::default();
    let (endpoint, relay) = (addr(200), addr(1));
    assert_eq!(paths.way(endpoint), Way::Direct);
    assert!(paths.record_cut(endpoint, CutKind::Silent, relay, NOW));
    assert_eq!(paths.way(endpoint), Way::Relay(relay));
    assert_eq!(paths.cut_kind(endpoint), Some(CutKind::Silent));
    assert!(!paths.record_cut(endpoint, CutKind::Silent, relay, NOW));
    assert!(paths.record_direct(endpoint));
    assert!(!paths.record_direct(endpoint));
    assert_eq!(paths.way(endpoint), Way::Direct);
}

#[test]
fn an_endpoint_that_nobody_reaches_has_no_cut_path() {
    let mut paths = Paths::default();
    paths.record_cut(addr(200), CutKind::Refusing, addr(1), NOW);
    paths.record_unreachable(addr(200));
    assert_eq!(paths.way(addr(200)), Way::Direct);
}

#[test]
fn a_relay_is_replaced_only_after_it_has_failed() {
    let mut paths = Paths::default();
    let endpoint = addr(200);
    paths.record_cut(endpoint, CutKind::Silent, addr(1), NOW);
    paths.record_cut(endpoint, CutKind::Silent, addr(2), NOW);
    assert_eq!(paths.way(endpoint), Way::Relay(addr(1)));
    paths.record_relay_failure(endpoint, addr(2));
    assert_eq!(paths.way(endpoint), Way::Relay(addr(1)));
    paths.record_relay_failure(endpoint, addr(1));
    assert_eq!(paths.way(endpoint), Way::Search);
    paths.record_cut(endpoint, CutKind::Silent, addr(2), NOW);
    assert_eq!(paths.way(endpoint), Way::Relay(addr(2)));
}

#[test]
fn no_path_uses_a_host_that_did_not_answer_and_it_is_asked_last_for_a_second() {
    let mut paths = Paths::default();
    let centres = ["z1", "z1", "z1"];
    let first = asked(&paths, &centres, "me", NOW)[0];
    paths.record_cut(addr(200), CutKind::Silent, first, NOW);
    paths.record_cut(addr(201), CutKind::Silent, first, NOW);
    paths.record_unanswered(first, NOW);
    assert_eq!(paths.way(addr(200)), Way::Search);
    assert_eq!(paths.way(addr(201)), Way::Search);
    assert!(!asked(&paths, &centres, "me", NOW).contains(&first));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(asked(&paths, &centres, "me", later)[0], first);
}

#[test]
fn checks_whether_a_path_is_restored_become_rarer() {
    let mut paths = Paths::default();
    paths.record_cut(addr(200), CutKind::Silent, addr(1), NOW);
    let mut checks = Vec::new();
    for ms in 0..6000 {
        if paths.begin_recheck(addr(200), NOW + Duration::from_millis(ms)) {
            checks.push(ms);
        }
    }
    assert_eq!(checks, [250, 750, 1750, 3750, 5750]);
    assert!(!paths.begin_recheck(addr(201), NOW), "the path is intact");
}

#[test]
fn hosts_of_the_own_data_centre_and_beside_the_endpoint_are_asked_first() {
    let centres = ["z1", "z3", "z2", "z3", "z1", "z2", "z1", "z2"];
    let asked = asked(&Paths::default(), &centres, "h0", NOW);
    let centre = |a: &SocketAddr| {
        let n = (0..centres.len()).find(|n| addr(*n as u8) == *a);
        centres[n.expect("a host")]
    };
    let asked: Vec<&str> = asked.iter().map(centre).collect();
    assert_eq!(asked, ["z1", "z1", "z2", "z2"]);
}

proptest! {
    #[test]
    fn at_most_four_other_hosts_are_asked_and_some_of_each_kind(
        centres in prop::collection::vec(prop::sample::select(vec!["z1", "z2", "z3"]), 0..12),
        silent in prop::collection::vec(0u8..12, 0..6),
    ) {
        let mut paths = Paths::default();
        silent.iter().for_each(|n| paths.record_unanswered(addr(*n), NOW));
        let asked = asked(&paths, &centres, "h0", NOW);
        let distinct: HashSet<_> = asked.iter().collect();
        prop_assert_eq!(distinct.len(), asked.len());
        prop_assert!(!asked.contains(&addr(0)), "it asks itself");
        let others = centres.iter().skip(1);
        let near = others.clone().filter(|c| **c == "z1").count();
        let far = others.filter(|c| **c != "z1").count();
        prop_assert_eq!(asked.len(), near.min(2) + far.min(4 - near.min(2)));
    }
}
