//! Index of endpoints by what they run: the groups from which a choice is made.

use std::collections::BTreeMap;

use dragonflyrill_catalogue::TargetName;
use dragonflyrill_engines::wire;
use rustc_hash::FxHashMap;

use crate::{affinity::Member, links::Site, table::Role};

/// The properties that all members of a group share.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct GroupKey {
    pub(crate) role: Role,
    pub(crate) target: TargetName,
    pub(crate) layers: wire::Layers,
}

/// Position of a group in the index. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct GroupId(u32);

/// Endpoints that run the same layers of the same target.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    /// The layers that each member runs; empty for a service.
    pub(crate) layers: wire::Layers,
    /// Members that accept new work, ejected ones included, by data centre. No list is empty, and
    /// each list is sorted.
    pub(crate) sites: BTreeMap<Site, Vec<Member>>,
    /// Number of members in `sites`.
    pub(crate) len: usize,
    /// Slots of the ejected members, in the order of their ejection.
    pub(crate) ejected: Vec<u32>,
    /// This host's load on all endpoints of the group, draining ones included.
    own_load: u32,
    /// This host's load on the group, by data centre.
    own_load_by_site: BTreeMap<Site, u32>,
    /// Mean load of the members that comes from elsewhere, according to their reports.
    pub(crate) mean_foreign_load: f64,
    /// Mean slowdown factor of the members; 0 before the first answer.
    pub(crate) slowdown: f64,
    /// Whether work is sent to other data centres although this one has members.
    pub(crate) spilling: bool,
}

impl Group {
    fn new(layers: wire::Layers) -> Self {
        Self {
            layers,
            sites: BTreeMap::new(),
            len: 0,
            ejected: Vec::new(),
            own_load: 0,
            own_load_by_site: BTreeMap::new(),
            mean_foreign_load: 0.0,
            slowdown: 0.0,
            spilling: false,
        }
    }

    /// Changes this host's load at `site` from `before` to `after`.
    pub(crate) fn change_own_load(&mut self, site: Site, before: u32, after: u32) {
        self.own_load = (self.own_load + after).saturating_sub(before);
        let here = self.own_load_by_site.entry(site).or_default();
        *here = (*here + after).saturating_sub(before);
    }

    /// This host's load on the group.
    pub(crate) fn own_load(&self) -> u32 {
        self.own_load
    }

    /// The part of [`Group::own_load`] that is not at `home`.
    pub(crate) fn own_load_outside(&self, home: Site) -> u32 {
        self.own_load - self.own_load_by_site.get(&home).copied().unwrap_or(0)
    }

    /// Returns the largest number of members that may be ejected: the fraction `share`, but at
    /// least one in a group of two or more.
    pub(crate) fn max_ejected(&self, share: f64) -> usize {
        match self.len {
            0 | 1 => 0,
            n => ((n as f64 * share) as usize).max(1),
        }
    }
}

/// All groups, by key and by target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Index {
    groups: Vec<Group>,
    ids: FxHashMap<GroupKey, GroupId>,
    engines: FxHashMap<TargetName, Vec<GroupId>>,
    services: FxHashMap<TargetName, Vec<GroupId>>,
}

impl Index {
    /// Returns the group `key`, creating it if necessary.
    pub(crate) fn intern(&mut self, key: GroupKey) -> GroupId {
        if let Some(id) = self.ids.get(&key) {
            return *id;
        }
        let id = GroupId(self.groups.len() as u32);
        self.groups.push(Group::new(key.layers));
        let by_target = match key.role {
            Role::Engine => &mut self.engines,
            Role::Service => &mut self.services,
        };
        by_target.entry(key.target.clone()).or_default().push(id);
        self.ids.insert(key, id);
        id
    }

    /// Returns the groups of a target, empty ones included.
    pub(crate) fn groups_of(&self, role: Role, target: &TargetName) -> &[GroupId] {
        let by_target = match role {
            Role::Engine => &self.engines,
            Role::Service => &self.services,
        };
        by_target.get(target).map_or(&[], Vec::as_slice)
    }

    /// Returns the group `id`.
    pub(crate) fn get(&self, id: GroupId) -> &Group {
        &self.groups[id.0 as usize]
    }

    pub(crate) fn get_mut(&mut self, id: GroupId) -> &mut Group {
        &mut self.groups[id.0 as usize]
    }

    /// Adds a member if it is not in the group yet.
    pub(crate) fn add_member(&mut self, id: GroupId, site: Site, member: Member) {
        let group = self.get_mut(id);
        let ring = group.sites.entry(site).or_default();
        if let Err(at) = ring.binary_search(&member) {
            ring.insert(at, member);
            group.len += 1;
        }
    }

    /// Removes a member if it is in the group.
    pub(crate) fn remove_member(&mut self, id: GroupId, site: Site, member: Member) {
        let group = self.get_mut(id);
        group.ejected.retain(|slot| *slot != member.slot);
        let Some(ring) = group.sites.get_mut(&site) else {
            return;
        };
        if let Ok(at) = ring.binary_search(&member) {
            ring.remove(at);
            group.len -= 1;
        }
        if ring.is_empty() {
            group.sites.remove(&site);
        }
    }
}
