//! Tests of which steps an engine runs, answers with an earlier result, and refuses.

mod common;

use common::{driver, layers, outputs, refusal, step};
use dragonflyrill_engines::wire::{self, StepRefusal};
use dragonflyrill_standins::engine::{
    EngineConfig,
    core::Engine,
    outcome::{Refusal, Submitted},
};

const ALL: wire::Layers = wire::Layers { first: 0, end: 4 };

fn config() -> EngineConfig {
    EngineConfig::new("e", common::MODEL, 4)
}

fn engine() -> Engine {
    Engine::new(config(), 1)
}

fn attempt(attempt: u32, start: u32, inputs: &[u64]) -> wire::Step {
    wire::Step {
        attempt,
        ..step("r", ALL, start, inputs)
    }
}

fn cancel(attempt: u32) -> wire::Cancel {
    wire::Cancel {
        request: "r".to_owned(),
        attempt,
    }
}

fn ran(engine: &Engine) -> usize {
    engine.ledger().entries().count()
}

#[test]
fn a_retried_step_gets_the_same_result_and_runs_once() {
    let mut engine = engine();
    let first = driver::run(&mut engine, 0, attempt(1, 0, &[5, 6]));
    driver::run(&mut engine, 0, attempt(1, 2, &[7]));
    let again = driver::run(&mut engine, 0, attempt(1, 0, &[5, 6]));
    assert_eq!(first, again);
    assert_eq!(ran(&engine), 2);
    assert_eq!(engine.stats().repeated, 1);
}

#[test]
fn a_step_retried_while_it_is_queued_runs_once() {
    let mut engine = engine();
    driver::enqueue(&mut engine, 0, attempt(1, 0, &[5]));
    driver::enqueue(&mut engine, 0, attempt(1, 0, &[5]));
    let results = driver::drain(&mut engine, 0);
    assert_eq!(results[0].result, results[1].result);
    assert_eq!(ran(&engine), 1);
}

#[test]
fn consecutive_steps_may_be_queued_together() {
    let mut engine = engine();
    driver::enqueue(&mut engine, 0, attempt(1, 0, &[5]));
    driver::enqueue(&mut engine, 0, attempt(1, 1, &[6]));
    let results = driver::drain(&mut engine, 0);
    assert!(
        results
            .iter()
            .all(|finished| !outputs(&finished.result).is_empty())
    );
}

#[test]
fn a_step_that_does_not_start_at_the_end_is_refused() {
    let mut engine = engine();
    driver::run(&mut engine, 0, attempt(1, 0, &[5, 6]));
    let gap = driver::run(&mut engine, 0, attempt(1, 3, &[7]));
    assert_eq!(refusal(&gap), (StepRefusal::Position, 2));
    let unknown = driver::run(&mut engine, 0, step("other", ALL, 1, &[7]));
    assert_eq!(refusal(&unknown), (StepRefusal::Position, 0));
}

#[test]
fn an_older_attempt_is_refused_after_a_newer_one_arrived() {
    let mut engine = engine();
    driver::run(&mut engine, 0, attempt(1, 0, &[5]));
    driver::run(&mut engine, 0, attempt(2, 1, &[6]));
    for start in [0, 2] {
        let stale = driver::run(&mut engine, 0, attempt(1, start, &[7]));
        assert_eq!(refusal(&stale), (StepRefusal::StaleAttempt, 2));
    }
}

#[test]
fn a_queued_step_of_an_older_attempt_does_not_run() {
    let mut engine = engine();
    driver::enqueue(&mut engine, 0, attempt(1, 0, &[5]));
    driver::enqueue(&mut engine, 0, attempt(2, 0, &[6]));
    let results = driver::drain(&mut engine, 0);
    assert_eq!(refusal(&results[0].result).0, StepRefusal::StaleAttempt);
    assert_eq!(outputs(&results[1].result).len(), 1);
    assert_eq!(ran(&engine), 1);
}

#[test]
fn a_newer_attempt_starts_over_only_after_a_cancel() {
    let mut engine = engine();
    let first = driver::run(&mut engine, 0, attempt(1, 0, &[5]));
    let early = driver::run(&mut engine, 0, attempt(2, 0, &[5]));
    assert_eq!(refusal(&early), (StepRefusal::Position, 1));
    engine.cancel(0, &cancel(1));
    let again = driver::run(&mut engine, 0, attempt(2, 0, &[5]));
    assert_eq!(outputs(&again), outputs(&first));
}

#[test]
fn a_late_cancel_does_not_affect_a_newer_attempt() {
    let mut engine = engine();
    driver::run(&mut engine, 0, attempt(1, 0, &[5]));
    driver::run(&mut engine, 0, attempt(2, 1, &[6]));
    engine.cancel(0, &cancel(1));
    let next = driver::run(&mut engine, 0, attempt(2, 2, &[7]));
    assert_eq!(outputs(&next).len(), 1);
}

#[test]
fn an_attempt_that_arrives_after_its_cancel_is_refused() {
    let mut engine = engine();
    engine.cancel(0, &cancel(1));
    let late = driver::run(&mut engine, 0, attempt(1, 0, &[5]));
    assert_eq!(refusal(&late).0, StepRefusal::Cancelled);
    assert_eq!(ran(&engine), 0);
}

#[test]
fn a_queued_step_that_is_cancelled_does_not_run() {
    let mut engine = engine();
    driver::enqueue(&mut engine, 0, attempt(1, 0, &[5]));
    engine.cancel(0, &cancel(1));
    let results = driver::drain(&mut engine, 0);
    assert_eq!(refusal(&results[0].result).0, StepRefusal::Cancelled);
    assert_eq!(ran(&engine), 0);
    assert_eq!(engine.stats().iterations, 0);
}

