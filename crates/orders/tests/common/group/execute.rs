//! Executes the actions of the groups, and checks the invariants of each order and drain.

use std::time::Duration;

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_engines::wire::{EngineState, Layers, Order};
use dragonflyrill_orders::group::{Action, CallError, CallId, Group};

use super::{Call, GroupSimulation, MODEL, Message};
use crate::common::{engine::Engine, ms};

impl GroupSimulation {
    pub(crate) fn now(&self) -> Duration {
        ms(self.time)
    }

    pub(crate) fn serving(&self, layers: Layers) -> u32 {
        let serves = |e: &&(EndpointId, Engine)| e.1.serves(self.now(), MODEL, layers);
        self.engines.iter().filter(serves).count() as u32
    }

    pub(crate) fn run_group(
        &mut self,
        holder: usize,
        step: impl FnOnce(&mut Group, &mut Vec<Action>),
    ) -> Result<(), String> {
        let mut actions = Vec::new();
        step(&mut self.groups[holder], &mut actions);
        for action in actions {
            self.execute(holder, action)?;
        }
        Ok(())
    }

    pub(crate) fn execute(&mut self, holder: usize, action: Action) -> Result<(), String> {
        match action {
            Action::ReadState { call, endpoint } => {
                self.send(holder, call, &endpoint, Message::Read);
                return self.serve_read();
            }
            Action::Order {
                call,
                endpoint,
                order,
            } if holder == self.holder => {
                self.check_order(&endpoint)?;
                self.send(holder, call, &endpoint, Message::Order(order));
            }
            Action::Order { call, endpoint, .. } => {
                // The check of the lease fails before the order is sent.
                let now = self.now();
                self.run_group(holder, |group, actions| {
                    group.handle_answer(now, &endpoint, call, Err(CallError::NotSent), actions);
                    group.tick(now, actions);
                })?;
            }
            Action::Drain(endpoint) if holder == self.holder => {
                let index = self.index(&endpoint);
                self.drained.push((holder, index));
                self.check_drain(index)?;
            }
            Action::Drain(_) => {}
            Action::Undrain(endpoint) => {
                let index = self.index(&endpoint);
                self.drained.retain(|drain| *drain != (holder, index));
                // The endpoint receives work again.
                let now = self.now();
                self.groups[holder].set_session_count(&endpoint, 1, now);
            }
            Action::RaiseFence(_) => {
                if holder == self.holder {
                    return Err("the holder's fence is too low".to_owned());
                }
            }
        }
        Ok(())
    }

    pub(crate) fn index(&self, endpoint: &EndpointId) -> usize {
        let mut engines = self.engines.iter();
        engines.position(|(id, _)| id == endpoint).unwrap()
    }

    pub(crate) fn send(
        &mut self,
        holder: usize,
        id: CallId,
        endpoint: &EndpointId,
        message: Message,
    ) {
        self.calls.push(Call {
            holder,
            id,
            endpoint: self.index(endpoint),
            message,
            sent_at: self.time,
            crashes_at_send: self.crashes,
        });
    }

    /// Checks that at most one order to an endpoint is in flight, from either host, so that no
    /// order can overtake another.
    fn check_order(&self, endpoint: &EndpointId) -> Result<(), String> {
        let index = self.index(endpoint);
        let order = |call: &&Call| matches!(call.message, Message::Order(_));
        let mut orders = self.calls.iter().filter(order);
        if !self.late_orders && orders.any(|call| call.endpoint == index) {
            return Err(format!("two orders to {endpoint} are in flight"));
        }
        Ok(())
    }

    /// Declares the other version.
    pub(crate) fn declare(&mut self) -> Result<(), String> {
        self.declarations_left -= 1;
        std::mem::swap(&mut self.spec, &mut self.next_spec);
        let (now, spec) = (self.now(), self.spec.clone());
        for holder in 0..self.groups.len() {
            let spec = spec.clone();
            self.run_group(holder, |group, actions| group.set_spec(now, spec, actions))?;
        }
        Ok(())
    }

