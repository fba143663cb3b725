//! Searches all schedules, up to a depth, of two hosts that request one lease. They guard against
//! two hosts that hold the lease at once, and against a fence that isn't higher for a new holder.
//! Causes are answers lost before and after the effect, late effects, pauses longer than the term,
//! releases, and clocks with different rates.

mod common;

use std::{
    fmt::Debug,
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use common::{
    host, ms,
    search::{Simulation, assert_invariants, run_schedule},
};
use dragonflyrill_orders::lease::{Action, Fence, LeaseConfig, LeaseName, Leases, TxnId};
use dragonflyrill_store::{
    error::PlatformError,
    table::{TableCall, TxnOutcome, memory::MemoryTable},
};
use proptest::{collection::vec, prelude::*};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

const TERM: u64 = 3;
const MARGIN: u64 = 1;
/// The second host's clock gains one unit in this many units.
const CLOCK_GAIN_PERIOD: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Event {
    /// Time advances by one unit; hosts that aren't paused tick.
    Step,
    /// The table executes the call and the answer arrives.
    Serve(usize),
    /// The table executes the call; its answer is in flight.
    Execute(usize),
    /// The call is lost; its host receives no answer.
    Drop(usize),
    /// The host receives no answer, but the call stays in flight.
    TimeOut(usize),
    /// The call wasn't sent.
    NotSent(usize),
    /// The answer arrives.
    DeliverAnswer(usize),
    /// The answer is lost.
    LoseAnswer(usize),
    Pause(usize),
    Resume(usize),
    /// The host releases the lease and no longer requests it.
    Release(usize),
    /// The host requests the lease again.
    Request(usize),
}

#[derive(Debug, Clone, Hash)]
struct Call {
    host: usize,
    id: TxnId,
    call: Hashed<TableCall>,
    /// Whether the host still waits for the answer.
    awaited: bool,
    outcome: Option<Hashed<TxnOutcome>>,
}

/// A message with its hash, which is computed once.
#[derive(Debug, Clone)]
struct Hashed<T>(Rc<T>, u64);

impl<T: Debug> Hashed<T> {
    fn new(message: T) -> Self {
        let hash = xxh3_64(format!("{message:?}").as_bytes());
        Self(Rc::new(message), hash)
    }
}

impl<T> Hash for Hashed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.1.hash(state);
    }
}

#[derive(Debug, Clone, Hash)]
struct Host {
    leases: Leases,
    paused: bool,
    requests_lease: bool,
}

#[derive(Debug, Clone, Hash)]
struct LeaseSimulation {
    time: u64,
    name: LeaseName,
    hosts: [Host; 2],
    table: MemoryTable,
    calls: Vec<Call>,
    faults_left: u32,
    releases_left: u32,
    /// The highest fence held so far, and the index of the host that held it.
    highest_fence: Option<(Fence, usize)>,
}

impl LeaseSimulation {
    /// Creates a state in which the first host holds the lease and the second host watches it.
    fn new(faults: u32, releases: u32) -> Self {
        let name = LeaseName::try_from("orders/m/a").unwrap();
        let hosts = ["a", "b"].map(|id| Host {
            leases: Leases::new(config(id)),
            paused: false,
            requests_lease: true,
        });
        let mut simulation = Self {
            time: 0,
            name,
            hosts,
            table: MemoryTable::default(),
            calls: Vec::new(),
            faults_left: faults,
            releases_left: releases,
            highest_fence: None,
        };
        let name = simulation.name.clone();
        simulation.hosts[0].leases.request(Duration::ZERO, &name);
        while simulation.held(0).is_none() {
            simulation.apply(&Event::Step).unwrap();
            while !simulation.calls.is_empty() {
                simulation.apply(&Event::Serve(0)).unwrap();
            }
        }
        let now = simulation.now(1);
        simulation.hosts[1].leases.request(now, &name);
        simulation
    }

    fn now(&self, host: usize) -> Duration {
        let gained = if host == 1 {
            self.time / CLOCK_GAIN_PERIOD
        } else {
            0
        };
        ms(self.time + gained)
    }

    fn held(&self, host: usize) -> Option<Fence> {
        self.hosts[host]
            .leases
            .held_fence(self.now(host), &self.name)
    }

    fn tick(&mut self, host: usize) {
        let now = self.now(host);
        let mut actions = Vec::new();
        self.hosts[host].leases.tick(now, &mut actions);
        self.execute(host, actions);
    }

    fn answer(&mut self, call: Call, result: Result<TxnOutcome, PlatformError>) {
        let host = call.host;
        let now = self.now(host);
        let mut actions = Vec::new();
        let leases = &mut self.hosts[host].leases;
        leases.handle_table_result(now, call.id, result, &mut actions);
        self.execute(host, actions);
    }

    fn execute(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::CallTable { id, call } = action {
                self.calls.push(Call {
                    host,
                    id,
                    call: Hashed::new(call),
                    awaited: true,
                    outcome: None,
                });
            }
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let held = [self.held(0), self.held(1)];
        if held.iter().all(Option::is_some) {
            return Err(format!("two hosts hold the lease: {held:?}"));
        }
        for (host, fence) in held.into_iter().enumerate() {
            let Some(fence) = fence else { continue };
            match self.highest_fence {
                Some((highest, owner))
                    if fence < highest || (fence == highest && owner != host) =>
                {
                    return Err(format!("fence {fence:?} after {highest:?} of host {owner}"));
                }
                _ => self.highest_fence = Some((fence, host)),
            }
        }
        Ok(())
    }

