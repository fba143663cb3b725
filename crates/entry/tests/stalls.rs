//! A request arbiter that made no progress reports it.

mod common;

use std::{thread, time::Duration};

use common::{Fleet, until};
use dragonflyrill_entry::stalls;

#[test]
fn a_check_that_is_a_little_late_is_no_stall() {
    let s = Duration::from_secs;
    assert_eq!(
        stalls::stalled_for(s(2), s(2) + Duration::from_millis(499)),
        None
    );
    assert_eq!(stalls::stalled_for(s(2), s(1)), None);
    assert_eq!(stalls::stalled_for(s(2), s(7)), Some(s(5)));
}

/// Guards against requests whose deadline passed while nothing ran: no log told them from requests that waited for
/// an endpoint or a right.
#[actix_rt::test]
async fn a_blocked_request_arbiter_is_reported() {
    let fleet = Fleet::start(1).await;
    let host = fleet.nodes[0].host.clone();
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    let before = host.metrics.stalls.get();
    thread::sleep(Duration::from_secs(1));
    until("the stall is reported", || {
        host.metrics.stalls.get() > before
    })
    .await;
}
