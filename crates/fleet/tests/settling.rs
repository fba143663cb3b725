//! Nothing is planned while a list of engines is only coming up.

mod common;

use std::{rc::Rc, time::Duration};

use common::{endpoint, ms};
use dragonflyrill_fleet::{
    endpoints::{Directory, Endpoint},
    placement::{
        knowledge::Knowledge,
        planner::{Engines, Planner},
    },
};

fn empty(id: &str) -> Rc<Endpoint> {
    let layers = None;
    Rc::new(Endpoint {
        layers,
        ..endpoint(id, "a", "l40s", 0, 1)
    })
}

fn settled(planner: &mut Planner, staying: &[Rc<Endpoint>], asked: bool, now: Duration) -> bool {
    let engines = Engines {
        staying,
        leaving: &[],
        known: &Knowledge::default(),
        directory: &Directory::default(),
    };
    planner.settled(&engines, asked, now)
}

#[test]
fn the_first_plan_waits_until_the_list_has_stood_still() {
    let mut planner = Planner::default();
    let all = [empty("e1"), empty("e2")];
    assert!(!settled(&mut planner, &[], false, ms(0)));
    assert!(!settled(&mut planner, &all[..1], false, ms(1000)));
    assert!(!settled(&mut planner, &all, false, ms(2000)));
    assert!(!settled(&mut planner, &all, false, ms(3400)));
    assert!(settled(&mut planner, &all, false, ms(3500)));
}

#[test]
fn a_list_that_never_stands_still_is_planned_with_in_the_end_and_sooner_when_requests_wait() {
    for (asked, last) in [(false, 5500), (true, 1000)] {
        let mut planner = Planner::default();
        let mut listed = Vec::new();
        for step in 0..last / 100 {
            listed.push(empty(&format!("e{step}")));
            assert!(!settled(&mut planner, &listed, asked, ms(step * 100)));
        }
        assert!(settled(&mut planner, &listed, asked, ms(last)));
    }
}

#[test]
fn a_list_with_engines_that_hold_layers_is_planned_with_at_once() {
    let held = [Rc::new(endpoint("e1", "a", "l40s", 0, 40)), empty("e2")];
    assert!(settled(&mut Planner::default(), &held, false, ms(0)));
}
