//! Exchange of endpoint signs and load reports among the hosts of one data centre.

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_membership::{
    endpoints::{Action, DrainingEndpoints},
    members::Member,
    reports::{self, Load, LoadReports},
};
use dragonflyrill_protocol::{
    HostId,
    membership::{EndpointNews, Sign, SignKind, State},
};
use fleet::{addr, data_centre, host, host_id, ms};

fn endpoint(n: usize) -> EndpointId {
    format!("engine-{n:04}").as_str().try_into().unwrap()
}

fn member(n: usize) -> Member {
    Member {
        host: host(n, 1),
        addr: addr(n),
        data_centre: data_centre(0),
        state: State::Alive,
    }
}

fn hosts(n: usize) -> Vec<DrainingEndpoints> {
    let hosts = (0..n).map(|me| {
        let mut endpoints = DrainingEndpoints::new(host_id(me), data_centre(0));
        endpoints.update_view(ms(0), (0..n).map(member), &mut Vec::new());
        endpoints
    });
    hosts.collect()
}

fn sign(incarnation: u64, ttl_ms: u32) -> Sign {
    Sign {
        endpoint: endpoint(1),
        incarnation,
        kind: SignKind::Refusal,
        ttl_ms,
    }
}

fn sent(actions: &[Action]) -> Vec<(HostId, Vec<Sign>)> {
    let sends = actions.iter().filter_map(|a| match a {
        Action::Send {
            to,
            message: EndpointNews::Signs(signs),
            ..
        } => Some((to.clone(), signs.clone())),
        _ => None,
    });
    sends.collect()
}

#[test]
fn an_observed_refusal_is_sent_to_all_others_at_once_and_twice_more() {
    let mut host = hosts(4).remove(0);
    let mut actions = Vec::new();
    host.observe_sign(ms(0), &sign(3, 30_000), &mut actions);
    assert_eq!(sent(&actions).len(), 3);
    for at in [400, 1000] {
        actions.clear();
        assert_eq!(host.next_tick(), Some(ms(at)));
        host.tick(ms(at), &mut actions);
        assert_eq!(sent(&actions).len(), 3, "at {at}");
    }
    actions.clear();
    host.observe_sign(ms(1100), &sign(3, 30_000), &mut actions);
    assert_eq!(actions, [], "nothing new to send");
}

#[test]
fn all_hosts_know_within_two_seconds_though_two_of_three_messages_are_lost() {
    let mut hosts = hosts(4);
    let mut actions = Vec::new();
    hosts[0].observe_sign(ms(0), &sign(3, 30_000), &mut actions);
    // The first two of the three sends are lost for all receivers.
    hosts[0].tick(ms(400), &mut actions);
    actions.clear();
    hosts[0].tick(ms(1000), &mut actions);
    for (to, signs) in sent(&actions) {
        let n = (0..4).find(|n| host_id(*n) == to).unwrap();
        hosts[n].receive(ms(1005), &signs, &mut Vec::new());
    }
    assert!(hosts.iter().all(|h| h.is_draining(&endpoint(1), 3)));
}

#[test]
fn a_later_incarnation_serves_and_a_late_sign_does_not_drain_it() {
    let mut host = hosts(2).remove(0);
    let mut actions = Vec::new();
    host.observe_sign(ms(0), &sign(3, 30_000), &mut actions);
    assert!(host.is_draining(&endpoint(1), 3));
    assert!(!host.is_draining(&endpoint(1), 4));
    host.mark_serving(&endpoint(1), 4, &mut actions);
    host.receive(ms(10), &[sign(3, 30_000)], &mut actions);
    assert!(!host.is_draining(&endpoint(1), 4));
}

#[test]
fn a_sign_expires_at_the_same_time_where_it_was_received_late() {
    let mut hosts = hosts(2);
    let mut actions = Vec::new();
    hosts[0].observe_sign(ms(0), &sign(0, 2_000), &mut actions);
    actions.clear();
    hosts[0].tick(ms(1000), &mut actions);
    let (_, signs) = sent(&actions).remove(0);
    hosts[1].receive(ms(1000), &signs, &mut actions);
    for host in &mut hosts {
        host.tick(ms(1_999), &mut actions);
        assert!(host.is_draining(&endpoint(1), 0));
        host.tick(ms(2_000), &mut actions);
        assert!(!host.is_draining(&endpoint(1), 0));
    }
}

#[test]
fn a_host_that_joins_gets_the_signs() {
    let mut host = hosts(2).remove(0);
    let mut actions = Vec::new();
    host.observe_sign(ms(0), &sign(3, 30_000), &mut actions);
    actions.clear();
    host.update_view(ms(100), (0..3).map(member), &mut actions);
    let received = sent(&actions);
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].0, host_id(2));
    assert_eq!(received[0].1[0].ttl_ms, 29_900);
}

#[test]
fn each_endpoint_is_polled_by_one_host_and_the_load_is_even() {
    let live: Vec<HostId> = (0..14).map(host_id).collect();
    let mut polled: BTreeMap<&HostId, usize> = BTreeMap::new();
    for n in 0..480 {
        let polling_host = reports::polling_host(&endpoint(n), live.iter()).unwrap();
        *polled.entry(polling_host).or_default() += 1;
    }
    assert_eq!(polled.len(), 14);
    let max_polled = polled.values().max().unwrap();
    assert!(*max_polled <= 60, "one host polls {max_polled}");
}

#[test]
fn when_a_host_dies_only_its_endpoints_move_to_other_hosts() {
    let live: Vec<HostId> = (0..14).map(host_id).collect();
    for n in 0..480 {
        let before = reports::polling_host(&endpoint(n), live.iter()).unwrap();
        let after = reports::polling_host(&endpoint(n), live[1..].iter()).unwrap();
        assert!(before == after || *before == live[0]);
    }
}

#[test]
fn shared_loads_carry_their_age_and_older_ones_do_not_replace_newer() {
    let mut polling = LoadReports::default();
    let mut other = LoadReports::default();
    let load = |running, at| Load {
        running,
        waiting: 0,
        at,
    };
    polling.record_polled(&endpoint(1), load(5, ms(1_000)));
    let Some(EndpointNews::Reports(message)) = polling.share(ms(1_500)) else {
        panic!("a share is due");
    };
    other.record_polled(&endpoint(1), load(9, ms(1_200)));
    other.receive(ms(1_500), &message);
    assert_eq!(other.load(&endpoint(1)), Some(load(9, ms(1_200))));
    let mut third = LoadReports::default();
    third.receive(ms(1_500), &message);
    assert_eq!(third.load(&endpoint(1)), Some(load(5, ms(1_000))));
}

#[test]
fn an_unchanged_load_is_shared_only_periodically() {
    let mut reports = LoadReports::default();
    let mut shared = 0;
    for round in 0..10 {
        let now = reports::SHARE_INTERVAL * round;
        let load = Load {
            running: 5,
            waiting: 0,
            at: now,
        };
        reports.record_polled(&endpoint(1), load);
        shared += usize::from(reports.share(now + Duration::from_millis(1)).is_some());
    }
    assert_eq!(shared, 3);
}
