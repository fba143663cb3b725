//! A stalled run is probed before it is abandoned, and abandoned before its caller leaves.

use std::time::Duration;

use dragonflyrill_fleet::adaptive_timeout::{RunTiming, Step};

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
