//! When refused callers are told to return, and which requests are recognised as returns.

use std::time::Duration;

use dragonflyrill_fleet::{
    fingerprint::Fingerprint,
    return_slots::{InvalidReturnSlots, MIN_DELAY, RawReturnSlots, ReturnSlots},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

mod common;
use common::ms;

/// The time that callers of streams have.
const CALLER_TIME: Duration = Duration::from_secs(20);

/// The most by which the clocks of two hosts differ, and by which a return is late in these tests.
const TOLERANCE_MS: u64 = 25;

/// Slots of 250 ms in a period of 6 s.
fn six_seconds() -> ReturnSlots {
    let raw = RawReturnSlots {
        period: Duration::from_secs(6),
        slot: Duration::from_millis(250),
    };
    ReturnSlots::try_from(raw).expect("valid slots")
}

fn slots_of(period_ms: u64, slot_ms: u64) -> Result<ReturnSlots, InvalidReturnSlots> {
    ReturnSlots::try_from(RawReturnSlots {
        period: ms(period_ms),
        slot: ms(slot_ms),
    })
}

/// The largest number of the times that one window contains.
fn busiest(times: &mut [Duration], window: Duration) -> usize {
    times.sort();
    let within =
        |(i, &from): (usize, &Duration)| times[i..].partition_point(|&t| t < from + window);
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

fn fingerprint() -> impl Strategy<Value = Fingerprint> {
    any::<[u8; 16]>().prop_map(Fingerprint::from)
}

/// Slots of 250 ms to 1 s in periods of 2 to 24 of them.
fn any_slots() -> impl Strategy<Value = ReturnSlots> {
    (250u64..1000, 2u64..24).prop_map(|(slot, n)| slots_of(slot * n, slot).expect("valid slots"))
}

fn clock() -> impl Strategy<Value = Duration> {
    (0u64..1 << 50).prop_map(Duration::from_micros)
}

/// Guards against settings that make every request a return, divide by zero or leave a part of the period unused, and
/// against errors that don't tell which value is wrong.
#[test]
fn invalid_slots_are_refused_with_their_fault() {
    let cases = [
        (slots_of(6000, 0), "the return slot is zero"),
        (slots_of(0, 0), "the return slot is zero"),
        (
            slots_of(6000, 49),
            "the return slot of 49ms is shorter than 50ms",
        ),
        (
            slots_of(500, 251),
            "the return slot of 251ms is longer than half of the return period of 500ms",
        ),
        (
            slots_of(0, 250),
            "the return slot of 250ms is longer than half of the return period of 0ns",
        ),
        (
            slots_of(6000, 251),
            "the return period of 6s is no multiple of the return slot of 251ms",
        ),
        (
            slots_of(u64::MAX, 250),
            "the return period of 18446744073709551.615s is longer than 3600s",
        ),
    ];
    for (found, text) in cases {
        assert_eq!(found.expect_err(text).to_string(), text);
    }
}

#[test]
fn valid_slots_are_accepted_as_stated() {
    for (period, slot) in [(6000, 250), (500, 250), (3_600_000, 50)] {
        let slots = slots_of(period, slot).expect("valid slots");
        assert_eq!((slots.period(), slots.slot()), (ms(period), ms(slot)));
    }
    assert_eq!(slots_of(6000, 250), Ok(six_seconds()));
}

proptest! {
    /// Guards against returns that are refused like first attempts: a caller with enough time left is told a time at
    /// which every host recognises its request, also if the clocks of the two hosts differ by some milliseconds and
    /// timers and connections make it late.
    #[test]
    fn the_delay_leads_into_the_request_s_own_slot(
        slots in any_slots(),
        request in fingerprint(),
        clock in clock(),
        draw in 0.0f64..1.0,
        skew_ms in 0..2 * TOLERANCE_MS,
        late_ms in 0..TOLERANCE_MS,
    ) {
        let time_left = 3 * (MIN_DELAY + slots.period());
        let delay = slots.delay(request, Some(clock), time_left, draw);
        let arrival = clock + delay + ms(late_ms + skew_ms);
        // The skew is between `-TOLERANCE_MS` and `TOLERANCE_MS`.
        prop_assert!(slots.is_return(request, Some(arrival - ms(TOLERANCE_MS))));
    }

    /// Guards against delays that callers don't follow, and against ones so short that a request is judged by the same
    /// loads again.
    #[test]
    fn the_delay_is_within_what_callers_follow(
        slots in any_slots(),
        request in fingerprint(),
        clock in proptest::option::of(clock()),
        time_left_ms in 0u64..60_000,
        draw in 0.0f64..1.0,
    ) {
        let longest = ms(time_left_ms) / 3;
        let delay = slots.delay(request, clock, ms(time_left_ms), draw);
        prop_assert!(delay <= longest);
        prop_assert!(delay >= MIN_DELAY.min(longest));
        let first = longest.saturating_sub(slots.period()).max(MIN_DELAY);
        prop_assert!(delay >= first.min(longest) && delay <= first + slots.period());
    }

    /// Guards against callers that are told a time outside their slot although they would follow the one in it. Such a
    /// time is stated only if no time of their slot that is aimed at is within what they follow.
    #[test]
    fn a_caller_with_less_time_left_is_told_its_slot_if_it_follows_that(
        request in fingerprint(),
        clock in clock(),
        time_left_ms in 0u64..30_000,
        draw in 0.0f64..1.0,
    ) {
        let slots = six_seconds();
        let longest = ms(time_left_ms) / 3;
        let first = longest.saturating_sub(slots.period()).max(MIN_DELAY);
        let delay = slots.delay(request, Some(clock), ms(time_left_ms), draw);
        if delay < longest {
            prop_assert!(slots.is_return(request, Some(clock + delay)));
        } else {
            prop_assert!(delay == longest && longest < first + slots.period() + ms(1));
        }
        if longest >= MIN_DELAY + slots.period() {
            prop_assert!(slots.is_return(request, Some(clock + delay)));
        }
    }

    /// Guards against a caller whose slot has just begun or begins within 0.5 s being told to return at once: it gets
    /// the slot of the next period.
    #[test]
    fn a_slot_that_is_too_near_is_skipped(
        request in fingerprint(),
        clock in clock(),
        draw in 0.0f64..1.0,
        before_ms in 0u64..500,
    ) {
        let slots = six_seconds();
        let target = clock + slots.delay(request, Some(clock), CALLER_TIME, draw);
        let shortly_before = target - ms(before_ms).min(target);
        let delay = slots.delay(request, Some(shortly_before), CALLER_TIME, draw);
        prop_assert!(delay >= MIN_DELAY);
        let next = target + slots.period();
        prop_assert!((shortly_before + delay).abs_diff(next) <= Duration::from_nanos(1));
    }

    /// Guards against clocks that cause a panic or a delay out of range: the store's clock goes back when the store is
    /// restored, and jumps when a host reads it after an outage.
    #[test]
    fn a_clock_that_goes_back_or_jumps_harms_nobody(
        slots in any_slots(),
        request in fingerprint(),
        clocks in proptest::collection::vec(
            prop_oneof![clock(), Just(Duration::ZERO), Just(Duration::MAX)], 1..20),
        draw in 0.0f64..1.0,
    ) {
        for clock in clocks {
            let delay = slots.delay(request, Some(clock), CALLER_TIME, draw);
            prop_assert!(delay <= CALLER_TIME / 3);
            prop_assert!(delay >= MIN_DELAY);
            // A caller that returns after the clock has jumped is treated like a first attempt or like a return.
            let _ = slots.is_return(request, Some(clock));
        }
    }
}

/// Guards against a share of first attempts being preferred that is larger than the one by chance.
#[test]
fn one_first_attempt_in_24_is_taken_for_a_return() {
    let slots = six_seconds();
    let mut rng = Pcg64::seed_from_u64(1);
    let n = 48_000;
    let recognised = (0..n)
        .filter(|_| {
            let clock = Duration::from_micros(rng.random_range(0..1 << 40));
            slots.is_return(Fingerprint::from(rng.random::<[u8; 16]>()), Some(clock))
        })
        .count();
    // 2000 expected, with a standard deviation of 44.
    assert!((1800..=2200).contains(&recognised), "{recognised}");
}

/// Guards against a request being recognised outside its slot, or not in all of it: its slot occurs once in a period.
#[test]
fn a_request_is_recognised_in_one_slot_of_each_period() {
    let slots = six_seconds();
    let mut rng = Pcg64::seed_from_u64(2);
    for _ in 0..100 {
        let request = Fingerprint::from(rng.random::<[u8; 16]>());
        for period in [0, 1, 1000] {
            let ms_of_period = 6000 * period..6000 * (period + 1);
            let recognised: Vec<u64> = ms_of_period
                .filter(|&t| slots.is_return(request, Some(ms(t))))
                .collect();
            assert_eq!(recognised.len(), 250);
            assert_eq!(recognised[249] - recognised[0], 249);
        }
    }
}

/// Guards against a slot that gets so many returns that they are refused again.
#[test]
fn returns_are_spread_evenly_over_the_slots() {
    let slots = six_seconds();
    let mut rng = Pcg64::seed_from_u64(3);
    for clock in [ms(0), ms(123_456)] {
        let mut returns = [0; 27];
        for _ in 0..10_000 {
            let request = Fingerprint::from(rng.random::<[u8; 16]>());
            let delay = slots.delay(request, Some(clock), CALLER_TIME, rng.random());
            returns[(delay.as_millis() / 250) as usize] += 1;
        }
        let mean = 10_000 / 24;
        assert!(returns.iter().all(|&n| n <= 2 * mean), "{returns:?}");
        // The delays begin at 0.67 s and cover a period, of which the first and last slot may share one.
        assert!(returns[4..26].iter().all(|&n| n >= mean / 2), "{returns:?}");
    }
}

/// Guards against a host that doesn't know the store's clock sending all callers back at once, or preferring anybody.
#[test]
fn without_a_clock_returns_are_spread_over_the_same_range_and_none_is_recognised() {
    let slots = six_seconds();
    let mut rng = Pcg64::seed_from_u64(4);
    let mut returns = [0; 24];
    for _ in 0..10_000 {
        let request = Fingerprint::from(rng.random::<[u8; 16]>());
        let delay = slots.delay(request, None, CALLER_TIME, rng.random());
        returns[((delay - (CALLER_TIME / 3 - slots.period())).as_millis() / 250) as usize] += 1;
        assert!(!slots.is_return(request, None));
    }
    let mean = 10_000 / 24;
    let even = |&n: &i32| mean / 2 <= n && n <= 2 * mean;
    assert!(returns.iter().all(even), "{returns:?}");
}

/// Guards against callers with less time left all being sent back at the last moment where the clock isn't known.
#[test]
fn without_a_clock_callers_with_less_time_left_are_spread_over_what_they_follow() {
    let slots = six_seconds();
    let request = Fingerprint::from([7; 16]);
    let delay = |draw| slots.delay(request, None, ms(4500), draw);
    assert_eq!(delay(0.0), MIN_DELAY);
    assert_eq!(delay(0.5), ms(1000));
    assert_eq!(slots.delay(request, None, ms(900), 0.9), ms(300));
}

/// Guards against all attempts of requests with the same body, such as those of a load test, returning at the same
/// moment. They return in the same slot, at different times.
#[test]
fn requests_with_the_same_fingerprint_return_at_different_times_of_a_slot() {
    let slots = six_seconds();
    let request = Fingerprint::from([9; 16]);
    let mut rng = Pcg64::seed_from_u64(5);
    let mut times: Vec<Duration> = (0..1000)
        .map(|_| slots.delay(request, Some(ms(77)), CALLER_TIME, rng.random()))
        .collect();
    let busiest = busiest(&mut times, ms(10));
    assert!(times[999] - times[0] <= slots.slot());
    assert!(busiest <= 200, "{busiest}");
}

/// Guards against callers refused in a burst returning in a burst. The load is what 68 hosts refuse in the first second
/// of a surge of twice the load: 1000 streams are requested and 600 can be served in two seconds, so 200 a second are
/// refused. The returns of that second must fit into what remains once the load has fallen to 0.8 of the capacity, 60
/// streams a second. By the rule for requests that no chain has room for, more than that return in one second.
#[test]
fn callers_refused_in_a_burst_return_spread_over_the_period() {
    const REFUSED: u64 = 200;
    const REMAINING_PER_S: usize = 60;
    let slots = six_seconds();
    let mut rng = Pcg64::seed_from_u64(6);
    let (mut by_slots, mut by_draw) = (Vec::new(), Vec::new());
    for i in 0..REFUSED {
        let refused_at = ms(1_000_000) + ms(1000) * i as u32 / REFUSED as u32;
        let request = Fingerprint::from(rng.random::<[u8; 16]>());
        // Each host has its own error of the clock, and each return is late by some milliseconds.
        let mut error = || ms(rng.random_range(0..TOLERANCE_MS));
        let (refusing, receiving, late) = (error(), error(), error());
        let delay = slots.delay(
            request,
            Some(refused_at + refusing),
            CALLER_TIME,
            rng.random(),
        );
        let returned_at = refused_at + delay + late;
        assert!(slots.is_return(request, Some(returned_at + receiving)));
        by_slots.push(returned_at);
        // The delay that callers are told today, 0.9 to 2.5 s.
        by_draw.push(refused_at + ms(900) + ms(1600).mul_f64(rng.random()));
    }
    let by_slots = busiest(&mut by_slots, ms(1000));
    let by_draw = busiest(&mut by_draw, ms(1000));
    assert!(by_slots <= REMAINING_PER_S, "{by_slots} by slots");
    assert!(by_draw > REMAINING_PER_S, "{by_draw} by draw");
}
