//! Requests that are held, as hosts' rows in the store keep them for the processes that start next.
//!
//! When all hosts end at once nobody is left to tell those that start: what they must not send again is
//! in the rows, with times of the store's clock, which is that of no host.

use std::time::Duration;

use dragonflyrill_fleet::quarantine::{ClockSpan, QuarantinePeriod, QuarantineRecord};
use dragonflyrill_protocol::exchange::{HostRow, KeptHold, millis};

use crate::gateway::Gateway;

/// Holds as a row spells them that is written at this time of the store's clock.
pub(super) fn spelled(kept: &[QuarantineRecord], clock: Duration) -> Vec<KeptHold> {
    let one = |kept: &QuarantineRecord| {
        let span = kept.period.span(clock);
        KeptHold {
            request: kept.request.to_string(),
            times: kept.period.count,
            since_ms: millis(span.since),
            until_ms: millis(span.until),
        }
    };
    kept.iter().map(one).collect()
}

/// Takes the holds of all hosts' rows, as read at this time of the store's clock.
pub(super) fn take(gateway: &Gateway, rows: &[(u64, HostRow)], clock: Duration) {
    for (_, row) in rows.iter().filter(|(_, row)| !row.held_requests.is_empty()) {
        let host = &row.host.host;
        let kept = row
            .held_requests
            .iter()
            .filter_map(|held| read(host, held, clock));
        gateway.restore_quarantines(kept.collect(), *host == gateway.settings.host);
    }
}

fn read(host: &str, held: &KeptHold, clock: Duration) -> Option<QuarantineRecord> {
    let request = match held.request.parse() {
        Ok(request) => request,
        Err(e) => {
            log::warn!(target: "roster", host = host, request = held.request.as_str(), why:% = e; "A held request in a row can't be used.");
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
