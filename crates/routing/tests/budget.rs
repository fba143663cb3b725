//! Retry budgets and backoff. Without them, a failing endpoint multiplies the load through retries,
//! and callers retry at the same time.

mod common;

use common::ms;
use dragonflyrill_routing::{Backoff, RetryBudget, budget::RetryBudgetConfig};
use proptest::prelude::*;
use rand::SeedableRng;

proptest! {
    #[test]
    fn retries_stay_within_the_earned_budget(
        calls in prop::collection::vec((any::<bool>(), 0u64..100), 0..500),
    ) {
        let cfg = RetryBudgetConfig::default();
        let mut budget = RetryBudget::new(ms(0), cfg);
        let (mut now, mut requests, mut retries) = (0, 0, 0);
        for (retry, wait) in calls {
            now += wait;
            match retry {
                true => retries += u32::from(budget.try_retry(ms(now))),
                false => {
                    requests += 1;
                    budget.record_first_attempt(ms(now));
                }
            }
            let earned = cfg.burst
                + f64::from(requests) * cfg.ratio
                + ms(now).as_secs_f64() * cfg.per_second;
            prop_assert!(f64::from(retries) <= earned + 1e-6);
        }
    }

    #[test]
    fn a_wait_honours_retry_after_and_the_bounds(retry in 0u32..100, after in 0u64..10_000, seed: u64) {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let backoff = Backoff::default();
        let wait = backoff.wait(retry, Some(ms(after)), &mut rng);
        prop_assert!(wait >= ms(after) && wait <= ms(after) + backoff.max);
        let max_wait = backoff.base * 2u32.saturating_pow(retry.min(16));
        prop_assert!(backoff.wait(retry, None, &mut rng) <= max_wait.min(backoff.max));
    }
}

#[test]
fn time_alone_refills_the_budget() {
    let mut budget = RetryBudget::new(ms(0), RetryBudgetConfig::default());
    while budget.try_retry(ms(0)) {}
    assert!(!budget.try_retry(ms(1_000)));
    assert!(budget.try_retry(ms(6_000)));
}
