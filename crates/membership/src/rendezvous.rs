//! Rendezvous hashing: hosts with the same view choose the same hosts without communication.

use dragonflyrill_protocol::HostId;
use xxhash_rust::xxh3;

/// The weight of `id` for `key`. The ids with the greatest weights are chosen.
pub fn weight(key: &str, id: &str) -> u64 {
    let seed = xxh3::xxh3_64(key.as_bytes());
    xxh3::xxh3_64_with_seed(id.as_bytes(), seed)
}

/// The `n` hosts of `hosts` with the greatest weights for `key`, in descending order.
pub fn choose<'a>(key: &str, hosts: impl Iterator<Item = &'a HostId>, n: usize) -> Vec<&'a HostId> {
    let mut ranked: Vec<_> = hosts.map(|h| (weight(key, h.0.as_str()), h)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(n).map(|(_, h)| h).collect()
}
