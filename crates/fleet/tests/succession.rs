//! A new engine takes what the one that it stands for gives up.
//!
//! With engines replaced one by one, the new one first, each was given what helped most when it joined.
//! The layers of the one that left a second later were then missing, and engines that had just loaded
//! moved to close the gap: a tenth of the requests were refused, with all engines well.

mod common;

use std::{rc::Rc, time::Duration};

use common::{endpoint, ms};
use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint},
    layers::{self, LayerRange},
    placement::{
        Placement,
        knowledge::{Knowledge, Told},
        planner::{Engines, Planner},
        succession::Successions,
    },
};

const LAYERS: u32 = 80;

/// What an engine says that holds nothing.
const NOTHING: Told = Told {
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

fn leaving(id: &str, kind: &str, first: u32, end: u32) -> Rc<Endpoint> {
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

/// What follows for new engines.
#[derive(Debug, Default, PartialEq)]
struct Follows {
    successors: Vec<Placement>,
    /// They are not planned with.
    waiting: Vec<Rc<str>>,
}

/// Plans for new engines that were asked, beside those that serve and those that leave.
fn plan(
    successions: &mut Successions,
    new: &[Rc<Endpoint>],
    serving: &[Rc<Endpoint>],
    leaving: &[Rc<Endpoint>],
    now: Duration,
) -> Follows {
    let mut known = Knowledge::default();
    for endpoint in new {
        known.empty_told(&endpoint.id, Some(NOTHING), now);
    }
    let staying: Vec<Rc<Endpoint>> = new.iter().chain(serving).cloned().collect();
    let directory = Directory::default();
    let engines = Engines {
        staying: &staying,
        leaving,
        known: &known,
        directory: &directory,
    };
    let succession = successions.plan(LAYERS, &engines, now);
    let planned = |id: &Rc<str>| succession.candidates.iter().any(|c| c.id == *id);
    assert!(!succession.waiting.iter().any(planned));
    Follows {
        successors: succession.successors,
        waiting: succession.waiting,
    }
}

fn successor(id: &str, first: u32, end: u32) -> Placement {
    Placement {
        id: id.into(),
        layers: range(first, end),
    }
}

#[test]
fn a_new_engine_waits_for_one_of_its_kind_to_leave_and_takes_its_layers() {
    let mut successions = Successions::default();
    let (new, serving) = ([empty("n", "l40s")], serving());
    let waits = plan(&mut successions, &new, &serving, &[], ms(0));
    assert_eq!(
        (waits.successors.len(), waits.waiting),
        (0, vec!["n".into()])
    );
    let left = [leaving("s3", "l40s", 60, 80)];
    let takes = plan(&mut successions, &new, &serving[..2], &left, ms(1100));
    assert_eq!(takes.successors, [successor("n", 60, 80)]);
    assert!(takes.waiting.is_empty());
}

#[test]
fn nobody_waits_for_longer_than_a_moment() {
    let mut successions = Successions::default();
    let (new, serving) = ([empty("n", "l40s")], serving());
    plan(&mut successions, &new, &serving, &[], ms(0));
    let later = plan(&mut successions, &new, &serving, &[], ms(1800));
    assert_eq!(later, Follows::default(), "it is placed as any other");
}

#[test]
fn nobody_waits_where_layers_are_missing() {
    let mut successions = Successions::default();
    let (new, serving) = ([empty("n", "l40s")], serving());
    let gap = plan(&mut successions, &new, &serving[1..], &[], ms(0));
    assert_eq!(gap, Follows::default());
}

#[test]
fn nobody_waits_for_another_kind_or_in_another_data_centre() {
    let mut successions = Successions::default();
    let other_kind = plan(
        &mut successions,
        &[empty("n", "l4")],
        &serving(),
        &[],
        ms(0),
    );
    assert_eq!(other_kind, Follows::default());
    let elsewhere = Rc::new(Endpoint {
        data_centre: "b".into(),
        ..(*empty("m", "l40s")).clone()
    });
    let elsewhere = plan(&mut successions, &[elsewhere], &serving(), &[], ms(0));
    assert_eq!(elsewhere, Follows::default());
    let left = Rc::new(Endpoint {
        data_centre: "b".into(),
        ..(*leaving("s2", "l40s", 41, 60)).clone()
    });
    let from_elsewhere = plan(&mut successions, &[empty("n", "l40s")], &[], &[left], ms(0));
    assert_eq!(from_elsewhere, Follows::default());
    let left = [leaving("s1", "a100", 0, 41)];
    let new = [empty("n", "l40s")];
    let not_its = plan(&mut successions, &new, &serving()[1..], &left, ms(0));
    assert_eq!(
        not_its,
        Follows::default(),
        "the gap is filled by whoever fits"
    );
}

#[test]
fn each_engine_that_leaves_has_one_successor() {
    let mut successions = Successions::default();
    let left = [leaving("s2", "l40s", 41, 60), leaving("s3", "l40s", 60, 80)];
    let new = [
        empty("n1", "l40s"),
        empty("n2", "l40s"),
        empty("n3", "l40s"),
    ];
    let serving = serving();
    let first = plan(&mut successions, &new, &serving[..1], &left, ms(0));
    assert_eq!(
        first.successors,
        [successor("n1", 41, 60), successor("n2", 60, 80)]
    );
    // The first has its order; the others are asked for once more.
    let loading = [serving[0].clone(), engine("n1", "l40s", 41, 60)];
    let again = plan(&mut successions, &new[1..], &loading, &left, ms(100));
    assert_eq!(again.successors, [successor("n2", 60, 80)]);
    // A successor that is gone leaves its place to another.
    let third = plan(&mut successions, &new[2..], &loading, &left, ms(200));
    assert_eq!(third.successors, [successor("n3", 60, 80)]);
}

#[test]
fn an_engine_that_left_and_is_listed_once_more_has_no_second_successor() {
    let mut successions = Successions::default();
    let left = [leaving("s3", "l40s", 60, 80)];
    let serving = serving();
    let first = [empty("n1", "l40s")];
    plan(&mut successions, &first, &serving[..2], &left, ms(0));
    let loading = [
        serving[0].clone(),
        serving[1].clone(),
        engine("n1", "l40s", 60, 80),
    ];
    plan(&mut successions, &[], &loading, &[], ms(3000));
    // Its last entry was on its way for long.
    let second = [empty("n2", "l40s")];
    let again = plan(&mut successions, &second, &loading, &left, ms(4000));
    assert_eq!(again.successors, []);
}

#[test]
fn an_engine_that_joins_after_one_of_its_kind_is_lost_does_not_wait() {
    let mut successions = Successions::default();
    let serving = [serving(), vec![engine("s4", "l40s", 41, 60)]].concat();
    plan(&mut successions, &[], &serving, &[], ms(0));
    let new = [empty("n1", "l40s"), empty("n2", "l40s")];
    let joined = plan(&mut successions, &new, &serving[..3], &[], ms(1000));
    assert_eq!(joined.waiting, ["n2".into()], "one stands for what is lost");
    let again = plan(&mut successions, &new, &serving[..3], &[], ms(1100));
    assert_eq!(again, joined, "and the same one");
    let late = plan(&mut successions, &new[1..], &serving, &[], ms(40_000));
    assert_eq!(late, Follows::default());
}

#[test]
fn an_engine_that_joins_after_another_kind_is_lost_does_not_wait_either() {
    let mut successions = Successions::default();
    let serving = [serving(), vec![engine("s4", "a100", 0, 41)]].concat();
    plan(&mut successions, &[], &serving, &[], ms(0));
    let new = [empty("n1", "l40s")];
    let joined = plan(&mut successions, &new, &serving[..3], &[], ms(1000));
    assert_eq!(joined, Follows::default());
}

#[test]
fn an_engine_that_is_back_is_not_missed() {
    let mut successions = Successions::default();
    let serving = [serving(), vec![engine("s4", "l40s", 41, 60)]].concat();
    plan(&mut successions, &[], &serving, &[], ms(0));
    plan(&mut successions, &[], &serving[..3], &[], ms(1000));
    plan(&mut successions, &[], &serving, &[], ms(2000));
    let new = [empty("n1", "l40s")];
    let follows = plan(&mut successions, &new, &serving, &[], ms(3000));
    assert_eq!(follows.waiting, ["n1".into()]);
}

#[test]
fn a_host_that_watched_knows_what_is_lost_when_it_gives_the_orders() {
    let mut successions = Successions::default();
    let known = Knowledge::default();
    let directory = Directory::default();
    let all = [serving(), vec![engine("s4", "l40s", 41, 60)]].concat();
    for staying in [&all[..], &all[..3]] {
        let engines = Engines {
            staying,
            leaving: &[],
            known: &known,
            directory: &directory,
        };
        successions.watch(&engines, ms(0));
    }
    let new = [empty("n1", "l40s")];
    let follows = plan(&mut successions, &new, &all[..3], &[], ms(1000));
    assert_eq!(follows, Follows::default());
}

#[test]
fn an_engine_that_has_said_that_it_leaves_is_not_missed() {
    let mut successions = Successions::default();
    let left = [leaving("s3", "l40s", 60, 80)];
    let serving = [serving(), vec![engine("s4", "l40s", 60, 80)]].concat();
    plan(&mut successions, &[], &serving, &[], ms(0));
    let rest: Vec<Rc<Endpoint>> = serving.iter().filter(|e| *e.id != *"s3").cloned().collect();
    plan(&mut successions, &[], &rest, &left, ms(1000));
    let next = [empty("n1", "l40s")];
    let follows = plan(&mut successions, &next, &rest, &[], ms(4000));
    assert_eq!(follows.waiting, ["n1".into()]);
}

/// A host that took over the orders just then did not know of the loss, had the new engine wait, and
/// moved two fast engines meanwhile.
#[test]
fn nothing_moves_while_an_engine_waits() {
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
        let mut known = Knowledge::default();
        for endpoint in new {
            known.empty_told(&endpoint.id, Some(NOTHING), now);
        }
        let staying: Vec<Rc<Endpoint>> = serving.iter().chain(new).cloned().collect();
        let engines = Engines {
            staying: &staying,
            leaving: &[],
            known: &known,
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
