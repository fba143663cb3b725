//! Shard maps that arrive before their senders are in the view.
//!
//! The limits drop a map of a host that they don't know. A host sends its map once to a new host,
//! so a dropped map would be missing for as long as the platform is unavailable. Such a map is
//! stored here until the view contains its sender.

use std::collections::BTreeMap;

use dragonflyrill_protocol::{HostId, HostRef, rights};

/// How many hosts may have a stored map. When the bound is reached, all stored maps are dropped.
const MAX_HOSTS: usize = 64;

/// The newest map of each host that is not in the view yet.
#[derive(Debug, Default)]
pub struct PendingMaps {
    maps: BTreeMap<HostId, (HostRef, rights::Message)>,
}

impl PendingMaps {
    /// Stores `message` of `from` if it is a map; returns any other message.
    pub fn store(&mut self, from: &HostRef, message: rights::Message) -> Option<rights::Message> {
        if !matches!(message, rights::Message::Map { .. }) {
            return Some(message);
        }
        if self.maps.len() >= MAX_HOSTS {
            self.maps.clear();
        }
        self.maps.insert(from.id.clone(), (from.clone(), message));
        None
    }

    /// Removes and returns the maps of the hosts in `view`. A stored map of another incarnation of
    /// such a host is dropped.
    pub fn remove_known(&mut self, view: &[HostRef]) -> Vec<(HostRef, rights::Message)> {
        let stored = view.iter().filter_map(|host| self.maps.remove(&host.id));
        stored.filter(|(from, _)| view.contains(from)).collect()
    }
}
