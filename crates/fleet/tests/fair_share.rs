//! Fair shares of workspaces follow max-min fairness, whatever hosts their work is on, and reports of them are bounded.

mod common;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use common::ms;
use dragonflyrill_fleet::{
    choice::{Load, LoadMap},
    fair_share::{
        MAX_NAME_BYTES, MAX_NAMED, MAX_NAMED_IN_SUM, WorkspaceReport, WorkspaceUsage, limit_named,
    },
    reported_loads::{self, ReportedLoads},
};
use proptest::prelude::*;

const TTL: Duration = Duration::from_millis(1500);
const NOW: Duration = Duration::from_secs(10);

/// A host with the given work of workspaces under way.
fn host<'a>(work: impl IntoIterator<Item = (&'a str, f64)>) -> WorkspaceUsage {
    let mut usage = WorkspaceUsage::default();
    usage.set_enabled(true);
    for (workspace, tokens) in work {
        usage.begin(&Rc::from(workspace), tokens);
    }
    usage
}

/// Workspaces `w0`, `w1` and so on with the given work.
fn numbered(work: &[f64]) -> Vec<(String, f64)> {
    let name = |(i, tokens): (usize, &f64)| (format!("w{i}"), *tokens);
    work.iter().enumerate().map(name).collect()
}

fn host_with(work: &[f64]) -> WorkspaceUsage {
    let numbered = numbered(work);
    host(numbered.iter().map(|(name, n)| (&**name, *n)))
}

fn entries(report: &WorkspaceReport) -> LoadMap {
    let mut loads = LoadMap::default();
    report.add_to(&mut loads);
    loads
}

/// What the hosts have reported together, as their polled host sends it on.
fn sum_of(hosts: &[&WorkspaceUsage]) -> WorkspaceReport {
    let mut sum = LoadMap::default();
    for host in hosts {
        reported_loads::add(&mut sum, &entries(&host.own_report()));
    }
    limit_named(&mut sum);
    WorkspaceReport::take_from(&mut sum)
}

fn assert_close(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-6, "{a} is not {b}");
}

/// Guards against a limit for a workspace while nobody else uses the engines.
#[test]
fn an_idle_share_is_lent() {
    let alone = host([("a", 50_000.0)]);
    assert_eq!(alone.excess("a", NOW), 0.0);
    // Twenty workspaces that run almost nothing don't want their shares.
    let mut work = vec![1.0; 20];
    work.push(10_000.0);
    let excess = host_with(&work).excess("w20", NOW);
    assert!(excess < 0.01, "{excess}");
}

#[test]
fn workspaces_with_equal_work_have_no_excess() {
    for count in [2, 3, 7, 24, 220] {
        let host = host_with(&vec![333.0; count]);
        assert_eq!(host.excess("w1", NOW), 0.0, "{count}");
        assert_eq!(host.over_share_count(NOW), 0, "{count}");
    }
}

#[test]
fn the_excess_rises_from_the_share_to_three_times_the_share() {
    // Nobody is satisfied, so the share is the mean, 1000.
    for (tokens, excess) in [(1000.0, 0.0), (2000.0, 0.5), (2800.0, 0.9), (4000.0, 1.0)] {
        let mut work = vec![(24.0 * 1000.0 - tokens) / 23.0; 23];
        work.push(tokens);
        let host = host_with(&work);
        assert!((host.excess("w23", NOW) - excess).abs() < 2e-3, "{tokens}");
        assert_eq!(host.excess("w0", NOW), 0.0);
        assert_eq!(host.excess("unknown", NOW), 0.0);
        assert_eq!(host.over_share_count(NOW), usize::from(excess > 0.0));
    }
}

#[test]
fn a_workspace_with_ten_times_the_work_of_the_others_has_the_full_excess() {
    let mut work = vec![700.0; 24];
    work[5] = 7000.0;
    let host = host_with(&work);
    assert_eq!(host.excess("w5", NOW), 1.0);
    assert_eq!(host.over_share_count(NOW), 1);
}

