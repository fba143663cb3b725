//! The events of a simulated group, and the state that the engines must finally reach.

use dragonflyrill_orders::{group::CallError, lease::Fence};
use xxhash_rust::xxh3::xxh3_64;

use super::{Event, GroupSimulation, MAX_CONVERGENCE_STEPS};
use crate::common::search::Simulation;

impl Simulation for GroupSimulation {
    type Event = Event;

    fn events(&self) -> Vec<Event> {
        let mut events = vec![Event::Step];
        for index in 0..self.calls.len() {
            events.push(Event::Serve(index));
            if self.faults_left > 0 {
                let faults = [Event::LoseAnswer, Event::Drop, Event::TimeOut];
                events.extend(faults.map(|fault| fault(index)));
            }
        }
        if self.stale_holder {
            events.push(Event::LeaseLost);
        } else if self.takeovers_left > 0 {
            events.push(Event::Takeover);
        }
        if self.declarations_left > 0 {
            events.push(Event::Declare);
        }
        if !self.answers.is_empty() {
            events.push(Event::DeliverAnswer);
        }
        for (index, (_, engine)) in self.engines.iter().enumerate() {
            if self.faults_left > 0 && self.delayed_endpoint.is_none() && index % 2 == 1 {
                events.push(Event::DelayReads(index));
            }
            if engine.alive && self.crashes_left > 0 {
                events.push(Event::Crash(index));
            }
            if self.drained.contains(&(self.holder, index)) {
                events.push(Event::EndSessions(index));
            }
        }
        events
    }

    fn apply(&mut self, event: &Event) -> Result<(), String> {
        let now = self.now();
        match *event {
            Event::Step => return self.step(),
            Event::Serve(index) => return self.serve(index),
            Event::LoseAnswer(index) => {
                self.faults_left -= 1;
                let call = self.calls.remove(index);
                let _lost = self.deliver(&call)?;
            }
            Event::Drop(index) => {
                self.faults_left -= 1;
                self.calls.remove(index);
            }
            Event::TimeOut(index) => {
                self.faults_left -= 1;
                let call = self.calls[index].clone();
                return self.answer(call, Err(CallError::Unknown));
            }
            Event::Takeover => {
                self.takeovers_left -= 1;
                self.holder = 1 - self.holder;
                self.fence += 1;
                self.stale_holder = true;
                // Drains end with the lease.
                self.drained.clear();
                let fence = Fence(self.fence);
                return self.run_group(self.holder, |group, actions| {
                    group.lease_held(now, fence, actions);
                });
            }
            Event::LeaseLost => {
                self.stale_holder = false;
                return self.run_group(1 - self.holder, |group, actions| {
                    group.lease_lost(actions);
                });
            }
            Event::DelayReads(index) => {
                self.faults_left -= 1;
                self.delayed_endpoint = Some(index);
            }
            Event::DeliverAnswer => {
                let (call, result) = self.answers.remove(0);
                return self.answer(call, result);
            }
            Event::Crash(index) => {
                self.crashes_left -= 1;
                self.crashes += 1;
                let (id, engine) = &mut self.engines[index];
                engine.alive = false;
                for group in &mut self.groups {
                    group.set_alive(now, id, false);
                }
            }
            Event::Declare => return self.declare(),
            Event::EndSessions(index) => self.end_sessions(index),
        }
        Ok(())
    }

    fn key(&self) -> u64 {
        xxh3_64(format!("{self:?}").as_bytes())
    }

    /// Checks that the engines reach the declared state after the faults end, as far as the running
    /// engines allow it: without a spare, no endpoint can be removed from its layers to get another
    /// version.
    fn check_leaf(&self) -> Result<(), String> {
        let mut settled = self.clone();
        settled.run_without_faults(MAX_CONVERGENCE_STEPS)?;
        let status = settled.groups[settled.holder].status(settled.now());
        let engines: Vec<_> = settled.engines.iter().map(|(_, engine)| engine).collect();
        let alive = engines.iter().filter(|engine| engine.alive).count() as u32;
        let needed: u32 = settled
            .spec
            .ranges()
            .iter()
            .map(|range| range.minimum)
            .sum();
        let mut ranges = settled.spec.ranges().iter();
        let served = ranges.all(|range| settled.serving(range.layers) >= range.minimum);
        let up_to_date = engines.iter().all(|engine| !settled.is_outdated(engine));
        let as_declared = served && up_to_date && status.satisfied;
        if as_declared || (served && alive == needed) {
            return Ok(());
        }
        let states: Vec<_> = engines.iter().map(|e| e.state(settled.now())).collect();
        Err(format!(
            "the engines do not reach the declared state: {status:?}, {states:?}"
        ))
    }
}
