//! Which joining engine takes the layers of a draining one.
//!
//! When engines are replaced one by one, the new one starts first, and the one that it replaces
//! announces a second later that it drains. If the new one got the layers that help most when it
//! joins, these would be held twice, a gap would open when the old one goes, and engines that serve
//! would have to move to close it, which first wait until their running requests are done. So a new
//! engine in a data centre that lacks no layers gets none for a moment, and then exactly those of a
//! draining engine of the same kind. An engine that joins after a loss does not wait. While one
//! waits no loaded layers move in its data centre, since the layers that it gets decide which moves
//! are needed.

use std::{rc::Rc, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};

use super::{Candidate, Placement, planner::Engines};
use crate::{
    endpoints::Endpoint,
    layers::{self, LayerRange},
};

/// How long a new engine waits for one of the same kind to drain. A rolling replacement starts the
/// new engine, sees it listed, and stops the old one, which is listed as draining one to two
/// seconds after the new one. An engine that was started as an additional one serves later by this
/// time; loading takes it 2 s and more.
const WAIT: Duration = Duration::from_millis(1800);

/// How long a vanished engine can be replaced by one that joins: its replacement starts within
/// seconds, and an engine that joins later joins for another reason.
const MISSED: Duration = Duration::from_secs(30);

/// What is planned for the empty engines, and the candidates for all other plans.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Succession {
    /// Empty engines that take the layers of draining ones.
    pub successors: Vec<Placement>,
    /// Empty engines that wait for one of the same kind to drain.
    pub waiting: Vec<Rc<str>>,
    /// The candidates for all other plans: replacements count as loading, and those that wait are
    /// left out.
    pub candidates: Vec<Candidate>,
}

/// An engine that serves, and the layers that it holds or loads.
type Serving<'a> = (&'a Rc<Endpoint>, LayerRange);

/// The state that is kept between two plans, for the engines of one service.
#[derive(Debug, Default)]
pub struct Successions {
    /// When each empty engine stops waiting at the latest.
    waits_until: FxHashMap<Rc<str>, Duration>,
    /// The replacement of each engine that drains or has drained.
    successor_of: FxHashMap<Rc<str>, Rc<str>>,
    /// The staying engines that held layers when the list was last observed.
    held: Vec<Rc<Endpoint>>,
    /// Engines that vanished without draining, and when: an engine that joins first replaces one of
    /// these.
    missed: Vec<(Rc<Endpoint>, Duration)>,
}

impl Successions {
    /// Records vanished engines while another host gives the orders.
    pub fn watch(&mut self, engines: &Engines<'_>, now: Duration) {
        let candidates: Vec<_> = engines.candidates().collect();
        self.miss(&serving(&candidates), engines.leaving, now);
    }

    /// Plans for the empty engines that were polled.
    pub fn plan(&mut self, layers: u32, engines: &Engines<'_>, now: Duration) -> Succession {
        let empty = engines.staying.iter();
        let empty: Vec<&Rc<Endpoint>> = empty.filter(|e| engines.known.is_empty(e)).collect();
        let candidates: Vec<_> = engines.candidates().collect();
        let serving = serving(&candidates);
        self.remember(&empty, &serving, engines, now);
        let mut successors = Vec::new();
        let mut waiting = Vec::new();
        for endpoint in empty {
            if let Some(given_up) = self.takes_over(endpoint, engines.leaving) {
                successors.push(Placement {
                    id: endpoint.id.clone(),
                    layers: given_up,
                });
            } else if self.waits(layers, endpoint, &serving, now) {
                match self.stands_for_missed(endpoint) {
                    true => drop(self.waits_until.insert(endpoint.id.clone(), now)),
                    false => waiting.push(endpoint.id.clone()),
                }
            }
        }
        let planned = candidates.into_iter().map(|(_, candidate)| candidate);
        let mut candidates: Vec<Candidate> = planned.filter(|c| !waiting.contains(&c.id)).collect();
        for candidate in &mut candidates {
            if let Some(successor) = successors.iter().find(|p| p.id == candidate.id) {
                candidate.holds = Some(successor.layers);
                candidate.loading = true;
            }
        }
        Succession {
            successors,
            waiting,
            candidates,
        }
    }

