//! Repeats stay within the shared budget whatever the hosts see.

use std::time::Duration;

use dragonflyrill_fleet::budget::{BudgetTerms, Budgets, Recorded, RetryBudget};
use proptest::prelude::*;

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.2,
    burst: 40.0,
    window: Duration::from_secs(10),
};

/// Writes the host's row if that is due; tells whether it was.
fn write(budget: &mut RetryBudget, now: Duration, hosts: u32) -> bool {
    let due = budget.record_due(now, Some(hosts));
    if due {
        let repeats = budget.to_record(now, Some(hosts));
        budget.recording(repeats);
        budget.recorded(repeats);
    }
    due
}

/// Takes a repeat, and waits for it to be written down where it must be.
fn take(budget: &mut RetryBudget, now: Duration, hosts: u32) -> bool {
    write(budget, now, hosts);
    if budget.standing(now, Some(hosts)).waits_for_record() {
        budget.wait();
        write(budget, now, hosts);
        budget.waited();
    }
    budget.take(now, Some(hosts))
}

/// Takes all that is left.
fn take_all(budget: &mut RetryBudget, now: Duration, hosts: u32) -> usize {
    (0..100).filter(|_| take(budget, now, hosts)).count()
}

#[test]
fn a_host_alone_may_use_its_part_of_the_burst_without_requests() {
    let mut budget = RetryBudget::new(TERMS);
    let taken = take_all(&mut budget, Duration::ZERO, 4);
    assert_eq!(taken, 9, "nine tenths of a fourth of the burst");
}

#[test]
fn what_was_taken_comes_back_after_the_window() {
    let mut budget = RetryBudget::new(TERMS);
    take_all(&mut budget, Duration::ZERO, 4);
    assert!(!take(&mut budget, Duration::from_secs(10), 4));
    assert!(take(&mut budget, Duration::from_secs(11), 4));
}

#[test]
fn a_host_without_a_share_repeats_by_its_own_requests_only() {
    let mut budget = RetryBudget::new(TERMS);
    (0..50).for_each(|_| budget.request(Duration::ZERO));
    let now = TERMS.window;
    (0..60).for_each(|_| budget.request(now));
    let standing = budget.standing(now, None);
    assert_eq!(standing.allowed, 9.0, "nine tenths of a fifth of fifty");
}

/// What endpoints of a service may get: the requests that count are those of this window, of the one before
/// it, or of the one half a window before it, whichever has most.
fn allowed(requests: &[Duration], from: Duration) -> f64 {
    let within = |from: Duration| {
        let before = |t: Duration| requests.partition_point(|r| *r < t);
        before(from + TERMS.window) - before(from)
    };
    let earlier = |back: Duration| from.checked_sub(back).map_or(0, within);
    let half = TERMS.window / 2;
    let most = within(from).max(earlier(half)).max(earlier(TERMS.window));
    TERMS.ratio * most as f64 + TERMS.burst
}

/// The story of the failure: 110 repeats at a service in 4 s, 108.2 allowed, in a soak with hosts that were killed in
/// turn while a third of all calls failed (--fatal --seed 8403 --seconds 8). In order: a host ends, its callers
/// go to the three others, which count 1,640 requests of one window and repeat by them; it starts again, its
/// callers come back, and it counts 499 of the next window. Of any one window there were 1,844 requests, and
/// not 2,139.
#[test]
fn callers_that_move_from_host_to_host_are_not_counted_twice() {
    let mut hosts = [RetryBudget::new(TERMS), RetryBudget::new(TERMS)];
    let at = |n: u64| Duration::from_millis(10 * n);
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for n in 0..4000 {
        let host = usize::from(n >= 2000);
        hosts[host].request(at(n));
        requests.push(at(n));
        // Nothing fails before its callers leave the first host, nor at the second before its window is full.
        if n == 1999 || n == 2990 {
            while take(&mut hosts[host], at(n), 2) {
                repeats.push(at(n));
            }
        }
    }
    let from = repeats[0];
    let within = repeats.iter().filter(|t| **t < from + TERMS.window);
    let (repeated, allowed) = (within.count() as f64, allowed(&requests, from));
    assert!(repeated <= allowed, "{repeated}, {allowed} allowed");
}

#[test]
fn nothing_is_taken_that_was_not_written_down() {
    let mut budget = RetryBudget::new(TERMS);
    assert!(!budget.take(Duration::ZERO, Some(1)));
    assert!(budget.standing(Duration::ZERO, Some(1)).waits_for_record());
    budget.recorded(2);
    assert!(budget.take(Duration::ZERO, Some(1)));
    // A row that says less is on its way: it may be what the next process reads.
    budget.recording(1);
    assert!(!budget.take(Duration::ZERO, Some(1)));
    budget.recorded(3);
    assert!(budget.take(Duration::ZERO, Some(1)));
}

#[test]
fn half_of_the_budget_is_left_for_a_process_that_starts_after_a_quiet_one() {
    let now = Duration::from_secs(100);
    let mut quiet = RetryBudget::new(TERMS);
    let recorded = quiet.to_record(now, Some(1));
    let mut next = RetryBudget::new(TERMS);
    next.inherit(recorded, now);
    let left = take_all(&mut next, now, 1);
    assert_eq!((recorded, left), (18, 18), "of 36");
    // What it inherited counts for a window.
    let later = now + TERMS.span();
    assert_eq!(take_all(&mut next, later, 1), 36);
}

