//! What the engines of one service should load, with the state that is kept between two plans.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use super::{
    Candidate, Placement,
    cells::{Cell, CellKey, Cells},
    engine_states::EngineStates,
    plan_cell,
    replacement::{ReplacementPlan, Replacements},
    settling::Settling,
};
use crate::{
    catalogue::Engine,
    endpoints::{Directory, Endpoint},
};

/// The engines of one service, as they are listed and known.
#[derive(Debug, Clone, Copy)]
pub struct ListedEngines<'a> {
    /// Engines that are not draining.
    pub staying: &'a [Rc<Endpoint>],
    /// Engines that have announced that they drain.
    pub draining: &'a [Rc<Endpoint>],
    /// What they have reported.
    pub states: &'a EngineStates,
    /// The endpoints as this host sees them.
    pub directory: &'a Directory,
}

impl<'a> ListedEngines<'a> {
    /// The staying engines with their candidates. An engine that is listed as empty is left out
    /// until it was polled.
    pub(super) fn candidates(&self) -> impl Iterator<Item = (&'a Rc<Endpoint>, Candidate)> {
        let Self {
            states, directory, ..
        } = *self;
        let candidate = move |e: &'a Rc<Endpoint>| {
            if e.layers.is_none() && !states.is_known(&e.id) {
                return None;
            }
            let state = states.assumed_state(directory, &e.id);
            Some((e, Candidate::from_endpoint(e, state)?))
        };
        self.staying.iter().filter_map(candidate)
    }
}

/// The input of a plan.
#[derive(Debug, PartialEq)]
struct PlanInput {
    replacement: ReplacementPlan,
    /// Data centres in which no loaded layers may move, as their list is coming back or an engine
    /// waits for one to drain.
    unsettled: Vec<Rc<str>>,
}

/// A cell whose last plan had no orders.
#[derive(Debug, PartialEq)]
struct SettledCell {
    candidates: Vec<Candidate>,
    unsettled: bool,
}

impl SettledCell {
    fn matches(&self, cell: &Cell<'_>, unsettled: bool) -> bool {
        self.unsettled == unsettled && self.candidates.iter().eq(cell.candidates.iter().copied())
    }
}

/// Plans for the engines of one service.
#[derive(Debug, Default)]
pub struct Planner {
    settling: Settling,
    replacements: Replacements,
    cells: Cells,
    /// The last input, if its plan had no orders.
    settled_input: Option<PlanInput>,
    /// The cells whose last plan had no orders.
    settled_cells: FxHashMap<CellKey, SettledCell>,
    waiting: Vec<Rc<str>>,
    /// The generation of the directory at the last observation; `None` if a plan was made since.
    observed_generation: Option<u64>,
}

/// The result of one planning round.
#[derive(Debug, Default)]
pub struct Plan {
    /// What engines should load.
    pub placements: Vec<Placement>,
    /// Engines that start to wait for one of the same kind to drain.
    pub newly_waiting: Vec<Rc<str>>,
}

impl Planner {
    /// Whether the list has changed since it was last observed. Every host observes the list of all
    /// engines, so that it must not collect them in each round.
    pub fn is_observation_due(&self, directory: &Directory) -> bool {
        self.observed_generation != Some(directory.generation())
    }

    /// Observes the list while another host gives the orders.
    pub fn observe(&mut self, engines: &ListedEngines<'_>, now: Duration) {
        self.observed_generation = Some(engines.directory.generation());
        self.settling.unsettled(engines, now);
        self.replacements.observe(engines, now);
    }

    /// Whether the list of engines has been unchanged for long enough to plan with;
    /// `requests_waiting` says that requests wait for a plan.
    pub fn settled(
        &mut self,
        engines: &ListedEngines<'_>,
        requests_waiting: bool,
        now: Duration,
    ) -> bool {
        self.settling.settled(engines, requests_waiting, now)
    }

    /// What engines should load now. The empty ones must have been polled.
    pub fn plan(&mut self, engine: &Engine, engines: &ListedEngines<'_>, now: Duration) -> Plan {
        self.observed_generation = None;
        let replacement = self.replacements.plan(engine.layers, engines, now);
        let mut unsettled = self.settling.unsettled(engines, now);
        // A waiting engine may fill the gap that a move would fill.
        let waiting = engines.staying.iter();
        let waiting = waiting.filter(|e| replacement.waiting.contains(&e.id));
        unsettled.extend(waiting.map(|e| e.data_centre.clone()));
        let input = PlanInput {
            replacement,
            unsettled,
        };
        if self.settled_input.as_ref() == Some(&input) {
            return Plan::default();
        }
        let ReplacementPlan {
            replacements,
            waiting,
            candidates,
        } = &input.replacement;
        let before = std::mem::replace(&mut self.waiting, waiting.clone());
        let new = waiting.iter().filter(|id| !before.contains(id));
        let newly_waiting = new.cloned().collect();
        let mut placements = self.plan_cells(engine, candidates, &input.unsettled);
        placements.extend(replacements.iter().cloned());
        self.settled_input = placements.is_empty().then_some(input);
        Plan {
            placements,
            newly_waiting,
        }
    }

    /// What engines should load in the cells that have changed since their last plan without
    /// orders.
    fn plan_cells(
        &mut self,
        engine: &Engine,
        candidates: &[Candidate],
        unsettled: &[Rc<str>],
    ) -> Vec<Placement> {
        let mut placements = Vec::new();
        let mut settled_cells = FxHashMap::default();
        for cell in self.cells.split(engine, candidates) {
            let unsettled = unsettled.contains(&cell.key.data_centre);
            let before = self.settled_cells.remove(&cell.key);
            if let Some(settled) = before.filter(|p| p.matches(&cell, unsettled)) {
                settled_cells.insert(cell.key, settled);
                continue;
            }
            let placed = plan_cell(engine, &cell.candidates, unsettled);
            if placed.is_empty() {
                let candidates = cell.candidates.into_iter().cloned().collect();
                let settled = SettledCell {
                    candidates,
                    unsettled,
                };
                settled_cells.insert(cell.key, settled);
            }
            placements.extend(placed);
        }
        self.settled_cells = settled_cells;
        placements
    }
}
