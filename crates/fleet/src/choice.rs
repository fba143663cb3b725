//! Picks a chain for one request.
//!
//! Each chain has an account of the requests that run on it: those of this host, and what the first
//! stage last said of all hosts' together. From these follow the time to the first event and the
//! time between events; the chain with the least expected time for the whole answer wins, one that
//! would miss its targets only if no other is left.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::chains::Chain;

/// A load that an endpoint told is taken as it is for this long.
const LOAD_AGE: Duration = Duration::from_millis(1500);
/// The part of a chain's memory that is planned with: answers differ widely in length.
const ROOM_USED: f64 = 0.8;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Want {
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens of its answer, as expected.
    pub answer: f64,
    /// The time within which the first event is on time, in ms.
    pub target_ms: f64,
    /// The longest pause between events that is on time, in ms.
    pub gap_ms: f64,
    /// Tokens in one event.
    pub tokens_per_event: f64,
}

/// The requests at a first stage, of all hosts.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    running: f64,
    at: Duration,
    /// This host's requests sent since, less those that ended since.
    since: f64,
}

/// The loads of chains, by their first stage.
#[derive(Debug, Default)]
pub struct Loads {
    own: FxHashMap<Rc<str>, u32>,
    told: FxHashMap<Rc<str>, Told>,
    /// Hosts that send requests, this one included.
    pub hosts: u32,
}

impl Loads {
    /// A request of this host was sent to a first stage.
    pub fn begin(&mut self, first: &Rc<str>) {
        *self.own.entry(first.clone()).or_default() += 1;
        if let Some(told) = self.told.get_mut(first) {
            told.since += 1.0;
        }
    }

    /// A request of this host has left a first stage.
    pub fn end(&mut self, first: &Rc<str>) {
        if let Some(own) = self.own.get_mut(first) {
            *own = own.saturating_sub(1);
        }
        if let Some(told) = self.told.get_mut(first) {
            told.since -= 1.0;
        }
    }

    /// A first stage has told how many requests it runs and how many wait.
    pub fn told(&mut self, first: &Rc<str>, running: u32, waiting: u32, now: Duration) {
        let told = Told {
            running: f64::from(running) + f64::from(waiting),
            at: now,
            since: 0.0,
        };
        self.told.insert(first.clone(), told);
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, id: &str) {
        self.own.remove(id);
        self.told.remove(id);
    }

    /// Requests of all hosts at a first stage, as far as is known.
    pub fn at(&self, first: &str, now: Duration) -> f64 {
        let own = f64::from(self.own.get(first).copied().unwrap_or(0));
        match self.told.get(first) {
            Some(told) if told.at + LOAD_AGE > now => (told.running + told.since).max(own),
            _ => own * f64::from(self.hosts.max(1)),
        }
    }
}

/// What a request may expect of a chain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expected {
    /// Until the first event, in ms.
    pub first_ms: f64,
    /// Between events, in ms.
    pub gap_ms: f64,
    /// Until the end, in ms.
    pub whole_ms: f64,
    /// The part of the chain's memory that is taken, this request included; over 1 is too much.
    pub fill: f64,
}

impl Expected {
    /// Whether an answer would be on time.
    fn on_time(&self, want: &Want) -> bool {
        self.first_ms <= want.target_ms && self.gap_ms <= want.gap_ms && self.fill <= 1.0
    }
}

/// What the request may expect of the chain while `running` others run on it.
pub fn expect(chain: &Chain, want: &Want, running: f64) -> Expected {
    let token_ms = chain.token_ms + chain.token_ms_per_request * running;
    let gap_ms = token_ms * want.tokens_per_event;
    // Prompts of others are read in between; how many, follows from how long answers take.
    let answer_ms = want.answer * token_ms + want.prompt * chain.read_ms;
    let reading = (running * want.prompt * chain.read_busy_ms / answer_ms.max(1.0)).min(0.95);
    let slowed = 1.0 / (1.0 - reading);
    let first_ms = (want.prompt * chain.read_ms + gap_ms) * slowed;
    let need = (running + 1.0) * (want.prompt + want.answer);
    Expected {
        first_ms,
        gap_ms: gap_ms * slowed,
        whole_ms: first_ms + want.answer * token_ms * slowed,
        fill: need / (chain.room * ROOM_USED).max(1.0),
    }
}

/// The chain for a request: its place in the list.
///
/// `usable` says which chains may get it.
pub fn choose(
    chains: &[Chain],
    loads: &Loads,
    want: &Want,
    now: Duration,
    usable: impl Fn(&Chain) -> bool,
) -> Option<usize> {
    let mut best: Option<(bool, f64, usize)> = None;
    for (i, chain) in chains.iter().enumerate() {
        if !usable(chain) {
            continue;
        }
        let expected = expect(chain, want, loads.at(&chain.first().id, now));
        let late = !expected.on_time(want);
        // Late ones are ranked by how full they are, as memory that ran out costs most.
        let cost = match late {
            true => expected.fill.max(expected.first_ms / want.target_ms),
            false => expected.whole_ms,
        };
        if best.is_none_or(|(l, c, _)| (late, cost) < (l, c)) {
            best = Some((late, cost, i));
        }
    }
    best.map(|(_, _, i)| i)
}
