//! Picks a chain for one request.
//!
//! Each endpoint has an account of the requests that run on it: those of this host, and what the
//! other hosts last told of theirs. From these follow the time to the first event, the time between
//! events and the memory that is taken on each part of a chain; the chain with the least expected
//! time for the whole answer wins, one that would miss its targets only if no other is left.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    chains::{Chain, Part},
    unseen::RecentSends,
};

/// For how long what other hosts told is taken as it is; it comes several times a second.
const TOLD_AGE: Duration = Duration::from_millis(1500);
/// For how long an endpoint that refused for want of memory gets nothing: about the time in which
/// some of its requests end.
const FULL: Duration = Duration::from_millis(150);
/// Steps in which requests that other hosts have sent meanwhile are put on chains at most: each costs one look
/// at a chain.
const MOST_STEPS: f64 = 8.0;
/// The part of an endpoint's memory that is planned with: answers differ widely in length.
const MEMORY_USED: f64 = 0.9;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Want {
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens of its answer, as expected.
    pub answer: f64,
    /// The time that is left for the first event to be on time, in ms; over zero.
    pub target_ms: f64,
    /// The longest pause between events that is on time, in ms.
    pub gap_ms: f64,
    /// Tokens in one event.
    pub tokens_per_event: f64,
}

/// The requests at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// How many run there.
    pub requests: f64,
    /// Their tokens, each counted once for each layer that the endpoint runs.
    pub token_layers: f64,
}

impl Load {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            token_layers: self.token_layers + other.token_layers,
        }
    }

    /// Without the other's part; never below nothing.
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: (self.requests - other.requests).max(0.0),
            token_layers: (self.token_layers - other.token_layers).max(0.0),
        }
    }

    fn times(self, n: f64) -> Self {
        Self {
            requests: self.requests * n,
            token_layers: self.token_layers * n,
        }
    }
}

/// Loads by endpoint.
pub type LoadMap = FxHashMap<Rc<str>, Load>;

/// The loads of all endpoints, as far as this host knows.
#[derive(Debug, Default)]
pub struct Loads {
    own: LoadMap,
    others: LoadMap,
    others_at: Option<Duration>,
    /// Tokens of prompts that this host has sent to endpoints and that are still being read.
    reading: FxHashMap<Rc<str>, f64>,
    /// Endpoints that refused for want of memory, until when they count as full.
    full: FxHashMap<Rc<str>, Duration>,
    /// What this host has sent lately.
    sends: RecentSends,
    /// Hosts that send requests, this one included.
    pub hosts: u32,
}

impl Loads {
    /// A request of this host with so many tokens begins on a chain.
    pub fn begin(&mut self, chain: &Chain, tokens: f64) {
        for part in &chain.parts {
            let load = self.own.entry(part.id.clone()).or_default();
            *load = load.plus(part_load(tokens, part.layers.count()));
        }
    }

    /// Such a request has ended.
    pub fn end(&mut self, chain: &Chain, tokens: f64) {
        for part in &chain.parts {
            let Some(load) = self.own.get_mut(&part.id) else {
                continue;
            };
            *load = load.minus(part_load(tokens, part.layers.count()));
            // Nothing of a sum of fractions may stay behind.
            if load.requests < 0.5 {
                self.own.remove(&part.id);
            }
        }
    }

    /// A request of this host is sent.
    pub fn sent(&mut self, now: Duration) {
        self.sends.note(now);
    }

    /// Requests that the other hosts have sent since they told of theirs, about.
    fn unseen(&self, now: Duration) -> f64 {
        let others = self.hosts.saturating_sub(1);
        let age = self.others_at.map(|at| now.saturating_sub(at));
        let age = age.filter(|age| *age < TOLD_AGE);
        self.sends.by_others(others, age, now)
    }

    /// A chain begins to read so many tokens of a request of this host.
    pub fn begin_reading(&mut self, chain: &Chain, tokens: f64) {
        for part in &chain.parts {
            *self.reading.entry(part.id.clone()).or_default() += tokens;
        }
    }

