//! Quarantined and suspected requests in the hosts' rows in the store.
//!
//! If all hosts end at once, no host is left that could report its quarantined requests to hosts that start. The rows
//! therefore contain the requests that must not be sent again, with times of the store's clock, which is independent of
//! the clocks of the hosts.
//!
//! The terminations that do not suffice for a quarantine yet are stored as well, as each restart of all hosts would
//! otherwise allow a request to end as many endpoints again. Each host stores those that it has proved itself, as soon as
//! it has proved them: until then a loss of all hosts would lose them. One host of a data centre, which receives what
//! the others report, stores those of all. In a large fleet a loss of power of many engines would make all hosts write at
//! the same moment. There hosts write at once only what a request without any event may have caused; they spread the other
//! writes, and leave them to that host once it has received their reports.

use std::time::Duration;

use dragonflyrill_fleet::{
    fingerprint::Fingerprint,
    quarantine::{
        ClockSpan, Provers, QuarantinePeriod, QuarantineRecord, SuspectReport, Termination,
    },
};
use dragonflyrill_protocol::exchange::{
    HostRow, QuarantineRow, SuspectRow, TerminationRow, millis,
};

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

/// The terminations that count towards a quarantine, in the form of a row that is written at the time `clock` of the
/// store's clock: those that this host has proved, and those of all hosts if it stores them for others.
pub(super) fn suspects_to_rows(gateway: &Gateway, clock: Duration) -> Vec<SuspectRow> {
    let provers = match stores_suspects(gateway) {
        true => Provers::AllHosts,
        false => Provers::ThisHost,
    };
    let suspects = gateway.suspects_to_persist(provers);
    suspects.iter().map(|s| suspect_to_row(s, clock)).collect()
}

/// Whether this host stores the suspected requests of its data centre.
pub(super) fn stores_suspects(gateway: &Gateway) -> bool {
    let has_host_to_poll = gateway
        .peers
        .has_host_to_poll(&gateway.settings, gateway.now());
    gateway.reads_store() && gateway.peers.is_fleet_known() && !has_host_to_poll
}

fn suspect_to_row(suspect: &SuspectReport, clock: Duration) -> SuspectRow {
    let termination = |t: &Termination| TerminationRow {
        endpoint: t.endpoint.to_string(),
        at_ms: millis(clock.saturating_sub(t.age)),
    };
    SuspectRow {
        request: suspect.request.to_string(),
        terminations: suspect.terminations.iter().map(termination).collect(),
    }
}

/// Merges the quarantined and the suspected requests of all hosts' rows, which were read at the time `clock` of the
/// store's clock.
pub(super) fn merge(gateway: &Gateway, rows: &[(u64, HostRow)], clock: Duration) {
    for (_, row) in rows
        .iter()
        .filter(|(_, row)| !row.suspected_requests.is_empty())
    {
        let host = &row.host.host;
        let suspects = row
            .suspected_requests
            .iter()
            .filter_map(|suspect| parse_suspect(host, suspect, clock));
        gateway.restore_suspects(suspects.collect(), *host == gateway.settings.host);
    }
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

fn parse_request(host: &str, request: &str) -> Option<Fingerprint> {
    match request.parse() {
        Ok(request) => Some(request),
        Err(e) => {
            log::warn!(target: "roster", host = host, request = request, why:% = e; "A quarantined request in a row can't be used.");
            None
        }
    }
}

fn parse_suspect(host: &str, suspect: &SuspectRow, clock: Duration) -> Option<SuspectReport> {
    let termination = |t: &TerminationRow| Termination {
        endpoint: t.endpoint.as_str().into(),
        age: clock.saturating_sub(Duration::from_millis(t.at_ms)),
    };
    Some(SuspectReport {
        request: parse_request(host, &suspect.request)?,
        terminations: suspect.terminations.iter().map(termination).collect(),
        answer_age: None,
        period: None,
    })
}

fn parse_held(host: &str, held: &QuarantineRow, clock: Duration) -> Option<QuarantineRecord> {
    let request = parse_request(host, &held.request)?;
    let span = ClockSpan {
        since: Duration::from_millis(held.since_ms),
        until: Duration::from_millis(held.until_ms),
    };
    Some(QuarantineRecord {
        request,
        period: QuarantinePeriod::from_span(held.times, span, clock),
    })
}
