//! Tests the limits of a whole fleet, without faults, with a dead host and with an outage of the
//! table. Demand above the limit must be met up to the limit and never beyond, and rights that a
//! dead host held must not stay unused.

mod support;

use std::time::Duration;

use dragonflyrill_limits::HostLimiter;
use support::{
    fleet::{Conditions, Fleet},
    key, limit,
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn fleet(seed: u64, hosts: usize, data_centres: usize) -> Fleet<HostLimiter> {
    let limits = [limit(key(0, 0), 100.0, 20_000.0, 40)];
    let mut fleet = Fleet::new(seed, data_centres, &limits, Conditions::default());
    for i in 0..hosts {
        fleet.start(i, 1, i % data_centres);
    }
    fleet.run(10 * SECOND);
    fleet
}

/// Sends `per_second` requests of 200 tokens a second to `hosts` in turn, for `time`.
fn load(fleet: &mut Fleet<HostLimiter>, hosts: &[usize], per_second: u32, time: Duration) {
    let step = SECOND / per_second;
    let end = fleet.now + time;
    let mut next_host = 0;
    while fleet.now < end {
        let i = hosts[next_host % hosts.len()];
        next_host += 1;
        fleet.request_admission(i, &key(0, 0), 200, 200, 200 * MS, SECOND);
        let next = fleet.now + step;
        fleet.run(next);
    }
}

fn net_tokens(fleet: &Fleet<HostLimiter>) -> f64 {
    fleet
        .ledger
        .used
        .get(&key(0, 0))
        .map_or(0.0, |u| u.net_tokens)
}

#[test]
fn demand_above_the_limit_gets_nearly_all_of_it_and_never_more() {
    let mut fleet = fleet(1, 6, 3);
    load(&mut fleet, &[0, 1, 2, 3, 4, 5], 300, 5 * SECOND);
    let before = net_tokens(&fleet);
    load(&mut fleet, &[0, 1, 2, 3, 4, 5], 300, 20 * SECOND);
    let share = (net_tokens(&fleet) - before) / (20_000.0 * 20.0);
    eprintln!("{share} {:?}", fleet.traffic.messages);
    assert_eq!(fleet.ledger.violations, Vec::<String>::new());
    assert!(share > 0.97, "{share}");
}

#[test]
fn one_host_with_all_demand_gets_the_whole_limit() {
    let mut fleet = fleet(2, 6, 3);
    load(&mut fleet, &[3], 300, 5 * SECOND);
    let before = net_tokens(&fleet);
    load(&mut fleet, &[3], 300, 20 * SECOND);
    let share = (net_tokens(&fleet) - before) / (20_000.0 * 20.0);
    assert_eq!(fleet.ledger.violations, Vec::<String>::new());
    assert!(share > 0.97, "{share}");
}

#[test]
fn a_dead_hosts_rights_are_back_within_two_seconds() {
    let mut fleet = fleet(3, 6, 1);
    load(&mut fleet, &[0, 1, 2, 3, 4, 5], 300, 5 * SECOND);
    fleet.kill(2);
    load(&mut fleet, &[0, 1, 3, 4, 5], 300, 2 * SECOND);
    let before = net_tokens(&fleet);
    load(&mut fleet, &[0, 1, 3, 4, 5], 300, 10 * SECOND);
    let share = (net_tokens(&fleet) - before) / (20_000.0 * 10.0);
    assert_eq!(fleet.ledger.violations, Vec::<String>::new());
    assert!(share > 0.97, "{share}");
}

#[test]
fn a_table_outage_takes_no_rights_while_guards_are_alive() {
    let mut fleet = fleet(4, 6, 3);
    fleet.table_up = false;
    load(&mut fleet, &[0, 1, 2, 3, 4, 5], 300, 30 * SECOND);
    let before = net_tokens(&fleet);
    load(&mut fleet, &[0, 1, 2, 3, 4, 5], 300, 20 * SECOND);
    let share = (net_tokens(&fleet) - before) / (20_000.0 * 20.0);
    assert_eq!(fleet.ledger.violations, Vec::<String>::new());
    assert!(share > 0.97, "{share}");
}
