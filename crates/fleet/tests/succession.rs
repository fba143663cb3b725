//! A new engine takes the layers of the draining engine that it replaces.
//!
//! Guards against gaps during a rolling replacement with the new engine first. If each new engine
//! gets the layers that help most when it joins, the layers of the one that drains a second later
//! are missing, and engines that have just loaded move to close the gap: a tenth of the requests
//! are refused, although all engines are healthy.

mod common;

use std::{rc::Rc, time::Duration};

use common::{endpoint, ms};
use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint},
    layers::{self, LayerRange},
    placement::{
        Placement,
        engine_states::{EngineStates, LoadReport},
        planner::{ListedEngines, Planner},
        replacement::Replacements,
    },
};

const LAYERS: u32 = 80;

/// The report of an empty engine.
const NOTHING: LoadReport = LoadReport {
    layers: None,
    busy: false,
    orders: 0,
};

fn range(first: u32, end: u32) -> LayerRange {
    LayerRange::new(first, end).expect("layers")
}

fn engine(id: &str, kind: &str, first: u32, end: u32) -> Rc<Endpoint> {
    Rc::new(endpoint(id, "a", kind, first, end))
}

fn empty(id: &str, kind: &str) -> Rc<Endpoint> {
    let layers = None;
    Rc::new(Endpoint {
        layers,
        ..(*engine(id, kind, 0, 1)).clone()
    })
}

fn draining(id: &str, kind: &str, first: u32, end: u32) -> Rc<Endpoint> {
    let draining = true;
    Rc::new(Endpoint {
        draining,
        ..(*engine(id, kind, first, end)).clone()
    })
}

/// Engines that hold all layers between them.
fn serving() -> Vec<Rc<Endpoint>> {
    vec![
        engine("s1", "a100", 0, 41),
        engine("s2", "l40s", 41, 60),
        engine("s3", "l40s", 60, 80),
    ]
}

/// The part of a plan that concerns new engines.
#[derive(Debug, Default, PartialEq)]
struct NewEngines {
    replacements: Vec<Placement>,
    /// These are not among the candidates of the plan.
    waiting: Vec<Rc<str>>,
}

/// Plans for new engines that were polled, beside those that serve and those that drain.
fn plan(
    replacements: &mut Replacements,
    new: &[Rc<Endpoint>],
    serving: &[Rc<Endpoint>],
    draining: &[Rc<Endpoint>],
    now: Duration,
) -> NewEngines {
    let mut states = EngineStates::default();
    for endpoint in new {
        states.record_empty_report(&endpoint.id, Some(NOTHING), now);
    }
    let staying: Vec<Rc<Endpoint>> = new.iter().chain(serving).cloned().collect();
    let directory = Directory::default();
    let engines = ListedEngines {
        staying: &staying,
        draining,
        states: &states,
        directory: &directory,
    };
    let replacement = replacements.plan(LAYERS, &engines, now);
    let planned = |id: &Rc<str>| replacement.candidates.iter().any(|c| c.id == *id);
    assert!(!replacement.waiting.iter().any(planned));
    NewEngines {
        replacements: replacement.replacements,
        waiting: replacement.waiting,
    }
}

fn placement(id: &str, first: u32, end: u32) -> Placement {
    Placement {
        id: id.into(),
        layers: range(first, end),
    }
}

#[test]
fn a_new_engine_waits_for_one_of_its_kind_to_drain_and_takes_its_layers() {
    let mut replacements = Replacements::default();
    let (new, serving) = ([empty("n", "l40s")], serving());
    let waits = plan(&mut replacements, &new, &serving, &[], ms(0));
    assert_eq!(
        (waits.replacements.len(), waits.waiting),
        (0, vec!["n".into()])
    );
    let drained = [draining("s3", "l40s", 60, 80)];
    let claims = plan(&mut replacements, &new, &serving[..2], &drained, ms(1100));
    assert_eq!(claims.replacements, [placement("n", 60, 80)]);
    assert!(claims.waiting.is_empty());
}

#[test]
fn the_wait_for_a_draining_engine_is_bounded() {
    let mut replacements = Replacements::default();
    let (new, serving) = ([empty("n", "l40s")], serving());
    plan(&mut replacements, &new, &serving, &[], ms(0));
    let later = plan(&mut replacements, &new, &serving, &[], ms(1800));
    assert_eq!(
        later,
        NewEngines::default(),
        "it is placed like any other engine"
    );
}

