//! Tests of orders to an engine, with and without a check of the fencing number.

mod common;

use common::{driver, layers, refusal, step};
use dragonflyrill_engines::wire::{self, StepRefusal};
use dragonflyrill_standins::engine::{EngineConfig, core::Engine, outcome::Refusal};

fn engine(checks_fence: bool) -> Engine {
    let base = EngineConfig::new("e", common::MODEL, 8);
    let cfg = EngineConfig {
        checks_fence,
        load_ms_per_layer: 10,
        layers: layers(0, 4),
        ..base
    };
    Engine::new(cfg, 1)
}

fn order(fence: u64, layers: wire::Layers) -> wire::Order {
    wire::Order {
        fence,
        model: common::MODEL.to_owned(),
        version: "1".to_owned(),
        layers,
    }
}

#[test]
fn an_engine_that_checks_fencing_refuses_an_outdated_number() {
    let mut engine = engine(true);
    engine.order(0, &order(5, layers(0, 4))).expect("order");
    assert_eq!(
        engine.order(0, &order(4, layers(4, 8))),
        Err(Refusal::Stale)
    );
    let state = engine.state(0);
    assert_eq!((state.fence, state.layers), (5, layers(0, 4)));
}

#[test]
fn an_engine_that_does_not_check_fencing_accepts_an_outdated_number() {
    let mut engine = engine(false);
    engine.order(0, &order(5, layers(0, 4))).expect("order");
    let state = engine.order(0, &order(4, layers(4, 8))).expect("order");
    assert_eq!((state.fence, state.layers), (5, layers(4, 8)));
}

#[test]
fn loading_takes_time_for_each_new_layer() {
    let mut engine = engine(true);
    let state = engine.order(1000, &order(1, layers(2, 6))).expect("order");
    assert!(state.loading);
    let early = driver::run(&mut engine, 1019, step("r", layers(2, 6), 0, &[5]));
    assert_eq!(refusal(&early).0, StepRefusal::Layers);
    assert!(!engine.state(1020).loading);
    let late = driver::run(&mut engine, 1020, step("r", layers(2, 6), 0, &[5]));
    assert_eq!(common::outputs(&late).len(), 1);
}

#[test]
fn an_order_that_changes_nothing_keeps_the_sessions() {
    let mut engine = engine(true);
    driver::run(&mut engine, 0, step("r", layers(0, 4), 0, &[5]));
    let state = engine.order(0, &order(7, layers(0, 4))).expect("order");
    assert!(!state.loading);
    assert!(engine.export("r").is_some());
    engine.order(0, &order(8, layers(0, 5))).expect("order");
    assert!(engine.export("r").is_none());
}

#[test]
fn an_order_for_layers_the_model_does_not_have_is_refused() {
    let mut engine = engine(true);
    for bad in [layers(0, 9), layers(3, 3), layers(5, 4)] {
        assert_eq!(engine.order(0, &order(1, bad)), Err(Refusal::Layers));
    }
}
