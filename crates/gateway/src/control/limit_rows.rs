//! The limits that endpoints state, in the hosts' rows in the store.
//!
//! A host that starts receives the limits from other hosts. If all hosts start at once, no host knows them, and each
//! would send without a limit until an answer states it. In each data centre, the host that reads the store writes the
//! limits into its row.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoint_limits::RequestRate;
use dragonflyrill_protocol::exchange::{EndpointLimitRow, HostRow, millis};

use crate::gateway::Gateway;

/// The age from which a limit in a row is ignored. Rows are written again within half of this time.
const MAX_AGE: Duration = Duration::from_secs(60);

/// The limits in the form of this host's row, which is written at the time `clock` of the store's clock. Empty on a
/// host that does not read the store.
pub(super) fn to_rows(gateway: &Gateway, clock: Duration) -> Vec<EndpointLimitRow> {
    if !gateway.reads_store() {
        return Vec::new();
    }
    let reports = gateway.limits.borrow().reports(gateway.now());
    let limits = reports.iter().filter_map(|report| {
        Some(EndpointLimitRow {
            endpoint: report.id.to_string(),
            per_s: report.rate?.per_s(),
            as_of_ms: millis(clock.saturating_sub(report.age)),
        })
    });
    let mut limits: Vec<EndpointLimitRow> = limits.collect();
    limits.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    limits
}

/// Merges the limits of all hosts' rows, which a host that starts has read at the time `clock` of the store's clock.
pub(super) fn merge(gateway: &Gateway, rows: &[(u64, HostRow)], clock: Duration) {
    let limits = rows.iter().flat_map(|(_, row)| &row.endpoint_limits);
    for EndpointLimitRow {
        endpoint,
        per_s,
        as_of_ms,
    } in limits
    {
        let age = clock.saturating_sub(Duration::from_millis(*as_of_ms));
        match RequestRate::try_from(*per_s) {
            Ok(rate) if age < MAX_AGE => {
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