/// Guards against work that stays counted after its end, by which a workspace would appear above its share for ever.
#[test]
fn work_with_fractions_of_tokens_ends_completely() {
    let mut usage = host([]);
    let a = Rc::from("a");
    let odd = [0.1, 0.7, 1e9 + 0.3, f64::NAN, f64::INFINITY, -3.0, 0.0];
    odd.iter().for_each(|n| usage.begin(&a, *n));
    assert!(usage.excess("a", NOW).is_finite());
    odd.iter().rev().for_each(|n| usage.end(&a, *n));
    assert_eq!(usage.own_report(), WorkspaceReport::default());
    // An end without a begin is ignored.
    usage.end(&a, 5.0);
    assert_eq!(usage.own_report(), WorkspaceReport::default());
}

#[test]
fn a_host_without_shares_reports_nothing_and_counts_on() {
    let mut usage = host_with(&[1000.0, 9000.0, 1000.0, 1000.0]);
    usage.set_enabled(false);
    assert_eq!(usage.own_report(), WorkspaceReport::default());
    assert_eq!(
        (usage.excess("w1", NOW), usage.over_share_count(NOW)),
        (0.0, 0)
    );
    usage.set_enabled(true);
    assert_eq!(usage.excess("w1", NOW), 1.0);
}

#[test]
fn the_largest_workspaces_are_reported_by_name() {
    let work: Vec<f64> = (1..=24).map(f64::from).collect();
    let report = host_with(&work).own_report();
    let largest: Vec<f64> = report.named.iter().map(|(_, n)| *n).collect();
    assert_eq!(
        largest,
        [24.0, 23.0, 22.0, 21.0, 20.0, 19.0, 18.0, 17.0],
        "in order"
    );
    let rest = report.rest.expect("the others");
    assert_eq!((rest.workspaces, rest.tokens), (16.0, 136.0));
    assert_eq!(entries(&report).len(), MAX_NAMED + 1);
}

/// Guards against entries of workspaces that are confused with the rest or with each other.
#[test]
fn names_are_reported_unchanged() {
    let names = ["rest", "workspaces-not-named", "a/b", "/", "workspace/x"];
    let report = host(names.map(|name| (name, 5.0))).own_report();
    assert_eq!(report.rest, None);
    let received = WorkspaceReport::take_from(&mut entries(&report));
    assert_eq!(received, report);
    // A name that would make reports unbounded, or none at all, counts with the rest.
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let report = host([("a", 5.0), (&*long, 7.0), ("", 1.0)]).own_report();
    assert_eq!(report.named, [(Rc::from("a"), 5.0)]);
    let rest = report.rest.expect("the others");
    assert_eq!((rest.workspaces, rest.tokens), (2.0, 8.0));
}

#[test]
fn malformed_entries_are_ignored_and_loads_of_endpoints_are_left() {
    let load = |requests, token_layers| Load {
        requests,
        token_layers,
    };
    let long = format!("workspace/{}", "x".repeat(MAX_NAME_BYTES + 1));
    let mut loads: LoadMap = [
        ("e1", load(2.0, 30.0)),
        ("workspace", load(2.0, 30.0)),
        ("workspace/", load(1.0, 30.0)),
        ("workspace/a", load(1.0, f64::NAN)),
        ("workspace/b", load(1.0, -1.0)),
        ("workspace/c", load(1.0, f64::INFINITY)),
        ("workspace/d", load(1.0, 40.0)),
        (&*long, load(1.0, 40.0)),
        ("workspaces-not-named", load(0.0, 40.0)),
    ]
    .into_iter()
    .map(|(id, load)| (id.into(), load))
    .collect();
    let report = WorkspaceReport::take_from(&mut loads);
    assert_eq!(report.named, [(Rc::from("d"), 40.0)]);
    assert_eq!(report.rest, None);
    let mut left: Vec<&str> = loads.keys().map(|id| &**id).collect();
    left.sort_unstable();
    assert_eq!(left, ["e1", "workspace"]);
}

