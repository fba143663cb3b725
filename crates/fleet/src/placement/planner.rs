//! What one service's engines should load, from one look at the list to the next.

use std::{rc::Rc, time::Duration};

use super::{
    Candidate, Placement,
    knowledge::Knowledge,
    plan,
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
    /// Those that stay.
    pub staying: &'a [Rc<Endpoint>],
    /// Those that have said that they are leaving.
    pub leaving: &'a [Rc<Endpoint>],
    /// What they have told.
    pub known: &'a Knowledge,
    /// What this host has seen of them.
    pub directory: &'a Directory,
}

impl<'a> Engines<'a> {
    /// Those that stay, with what is planned with of each.
    pub(super) fn candidates(&self) -> impl Iterator<Item = (&'a Rc<Endpoint>, Candidate)> {
        let Self {
            known, directory, ..
        } = *self;
        let candidate = move |e: &'a Rc<Endpoint>| {
            let belief = known.belief(directory, &e.id);
            Some((e, Candidate::of(e, belief)?))
        };
        self.staying.iter().filter_map(candidate)
    }
}

/// What is planned for.
#[derive(Debug, PartialEq)]
struct Situation {
    succession: Succession,
    /// Data centres in which nothing loaded may move, as their list returns or an engine waits.
    unsettled: Vec<Rc<str>>,
}

/// Plans for the engines of one service.
#[derive(Debug, Default)]
pub struct Planner {
    settling: Settling,
    successions: Successions,
    /// The state for which there was nothing to order.
    planned_for: Option<Situation>,
    waiting: Vec<Rc<str>>,
}

/// What follows from one look at the engines.
#[derive(Debug, Default)]
pub struct Plan {
    /// What engines should load.
    pub placements: Vec<Placement>,
    /// Engines that begin to wait for one of their kind to leave.
    pub begin_to_wait: Vec<Rc<str>>,
}

impl Planner {
    /// Watches the list while another host gives the orders.
    pub fn watch(&mut self, engines: &Engines<'_>, now: Duration) {
        self.settling.unsettled(engines, now);
        self.successions.watch(engines, now);
    }

    /// Whether the list has stood still for long enough; `asked` says that requests wait for it.
    pub fn settled(&mut self, engines: &Engines<'_>, asked: bool, now: Duration) -> bool {
        self.settling.settled(engines, asked, now)
    }

    /// What engines should load now. Those that hold nothing have been asked.
    pub fn plan(&mut self, engine: &Engine, engines: &Engines<'_>, now: Duration) -> Plan {
        let succession = self.successions.plan(engine.layers, engines, now);
        let mut unsettled = self.settling.unsettled(engines, now);
        // An engine that waits may be what a move would make up for.
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
        let unsettled = |centre: &str| situation.unsettled.iter().any(|c| **c == *centre);
        let mut placements = plan(engine, candidates, unsettled);
        placements.extend(successors.iter().cloned());
        self.planned_for = placements.is_empty().then_some(situation);
        Plan {
            placements,
            begin_to_wait,
        }
    }
}
