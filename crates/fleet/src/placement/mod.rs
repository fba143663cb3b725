//! Decides which endpoint holds which layers.
//!
//! A plain function from what is known to the ranges that should be loaded. Each data centre gets
//! covers of its own, since it may be cut off from the others. Layers and requests share an
//! endpoint's memory: the more layers it holds, the fewer requests it can carry. So the fast
//! accelerators make the first cover with room for many requests, and the slow ones a second
//! cover, which carries on when an endpoint of the first is lost.
//!
//! What is loaded mostly stays where it is: endpoints that hold nothing are given the layers that
//! help their data centre most, and a loaded one moves only if that is worth far more than it
//! costs. An engine that joins where nothing is missing mostly stands for one that is about to
//! leave, and takes its layers.
//!
//! A data centre of many engines is planned in [`cells`].
//!
//! [`planner`] is the whole of it for one service, [`plan`] the part without memory.

pub mod cells;
mod covers;
pub mod knowledge;
mod moves;
pub mod planner;
mod settling;
pub mod succession;
mod target;
mod value;

use std::rc::Rc;

use self::cells::Cells;
use crate::{
    catalogue::{Accelerator, Engine},
    endpoints::Endpoint,
    layers::LayerRange,
};

/// An endpoint that may hold layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub id: Rc<str>,
    /// Where it is.
    pub data_centre: Rc<str>,
    /// Its accelerator's name.
    pub accelerator: Rc<str>,
    /// The layers that it holds, or is loading.
    pub holds: Option<LayerRange>,
    /// It is loading, or may be: it is given nothing. Without layers it is not known what.
    pub loading: bool,
}

/// What is believed of an engine beyond its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// It is as it is listed.
    Listed,
    /// It holds these layers or loads them.
    Loading(LayerRange),
    /// It may be carrying out an order.
    Unsure,
    /// It does not answer, or says that it is not as it is listed.
    Lost,
}

impl Candidate {
    /// What is planned with; `None` for an endpoint that holds no layers of a model.
    ///
    /// An engine that is lost is planned without: it may have started again, and an empty one should
    /// rather take its layers than others.
    pub fn of(endpoint: &Endpoint, belief: Belief) -> Option<Self> {
        let holds = match belief {
            Belief::Listed | Belief::Unsure => endpoint.layers,
            Belief::Loading(layers) => Some(layers),
            Belief::Lost => return None,
        };
        Some(Self {
            id: endpoint.id.clone(),
            data_centre: endpoint.data_centre.clone(),
            accelerator: endpoint.accelerator.clone()?,
            holds,
            loading: belief != Belief::Listed,
        })
    }
}

/// Layers that an endpoint should load.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub id: Rc<str>,
    /// The layers.
    pub layers: LayerRange,
}

struct Slot<'a> {
    candidate: &'a Candidate,
    accelerator: &'a Accelerator,
}

/// What endpoints should load: all that hold nothing, and loaded ones that are worth moving.
///
/// Nothing loaded moves in data centres that are `unsettled`.
pub fn plan(
    engine: &Engine,
    candidates: &[Candidate],
    unsettled: impl Fn(&str) -> bool,
) -> Vec<Placement> {
    plan_in(engine, &mut Cells::default(), candidates, unsettled)
}

/// The same, where cells are known from the plan before.
pub fn plan_in(
    engine: &Engine,
    cells: &mut Cells,
    candidates: &[Candidate],
    unsettled: impl Fn(&str) -> bool,
) -> Vec<Placement> {
    let cells = cells.split(engine, candidates);
    let placed = cells.iter().map(|cell| {
        let unsettled = unsettled(&cell.key.data_centre);
        plan_cell(engine, &cell.candidates, unsettled)
    });
    placed.flatten().collect()
}

/// What the endpoints of one cell should load.
fn plan_cell(engine: &Engine, candidates: &[&Candidate], unsettled: bool) -> Vec<Placement> {
    let slots = candidates.iter().filter_map(|c| slot(engine, c));
    let mut slots: Vec<Slot<'_>> = slots.collect();
    slots.sort_by(|a, b| {
        let pace = a
            .accelerator
            .step_factor
            .total_cmp(&b.accelerator.step_factor);
        pace.then_with(|| a.candidate.id.cmp(&b.candidate.id))
    });
    let mut placements = Vec::new();
    if slots.iter().all(|s| s.candidate.holds.is_none()) {
        covers::cover_anew(engine, &slots, &mut placements);
        return placements;
    }
    moves::fill_gaps(engine, &slots, &mut placements);
    if placements.is_empty() && !unsettled {
        moves::moves(engine, &slots, &mut placements);
    }
    placements
}

fn slot<'a>(engine: &'a Engine, candidate: &'a Candidate) -> Option<Slot<'a>> {
    let accelerator = engine.accelerator(&candidate.accelerator)?;
    Some(Slot {
        candidate,
        accelerator,
    })
}

/// The most layers that leave room for `tokens` of requests on each of them.
fn most_layers(engine: &Engine, accelerator: &Accelerator, tokens: f64) -> u32 {
    let per_layer = engine.layer_mb + tokens * engine.token_layer_mb;
    ((accelerator.memory_mb / per_layer) as u32).clamp(1, engine.max_layers(accelerator).max(1))
}

/// Tokens of one request, prompt and answer.
fn request_tokens(engine: &Engine) -> f64 {
    (engine.typical_prompt_tokens + engine.typical_answer_tokens).max(1.0)
}
