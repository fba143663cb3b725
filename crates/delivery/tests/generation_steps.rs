//! Single decisions of a generation: timeouts, deadlines, freed endpoints, refusals and handovers.

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_delivery::{
    Action, Chain, Config, ErrorKind, Event, Generation, Spec, Stage, generation::StepTimes,
};
use dragonflyrill_engines::wire;

const LAYERS: wire::Layers = wire::Layers { first: 0, end: 2 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn spec(deadline: Duration) -> Spec {
    Spec {
        request: "w/1".to_owned(),
        model: "m".to_owned(),
        layers: 2,
        prompt: vec![1, 2, 3],
        max_tokens: 100,
        priority: 0,
        deadline,
        prefix: Vec::new(),
    }
}

fn endpoint(id: &str) -> EndpointId {
    EndpointId::try_from(id).expect("a name")
}

fn chain(id: &str) -> Chain {
    let stage = Stage {
        endpoint: endpoint(id),
        layers: LAYERS,
    };
    Chain::new(LAYERS, vec![stage]).expect("a cover")
}

fn handle(generation: &mut Generation, now: Duration, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    generation.handle(now, event, &mut actions);
    actions
}

fn sent_step(actions: &[Action]) -> (EndpointId, wire::Step) {
    let mut steps = actions.iter().filter_map(|action| match action {
        Action::Send { endpoint, step } => Some((endpoint.clone(), step.clone())),
        _ => None,
    });
    steps.next().expect("a step is sent")
}

fn answer((endpoint, step): (EndpointId, wire::Step)) -> Event {
    let receipt = wire::Receipt {
        endpoint: endpoint.as_str().to_owned(),
        incarnation: 1,
        layers: step.layers,
    };
    let result = wire::StepResult {
        request: step.request,
        attempt: step.attempt,
        start: step.start,
        outcome: wire::StepOutcome::Done {
            receipt,
            outputs: step.inputs,
            cached: 0,
        },
    };
    Event::Result { endpoint, result }
}

/// Runs `n` steps that take `each`, and returns the time and the last actions.
fn run(generation: &mut Generation, n: u32, each: Duration) -> (Duration, Vec<Action>) {
    let mut now = Duration::ZERO;
    let mut actions = handle(generation, now, Event::Start(chain("e0")));
    for _ in 0..n {
        now += each;
        actions = handle(generation, now, answer(sent_step(&actions)));
    }
    (now, actions)
}

fn failure(actions: &[Action]) -> Option<ErrorKind> {
    actions.iter().find_map(|action| match action {
        Action::Fail(kind) => Some(*kind),
        _ => None,
    })
}

fn freed(actions: &[Action]) -> Vec<&str> {
    let freed = actions.iter().filter_map(|action| match action {
        Action::Free { endpoint, .. } => Some(endpoint.as_str()),
        _ => None,
    });
    freed.collect()
}

#[test]
fn a_frozen_stage_gets_one_retry_and_is_replaced_within_half_a_second() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (began, actions) = run(&mut generation, 60, ms(4));
    let first = sent_step(&actions);
    let due = generation.next_wake().expect("a time");
    let again = handle(&mut generation, due, Event::Tick);
    let (_, mut step) = sent_step(&again);
    step.deadline_ms = first.1.deadline_ms;
    assert_eq!(step, first.1, "the same step under the same id");
    let due = generation.next_wake().expect("a time");
    let replaced = handle(&mut generation, due, Event::Tick);
    assert!(matches!(replaced[..], [Action::Replace { .. }]));
    assert!(due - began < ms(500), "{:?}", due - began);
    let moved = handle(&mut generation, due, Event::Replacement(chain("e1")));
    assert_eq!(freed(&moved), [""; 0], "e0 may still answer");
    let step = sent_step(&moved);
    assert_eq!(step.0, endpoint("e1"));
    let secured = handle(&mut generation, due, answer(step));
    assert_eq!(freed(&secured), ["e0"]);
}

