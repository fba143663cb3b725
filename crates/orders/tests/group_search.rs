//! Searches all schedules, up to a depth, of two hosts that send orders to one group. They guard
//! against orders that leave a range with too few endpoints, and against a final state that isn't
//! the declared one. Causes are lost and late orders, a previous holder that doesn't know that it
//! lost the lease, crashes, and engines that don't check fences.
//!
//! The lease is assumed to behave as the lease search verifies: one host passes the check at a
//! time, and each new holder has a higher fence. Except where late orders are tested, an order is
//! in flight for at most the configured flight time.

mod common;

use common::{
    group::{
        Event, GroupSimulation, Message,
        setup::{ROLLOUT, ROLLOUT_SPARE, SPARE, Setup, setup},
    },
    ms,
    search::{Simulation, assert_invariants, run_schedule},
};
use proptest::{collection::vec, prelude::*};

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn long_schedules_keep_ranges_served_and_end_as_declared(
        choices in vec(any::<u16>(), 150),
        checks_fence: bool,
        late_orders: bool,
        two_each: bool,
    ) {
        let setup = Setup {
            checks_fence,
            late_orders,
            faults: 6,
            takeovers: 3,
            crashes: 1,
            ..setup(if two_each { ROLLOUT_SPARE } else { SPARE })
        };
        prop_assert_eq!(run_schedule(GroupSimulation::new(&setup), &choices), Ok(()));
    }
}

#[test]
fn rollout_keeps_each_range_served_under_takeover_and_lost_orders() {
    let setup = setup(ROLLOUT);
    assert_invariants("orders, rollout", GroupSimulation::new(&setup), 8);
}

#[test]
fn rollout_keeps_each_range_served_when_engines_ignore_fences() {
    let setup = Setup {
        checks_fence: false,
        ..setup(ROLLOUT)
    };
    assert_invariants(
        "orders, rollout, no fence check",
        GroupSimulation::new(&setup),
        8,
    );
}

#[test]
fn late_orders_end_in_the_declared_state_when_engines_ignore_fences() {
    let setup = Setup {
        checks_fence: false,
        late_orders: true,
        ..setup(SPARE)
    };
    assert_invariants(
        "orders, late, no fence check",
        GroupSimulation::new(&setup),
        8,
    );
}

#[test]
fn late_orders_end_in_the_declared_state_when_engines_check_fences() {
    let setup = Setup {
        late_orders: true,
        ..setup(SPARE)
    };
    assert_invariants("orders, late", GroupSimulation::new(&setup), 8);
}

#[test]
fn an_unserved_range_is_restored_after_any_crash() {
    let setup = Setup {
        crashes: 1,
        faults: 0,
        engines: &[("2", 0, 1), ("2", 1, 2), ("2", 1, 2)],
        ..setup(SPARE)
    };
    assert_invariants("orders, crash", GroupSimulation::new(&setup), 8);
}

#[test]
fn a_crash_during_a_drain_keeps_the_endpoint_at_its_range() {
    let setup = Setup {
        crashes: 1,
        faults: 0,
        takeovers: 0,
        ..setup(ROLLOUT)
    };
    assert_invariants("orders, rollout, crash", GroupSimulation::new(&setup), 10);
}

#[test]
fn a_takeover_while_an_order_is_in_flight_keeps_its_range_served() {
    let setup = Setup {
        faults: 0,
        checks_fence: false,
        max_flight_time: 4,
        ..setup(ROLLOUT)
    };
    assert_invariants(
        "orders, rollout, takeover",
        GroupSimulation::new(&setup),
        11,
    );
}

#[test]
fn an_order_with_an_unknown_result_keeps_its_range_served() {
    let setup = Setup {
        takeovers: 0,
        max_flight_time: 6,
        ..setup(ROLLOUT)
    };
    assert_invariants(
        "orders, rollout, unknown result",
        GroupSimulation::new(&setup),
        11,
    );
}

#[test]
fn no_order_overtakes_another_when_the_declaration_changes() {
    for checks_fence in [true, false] {
        let setup = Setup {
            checks_fence,
            takeovers: 0,
            declarations: 1,
            max_flight_time: 6,
            ..setup(ROLLOUT)
        };
        assert_invariants(
            "orders, changed declaration",
            GroupSimulation::new(&setup),
            8,
        );
    }
}

#[test]
fn late_orders_under_the_same_fence_end_in_the_declared_state() {
    for checks_fence in [true, false] {
        let setup = Setup {
            checks_fence,
            takeovers: 0,
            declarations: 1,
            late_orders: true,
            ..setup(ROLLOUT)
        };
        assert_invariants(
            "orders, late, changed declaration",
            GroupSimulation::new(&setup),
            9,
        );
    }
}

/// Runs until an order to `endpoint`, or to any endpoint if `None`, is in flight. Returns the index
/// of its call, which is at least `after`.
fn run_until_ordered(
    simulation: &mut GroupSimulation,
    endpoint: Option<usize>,
    after: usize,
) -> usize {
    for _ in 0..50 {
        for index in 0..simulation.engines.len() {
            simulation.apply(&Event::EndSessions(index)).unwrap();
        }
        let position = simulation
            .calls
            .iter()
            .enumerate()
            .skip(after)
            .position(|(_, call)| {
                let order = matches!(call.message, Message::Order(_));
                order && endpoint.is_none_or(|e| call.endpoint == e)
            });
        if let Some(index) = position {
            return index + after;
        }
        while simulation.calls.len() > after {
            simulation.apply(&Event::Serve(after)).unwrap();
        }
        simulation.apply(&Event::Step).unwrap();
    }
    panic!("no order was sent");
}

#[test]
fn an_older_order_that_overtook_a_newer_one_under_the_same_fence_is_corrected() {
    for checks_fence in [true, false] {
        let setup = Setup {
            checks_fence,
            takeovers: 0,
            declarations: 1,
            late_orders: true,
            ..setup(ROLLOUT)
        };
        let mut simulation = GroupSimulation::new(&setup);
        let older = run_until_ordered(&mut simulation, None, 0);
        let endpoint = simulation.calls[older].endpoint;
        simulation.apply(&Event::TimeOut(older)).unwrap();
        simulation.apply(&Event::Declare).unwrap();
        let newer = run_until_ordered(&mut simulation, Some(endpoint), older + 1);
        simulation.apply(&Event::Serve(newer)).unwrap();
        let held = |simulation: &GroupSimulation| {
            simulation.engines[endpoint]
                .1
                .state(ms(simulation.time))
                .version
        };
        assert_eq!(held(&simulation), "3", "the current declaration");
        simulation.apply(&Event::Serve(older)).unwrap();
        assert_eq!(
            held(&simulation),
            "2",
            "the engine accepts an order with the same fence"
        );
        assert_eq!(simulation.check_leaf(), Ok(()));
        simulation.run_without_faults(200).unwrap();
        assert_eq!(held(&simulation), "3");
    }
}
