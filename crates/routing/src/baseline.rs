//! Simpler routing policies for comparison with [`Router`].

use std::{collections::HashMap, time::Duration};

use dragonflyrill_catalogue::{DataCentre, EndpointId};
use dragonflyrill_engines::wire;

use crate::{
    ChainQuery, EndpointTable, Hop, NoEndpoint, Outcome, Role, Router, Shortage, StepSize,
    table::Endpoint,
};

/// The operations of a routing policy that a comparison uses.
pub trait Policy {
    /// Returns the table of endpoints.
    fn table_mut(&mut self) -> &mut EndpointTable;
    /// As [`Router::choose_chain`].
    fn choose(&mut self, now: Duration, query: &ChainQuery<'_>) -> Result<Vec<Hop>, NoEndpoint>;
    /// As [`Router::sent`].
    fn sent(&mut self, _now: Duration, _endpoint: &EndpointId) {}
    /// As [`Router::ended_step`].
    fn ended(
        &mut self,
        _now: Duration,
        _endpoint: &EndpointId,
        _outcome: Outcome,
        _work: StepSize,
    ) {
    }
    /// As [`Router::released`].
    fn released(&mut self, _now: Duration, _endpoint: &EndpointId) {}
    /// As [`Router::apply_load_report`].
    fn apply_load_report(&mut self, _now: Duration, _report: &wire::LoadReport) {}
    /// As [`Router::apply_cache_events`].
    fn apply_cache_events(
        &mut self,
        _now: Duration,
        _endpoint: &EndpointId,
        _ev: &wire::CacheEvents,
    ) {
    }
}

impl Policy for Router {
    fn table_mut(&mut self) -> &mut EndpointTable {
        self.table_mut()
    }

    fn choose(&mut self, now: Duration, query: &ChainQuery<'_>) -> Result<Vec<Hop>, NoEndpoint> {
        self.choose_chain(now, query)
    }

    fn sent(&mut self, now: Duration, endpoint: &EndpointId) {
        self.sent(now, endpoint);
    }

    fn ended(&mut self, now: Duration, endpoint: &EndpointId, outcome: Outcome, work: StepSize) {
        self.ended_step(now, endpoint, outcome, work);
    }

    fn released(&mut self, now: Duration, endpoint: &EndpointId) {
        self.released(now, endpoint);
    }

    fn apply_load_report(&mut self, now: Duration, report: &wire::LoadReport) {
        self.apply_load_report(now, report);
    }

    fn apply_cache_events(&mut self, now: Duration, endpoint: &EndpointId, ev: &wire::CacheEvents) {
        self.apply_cache_events(now, endpoint, ev);
    }
}

/// Chooses the endpoints in round-robin order.
#[derive(Debug, Default)]
pub struct RoundRobin {
    /// Endpoints in this data centre are preferred to all others.
    local: Option<DataCentre>,
    table: EndpointTable,
    next_index: usize,
}

impl RoundRobin {
    /// Creates the policy; endpoints in `local` are preferred to all others.
    pub fn new(local: Option<DataCentre>) -> Self {
        Self {
            local,
            ..Self::default()
        }
    }
}

impl Policy for RoundRobin {
    fn table_mut(&mut self) -> &mut EndpointTable {
        &mut self.table
    }

    fn choose(&mut self, _now: Duration, query: &ChainQuery<'_>) -> Result<Vec<Hop>, NoEndpoint> {
        let next_index = self.next_index;
        self.next_index += 1;
        cover(&self.table, query, self.local.as_ref(), |usable| {
            usable[next_index % usable.len()]
        })
    }
}

/// Chooses the endpoint whose last report shows the lowest load; the first by id among equals.
#[derive(Debug, Default)]
pub struct LeastReported {
    /// Endpoints in this data centre are preferred to all others.
    local: Option<DataCentre>,
    table: EndpointTable,
    reported: HashMap<String, u32>,
}

impl LeastReported {
    /// Creates the policy; endpoints in `local` are preferred to all others.
    pub fn new(local: Option<DataCentre>) -> Self {
        Self {
            local,
            ..Self::default()
        }
    }
}

impl Policy for LeastReported {
    fn table_mut(&mut self) -> &mut EndpointTable {
        &mut self.table
    }

    fn choose(&mut self, _now: Duration, query: &ChainQuery<'_>) -> Result<Vec<Hop>, NoEndpoint> {
        let reported = &self.reported;
        let load = |e: &Endpoint| reported.get(e.id.as_str()).copied().unwrap_or(0);
        cover(&self.table, query, self.local.as_ref(), |usable| {
            let lowest = usable.iter().copied().min_by_key(|e| load(e));
            lowest.unwrap_or(usable[0])
        })
    }

    fn apply_load_report(&mut self, _now: Duration, report: &wire::LoadReport) {
        let load = report.running + report.waiting;
        self.reported.insert(report.endpoint.clone(), load);
    }
}

/// Covers the layers hop by hop. `pick` is called with at least one endpoint.
fn cover<'t>(
    table: &'t EndpointTable,
    query: &ChainQuery<'_>,
    local: Option<&DataCentre>,
    mut pick: impl FnMut(&[&'t Endpoint]) -> &'t Endpoint,
) -> Result<Vec<Hop>, NoEndpoint> {
    let mut hops = Vec::new();
    let mut next = query.layers.first;
    while next < query.layers.end {
        let usable = table.iter().filter(|e| {
            e.role == Role::Engine
                && e.target == *query.model
                && e.layers.range().contains(&next)
                && e.accepts_new_work()
                && !query.avoid.contains(&e.id)
        });
        let mut usable: Vec<_> = usable.collect();
        if usable.iter().any(|e| Some(&e.data_centre) == local) {
            usable.retain(|e| Some(&e.data_centre) == local);
        }
        if usable.is_empty() {
            let shortage = Shortage::Missing;
            return Err(NoEndpoint {
                layer: next,
                shortage,
            });
        }
        let chosen = pick(&usable);
        let end = chosen.layers.end.min(query.layers.end);
        let layers = wire::Layers { first: next, end };
        hops.push(Hop {
            endpoint: chosen.id.clone(),
            layers,
        });
        next = end;
    }
    Ok(hops)
}
