//! What the host that places layers knows of engines beyond their entries, and which orders that
//! allows.
//!
//! Entries are old, and an order may be carried out seconds after it was given, or by an engine that
//! an earlier holder of the lease ordered. So an engine is asked before it gets an order, the order
//! goes only to the start that was asked, and one without an answer is left alone until the order can
//! no longer be carried out.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use super::{Belief, Placement};
use crate::{
    endpoints::{Directory, Endpoint},
    layers::LayerRange,
};

/// How long an order that got no answer may still be carried out.
const LATE_ORDER: Duration = Duration::from_secs(12);
/// How long an engine that was ordered to load may go without being listed with its layers.
const LOADING: Duration = Duration::from_secs(20);
/// How long an engine is left alone after it refused an order or gave no report.
const REFUSED: Duration = Duration::from_millis(1500);

/// The most engines that are asked before those that hold nothing are planned for.
const MOST_ASKED: usize = 128;

/// What an engine says of itself when it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// An order is being carried out.
    pub busy: bool,
    /// Orders that it has begun since it started.
    pub orders: u64,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It has begun, or was so already.
    Taken,
    /// It was refused, or was not sent.
    Refused,
    /// There was no answer: it may be carried out later.
    Unknown,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The engine.
    pub endpoint: Rc<Endpoint>,
    /// The layers that it is to hold.
    pub layers: LayerRange,
    /// How many orders it must have begun: as many as when it was asked.
    pub begun: u64,
}

#[derive(Debug, Clone, Copy)]
enum Known {
    /// It was asked and is as listed; how many orders it had begun.
    Asked(u64),
    /// It holds these layers or loads them, until then at the latest.
    Loading(LayerRange, Duration),
    /// Nothing can be said before then.
    Unsure(Duration),
}

/// What is known of engines, by the ids of their starts.
#[derive(Debug, Default)]
pub struct Knowledge {
    known: FxHashMap<Rc<str>, Known>,
}

impl Knowledge {
    /// Another host may give orders now: what was known is no longer so.
    pub fn clear(&mut self) {
        self.known.clear();
    }

    /// Forgets starts that are no longer listed.
    pub fn keep_listed(&mut self, directory: &Directory) {
        self.known.retain(|id, _| directory.get(id).is_some());
    }

    /// Whether anything is known of an engine beyond its entry.
    pub fn knows(&self, id: &str) -> bool {
        self.known.contains_key(id)
    }

    /// Engines that are listed as empty and of which nothing is known any more: they are asked now. Of many
    /// some data centres come first, so that the first are ordered before the last have been asked.
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

    /// Whether an engine was asked and holds nothing.
    pub fn is_empty(&self, endpoint: &Endpoint) -> bool {
        let known = self.known.get(&endpoint.id);
        endpoint.layers.is_none() && matches!(known, Some(Known::Asked(_)))
    }

    /// What an engine that is listed as empty has told; `None` if it did not answer.
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

    /// The loaded engines that are to move and of which nothing is known: they are asked.
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

    /// What a loaded engine that is to move has told. One that does not answer, or is not as it is
    /// listed, stays as it is.
    pub fn mover_told(&mut self, endpoint: &Endpoint, told: Option<Told>, now: Duration) {
        let known = match told {
            Some(told) if !told.busy && told.layers == endpoint.layers => Known::Asked(told.orders),
            _ => Known::Unsure(now + REFUSED),
        };
        self.known.insert(endpoint.id.clone(), known);
    }

    /// The orders for what is planned: to engines that were asked, and that have not started again
    /// since. One that has counts its orders anew, and may be at the same count by chance.
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

    /// An order has ended.
    pub fn ordered(&mut self, order: &Order, outcome: Outcome, now: Duration) {
        let known = match outcome {
            Outcome::Taken => Known::Loading(order.layers, now + LOADING),
            Outcome::Refused => Known::Unsure(now + REFUSED),
            Outcome::Unknown => Known::Unsure(now + LATE_ORDER),
        };
        self.known.insert(order.endpoint.id.clone(), known);
    }

    /// What is believed of an engine for plans.
    pub fn belief(&self, directory: &Directory, id: &str) -> Belief {
        match self.known.get(id) {
            _ if directory.is_unresponsive(id) => Belief::Lost,
            Some(Known::Loading(layers, _)) => Belief::Loading(*layers),
            Some(Known::Unsure(_)) => Belief::Unsure,
            Some(Known::Asked(_)) | None => Belief::Listed,
        }
    }
}
