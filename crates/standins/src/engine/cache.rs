//! The prefix cache: an LRU cache of blocks of prompt positions that publishes an event for each change.

use std::collections::{BTreeMap, VecDeque};

use dragonflyrill_engines::wire;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustc_hash::FxHashMap;

/// The number of positions in one block.
pub(crate) const BLOCK_POSITIONS: u32 = 32;
/// The maximum number of events kept for readers; older events are dropped and count as lost.
const MAX_EVENTS: usize = 65_536;

#[derive(Debug)]
struct Published {
    visible_ms: u64,
    event: wire::CacheEvent,
}

/// The prefix cache of one engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    lag_ms: u64,
    loss: f64,
    rng: Pcg64,
    /// The value of `uses` at the last use of each block.
    blocks: FxHashMap<u64, u64>,
    /// The inverse of `blocks`: its first entry is the least recently used block.
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    seq: u64,
    events: VecDeque<Published>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize, lag_ms: u64, loss: f64, seed: u64) -> Self {
        Self {
            capacity,
            lag_ms,
            loss,
            rng: Pcg64::seed_from_u64(seed),
            blocks: FxHashMap::default(),
            by_use: BTreeMap::new(),
            uses: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// The number of cached blocks; at most the capacity.
    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Counts the positions of `start..start + count` that the cached leading blocks of `prefix` cover.
    pub(crate) fn covered(&self, prefix: &[u64], start: u32, count: u32) -> u32 {
        let blocks = prefix
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        let end = (blocks as u32).saturating_mul(BLOCK_POSITIONS);
        end.min(start.saturating_add(count)).saturating_sub(start)
    }

    /// Stores the blocks that lie completely before position `end`, or marks them as used if they are
    /// cached already.
    pub(crate) fn store(&mut self, now_ms: u64, prefix: &[u64], end: u32) {
        let complete = (end / BLOCK_POSITIONS) as usize;
        for &block in prefix.iter().take(complete) {
            self.touch(now_ms, block);
        }
    }

    /// Evicts all blocks in LRU order.
    pub(crate) fn clear(&mut self, now_ms: u64) {
        while let Some((_, evicted)) = self.by_use.pop_first() {
            self.evict(now_ms, evicted);
        }
    }

    /// Returns the events that are published by `now_ms` and have sequence numbers above `after`.
    pub(crate) fn events(&self, now_ms: u64, after: u64) -> wire::CacheEvents {
        let visible = self
            .events
            .iter()
            .take_while(|published| published.visible_ms <= now_ms);
        let newer = visible.filter(|published| published.event.seq > after);
        let events: Vec<_> = newer.map(|published| published.event.clone()).collect();
        let last = events.last().map_or(after, |event| event.seq);
        wire::CacheEvents { last, events }
    }

    fn touch(&mut self, now_ms: u64, block: u64) {
        if self.capacity == 0 {
            return;
        }
        self.uses += 1;
        if let Some(last_use) = self.blocks.insert(block, self.uses) {
            self.by_use.remove(&last_use);
        } else {
            self.publish(now_ms, block, true);
        }
        self.by_use.insert(self.uses, block);
        if self.blocks.len() > self.capacity
            && let Some((_, evicted)) = self.by_use.pop_first()
        {
            self.evict(now_ms, evicted);
        }
    }

    fn evict(&mut self, now_ms: u64, block: u64) {
        self.blocks.remove(&block);
        self.publish(now_ms, block, false);
    }

    fn publish(&mut self, now_ms: u64, block: u64, stored: bool) {
        self.seq += 1;
        if self.loss > 0.0 && self.rng.random::<f64>() < self.loss {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = wire::CacheEvent {
            seq: self.seq,
            block,
            stored,
        };
        self.events.push_back(Published {
            visible_ms: now_ms + self.lag_ms,
            event,
        });
    }
}
