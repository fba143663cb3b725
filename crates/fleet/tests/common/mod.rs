//! Engines and endpoints like those of real deployments.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    catalogue::{Accelerator, Engine},
    chains::{self, Chain},
    choice::RequestDemand,
    endpoints::Endpoint,
    layers::LayerRange,
    placement::{self, Candidate},
};

pub(crate) fn accelerator(
    name: &str,
    memory_mb: f64,
    step_factor: f64,
    prefill_factor: f64,
) -> Accelerator {
    Accelerator {
        name: name.into(),
        memory_mb,
        step_factor,
        prefill_factor,
    }
}

pub(crate) fn engine() -> Engine {
    Engine {
        layers: 80,
        layer_mb: 1750.0,
        token_layer_mb: 0.011475,
        step_ms: 1.02,
        step_ms_per_request: 0.00714,
        step_ms_per_1k_context: 0.00956,
        prefill_tokens_per_ms: 105.0,
        typical_prompt_tokens: 774.0,
        typical_answer_tokens: 204.0,
        tokens_per_event: 3.0,
        load_s: 14.0,
        concurrent_loads: 5.0,
        accelerators: vec![
            accelerator("a100", 72_000.0, 2.4, 3.2),
            accelerator("l40s", 43_200.0, 5.6, 2.7),
            accelerator("l4", 21_600.0, 16.0, 8.2),
        ],
    }
}

pub(crate) fn candidate(id: usize, data_centre: &str, accelerator: &str) -> Candidate {
    Candidate {
        id: format!("e{id:02}").into(),
        data_centre: data_centre.into(),
        accelerator: accelerator.into(),
        held_layers: None,
        loading: false,
    }
}

/// Engines by data centre, with the number of each kind: a100, l40s, l4.
pub(crate) fn fleet(counts: &[(&str, [usize; 3])]) -> Vec<Candidate> {
    let mut all = Vec::new();
    for (centre, kinds) in counts {
        for (kind, n) in ["a100", "l40s", "l4"].iter().zip(kinds) {
            for _ in 0..*n {
                all.push(candidate(all.len(), centre, kind));
            }
        }
    }
    all
}

pub(crate) fn candidates_of_33() -> Vec<Candidate> {
    fleet(&[("a", [2, 2, 5]), ("b", [1, 3, 8]), ("c", [1, 6, 5])])
}

pub(crate) fn endpoint(id: &str, data_centre: &str, kind: &str, first: u32, end: u32) -> Endpoint {
    let number: u16 = id
        .bytes()
        .map(u16::from)
        .fold(0, |a, b| a.wrapping_mul(31).wrapping_add(b));
    Endpoint {
        id: id.into(),
        name: id.into(),
        started_at: None,
        service: "model".into(),
        addr: ([127, 0, 0, 1], number).into(),
        data_centre: data_centre.into(),
        slots: 192,
        draining: false,
        accelerator: Some(kind.into()),
        layers: LayerRange::new(first, end),
    }
}

pub(crate) fn placed(candidate: &Candidate, layers: LayerRange) -> Endpoint {
    let kind = &candidate.accelerator;
    endpoint(
        &candidate.id,
        &candidate.data_centre,
        kind,
        layers.first,
        layers.end,
    )
}

pub(crate) fn name(text: &str) -> Rc<str> {
    text.into()
}

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Demand of a typical stream.
pub(crate) const STREAM: RequestDemand = RequestDemand {
    prompt_tokens: 774.0,
    answer_tokens: 204.0,
    first_event_target_ms: 600.0,
    max_gap_ms: 250.0,
    tokens_per_event: 3.0,
};

/// Chains of three data centres with 86 engines, as the planner places them.
pub(crate) fn chains_of_86() -> Vec<Chain> {
    let mut candidates = fleet(&[("a", [4, 6, 14]), ("b", [2, 9, 22]), ("c", [2, 15, 12])]);
    for placement in placement::plan(&engine(), &candidates, |_| false) {
        let found = candidates.iter_mut().find(|c| c.id == placement.id);
        found.expect("a candidate").held_layers = Some(placement.layers);
    }
    let holders = candidates
        .iter()
        .filter_map(|c| Some(placed(c, c.held_layers?)));
    let endpoints: Vec<Endpoint> = holders.collect();
    chains::find(&engine(), endpoints.iter().map(|e| (e, 1.0)))
}
