//! Single cases: a lost lease in a batch, an outage of the table, a raised fence, invalid declared
//! groups, the rate limit of the weight store, and the retry of a failed read.

mod common;

use std::time::Duration;

use common::{host, ms};
use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire::{EngineState, Layers};
use dragonflyrill_orders::{
    group::{self, CallError, Group, GroupConfig, GroupSpec, RawGroup, RawRange},
    lease::{Action, Fence, LeaseConfig, LeaseName, LeaseRow, Leases},
};
use dragonflyrill_store::{
    error::PlatformError,
    table::{Op, Txn, memory::MemoryTable},
};

const TERM: Duration = Duration::from_secs(9);

fn leases(names: &[LeaseName]) -> Leases {
    let mut leases = Leases::new(LeaseConfig::new(host("a"), TERM, ms(1000), 1));
    for name in names {
        leases.request(Duration::ZERO, name);
    }
    leases
}

fn names(count: u32) -> Vec<LeaseName> {
    let names = (0..count).map(|i| format!("orders/m{i}/d"));
    names
        .map(|name| LeaseName::try_from(name.as_str()).unwrap())
        .collect()
}

/// Runs until `end`, with the table or, if `None`, without it. Returns the number of table calls
/// and the other actions.
fn run(
    leases: &mut Leases,
    mut table: Option<&mut MemoryTable>,
    now: &mut Duration,
    end: Duration,
) -> (u32, Vec<Action>) {
    let (mut calls, mut other_actions) = (0, Vec::new());
    while *now < end {
        *now += ms(100);
        let mut actions = Vec::new();
        leases.tick(*now, &mut actions);
        while let Some(action) = actions.pop() {
            let Action::CallTable { id, call } = action else {
                other_actions.push(action);
                continue;
            };
            calls += 1;
            let unavailable = PlatformError::Unknown("unavailable".to_owned());
            let result = table
                .as_mut()
                .map(|table| table.call(&call))
                .ok_or(unavailable);
            leases.handle_table_result(*now, id, result, &mut actions);
        }
    }
    (calls, other_actions)
}

#[test]
fn one_lost_lease_does_not_lose_the_others_of_its_batch() {
    let names = names(10);
    let (mut leases, mut table, mut now) = (leases(&names), MemoryTable::default(), ms(0));
    run(&mut leases, Some(&mut table), &mut now, ms(20_000));
    let other = LeaseRow {
        holder: host("b"),
        fence: 7,
        term_ms: 9000,
        write_id: "b/1/1".to_owned(),
    };
    let put = Op::Put {
        key: names[3].key(),
        value: other.encode(),
    };
    table.txn(&Txn::unconditional(vec![put]));
    let (_, actions) = run(&mut leases, Some(&mut table), &mut now, ms(25_000));
    assert_eq!(actions, [Action::Lost(names[3].clone())]);
    let held = names.iter().filter(|n| leases.held_fence(now, n).is_some());
    assert_eq!(held.count(), 9);
}

#[test]
fn an_outage_ends_the_lease_after_its_term_and_calls_stay_rare() {
    let names = names(1);
    let (mut leases, mut table, mut now) = (leases(&names), MemoryTable::default(), ms(0));
    run(&mut leases, Some(&mut table), &mut now, ms(20_000));
    let (calls, actions) = run(&mut leases, None, &mut now, ms(620_000));
    assert_eq!(actions, [Action::Lost(names[0].clone())]);
    assert!(calls < 600, "{calls} calls in 600 s");
    let (_, actions) = run(&mut leases, Some(&mut table), &mut now, ms(630_000));
    assert_eq!(actions, [Action::Held(names[0].clone(), Fence(2))]);
}

#[test]
fn a_raised_fence_is_above_the_one_seen() {
    let names = names(1);
    let (mut leases, mut table, mut now) = (leases(&names), MemoryTable::default(), ms(0));
    run(&mut leases, Some(&mut table), &mut now, ms(20_000));
    leases.raise_fence(now, &names[0], Fence(41));
    let (_, actions) = run(&mut leases, Some(&mut table), &mut now, ms(21_000));
    assert_eq!(actions, [Action::Held(names[0].clone(), Fence(42))]);
    assert!(!leases.check(now, &names[0], Fence(1)));
}

