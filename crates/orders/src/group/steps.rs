//! The steps of a group's tick, in order of execution.

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire::{EngineState, Order};

use super::{
    Action, CallId, Group,
    decide::Reassignment,
    machine::end_change,
    member::{Call, Change, Member},
};
use crate::lease::Fence;

impl Group {
    /// Whether no engine has seen a higher fence than this host's. Otherwise requests a higher
    /// fence: the engine rejects this host's orders, or another host holds the lease.
    pub(super) fn is_fence_usable(&self, actions: &mut Vec<Action>) -> bool {
        let usable = self
            .fence
            .is_some_and(|fence| self.max_seen_fence <= fence.0);
        if !usable {
            actions.push(Action::RaiseFence(Fence(self.max_seen_fence)));
        }
        usable
    }

    pub(super) fn time_out_calls(&mut self, now: Duration) {
        let flight = self.cfg.max_flight_time;
        for member in self.members.values_mut() {
            let timed_out = member.call.take_if(|call| call.sent_at + flight <= now);
            if timed_out.is_some() {
                member.next_read_at = now.max(member.trusted_from);
            }
        }
    }

    /// Ends the changes that are complete, failed, or no longer useful.
    pub(super) fn finish_changes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for (id, member) in &mut self.members {
            let ended = match &member.change {
                Change::None => false,
                Change::Draining { .. } => !member.alive || member.shutting_down,
                Change::Ordered { order, .. } => {
                    let state = member.state(now, &self.cfg);
                    let in_progress = |s: &EngineState| s.loading && matches_order(s, order);
                    let completed = state.is_some_and(|state| !in_progress(state));
                    !member.alive || completed || member.is_unresponsive(now, &self.cfg)
                }
            };
            if ended {
                end_change(id, member, actions);
            }
        }
    }

    /// Sends orders to the endpoints whose drain is complete, and ends the drains of endpoints that
    /// their ranges now need.
    pub(super) fn order_drained(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let drained: Vec<_> = self
            .members
            .iter()
            .filter_map(|(id, m)| Some((id.clone(), self.drained_target(now, m)?)))
            .collect();
        for (id, target_range) in drained {
            let member = &self.members[&id];
            if !self.snapshot(now).can_be_reassigned(member) {
                let member = self.members.get_mut(&id).expect("it is a member");
                end_change(&id, member, actions);
            } else if member.call.is_none() {
                self.send_order(now, &id, target_range, actions);
            }
        }
    }

    /// Returns the range to order, once the endpoint has no sessions or its drain time has passed.
    fn drained_target(&self, now: Duration, member: &Member) -> Option<usize> {
        let Change::Draining {
            since,
            target_range,
        } = member.change
        else {
            return None;
        };
        let settled = since + self.cfg.drain_settle_time;
        let reported = member.sessions.filter(|s| s.as_of >= settled);
        let empty = reported.is_some_and(|sessions| sessions.count == 0);
        // Other endpoints serve the old range of this endpoint, but none serves its new range.
        let urgent = now >= settled && self.snapshot(now).is_unserved(target_range);
        let over = urgent || now >= since + self.cfg.max_drain_time;
        let known = member.state(now, &self.cfg).is_some();
        (known && (empty || over)).then_some(target_range)
    }

    pub(super) fn start_changes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        loop {
            let loading = self
                .members
                .values()
                .filter(|m| m.is_loading(now, &self.cfg));
            if loading.count() >= self.spec.budget().max_concurrent_loads as usize {
                return;
            }
            let Some(Reassignment {
                endpoint,
                target_range,
                drain,
            }) = self.snapshot(now).next_reassignment()
            else {
                return;
            };
            if drain {
                let member = self.members.get_mut(&endpoint).expect("it is a member");
                member.change = Change::Draining {
                    since: now,
                    target_range,
                };
                actions.push(Action::Drain(endpoint));
            } else if !self.send_order(now, &endpoint, target_range, actions) {
                return;
            }
        }
    }

    /// Orders an endpoint to hold a range if the rate limit of the weight store allows it now, and
    /// returns whether it does.
    fn send_order(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        target_range: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(fence) = self.fence.filter(|_| self.load_limiter.allows_load(now)) else {
            return false;
        };
        let order = Order {
            fence: fence.0,
            model: self.spec.id().model.as_str().to_owned(),
            version: self.spec.version().to_owned(),
            layers: self.spec.ranges()[target_range].layers,
        };
        let member = self.members.get_mut(endpoint).expect("it is a member");
        let layers = member.layers_to_load(&self.spec, order.layers);
        self.load_limiter.charge(now, layers, self.spec.budget());
        self.last_call += 1;
        let call = CallId(self.last_call);
        member.call = Some(Call {
            id: call,
            sent_at: now,
            is_order: true,
        });
        member.trusted_from = now + self.cfg.max_flight_time;
        let endpoint = endpoint.clone();
        log::info!(
            "orders: {endpoint}: ordered to hold {} {}",
            order.version,
            order.layers
        );
        member.change = Change::Ordered {
            order: order.clone(),
            target_range,
        };
        actions.push(Action::Order {
            call,
            endpoint,
            order,
        });
        true
    }

    pub(super) fn send_due_reads(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for (id, member) in &mut self.members {
            if !member.alive || member.call.is_some() || now < member.next_read_at {
                continue;
            }
            self.last_call += 1;
            let call = CallId(self.last_call);
            member.call = Some(Call {
                id: call,
                sent_at: now,
                is_order: false,
            });
            actions.push(Action::ReadState {
                call,
                endpoint: id.clone(),
            });
        }
    }
}

/// Whether the engine's state is the one that the order requested.
fn matches_order(state: &EngineState, order: &Order) -> bool {
    state.model == order.model && state.version == order.version && state.layers == order.layers
}
