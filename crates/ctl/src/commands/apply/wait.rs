//! `apply --wait`: waits until a revision is in force on all entry hosts.

use std::time::{Duration, Instant};

use actix_rt::time;
use dragonflyrill_catalogue::state::Revision;

use crate::{
    commands::status::{self, LaggingHost},
    context::Context,
    error::CtlError,
    host_status,
};

/// The pause between two polls of all entry hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until `revision` is in force on every entry host that is not shutting down, for at most
/// `within`. Returns the hosts that still lag then; empty if there are none.
///
/// # Errors
/// [`CtlError::InForceUnknown`] when, at the end of the wait, the host list can't be read or has no
/// entry host that is not shutting down.
pub(super) async fn until_in_force(
    cx: &Context,
    revision: Revision,
    within: Duration,
) -> Result<Vec<LaggingHost>, CtlError> {
    let start = Instant::now();
    loop {
        let timed_out = start.elapsed() >= within;
        let cause = match poll_lagging_hosts(cx, revision).await {
            Ok(lagging) if lagging.is_empty() || timed_out => return Ok(lagging),
            Ok(_) => String::new(),
            Err(cause) => cause,
        };
        if timed_out {
            return Err(CtlError::InForceUnknown { revision, cause });
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the hosts that lag now.
///
/// # Errors
/// Why the lag is unknown: the host list can't be read or has no host that is not shutting down.
async fn poll_lagging_hosts(cx: &Context, revision: Revision) -> Result<Vec<LaggingHost>, String> {
    let hosts = host_status::query_listed(cx)
        .await
        .map_err(|e| e.to_string())?;
    if hosts.iter().all(|h| h.leaving) {
        return Err("the platform lists no entry host".to_owned());
    }
    Ok(status::lagging_hosts(revision, &hosts))
}
