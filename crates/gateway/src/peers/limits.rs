//! Exchange of limits that endpoints state, and of lent permits, between hosts.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoint_limits::{LimitReport, RequestRate};
use dragonflyrill_protocol::exchange::{EndpointLimit, FleetHost};

use crate::gateway::Gateway;

/// The limits that this host reports to a polled host. If `borrows`, that host is nearby and ranks
/// before this one, and permits are requested from it.
pub(super) fn offer(gateway: &Gateway, borrows: bool) -> Vec<EndpointLimit> {
    let mut limits = gateway.limits.borrow_mut();
    if limits.is_empty() && !borrows {
        return Vec::new();
    }
    let now = gateway.now();
    let reports = match borrows {
        true => limits.request_permits(now),
        false => limits.reports(now),
    };
    reports.iter().map(|r| to_wire(r, borrows)).collect()
}

/// Merges the limits that a polling host has reported. Returns the limits that this host knows,
/// with the permits that it lends to the polling host.
pub(super) fn answer(
    gateway: &Gateway,
    from: &FleetHost,
    received: &[EndpointLimit],
) -> Vec<EndpointLimit> {
    let now = gateway.now();
    merge(gateway, received, now);
    let settings = &gateway.settings;
    let lends = from.data_centre == *settings.data_centre && from.host > settings.host;
    let shares = gateway.limit_shares();
    let mut limits = gateway.limits.borrow_mut();
    let mut known: Vec<EndpointLimit> = limits
        .reports(now)
        .iter()
        .map(|r| to_wire(r, false))
        .collect();
    for limit in known.iter_mut().filter(|_| lends) {
        let request = received.iter().find(|t| t.endpoint == limit.endpoint);
        let request = request.map(from_wire);
        limit.permits = request.map_or(0, |request| limits.lend(&request, shares, now));
    }
    known
}

/// Merges the limits that another host has reported in answer to a call sent at `polled_at`.
pub(super) fn merge(gateway: &Gateway, received: &[EndpointLimit], polled_at: Duration) {
    for limit in received {
        let LimitReport { id, rate, age, .. } = from_wire(limit);
        let as_of = polled_at.saturating_sub(age);
        gateway.merge_limit_report(&id, rate, as_of);
    }
}

/// Adds the permits that another host has lent in answer to a call sent at `polled_at`.
pub(super) fn add_borrowed_permits(
    gateway: &Gateway,
    received: &[EndpointLimit],
    polled_at: Duration,
) {
    let mut limits = gateway.limits.borrow_mut();
    for limit in received {
        limits.add_borrowed(&limit.endpoint, limit.permits, polled_at);
    }
}

fn to_wire(report: &LimitReport, borrows: bool) -> EndpointLimit {
    EndpointLimit {
        endpoint: report.id.to_string(),
        per_s: report.rate.map(RequestRate::per_s),
        age_us: report.age.as_micros() as u64,
        permits: if borrows { report.wanted } else { 0 },
        returned: if borrows { report.returned } else { 0 },
    }
}

/// An invalid rate is read as no limit; no host sends one.
fn from_wire(limit: &EndpointLimit) -> LimitReport {
    LimitReport {
        id: Rc::from(limit.endpoint.as_str()),
        rate: limit
            .per_s
            .and_then(|per_s| RequestRate::try_from(per_s).ok()),
        age: Duration::from_micros(limit.age_us),
        wanted: limit.permits,
        returned: limit.returned,
    }
}
