//! Detects that the request arbiter made no progress for a while: the process got no processor time, or something
//! blocked its thread.
//!
//! Requests whose deadline passes meanwhile fail although nothing else was wrong, and only this tells them from requests
//! that waited for an endpoint or a right.

use dragonflyrill_clock::awake;
use std::{rc::Rc, time::Duration};

use crate::host::Host;

/// The interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum delay of a check that is reported. Rights are lent for 0.6 s, so that longer stalls may also let rights
/// lapse.
const MIN_STALL: Duration = Duration::from_millis(500);

/// How long the arbiter made no progress, given when a check was due and when it was made; `None` if that is not worth
/// reporting.
pub fn stalled_for(due: Duration, now: Duration) -> Option<Duration> {
    let delay = now.saturating_sub(due);
    (delay >= MIN_STALL).then_some(delay)
}

/// Reports stalls for as long as the host runs.
pub async fn watch(host: Rc<Host>) {
    loop {
        let due = host.now() + CHECK_INTERVAL;
        awake::sleep(CHECK_INTERVAL).await;
        if let Some(suspended) = host.clock.check() {
            log::warn!("host: The machine was suspended for {suspended:?}.");
        }
        if let Some(stall) = stalled_for(due, host.now()) {
            host.metrics.stalls.inc();
            log::warn!("host: Nothing ran for {stall:?}.");
        }
    }
}
