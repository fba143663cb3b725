//! Selects the hosts that request a lease by rendezvous hashing, so that not all hosts compete.

use dragonflyrill_protocol::HostId;
use xxhash_rust::xxh3;

use super::LeaseName;

/// Returns how many of `peers` rank before `host` for this lease, by highest random weight.
///
/// Hosts that see the same peers compute the same order. When a host is removed, only the leases
/// for which it was a candidate get other candidates.
pub fn rank<'a>(
    name: &LeaseName,
    host: &HostId,
    peers: impl IntoIterator<Item = &'a HostId>,
) -> usize {
    let own_weight = weight(name, host);
    let ranks_before = |peer: &&HostId| *peer != host && weight(name, peer) > own_weight;
    peers.into_iter().filter(ranks_before).count()
}

/// Whether `host` is among the first `candidates` hosts for this lease.
///
/// With two candidates, one host holds the lease and the other one watches its row, so that the
/// wait before a takeover is already running when the holder fails. This only limits the number of
/// table calls: any host may safely request any lease.
pub fn is_candidate<'a>(
    name: &LeaseName,
    host: &HostId,
    peers: impl IntoIterator<Item = &'a HostId>,
    candidates: usize,
) -> bool {
    rank(name, host, peers) < candidates
}

/// The sort key of a host for a lease. Equal hashes are ordered by the host's name.
fn weight<'a>(name: &LeaseName, host: &'a HostId) -> (u64, &'a str) {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(name.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(host.0.as_str().as_bytes());
    (hasher.digest(), host.0.as_str())
}