    fn remember(
        &mut self,
        empty: &[&Rc<Endpoint>],
        serving: &[Serving<'_>],
        engines: &Engines<'_>,
        now: Duration,
    ) {
        let joins = ids(empty.iter().copied());
        self.waits_until.retain(|id, _| joins.contains(id));
        for endpoint in empty {
            let until = self.waits_until.entry(endpoint.id.clone());
            until.or_insert(now + WAIT);
        }
        let stays = ids(engines.staying);
        // Engines that are gone are kept too: a delayed entry may list one of them once more.
        self.successor_of.retain(|_, to| stays.contains(to));
        self.miss(serving, engines.leaving, now);
    }

    /// The layers of a draining engine of the same kind and data centre that has no other
    /// replacement.
    fn takes_over(&mut self, successor: &Endpoint, leaving: &[Rc<Endpoint>]) -> Option<LayerRange> {
        let fits = |from: &&Rc<Endpoint>| {
            let taken = self.successor_of.get(&from.id);
            alike(from, successor)
                && from.layers.is_some()
                && taken.is_none_or(|to| *to == successor.id)
        };
        let known = |from: &&Rc<Endpoint>| self.successor_of.get(&from.id) == Some(&successor.id);
        let from = leaving.iter().find(known);
        let from = from.or_else(|| leaving.iter().find(fits))?;
        self.successor_of
            .insert(from.id.clone(), successor.id.clone());
        from.layers
    }

    /// Records the engines that went without draining, and removes those that are back.
    fn miss(&mut self, serving: &[Serving<'_>], leaving: &[Rc<Endpoint>], now: Duration) {
        let there = ids(serving.iter().map(|(e, _)| *e).chain(leaving));
        let lost = self.held.iter().filter(|e| !there.contains(&e.id));
        self.missed.extend(lost.map(|e| (e.clone(), now)));
        self.missed
            .retain(|(e, since)| *since + MISSED > now && !there.contains(&e.id));
        let held = serving.iter().filter(|(e, _)| e.layers.is_some());
        self.held = held.map(|(e, _)| Rc::clone(e)).collect();
    }

    /// Whether an engine of its data centre has vanished; it then replaces that one, preferably one
    /// of its kind.
    fn stands_for_missed(&mut self, endpoint: &Endpoint) -> bool {
        let near = |e: &Endpoint| e.data_centre == endpoint.data_centre;
        let mut missed = self.missed.iter();
        let alike = missed.position(|(e, _)| alike(e, endpoint));
        let stands = alike.or_else(|| self.missed.iter().position(|(e, _)| near(e)));
        stands.map(|at| self.missed.remove(at)).is_some()
    }

    /// Whether it may be the replacement of an engine that will drain: its data centre has all
    /// layers without it, and an engine of its kind.
    fn waits(
        &self,
        layers: u32,
        endpoint: &Endpoint,
        serving: &[Serving<'_>],
        now: Duration,
    ) -> bool {
        let until = self.waits_until.get(&endpoint.id);
        let near = serving
            .iter()
            .filter(|(e, _)| e.data_centre == endpoint.data_centre);
        let may_go = near.clone().any(|(e, _)| alike(e, endpoint));
        let whole = layers::hold_all(layers, near.map(|(_, held)| *held));
        until.is_some_and(|until| now < *until) && may_go && whole
    }
}

/// The engines that hold or load layers.
fn serving<'a>(candidates: &[(&'a Rc<Endpoint>, Candidate)]) -> Vec<Serving<'a>> {
    let serving = candidates.iter().filter_map(|(e, c)| Some((*e, c.holds?)));
    serving.collect()
}

/// The ids of engines as a set, as each host looks many of them up in each round.
fn ids<'a>(engines: impl IntoIterator<Item = &'a Rc<Endpoint>>) -> FxHashSet<&'a Rc<str>> {
    engines.into_iter().map(|e| &e.id).collect()
}

/// Whether one engine can replace another.
fn alike(one: &Endpoint, other: &Endpoint) -> bool {
    one.data_centre == other.data_centre && one.accelerator == other.accelerator
}