    /// It has read them, or does so no more.
    pub fn end_reading(&mut self, chain: &Chain, tokens: f64) {
        for part in &chain.parts {
            let Some(reading) = self.reading.get_mut(&part.id) else {
                continue;
            };
            *reading -= tokens;
            // Nothing of a sum of fractions may stay behind.
            if *reading < 0.5 {
                self.reading.remove(&part.id);
            }
        }
    }

    /// How long a chain still reads what was sent before, in ms.
    ///
    /// What the other hosts have sent in the same moment is not told yet. They are taken to have sent
    /// as much as this one: after the loss of a chain all of them send their streams elsewhere at
    /// once, and each by itself would find the next best chain idle.
    fn reading_ms(&self, chain: &Chain) -> f64 {
        let ms = |part: &Part| self.reading.get(&part.id).copied().unwrap_or(0.0) * part.read_ms;
        let own = chain.parts.iter().map(ms).fold(0.0, f64::max);
        own * f64::from(self.hosts.max(1))
    }

    /// How long a chain still reads so many tokens that others have sent since they told of their loads, in ms.
    fn reading_ahead_ms(&self, chain: &Chain, tokens: f64, now: Duration) -> f64 {
        let since = self
            .others_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let read_meanwhile = since.min(TOLD_AGE).as_secs_f64() * 1000.0;
        (tokens * chain.read_busy_ms - read_meanwhile).max(0.0)
    }

    /// What this host puts on endpoints.
    pub fn own(&self) -> &LoadMap {
        &self.own
    }

    /// What the other hosts put on endpoints, as told at `now`.
    pub fn told(&mut self, others: LoadMap, now: Duration) {
        self.others = others;
        self.others_at = Some(now);
    }

    /// An endpoint refused for want of memory.
    pub fn refused(&mut self, id: &Rc<str>, now: Duration) {
        self.full.insert(id.clone(), now + FULL);
    }

    /// Whether an endpoint of the chain has just refused for want of memory.
    pub fn full(&self, chain: &Chain, now: Duration) -> bool {
        let full = |id: &Rc<str>| self.full.get(id).is_some_and(|until| *until > now);
        chain.parts.iter().any(|p| full(&p.id))
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, id: &str) {
        self.full.remove(id);
        self.own.remove(id);
        self.others.remove(id);
    }

    /// What all hosts put on an endpoint, as far as is known: if the others have not told of
    /// theirs lately, they are taken to do as this one.
    pub fn at(&self, id: &str, now: Duration) -> Load {
        let own = self.own.get(id).copied().unwrap_or_default();
        match self.others_at {
            Some(at) if at + TOLD_AGE > now => {
                own.plus(self.others.get(id).copied().unwrap_or_default())
            }
            _ => own.times(f64::from(self.hosts.max(1))),
        }
    }
}