/// Passes ticks to a generation whose stage `e0` answers nothing until it requests a replacement, and returns that
/// time and the actions.
fn until_replacement(generation: &mut Generation) -> (Duration, Vec<Action>) {
    for _ in 0..10 {
        let due = generation.next_wake().expect("it runs");
        let actions = handle(generation, due, Event::Tick);
        assert_eq!(failure(&actions), None, "at {due:?}");
        if actions.iter().any(|a| matches!(a, Action::Replace { .. })) {
            return (due, actions);
        }
    }
    panic!("no replacement is requested");
}

#[test]
fn a_silent_stage_without_a_replacement_is_waited_for_and_its_late_answer_counts() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (_, actions) = run(&mut generation, 60, ms(4));
    let silent = sent_step(&actions);
    for _ in 0..3 {
        let (now, actions) = until_replacement(&mut generation);
        assert_eq!(freed(&actions), [""; 0], "the run may still answer");
        let kept = handle(&mut generation, now, Event::NoReplacement);
        assert_eq!((failure(&kept), freed(&kept)), (None, Vec::new()));
    }
    let now = generation.next_wake().expect("it runs") - ms(1);
    let answered = handle(&mut generation, now, answer(silent));
    assert!(matches!(answered[0], Action::Release { index: 60, .. }));
}

#[test]
fn a_silent_stage_is_waited_for_once_all_replacements_are_used() {
    let cfg = Config {
        max_replacements: 0,
        ..Config::default()
    };
    let mut generation = Generation::with_config(spec(ms(60_000)), cfg);
    let actions = handle(&mut generation, ms(0), Event::Start(chain("e0")));
    let silent = sent_step(&actions);
    for _ in 0..6 {
        let due = generation.next_wake().expect("it runs");
        let actions = handle(&mut generation, due, Event::Tick);
        assert_eq!((failure(&actions), freed(&actions)), (None, Vec::new()));
    }
    let now = generation.next_wake().expect("it runs") - ms(1);
    let answered = handle(&mut generation, now, answer(silent));
    assert!(matches!(answered[0], Action::Release { index: 0, .. }));
}

#[test]
fn an_answer_that_overtakes_the_replacement_of_its_stage_counts() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (_, actions) = run(&mut generation, 2, ms(4));
    let silent = sent_step(&actions);
    let (now, _) = until_replacement(&mut generation);
    let answered = handle(&mut generation, now, answer(silent));
    assert!(matches!(answered[0], Action::Release { index: 2, .. }));
    let late = handle(&mut generation, now, Event::Replacement(chain("e1")));
    assert_eq!(late, []);
}

#[test]
fn a_slow_stage_gets_a_longer_timeout() {
    let wait = |each| {
        let mut generation = Generation::new(spec(ms(600_000)));
        let (now, _) = run(&mut generation, 60, each);
        generation.next_wake().expect("a time") - now
    };
    assert!(wait(ms(200)) > wait(ms(4)));
    assert!(wait(ms(200)) > ms(1000));
}

#[test]
fn a_long_prefill_gets_a_longer_timeout() {
    let wait = |positions: usize| {
        let spec = Spec {
            prompt: vec![1; positions],
            ..spec(ms(600_000))
        };
        let mut generation = Generation::new(spec);
        handle(&mut generation, ms(0), Event::Start(chain("e0")));
        generation.next_wake().expect("a time")
    };
    assert!(wait(2000) > 4 * wait(100));
}

#[test]
fn an_early_tick_does_nothing() {
    let mut generation = Generation::new(spec(ms(60_000)));
    handle(&mut generation, ms(0), Event::Start(chain("e0")));
    assert_eq!(handle(&mut generation, ms(1), Event::Tick), []);
}

#[test]
fn a_generation_that_will_miss_its_deadline_fails_at_once_with_a_retry_time() {
    let mut generation = Generation::new(spec(ms(5000)));
    let (now, actions) = run(&mut generation, 5, ms(100));
    assert_eq!(failure(&actions), Some(ErrorKind::DeadlineExceeded));
    assert!(now < ms(5000));
    assert!(generation.retry_after().is_some_and(|wait| wait > ms(5000)));
}

