//! What hosts tell each other of the limits that endpoints name, and the permits that they lend.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::endpoint_limits::{LimitReport, RequestRate};
use dragonflyrill_protocol::exchange::{EndpointLimit, FleetHost};

use crate::gateway::Gateway;

/// What this host tells a host that it asks; of one nearby that comes before it, it wants permits.
pub(super) fn offer(gateway: &Gateway, lends: bool) -> Vec<EndpointLimit> {
    let mut limits = gateway.limits.borrow_mut();
    if limits.is_empty() && !lends {
        return Vec::new();
    }
    let now = gateway.now();
    let accounts = match lends {
        true => limits.request_permits(now),
        false => limits.reports(now),
    };
    accounts.iter().map(|a| to_wire(a, lends)).collect()
}

/// Takes what a host that asks tells, and gives it what this one knows and the permits that it is lent.
pub(super) fn answer(
    gateway: &Gateway,
    from: &FleetHost,
    told: &[EndpointLimit],
) -> Vec<EndpointLimit> {
    let now = gateway.now();
    take(gateway, told, now);
    let settings = &gateway.settings;
    let lends = from.data_centre == *settings.data_centre && from.host > settings.host;
    let shares = gateway.limit_shares();
    let mut limits = gateway.limits.borrow_mut();
    let mut known: Vec<EndpointLimit> = limits
        .reports(now)
        .iter()
        .map(|a| to_wire(a, false))
        .collect();
    for limit in known.iter_mut().filter(|_| lends) {
        let asked = told.iter().find(|t| t.endpoint == limit.endpoint);
        let asked = asked.map(from_wire);
        limit.permits = asked.map_or(0, |asked| limits.lend(&asked, shares, now));
    }
    known
}

/// Takes what a host tells that was asked at `asked_at`.
pub(super) fn take(gateway: &Gateway, told: &[EndpointLimit], asked_at: Duration) {
    for limit in told {
        let LimitReport { id, rate, age, .. } = from_wire(limit);
        let as_of = asked_at.saturating_sub(age);
        gateway.merge_limit_report(&id, rate, as_of);
    }
}

/// Takes the permits that a host has lent that was asked at `asked_at`.
pub(super) fn take_permits(gateway: &Gateway, told: &[EndpointLimit], asked_at: Duration) {
    let mut limits = gateway.limits.borrow_mut();
    for limit in told {
        limits.add_borrowed(&limit.endpoint, limit.permits, asked_at);
    }
}

fn to_wire(account: &LimitReport, wants: bool) -> EndpointLimit {
    EndpointLimit {
        endpoint: account.id.to_string(),
        per_s: account.rate.map(RequestRate::per_s),
        age_us: account.age.as_micros() as u64,
        permits: if wants { account.wanted } else { 0 },
        returned: if wants { account.returned } else { 0 },
    }
}

/// A rate that is none is left out, as if the endpoint named no limit: no host tells one.
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
