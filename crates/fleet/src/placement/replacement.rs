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

use super::{Candidate, Placement, planner::ListedEngines};
use crate::{
    endpoints::Endpoint,
    layers::{self, LayerRange},
};

/// How long a new engine waits for one of the same kind to drain. A rolling replacement starts the
/// new engine, sees it listed, and stops the old one, which is listed as draining one to two
/// seconds after the new one. An engine that was started as an additional one serves later by this
/// time; loading takes it 2 s and more.
const MAX_DRAIN_WAIT: Duration = Duration::from_millis(1800);

/// How long a vanished engine can be replaced by one that joins: its replacement starts within
/// seconds, and an engine that joins later joins for another reason.
const VANISHED_TTL: Duration = Duration::from_secs(30);

/// What is planned for the empty engines, and the candidates for all other plans.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReplacementPlan {
    /// Empty engines that take the layers of draining ones.
    pub replacements: Vec<Placement>,
    /// Empty engines that wait for one of the same kind to drain.
    pub waiting: Vec<Rc<str>>,
    /// The candidates for all other plans: replacements count as loading, and those that wait are
    /// left out.
    pub candidates: Vec<Candidate>,
}

/// An engine that serves, and the layers that it holds or loads.
type ServingEngine<'a> = (&'a Rc<Endpoint>, LayerRange);

/// The state that is kept between two plans, for the engines of one service.
#[derive(Debug, Default)]
pub struct Replacements {
    /// When each empty engine stops waiting at the latest.
    wait_deadlines: FxHashMap<Rc<str>, Duration>,
    /// The replacement of each engine that drains or has drained.
    replacement_of: FxHashMap<Rc<str>, Rc<str>>,
    /// The staying engines that held layers when the list was last observed.
    last_serving: Vec<Rc<Endpoint>>,
    /// Engines that vanished without draining, and when: an engine that joins first replaces one of
    /// these.
    vanished: Vec<(Rc<Endpoint>, Duration)>,
}

impl Replacements {
    /// Records vanished engines while another host gives the orders.
    pub fn observe(&mut self, engines: &ListedEngines<'_>, now: Duration) {
        let candidates: Vec<_> = engines.candidates().collect();
        self.update_vanished(&serving(&candidates), engines.draining, now);
    }

    /// Plans for the empty engines that were polled.
    pub fn plan(
        &mut self,
        layers: u32,
        engines: &ListedEngines<'_>,
        now: Duration,
    ) -> ReplacementPlan {
        let empty = engines.staying.iter();
        let empty: Vec<&Rc<Endpoint>> =
            empty.filter(|e| engines.states.is_known_empty(e)).collect();
        let candidates: Vec<_> = engines.candidates().collect();
        let serving = serving(&candidates);
        self.update(&empty, &serving, engines, now);
        let mut replacements = Vec::new();
        let mut waiting = Vec::new();
        for endpoint in empty {
            if let Some(claimed) = self.claim_layers(endpoint, engines.draining) {
                replacements.push(Placement {
                    id: endpoint.id.clone(),
                    layers: claimed,
                });
            } else if self.should_wait(layers, endpoint, &serving, now) {
                match self.replaces_vanished(endpoint) {
                    true => drop(self.wait_deadlines.insert(endpoint.id.clone(), now)),
                    false => waiting.push(endpoint.id.clone()),
                }
            }
        }
        let planned = candidates.into_iter().map(|(_, candidate)| candidate);
        let mut candidates: Vec<Candidate> = planned.filter(|c| !waiting.contains(&c.id)).collect();
        for candidate in &mut candidates {
            if let Some(replacement) = replacements.iter().find(|p| p.id == candidate.id) {
                candidate.held_layers = Some(replacement.layers);
                candidate.loading = true;
            }
        }
        ReplacementPlan {
            replacements,
            waiting,
            candidates,
        }
    }

