//! Drives an engine core directly, without HTTP and with times that the test passes in.

use dragonflyrill_engines::wire;
use dragonflyrill_standins::engine::{
    core::Engine,
    outcome::{Finished, Iteration, Submitted, Ticket},
};

/// Submits a step, runs iterations until the queue is empty and returns the step's result.
pub(crate) fn run(engine: &mut Engine, now_ms: u64, step: wire::Step) -> wire::StepResult {
    match engine.submit(now_ms, step) {
        Submitted::Answered(result) => result,
        Submitted::Waiting(ticket) => {
            let mut finished = drain(engine, now_ms).into_iter();
            let found = finished.find(|finished| finished.ticket == ticket);
            found.expect("the step is answered").result
        }
    }
}

/// Runs iterations until the queue is empty; returns all results in the order in which they finished.
pub(crate) fn drain(engine: &mut Engine, now_ms: u64) -> Vec<Finished> {
    let mut all = Vec::new();
    loop {
        let Iteration { refused, duration } = engine.begin(now_ms);
        all.extend(refused);
        if duration.is_none() {
            return all;
        }
        all.extend(engine.finish(now_ms));
    }
}

/// Submits a step; panics if it is answered immediately instead of being queued.
pub(crate) fn enqueue(engine: &mut Engine, now_ms: u64, step: wire::Step) -> Ticket {
    match engine.submit(now_ms, step) {
        Submitted::Waiting(ticket) => ticket,
        Submitted::Answered(result) => panic!("answered: {result:?}"),
    }
}
