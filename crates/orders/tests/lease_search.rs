//! All schedules of two hosts that want one lease, up to a depth: lost answers before and after
//! the effect, late effects, pauses past the term, releases, clocks of different rates.

mod common;

use std::{
    fmt::Debug,
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use common::{
    host, ms,
    search::{World, must_hold, walk},
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
/// The second host's clock gains one unit in this many.
const GAIN: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Event {
    /// Time goes on by one unit; hosts that aren't paused tick.
    Step,
    /// The table runs the request and the answer arrives.
    Serve(usize),
    /// The table runs the request; its answer is under way.
    Run(usize),
    /// The request is lost; its host gets no answer.
    Drop(usize),
    /// The host gets no answer, but the request stays under way.
    Detach(usize),
    /// The request never left.
    NotSent(usize),
    /// The answer arrives.
    Answer(usize),
    /// The answer is lost.
    Lose(usize),
    Pause(usize),
    Resume(usize),
    /// The host gives the lease back and wants it no more.
    Release(usize),
    /// It wants it again.
    Want(usize),
}

#[derive(Debug, Clone, Hash)]
struct Call {
    host: usize,
    id: TxnId,
    call: Hashed<TableCall>,
    /// Whether the host still waits.
    awaited: bool,
    outcome: Option<Hashed<TxnOutcome>>,
}

/// A message with its hash, made once.
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
    wants: bool,
}

#[derive(Debug, Clone, Hash)]
struct Race {
    time: u64,
    name: LeaseName,
    hosts: [Host; 2],
    table: MemoryTable,
    calls: Vec<Call>,
    faults_left: u32,
    releases_left: u32,
    /// The highest fence held so far, and who held it.
    highest: Option<(Fence, usize)>,
}

impl Race {
    /// The first host holds the lease, the second one watches it.
    fn new(faults: u32, releases: u32) -> Self {
        let name = LeaseName::try_from("orders/m/a").unwrap();
        let hosts = ["a", "b"].map(|id| Host {
            leases: Leases::new(config(id)),
            paused: false,
            wants: true,
        });
        let mut race = Self {
            time: 0,
            name,
            hosts,
            table: MemoryTable::default(),
            calls: Vec::new(),
            faults_left: faults,
            releases_left: releases,
            highest: None,
        };
        let name = race.name.clone();
        race.hosts[0].leases.request(Duration::ZERO, &name);
        while race.held(0).is_none() {
            race.apply(&Event::Step).unwrap();
            while !race.calls.is_empty() {
                race.apply(&Event::Serve(0)).unwrap();
            }
        }
        let now = race.now(1);
        race.hosts[1].leases.request(now, &name);
        race
    }

    fn now(&self, host: usize) -> Duration {
        let gained = if host == 1 { self.time / GAIN } else { 0 };
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
        self.carry_out(host, actions);
    }

    fn answer(&mut self, call: Call, result: Result<TxnOutcome, PlatformError>) {
        let host = call.host;
        let now = self.now(host);
        let mut actions = Vec::new();
        let leases = &mut self.hosts[host].leases;
        leases.handle_table_result(now, call.id, result, &mut actions);
        self.carry_out(host, actions);
    }

    fn carry_out(&mut self, host: usize, actions: Vec<Action>) {
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
            match self.highest {
                Some((highest, owner))
                    if fence < highest || (fence == highest && owner != host) =>
                {
                    return Err(format!("fence {fence:?} after {highest:?} of host {owner}"));
                }
                _ => self.highest = Some((fence, host)),
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
            events.push(Event::Run(index));
            if faulty {
                events.extend([
                    Event::Drop(index),
                    Event::Detach(index),
                    Event::NotSent(index),
                ]);
            }
        } else if !paused {
            events.push(Event::Answer(index));
            if faulty {
                events.push(Event::Lose(index));
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

fn lost() -> PlatformError {
    PlatformError::Unknown("lost".to_owned())
}

impl World for Race {
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
            if !host.paused && host.wants && self.releases_left > 0 {
                events.push(Event::Release(index));
            }
            if !host.paused && !host.wants {
                events.push(Event::Want(index));
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
            Event::Run(index) => {
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
                self.answer(call, Err(lost()));
            }
            Event::Detach(index) => {
                self.faults_left -= 1;
                self.calls[index].awaited = false;
                let call = self.calls[index].clone();
                self.answer(call, Err(lost()));
            }
            Event::NotSent(index) => {
                self.faults_left -= 1;
                let call = self.calls.remove(index);
                let cause = PlatformError::NotSent("away".to_owned());
                self.answer(call, Err(cause));
            }
            Event::Answer(index) => {
                let call = self.calls.remove(index);
                let outcome = call.outcome.clone().unwrap().0.as_ref().clone();
                self.answer(call, Ok(outcome));
            }
            Event::Lose(index) => {
                self.faults_left -= 1;
                let call = self.calls.remove(index);
                self.answer(call, Err(lost()));
            }
            Event::Pause(host) => {
                self.faults_left -= 1;
                self.hosts[host].paused = true;
            }
            Event::Resume(host) => self.hosts[host].paused = false,
            Event::Release(host) => {
                self.releases_left -= 1;
                let now = self.now(host);
                self.hosts[host].wants = false;
                self.hosts[host].leases.release(now, &name);
                self.tick(host);
            }
            Event::Want(host) => {
                let now = self.now(host);
                self.hosts[host].wants = true;
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
        prop_assert_eq!(walk(Race::new(12, 3), &choices), Ok(()));
    }
}

#[test]
fn never_two_holders_under_faults_and_pauses() {
    must_hold("lease, faults", Race::new(2, 0), 8);
}

#[test]
fn never_two_holders_when_released_under_faults() {
    must_hold("lease, release", Race::new(1, 1), 8);
}

#[test]
fn never_two_holders_when_paused_past_the_term() {
    must_hold("lease, pause", Race::new(1, 0), 10);
}
