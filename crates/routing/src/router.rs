//! The router: receives events and chooses endpoints.

use std::{collections::VecDeque, time::Duration};

use dragonflyrill_catalogue::{
    DataCentre, EndpointId, TargetName,
    entry::{EndpointEntry, EndpointIntent, LinkEntry},
};
use dragonflyrill_engines::wire;
use rand::{Rng, SeedableRng, seq::index};

use crate::{
    ChainQuery, Hop, NoEndpoint, Shortage,
    candidates::{Candidate, ChoiceContext, Gatherer, RequestSize},
    chain::{Planner, Problem, Uncovered},
    index::GroupId,
    links::{Links, Site},
    table::{EndpointTable, Role},
    tuning::Tuning,
};

/// Maximum number of groups from which one chain is planned; if there are more, a random sample is
/// used.
const MAX_GROUPS: usize = 24;
/// Bounds of the retry delay that is returned when all endpoints are at their limits.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The retry delay as a multiple of the highest mean latency of the candidates.
const RETRY_AFTER_LATENCIES: f64 = 4.0;

/// A notice by an endpoint itself that it is draining.
#[derive(Debug)]
pub(crate) struct DrainNotice {
    pub(crate) endpoint: EndpointId,
    pub(crate) received_at: Duration,
}

/// What a request needs of the chosen endpoints.
struct RequestDemand<'a> {
    role: Role,
    target: &'a TargetName,
    /// Empty for a service.
    layers: wire::Layers,
    size: RequestSize<'a>,
}

/// Chooses endpoints. There is one router per host; it holds no sockets and reads no clock.
///
/// Invariant: the load of a group is the sum of the loads of its endpoints; every change of an
/// endpoint's own load goes through `change_load`.
pub struct Router {
    home: Site,
    pub(crate) table: EndpointTable,
    links: Links,
    pub(crate) tuning: Tuning,
    rng: rand_pcg::Pcg64Mcg,
    /// Whether the first list has been applied; the endpoints of that list need no slow start.
    started: bool,
    intents: Vec<EndpointEntry>,
    /// Notices of endpoints that are draining, oldest first.
    pub(crate) drain_notices: VecDeque<DrainNotice>,
    planner: Planner,
    candidates: Vec<Candidate>,
    avoid: Vec<u32>,
    /// Layers of the groups in which an endpoint was skipped because it is at its limit.
    full_layers: Vec<wire::Layers>,
}

impl Router {
    /// Creates a router for a host in `data_centre`.
    pub fn new(data_centre: DataCentre, seed: u64) -> Self {
        Self::with_tuning(data_centre, seed, Tuning::default())
    }

    /// Creates a router with the given parameters and switches.
    pub fn with_tuning(data_centre: DataCentre, seed: u64, tuning: Tuning) -> Self {
        let mut table = EndpointTable::default();
        Self {
            home: table.sites.intern(&data_centre),
            table,
            links: Links::default(),
            tuning,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            started: false,
            intents: Vec::new(),
            drain_notices: VecDeque::new(),
            planner: Planner::default(),
            candidates: Vec::new(),
            avoid: Vec::new(),
            full_layers: Vec::new(),
        }
    }

    /// Returns the table of endpoints.
    pub fn table(&self) -> &EndpointTable {
        &self.table
    }

    /// Returns the table of endpoints for changes.
    pub fn table_mut(&mut self) -> &mut EndpointTable {
        &mut self.table
    }

    /// Replaces the declared links between data centres.
    pub fn set_links(&mut self, links: &[LinkEntry]) {
        self.links.declare(links);
    }

    /// Replaces the intents that operators declared for endpoints. An endpoint without an entry
    /// serves.
    pub fn set_intents(&mut self, intents: &[EndpointEntry]) {
        self.intents = intents.to_vec();
        for at in self.table.slot_indices() {
            self.apply_intent(at);
        }
    }

