//! Guards against a thundering herd: many hosts receive the same lagged load reports, and if each
//! chooses the endpoint with the lowest reported load, all of them overload that endpoint until the
//! next report.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire::LoadReport;
use dragonflyrill_routing::{
    ChainQuery,
    baseline::{LeastReported, Policy},
};

const ENDPOINTS: usize = 30;
const HOSTS: usize = 16;
/// Requests per second of each host. Each request runs for one second.
const REQUESTS_PER_SECOND: u64 = 40;

/// Returns the highest ratio of an endpoint's load to the mean load from 2 s to 5 s, with one load
/// report per second.
fn max_imbalance(hosts: &mut [Box<dyn Policy>]) -> f64 {
    let names: Vec<_> = identical_engines(ENDPOINTS)
        .into_iter()
        .map(|e| e.id)
        .collect();
    let mut pending_ends: VecDeque<(u64, usize, EndpointId)> = VecDeque::new();
    let mut load = BTreeMap::new();
    let model = model();
    let mut worst: f64 = 0.0;
    for t in 0..5_000_u64 {
        if t % 1_000 == 0 {
            for name in &names {
                let running = load.get(name).copied().unwrap_or(0);
                let report = LoadReport {
                    age_ms: 0,
                    ..report(name.as_str(), 1, running)
                };
                hosts
                    .iter_mut()
                    .for_each(|h| h.apply_load_report(ms(t), &report));
            }
        }
        while pending_ends.front().is_some_and(|(at, ..)| *at <= t) {
            let (_, host, endpoint) = pending_ends.pop_front().unwrap();
            let work = dragonflyrill_routing::StepSize {
                layers: layers(0, 8),
                positions: 1,
            };
            hosts[host].ended(ms(t), &endpoint, ok(1_000), work);
            *load.get_mut(&endpoint).unwrap() -= 1;
        }
        for (host, policy) in hosts.iter_mut().enumerate() {
            if !(t + host as u64 * 7).is_multiple_of(1_000 / REQUESTS_PER_SECOND) {
                continue;
            }
            let query = ChainQuery {
                model: &model,
                layers: layers(0, 8),
                prompt_tokens: 64,
                max_tokens: 16,
                prefix: &[],
                avoid: &[],
            };
            let hops = policy.choose(ms(t), &query).unwrap();
            let endpoint = hops[0].endpoint.clone();
            policy.sent(ms(t), &endpoint);
            *load.entry(endpoint.clone()).or_insert(0) += 1;
            pending_ends.push_back((t + 1_000, host, endpoint));
        }
        if t >= 2_000 {
            let highest = load.values().copied().max().unwrap_or(0);
            let mean = f64::from(load.values().sum::<u32>()) / ENDPOINTS as f64;
            worst = worst.max(f64::from(highest) / mean);
        }
    }
    worst
}

#[test]
fn hosts_with_lagged_reports_do_not_overload_single_endpoints() {
    let mut routers: Vec<Box<dyn Policy>> = Vec::new();
    let mut baselines: Vec<Box<dyn Policy>> = Vec::new();
    for host in 0..HOSTS {
        routers.push(Box::new(router(host as u64, identical_engines(ENDPOINTS))));
        let mut baseline = LeastReported::default();
        identical_engines(ENDPOINTS)
            .into_iter()
            .for_each(|e| baseline.table_mut().upsert(e));
        baselines.push(Box::new(baseline));
    }
    let (router_imbalance, baseline_imbalance) =
        (max_imbalance(&mut routers), max_imbalance(&mut baselines));
    println!(
        "max/mean load: {router_imbalance:.2}, by least reported load {baseline_imbalance:.2}"
    );
    assert!(router_imbalance < 2.0, "{router_imbalance}");
    assert!(
        baseline_imbalance > 3.0 * router_imbalance,
        "{baseline_imbalance}"
    );
}
