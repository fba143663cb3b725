//! What a token bucket lets through.

use std::time::Duration;

use dragonflyrill_fleet::token_bucket::TokenBucket;
use proptest::prelude::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_use_larger_than_the_bucket_waits_until_it_is_full() {
    let mut bucket = TokenBucket::new(10.0, 5.0);
    assert!(bucket.take(8.0, ms(0)));
    assert!(!bucket.take(8.0, ms(499)));
    assert!(bucket.take(8.0, ms(999)));
}

#[test]
fn a_bucket_that_holds_nothing_gives_nothing() {
    let mut bucket = TokenBucket::new(0.0, 0.0);
    assert!(!bucket.take(1.0, ms(0)));
    assert!(!bucket.take(1.0, ms(100_000)));
}

/// Lines that are logged at a tenth of one a second, half a line at once.
#[test]
fn uses_larger_than_the_bucket_keep_to_its_rate() {
    let mut bucket = TokenBucket::new(0.1, 0.5);
    let taken = (0..1000).filter(|s| bucket.take(1.0, ms(s * 1000))).count();
    assert_eq!(taken, 100);
}

proptest! {
    /// In any time, what is taken is at most the capacity and what flows in meanwhile.
    #[test]
    fn no_more_is_taken_than_the_rate_and_one_burst(
        uses in proptest::collection::vec((0u64..400, 0.1f64..4.0), 1..60),
    ) {
        let mut bucket = TokenBucket::new(10.0, 5.0);
        let (mut now, mut taken) = (ms(0), 0.0);
        for (pause, tokens) in uses {
            now += ms(pause);
            if bucket.take(tokens, now) {
                taken += tokens;
            }
            prop_assert!(taken <= 5.0 + 10.0 * now.as_secs_f64() + 1e-6);
        }
    }
}