    /// Checks that enough endpoints remain for new work in each range that the drained endpoint
    /// serves.
    pub(crate) fn check_drain(&self, index: usize) -> Result<(), String> {
        if self.late_orders {
            return Ok(());
        }
        for range in self.spec.ranges() {
            if !self.engines[index]
                .1
                .serves(self.now(), MODEL, range.layers)
            {
                continue;
            }
            let available = self.engines.iter().enumerate().filter(|(i, (_, engine))| {
                let available = !self.drained.contains(&(self.holder, *i));
                available && engine.serves(self.now(), MODEL, range.layers)
            });
            let available = available.count() as u32;
            if available < range.minimum {
                return Err(format!(
                    "a drain leaves {available} endpoints for layers {}",
                    range.layers
                ));
            }
        }
        Ok(())
    }

    pub(crate) fn deliver(
        &mut self,
        call: &Call,
    ) -> Result<Result<EngineState, CallError>, String> {
        let now = self.now();
        if !self.engines[call.endpoint].1.alive {
            return Ok(Err(CallError::NotSent));
        }
        if let Message::Order(order) = &call.message {
            if self.engines[call.endpoint].1.rejects(order) {
                return Ok(Err(CallError::StaleFence));
            }
            self.execute_order(call, order)?;
        }
        Ok(Ok(self.engines[call.endpoint].1.state(now)))
    }

    /// Executes an order on its engine, and checks that enough other endpoints serve the ranges
    /// that the engine served.
    pub(crate) fn execute_order(&mut self, call: &Call, order: &Order) -> Result<(), String> {
        let now = self.now();
        let before = self.engines[call.endpoint].1.clone();
        let changed = self.engines[call.endpoint].1.execute(now, order);
        if changed.is_none() || self.late_orders {
            return Ok(());
        }
        for range in self.spec.ranges() {
            let remaining = self.serving(range.layers) + self.crashes - call.crashes_at_send;
            if before.serves(now, MODEL, range.layers) && remaining < range.minimum {
                return Err(format!(
                    "an order leaves {remaining} endpoints for layers {}",
                    range.layers
                ));
            }
        }
        Ok(())
    }

    pub(crate) fn serve(&mut self, index: usize) -> Result<(), String> {
        let call = self.calls.remove(index);
        let result = self.deliver(&call)?;
        self.answer(call, result)
    }

    pub(crate) fn answer(
        &mut self,
        call: Call,
        result: Result<EngineState, CallError>,
    ) -> Result<(), String> {
        let (holder, now) = (call.holder, self.now());
        let endpoint = self.engines[call.endpoint].0.clone();
        self.run_group(holder, |group, actions| {
            group.handle_answer(now, &endpoint, call.id, result, actions);
            if group.next_tick(now).is_some_and(|at| at <= now) {
                group.tick(now, actions);
            }
        })
    }

    /// Answers a read immediately, or delays the answer if reads of the endpoint are delayed.
    pub(crate) fn serve_read(&mut self) -> Result<(), String> {
        let index = self.calls.len() - 1;
        if self.delayed_endpoint != Some(self.calls[index].endpoint) {
            return self.serve(index);
        }
        let call = self.calls.remove(index);
        let result = self.deliver(&call)?;
        self.answers.push((call, result));
        Ok(())
    }

    pub(crate) fn step(&mut self) -> Result<(), String> {
        self.time += 1;
        let (now, time, late) = (self.now(), self.time, self.late_orders);
        let flight = self.max_flight_time;
        self.calls.retain(|call| {
            let order = matches!(call.message, Message::Order(_));
            call.sent_at + flight > time || (late && order)
        });
        for holder in 0..self.groups.len() {
            if holder == self.holder || self.stale_holder {
                self.run_group(holder, |group, actions| group.tick(now, actions))?;
            }
        }
        Ok(())
    }

    pub(crate) fn is_outdated(&self, engine: &Engine) -> bool {
        let ranges = self.spec.ranges();
        let serves = |layers| engine.serves(self.now(), MODEL, layers);
        let needed = ranges.iter().any(|range| serves(range.layers));
        needed && engine.state(self.now()).version != self.spec.version()
    }

    /// Runs `steps` steps without faults.
    pub(crate) fn run_without_faults(&mut self, steps: u32) -> Result<(), String> {
        self.delayed_endpoint = None;
        self.answers.clear();
        for _ in 0..steps {
            while !self.calls.is_empty() {
                self.serve(0)?;
            }
            for index in 0..self.engines.len() {
                self.end_sessions(index);
            }
            self.step()?;
        }
        Ok(())
    }

    pub(crate) fn end_sessions(&mut self, index: usize) {
        let (now, id) = (self.now(), self.engines[index].0.clone());
        self.groups[self.holder].set_session_count(&id, 0, now);
    }
}
