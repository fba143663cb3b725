//! Tests that a catalogue is used only for a limited time after the last proof that it is the
//! newest.

use std::time::Duration;

use dragonflyrill_fleet::freshness::Freshness;

const BOUND: Duration = Duration::from_secs(5);

fn s(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

#[test]
fn nothing_is_fresh_before_the_first_proof() {
    assert!(!Freshness::new(BOUND).is_fresh(s(0.0)));
}

#[test]
fn a_proof_expires_before_the_bound() {
    let mut freshness = Freshness::new(BOUND);
    freshness.record_proof(s(10.0));
    assert!(freshness.is_fresh(s(14.6)));
    assert!(!freshness.is_fresh(s(14.8)));
    assert!(!freshness.is_fresh(s(15.0)));
}

#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let mut freshness = Freshness::new(BOUND);
    freshness.record_proof(s(10.0));
    freshness.record_proof(s(2.0));
    assert!(freshness.is_fresh(s(14.0)));
}

#[test]
fn the_remaining_time_shrinks_to_zero() {
    let mut freshness = Freshness::new(BOUND);
    freshness.record_proof(s(1.0));
    assert!(freshness.remaining(s(1.0)) < BOUND);
    assert_eq!(freshness.remaining(s(100.0)), Duration::ZERO);
}
