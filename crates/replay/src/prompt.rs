//! The text of a prompt. It is generated from the request, so that a trace stays small.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use xxhash_rust::xxh3;

use crate::trace::Arrival;

/// The length of a prompt divided by this is the length of the prefix that all requests of a
/// workspace share.
const SHARED_PREFIX_DIVISOR: usize = 2;
const ALPHABET: &[u8] = b"abcdefghijklmnopqrstuvwxyz ";

/// The prompt of `arrival`: `tokens` characters, of which the first half is the same for all
/// requests of the workspace, like a system prompt. The rest depends on the key.
pub fn text(arrival: &Arrival, tokens: u32) -> String {
    let len = tokens as usize;
    let shared = len / SHARED_PREFIX_DIVISOR;
    let mut text = random_text(arrival.workspace.as_str(), shared);
    text.push_str(&random_text(&arrival.key, len - shared));
    text
}

/// Pseudo-random text of `len` characters; the same `seed` gives the same text.
fn random_text(seed: &str, len: usize) -> String {
    let mut rng = Pcg64::seed_from_u64(xxh3::xxh3_64(seed.as_bytes()));
    (0..len)
        .map(|_| char::from(ALPHABET[rng.random_range(0..ALPHABET.len())]))
        .collect()
}