#[test]
fn nothing_is_left_for_a_process_that_starts_after_one_that_took_all() {
    let now = Duration::from_secs(100);
    let mut budgets = Budgets::new(TERMS);
    let service = "llm".into();
    let taken = take_all(budgets.of(&service), now, 1);
    let row = budgets.to_record(now, Some(1));
    assert_eq!((taken, row[0].repeats), (36, 36));
    let mut next = Budgets::new(TERMS);
    next.inherit(&row, now);
    assert_eq!(take_all(next.of(&service), now, 1), 0);
    // And its row goes on to say so.
    let repeats = 36;
    assert_eq!(
        next.to_record(now, Some(1)),
        [Recorded { service, repeats }]
    );
}

#[test]
fn a_row_never_says_less_than_what_was_taken_although_less_is_allowed_now() {
    let mut budget = RetryBudget::new(TERMS);
    assert_eq!(take_all(&mut budget, Duration::ZERO, 1), 36);
    assert_eq!(budget.to_record(Duration::ZERO, Some(10)), 36);
    assert_eq!(budget.to_record(Duration::ZERO, None), 36);
}

#[test]
fn a_host_that_ends_leaves_the_next_process_what_it_has_not_used() {
    let now = Duration::ZERO;
    let mut ending = RetryBudget::new(TERMS);
    assert!((0..3).all(|_| take(&mut ending, now, 1)));
    ending.leave();
    let recorded = ending.to_record(now, Some(1));
    assert_eq!(recorded, 3);
    ending.recording(recorded);
    ending.recorded(recorded);
    let mut next = RetryBudget::new(TERMS);
    next.inherit(recorded, now);
    assert_eq!(take_all(&mut next, now, 1), 33);
    // Until it has ended it may still repeat, once more is written down.
    assert!(ending.standing(now, Some(1)).waits_for_record());
    assert!(take(&mut ending, now, 1));
}

#[test]
fn a_surge_of_repeats_takes_few_writes() {
    let now = Duration::ZERO;
    let mut budget = RetryBudget::new(BudgetTerms {
        burst: 400.0,
        ..TERMS
    });
    let mut writes = 0;
    for _ in 0..400 {
        writes += u32::from(write(&mut budget, now, 1));
        take(&mut budget, now, 1);
    }
    assert_eq!(writes, 4, "the quiet half, then a fourth more each time");
}

#[test]
fn all_that_wait_are_written_down_at_once() {
    let now = Duration::ZERO;
    let mut budget = RetryBudget::new(TERMS);
    budget.leave();
    write(&mut budget, now, 1);
    assert_eq!(budget.standing(now, Some(1)).recorded, 1);
    (0..20).for_each(|_| budget.wait());
    assert!(write(&mut budget, now, 1));
    (0..20).for_each(|_| budget.waited());
    let taken = (0..20).filter(|_| budget.take(now, Some(1))).count();
    assert_eq!(taken, 20);
}

proptest! {
    /// The same while callers move from some hosts to others and every call fails.
    #[test]
    fn the_sum_over_hosts_keeps_to_the_budget_while_callers_move(
        phases in prop::collection::vec((1u64..80, prop::collection::vec(0usize..5, 1..5)), 1..12),
    ) {
        const HOSTS: usize = 5;
        let mut budgets: Vec<RetryBudget> = (0..HOSTS).map(|_| RetryBudget::new(TERMS)).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        let mut n = 0;
        for (lasts, asked) in phases {
            for _ in 0..lasts * 10 {
                let now = Duration::from_millis(10 * n);
                let host = asked[n as usize % asked.len()];
                n += 1;
                budgets[host].request(now);
                requests.push(now);
                if take(&mut budgets[host], now, HOSTS as u32) {
                    repeats.push(now);
                }
            }
        }
        for from in &repeats {
            let within = repeats.iter().filter(|t| *t >= from && **t < *from + TERMS.window);
            let (repeated, allowed) = (within.count() as f64, allowed(&requests, *from));
            prop_assert!(repeated <= allowed, "{} repeats from {:?}, {} allowed", repeated, from, allowed);
        }
    }

    /// In any window, over all hosts, repeats stay within the share of the requests and the burst.
    #[test]
    fn the_sum_over_hosts_keeps_to_the_budget(
        events in prop::collection::vec((0u64..40_000, 0usize..5, any::<bool>()), 1..600),
    ) {
        const HOSTS: usize = 5;
        let mut events = events;
        events.sort();
        let mut budgets: Vec<RetryBudget> = (0..HOSTS).map(|_| RetryBudget::new(TERMS)).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (ms, host, is_request) in events {
            let now = Duration::from_millis(ms);
            if is_request {
                budgets[host].request(now);
                requests.push(now);
            } else if take(&mut budgets[host], now, HOSTS as u32) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let inside = |t: &&Duration| **t <= *end && **t + TERMS.window > *end;
            let asked = requests.iter().filter(inside).count() as f64;
            let repeated = repeats.iter().filter(inside).count() as f64;
            prop_assert!(repeated <= TERMS.ratio * asked + TERMS.burst);
        }
    }
}