fn part_load(tokens: f64, layers: u32) -> Load {
    Load {
        requests: 1.0,
        token_layers: tokens * f64::from(layers),
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

/// What the request may expect of the chain under such loads, after `reading_ms` in which it reads
/// what was sent before.
pub fn expect(
    chain: &Chain,
    want: &Want,
    reading_ms: f64,
    load: impl Fn(&Part) -> Load,
) -> Expected {
    let need = want.prompt + want.answer;
    let mut token_ms = chain.token_ms;
    let mut running: f64 = 0.0;
    let mut fill: f64 = 0.0;
    for part in &chain.parts {
        let load = load(part);
        token_ms += part.token_ms_per_request * load.requests;
        running = running.max(load.requests);
        let taken = load.token_layers + need * f64::from(part.layers.count());
        fill = fill.max(taken / (part.capacity * MEMORY_USED).max(1.0));
    }
    let gap_ms = token_ms * want.tokens_per_event;
    // Prompts of others are read in between; how many, follows from how long answers take.
    let answer_ms = want.answer * token_ms + want.prompt * chain.read_ms;
    let reading = (running * want.prompt * chain.read_busy_ms / answer_ms.max(1.0)).min(0.95);
    let slowed = 1.0 / (1.0 - reading);
    let first_ms = reading_ms + (want.prompt * chain.read_ms + gap_ms) * slowed;
    Expected {
        first_ms,
        gap_ms: gap_ms * slowed,
        whole_ms: first_ms + want.answer * token_ms * slowed,
        fill,
    }
}

/// The chain for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Chosen {
    /// Its place in the list.
    pub place: usize,
    /// What the request may expect of it.
    pub expected: Expected,
}

/// Picks the chain for a request.
///
/// Other hosts choose in the same moment by the same numbers. So a part of what they are taken to have sent
/// since, drawn by `draw` from 0 to 1, is put where it would go, and the request goes where the next one would:
/// all hosts together fill the chains in the order of their costs, and where the numbers are fresh each
/// takes the best.
///
/// `usable` says which chains may get it.
pub fn choose(
    chains: &[Chain],
    loads: &Loads,
    want: &Want,
    now: Duration,
    draw: f64,
    usable: impl Fn(&Chain) -> bool,
) -> Option<Chosen> {
    let chains = chains.iter().enumerate().filter(|(_, c)| usable(c));
    let mut weighed: Vec<Weighed<'_>> = chains
        .map(|(place, chain)| Weighed::new(place, chain, loads, want, now))
        .collect();
    let ahead = draw * loads.unseen(now);
    let steps = ahead.ceil().min(MOST_STEPS);
    for _ in 0..steps as u32 {
        let next = cheapest(&mut weighed)?;
        next.ahead += ahead / steps;
        next.weigh(loads, want, now);
    }
    cheapest(&mut weighed).map(|w| Chosen {
        place: w.place,
        expected: w.expected,
    })
}

/// The one that costs least, the first of equals.
fn cheapest<'a, 'b>(weighed: &'a mut [Weighed<'b>]) -> Option<&'a mut Weighed<'b>> {
    let by_cost = |a: &&mut Weighed<'_>, b: &&mut Weighed<'_>| {
        let late = a.cost.0.cmp(&b.cost.0);
        late.then(a.cost.1.total_cmp(&b.cost.1))
    };
    weighed.iter_mut().min_by(by_cost)
}

/// A chain that may get the request.
struct Weighed<'a> {
    place: usize,
    chain: &'a Chain,
    /// Requests that other hosts are taken to have sent to it meanwhile.
    ahead: f64,
    /// Without those.
    expected: Expected,
    /// Whether the answer would be late, and what ranks it among others.
    cost: (bool, f64),
}

impl<'a> Weighed<'a> {
    fn new(place: usize, chain: &'a Chain, loads: &Loads, want: &Want, now: Duration) -> Self {
        let reading_ms = loads.reading_ms(chain);
        let expected = expect(chain, want, reading_ms, |part| loads.at(&part.id, now));
        Self {
            place,
            chain,
            ahead: 0.0,
            expected,
            cost: cost(&expected, want),
        }
    }

    fn weigh(&mut self, loads: &Loads, want: &Want, now: Duration) {
        let tokens = want.prompt + want.answer;
        let reading_ahead = loads.reading_ahead_ms(self.chain, want.prompt * self.ahead, now);
        let reading_ms = loads.reading_ms(self.chain).max(reading_ahead);
        let ahead = |part: &Part| part_load(tokens, part.layers.count()).times(self.ahead);
        let expected = expect(self.chain, want, reading_ms, |part| {
            loads.at(&part.id, now).plus(ahead(part))
        });
        self.cost = cost(&expected, want);
    }
}

fn cost(expected: &Expected, want: &Want) -> (bool, f64) {
    let late = !expected.on_time(want);
    // Late ones are ranked by how full they are, as memory that ran out costs most.
    let cost = match late {
        true => expected.fill.max(expected.first_ms / want.target_ms),
        false => expected.whole_ms,
    };
    (late, cost)
}
