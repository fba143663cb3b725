//! A stalled run is probed, then replaced where another run is possible, and doesn't end for its silence alone.

use std::time::Duration;

use dragonflyrill_fleet::adaptive_timeout::{Doubt, NextRun, RunTiming, Silence, Step};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A first run without any event; its first event was expected after 50 ms.
const RUN: RunTiming = RunTiming {
    started: false,
    answer_begun: false,
    may_retry: true,
    first_event_target: ms(500),
    max_gap: ms(200),
    expected_first: ms(50),
    waited_before: Duration::ZERO,
};

/// A run that has relayed events.
const STARTED: RunTiming = RunTiming {
    started: true,
    answer_begun: true,
    ..RUN
};

/// What is done about a run without further events, in ms.
#[derive(Default)]
struct Course {
    probes: Vec<u64>,
    replacements: Vec<(u64, Doubt)>,
    given_up: Option<u64>,
}

/// What is known of the stages of the chain.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stages {
    Answer,
    DoNotAnswer,
    HaveTerminated,
}

use Stages::{Answer, DoNotAnswer, HaveTerminated};

/// Plays 10 s of silence in which no other run is possible.
fn course(run: RunTiming, stages: Stages) -> Course {
    let mut course = Course::default();
    let mut now = 0;
    while now < 10_000 {
        let ago = |at: &u64| ms(now - at);
        let silence = Silence {
            total: ms(now),
            since_probe: course.probes.last().map(ago),
            since_replacement: course.replacements.last().map(|(at, _)| ago(at)),
            suspect: stages == DoNotAnswer,
            terminated: stages == HaveTerminated,
        };
        match run.next_step(silence) {
            Step::Wait(wait) => {
                assert!(!wait.is_zero(), "a wait of zero would loop forever");
                now += 1;
            }
            Step::Probe => course.probes.push(now),
            Step::Replace(doubt) => course.replacements.push((now, doubt)),
            Step::GiveUp => {
                course.given_up = Some(now);
                break;
            }
        }
    }
    course
}

#[test]
fn a_chain_is_probed_long_before_a_run_on_it_is_replaced() {
    let first = course(RUN, Answer);
    assert_eq!(first.probes[0], 100);
    assert_eq!(first.replacements[0], (300, Doubt::TimedOut));
    let started = course(STARTED, Answer);
    assert_eq!(started.probes[0], 80);
    assert_eq!(started.replacements[0], (700, Doubt::TimedOut));
}

#[test]
fn a_run_whose_stages_do_not_answer_is_replaced_once_it_is_probed() {
    assert_eq!(
        course(RUN, DoNotAnswer).replacements[0],
        (100, Doubt::Suspect)
    );
    assert_eq!(
        course(STARTED, DoNotAnswer).replacements[0],
        (80, Doubt::Suspect)
    );
}

#[test]
fn a_first_event_that_is_expected_late_does_not_cause_an_early_probe() {
    let run = RunTiming {
        expected_first: ms(300),
        ..RUN
    };
    assert_eq!(course(run, Answer).probes[0], 600);
}

/// Guards against streams that wait for their deadline on a chain that is gone, as no retry was left once.
#[test]
fn a_replacement_that_was_not_possible_is_attempted_again() {
    for run in [RUN, STARTED] {
        let replacements = course(run, Answer).replacements;
        let apart = replacements.windows(2).map(|w| w[1].0 - w[0].0);
        assert!(replacements.len() > 30);
        assert!(apart.clone().all(|ms| ms == 250), "{replacements:?}");
    }
}

#[test]
fn a_route_that_allows_no_other_run_has_none_started() {
    for run in [RUN, STARTED] {
        let last = RunTiming {
            may_retry: false,
            ..run
        };
        assert!(course(last, DoNotAnswer).replacements.is_empty());
    }
}

#[test]
fn a_run_without_events_on_a_terminated_stage_ends_when_its_caller_leaves() {
    for may_retry in [false, true] {
        let last = RunTiming { may_retry, ..RUN };
        assert_eq!(course(last, HaveTerminated).given_up, Some(2000));
        // The caller has waited since its request or the last event, not only since the start of this
        // run.
        let later = RunTiming {
            waited_before: ms(800),
            ..last
        };
        assert_eq!(course(later, HaveTerminated).given_up, Some(1200));
    }
}

/// Guards against 43 of 80 late runs that ended with an error in 8 s (23 hosts at twice their load), with up to 17 s
/// left: they were abandoned, and the retry was denied then.
#[test]
fn a_run_is_not_ended_for_its_silence() {
    for may_retry in [false, true] {
        let run = RunTiming { may_retry, ..RUN };
        for stages in [Answer, DoNotAnswer] {
            assert_eq!(course(run, stages).given_up, None);
        }
    }
}

/// Guards against answers that are cut off although their engines were only silent.
#[test]
fn an_answer_that_has_begun_is_not_ended_for_silence() {
    let resumed = RunTiming {
        answer_begun: true,
        ..RUN
    };
    for run in [STARTED, resumed] {
        for may_retry in [false, true] {
            let run = RunTiming { may_retry, ..run };
            for stages in [Answer, DoNotAnswer, HaveTerminated] {
                assert_eq!(course(run, stages).given_up, None);
            }
        }
    }
}

#[test]
fn a_run_that_starts_after_its_caller_would_leave_still_gets_the_minimum_time() {
    let late = RunTiming {
        may_retry: false,
        waited_before: ms(5000),
        ..RUN
    };
    assert_eq!(course(late, HaveTerminated).given_up, Some(100));
    assert_eq!(late.timeout(), ms(100));
}

/// A run that can be dispatched at once.
const NEXT_RUN: NextRun = NextRun {
    sent: true,
    dispatch_allowed: true,
    retry_left: true,
    path_lost: false,
    memory_fill: Some(0.5),
};

/// Runs that can't be dispatched: each lacks something else.
const IMPOSSIBLE_RUNS: [NextRun; 4] = [
    NextRun {
        dispatch_allowed: false,
        ..NEXT_RUN
    },
    NextRun {
        retry_left: false,
        ..NEXT_RUN
    },
    NextRun {
        memory_fill: None,
        ..NEXT_RUN
    },
    NextRun {
        memory_fill: Some(1.01),
        ..NEXT_RUN
    },
];

#[test]
fn a_run_is_replaced_only_if_another_one_can_be_dispatched() {
    assert!(NEXT_RUN.may_replace_current());
    for next_run in IMPOSSIBLE_RUNS {
        assert!(!next_run.may_replace_current(), "{next_run:?}");
    }
}

/// Guards against streams that wait on a cut connection while the chains are estimated to be full.
#[test]
fn a_run_on_a_lost_path_is_replaced_even_on_a_full_chain() {
    let full = NextRun {
        path_lost: true,
        memory_fill: Some(1.4),
        ..NEXT_RUN
    };
    assert!(full.may_replace_current());
    let none = NextRun {
        memory_fill: None,
        ..full
    };
    assert!(!none.may_replace_current());
}

/// A run of which nothing was sent takes no retry from the budget, whatever follows it.
#[test]
fn a_run_that_was_not_sent_is_abandoned_even_if_no_other_is_possible() {
    for next_run in IMPOSSIBLE_RUNS {
        let unsent = NextRun {
            sent: false,
            ..next_run
        };
        assert!(unsent.may_replace_current());
    }
}
