//! What the host that places layers knows of engines beyond their entries, and which orders that
//! allows.
//!
//! Entries are old, and an order may be carried out seconds after it was given, or by an engine
//! that an earlier holder of the lease ordered. So an engine is polled before it gets an order, the
//! order goes only to the incarnation that was polled, and an engine that did not answer an order
//! gets no other until the first can no longer be carried out.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use super::{AssumedState, Placement};
use crate::{
    endpoints::{Directory, Endpoint},
    layers::LayerRange,
};

/// How long after it was sent an order without an answer may still be carried out.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);
/// How long an engine that accepted an order may go without being listed with its layers.
const MAX_LOADING: Duration = Duration::from_secs(20);
/// How long an engine gets no order after it refused one or gave no report.
const RETRY_DELAY: Duration = Duration::from_millis(1500);

/// The maximum number of empty engines that are polled before a plan.
const MAX_POLLED_ENGINES: usize = 128;

/// What an engine reports when it is polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The number of orders that it has started since its incarnation started.
    pub orders: u64,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has started it, or already holds the layers.
    Accepted,
    /// The engine refused it, or it was not sent.
    Refused,
    /// There was no answer: it may be carried out later.
    Unknown,
}

/// An order to an engine to load layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The engine.
    pub endpoint: Rc<Endpoint>,
    /// The layers to load.
    pub layers: LayerRange,
    /// The number of orders that the engine must have started: the number that it last reported.
    pub expected_orders: u64,
}

#[derive(Debug, Clone, Copy)]
enum EngineState {
    /// It was polled and is as listed; the number of orders that it had started.
    Polled(u64),
    /// It holds these layers or loads them, until that time at the latest.
    Loading(LayerRange, Duration),
    /// Its state is unknown until that time.
    Unknown(Duration),
}

/// What is known of engines beyond their entries, by the ids of their incarnations.
#[derive(Debug, Default)]
pub struct EngineStates {
    states: FxHashMap<Rc<str>, EngineState>,
}

impl EngineStates {
    /// Discards all states: another host may give orders now, so they may be outdated.
    pub fn clear(&mut self) {
        self.states.clear();
    }

    /// Removes incarnations that are no longer listed.
    pub fn retain_listed(&mut self, directory: &Directory) {
        self.states.retain(|id, _| directory.get(id).is_some());
    }

    /// Whether anything is known of an engine beyond its entry.
    pub fn is_known(&self, id: &str) -> bool {
        self.states.contains_key(id)
    }

    /// Engines that are listed as empty and of which nothing else is known (any more); these are to
    /// be polled. If there are more than `MAX_POLLED_ENGINES`, only those of the first data
    /// centres are returned, so that these get orders before the last are polled.
    pub fn unknown_empty(
        &mut self,
        endpoints: &[Rc<Endpoint>],
        now: Duration,
    ) -> Vec<Rc<Endpoint>> {
        self.remove_outdated(endpoints, now);
        let not_known = |e: &&Rc<Endpoint>| e.layers.is_none() && !self.is_known(&e.id);
        let mut by_centre: BTreeMap<&Rc<str>, Vec<&Rc<Endpoint>>> = BTreeMap::new();
        for endpoint in endpoints.iter().filter(not_known) {
            let engines = by_centre.entry(&endpoint.data_centre).or_default();
            engines.push(endpoint);
        }
        let mut polled: Vec<Rc<Endpoint>> = Vec::new();
        for engines in by_centre.into_values() {
            let engines = &engines[..engines.len().min(MAX_POLLED_ENGINES)];
            if !polled.is_empty() && polled.len() + engines.len() > MAX_POLLED_ENGINES {
                break;
            }
            polled.extend(engines.iter().map(|e| Rc::clone(e)));
        }
        polled
    }

