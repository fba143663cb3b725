//! The clock and its timers, on a time that is stepped as a suspension of the machine does.

use std::{future, time::Duration};

use dragonflyrill_clock::{Clock, Elapsed, SteppedTime, awake};
use futures_util::{FutureExt, pin_mut};
use tokio::time;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn stepped() -> (SteppedTime, Clock) {
    let time = SteppedTime::start();
    let clock = Clock::with_source(time.clone());
    (time, clock)
}

/// Guards against a clock that stands still while the machine is suspended, and timers that are late by that time.
#[actix_rt::test]
async fn a_timer_that_became_due_in_a_suspension_ends_once_it_is_noticed() {
    time::pause();
    let (time, clock) = stepped();
    let sleep = clock.sleep(5 * SECOND).fuse();
    let awake = awake::sleep(5 * SECOND).fuse();
    pin_mut!(sleep, awake);
    assert!((&mut sleep).now_or_never().is_none());
    time.suspend(8 * SECOND);
    assert_eq!(clock.now(), 8 * SECOND);
    assert!((&mut sleep).now_or_never().is_none());
    assert_eq!(clock.check(), Some(8 * SECOND));
    assert!((&mut sleep).now_or_never().is_some());
    assert!((&mut awake).now_or_never().is_none());
}

/// Guards against a timer that ends early because another part of its time was slept.
#[actix_rt::test]
async fn a_timer_that_is_not_due_after_a_suspension_waits_for_the_rest() {
    time::pause();
    let (time, clock) = stepped();
    let sleep = clock.sleep(5 * SECOND).fuse();
    pin_mut!(sleep);
    assert!((&mut sleep).now_or_never().is_none());
    time.suspend(3 * SECOND);
    clock.check();
    assert!((&mut sleep).now_or_never().is_none());
    time::advance(2 * SECOND - MS).await;
    assert!((&mut sleep).now_or_never().is_none());
    time::advance(2 * MS).await;
    assert!((&mut sleep).now_or_never().is_some());
}

/// Guards against an answer that has arrived and is dropped because its limit passed in a suspension.
#[actix_rt::test]
async fn work_that_is_ready_is_taken_even_if_its_limit_has_passed() {
    time::pause();
    let (time, clock) = stepped();
    time.suspend(SECOND);
    assert_eq!(clock.timeout_at(MS, future::ready(1)).await, Ok(1));
    let never = clock.timeout_at(MS, future::pending::<()>()).await;
    assert_eq!(never, Err(Elapsed));
}

/// Guards against a limit that never ends work which is ready again at every poll but never done.
#[actix_rt::test]
async fn work_that_uses_up_every_turn_is_limited() {
    let clock = Clock::system();
    let busy = async {
        loop {
            tokio::task::coop::consume_budget().await;
        }
    };
    assert_eq!(clock.timeout(20 * MS, busy).await, Err(Elapsed));
}

#[actix_rt::test]
async fn one_check_is_told_of_a_suspension() {
    time::pause();
    let (time, clock) = stepped();
    assert_eq!(clock.check(), None);
    assert!(!clock.resumed_since(Duration::ZERO));
    time::advance(SECOND).await;
    assert_eq!(clock.check(), None);
    time.suspend(2 * SECOND);
    assert_eq!(clock.clone().check(), Some(2 * SECOND));
    assert_eq!(clock.check(), None);
    assert!(clock.resumed_since(3 * SECOND));
    assert!(!clock.resumed_since(3 * SECOND + MS));
}

/// Guards against many short suspensions that are never noticed.
#[actix_rt::test]
async fn short_suspensions_are_noticed_together() {
    time::pause();
    let (time, clock) = stepped();
    let noticed: Vec<Duration> = (0..10)
        .filter_map(|_| {
            time.suspend(60 * MS);
            clock.check()
        })
        .collect();
    assert_eq!(noticed, [120 * MS; 5]);
}

/// Guards against timers that end with the steady clock although the clock of the machine is not there yet.
#[actix_rt::test]
async fn timers_of_the_machine_end_when_they_are_due() {
    let clock = Clock::system();
    let until = clock.now() + 30 * MS;
    clock.sleep_until(until).await;
    assert!(clock.now() >= until);
    assert_eq!(clock.check(), None);
}
