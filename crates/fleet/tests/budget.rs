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
    let standing = budget.standing(Duration::ZERO, None);
    assert_eq!(standing.allowed, 9.0, "nine tenths of a fifth of fifty");
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
