//! The deterministic model that all engine stand-ins run.
//!
//! For each position with input `x`, the layers run in order. Layer `l` has a KV state `k`, which
//! starts at [`initial_state`]. Each position updates it: `k = mix(k ^ x, l, position)`,
//! then `x = mix(x ^ k, l, 0)`. After the last layer of the model the output is
//! `x % `[`VOCABULARY`], a token id. An output thus depends on every layer of every earlier position:
//! a layer that is skipped, run twice or run out of order changes the output.

use xxhash_rust::xxh3;

/// The number of token ids.
pub const VOCABULARY: u64 = 50_000;

/// The KV state of `layer` before the first position.
pub fn initial_state(model: &str, layer: u32) -> u64 {
    mix(xxh3::xxh3_64(model.as_bytes()), layer, 0)
}

/// The KV states of the layers `first..end` before the first position.
pub fn initial_states(model: &str, first: u32, end: u32) -> Vec<u64> {
    (first..end)
        .map(|layer| initial_state(model, layer))
        .collect()
}

/// Runs one position through the layers `first..first + states.len()`, updates their KV states and
/// returns the activation.
pub fn run_position(states: &mut [u64], first: u32, position: u32, input: u64) -> u64 {
    let mut x = input;
    for (layer, k) in (first..).zip(states) {
        *k = mix(*k ^ x, layer, position);
        x = mix(x ^ *k, layer, 0);
    }
    x
}

/// Converts an activation of the model's last layer to a token id.
pub fn token_id(activation: u64) -> u64 {
    activation % VOCABULARY
}

/// Returns the `n` tokens that a model of `layers` layers generates after `prompt`, or none if the
/// prompt is empty.
pub fn expected_tokens(model: &str, layers: u32, prompt: &[u64], n: usize) -> Vec<u64> {
    let mut states = initial_states(model, 0, layers);
    let mut position = 0;
    let mut tokens = Vec::with_capacity(n);
    let mut feed = |input| {
        let token = token_id(run_position(&mut states, 0, position, input));
        position += 1;
        token
    };
    let Some(mut token) = prompt.iter().map(|&input| feed(input)).last() else {
        return tokens;
    };
    while tokens.len() < n {
        tokens.push(token);
        token = feed(token);
    }
    tokens
}

/// Splits a text into tokens, one for each byte of its UTF-8 encoding.
pub fn tokenize(text: &str) -> Vec<u64> {
    text.bytes().map(u64::from).collect()
}

/// Returns the text of a token: a space and the token id in hexadecimal.
pub fn detokenize(token: u64) -> String {
    format!(" {token:x}")
}

/// Hashes the three numbers with the finalizer of SplitMix64.
fn mix(value: u64, layer: u32, position: u32) -> u64 {
    let layer_and_position = (u64::from(layer) << 32) | u64::from(position);
    finalize(value ^ finalize(layer_and_position.wrapping_add(0x9e37_79b9_7f4a_7c15)))
}

fn finalize(value: u64) -> u64 {
    let z = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
