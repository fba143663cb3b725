//! The state machine of one group.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire::{EngineState, Order};

use super::{
    GroupConfig, GroupSpec, GroupStatus,
    budget::LoadLimiter,
    decide::Snapshot,
    member::{Change, Member, Observation, SessionReport},
};
use crate::lease::Fence;

/// Identifies a call to an engine within one [`Group`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a call to an engine returned no state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The call wasn't sent, and won't be.
    NotSent,
    /// The engine rejected the order because its fencing number is too low.
    StaleFence,
    /// The call has no answer. An order may have taken effect, or may still do so.
    Unknown,
}

/// An action for the driver to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the engine's state, and report the result to [`Group::handle_answer`].
    ReadState {
        /// Identifies the call; passed back with the result.
        call: CallId,
        /// The endpoint to read from.
        endpoint: EndpointId,
    },
    /// Check the lease, send the order once, and report the result to [`Group::handle_answer`].
    Order {
        /// Identifies the call; passed back with the result.
        call: CallId,
        /// The endpoint to send the order to.
        endpoint: EndpointId,
        /// The order to send.
        order: Order,
    },
    /// Send the endpoint no new work until [`Action::Undrain`]. In the routers, the drain also ends
    /// when the lease expires.
    Drain(EndpointId),
    /// The endpoint may receive new work again, as far as the group is concerned.
    Undrain(EndpointId),
    /// An engine has seen this fence, which is higher than the fence of the lease: see
    /// [`Leases::raise_fence`](crate::lease::Leases::raise_fence).
    RaiseFence(Fence),
}

/// Sends orders to the endpoints of one group. Acts only while the lease is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    pub(super) cfg: GroupConfig,
    pub(super) spec: GroupSpec,
    pub(super) members: BTreeMap<EndpointId, Member>,
    pub(super) fence: Option<Fence>,
    /// The highest fence that any engine has seen.
    pub(super) max_seen_fence: u64,
    pub(super) load_limiter: LoadLimiter,
    pub(super) last_call: u64,
    /// Whether new information arrived on which the next tick may decide.
    pub(super) tick_needed: bool,
}

impl Group {
    /// Creates a group in which the states of all endpoints are unknown.
    pub fn new(cfg: GroupConfig, spec: GroupSpec) -> Self {
        let mut group = Self {
            cfg,
            spec,
            members: BTreeMap::new(),
            fence: None,
            max_seen_fence: 0,
            load_limiter: LoadLimiter::new(Duration::ZERO),
            last_call: 0,
            tick_needed: false,
        };
        group.sync_members(Duration::ZERO);
        group
    }

    /// Returns the declared state.
    pub fn spec(&self) -> &GroupSpec {
        &self.spec
    }

    /// Replaces the declared state and ends all changes in progress. The states that their orders
    /// bring about are read back.
    pub fn set_spec(&mut self, now: Duration, spec: GroupSpec, actions: &mut Vec<Action>) {
        for (id, member) in &mut self.members {
            end_change(id, member, actions);
        }
        self.spec = spec;
        let trusted_from = now + self.cfg.max_flight_time;
        self.sync_members(trusted_from);
    }

    /// Handles that this host acquired the lease, or continues to hold it under another fence.
    pub fn lease_held(&mut self, now: Duration, fence: Fence, actions: &mut Vec<Action>) {
        self.lease_lost(actions);
        self.fence = Some(fence);
        // The previous holder may have sent an order just before its term ended.
        let trusted_from = now + self.cfg.max_flight_time;
        self.load_limiter = LoadLimiter::new(trusted_from);
        for member in self.members.values_mut() {
            member.trusted_from = trusted_from;
            member.next_read_at = trusted_from;
        }
    }

    /// Handles that this host no longer holds the lease.
    pub fn lease_lost(&mut self, actions: &mut Vec<Action>) {
        self.fence = None;
        for (id, member) in &mut self.members {
            end_change(id, member, actions);
            member.call = None;
            member.observation = None;
        }
    }

    /// Sets whether membership or routing considers the endpoint alive.
    pub fn set_alive(&mut self, now: Duration, endpoint: &EndpointId, alive: bool) {
        if let Some(member) = self.members.get_mut(endpoint) {
            self.tick_needed |= member.alive != alive;
            member.set_alive(now, alive);
        }
    }

