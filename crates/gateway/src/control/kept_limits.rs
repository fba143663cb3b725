//! Limits that endpoints name, as rows in the store keep them for hosts that start.
//!
//! A host that starts is told them by others. When all hosts start at once nobody is left to tell, and each would
//! send what it likes until an answer names the limit. One host of each data centre writes them, the one that reads
//! the store.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoint_limits::RequestRate;
use dragonflyrill_protocol::exchange::{HostRow, KeptLimit, millis};

use crate::gateway::Gateway;

/// How old a limit in a row may be to be believed: rows are written again within half of it.
const BELIEVED: Duration = Duration::from_secs(60);

/// The limits that this host's row is to keep, written at this time of the store's clock.
pub(super) fn to_keep(gateway: &Gateway, clock: Duration) -> Vec<KeptLimit> {
    if !gateway.reads_store() {
        return Vec::new();
    }
    let accounts = gateway.limits.borrow().reports(gateway.now());
    let kept = accounts.iter().filter_map(|account| {
        Some(KeptLimit {
            endpoint: account.id.to_string(),
            per_s: account.rate?.per_s(),
            as_of_ms: millis(clock.saturating_sub(account.age)),
        })
    });
    let mut kept: Vec<KeptLimit> = kept.collect();
    kept.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    kept
}

/// Takes the limits of all hosts' rows, as a host that starts has read them at this time of the store's clock.
pub(super) fn take(gateway: &Gateway, rows: &[(u64, HostRow)], clock: Duration) {
    let kept = rows.iter().flat_map(|(_, row)| &row.endpoint_limits);
    for KeptLimit {
        endpoint,
        per_s,
        as_of_ms,
    } in kept
    {
        let age = clock.saturating_sub(Duration::from_millis(*as_of_ms));
        match RequestRate::try_from(*per_s) {
            Ok(rate) if age < BELIEVED => {
                let as_of = gateway.now().saturating_sub(age);
                gateway.merge_limit_report(&Rc::from(endpoint.as_str()), Some(rate), as_of);
            }
            Ok(_) => {}
            Err(e) => {
                log::warn!(target: "roster", endpoint = endpoint.as_str(), why:% = e; "A limit in a row can't be used.");
            }
        }
    }
}
