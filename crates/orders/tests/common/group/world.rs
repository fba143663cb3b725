//! The events of a group and where they have to lead.

use dragonflyrill_orders::{group::CallError, lease::Fence};
use xxhash_rust::xxh3::xxh3_64;

use super::{CALM_STEPS, Event, Orders};
use crate::common::search::World;

impl World for Orders {
    type Event = Event;

    fn events(&self) -> Vec<Event> {
        let mut events = vec![Event::Step];
        for index in 0..self.calls.len() {
            events.push(Event::Serve(index));
            if self.faults_left > 0 {
                let faults = [Event::LoseAnswer, Event::Drop, Event::Hang];
                events.extend(faults.map(|fault| fault(index)));
            }
        }
        if self.believes {
            events.push(Event::Learn);
        } else if self.takeovers_left > 0 {
            events.push(Event::Takeover);
        }
        if self.declarations_left > 0 {
            events.push(Event::Declare);
        }
        if !self.answers.is_empty() {
            events.push(Event::Answer);
        }
        for (index, (_, engine)) in self.engines.iter().enumerate() {
            if self.faults_left > 0 && self.slow.is_none() && index % 2 == 1 {
                events.push(Event::Slow(index));
            }
            if engine.alive && self.deaths_left > 0 {
                events.push(Event::Die(index));
            }
            if self.drained.contains(&(self.holder, index)) {
                events.push(Event::Empty(index));
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
            Event::Hang(index) => {
                self.faults_left -= 1;
                let call = self.calls[index].clone();
                return self.answer(call, Err(CallError::Unknown));
            }
            Event::Takeover => {
                self.takeovers_left -= 1;
                self.holder = 1 - self.holder;
                self.fence += 1;
                self.believes = true;
                // Marks lapse with the lease.
                self.drained.clear();
                let fence = Fence(self.fence);
                return self.run_group(self.holder, |group, actions| {
                    group.lease_held(now, fence, actions);
                });
            }
            Event::Learn => {
                self.believes = false;
                return self.run_group(1 - self.holder, |group, actions| {
                    group.lease_lost(actions);
                });
            }
            Event::Slow(index) => {
                self.faults_left -= 1;
                self.slow = Some(index);
            }
            Event::Answer => {
                let (call, result) = self.answers.remove(0);
                return self.answer(call, result);
            }
            Event::Die(index) => {
                self.deaths_left -= 1;
                self.deaths += 1;
                let (id, engine) = &mut self.engines[index];
                engine.alive = false;
                for group in &mut self.groups {
                    group.set_alive(now, id, false);
                }
            }
            Event::Declare => return self.declare(),
            Event::Empty(index) => self.empty(index),
        }
        Ok(())
    }

    fn key(&self) -> u64 {
        xxh3_64(format!("{self:?}").as_bytes())
    }

    /// Once the faults end, the engines are as declared, as far as those alive allow: with none to
    /// spare, an endpoint can't be taken from its layers to get another version.
    fn check_leaf(&self) -> Result<(), String> {
        let mut calm = self.clone();
        calm.calm_steps(CALM_STEPS)?;
        let plan = calm.groups[calm.holder].status(calm.now());
        let engines: Vec<_> = calm.engines.iter().map(|(_, engine)| engine).collect();
        let alive = engines.iter().filter(|engine| engine.alive).count() as u32;
        let needed: u32 = calm.spec.ranges().iter().map(|range| range.minimum).sum();
        let mut ranges = calm.spec.ranges().iter();
        let served = ranges.all(|range| calm.serving(range.layers) >= range.minimum);
        let current = engines.iter().all(|engine| !calm.is_outdated(engine));
        let as_declared = served && current && plan.satisfied;
        if as_declared || (served && alive == needed) {
            return Ok(());
        }
        let states: Vec<_> = engines.iter().map(|e| e.state(calm.now())).collect();
        Err(format!("not as declared in the end: {plan:?}, {states:?}"))
    }
}
