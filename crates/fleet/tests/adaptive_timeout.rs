//! A run that stands still is probed before it is given up, and given up before its caller leaves.

use std::time::Duration;

use dragonflyrill_fleet::adaptive_timeout::{RunTiming, Step};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A first run of which nothing has come; its first event was expected after 50 ms.
const RUN: RunTiming = RunTiming {
    started: false,
    may_retry: true,
    first_event_target: ms(500),
    max_gap: ms(200),
    expected_first: ms(50),
    waited_before: Duration::ZERO,
};

/// When a run that gets nothing more is probed, and when it is given up, in ms.
fn played(run: RunTiming) -> (Vec<u64>, u64) {
    let mut probed: Vec<u64> = Vec::new();
    for now in 0..10_000 {
        let ago = probed.last().map(|at| ms(now - at));
        match run.next_step(ms(now), ago) {
            Step::Wait(wait) => assert!(!wait.is_zero(), "it would turn without end"),
            Step::Probe => probed.push(now),
            Step::Abandon => return (probed, now),
        }
    }
    panic!("it is never given up");
}

#[test]
fn a_chain_is_probed_long_before_a_run_on_it_is_given_up() {
    let (probed, abandoned) = played(RUN);
    assert_eq!(probed[0], 100);
    assert_eq!(abandoned, 300);
    let (probed, abandoned) = played(RunTiming {
        started: true,
        ..RUN
    });
    assert_eq!(probed[0], 80);
    assert_eq!(abandoned, 700);
}

#[test]
fn a_first_event_that_is_expected_late_is_not_missed_early() {
    let run = RunTiming {
        expected_first: ms(300),
        ..RUN
    };
    assert_eq!(played(run).0[0], 600);
}

#[test]
fn a_last_run_is_waited_for_until_its_caller_leaves() {
    let last = RunTiming {
        may_retry: false,
        ..RUN
    };
    assert_eq!(played(last).1, 2000);
    // The caller has waited since its request or the last event, not since this run.
    let waited_before = ms(800);
    assert_eq!(
        played(RunTiming {
            waited_before,
            ..last
        })
        .1,
        1200
    );
}

#[test]
fn an_answer_that_has_begun_and_can_not_go_on_elsewhere_is_not_cut() {
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
fn a_run_that_begins_as_its_caller_leaves_has_a_moment_still() {
    let late = RunTiming {
        may_retry: false,
        waited_before: ms(5000),
        ..RUN
    };
    assert_eq!(played(late).1, 100);
}
