//! No plan is made while the list of engines is still growing after a start, and no loaded layers
//! move while a list comes back.

mod common;

use std::{rc::Rc, time::Duration};

use common::{endpoint, engine, ms};
use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint},
    placement::{
        engine_states::EngineStates,
        planner::{ListedEngines, Planner},
    },
};

fn empty(id: &str) -> Rc<Endpoint> {
    let layers = None;
    Rc::new(Endpoint {
        layers,
        ..endpoint(id, "a", "l40s", 0, 1)
    })
}

fn settled(
    planner: &mut Planner,
    staying: &[Rc<Endpoint>],
    requests_waiting: bool,
    now: Duration,
) -> bool {
    let engines = ListedEngines {
        staying,
        draining: &[],
        states: &EngineStates::default(),
        directory: &Directory::default(),
    };
    planner.settled(&engines, requests_waiting, now)
}

#[test]
fn the_first_plan_waits_until_the_list_is_stable() {
    let mut planner = Planner::default();
    let all = [empty("e1"), empty("e2")];
    assert!(!settled(&mut planner, &[], false, ms(0)));
    assert!(!settled(&mut planner, &all[..1], false, ms(1000)));
    assert!(!settled(&mut planner, &all, false, ms(2000)));
    assert!(!settled(&mut planner, &all, false, ms(3400)));
    assert!(settled(&mut planner, &all, false, ms(3500)));
}

#[test]
fn an_unstable_list_is_planned_with_after_a_bounded_time_and_sooner_when_requests_wait() {
    for (requests_waiting, last) in [(false, 5500), (true, 1000)] {
        let mut planner = Planner::default();
        let mut listed = Vec::new();
        for step in 0..last / 100 {
            listed.push(empty(&format!("e{step}")));
            assert!(!settled(
                &mut planner,
                &listed,
                requests_waiting,
                ms(step * 100)
            ));
        }
        assert!(settled(&mut planner, &listed, requests_waiting, ms(last)));
    }
}

#[test]
fn a_list_with_engines_that_hold_layers_is_planned_with_at_once() {
    let held = [Rc::new(endpoint("e1", "a", "l40s", 0, 40)), empty("e2")];
    assert!(settled(&mut Planner::default(), &held, false, ms(0)));
}

/// Engines of which one chain holds all layers, and four hold the first 20: a second cover is due.
fn uneven() -> Vec<Rc<Endpoint>> {
    let held = [0, 20, 40, 60, 0, 0, 0];
    let one =
        |(at, first): (usize, &u32)| endpoint(&format!("e{at}"), "a", "l40s", *first, first + 20);
    held.iter().enumerate().map(one).map(Rc::new).collect()
}

/// The number of placements in the plan.
fn moves(
    planner: &mut Planner,
    staying: &[Rc<Endpoint>],
    directory: &Directory,
    now: Duration,
) -> usize {
    let engines = ListedEngines {
        staying,
        draining: &[],
        states: &EngineStates::default(),
        directory,
    };
    let plan = planner.plan(&engine(), &engines, now);
    plan.placements.len()
}

#[test]
fn no_layers_move_where_a_list_comes_back() {
    let mut planner = Planner::default();
    let (directory, engines) = (Directory::default(), uneven());
    assert_eq!(moves(&mut planner, &engines[..6], &directory, ms(0)), 0);
    assert_eq!(moves(&mut planner, &engines, &directory, ms(1000)), 0);
    assert_eq!(moves(&mut planner, &engines, &directory, ms(2400)), 0);
    assert_ne!(moves(&mut planner, &engines, &directory, ms(2500)), 0);
}

#[test]
fn no_layers_move_where_an_engine_is_unresponsive() {
    let mut planner = Planner::default();
    let (mut directory, engines) = (Directory::default(), uneven());
    let spare = endpoint("e7", "a", "l40s", 0, 20);
    directory.put(spare.clone(), ms(0));
    directory.record_unresponsive("e7", ms(0));
    let engines = [engines, vec![Rc::new(spare)]].concat();
    assert_eq!(moves(&mut planner, &engines, &directory, ms(0)), 0);
    assert_eq!(moves(&mut planner, &engines, &directory, ms(5000)), 0);
    directory.record_success("e7");
    assert_ne!(moves(&mut planner, &engines, &directory, ms(5100)), 0);
}

/// Observes the list in each of `rounds` rounds, and changes it in every tenth; returns how often the
/// list was collected.
fn observations(endpoints: usize, rounds: u64) -> u64 {
    let mut directory = Directory::default();
    let mut planner = Planner::default();
    for n in 0..endpoints {
        directory.put(endpoint(&format!("e{n}"), "a", "l40s", 0, 40), ms(0));
    }
    let mut observed = 0;
    for round in 0..rounds {
        if round % 10 == 0 {
            directory.put(endpoint(&format!("new{round}"), "a", "l40s", 0, 40), ms(0));
        }
        if !planner.is_observation_due(&directory) {
            continue;
        }
        observed += 1;
        let staying: Vec<Rc<Endpoint>> = directory.iter().cloned().collect();
        let engines = ListedEngines {
            staying: &staying,
            draining: &[],
            states: &EngineStates::default(),
            directory: &directory,
        };
        planner.observe(&engines, ms(100 * round));
    }
    observed
}

/// Guards against work of every host that grows with the endpoints of the fleet in each round.
#[test]
fn a_host_that_gives_no_orders_collects_the_engines_only_when_the_list_changes() {
    for endpoints in [50, 200, 800] {
        assert_eq!(observations(endpoints, 100), 10, "{endpoints} endpoints");
    }
}

#[test]
fn an_engine_that_becomes_unresponsive_or_answers_again_is_observed() {
    let mut directory = Directory::default();
    let mut planner = Planner::default();
    directory.put(endpoint("e0", "a", "l40s", 0, 40), ms(0));
    let mut observe = |directory: &Directory| {
        let due = planner.is_observation_due(directory);
        let staying: Vec<Rc<Endpoint>> = directory.iter().cloned().collect();
        let engines = ListedEngines {
            staying: &staying,
            draining: &[],
            states: &EngineStates::default(),
            directory,
        };
        planner.observe(&engines, ms(1000));
        due
    };
    assert!(observe(&directory));
    directory.record_failure("e0", ms(0));
    assert!(observe(&directory));
    assert!(!observe(&directory));
    directory.record_unresponsive("e0", ms(1));
    assert!(observe(&directory), "it was avoided before");
    directory.record_success("e0");
    assert!(observe(&directory));
}
