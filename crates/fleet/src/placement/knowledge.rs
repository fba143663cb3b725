//! What the host that places layers knows of engines beyond their entries, and which orders that
//! allows.
//!
//! Entries are old, and an order may be carried out seconds after it was given, or by an engine
//! that an earlier holder of the lease ordered. So an engine is polled before it gets an order, the
//! order goes only to the incarnation that was polled, and an engine that did not answer an order
//! gets no other until the first can no longer be carried out.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use super::{Belief, Placement};
use crate::{
    endpoints::{Directory, Endpoint},
    layers::LayerRange,
};

/// How long after it was sent an order without an answer may still be carried out.
const LATE_ORDER: Duration = Duration::from_secs(12);
/// How long an engine that accepted an order may go without being listed with its layers.
const LOADING: Duration = Duration::from_secs(20);
/// How long an engine gets no order after it refused one or gave no report.
const REFUSED: Duration = Duration::from_millis(1500);

/// The maximum number of empty engines that are polled before a plan.
const MOST_ASKED: usize = 128;

/// What an engine reports when it is polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The number of orders that it has started since its incarnation started.
    pub orders: u64,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine has started it, or already holds the layers.
    Taken,
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
    pub begun: u64,
}

#[derive(Debug, Clone, Copy)]
enum Known {
    /// It was polled and is as listed; the number of orders that it had started.
    Asked(u64),
    /// It holds these layers or loads them, until that time at the latest.
    Loading(LayerRange, Duration),
    /// Its state is unknown until that time.
    Unsure(Duration),
}

/// What is known of engines beyond their entries, by the ids of their incarnations.
#[derive(Debug, Default)]
pub struct Knowledge {
    known: FxHashMap<Rc<str>, Known>,
}

impl Knowledge {
    /// Discards all states: another host may give orders now, so they may be outdated.
    pub fn clear(&mut self) {
        self.known.clear();
    }

    /// Removes incarnations that are no longer listed.
    pub fn keep_listed(&mut self, directory: &Directory) {
        self.known.retain(|id, _| directory.get(id).is_some());
    }

    /// Whether anything is known of an engine beyond its entry.
    pub fn knows(&self, id: &str) -> bool {
        self.known.contains_key(id)
    }

    /// Engines that are listed as empty and of which nothing else is known (any more); these are to
    /// be polled. If there are more than [`MAX_POLLED_ENGINES`], only those of the first data
    /// centres are returned, so that these get orders before the last are polled.
    pub fn empty_ones(&mut self, endpoints: &[Rc<Endpoint>], now: Duration) -> Vec<Rc<Endpoint>> {
        self.forget_outdated(endpoints, now);
        let unknown = |e: &&Rc<Endpoint>| e.layers.is_none() && !self.knows(&e.id);
        let mut by_centre: BTreeMap<&Rc<str>, Vec<&Rc<Endpoint>>> = BTreeMap::new();
        for endpoint in endpoints.iter().filter(unknown) {
            let near = by_centre.entry(&endpoint.data_centre).or_default();
            near.push(endpoint);
        }
        let mut asked: Vec<Rc<Endpoint>> = Vec::new();
        for near in by_centre.into_values() {
            let near = &near[..near.len().min(MOST_ASKED)];
            if !asked.is_empty() && asked.len() + near.len() > MOST_ASKED {
                break;
            }
            asked.extend(near.iter().map(|e| Rc::clone(e)));
        }
        asked
    }

    fn forget_outdated(&mut self, endpoints: &[Rc<Endpoint>], now: Duration) {
        for endpoint in endpoints {
            let outdated = match self.known.get(&endpoint.id) {
                Some(Known::Loading(layers, until)) => {
                    *until <= now || endpoint.layers == Some(*layers)
                }
                Some(Known::Unsure(until)) => *until <= now,
                Some(Known::Asked(_)) => endpoint.layers.is_some(),
                None => false,
            };
            if outdated {
                self.known.remove(&endpoint.id);
            }
        }
    }

    /// Whether an engine was polled and holds no layers.
    pub fn is_empty(&self, endpoint: &Endpoint) -> bool {
        let known = self.known.get(&endpoint.id);
        endpoint.layers.is_none() && matches!(known, Some(Known::Asked(_)))
    }

    /// Records the report of an engine that is listed as empty; `None` if it did not answer.
    pub fn empty_told(&mut self, id: &Rc<str>, told: Option<Told>, now: Duration) {
        let known = match told {
            Some(Told {
                layers: Some(layers),
                ..
            }) => Known::Loading(layers, now + LOADING),
            Some(told) if told.busy => Known::Unsure(now + REFUSED),
            Some(told) => Known::Asked(told.orders),
            None => Known::Unsure(now + REFUSED),
        };
        self.known.insert(id.clone(), known);
    }

    /// The loaded engines that are to move and of which nothing is known; these are to be polled.
    pub fn movers(
        &self,
        endpoints: &[Rc<Endpoint>],
        placements: &[Placement],
    ) -> Vec<Rc<Endpoint>> {
        let moves = |e: &&Rc<Endpoint>| {
            let placed = placements.iter().any(|p| p.id == e.id);
            placed && !self.knows(&e.id)
        };
        endpoints.iter().filter(moves).cloned().collect()
    }

    /// Records the report of a loaded engine that is to move; `None` if it did not answer. An
    /// engine that did not answer, or is not as it is listed, is not moved.
    pub fn mover_told(&mut self, endpoint: &Endpoint, told: Option<Told>, now: Duration) {
        let known = match told {
            Some(told) if !told.busy && told.layers == endpoint.layers => Known::Asked(told.orders),
            _ => Known::Unsure(now + REFUSED),
        };
        self.known.insert(endpoint.id.clone(), known);
    }

    /// The orders for what is planned: only to engines that were polled and have not restarted
    /// since. A restarted engine counts its orders from zero and may reach the same count by
    /// chance.
    pub fn orders(&self, directory: &Directory, placements: &[Placement]) -> Vec<Order> {
        let order = |placement: &Placement| {
            let Some(Known::Asked(begun)) = self.known.get(&placement.id) else {
                return None;
            };
            Some(Order {
                endpoint: directory.get(&placement.id)?.clone(),
                layers: placement.layers,
                begun: *begun,
            })
        };
        placements.iter().filter_map(order).collect()
    }

    /// Records how an order ended.
    pub fn ordered(&mut self, order: &Order, outcome: Outcome, now: Duration) {
        let known = match outcome {
            Outcome::Taken => Known::Loading(order.layers, now + LOADING),
            Outcome::Refused => Known::Unsure(now + REFUSED),
            Outcome::Unknown => Known::Unsure(now + LATE_ORDER),
        };
        self.known.insert(order.endpoint.id.clone(), known);
    }

    /// The state of an engine that plans assume.
    pub fn belief(&self, directory: &Directory, id: &str) -> Belief {
        match self.known.get(id) {
            _ if directory.is_lost(id) => Belief::Lost,
            Some(Known::Loading(layers, _)) => Belief::Loading(*layers),
            Some(Known::Unsure(_)) => Belief::Unsure,
            Some(Known::Asked(_)) | None => Belief::Listed,
        }
    }
}
