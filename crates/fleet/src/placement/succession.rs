//! Which engine takes the layers of one that leaves.
//!
//! When engines are replaced one by one, the new one starts first, and the one that it stands for says
//! that it is leaving a second later. Given the layers that help most when it joins, the new one holds
//! something twice, a gap opens, and engines that serve have to move to close it, which first wait for
//! all that passes through them. So a new engine in a data centre that lacks nothing is given nothing
//! for a moment, and then exactly what one of its kind gives up. One that joins after a loss does not
//! wait. While one waits nothing loaded moves in its data centre: what it is given decides that.

use std::{rc::Rc, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};

use super::{Candidate, Placement, planner::Engines};
use crate::{
    endpoints::Endpoint,
    layers::{self, LayerRange},
};

/// How long a new engine waits for one of its kind to leave. Whoever replaces engines one by one
/// starts the new one, sees it listed, and stops the old one: it is
/// listed as leaving one to two seconds after the new one. An engine that was meant to be one more serves so
/// much later; loading takes it 2 s and more.
const WAIT: Duration = Duration::from_millis(1800);

/// How long an engine that is lost is missed: what starts in its place does so within seconds, and
/// what joins later joins for another reason.
const MISSED: Duration = Duration::from_secs(30);

/// What follows for the engines that hold nothing.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Succession {
    /// These take the layers of engines that leave.
    pub successors: Vec<Placement>,
    /// These wait for one of their kind to leave.
    pub waiting: Vec<Rc<str>>,
    /// What else is planned with: successors count as loading, and those that wait are left out.
    pub candidates: Vec<Candidate>,
}

/// An engine that serves, and what it holds or loads.
type Serving<'a> = (&'a Rc<Endpoint>, LayerRange);

/// What is remembered from one plan to the next, of the engines of one service.
#[derive(Debug, Default)]
pub struct Successions {
    /// Until when each engine that holds nothing waits at the longest.
    waits_until: FxHashMap<Rc<str>, Duration>,
    /// The engine that has taken over from each that leaves or has left.
    successor_of: FxHashMap<Rc<str>, Rc<str>>,
    /// The engines that stayed and held layers when the list was last looked at.
    held: Vec<Rc<Endpoint>>,
    /// Engines that are lost, since when: what joins stands for them first.
    missed: Vec<(Rc<Endpoint>, Duration)>,
}

impl Successions {
    /// Notes what is lost while another host gives the orders.
    pub fn watch(&mut self, engines: &Engines<'_>, now: Duration) {
        let candidates: Vec<_> = engines.candidates().collect();
        self.miss(&serving(&candidates), engines.leaving, now);
    }

    /// What follows for the engines that hold nothing and were asked.
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
        // Also of what has gone: its entry may have been on its way for long, and list it once more.
        self.successor_of.retain(|_, to| stays.contains(to));
        self.miss(serving, engines.leaving, now);
    }

    /// The layers of one of its kind and data centre that leaves and has no other successor.
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

    /// Notes the engines that went without having said so, and forgets those that are back.
    fn miss(&mut self, serving: &[Serving<'_>], leaving: &[Rc<Endpoint>], now: Duration) {
        let there = ids(serving.iter().map(|(e, _)| *e).chain(leaving));
        let lost = self.held.iter().filter(|e| !there.contains(&e.id));
        self.missed.extend(lost.map(|e| (e.clone(), now)));
        self.missed
            .retain(|(e, since)| *since + MISSED > now && !there.contains(&e.id));
        let held = serving.iter().filter(|(e, _)| e.layers.is_some());
        self.held = held.map(|(e, _)| Rc::clone(e)).collect();
    }

    /// Whether an engine of its data centre is missed, best one of its kind, for which it then stands.
    fn stands_for_missed(&mut self, endpoint: &Endpoint) -> bool {
        let near = |e: &Endpoint| e.data_centre == endpoint.data_centre;
        let mut missed = self.missed.iter();
        let alike = missed.position(|(e, _)| alike(e, endpoint));
        let stands = alike.or_else(|| self.missed.iter().position(|(e, _)| near(e)));
        stands.map(|at| self.missed.remove(at)).is_some()
    }

    /// Whether it may be meant for one that will leave: its data centre has all layers without it, and
    /// one of its kind that may go.
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
        let whole = layers::cover_all_layers(layers, near.map(|(_, held)| *held));
        until.is_some_and(|until| now < *until) && may_go && whole
    }
}

/// The engines that hold or load layers.
fn serving<'a>(candidates: &[(&'a Rc<Endpoint>, Candidate)]) -> Vec<Serving<'a>> {
    let serving = candidates.iter().filter_map(|(e, c)| Some((*e, c.holds?)));
    serving.collect()
}

/// The ids of engines, to look many of them up: each host does so with each look at the list.
fn ids<'a>(engines: impl IntoIterator<Item = &'a Rc<Endpoint>>) -> FxHashSet<&'a Rc<str>> {
    engines.into_iter().map(|e| &e.id).collect()
}

/// Whether one engine can stand for another.
fn alike(one: &Endpoint, other: &Endpoint) -> bool {
    one.data_centre == other.data_centre && one.accelerator == other.accelerator
}