fn raw() -> RawGroup {
    let range = |first, end| RawRange {
        first,
        end,
        minimum: 1,
    };
    RawGroup {
        model: "m".to_owned(),
        data_centre: "d".to_owned(),
        version: "1".to_owned(),
        layers: 20,
        ranges: vec![range(0, 10), range(10, 20)],
        spares: 1,
        endpoints: ["e0", "e1", "e2"].map(str::to_owned).to_vec(),
        loads_at_once: 2,
        layers_per_second: 10,
    }
}

#[test]
fn an_invalid_group_is_rejected_with_its_invalid_key() {
    type Invalidate = fn(&mut RawGroup);
    let invalid: [(&str, Invalidate); 8] = [
        ("model", |raw| raw.model = "No".to_owned()),
        ("version", |raw| raw.version.clear()),
        ("ranges", |raw| raw.ranges[1].first = 11),
        ("ranges", |raw| raw.ranges[1].end = 19),
        ("ranges", |raw| raw.ranges[0].minimum = 0),
        ("endpoints", |raw| raw.spares = 2),
        ("endpoints", |raw| raw.endpoints[1] = "e0".to_owned()),
        ("loads_at_once", |raw| raw.loads_at_once = 0),
    ];
    assert!(GroupSpec::try_from(raw()).is_ok());
    for (key, invalidate) in invalid {
        let mut raw = raw();
        invalidate(&mut raw);
        assert_eq!(GroupSpec::try_from(raw).unwrap_err().key, key);
    }
}

/// Returns a group whose endpoints all hold another model, after one read of each, and the actions
/// that followed.
fn empty_group() -> (Group, Vec<group::Action>) {
    let mut group = Group::new(GroupConfig::default(), GroupSpec::try_from(raw()).unwrap());
    let mut reads = Vec::new();
    group.lease_held(ms(0), Fence(1), &mut reads);
    group.tick(ms(2000), &mut reads);
    let mut actions = Vec::new();
    for read in reads {
        let group::Action::ReadState { call, endpoint } = read else {
            panic!("expected only reads while all states are unknown: {read:?}");
        };
        let state = EngineState {
            endpoint: endpoint.to_string(),
            incarnation: 1,
            fence: 0,
            model: "other".to_owned(),
            version: "1".to_owned(),
            layers: Layers { first: 0, end: 1 },
            loading: false,
            leaving: false,
        };
        group.handle_answer(ms(2000), &endpoint, call, Ok(state), &mut actions);
    }
    group.tick(ms(2000), &mut actions);
    (group, actions)
}

#[test]
fn orders_stay_within_the_weight_stores_rate() {
    let (mut group, mut actions) = empty_group();
    let orders = |actions: &[group::Action]| {
        let order = |a: &&group::Action| matches!(a, group::Action::Order { .. });
        actions.iter().filter(order).count()
    };
    assert_eq!(orders(&actions), 1);
    // At ten layers per second, the budget covers ten layers after one second.
    group.tick(ms(2900), &mut actions);
    assert_eq!(orders(&actions), 1);
    group.tick(ms(3000), &mut actions);
    assert_eq!(orders(&actions), 2);
}

#[test]
fn a_failed_read_is_not_retried_before_the_read_interval() {
    let (mut group, _) = empty_group();
    let mut actions = Vec::new();
    group.tick(ms(3000), &mut actions);
    let read = |a: &group::Action| match a {
        group::Action::ReadState { call, endpoint } => Some((*call, endpoint.clone())),
        _ => None,
    };
    let (call, endpoint): (_, EndpointId) = actions.iter().find_map(read).unwrap();
    let mut actions = Vec::new();
    group.handle_answer(
        ms(3000),
        &endpoint,
        call,
        Err(CallError::NotSent),
        &mut actions,
    );
    group.tick(ms(3000), &mut actions);
    assert_eq!(actions, []);
}