#[test]
fn no_engine_waits_where_layers_are_missing() {
    let mut replacements = Replacements::default();
    let (new, serving) = ([empty("n", "l40s")], serving());
    let gap = plan(&mut replacements, &new, &serving[1..], &[], ms(0));
    assert_eq!(gap, NewEngines::default());
}

#[test]
fn no_engine_waits_for_another_kind_or_another_data_centre() {
    let mut replacements = Replacements::default();
    let other_kind = plan(
        &mut replacements,
        &[empty("n", "l4")],
        &serving(),
        &[],
        ms(0),
    );
    assert_eq!(other_kind, NewEngines::default());
    let elsewhere = Rc::new(Endpoint {
        data_centre: "b".into(),
        ..(*empty("m", "l40s")).clone()
    });
    let elsewhere = plan(&mut replacements, &[elsewhere], &serving(), &[], ms(0));
    assert_eq!(elsewhere, NewEngines::default());
    let drained = Rc::new(Endpoint {
        data_centre: "b".into(),
        ..(*draining("s2", "l40s", 41, 60)).clone()
    });
    let from_elsewhere = plan(
        &mut replacements,
        &[empty("n", "l40s")],
        &[],
        &[drained],
        ms(0),
    );
    assert_eq!(from_elsewhere, NewEngines::default());
    let drained = [draining("s1", "a100", 0, 41)];
    let new = [empty("n", "l40s")];
    let not_its = plan(&mut replacements, &new, &serving()[1..], &drained, ms(0));
    assert_eq!(
        not_its,
        NewEngines::default(),
        "the gap is filled like any other"
    );
}

#[test]
fn each_draining_engine_has_one_replacement() {
    let mut replacements = Replacements::default();
    let drained = [
        draining("s2", "l40s", 41, 60),
        draining("s3", "l40s", 60, 80),
    ];
    let new = [
        empty("n1", "l40s"),
        empty("n2", "l40s"),
        empty("n3", "l40s"),
    ];
    let serving = serving();
    let first = plan(&mut replacements, &new, &serving[..1], &drained, ms(0));
    assert_eq!(
        first.replacements,
        [placement("n1", 41, 60), placement("n2", 60, 80)]
    );
    // The first has its order; the others are planned for again.
    let loading = [serving[0].clone(), engine("n1", "l40s", 41, 60)];
    let again = plan(&mut replacements, &new[1..], &loading, &drained, ms(100));
    assert_eq!(again.replacements, [placement("n2", 60, 80)]);
    // If a replacement is gone, another engine takes the layers.
    let third = plan(&mut replacements, &new[2..], &loading, &drained, ms(200));
    assert_eq!(third.replacements, [placement("n3", 60, 80)]);
}

#[test]
fn a_drained_engine_that_is_listed_once_more_has_no_second_replacement() {
    let mut replacements = Replacements::default();
    let drained = [draining("s3", "l40s", 60, 80)];
    let serving = serving();
    let first = [empty("n1", "l40s")];
    plan(&mut replacements, &first, &serving[..2], &drained, ms(0));
    let loading = [
        serving[0].clone(),
        serving[1].clone(),
        engine("n1", "l40s", 60, 80),
    ];
    plan(&mut replacements, &[], &loading, &[], ms(3000));
    // The last entry of the drained engine arrives late.
    let second = [empty("n2", "l40s")];
    let again = plan(&mut replacements, &second, &loading, &drained, ms(4000));
    assert_eq!(again.replacements, []);
}

#[test]
fn an_engine_that_joins_after_one_of_its_kind_is_lost_does_not_wait() {
    let mut replacements = Replacements::default();
    let serving = [serving(), vec![engine("s4", "l40s", 41, 60)]].concat();
    plan(&mut replacements, &[], &serving, &[], ms(0));
    let new = [empty("n1", "l40s"), empty("n2", "l40s")];
    let joined = plan(&mut replacements, &new, &serving[..3], &[], ms(1000));
    assert_eq!(
        joined.waiting,
        ["n2".into()],
        "one replaces the lost engine"
    );
    let again = plan(&mut replacements, &new, &serving[..3], &[], ms(1100));
    assert_eq!(again, joined, "the same engine as before");
    let late = plan(&mut replacements, &new[1..], &serving, &[], ms(40_000));
    assert_eq!(late, NewEngines::default());
}

#[test]
fn an_engine_that_joins_after_one_of_another_kind_is_lost_does_not_wait() {
    let mut replacements = Replacements::default();
    let serving = [serving(), vec![engine("s4", "a100", 0, 41)]].concat();
    plan(&mut replacements, &[], &serving, &[], ms(0));
    let new = [empty("n1", "l40s")];
    let joined = plan(&mut replacements, &new, &serving[..3], &[], ms(1000));
    assert_eq!(joined, NewEngines::default());
}

