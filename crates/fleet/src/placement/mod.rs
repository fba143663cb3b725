//! Decides which endpoint holds which layers.
//!
//! A pure function from what is known to the ranges that should be loaded. Each data centre gets
//! covers of its own, since it may be partitioned from the others. Layers and requests share an
//! endpoint's memory: the more layers it holds, the fewer requests it can run. So the fast
//! accelerators form the first cover with free capacity for many requests, and the slow ones a
//! second cover, which continues when an endpoint of the first is lost.
//!
//! Loaded layers mostly stay where they are: empty endpoints get the layers that help their data
//! centre most, and a loaded one moves only if the gain is much higher than the cost. An engine
//! that joins a data centre where nothing is missing is usually the replacement of one that is
//! about to drain, and takes its layers.
//!
//! A data centre of many engines is planned in [`cells`].
//!
//! [`planner`] does all of this for one service; [`plan`] is the part that keeps no state.

pub mod cells;
mod covers;
pub mod engine_states;
mod moves;
pub mod planner;
pub mod replacement;
mod settling;
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
    /// The id of the endpoint.
    pub id: Rc<str>,
    /// The data centre of the endpoint.
    pub data_centre: Rc<str>,
    /// The name of its accelerator.
    pub accelerator: Rc<str>,
    /// The layers that it holds or is loading.
    pub held_layers: Option<LayerRange>,
    /// Whether it is loading, or may be: it gets no layers. If `held_layers` is `None` it is
    /// unknown which.
    pub loading: bool,
}

/// The state of an engine that plans assume, beyond its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssumedState {
    /// As its entry says.
    Listed,
    /// It holds these layers or loads them.
    Loading(LayerRange),
    /// It may be carrying out an order.
    Unknown,
    /// It does not answer, or reports that it is not as it is listed.
    Unresponsive,
}

impl Candidate {
    /// The candidate for an endpoint in an assumed state; `None` for an endpoint without an
    /// accelerator.
    ///
    /// An unresponsive engine is left out as well: it may have restarted, and an empty engine
    /// should rather take its layers than others.
    pub fn from_endpoint(endpoint: &Endpoint, state: AssumedState) -> Option<Self> {
        let held_layers = match state {
            AssumedState::Listed | AssumedState::Unknown => endpoint.layers,
            AssumedState::Loading(layers) => Some(layers),
            AssumedState::Unresponsive => return None,
        };
        Some(Self {
            id: endpoint.id.clone(),
            data_centre: endpoint.data_centre.clone(),
            accelerator: endpoint.accelerator.clone()?,
            held_layers,
            loading: state != AssumedState::Listed,
        })
    }
}

/// Layers that an endpoint should load.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The id of the endpoint.
    pub id: Rc<str>,
    /// The layers to load.
    pub layers: LayerRange,
}

struct Slot<'a> {
    candidate: &'a Candidate,
    accelerator: &'a Accelerator,
}

/// What endpoints should load: all empty ones, and loaded ones that are worth moving.
///
/// No loaded layers move in data centres that are `unsettled`.
pub fn plan(
    engine: &Engine,
    candidates: &[Candidate],
    unsettled: impl Fn(&str) -> bool,
) -> Vec<Placement> {
    plan_with_cells(engine, &mut Cells::default(), candidates, unsettled)
}

/// Like [`plan`], with the cells of the previous plan.
pub fn plan_with_cells(
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
    if slots.iter().all(|s| s.candidate.held_layers.is_none()) {
        covers::place_covers(engine, &slots, &mut placements);
        return placements;
    }
    moves::fill_gaps(engine, &slots, &mut placements);
    if placements.is_empty() && !unsettled {
        moves::plan_moves(engine, &slots, &mut placements);
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

/// The maximum number of layers that leaves memory for the requests' `tokens` on each of them.
fn max_layers(engine: &Engine, accelerator: &Accelerator, tokens: f64) -> u32 {
    let per_layer = engine.layer_mb + tokens * engine.token_layer_mb;
    ((accelerator.memory_mb / per_layer) as u32).clamp(1, engine.max_layers(accelerator).max(1))
}

/// The tokens of a typical request, prompt and answer.
fn request_tokens(engine: &Engine) -> f64 {
    (engine.typical_prompt_tokens + engine.typical_answer_tokens).max(1.0)
}