    fn update(
        &mut self,
        empty: &[&Rc<Endpoint>],
        serving: &[ServingEngine<'_>],
        engines: &ListedEngines<'_>,
        now: Duration,
    ) {
        let joining = ids(empty.iter().copied());
        self.wait_deadlines.retain(|id, _| joining.contains(id));
        for endpoint in empty {
            let until = self.wait_deadlines.entry(endpoint.id.clone());
            until.or_insert(now + MAX_DRAIN_WAIT);
        }
        let staying = ids(engines.staying);
        // Engines that are gone are kept too: a delayed entry may list one of them once more.
        self.replacement_of.retain(|_, to| staying.contains(to));
        self.update_vanished(serving, engines.draining, now);
    }

    /// The layers of a draining engine of the same kind and data centre that has no other
    /// replacement.
    fn claim_layers(
        &mut self,
        replacement: &Endpoint,
        draining: &[Rc<Endpoint>],
    ) -> Option<LayerRange> {
        let fits = |from: &&Rc<Endpoint>| {
            let claimed_by = self.replacement_of.get(&from.id);
            same_kind(from, replacement)
                && from.layers.is_some()
                && claimed_by.is_none_or(|to| *to == replacement.id)
        };
        let known =
            |from: &&Rc<Endpoint>| self.replacement_of.get(&from.id) == Some(&replacement.id);
        let from = draining.iter().find(known);
        let from = from.or_else(|| draining.iter().find(fits))?;
        self.replacement_of
            .insert(from.id.clone(), replacement.id.clone());
        from.layers
    }

    /// Records the engines that went without draining, and removes those that are back.
    fn update_vanished(
        &mut self,
        serving: &[ServingEngine<'_>],
        draining: &[Rc<Endpoint>],
        now: Duration,
    ) {
        let present = ids(serving.iter().map(|(e, _)| *e).chain(draining));
        let gone = self
            .last_serving
            .iter()
            .filter(|e| !present.contains(&e.id));
        self.vanished.extend(gone.map(|e| (e.clone(), now)));
        self.vanished
            .retain(|(e, since)| *since + VANISHED_TTL > now && !present.contains(&e.id));
        let holders = serving.iter().filter(|(e, _)| e.layers.is_some());
        self.last_serving = holders.map(|(e, _)| Rc::clone(e)).collect();
    }

    /// Assigns the engine to a vanished one of its data centre, preferably one of its kind, and
    /// removes that one from the list. Returns whether there was one.
    fn replaces_vanished(&mut self, endpoint: &Endpoint) -> bool {
        let near = |e: &Endpoint| e.data_centre == endpoint.data_centre;
        let mut vanished = self.vanished.iter();
        let same_kind = vanished.position(|(e, _)| same_kind(e, endpoint));
        let replaced = same_kind.or_else(|| self.vanished.iter().position(|(e, _)| near(e)));
        replaced.map(|at| self.vanished.remove(at)).is_some()
    }

    /// Whether it may be the replacement of an engine that will drain: its data centre has all
    /// layers without it, and an engine of its kind.
    fn should_wait(
        &self,
        layers: u32,
        endpoint: &Endpoint,
        serving: &[ServingEngine<'_>],
        now: Duration,
    ) -> bool {
        let until = self.wait_deadlines.get(&endpoint.id);
        let near = serving
            .iter()
            .filter(|(e, _)| e.data_centre == endpoint.data_centre);
        let may_go = near.clone().any(|(e, _)| same_kind(e, endpoint));
        let complete = layers::cover_all_layers(layers, near.map(|(_, layers)| *layers));
        until.is_some_and(|until| now < *until) && may_go && complete
    }
}

/// The engines that hold or load layers.
fn serving<'a>(candidates: &[(&'a Rc<Endpoint>, Candidate)]) -> Vec<ServingEngine<'a>> {
    let serving = candidates
        .iter()
        .filter_map(|(e, c)| Some((*e, c.held_layers?)));
    serving.collect()
}

/// The ids of engines as a set, as each host looks many of them up in each round.
fn ids<'a>(engines: impl IntoIterator<Item = &'a Rc<Endpoint>>) -> FxHashSet<&'a Rc<str>> {
    engines.into_iter().map(|e| &e.id).collect()
}

/// Whether one engine can replace another.
fn same_kind(one: &Endpoint, other: &Endpoint) -> bool {
    one.data_centre == other.data_centre && one.accelerator == other.accelerator
}
