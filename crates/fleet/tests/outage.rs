//! Entries that are missing may have lapsed only soon after trouble, and only if it was long enough.

use std::time::Duration;

use dragonflyrill_fleet::outage::StoreOutage;

const HEARTBEAT: Duration = Duration::from_secs(1);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn without_trouble_the_store_never_was_back() {
    let mut outage = StoreOutage::new(HEARTBEAT);
    outage.record_list_update(s(10), Some(s(1)), s(10));
    assert_eq!(outage.recovered_at(), None);
}

#[test]
fn the_store_is_back_when_the_list_is_first_heard_of_after_trouble() {
    let mut outage = StoreOutage::new(HEARTBEAT);
    outage.record_failure(s(11));
    outage.record_list_update(s(10), Some(s(1)), s(11));
    assert_eq!(outage.recovered_at(), None, "that was before the trouble");
    outage.record_list_update(s(20), Some(s(10)), s(21));
    assert_eq!(outage.recovered_at(), Some(s(21)));
    outage.record_list_update(s(30), Some(s(20)), s(31));
    assert_eq!(outage.recovered_at(), Some(s(21)), "it was back before");
}

#[test]
fn trouble_in_which_no_entry_lapses_is_none() {
    let mut outage = StoreOutage::new(HEARTBEAT);
    outage.record_failure(s(11));
    outage.record_list_update(s(11) + HEARTBEAT / 2, Some(s(10)), s(12));
    assert_eq!(outage.recovered_at(), None);
    outage.record_list_update(s(20), Some(s(12)), s(20));
    assert_eq!(outage.recovered_at(), None, "it was over before");
}
