//! An in-memory table and object store that injects faults, drawn from a seeded generator.
#![allow(dead_code, reason = "each test file uses a different subset")]

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use actix_rt::task;
use dragonflyrill_store::{
    PlatformError,
    catalogue_store::{CatalogueStore, SnapshotStore},
    table::{
        KeyRange, Rows, TableApi, Txn, TxnOutcome,
        memory::MemoryTable,
        retry::{Retry, RetryPolicy},
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// How often each fault occurs, in percent of the calls.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// The call does not reach the table.
    pub(crate) not_sent: u32,
    /// The table refuses the call because of its rate limit.
    pub(crate) refused: u32,
    /// The response is lost, and a write did not take effect.
    pub(crate) lost_before: u32,
    /// The response is lost, and a write took effect.
    pub(crate) lost_after: u32,
    /// The response is lost, and a write takes effect at some later time.
    pub(crate) delayed: u32,
}

/// How often each fault occurred.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) not_sent: u32,
    pub(crate) refused: u32,
    pub(crate) lost_before: u32,
    pub(crate) lost_after: u32,
    pub(crate) delayed: u32,
    /// Delayed transactions whose conditions held when they arrived.
    pub(crate) delayed_done: u32,
}

enum CallResult {
    Answered,
    NotSent,
    Refused,
    LostBefore,
    LostAfter,
    Delayed,
}

struct State {
    table: MemoryTable,
    objects: BTreeMap<String, Vec<u8>>,
    delayed: Vec<Txn>,
    faults: Faults,
    counts: Counts,
    rng: SmallRng,
}

/// The table with fault injection. Clones share their state.
#[derive(Clone)]
pub(crate) struct FakeTable(Rc<RefCell<State>>);

/// A copy of a table's contents.
pub(crate) struct Backup(MemoryTable);

impl FakeTable {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        Self(Rc::new(RefCell::new(State {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            delayed: Vec::new(),
            faults,
            counts: Counts::default(),
            rng: SmallRng::seed_from_u64(seed),
        })))
    }

    pub(crate) fn store(&self) -> CatalogueStore<Self> {
        self.store_with_attempts(6)
    }

    pub(crate) fn store_with_attempts(&self, max_attempts: u32) -> CatalogueStore<Self> {
        CatalogueStore::new(self.clone(), retry(max_attempts))
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        self.0.borrow_mut().faults = faults;
    }

    pub(crate) fn counts(&self) -> Counts {
        self.0.borrow().counts
    }

    pub(crate) fn keys(&self) -> Vec<String> {
        self.0.borrow().table.keys().map(str::to_owned).collect()
    }

    pub(crate) fn objects(&self) -> Vec<String> {
        self.0.borrow().objects.keys().cloned().collect()
    }

    pub(crate) fn backup(&self) -> Backup {
        Backup(self.0.borrow().table.clone())
    }

    /// Replaces the table's contents. Objects stay, as another service stores them.
    pub(crate) fn restore(&self, backup: &Backup) {
        self.0.borrow_mut().table.restore(&backup.0);
    }

    /// Executes all delayed transactions.
    pub(crate) fn deliver_delayed(&self) {
        let mut state = self.0.borrow_mut();
        while let Some(txn) = state.delayed.pop() {
            state.run_delayed(&txn);
        }
    }

    /// Yields to other tasks a random number of times.
    async fn yield_randomly(&self) {
        let yields = self.0.borrow_mut().rng.random_range(0..4);
        for _ in 0..yields {
            task::yield_now().await;
        }
    }
}

impl State {
    fn draw_result(&mut self) -> CallResult {
        let f = self.faults;
        let mut drawn = self.rng.random_range(0..100);
        for (percent, result) in [
            (f.not_sent, CallResult::NotSent),
            (f.refused, CallResult::Refused),
            (f.lost_before, CallResult::LostBefore),
            (f.lost_after, CallResult::LostAfter),
            (f.delayed, CallResult::Delayed),
        ] {
            if drawn < percent {
                return result;
            }
            drawn -= percent;
        }
        CallResult::Answered
    }

    fn run_delayed(&mut self, txn: &Txn) {
        if self.table.txn(txn).succeeded {
            self.counts.delayed_done += 1;
        }
    }
}

fn rate_limited() -> PlatformError {
    PlatformError::RateLimited {
        retry_after: Duration::ZERO,
    }
}

impl TableApi for FakeTable {
    async fn range(&self, range: &KeyRange, limit: usize) -> Result<Rows, PlatformError> {
        self.yield_randomly().await;
        let state = &mut *self.0.borrow_mut();
        match state.draw_result() {
            // A read has no effect that could follow a lost response, so these count as answered.
            CallResult::Answered | CallResult::LostAfter | CallResult::Delayed => {
                Ok(state.table.range(range, limit))
            }
            CallResult::Refused => Err(rate_limited()),
            CallResult::NotSent => Err(PlatformError::NotSent("fake".to_owned())),
            CallResult::LostBefore => Err(PlatformError::Unavailable("fake".to_owned())),
        }
    }

    async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, PlatformError> {
        self.yield_randomly().await;
        let state = &mut *self.0.borrow_mut();
        if !state.delayed.is_empty() && state.rng.random_bool(0.3) {
            let delayed = state.delayed.swap_remove(0);
            state.run_delayed(&delayed);
        }
        let unknown = Err(PlatformError::Unknown("fake".to_owned()));
        match state.draw_result() {
            CallResult::Answered => Ok(state.table.txn(txn)),
            CallResult::NotSent => {
                state.counts.not_sent += 1;
                Err(PlatformError::NotSent("fake".to_owned()))
            }
            CallResult::Refused => {
                state.counts.refused += 1;
                Err(rate_limited())
            }
            CallResult::LostBefore => {
                state.counts.lost_before += 1;
                unknown
            }
            CallResult::LostAfter => {
                state.counts.lost_after += 1;
                state.table.txn(txn);
                unknown
            }
            CallResult::Delayed => {
                state.counts.delayed += 1;
                state.delayed.push(txn.clone());
                unknown
            }
        }
    }
}

impl SnapshotStore for FakeTable {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(self.0.borrow().objects.get(key).cloned())
    }

    async fn put(&self, key: &str, body: &[u8]) -> Result<(), PlatformError> {
        let state = &mut *self.0.borrow_mut();
        state
            .objects
            .entry(key.to_owned())
            .or_insert_with(|| body.to_vec());
        Ok(())
    }
}

/// Up to `max_attempts` attempts without delays between them.
pub(crate) fn retry(max_attempts: u32) -> Retry {
    let policy = RetryPolicy {
        max_attempts,
        initial_backoff: Duration::ZERO,
        max_backoff: Duration::ZERO,
    };
    Retry::new(policy, 7)
}