#[test]
fn reports_of_other_hosts_are_used_until_they_are_old() {
    let other = host([("a", 10_000.0), ("b", 1000.0), ("c", 1000.0)]);
    let mut usage = host([("a", 1000.0), ("d", 1000.0), ("e", 1000.0), ("f", 1000.0)]);
    assert_eq!(usage.excess("a", NOW), 0.0);
    usage.apply_others(other.own_report(), NOW);
    assert_eq!(usage.excess("a", NOW), 1.0);
    assert_eq!(usage.excess("b", NOW), 0.0);
    assert_eq!(usage.over_share_count(NOW), 1);
    assert_eq!(usage.excess("a", NOW + TTL - ms(1)), 1.0);
    assert_eq!(usage.excess("a", NOW + TTL), 0.0);
    assert_eq!(usage.over_share_count(NOW + TTL), 0);
}

/// Guards against a rest whose workspaces are counted once for each host, which lowers the share until workspaces
/// with little work are above it.
#[test]
fn the_rest_of_many_hosts_is_counted_as_the_workspaces_that_it_has() {
    // On each of 300 hosts, the same workspace has ten times the work of the others. Which of the others a host
    // names differs.
    let uneven = |host: usize| -> Vec<f64> {
        let work = |i: usize| match i {
            0 => 10_000.0,
            i => 1000.0 + ((host * 7 + i * 5) % 23) as f64,
        };
        (0..24).map(work).collect()
    };
    let hosts: Vec<WorkspaceUsage> = (0..300).map(|h| host_with(&uneven(h))).collect();
    let all: Vec<&WorkspaceUsage> = hosts.iter().collect();
    let mut usage = host_with(&uneven(0));
    usage.apply_others(sum_of(&all[1..]), NOW);
    assert_eq!(usage.excess("w0", NOW), 1.0);
    for i in 1..24 {
        assert_eq!(usage.excess(&format!("w{i}"), NOW), 0.0, "w{i}");
    }
    assert_eq!(usage.over_share_count(NOW), 1);
}

/// Guards against sums that grow with the number of workspaces, and against a bound by which the share changes.
#[test]
fn a_sum_of_many_hosts_is_bounded() {
    // Each of 300 hosts serves 30 of 220 workspaces.
    let served = |host: usize| -> Vec<(String, f64)> {
        let name = |i: usize| format!("w{}", (host * 13 + i * 7) % 220);
        (0..30).map(|i| (name(i), 500.0 + i as f64)).collect()
    };
    let hosts: Vec<WorkspaceUsage> = (0..300)
        .map(|h| host(served(h).iter().map(|(name, n)| (&**name, *n))))
        .collect();
    let all: Vec<&WorkspaceUsage> = hosts.iter().collect();
    let sum = sum_of(&all);
    assert_eq!(sum.named.len(), MAX_NAMED_IN_SUM);
    let rest = sum.rest.expect("the others");
    assert!(
        (200.0..230.0).contains(&rest.workspaces),
        "{}",
        rest.workspaces
    );
    let named: f64 = sum.named.iter().map(|(_, n)| n).sum();
    let total = 300.0 * (0..30).map(|i| 500.0 + f64::from(i)).sum::<f64>();
    assert!((named + rest.tokens - total).abs() < 1.0);
    let again = {
        let mut loads = entries(&sum);
        limit_named(&mut loads);
        WorkspaceReport::take_from(&mut loads)
    };
    assert_eq!(again.named, sum.named);
}

/// Guards against entries that reported loads drop as rounding errors, and against those of a host that is gone.
#[test]
fn reported_loads_sum_reports_and_drop_them_with_their_host() {
    let mut reported = ReportedLoads::new(TTL);
    let work: Vec<f64> = (1..=24).map(|i| f64::from(i) * 0.01).collect();
    let small = entries(&host_with(&work).own_report());
    let large = entries(&host_with(&[5000.0]).own_report());
    reported.record("h1", "a", small.clone(), ms(0));
    reported.record("h2", "b", large, ms(100));
    reported.record("h3", "a", small, ms(200));
    let mut sum = reported.sum_except("h1", ms(200));
    let report = WorkspaceReport::take_from(&mut sum);
    assert_eq!(report.named[0], (Rc::from("w0"), 5001.0));
    assert_eq!(report.rest.map(|r| r.workspaces), Some(16.0));
    assert!(sum.is_empty());
    let mut sum = reported.sum(ms(1650));
    let report = WorkspaceReport::take_from(&mut sum);
    assert_eq!(report.named.len(), MAX_NAMED);
    assert!(reported.sum(ms(1800)).is_empty());
}

