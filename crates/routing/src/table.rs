//! The endpoints known to a host.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::{DataCentre, EndpointId, TargetName};
use dragonflyrill_engines::wire;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3;

use crate::{
    affinity::Member,
    endpoint_stats::EndpointStats,
    index::{GroupId, GroupKey, Index},
    links::{Site, Sites},
};

/// The kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether an endpoint is ejected because of failed calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Health {
    /// The endpoint is not ejected.
    #[default]
    Up,
    /// Too many recent calls failed.
    Ejected,
}

/// One endpoint, as listed by the platform, with this host's state of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The stable id.
    pub id: EndpointId,
    /// The address on which it accepts calls.
    pub addr: SocketAddr,
    /// The kind of endpoint.
    pub role: Role,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// The model or service that it runs.
    pub target: TargetName,
    /// The layers that it runs; empty for a service.
    pub layers: wire::Layers,
    /// The kind of accelerator; empty for a service.
    pub accelerator: String,
    /// Nominal microseconds for one layer of one token; 0 for a service.
    pub layer_us: f64,
    /// Whether it is draining and accepts no new work. In the table this combines all signs; in the
    /// list it is the list's own.
    pub draining: bool,
    /// Number of calls of this host that it has not answered.
    pub in_flight: u32,
    /// Whether it is ejected.
    pub health: Health,
}

impl Endpoint {
    /// Whether new work may be sent to the endpoint.
    pub fn accepts_new_work(&self) -> bool {
        !self.draining && self.health == Health::Up
    }
}

/// The signs that an endpoint is draining. Any one of them suffices.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DrainSigns {
    /// The list says that the endpoint is draining.
    pub(crate) listed: bool,
    /// An operator declared that the endpoint is to leave.
    pub(crate) intent: bool,
    /// When the endpoint itself last refused work because it is draining.
    pub(crate) reported_at: Option<Duration>,
    /// A host of the data centre reported that the endpoint is draining.
    pub(crate) reported_by_host: bool,
}

impl DrainSigns {
    fn any(&self) -> bool {
        self.listed || self.intent || self.reported_at.is_some() || self.reported_by_host
    }
}

/// An endpoint with all state that this host has of it.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) endpoint: Endpoint,
    pub(crate) stats: EndpointStats,
    pub(crate) signs: DrainSigns,
    pub(crate) group: GroupId,
    pub(crate) site: Site,
    pub(crate) member: Member,
}

/// All known endpoints, indexed by id.
#[derive(Debug, Clone, Default)]
pub struct EndpointTable {
    /// Free slots are `None`. Slots are boxed so that a free one is small.
    slots: Vec<Option<Box<Slot>>>,
    free: Vec<u32>,
    ordered: BTreeMap<EndpointId, u32>,
    by_id: FxHashMap<EndpointId, u32>,
    /// Slots of the endpoints added since the last [`EndpointTable::take_added`].
    added: Vec<u32>,
    pub(crate) sites: Sites,
    pub(crate) index: Index,
}

impl EndpointTable {
    /// Adds an endpoint, or updates a known one with what the platform lists.
    ///
    /// This host's own measurements are kept unless the address or the role changed. A known
    /// endpoint that itself reported that it is draining stays so until the list has shown it as
    /// draining and then as serving again, until it reports a new incarnation, or until the notice
    /// expires.
    pub fn upsert(&mut self, listed: Endpoint) {
        let known = self.by_id.get(&listed.id).copied();
        match known {
            Some(at) if self.is_same_endpoint(at, &listed) => self.update_listed(at, listed),
            Some(at) => {
                let intent = self.slot(at).signs.intent;
                let id = listed.id.clone();
                self.remove(&id);
                self.insert(listed, intent);
            }
            None => self.insert(listed, false),
        }
    }

    /// Replaces the contents of the table with `listed`. Endpoints that are not listed are removed.
    pub fn replace_all(&mut self, listed: Vec<Endpoint>) {
        let mut missing: FxHashMap<EndpointId, u32> = self.by_id.clone();
        for endpoint in listed {
            missing.remove(&endpoint.id);
            self.upsert(endpoint);
        }
        for id in missing.keys() {
            self.remove(id);
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &EndpointId) {
        let Some(at) = self.by_id.remove(id) else {
            return;
        };
        self.ordered.remove(id);
        self.added.retain(|a| *a != at);
        self.remove_from_group(at);
        self.slots[at as usize] = None;
        self.free.push(at);
    }

    /// Sets whether the hosts of the data centre report an endpoint as draining.
    ///
    /// An unknown endpoint is ignored. The sign is removed with the endpoint, and when its address
    /// or role changes.
    pub fn set_draining(&mut self, id: &EndpointId, draining: bool) {
        let Some(at) = self.find(id) else {
            return;
        };
        if self.slot(at).signs.reported_by_host != draining {
            self.update_signs(at, |signs| signs.reported_by_host = draining);
        }
    }

    /// Returns the endpoint `id`.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.find(id).map(|at| &self.slot(at).endpoint)
    }

    /// Returns all endpoints in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.ordered.values().map(|at| &self.slot(*at).endpoint)
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(crate) fn find(&self, id: &EndpointId) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Returns the slot at index `at`, which must be in use.
    pub(crate) fn slot(&self, at: u32) -> &Slot {
        self.slots[at as usize]
            .as_ref()
            .expect("the slot is in use")
    }

    /// Returns the slot at index `at`, which must be in use.
    pub(crate) fn slot_mut(&mut self, at: u32) -> &mut Slot {
        self.slots[at as usize]
            .as_mut()
            .expect("the slot is in use")
    }