    fn remove_outdated(&mut self, endpoints: &[Rc<Endpoint>], now: Duration) {
        for endpoint in endpoints {
            let outdated = match self.states.get(&endpoint.id) {
                Some(EngineState::Loading(layers, until)) => {
                    *until <= now || endpoint.layers == Some(*layers)
                }
                Some(EngineState::Unknown(until)) => *until <= now,
                Some(EngineState::Polled(_)) => endpoint.layers.is_some(),
                None => false,
            };
            if outdated {
                self.states.remove(&endpoint.id);
            }
        }
    }

    /// Whether an engine was polled and holds no layers.
    pub fn is_known_empty(&self, endpoint: &Endpoint) -> bool {
        let state = self.states.get(&endpoint.id);
        endpoint.layers.is_none() && matches!(state, Some(EngineState::Polled(_)))
    }

    /// Records the report of an engine that is listed as empty; `None` if it did not answer.
    pub fn record_empty_report(&mut self, id: &Rc<str>, report: Option<LoadReport>, now: Duration) {
        let state = match report {
            Some(LoadReport {
                layers: Some(layers),
                ..
            }) => EngineState::Loading(layers, now + MAX_LOADING),
            Some(report) if report.busy => EngineState::Unknown(now + RETRY_DELAY),
            Some(report) => EngineState::Polled(report.orders),
            None => EngineState::Unknown(now + RETRY_DELAY),
        };
        self.states.insert(id.clone(), state);
    }

    /// The loaded engines that are to move and of which nothing is known; these are to be polled.
    pub fn unknown_movers(
        &self,
        endpoints: &[Rc<Endpoint>],
        placements: &[Placement],
    ) -> Vec<Rc<Endpoint>> {
        let moves = |e: &&Rc<Endpoint>| {
            let placed = placements.iter().any(|p| p.id == e.id);
            placed && !self.is_known(&e.id)
        };
        endpoints.iter().filter(moves).cloned().collect()
    }

    /// Records the report of a loaded engine that is to move; `None` if it did not answer. An
    /// engine that did not answer, or is not as it is listed, is not moved.
    pub fn record_mover_report(
        &mut self,
        endpoint: &Endpoint,
        report: Option<LoadReport>,
        now: Duration,
    ) {
        let state = match report {
            Some(report) if !report.busy && report.layers == endpoint.layers => {
                EngineState::Polled(report.orders)
            }
            _ => EngineState::Unknown(now + RETRY_DELAY),
        };
        self.states.insert(endpoint.id.clone(), state);
    }

    /// The orders for what is planned: only to engines that were polled and have not restarted
    /// since. A restarted engine counts its orders from zero and may reach the same count by
    /// chance.
    pub fn orders(&self, directory: &Directory, placements: &[Placement]) -> Vec<Order> {
        let order = |placement: &Placement| {
            let Some(EngineState::Polled(expected_orders)) = self.states.get(&placement.id) else {
                return None;
            };
            Some(Order {
                endpoint: directory.get(&placement.id)?.clone(),
                layers: placement.layers,
                expected_orders: *expected_orders,
            })
        };
        placements.iter().filter_map(order).collect()
    }

    /// Records how an order ended.
    pub fn record_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Duration) {
        let state = match outcome {
            OrderOutcome::Accepted => EngineState::Loading(order.layers, now + MAX_LOADING),
            OrderOutcome::Refused => EngineState::Unknown(now + RETRY_DELAY),
            OrderOutcome::Unknown => EngineState::Unknown(now + MAX_ORDER_DELAY),
        };
        self.states.insert(order.endpoint.id.clone(), state);
    }

    /// The state of an engine that plans assume.
    pub fn assumed_state(&self, directory: &Directory, id: &str) -> AssumedState {
        match self.states.get(id) {
            _ if directory.is_unresponsive(id) => AssumedState::Unresponsive,
            Some(EngineState::Loading(layers, _)) => AssumedState::Loading(*layers),
            Some(EngineState::Unknown(_)) => AssumedState::Unknown,
            Some(EngineState::Polled(_)) | None => AssumedState::Listed,
        }
    }
}