/// The share by bisection: workspaces that want four times their work get as much as is under way.
fn share_by_bisection(work: &[f64]) -> f64 {
    let capacity: f64 = work.iter().sum();
    let (mut low, mut high) = (0.0, capacity);
    for _ in 0..200 {
        let level = f64::midpoint(low, high);
        let given: f64 = work.iter().map(|n| (4.0 * n).min(level)).sum();
        match given < capacity {
            true => low = level,
            false => high = level,
        }
    }
    high
}

proptest! {
    #[test]
    fn the_excess_is_that_of_max_min_fairness(
        work in prop::collection::vec(1..100_000u32, 1..40),
    ) {
        let work: Vec<f64> = work.into_iter().map(f64::from).collect();
        let usage = host_with(&work);
        let share = share_by_bisection(&work);
        for (name, tokens) in numbered(&work) {
            let expected = ((tokens / share - 1.0) / 2.0).clamp(0.0, 1.0);
            prop_assert!((usage.excess(&name, NOW) - expected).abs() < 1e-5, "{}", name);
        }
    }

    /// No more workspaces than a report names: the hosts know all work.
    #[test]
    fn the_excess_does_not_depend_on_which_hosts_have_the_work(
        parts in prop::collection::vec(prop::collection::vec(0..5000u32, MAX_NAMED), 1..6),
    ) {
        let mut totals = BTreeMap::new();
        let mut hosts = Vec::new();
        for part in &parts {
            let named: Vec<(String, f64)> = part
                .iter()
                .enumerate()
                .filter(|(_, n)| **n > 0)
                .map(|(i, n)| (format!("w{i}"), f64::from(*n)))
                .collect();
            for (name, n) in &named {
                *totals.entry(name.clone()).or_insert(0.0) += n;
            }
            hosts.push(host(named.iter().map(|(name, n)| (&**name, *n))));
        }
        let all = host(totals.iter().map(|(name, n)| (&**name, *n)));
        let others: Vec<&WorkspaceUsage> = hosts[1..].iter().collect();
        let others = sum_of(&others);
        hosts[0].apply_others(others, NOW);
        for name in totals.keys() {
            assert_close(hosts[0].excess(name, NOW), all.excess(name, NOW));
        }
        prop_assert_eq!(hosts[0].over_share_count(NOW), all.over_share_count(NOW));
    }

    #[test]
    fn reports_are_bounded_and_keep_all_work(
        work in prop::collection::vec(1..100_000u32, 0..60),
    ) {
        let work: Vec<f64> = work.into_iter().map(f64::from).collect();
        let report = host_with(&work).own_report();
        prop_assert!(report.named.len() <= MAX_NAMED);
        let named: f64 = report.named.iter().map(|(_, n)| n).sum();
        let rest = report.rest.map_or(0.0, |r| r.tokens);
        assert_close(named + rest, work.iter().sum());
        let received = WorkspaceReport::take_from(&mut entries(&report));
        prop_assert_eq!(&received.named, &report.named);
        let counts = [received, report].map(|r| r.rest.map_or(0.0, |r| r.workspaces));
        assert_close(counts[0], counts[1]);
    }

    #[test]
    fn all_work_ends(
        work in prop::collection::vec((0..30usize, 0.0..1e7f64), 0..200),
        order in any::<prop::sample::Index>(),
    ) {
        let mut usage = host([]);
        let name = |i: usize| -> Rc<str> { format!("w{i}").into() };
        work.iter().for_each(|(i, n)| usage.begin(&name(*i), *n));
        let mut ends = work.clone();
        if !ends.is_empty() {
            let first = order.index(ends.len());
            ends.rotate_left(first);
        }
        ends.iter().for_each(|(i, n)| usage.end(&name(*i), *n));
        prop_assert_eq!(usage.own_report(), WorkspaceReport::default());
    }
}