    /// Returns and clears the slots of the endpoints added since the last call.
    pub(crate) fn take_added(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.added)
    }

    /// Whether endpoints were added since the last [`EndpointTable::take_added`].
    pub(crate) fn has_added(&self) -> bool {
        !self.added.is_empty()
    }

    /// Returns the slot indices of all endpoints, in the order of their ids.
    pub(crate) fn slot_indices(&self) -> Vec<u32> {
        self.ordered.values().copied().collect()
    }

    /// Changes the drain signs of an endpoint and updates whether it gets new work.
    pub(crate) fn update_signs(&mut self, at: u32, change: impl FnOnce(&mut DrainSigns)) {
        let slot = self.slot_mut(at);
        change(&mut slot.signs);
        slot.endpoint.draining = slot.signs.any();
        self.update_membership(at);
    }

    /// Discards the measurements of an earlier incarnation. The count of chains through the
    /// endpoint is kept.
    pub(crate) fn reset_incarnation(&mut self, at: u32, incarnation: u64) {
        let slot = self.slot_mut(at);
        let sessions = slot.stats.sessions;
        slot.stats = EndpointStats {
            incarnation: Some(incarnation),
            sessions,
            ..EndpointStats::default()
        };
        slot.endpoint.health = Health::Up;
        let group = slot.group;
        self.index.get_mut(group).ejected.retain(|slot| *slot != at);
        self.update_signs(at, |signs| signs.reported_at = None);
    }

    fn is_same_endpoint(&self, at: u32, listed: &Endpoint) -> bool {
        let known = &self.slot(at).endpoint;
        known.addr == listed.addr && known.role == listed.role
    }

    fn update_listed(&mut self, at: u32, listed: Endpoint) {
        let slot = self.slot_mut(at);
        if slot.matches_listing(&listed) {
            slot.endpoint.layer_us = listed.layer_us;
            slot.endpoint.accelerator = listed.accelerator;
            return;
        }
        self.remove_from_group(at);
        let group = self.index.intern(group_key(&listed));
        let site = self.sites.intern(&listed.data_centre);
        let slot = self.slot_mut(at);
        if slot.signs.listed && !listed.draining {
            slot.signs.reported_at = None;
        }
        slot.signs.listed = listed.draining;
        let (in_flight, health) = (slot.endpoint.in_flight, slot.endpoint.health);
        slot.endpoint = Endpoint {
            in_flight,
            health,
            draining: slot.signs.any(),
            ..listed
        };
        (slot.group, slot.site) = (group, site);
        self.add_load_to_group(at);
        self.update_membership(at);
    }

    fn insert(&mut self, listed: Endpoint, intent: bool) {
        let at = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() as u32 - 1
        });
        let signs = DrainSigns {
            listed: listed.draining,
            intent,
            reported_at: None,
            reported_by_host: false,
        };
        let hash = xxh3::xxh3_64(listed.id.as_str().as_bytes());
        self.by_id.insert(listed.id.clone(), at);
        self.ordered.insert(listed.id.clone(), at);
        let slot = Slot {
            group: self.index.intern(group_key(&listed)),
            site: self.sites.intern(&listed.data_centre),
            member: Member { hash, slot: at },
            stats: EndpointStats::default(),
            signs,
            endpoint: Endpoint {
                in_flight: 0,
                health: Health::Up,
                draining: signs.any(),
                ..listed
            },
        };
        self.slots[at as usize] = Some(Box::new(slot));
        self.added.push(at);
        self.update_membership(at);
    }

    /// Adds an endpoint to the members of its group that accept new work, or removes it from them
    /// if it is draining.
    fn update_membership(&mut self, at: u32) {
        let slot = self.slot(at);
        let (group, site, member) = (slot.group, slot.site, slot.member);
        let ejected = slot.stats.breaker.is_ejected();
        match slot.endpoint.draining {
            true => self.index.remove_member(group, site, member),
            false => {
                self.index.add_member(group, site, member);
                let list = &mut self.index.get_mut(group).ejected;
                if ejected && !list.contains(&at) {
                    list.push(at);
                }
            }
        }
    }

    /// Removes an endpoint and its load from its group.
    fn remove_from_group(&mut self, at: u32) {
        let slot = self.slot(at);
        let (group, site, member) = (slot.group, slot.site, slot.member);
        let own = slot.own_load();
        self.index.remove_member(group, site, member);
        self.index.get_mut(group).change_own_load(site, own, 0);
    }

    /// Adds an endpoint's load to its group.
    fn add_load_to_group(&mut self, at: u32) {
        let slot = self.slot(at);
        let (group, site, own) = (slot.group, slot.site, slot.own_load());
        self.index.get_mut(group).change_own_load(site, 0, own);
    }
}

impl Slot {
    /// Whether `listed` equals the last listed state in everything that choices depend on, apart
    /// from the speed.
    fn matches_listing(&self, listed: &Endpoint) -> bool {
        let known = &self.endpoint;
        known.target == listed.target
            && known.layers == listed.layers
            && known.data_centre == listed.data_centre
            && self.signs.listed == listed.draining
    }

    /// Returns this host's load on the endpoint, as counted in its group.
    pub(crate) fn own_load(&self) -> u32 {
        self.stats.own_load(self.endpoint.in_flight) as u32
    }
}

fn group_key(endpoint: &Endpoint) -> GroupKey {
    GroupKey {
        role: endpoint.role,
        target: endpoint.target.clone(),
        layers: endpoint.layers,
    }
}