    /// Chooses endpoints that cover each requested layer exactly once.
    ///
    /// # Errors
    ///
    /// Returns the first layer that no usable endpoint covers, with [`Shortage::Full`] if endpoints
    /// of that layer were skipped because they are at their limits and [`Shortage::Missing`]
    /// otherwise.
    pub fn choose_chain(
        &mut self,
        now: Duration,
        query: &ChainQuery<'_>,
    ) -> Result<Vec<Hop>, NoEndpoint> {
        if query.layers.first >= query.layers.end {
            return Ok(Vec::new());
        }
        self.apply_table_changes(now);
        self.resolve_avoided(query.avoid);
        let groups = self.table.index.groups_of(Role::Engine, query.model).len();
        let planned = self.plan(now, query, MAX_GROUPS);
        let planned = match planned {
            // The sample may have missed a group that is needed.
            Err(_) if groups > MAX_GROUPS => self.plan(now, query, groups),
            planned => planned,
        };
        planned.map_err(|e| self.shortage(e.layer))?;
        let hops = self.planner.stages.iter().rev().map(|stage| {
            let candidate = &self.candidates[stage.candidate];
            Hop {
                endpoint: self.table.slot(candidate.slot).endpoint.id.clone(),
                layers: stage.layers,
            }
        });
        let hops = hops.collect();
        for i in 0..self.planner.stages.len() {
            let chosen = self.candidates[self.planner.stages[i].candidate];
            self.record_choice(now, chosen);
        }
        Ok(hops)
    }

    /// Chooses an endpoint of a plain service.
    ///
    /// # Errors
    ///
    /// As for [`Router::choose_chain`], with layer 0.
    pub fn choose_service(
        &mut self,
        now: Duration,
        service: &TargetName,
        avoid: &[EndpointId],
    ) -> Result<EndpointId, NoEndpoint> {
        self.apply_table_changes(now);
        self.resolve_avoided(avoid);
        let none = wire::Layers { first: 0, end: 0 };
        let demand = RequestDemand {
            role: Role::Service,
            target: service,
            layers: none,
            size: RequestSize::CALL,
        };
        self.gather(now, &demand, usize::MAX);
        let (links, home) = (&self.links, self.home);
        let cost =
            |c: &Candidate| c.fixed_us + c.layer_us + 2.0 * links.between(home, c.site).latency_us;
        let best = self
            .candidates
            .iter()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let Some(chosen) = best.copied() else {
            return Err(self.shortage(0));
        };
        self.record_choice(now, chosen);
        Ok(self.table.slot(chosen.slot).endpoint.id.clone())
    }

    /// Applies intents and slow start to endpoints added to the table, updates the links and
    /// expires drain notices.
    fn apply_table_changes(&mut self, now: Duration) {
        if self.table.has_added() {
            for at in self.table.take_added() {
                self.apply_intent(at);
                if self.started {
                    self.table.slot_mut(at).stats.ramp_started_at = Some(now);
                }
            }
            self.started = true;
        }
        self.links.sync(&self.table.sites);
        self.expire_drain_notices(now);
    }

    /// Drops drain notices that the list did not confirm in time.
    fn expire_drain_notices(&mut self, now: Duration) {
        while let Some(notice) = self.drain_notices.front() {
            if now < notice.received_at + self.tuning.drain_notice_lifetime {
                return;
            }
            if let Some(at) = self.table.find(&notice.endpoint) {
                let received_at = notice.received_at;
                let signs = self.table.slot(at).signs;
                if signs.reported_at == Some(received_at) && !signs.listed {
                    self.table
                        .update_signs(at, |signs| signs.reported_at = None);
                    self.table.slot_mut(at).stats.ramp_started_at = Some(now);
                }
            }
            self.drain_notices.pop_front();
        }
    }

    fn apply_intent(&mut self, at: u32) {
        let slot = self.table.slot(at);
        let known = self.intents.iter().find(|e| e.id == slot.endpoint.id);
        let draining = known.is_some_and(|e| e.intent == EndpointIntent::Drain);
        if slot.signs.intent != draining {
            self.table.update_signs(at, |signs| signs.intent = draining);
        }
    }

    fn resolve_avoided(&mut self, avoid: &[EndpointId]) {
        self.avoid.clear();
        let known = avoid.iter().filter_map(|id| self.table.find(id));
        self.avoid.extend(known);
    }

