//! Simulates an engine: batches of steps, a prefix cache, a bounded number of sessions and faults.

use std::collections::{BTreeSet, VecDeque};

use dragonflyrill_engines::wire::{CacheEvent, CacheEvents, LoadReport};
use dragonflyrill_routing::{BLOCK_POSITIONS, Endpoint};

const MAX_BATCH: usize = 32;
const MAX_SESSIONS: usize = 64;
const CACHE_BLOCKS: usize = 512;
const PREFILL_FACTOR: f64 = 0.02;

/// A step that is queued or running.
#[derive(Debug, Clone)]
pub(crate) struct Step {
    pub(crate) request: usize,
    pub(crate) attempt: u32,
    pub(crate) layers: u32,
    pub(crate) positions: u32,
    pub(crate) prefix: Vec<u64>,
}

/// The fault of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    Crashed,
    Frozen,
    /// Steps take ten times as long.
    Slow,
}

pub(crate) struct Engine {
    pub(crate) listed: Endpoint,
    pub(crate) fault: Fault,
    pub(crate) incarnation: u64,
    pub(crate) queue: VecDeque<Step>,
    pub(crate) running: Vec<Step>,
    sessions: BTreeSet<usize>,
    /// The cached blocks, oldest first.
    cache: VecDeque<u64>,
    events: Vec<CacheEvent>,
    seq: u64,
}

impl Engine {
    pub(crate) fn new(listed: Endpoint) -> Self {
        Self {
            listed,
            fault: Fault::None,
            incarnation: 1,
            queue: VecDeque::new(),
            running: Vec::new(),
            sessions: BTreeSet::new(),
            cache: VecDeque::new(),
            events: Vec::new(),
            seq: 0,
        }
    }

    /// Queues a step; returns false if all sessions are in use.
    pub(crate) fn accept(&mut self, step: Step) -> bool {
        if self.sessions.len() >= MAX_SESSIONS && !self.sessions.contains(&step.request) {
            return false;
        }
        self.sessions.insert(step.request);
        self.queue.push_back(step);
        true
    }

    /// Starts the next batch if the engine is idle and working; returns the time in microseconds
    /// that it takes.
    pub(crate) fn start_batch(&mut self) -> Option<u64> {
        let idle = self.running.is_empty() && !self.queue.is_empty();
        if !idle || matches!(self.fault, Fault::Crashed | Fault::Frozen) {
            return None;
        }
        let n = self.queue.len().min(MAX_BATCH);
        self.running = self.queue.drain(..n).collect();
        let layers = self.running.iter().map(|s| s.layers).max().unwrap_or(0);
        let mut extra = 0;
        for i in 0..n {
            let prefix = std::mem::take(&mut self.running[i].prefix);
            let cached = self.cache_prefix(&prefix) * BLOCK_POSITIONS as u32;
            extra += (self.running[i].positions - 1).saturating_sub(cached);
        }
        let slow = if self.fault == Fault::Slow { 10.0 } else { 1.0 };
        let us = self.listed.layer_us * f64::from(layers) * slow;
        Some((us * (1.0 + PREFILL_FACTOR * f64::from(extra))) as u64)
    }

    /// Caches the blocks of `prefix`; returns how many leading ones were cached before.
    fn cache_prefix(&mut self, prefix: &[u64]) -> u32 {
        let hits = prefix.iter().take_while(|b| self.cache.contains(b)).count();
        for block in prefix {
            match self.cache.iter().position(|b| b == block) {
                Some(at) => drop(self.cache.remove(at)),
                None => self.record_event(*block, true),
            }
            self.cache.push_back(*block);
        }
        while self.cache.len() > CACHE_BLOCKS {
            if let Some(oldest) = self.cache.pop_front() {
                self.record_event(oldest, false);
            }
        }
        hits as u32
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        self.seq += 1;
        // Every tenth event is lost.
        if !self.seq.is_multiple_of(10) {
            let seq = self.seq;
            self.events.push(CacheEvent { seq, block, stored });
        }
    }

    pub(crate) fn end_session(&mut self, request: usize) {
        self.sessions.remove(&request);
    }

    /// Terminates the engine, which loses its state. Returns the steps that were queued or running.
    pub(crate) fn crash(&mut self) -> Vec<Step> {
        self.fault = Fault::Crashed;
        self.incarnation += 1;
        self.sessions.clear();
        self.cache.clear();
        self.events.clear();
        let running = std::mem::take(&mut self.running);
        running.into_iter().chain(self.queue.drain(..)).collect()
    }

    pub(crate) fn report(&self) -> LoadReport {
        LoadReport {
            endpoint: self.listed.id.as_str().to_owned(),
            incarnation: self.incarnation,
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            sessions: self.sessions.len() as u32,
            max_sessions: MAX_SESSIONS as u32,
            age_ms: 0,
        }
    }

    pub(crate) fn take_events(&mut self) -> CacheEvents {
        let events = std::mem::take(&mut self.events);
        CacheEvents {
            last: self.seq,
            events,
        }
    }
}