#[test]
fn an_engine_that_is_listed_again_is_not_replaced() {
    let mut replacements = Replacements::default();
    let serving = [serving(), vec![engine("s4", "l40s", 41, 60)]].concat();
    plan(&mut replacements, &[], &serving, &[], ms(0));
    plan(&mut replacements, &[], &serving[..3], &[], ms(1000));
    plan(&mut replacements, &[], &serving, &[], ms(2000));
    let new = [empty("n1", "l40s")];
    let planned = plan(&mut replacements, &new, &serving, &[], ms(3000));
    assert_eq!(planned.waiting, ["n1".into()]);
}

#[test]
fn a_host_that_observed_a_loss_plans_with_it_once_it_gives_the_orders() {
    let mut replacements = Replacements::default();
    let states = EngineStates::default();
    let directory = Directory::default();
    let all = [serving(), vec![engine("s4", "l40s", 41, 60)]].concat();
    for staying in [&all[..], &all[..3]] {
        let engines = ListedEngines {
            staying,
            draining: &[],
            states: &states,
            directory: &directory,
        };
        replacements.observe(&engines, ms(0));
    }
    let new = [empty("n1", "l40s")];
    let planned = plan(&mut replacements, &new, &all[..3], &[], ms(1000));
    assert_eq!(planned, NewEngines::default());
}

#[test]
fn an_engine_that_drained_does_not_count_as_vanished() {
    let mut replacements = Replacements::default();
    let drained = [draining("s3", "l40s", 60, 80)];
    let serving = [serving(), vec![engine("s4", "l40s", 60, 80)]].concat();
    plan(&mut replacements, &[], &serving, &[], ms(0));
    let rest: Vec<Rc<Endpoint>> = serving.iter().filter(|e| *e.id != *"s3").cloned().collect();
    plan(&mut replacements, &[], &rest, &drained, ms(1000));
    let next = [empty("n1", "l40s")];
    let planned = plan(&mut replacements, &next, &rest, &[], ms(4000));
    assert_eq!(planned.waiting, ["n1".into()]);
}

/// Guards against moves while an engine waits. A host that takes over the lease after a loss does
/// not know of the loss: it has the new engine wait, and must not move loaded engines meanwhile.
#[test]
fn no_layers_move_while_an_engine_waits() {
    let listed = |range: LayerRange, id: &str| engine(id, "l40s", range.first, range.end);
    let held = [
        (0, 20),
        (20, 40),
        (40, 60),
        (60, 80),
        (0, 20),
        (0, 20),
        (0, 20),
    ];
    let held = held.iter().enumerate();
    let serving: Vec<Rc<Endpoint>> = held
        .map(|(at, (first, end))| listed(range(*first, *end), &format!("s{at}")))
        .collect();
    let moves = |planner: &mut Planner, new: &[Rc<Endpoint>], now: Duration| {
        let mut states = EngineStates::default();
        for endpoint in new {
            states.record_empty_report(&endpoint.id, Some(NOTHING), now);
        }
        let staying: Vec<Rc<Endpoint>> = serving.iter().chain(new).cloned().collect();
        let engines = ListedEngines {
            staying: &staying,
            draining: &[],
            states: &states,
            directory: &Directory::default(),
        };
        let plan = planner.plan(&common::engine(), &engines, now);
        plan.placements.len()
    };
    let mut planner = Planner::default();
    moves(&mut planner, &[], ms(0));
    assert_ne!(
        moves(&mut planner, &[], ms(5000)),
        0,
        "a second cover is due"
    );
    let mut planner = Planner::default();
    moves(&mut planner, &[], ms(0));
    assert_eq!(moves(&mut planner, &[empty("n", "l40s")], ms(5000)), 0);
}

#[test]
fn ranges_hold_a_model_when_none_of_its_layers_is_left_out() {
    let whole = |ranges: &[(u32, u32)]| {
        let ranges = ranges.iter().map(|(first, end)| range(*first, *end));
        layers::cover_all_layers(LAYERS, ranges)
    };
    assert!(whole(&[(40, 80), (0, 50)]));
    assert!(!whole(&[(0, 40), (41, 80)]));
    assert!(!whole(&[(1, 80)]));
    assert!(!whole(&[(0, 79)]));
    assert!(!whole(&[]));
}
