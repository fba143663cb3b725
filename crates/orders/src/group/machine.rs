//! The state machine of one group.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire::{EngineState, Order};

use super::{
    GroupConfig, GroupSpec, Plan,
    budget::Bucket,
    decide::Picture,
    member::{Change, Member, Sessions, View},
};
use crate::lease::Fence;

/// Identifies a call to an engine within one [`Group`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a call to an engine has no state for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// It did not leave this host, and never will.
    NotSent,
    /// The engine refused the order's fencing number as old.
    StaleFence,
    /// No answer: an order may have taken effect, or may still.
    Unknown,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask the engine what it is, and report to [`Group::answer`].
    ReadState {
        /// To be given back with the answer.
        call: CallId,
        /// Whom to ask.
        endpoint: EndpointId,
    },
    /// Check the lease, send the order once, and report to [`Group::answer`].
    Order {
        /// To be given back with the answer.
        call: CallId,
        /// Whom to order.
        endpoint: EndpointId,
        /// What.
        order: Order,
    },
    /// Give the endpoint no new work until [`Action::Undrain`]. Routers let the mark lapse with
    /// the lease.
    Drain(EndpointId),
    /// The endpoint may get work again, as far as orders go.
    Undrain(EndpointId),
    /// An engine has seen this fence, which is higher than the lease's: see
    /// [`Leases::raise_fence`](crate::lease::Leases::raise_fence).
    RaiseFence(Fence),
}

/// The orders to the endpoints of one group. Acts only while the lease is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    pub(super) cfg: GroupConfig,
    pub(super) spec: GroupSpec,
    pub(super) members: BTreeMap<EndpointId, Member>,
    pub(super) fence: Option<Fence>,
    /// The highest fence any engine has seen.
    pub(super) seen_fence: u64,
    pub(super) bucket: Bucket,
    pub(super) last_call: u64,
    /// Whether an answer brought something new to decide on.
    pub(super) has_news: bool,
}

impl Group {
    /// A group whose endpoints' states are not known yet.
    pub fn new(cfg: GroupConfig, spec: GroupSpec) -> Self {
        let mut group = Self {
            cfg,
            spec,
            members: BTreeMap::new(),
            fence: None,
            seen_fence: 0,
            bucket: Bucket::new(Duration::ZERO),
            last_call: 0,
            has_news: false,
        };
        group.take_members(Duration::ZERO);
        group
    }

    /// The declared state.
    pub fn spec(&self) -> &GroupSpec {
        &self.spec
    }

    /// The declared state has changed. What is under way is dropped or read back.
    pub fn set_spec(&mut self, now: Duration, spec: GroupSpec, actions: &mut Vec<Action>) {
        for (id, member) in &mut self.members {
            end_change(id, member, actions);
        }
        self.spec = spec;
        let trust_after = now + self.cfg.flight;
        self.take_members(trust_after);
    }

    /// The lease is held, or goes on under another fence.
    pub fn lease_held(&mut self, now: Duration, fence: Fence, actions: &mut Vec<Action>) {
        self.lease_lost(actions);
        self.fence = Some(fence);
        // The last holder may have sent an order just before its term ended.
        let trust_after = now + self.cfg.flight;
        self.bucket = Bucket::new(trust_after);
        for member in self.members.values_mut() {
            member.trust_after = trust_after;
            member.next_read = trust_after;
        }
    }

    /// The lease is no longer held.
    pub fn lease_lost(&mut self, actions: &mut Vec<Action>) {
        self.fence = None;
        for (id, member) in &mut self.members {
            end_change(id, member, actions);
            member.call = None;
            member.view = None;
        }
    }

    /// Whether membership or routing count the endpoint as alive.
    pub fn alive(&mut self, now: Duration, endpoint: &EndpointId, alive: bool) {
        if let Some(member) = self.members.get_mut(endpoint) {
            self.has_news |= member.alive != alive;
            member.set_alive(now, alive);
        }
    }

    /// Whether the endpoint is on its way out, by an operator's word or its own.
    pub fn leaving(&mut self, endpoint: &EndpointId, leaving: bool) {
        if let Some(member) = self.members.get_mut(endpoint) {
            self.has_news |= member.leaving != leaving;
            member.leaving = leaving;
        }
    }

    /// The requests whose KV cache the endpoint held at `at`, by the report.
    pub fn sessions(&mut self, endpoint: &EndpointId, count: u32, at: Duration) {
        if let Some(member) = self.members.get_mut(endpoint) {
            member.sessions = Some(Sessions { count, at });
        }
    }

    /// Takes in the answer to a call. One that was given up, or answered before, is ignored.
    /// [`Group::next_tick`] tells whether it needs a tick; many answers may share one.
    pub fn answer(
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
                    member.trust_after = call.sent;
                }
                self.seen_fence = self.seen_fence.max(state.fence);
                if member.is_loading_unasked(&state) {
                    // By an earlier holder's order: it uses the weight store too.
                    let layers = state.layers.range().len() as u32;
                    self.bucket.spend(now, layers, self.spec.budget());
                }
                let known = member.view.as_ref().is_some_and(|view| view.state == state);
                let ordered = matches!(member.change, Change::Ordered { .. });
                self.has_news |= call.is_order || ordered || !known;
                member.view = Some(View {
                    state,
                    asked: call.sent,
                });
                member.next_read = now + self.cfg.read_every;
            }
            Err(CallError::NotSent | CallError::StaleFence) if call.is_order => {
                self.has_news = true;
                // To be read again before the next try.
                member.trust_after = now;
                member.next_read = now;
                end_change(endpoint, member, actions);
            }
            Err(_) => {
                let next_read = now + self.cfg.read_every;
                member.next_read = next_read.max(member.trust_after);
            }
        }
    }

    /// When to call [`Group::tick`] next; `None` without the lease.
    pub fn next_tick(&self, now: Duration) -> Option<Duration> {
        self.fence?;
        if self.has_news {
            return Some(now);
        }
        let reads = self.members.values().filter(|m| m.alive);
        let reads = reads.map(|m| match &m.call {
            Some(call) => call.sent + self.cfg.flight,
            None => m.next_read,
        });
        let bucket = Some(self.bucket.opens_at()).filter(|at| *at > now);
        reads.chain(bucket).min()
    }

    /// Reads what is due and gives the next orders.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.fence.is_none() {
            return;
        }
        self.has_news = false;
        self.give_up_calls(now);
        self.finish_changes(now, actions);
        if self.is_fence_usable(actions) {
            self.order_drained(now, actions);
            self.begin_changes(now, actions);
        }
        self.read_due(now, actions);
    }

    /// The state for an operator to read.
    pub fn plan(&self, now: Duration) -> Plan {
        self.picture(now).plan()
    }

    pub(super) fn picture(&self, now: Duration) -> Picture<'_> {
        Picture::new(now, &self.cfg, &self.spec, &self.members)
    }

    fn take_members(&mut self, trust_after: Duration) {
        let declared = self.spec.endpoints();
        self.members.retain(|id, _| declared.contains(id));
        for id in declared {
            let new = || Member::new(trust_after);
            self.members.entry(id.clone()).or_insert_with(new);
        }
    }
}

/// Forgets what was being done to an endpoint.
pub(super) fn end_change(id: &EndpointId, member: &mut Member, actions: &mut Vec<Action>) {
    if std::mem::replace(&mut member.change, Change::None) != Change::None {
        actions.push(Action::Undrain(id.clone()));
    }
}
