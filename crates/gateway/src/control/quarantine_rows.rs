//! Quarantined requests in the hosts' rows in the store.
//!
//! If all hosts end at once, no host is left that could report its quarantined requests to hosts that start. The rows
//! therefore contain the requests that must not be sent again, with times of the store's clock, which is independent of
//! the clocks of the hosts.

use std::time::Duration;

use dragonflyrill_fleet::quarantine::{ClockSpan, QuarantinePeriod, QuarantineRecord};
use dragonflyrill_protocol::exchange::{HostRow, QuarantineRow, millis};

use crate::gateway::Gateway;

/// Converts quarantine records to the form of a row that is written at the time `clock` of the store's clock.
pub(super) fn to_rows(records: &[QuarantineRecord], clock: Duration) -> Vec<QuarantineRow> {
    let to_row = |record: &QuarantineRecord| {
        let span = record.period.span(clock);
        QuarantineRow {
            request: record.request.to_string(),
            times: record.period.count,
            since_ms: millis(span.since),
            until_ms: millis(span.until),
        }
    };
    records.iter().map(to_row).collect()
}

/// Merges the quarantined requests of all hosts' rows, which were read at the time `clock` of the store's clock.
pub(super) fn merge(gateway: &Gateway, rows: &[(u64, HostRow)], clock: Duration) {
    for (_, row) in rows
        .iter()
        .filter(|(_, row)| !row.quarantined_requests.is_empty())
    {
        let host = &row.host.host;
        let records = row
            .quarantined_requests
            .iter()
            .filter_map(|held| parse_held(host, held, clock));
        gateway.restore_quarantines(records.collect(), *host == gateway.settings.host);
    }
}

fn parse_held(host: &str, held: &QuarantineRow, clock: Duration) -> Option<QuarantineRecord> {
    let request = match held.request.parse() {
        Ok(request) => request,
        Err(e) => {
            log::warn!(target: "roster", host = host, request = held.request.as_str(), why:% = e; "A quarantined request in a row can't be used.");
            return None;
        }
    };
    let span = ClockSpan {
        since: Duration::from_millis(held.since_ms),
        until: Duration::from_millis(held.until_ms),
    };
    Some(QuarantineRecord {
        request,
        period: QuarantinePeriod::from_span(held.times, span, clock),
    })
}