    fn call_events(&self, index: usize, events: &mut Vec<Event>) {
        let call = &self.calls[index];
        let paused = self.hosts[call.host].paused;
        let faulty = self.faults_left > 0 && call.awaited && !paused;
        if call.outcome.is_none() {
            if call.awaited && !paused {
                events.push(Event::Serve(index));
            }
            events.push(Event::Execute(index));
            if faulty {
                events.extend([
                    Event::Drop(index),
                    Event::TimeOut(index),
                    Event::NotSent(index),
                ]);
            }
        } else if !paused {
            events.push(Event::DeliverAnswer(index));
            if faulty {
                events.push(Event::LoseAnswer(index));
            }
        }
    }
}

fn config(id: &str) -> LeaseConfig {
    LeaseConfig {
        renew_interval: ms(1),
        poll_interval: ms(1),
        initial_retry_delay: ms(1),
        max_retry_delay: ms(1),
        answer_timeout: ms(2),
        jitter_percent: 0,
        ..LeaseConfig::new(host(id), ms(TERM), ms(MARGIN), 0)
    }
}

fn lost_answer() -> PlatformError {
    PlatformError::Unknown("lost".to_owned())
}

impl Simulation for LeaseSimulation {
    type Event = Event;

    fn events(&self) -> Vec<Event> {
        let mut events = vec![Event::Step];
        for index in 0..self.calls.len() {
            self.call_events(index, &mut events);
        }
        for (index, host) in self.hosts.iter().enumerate() {
            match host.paused {
                true => events.push(Event::Resume(index)),
                false if self.faults_left > 0 => events.push(Event::Pause(index)),
                false => {}
            }
            if !host.paused && host.requests_lease && self.releases_left > 0 {
                events.push(Event::Release(index));
            }
            if !host.paused && !host.requests_lease {
                events.push(Event::Request(index));
            }
        }
        events
    }

    fn apply(&mut self, event: &Event) -> Result<(), String> {
        let name = self.name.clone();
        match *event {
            Event::Step => {
                self.time += 1;
                for host in 0..self.hosts.len() {
                    if !self.hosts[host].paused {
                        self.tick(host);
                    }
                }
            }
            Event::Serve(index) => {
                let call = self.calls.remove(index);
                let outcome = self.table.call(&call.call.0);
                self.answer(call, Ok(outcome));
            }
            Event::Execute(index) => {
                let outcome = self.table.call(&self.calls[index].call.0);
                if self.calls[index].awaited {
                    self.calls[index].outcome = Some(Hashed::new(outcome));
                } else {
                    self.calls.remove(index);
                }
            }
            Event::Drop(index) => {
                self.faults_left -= 1;
                let call = self.calls.remove(index);
                self.answer(call, Err(lost_answer()));
            }
            Event::TimeOut(index) => {
                self.faults_left -= 1;
                self.calls[index].awaited = false;
                let call = self.calls[index].clone();
                self.answer(call, Err(lost_answer()));
            }
            Event::NotSent(index) => {
                self.faults_left -= 1;
                let call = self.calls.remove(index);
                let cause = PlatformError::NotSent("unavailable".to_owned());
                self.answer(call, Err(cause));
            }
            Event::DeliverAnswer(index) => {
                let call = self.calls.remove(index);
                let outcome = call.outcome.clone().unwrap().0.as_ref().clone();
                self.answer(call, Ok(outcome));
            }
            Event::LoseAnswer(index) => {
                self.faults_left -= 1;
                let call = self.calls.remove(index);
                self.answer(call, Err(lost_answer()));
            }
            Event::Pause(host) => {
                self.faults_left -= 1;
                self.hosts[host].paused = true;
            }
            Event::Resume(host) => self.hosts[host].paused = false,
            Event::Release(host) => {
                self.releases_left -= 1;
                let now = self.now(host);
                self.hosts[host].requests_lease = false;
                self.hosts[host].leases.release(now, &name);
                self.tick(host);
            }
            Event::Request(host) => {
                let now = self.now(host);
                self.hosts[host].requests_lease = true;
                self.hosts[host].leases.request(now, &name);
                self.tick(host);
            }
        }
        self.check()
    }

    fn key(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn never_two_holders_in_long_schedules(choices in vec(any::<u16>(), 200)) {
        prop_assert_eq!(run_schedule(LeaseSimulation::new(12, 3), &choices), Ok(()));
    }
}

#[test]
fn never_two_holders_under_faults_and_pauses() {
    assert_invariants("lease, faults", LeaseSimulation::new(2, 0), 8);
}

#[test]
fn never_two_holders_when_released_under_faults() {
    assert_invariants("lease, release", LeaseSimulation::new(1, 1), 8);
}

#[test]
fn never_two_holders_when_paused_past_the_term() {
    assert_invariants("lease, pause", LeaseSimulation::new(1, 0), 10);
}