#[test]
fn a_generation_that_will_miss_its_deadline_is_not_started() {
    let cfg = Config {
        step_times: StepTimes {
            token: Some(ms(100)),
            ..StepTimes::default()
        },
        ..Config::default()
    };
    let mut generation = Generation::with_config(spec(ms(5000)), cfg);
    let actions = handle(&mut generation, ms(0), Event::Start(chain("e0")));
    assert_eq!(actions, [Action::Fail(ErrorKind::DeadlineTooShort)]);
}

#[test]
fn the_remaining_time_decreases_with_each_step() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (now, actions) = run(&mut generation, 3, ms(100));
    let (_, step) = sent_step(&actions);
    assert_eq!(now, ms(300));
    assert_eq!(step.deadline_ms, 59_700);
}

#[test]
fn a_cancel_frees_replaced_endpoints_too() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (now, _) = run(&mut generation, 2, ms(1));
    for _ in 0..2 {
        let lost = Event::StepLost {
            endpoint: endpoint("e0"),
            attempt: 1,
            start: 4,
        };
        handle(&mut generation, now, lost);
    }
    handle(&mut generation, now, Event::Replacement(chain("e1")));
    let actions = handle(&mut generation, now, Event::Cancel);
    assert_eq!(freed(&actions), ["e0", "e1"]);
    assert_eq!(failure(&actions), Some(ErrorKind::Cancelled));
}

#[test]
fn a_newer_attempt_elsewhere_ends_the_generation() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (now, actions) = run(&mut generation, 2, ms(1));
    let (endpoint, step) = sent_step(&actions);
    let result = wire::StepResult {
        request: step.request,
        attempt: step.attempt,
        start: step.start,
        outcome: wire::StepOutcome::Refused {
            reason: wire::StepRefusal::StaleAttempt,
            expected: 9,
        },
    };
    let actions = handle(&mut generation, now, Event::Result { endpoint, result });
    assert_eq!(failure(&actions), Some(ErrorKind::RunningElsewhere));
}

#[test]
fn a_restarted_endpoint_gets_the_kept_inputs_again() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (now, actions) = run(&mut generation, 2, ms(1));
    let (endpoint, step) = sent_step(&actions);
    let result = wire::StepResult {
        request: step.request,
        attempt: step.attempt,
        start: step.start,
        outcome: wire::StepOutcome::Refused {
            reason: wire::StepRefusal::Position,
            expected: 0,
        },
    };
    let actions = handle(&mut generation, now, Event::Result { endpoint, result });
    let (_, step) = sent_step(&actions);
    assert_eq!((step.start, step.attempt), (0, 2));
    assert_eq!(step.inputs, [1, 2, 3, 3, 3]);
}

#[test]
fn a_moved_generation_continues_at_its_position() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (now, actions) = run(&mut generation, 2, ms(1));
    assert_eq!(handle(&mut generation, now, Event::Handover), []);
    let actions = handle(&mut generation, now, answer(sent_step(&actions)));
    let [Action::Release { index: 2, .. }, Action::Moved(resume)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(generation.next_wake(), None);
    let mut generation = Generation::resume(ms(7), resume.clone(), Config::default());
    let (_, step) = sent_step(&handle(&mut generation, ms(7), Event::Continue));
    assert_eq!((step.start, step.attempt), (5, 2));
    assert_eq!(step.inputs.len(), 1);
}

#[test]
fn an_endpoint_that_still_holds_other_layers_is_freed_and_retried() {
    let mut generation = Generation::new(spec(ms(60_000)));
    let actions = handle(&mut generation, ms(0), Event::Start(chain("e0")));
    let (endpoint, step) = sent_step(&actions);
    let result = wire::StepResult {
        request: step.request.clone(),
        attempt: step.attempt,
        start: step.start,
        outcome: wire::StepOutcome::Refused {
            reason: wire::StepRefusal::Layers,
            expected: 2,
        },
    };
    let actions = handle(&mut generation, ms(0), Event::Result { endpoint, result });
    assert_eq!(freed(&actions), ["e0"]);
    let due = generation.next_wake().expect("a time");
    let (_, again) = sent_step(&handle(&mut generation, due, Event::Tick));
    assert_eq!((again.attempt, again.start), (step.attempt, 0));
}

