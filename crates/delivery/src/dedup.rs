//! The home host of a request key, where duplicate runs of a repeatable request are detected.
//!
//! A caller may send the same request to several hosts, or retry it at another host. Every host
//! computes the same home for a request key among the live peers, queries the home for an existing
//! run ([`found::Query`](dragonflyrill_protocol::found::Query)), and reports its own run to it.
//! Hosts that see different peers may compute different homes, so this saves work but guarantees
//! nothing: [`record`](crate::record) provides at-most-once execution.

use dragonflyrill_protocol::HostRef;
use xxhash_rust::xxh3;

/// Computes the home of `key` among `peers` by rendezvous hashing: when a peer leaves, only the
/// keys whose home it was move to other peers. `None` if there are no peers.
pub fn home<'a>(key: &str, peers: impl IntoIterator<Item = &'a HostRef>) -> Option<&'a HostRef> {
    let seed = xxh3::xxh3_64(key.as_bytes());
    peers.into_iter().max_by_key(|peer| {
        let name = peer.id.0.as_str().as_bytes();
        (xxh3::xxh3_64_with_seed(name, seed), *peer)
    })
}