#[test]
fn a_step_is_refused_when_its_deadline_passed_in_the_queue() {
    let mut engine = engine();
    let step = wire::Step {
        deadline_ms: 10,
        ..attempt(1, 0, &[5])
    };
    driver::enqueue(&mut engine, 100, step);
    let results = driver::drain(&mut engine, 111);
    assert_eq!(refusal(&results[0].result).0, StepRefusal::Deadline);
    let again = driver::run(&mut engine, 111, attempt(1, 0, &[5]));
    assert_eq!(outputs(&again).len(), 1);
}

#[test]
fn layers_or_a_model_that_are_not_loaded_are_refused() {
    let mut engine = Engine::new(
        EngineConfig {
            layers: layers(1, 3),
            ..config()
        },
        1,
    );
    for range in [layers(0, 2), layers(2, 4), layers(2, 2)] {
        let result = driver::run(&mut engine, 0, step("r", range, 0, &[5]));
        assert_eq!(refusal(&result).0, StepRefusal::Layers);
    }
    let other = wire::Step {
        model: "n".to_owned(),
        ..step("r", layers(1, 3), 0, &[5])
    };
    assert_eq!(
        refusal(&driver::run(&mut engine, 0, other)).0,
        StepRefusal::Layers
    );
    let part = driver::run(&mut engine, 0, step("r", layers(2, 3), 0, &[5]));
    assert_eq!(outputs(&part).len(), 1);
}

#[test]
fn new_requests_are_refused_when_all_slots_are_in_use() {
    let mut engine = Engine::new(
        EngineConfig {
            max_sessions: 1,
            session_idle_ms: 1000,
            ..config()
        },
        1,
    );
    driver::run(&mut engine, 0, step("a", ALL, 0, &[5]));
    let busy = driver::run(&mut engine, 999, step("b", ALL, 0, &[5]));
    assert_eq!(refusal(&busy).0, StepRefusal::Busy);
    let idle = driver::run(&mut engine, 1000, step("b", ALL, 0, &[5]));
    assert_eq!(outputs(&idle).len(), 1);
    let lost = driver::run(&mut engine, 1000, step("a", ALL, 1, &[5]));
    assert_eq!(refusal(&lost), (StepRefusal::Position, 0));
}

#[test]
fn a_draining_engine_accepts_only_steps_of_known_requests() {
    let mut engine = engine();
    driver::run(&mut engine, 0, attempt(1, 0, &[5]));
    engine.start_draining();
    let known = driver::run(&mut engine, 0, attempt(1, 1, &[6]));
    assert_eq!(outputs(&known).len(), 1);
    let new = driver::run(&mut engine, 0, step("new", ALL, 0, &[5]));
    assert_eq!(refusal(&new).0, StepRefusal::Leaving);
    assert!(engine.state(0).leaving);
}

#[test]
fn a_batch_is_ordered_by_priority_and_then_arrival() {
    let mut engine = Engine::new(
        EngineConfig {
            max_batch: 2,
            ..config()
        },
        1,
    );
    for (request, priority) in [("low", 2), ("a", 1), ("b", 1), ("first", 0)] {
        let step = wire::Step {
            priority,
            ..step(request, ALL, 0, &[5])
        };
        driver::enqueue(&mut engine, 0, step);
    }
    engine.begin(0);
    let batch: Vec<_> = engine
        .finish(0)
        .into_iter()
        .map(|done| done.result.request)
        .collect();
    assert_eq!(batch, ["first", "a"]);
    let rest: Vec<_> = driver::drain(&mut engine, 0)
        .into_iter()
        .map(|done| done.result.request)
        .collect();
    assert_eq!(rest, ["b", "low"]);
}

#[test]
fn a_restarted_engine_keeps_only_its_ledger() {
    let mut engine = engine();
    driver::run(&mut engine, 0, attempt(1, 0, &[5]));
    driver::enqueue(&mut engine, 0, attempt(1, 1, &[6]));
    engine.restart(2);
    assert!(driver::drain(&mut engine, 0).is_empty());
    assert_eq!(engine.state(0).incarnation, 2);
    assert_eq!(ran(&engine), 1);
    let lost = driver::run(&mut engine, 0, attempt(1, 1, &[6]));
    assert_eq!(refusal(&lost), (StepRefusal::Position, 0));
}

#[test]
fn an_import_that_is_stale_or_does_not_fit_is_refused() {
    let mut engine = engine();
    driver::run(&mut engine, 0, attempt(2, 0, &[5]));
    let kv = engine.export("r").expect("a session");
    let stale = wire::KvCheckpoint {
        attempt: 1,
        ..kv.clone()
    };
    assert_eq!(engine.import(0, &stale), Err(Refusal::Stale));
    let short = wire::KvCheckpoint {
        state: vec![0],
        ..kv.clone()
    };
    assert_eq!(engine.import(0, &short), Err(Refusal::Layers));
    let other = wire::KvCheckpoint {
        model: "n".to_owned(),
        ..kv.clone()
    };
    assert_eq!(engine.import(0, &other), Err(Refusal::Layers));
    engine.cancel(0, &cancel(2));
    assert_eq!(engine.import(0, &kv), Err(Refusal::Stale));
    assert!(engine.export("r").is_none());
}

#[test]
fn the_load_report_lags() {
    let mut engine = Engine::new(
        EngineConfig {
            load_lag_ms: 100,
            ..config()
        },
        1,
    );
    let Submitted::Waiting(_) = engine.submit(1000, attempt(1, 0, &[5])) else {
        panic!("the step is not queued");
    };
    let early = engine.load(1099);
    assert_eq!((early.waiting, early.sessions, early.age_ms), (0, 0, 100));
    let late = engine.load(1100);
    assert_eq!((late.waiting, late.sessions), (1, 1));
}
