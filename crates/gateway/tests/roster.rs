//! The rate at which the rows of all hosts together are written to the store is bounded.

use std::time::Duration;

use dragonflyrill_gateway::control::host_row::heartbeat_interval;

/// The number of rows that a fleet of `hosts` hosts writes per second.
fn writes_per_second(hosts: usize) -> f64 {
    hosts as f64 / heartbeat_interval(hosts).as_secs_f64()
}

#[test]
fn rows_of_large_fleets_are_written_less_often() {
    assert_eq!(heartbeat_interval(1), Duration::from_secs(8));
    assert_eq!(heartbeat_interval(82), Duration::from_millis(20_500));
    assert_eq!(heartbeat_interval(12_000), Duration::from_secs(30));
    for hosts in [1, 8, 60, 82, 120] {
        assert!(writes_per_second(hosts) <= 4.0, "{hosts}");
    }
    assert!(writes_per_second(360) <= 12.0);
}
