//! What the engines of one service should load, with the state that is kept between two plans.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use super::{
    Candidate, Placement,
    cells::{Cell, CellKey, Cells},
    knowledge::Knowledge,
    plan_cell,
    settling::Settling,
    succession::{Succession, Successions},
};
use crate::{
    catalogue::Engine,
    endpoints::{Directory, Endpoint},
};

/// The engines of one service, as they are listed and known.
#[derive(Debug, Clone, Copy)]
pub struct Engines<'a> {
    /// Engines that are not draining.
    pub staying: &'a [Rc<Endpoint>],
    /// Engines that have announced that they drain.
    pub leaving: &'a [Rc<Endpoint>],
    /// What they have reported.
    pub known: &'a Knowledge,
    /// The endpoints as this host sees them.
    pub directory: &'a Directory,
}

impl<'a> Engines<'a> {
    /// The staying engines with their candidates. An engine that is listed as empty is left out
    /// until it was polled.
    pub(super) fn candidates(&self) -> impl Iterator<Item = (&'a Rc<Endpoint>, Candidate)> {
        let Self {
            known, directory, ..
        } = *self;
        let candidate = move |e: &'a Rc<Endpoint>| {
            if e.layers.is_none() && !known.knows(&e.id) {
                return None;
            }
            let belief = known.belief(directory, &e.id);
            Some((e, Candidate::of(e, belief)?))
        };
        self.staying.iter().filter_map(candidate)
    }
}

/// The input of a plan.
#[derive(Debug, PartialEq)]
struct Situation {
    succession: Succession,
    /// Data centres in which no loaded layers may move, as their list is coming back or an engine
    /// waits for one to drain.
    unsettled: Vec<Rc<str>>,
}

/// A cell whose last plan had no orders.
#[derive(Debug, PartialEq)]
struct PlannedCell {
    candidates: Vec<Candidate>,
    unsettled: bool,
}

impl PlannedCell {
    fn is_as(&self, cell: &Cell<'_>, unsettled: bool) -> bool {
        self.unsettled == unsettled && self.candidates.iter().eq(cell.candidates.iter().copied())
    }
}

/// Plans for the engines of one service.
#[derive(Debug, Default)]
pub struct Planner {
    settling: Settling,
    successions: Successions,
    cells: Cells,
    /// The last input, if its plan had no orders.
    planned_for: Option<Situation>,
    /// The cells whose last plan had no orders.
    planned_cells: FxHashMap<CellKey, PlannedCell>,
    waiting: Vec<Rc<str>>,
}

/// The result of one planning round.
#[derive(Debug, Default)]
pub struct Plan {
    /// What engines should load.
    pub placements: Vec<Placement>,
    /// Engines that start to wait for one of the same kind to drain.
    pub begin_to_wait: Vec<Rc<str>>,
}

impl Planner {
    /// Observes the list while another host gives the orders.
    pub fn watch(&mut self, engines: &Engines<'_>, now: Duration) {
        self.settling.unsettled(engines, now);
        self.successions.watch(engines, now);
    }

    /// Whether the list of engines has been unchanged for long enough to plan with;
    /// `requests_waiting` says that requests wait for a plan.
    pub fn settled(&mut self, engines: &Engines<'_>, asked: bool, now: Duration) -> bool {
        self.settling.settled(engines, asked, now)
    }

    /// What engines should load now. The empty ones must have been polled.
    pub fn plan(&mut self, engine: &Engine, engines: &Engines<'_>, now: Duration) -> Plan {
        let succession = self.successions.plan(engine.layers, engines, now);
        let mut unsettled = self.settling.unsettled(engines, now);
        // A waiting engine may fill the gap that a move would fill.
        let waiting = engines.staying.iter();
        let waiting = waiting.filter(|e| succession.waiting.contains(&e.id));
        unsettled.extend(waiting.map(|e| e.data_centre.clone()));
        let situation = Situation {
            succession,
            unsettled,
        };
        if self.planned_for.as_ref() == Some(&situation) {
            return Plan::default();
        }
        let Succession {
            successors,
            waiting,
            candidates,
        } = &situation.succession;
        let before = std::mem::replace(&mut self.waiting, waiting.clone());
        let new = waiting.iter().filter(|id| !before.contains(id));
        let begin_to_wait = new.cloned().collect();
        let mut placements = self.plan_cells(engine, candidates, &situation.unsettled);
        placements.extend(successors.iter().cloned());
        self.planned_for = placements.is_empty().then_some(situation);
        Plan {
            placements,
            begin_to_wait,
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
        let mut planned_cells = FxHashMap::default();
        for cell in self.cells.split(engine, candidates) {
            let unsettled = unsettled.contains(&cell.key.data_centre);
            let before = self.planned_cells.remove(&cell.key);
            if let Some(planned) = before.filter(|p| p.is_as(&cell, unsettled)) {
                planned_cells.insert(cell.key, planned);
                continue;
            }
            let placed = plan_cell(engine, &cell.candidates, unsettled);
            if placed.is_empty() {
                let candidates = cell.candidates.into_iter().cloned().collect();
                let planned = PlannedCell {
                    candidates,
                    unsettled,
                };
                planned_cells.insert(cell.key, planned);
            }
            placements.extend(placed);
        }
        self.planned_cells = planned_cells;
        placements
    }
}