    fn plan(
        &mut self,
        now: Duration,
        query: &ChainQuery<'_>,
        max_groups: usize,
    ) -> Result<(), Uncovered> {
        let demand = RequestDemand {
            role: Role::Engine,
            target: query.model,
            layers: query.layers,
            size: RequestSize {
                prompt: f64::from(query.prompt_tokens),
                decode: f64::from(query.max_tokens),
                prefix: query.prefix,
            },
        };
        self.gather(now, &demand, max_groups);
        let problem = Problem {
            layers: query.layers,
            candidates: &self.candidates,
            context: choice_context(now, self.home, demand.size, &self.avoid),
            links: &self.links,
            tuning: &self.tuning,
        };
        self.planner.plan(&problem)
    }

    /// Gathers candidates from at most `max_groups` groups that overlap the requested layers.
    fn gather(&mut self, now: Duration, demand: &RequestDemand<'_>, max_groups: usize) {
        self.candidates.clear();
        self.full_layers.clear();
        let (role, layers) = (demand.role, demand.layers);
        let overlaps = |id: &GroupId| {
            let group_layers = self.table.index.get(*id).layers;
            role == Role::Service
                || (group_layers.first < layers.end && group_layers.end > layers.first)
        };
        let groups = self.table.index.groups_of(role, demand.target);
        let sampled: Vec<GroupId>;
        let groups = match groups.len() > max_groups {
            false => groups,
            true => {
                let picks = index::sample(&mut self.rng, groups.len(), max_groups);
                sampled = picks.iter().map(|i| groups[i]).collect();
                &sampled
            }
        };
        let mut gatherer = Gatherer {
            table: &self.table,
            links: &self.links,
            tuning: &self.tuning,
            rng: &mut self.rng,
            context: choice_context(now, self.home, demand.size, &self.avoid),
            out: &mut self.candidates,
        };
        for id in groups.iter().filter(|id| overlaps(id)) {
            let found = gatherer.gather(*id);
            if found.at_limit {
                self.full_layers.push(self.table.index.get(*id).layers);
            }
        }
    }

    fn shortage(&mut self, layer: u32) -> NoEndpoint {
        let covers = |l: &wire::Layers| l.first == l.end || l.range().contains(&layer);
        let shortage = match self.full_layers.iter().any(covers) {
            true => Shortage::Full {
                retry_after: self.retry_after(),
            },
            false => Shortage::Missing,
        };
        NoEndpoint { layer, shortage }
    }

    /// Returns the time after which an endpoint may have free capacity, with random jitter so that
    /// callers do not retry at the same time.
    fn retry_after(&mut self) -> Duration {
        let slowest = self.candidates.iter().map(|c| {
            let slot = self.table.slot(c.slot);
            slot.stats.latency_us
        });
        let us = slowest.fold(0.0, f64::max) * RETRY_AFTER_LATENCIES;
        let spread = self.rng.random_range(0.5..1.5);
        Duration::from_secs_f64(us * spread / 1e6 + MIN_RETRY_AFTER.as_secs_f64() * spread)
            .clamp(MIN_RETRY_AFTER / 2, MAX_RETRY_AFTER)
    }

    fn record_choice(&mut self, now: Duration, chosen: Candidate) {
        if chosen.probe {
            self.table
                .slot_mut(chosen.slot)
                .stats
                .breaker
                .start_probe(now);
        }
        let role = self.table.slot(chosen.slot).endpoint.role;
        if self.tuning.count_chains && role == Role::Engine {
            self.change_load(chosen.slot, |slot| slot.stats.chain_chosen(now));
        }
        let group = self.table.index.get_mut(chosen.group);
        if group.sites.contains_key(&self.home) {
            group.spilling = chosen.site != self.home;
        }
    }
}

fn choice_context<'a>(
    now: Duration,
    home: Site,
    size: RequestSize<'a>,
    avoid: &'a [u32],
) -> ChoiceContext<'a> {
    ChoiceContext {
        now,
        home,
        size,
        avoid,
    }
}