    /// Sets whether the endpoint is shutting down, by itself or on an operator's request.
    pub fn set_shutting_down(&mut self, endpoint: &EndpointId, shutting_down: bool) {
        if let Some(member) = self.members.get_mut(endpoint) {
            self.tick_needed |= member.shutting_down != shutting_down;
            member.shutting_down = shutting_down;
        }
    }

    /// Sets the number of requests whose KV cache the endpoint held at the time `as_of`, as
    /// reported.
    pub fn set_session_count(&mut self, endpoint: &EndpointId, count: u32, as_of: Duration) {
        if let Some(member) = self.members.get_mut(endpoint) {
            member.sessions = Some(SessionReport { count, as_of });
        }
    }

    /// Applies the result of a call. A result that arrives after the call timed out, or a second
    /// time, is ignored. [`Group::next_tick`] returns whether a tick is needed; several results may
    /// share one tick.
    pub fn handle_answer(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        id: CallId,
        result: Result<EngineState, CallError>,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        let Some(call) = member.call.take_if(|call| call.id == id) else {
            return;
        };
        match result {
            Ok(state) => {
                if call.is_order {
                    member.trusted_from = call.sent_at;
                }
                self.max_seen_fence = self.max_seen_fence.max(state.fence);
                if member.is_foreign_load(&state) {
                    // An earlier holder ordered this load. It uses the weight store too.
                    let layers = state.layers.range().len() as u32;
                    self.load_limiter.charge(now, layers, self.spec.budget());
                }
                let known = member
                    .observation
                    .as_ref()
                    .is_some_and(|observation| observation.state == state);
                let ordered = matches!(member.change, Change::Ordered { .. });
                self.tick_needed |= call.is_order || ordered || !known;
                member.observation = Some(Observation {
                    state,
                    requested_at: call.sent_at,
                });
                member.next_read_at = now + self.cfg.read_interval;
            }
            Err(CallError::NotSent | CallError::StaleFence) if call.is_order => {
                self.tick_needed = true;
                // The state has to be read again before the next attempt.
                member.trusted_from = now;
                member.next_read_at = now;
                end_change(endpoint, member, actions);
            }
            Err(_) => {
                let next_read_at = now + self.cfg.read_interval;
                member.next_read_at = next_read_at.max(member.trusted_from);
            }
        }
    }

    /// Returns when to call [`Group::tick`] next; `None` if the lease isn't held.
    pub fn next_tick(&self, now: Duration) -> Option<Duration> {
        self.fence?;
        if self.tick_needed {
            return Some(now);
        }
        let reads = self.members.values().filter(|m| m.alive);
        let reads = reads.map(|m| match &m.call {
            Some(call) => call.sent_at + self.cfg.max_flight_time,
            None => m.next_read_at,
        });
        let load_limiter = Some(self.load_limiter.next_load_at()).filter(|at| *at > now);
        reads.chain(load_limiter).min()
    }

    /// Sends the next orders and the reads that are due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.fence.is_none() {
            return;
        }
        self.tick_needed = false;
        self.time_out_calls(now);
        self.finish_changes(now, actions);
        if self.is_fence_usable(actions) {
            self.order_drained(now, actions);
            self.start_changes(now, actions);
        }
        self.send_due_reads(now, actions);
    }

    /// Returns the status for an operator.
    pub fn status(&self, now: Duration) -> GroupStatus {
        self.snapshot(now).status()
    }

    pub(super) fn snapshot(&self, now: Duration) -> Snapshot<'_> {
        Snapshot::new(now, &self.cfg, &self.spec, &self.members)
    }

    fn sync_members(&mut self, trusted_from: Duration) {
        let declared = self.spec.endpoints();
        self.members.retain(|id, _| declared.contains(id));
        for id in declared {
            let new = || Member::new(trusted_from);
            self.members.entry(id.clone()).or_insert_with(new);
        }
    }
}

/// Ends the change in progress on an endpoint, if there is one.
pub(super) fn end_change(id: &EndpointId, member: &mut Member, actions: &mut Vec<Action>) {
    if std::mem::replace(&mut member.change, Change::None) != Change::None {
        actions.push(Action::Undrain(id.clone()));
    }
}
