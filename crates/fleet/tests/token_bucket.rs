//! How many tokens a token bucket grants.

use std::time::Duration;

use dragonflyrill_fleet::token_bucket::TokenBucket;
use proptest::prelude::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_use_larger_than_the_bucket_waits_until_it_is_full() {
    let mut bucket = TokenBucket::new(10.0, 5.0);
    assert!(bucket.try_acquire(8.0, ms(0)));
    assert!(!bucket.try_acquire(8.0, ms(499)));
    assert!(bucket.try_acquire(8.0, ms(999)));
}

#[test]
fn a_bucket_with_capacity_zero_grants_nothing() {
    let mut bucket = TokenBucket::new(0.0, 0.0);
    assert!(!bucket.try_acquire(1.0, ms(0)));
    assert!(!bucket.try_acquire(1.0, ms(100_000)));
}

/// For example log lines at a rate of 0.1 a second with a capacity of half a line.
#[test]
fn uses_larger_than_the_bucket_keep_to_its_rate() {
    let mut bucket = TokenBucket::new(0.1, 0.5);
    let acquired = (0..1000)
        .filter(|s| bucket.try_acquire(1.0, ms(s * 1000)))
        .count();
    assert_eq!(acquired, 100);
}

proptest! {
    /// At any time, the tokens acquired are at most the capacity plus what has flowed in.
    #[test]
    fn no_more_is_acquired_than_the_rate_and_one_burst(
        uses in proptest::collection::vec((0u64..400, 0.1f64..4.0), 1..60),
    ) {
        let mut bucket = TokenBucket::new(10.0, 5.0);
        let (mut now, mut acquired) = (ms(0), 0.0);
        for (pause, tokens) in uses {
            now += ms(pause);
            if bucket.try_acquire(tokens, now) {
                acquired += tokens;
            }
            prop_assert!(acquired <= 5.0 + 10.0 * now.as_secs_f64() + 1e-6);
        }
    }
}
