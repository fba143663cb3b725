//! The home host of a request key: it is the same at all hosts, spread evenly, and moves only if
//! its host leaves.

use std::collections::BTreeMap;

use dragonflyrill_catalogue::Name;
use dragonflyrill_delivery::dedup;
use dragonflyrill_protocol::{HostId, HostRef};

fn peers(n: usize) -> Vec<HostRef> {
    let host = |i| HostRef {
        id: HostId(Name::try_from(format!("h{i}")).expect("a name")),
        incarnation: 1,
    };
    (0..n).map(host).collect()
}

#[test]
fn the_home_does_not_depend_on_the_order_of_peers() {
    let peers = peers(7);
    let reversed: Vec<_> = peers.iter().rev().cloned().collect();
    for i in 0..100 {
        let key = format!("w/{i}");
        assert_eq!(dedup::home(&key, &peers), dedup::home(&key, &reversed));
    }
    assert_eq!(dedup::home("w/1", []), None);
}

#[test]
fn only_the_keys_of_a_peer_that_left_move() {
    let peers = peers(7);
    let (left, rest) = peers.split_last().expect("a peer");
    for i in 0..1000 {
        let key = format!("w/{i}");
        let before = dedup::home(&key, &peers);
        if before != Some(left) {
            assert_eq!(dedup::home(&key, rest), before);
        }
    }
}

#[test]
fn keys_are_spread_over_the_peers() {
    let peers = peers(7);
    let mut keys: BTreeMap<&HostRef, u32> = BTreeMap::new();
    for i in 0..7000 {
        let home = dedup::home(&format!("w/{i}"), &peers).expect("a home");
        *keys.entry(home).or_default() += 1;
    }
    assert_eq!(keys.len(), 7);
    assert!(keys.values().all(|n| (800..1200).contains(n)), "{keys:?}");
}
