//! Tests that missing entries count as possibly lapsed only soon after an outage of the store, and
//! only if it was long enough.

use std::time::Duration;

use dragonflyrill_fleet::outage::StoreOutage;

const HEARTBEAT: Duration = Duration::from_secs(1);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn without_an_outage_there_is_no_recovery() {
    let mut outage = StoreOutage::new(HEARTBEAT);
    outage.record_list_update(s(10), Some(s(1)), s(10));
    assert_eq!(outage.recovered_at(), None);
}

#[test]
fn the_store_has_recovered_at_the_first_list_update_after_an_outage() {
    let mut outage = StoreOutage::new(HEARTBEAT);
    outage.record_failure(s(11));
    outage.record_list_update(s(10), Some(s(1)), s(11));
    assert_eq!(
        outage.recovered_at(),
        None,
        "the list was read before the failure"
    );
    outage.record_list_update(s(20), Some(s(10)), s(21));
    assert_eq!(outage.recovered_at(), Some(s(21)));
    outage.record_list_update(s(30), Some(s(20)), s(31));
    assert_eq!(
        outage.recovered_at(),
        Some(s(21)),
        "the store had recovered before"
    );
}

#[test]
fn an_outage_too_short_for_entries_to_lapse_is_ignored() {
    let mut outage = StoreOutage::new(HEARTBEAT);
    outage.record_failure(s(11));
    outage.record_list_update(s(11) + HEARTBEAT / 2, Some(s(10)), s(12));
    assert_eq!(outage.recovered_at(), None);
    outage.record_list_update(s(20), Some(s(12)), s(20));
    assert_eq!(outage.recovered_at(), None, "the outage was over before");
}
