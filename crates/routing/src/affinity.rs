//! Prefix affinity: maps a prompt to a preferred endpoint of a group, so that later prompts with
//! the same prefix find it cached there.

use dragonflyrill_catalogue::TargetName;
use xxhash_rust::xxh3;

/// Number of positions in one prefix block.
pub const BLOCK_POSITIONS: usize = 32;
/// Number of leading blocks that form the affinity key.
const KEY_BLOCKS: usize = 2;
/// Number of members of a group that rendezvous hashing compares for one key.
const RENDEZVOUS_WINDOW: usize = 16;

/// Returns the hashes of the complete blocks of `prompt`, each chained to the one before.
///
/// Equal hashes mean equal models and equal prompts up to the end of the block.
pub fn prefix_blocks(model: &TargetName, prompt: &[u64]) -> Vec<u64> {
    let seed = xxh3::xxh3_64(model.as_str().as_bytes());
    let blocks = prompt
        .chunks_exact(BLOCK_POSITIONS)
        .scan(seed, |chain, block| {
            let mut bytes = [0; BLOCK_POSITIONS * size_of::<u64>()];
            for (to, position) in bytes.chunks_exact_mut(size_of::<u64>()).zip(block) {
                to.copy_from_slice(&position.to_le_bytes());
            }
            *chain = xxh3::xxh3_64_with_seed(&bytes, *chain);
            Some(*chain)
        });
    blocks.collect()
}

/// Returns the affinity key of a prompt; `None` for a prompt shorter than one block.
pub(crate) fn key(prefix: &[u64]) -> Option<u64> {
    prefix.iter().take(KEY_BLOCKS).next_back().copied()
}

/// A member of a group, ordered by the hash of its endpoint id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Member {
    /// The hash of the endpoint id.
    pub(crate) hash: u64,
    /// The index of the endpoint's slot in the table.
    pub(crate) slot: u32,
}

/// Returns the slot of the preferred member for `key` among those for which `is_eligible` holds.
///
/// `ring` must be sorted. Uses rendezvous hashing over the members that follow the key on the ring:
/// a member that joins or leaves changes the choice of few keys. If the first member is not
/// eligible, the next one in the order of this key is used, so the keys of an ineligible member
/// spread over different members.
pub(crate) fn preferred(
    ring: &[Member],
    key: u64,
    mut is_eligible: impl FnMut(u32) -> bool,
) -> Option<u32> {
    let start = ring.partition_point(|m| m.hash < key);
    let window = (0..ring.len().min(RENDEZVOUS_WINDOW)).map(|i| ring[(start + i) % ring.len()]);
    let mut best: Option<(u64, u32)> = None;
    for member in window {
        let weight = mix(member.hash ^ key);
        if best.is_none_or(|(b, _)| weight > b) && is_eligible(member.slot) {
            best = Some((weight, member.slot));
        }
    }
    best.map(|(_, slot)| slot)
}

/// Returns a well-distributed hash of `x`: the finalizer of SplitMix64.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