fn refused((endpoint, step): (EndpointId, wire::Step), reason: wire::StepRefusal) -> Event {
    let result = wire::StepResult {
        request: step.request,
        attempt: step.attempt,
        start: step.start,
        outcome: wire::StepOutcome::Refused {
            reason,
            expected: 0,
        },
    };
    Event::Result { endpoint, result }
}

/// A generation whose stage `e0` is silent and was replaced by `e1`, the time, and the steps sent to both.
fn replaced_silent_stage() -> (Generation, Duration, [(EndpointId, wire::Step); 2]) {
    let mut generation = Generation::new(spec(ms(60_000)));
    let (_, actions) = run(&mut generation, 60, ms(4));
    let silent = sent_step(&actions);
    let (now, _) = until_replacement(&mut generation);
    let moved = handle(&mut generation, now, Event::Replacement(chain("e1")));
    let second = sent_step(&moved);
    (generation, now, [silent, second])
}

#[test]
fn a_replacement_that_refuses_gives_the_step_back_to_the_silent_stage() {
    let (mut generation, now, [silent, second]) = replaced_silent_stage();
    let busy = refused(second, wire::StepRefusal::Busy);
    let asked = handle(&mut generation, now, busy);
    assert_eq!(freed(&asked), ["e1"]);
    let kept = handle(&mut generation, now, Event::NoReplacement);
    let (endpoint, again) = sent_step(&kept);
    assert_eq!(
        (endpoint, again.attempt),
        (silent.0.clone(), silent.1.attempt)
    );
    assert_eq!(
        (again.start, &again.inputs),
        (silent.1.start, &silent.1.inputs)
    );
    let answered = handle(&mut generation, now, answer(silent));
    assert!(matches!(answered[0], Action::Release { index: 60, .. }));
}

#[test]
fn the_late_answer_of_a_replaced_stage_counts_until_its_replacement_answers() {
    let (mut generation, now, [silent, second]) = replaced_silent_stage();
    let answered = handle(&mut generation, now, answer(silent.clone()));
    assert_eq!(freed(&answered), ["e1"]);
    assert!(
        answered
            .iter()
            .any(|a| matches!(a, Action::Release { index: 60, .. }))
    );
    assert_eq!(handle(&mut generation, now, answer(second)), []);

    let (mut generation, now, [silent, second]) = replaced_silent_stage();
    handle(&mut generation, now, answer(second));
    assert_eq!(handle(&mut generation, now, answer(silent)), []);
}

#[test]
fn a_stage_that_is_replaced_again_gets_an_attempt_number_that_was_never_used() {
    let (mut generation, now, [_, second]) = replaced_silent_stage();
    let used = second.1.attempt;
    handle(
        &mut generation,
        now,
        refused(second, wire::StepRefusal::Busy),
    );
    handle(&mut generation, now, Event::NoReplacement);
    let (now, _) = until_replacement(&mut generation);
    let moved = handle(&mut generation, now, Event::Replacement(chain("e1")));
    assert!(sent_step(&moved).1.attempt > used);
}

#[test]
fn a_silence_does_not_count_in_the_expected_time_of_the_remaining_tokens() {
    let mut generation = Generation::new(spec(ms(1200)));
    let (_, actions) = run(&mut generation, 60, ms(4));
    let mut now = generation.next_wake().expect("it runs");
    handle(&mut generation, now, Event::Tick);
    now += ms(100);
    let mut actions = handle(&mut generation, now, answer(sent_step(&actions)));
    for _ in 0..39 {
        assert_eq!(failure(&actions), None, "at {now:?}");
        now += ms(4);
        actions = handle(&mut generation, now, answer(sent_step(&actions)));
    }
    assert!(actions.contains(&Action::Finish));
}
