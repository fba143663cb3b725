//! Tests of the prefix cache of an engine and of the events that it publishes.

mod common;

use common::{driver, step};
use dragonflyrill_engines::wire;
use dragonflyrill_standins::engine::{EngineConfig, core::Engine};
use proptest::prelude::*;

const ALL: wire::Layers = wire::Layers { first: 0, end: 4 };
const BLOCK: usize = 32;

fn engine(prefix_blocks: usize, lag_ms: u64, loss: f64) -> Engine {
    let cfg = EngineConfig {
        prefix_blocks,
        cache_event_lag_ms: lag_ms,
        cache_event_loss: loss,
        layer_us: 100,
        prefill_factor: 0.5,
        ..EngineConfig::new("e", common::MODEL, 4)
    };
    Engine::new(cfg, 1)
}

/// Creates the first step of a request with a prompt of `positions` positions.
fn prompt(request: &str, prefix: &[u64], positions: usize) -> wire::Step {
    wire::Step {
        prefix: prefix.to_vec(),
        ..step(request, ALL, 0, &vec![5; positions])
    }
}

fn cached(result: &wire::StepResult) -> u32 {
    match result.outcome {
        wire::StepOutcome::Done { cached, .. } => cached,
        wire::StepOutcome::Refused { .. } => panic!("refused: {result:?}"),
    }
}

#[test]
fn cached_leading_blocks_cost_no_time_and_change_no_output() {
    let mut engine = engine(8, 0, 0.0);
    driver::enqueue(&mut engine, 0, prompt("a", &[1, 2], 2 * BLOCK));
    let cold = engine.begin(0).duration.expect("a batch");
    let first = engine.finish(0).remove(0).result;
    driver::enqueue(&mut engine, 0, prompt("b", &[1, 2], 2 * BLOCK));
    let warm = engine.begin(0).duration.expect("a batch");
    let second = engine.finish(0).remove(0).result;

    assert_eq!((cached(&first), cached(&second)), (0, 64));
    assert_eq!(common::outputs(&first), common::outputs(&second));
    assert_eq!(cold.as_micros(), 4 * 100 * (2 + 63) / 2);
    assert!(warm.is_zero());
}

#[test]
fn only_leading_complete_blocks_are_covered() {
    let mut engine = engine(8, 0, 0.0);
    driver::run(&mut engine, 0, prompt("a", &[1, 2, 3], 2 * BLOCK + 5));
    let rest = driver::run(&mut engine, 0, prompt("b", &[9, 2], 2 * BLOCK));
    assert_eq!(cached(&rest), 0);
    let part = driver::run(&mut engine, 0, prompt("c", &[1, 2, 3], 3 * BLOCK));
    assert_eq!(cached(&part), 64);
}

#[test]
fn a_later_step_of_a_prompt_is_covered_by_the_same_blocks() {
    let mut engine = engine(8, 0, 0.0);
    driver::run(&mut engine, 0, prompt("a", &[1, 2], 2 * BLOCK));
    driver::run(&mut engine, 0, prompt("b", &[1, 2], 40));
    let rest = wire::Step {
        start: 40,
        ..prompt("b", &[1, 2], 30)
    };
    assert_eq!(cached(&driver::run(&mut engine, 0, rest)), 24);
}

#[test]
fn the_least_recently_used_block_is_evicted_first() {
    let mut engine = engine(2, 0, 0.0);
    for (request, block) in [("a", 1), ("b", 2), ("c", 1), ("d", 3)] {
        driver::run(&mut engine, 0, prompt(request, &[block], BLOCK));
    }
    let events = engine.cache_events(0, 0);
    let changes: Vec<_> = events
        .events
        .iter()
        .map(|event| (event.block, event.stored))
        .collect();
    assert_eq!(changes, [(1, true), (2, true), (3, true), (2, false)]);
    assert_eq!(events.last, 4);
    assert!(engine.cache_events(0, 4).events.is_empty());
}

#[test]
fn events_are_published_after_their_delay() {
    let mut engine = engine(8, 50, 0.0);
    driver::run(&mut engine, 100, prompt("a", &[1], BLOCK));
    assert_eq!(
        engine.cache_events(149, 0),
        wire::CacheEvents {
            last: 0,
            events: Vec::new()
        }
    );
    assert_eq!(engine.cache_events(150, 0).events.len(), 1);
}

#[test]
fn lost_events_leave_gaps_in_the_sequence_numbers() {
    let mut engine = engine(1000, 0, 0.5);
    for block in 0..200 {
        driver::run(&mut engine, 0, prompt(&block.to_string(), &[block], BLOCK));
    }
    let events = engine.cache_events(0, 0).events;
    assert!(events.len() < 200 && !events.is_empty());
    assert!(events.is_sorted_by(|a, b| a.seq < b.seq));
    assert!(events.iter().all(|event| event.seq == event.block + 1));
}

#[test]
fn an_order_that_clears_the_cache_publishes_evictions_with_higher_sequence_numbers() {
    let mut engine = engine(8, 0, 0.0);
    driver::run(&mut engine, 0, prompt("a", &[1, 2], 2 * BLOCK));
    let last = engine.cache_events(0, 0).last;
    let order = wire::Order {
        fence: 1,
        model: common::MODEL.to_owned(),
        version: "2".to_owned(),
        layers: ALL,
    };
    engine.order(0, &order).expect("order");
    let events = engine.cache_events(0, last).events;
    let changes: Vec<_> = events
        .iter()
        .map(|event| (event.block, event.stored))
        .collect();
    assert_eq!(changes, [(1, false), (2, false)]);
    assert_eq!(engine.stats().prefix_blocks, 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn the_cache_never_exceeds_its_capacity(
        capacity in 0usize..6,
        prompts in prop::collection::vec(prop::collection::vec(0u64..12, 0..4), 1..40),
    ) {
        let mut engine = engine(capacity, 0, 0.0);
        for (index, prefix) in prompts.iter().enumerate() {
            let positions = prefix.len() * BLOCK + 1;
            driver::run(&mut engine, 0, prompt(&index.to_string(), prefix, positions));
            prop_assert!(engine.stats().prefix_blocks <= capacity as u64);
        }
        let events = engine.cache_events(0, 0).events;
        let stored = events.iter().filter(|event| event.stored).count();
        let evicted = events.len() - stored;
        prop_assert_eq!((stored - evicted) as u64, engine.stats().prefix_blocks);
    }
}
