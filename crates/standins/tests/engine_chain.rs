//! Property tests: any split of the work over engines and steps, with or without retried steps, and a
//! move of the KV cache to another engine generate the tokens of the reference model.

mod common;

use common::{driver, outputs, step};
use dragonflyrill_engines::wire;
use dragonflyrill_standins::{
    engine::{EngineConfig, core::Engine},
    reference,
};
use proptest::prelude::*;

const MODEL_LAYERS: u32 = 12;
const GENERATED_TOKENS: usize = 6;

/// Creates engines that together have all layers loaded, split at `cuts`.
fn chain(cuts: &[u32]) -> Vec<(wire::Layers, Engine)> {
    let mut bounds = vec![0, MODEL_LAYERS];
    bounds.extend(cuts);
    bounds.sort_unstable();
    bounds.dedup();
    let ranges = bounds
        .windows(2)
        .map(|pair| common::layers(pair[0], pair[1]));
    ranges.map(|layers| (layers, engine(layers))).collect()
}

fn engine(layers: wire::Layers) -> Engine {
    let base = EngineConfig::new("e", common::MODEL, MODEL_LAYERS);
    Engine::new(EngineConfig { layers, ..base }, 1)
}

/// Runs `inputs` through all engines, submitting each step `copies` times.
fn run_chain(
    chain: &mut [(wire::Layers, Engine)],
    start: u32,
    inputs: &[u64],
    copies: usize,
) -> Vec<u64> {
    let mut values = inputs.to_vec();
    for (layers, engine) in chain {
        let step = step("r", *layers, start, &values);
        let results: Vec<_> = (0..copies)
            .map(|_| driver::run(engine, 0, step.clone()))
            .collect();
        assert!(results.iter().all(|result| *result == results[0]));
        values = outputs(&results[0]).to_vec();
    }
    values
}

/// Runs the prompt in steps that end at `step_ends` modulo its length, then generates tokens.
fn generate(
    chain: &mut [(wire::Layers, Engine)],
    prompt: &[u64],
    step_ends: &[usize],
    copies: usize,
) -> Vec<u64> {
    let mut ends: Vec<_> = step_ends.iter().map(|end| end % prompt.len()).collect();
    ends.push(prompt.len());
    ends.sort_unstable();
    let mut start = 0;
    let mut tokens = Vec::new();
    let mut last = 0;
    for end in ends.into_iter().filter(|&end| end > 0) {
        if end > start {
            let out = run_chain(chain, start as u32, &prompt[start..end], copies);
            last = *out.last().expect("an output for each input");
            start = end;
        }
    }
    while tokens.len() < GENERATED_TOKENS {
        tokens.push(last);
        last = run_chain(chain, start as u32, &[last], copies)[0];
        start += 1;
    }
    tokens
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn any_split_of_layers_and_positions_gives_the_reference_tokens(
        cuts in prop::collection::vec(1..MODEL_LAYERS, 0..5),
        prompt in prop::collection::vec(0u64..50_000, 1..80),
        step_ends in prop::collection::vec(any::<usize>(), 0..5),
        copies in 1usize..3,
    ) {
        let mut chain = chain(&cuts);
        let tokens = generate(&mut chain, &prompt, &step_ends, copies);
        let expected =
            reference::expected_tokens(common::MODEL, MODEL_LAYERS, &prompt, GENERATED_TOKENS);
        prop_assert_eq!(tokens, expected);
        for (_, engine) in &chain {
            let positions: u32 = engine.ledger().entries().map(|entry| entry.count).sum();
            prop_assert_eq!(positions as usize, prompt.len() + GENERATED_TOKENS);
        }
    }

    #[test]
    fn an_engine_that_imports_the_kv_cache_continues_with_the_reference_tokens(
        prompt in prop::collection::vec(0u64..50_000, 2..40),
        moved_at in any::<prop::sample::Index>(),
    ) {
        let all = common::layers(0, MODEL_LAYERS);
        let moved_at = 1 + moved_at.index(prompt.len() - 1);
        let mut old = engine(all);
        driver::run(&mut old, 0, step("r", all, 0, &prompt[..moved_at]));
        let kv = old.export("r").expect("a session");
        let mut new = engine(all);
        new.import(0, &kv).expect("import");
        let rest = driver::run(&mut new, 0, step("r", all, moved_at as u32, &prompt[moved_at..]));
        let token = *outputs(&rest).last().expect("output");
        let expected = reference::expected_tokens(common::MODEL, MODEL_LAYERS, &prompt, 1);
        prop_assert_eq!(token, expected[0]);
    }
}
