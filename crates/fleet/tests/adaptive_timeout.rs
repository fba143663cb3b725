//! A stalled run is probed before it is abandoned, and abandoned before its caller leaves.

use std::time::Duration;

use dragonflyrill_fleet::adaptive_timeout::{Doubt, NextRun, RunTiming, Step};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A first run without any event; its first event was expected after 50 ms.
const RUN: RunTiming = RunTiming {
    started: false,
    may_retry: true,
    first_event_target: ms(500),
    max_gap: ms(200),
    expected_first: ms(50),
    waited_before: Duration::ZERO,
};

/// When a run without further events is probed, and when it is abandoned, in ms.
fn probes_and_end(run: RunTiming) -> (Vec<u64>, u64) {
    let mut probed: Vec<u64> = Vec::new();
    for now in 0..10_000 {
        let ago = probed.last().map(|at| ms(now - at));
        match run.next_step(ms(now), ago) {
            Step::Wait(wait) => assert!(!wait.is_zero(), "a wait of zero would loop forever"),
            Step::Probe => probed.push(now),
            Step::Abandon => return (probed, now),
        }
    }
    panic!("the run is never abandoned");
}

#[test]
fn a_chain_is_probed_long_before_a_run_on_it_is_abandoned() {
    let (probed, abandoned) = probes_and_end(RUN);
    assert_eq!(probed[0], 100);
    assert_eq!(abandoned, 300);
    let (probed, abandoned) = probes_and_end(RunTiming {
        started: true,
        ..RUN
    });
    assert_eq!(probed[0], 80);
    assert_eq!(abandoned, 700);
}

#[test]
fn a_first_event_that_is_expected_late_does_not_cause_an_early_probe() {
    let run = RunTiming {
        expected_first: ms(300),
        ..RUN
    };
    assert_eq!(probes_and_end(run).0[0], 600);
}

#[test]
fn a_last_run_is_waited_for_until_its_caller_leaves() {
    let last = RunTiming {
        may_retry: false,
        ..RUN
    };
    assert_eq!(probes_and_end(last).1, 2000);
    // The caller has waited since its request or the last event, not only since the start of this
    // run.
    let waited_before = ms(800);
    assert_eq!(
        probes_and_end(RunTiming {
            waited_before,
            ..last
        })
        .1,
        1200
    );
}

#[test]
fn an_answer_that_has_started_and_can_not_continue_elsewhere_is_not_abandoned() {
    let last = RunTiming {
        started: true,
        may_retry: false,
        ..RUN
    };
    assert!(!last.may_abandon());
    assert_ne!(last.next_step(ms(100_000), Some(ms(10))), Step::Abandon);
    assert!(
        RunTiming {
            may_retry: true,
            ..last
        }
        .may_abandon()
    );
    assert!(
        RunTiming {
            started: false,
            ..last
        }
        .may_abandon()
    );
}

#[test]
fn a_run_that_starts_after_its_caller_would_leave_still_gets_the_minimum_time() {
    let late = RunTiming {
        may_retry: false,
        waited_before: ms(5000),
        ..RUN
    };
    assert_eq!(probes_and_end(late).1, 100);
}

/// A run that can be dispatched at once.
const NEXT_RUN: NextRun = NextRun {
    sent: true,
    dispatch_allowed: true,
    retry_left: true,
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

const DOUBTS: [Doubt; 2] = [Doubt::TimedOut, Doubt::UnresponsiveStage];

/// Guards against 43 of 80 late runs that ended with an error in 8 s (23 hosts at twice their load), with up to 17 s
/// left: they were abandoned, and the retry was denied then.
#[test]
fn a_run_without_events_is_abandoned_only_if_another_one_is_possible() {
    for doubt in DOUBTS {
        let mut run = RUN;
        assert!(run.abandons(doubt, || NEXT_RUN), "{doubt:?}");
        for next_run in IMPOSSIBLE_RUNS {
            let mut run = RUN;
            assert!(!run.abandons(doubt, || next_run), "{doubt:?} {next_run:?}");
            assert_eq!(probes_and_end(run).1, 2000, "until its caller leaves");
        }
    }
}

#[test]
fn a_run_is_abandoned_when_its_caller_leaves_whatever_could_follow() {
    let mut last = RunTiming {
        may_retry: false,
        ..RUN
    };
    assert!(last.abandons(Doubt::TimedOut, || IMPOSSIBLE_RUNS[0]));
}

#[test]
fn a_run_with_an_unresponsive_stage_is_abandoned_as_soon_as_another_one_is_possible() {
    let mut run = RUN;
    assert!(!run.abandons(Doubt::UnresponsiveStage, || IMPOSSIBLE_RUNS[1]));
    assert!(run.may_abandon());
    assert!(run.abandons(Doubt::UnresponsiveStage, || NEXT_RUN));
}

#[test]
fn a_started_run_that_can_not_continue_elsewhere_is_waited_for_without_a_limit() {
    for doubt in DOUBTS {
        let mut run = RunTiming {
            started: true,
            ..RUN
        };
        assert!(!run.abandons(doubt, || IMPOSSIBLE_RUNS[1]));
        assert!(!run.may_abandon());
        assert_eq!(run.timeout(), Duration::MAX);
    }
}

/// A run of which nothing was sent takes no retry from the budget, whatever follows it.
#[test]
fn a_run_that_was_not_sent_is_abandoned_even_if_no_other_is_possible() {
    for next_run in IMPOSSIBLE_RUNS {
        let unsent = NextRun {
            sent: false,
            ..next_run
        };
        let mut run = RUN;
        assert!(run.abandons(Doubt::UnresponsiveStage, || unsent));
    }
}
