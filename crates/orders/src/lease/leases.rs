//! The state machine of all leases that one host holds or watches.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_store::{
    error::PlatformError,
    table::{TableCall, TxnOutcome},
};

use super::{
    Fence, LeaseConfig, LeaseName,
    batch::{Batch, BatchEntry},
    slot::{HoldChange, Intent, Slot, UnconfirmedWrite},
};
use crate::jitter::Jitter;

/// The largest number of doublings of the delay between failed calls.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Identifies a transaction within one [`Leases`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TxnId(pub u64);

/// An action for the driver to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the table once, without retries, and report the result to
    /// [`Leases::handle_table_result`].
    CallTable {
        /// Identifies the transaction; passed back with the result.
        id: TxnId,
        /// The call to make.
        call: TableCall,
    },
    /// This host acquired the lease, or continues to hold it under another fence.
    Held(LeaseName, Fence),
    /// This host no longer holds the lease, because its term ended or its row changed. Not returned
    /// after [`Leases::release`].
    Lost(LeaseName),
}

/// The leases that one host holds or watches.
///
/// The driver calls [`Leases::tick`] at the time that [`Leases::next_tick`] returns, and
/// [`Leases::check`] as the last step before each action under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leases {
    cfg: LeaseConfig,
    slots: BTreeMap<LeaseName, Slot>,
    batches: BTreeMap<TxnId, Batch>,
    last_txn: u64,
    last_write: u64,
    /// Consecutive failed calls.
    consecutive_failures: u32,
    /// No call is sent before this time.
    paused_until: Duration,
    /// The highest table revision seen since the table was last restored.
    table_revision: u64,
    jitter: Jitter,
}

impl Leases {
    /// Creates a state machine without leases.
    pub fn new(cfg: LeaseConfig) -> Self {
        let jitter = Jitter::new(cfg.seed, cfg.jitter_percent);
        Self {
            cfg,
            slots: BTreeMap::new(),
            batches: BTreeMap::new(),
            last_txn: 0,
            last_write: 0,
            consecutive_failures: 0,
            paused_until: Duration::ZERO,
            table_revision: 0,
            jitter,
        }
    }

    /// Starts to watch a lease, and acquires it once it is free. Idempotent.
    pub fn request(&mut self, now: Duration, name: &LeaseName) {
        if let Some(slot) = self.slots.get_mut(name) {
            slot.next_call_at = if slot.requested {
                slot.next_call_at
            } else {
                now
            };
            slot.requested = true;
        } else {
            self.slots.insert(name.clone(), Slot::new(now));
        }
    }

    /// Releases a lease, or stops watching it. The right to act under it ends immediately.
    /// Idempotent.
    pub fn release(&mut self, now: Duration, name: &LeaseName) {
        if let Some(slot) = self.slots.get_mut(name).filter(|slot| slot.requested) {
            slot.requested = false;
            slot.hold = None;
            slot.next_call_at = now;
        }
        self.remove_unused_slots();
    }

    /// Requests a fence above `floor`. Needed when an endpoint has seen a higher fence than the one
    /// in the table, because the table was restored to an older state. [`Action::Held`] reports the
    /// new fence.
    pub fn raise_fence(&mut self, now: Duration, name: &LeaseName, floor: Fence) {
        if let Some(slot) = self.slots.get_mut(name).filter(|s| s.fence_floor < floor.0) {
            slot.fence_floor = floor.0;
            slot.next_call_at = now;
        }
    }

    /// Returns the fence of the lease if this host holds it at `now`.
    pub fn held_fence(&self, now: Duration, name: &LeaseName) -> Option<Fence> {
        self.slots.get(name)?.held_fence(now)
    }

    /// Returns whether an action under `fence` is still allowed. The caller reads `now` from the
    /// clock immediately before this call, and executes the action immediately after it.
    pub fn check(&self, now: Duration, name: &LeaseName, fence: Fence) -> bool {
        self.held_fence(now, name) == Some(fence)
    }

    /// Returns when to call [`Leases::tick`] next.
    pub fn next_tick(&self) -> Option<Duration> {
        let ends = self.slots.values().filter_map(|slot| slot.hold);
        let ends = ends.map(|hold| hold.expires_at);
        let idle = self
            .slots
            .values()
            .filter(|slot| slot.pending_txn.is_none());
        let dues = idle.map(|slot| slot.next_call_at.max(self.paused_until));
        let limit = self.cfg.answer_timeout;
        let limits = self.batches.values().map(|batch| batch.sent_at + limit);
        ends.chain(dues).chain(limits).min()
    }

    /// Ends expired holds, times out calls and sends the calls that are due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.time_out_calls(now, actions);
        for (name, slot) in &mut self.slots {
            if slot.hold.is_some_and(|hold| hold.expires_at <= now) {
                log::warn!("lease: {name}: the lease expired");
                slot.hold = None;
                actions.push(Action::Lost(name.clone()));
            }
        }
        self.remove_unused_slots();
        if now < self.paused_until {
            return;
        }
        for intent in [Intent::Update, Intent::Acquire, Intent::Read] {
            self.send_due_calls(now, intent, actions);
        }
    }

    /// Applies the result of a transaction. A result that arrives after the call timed out, or a
    /// second time, is ignored.
    pub fn handle_table_result(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
        actions: &mut Vec<Action>,
    ) {
        let Some(batch) = self.batches.remove(&id) else {
            return;
        };
        for entry in &batch.entries {
            if let Some(slot) = self.slots.get_mut(&entry.name) {
                slot.pending_txn = None;
            }
        }
        match result {
            Ok(outcome) => self.apply_outcome(now, batch, &outcome, actions),
            Err(cause) => self.handle_failure(now, batch, &cause),
        }
        self.tick(now, actions);
    }

    fn apply_outcome(
        &mut self,
        now: Duration,
        batch: Batch,
        outcome: &TxnOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.consecutive_failures = 0;
        self.detect_restore(now, batch.known_revision, outcome.table_revision);
        let results = batch.results(outcome);
        for (entry, row_state) in batch.entries.into_iter().zip(results) {
            let Some(slot) = self.slots.get_mut(&entry.name) else {
                continue;
            };
            if let Some(row) = entry.write.filter(|_| outcome.succeeded) {
                slot.unconfirmed = vec![UnconfirmedWrite {
                    row,
                    sent_at: batch.sent_at,
                }];
            }
            let hold_change = slot.observe(now, row_state, &self.cfg);
            slot.next_call_at =
                next_call_after(slot, now, batch.sent_at, &self.cfg, &mut self.jitter);
            push_hold_change(entry.name, hold_change, actions);
        }
    }

    fn handle_failure(&mut self, now: Duration, batch: Batch, cause: &PlatformError) {
        log::warn!("lease: the table call failed: {cause}");
        if cause.is_unknown() {
            for entry in batch.entries {
                let slot = self.slots.get_mut(&entry.name);
                if let Some((slot, row)) = slot.zip(entry.write) {
                    slot.add_unconfirmed(UnconfirmedWrite {
                        row,
                        sent_at: batch.sent_at,
                    });
                }
            }
        }
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let mean = self.cfg.initial_retry_delay.saturating_mul(1 << doublings);
        let wait = self.jitter.apply(mean.min(self.cfg.max_retry_delay));
        let wait = wait.max(cause.retry_after().unwrap_or_default());
        self.paused_until = now + wait;
    }

    /// Detects that the table was restored to an older state: its revision is lower than the
    /// revision known when the call was sent. A restored row may be older than the row under which
    /// its holder still acts, so all waits before a takeover start again.
    fn detect_restore(&mut self, now: Duration, before: u64, revision: u64) {
        if revision >= before {
            self.table_revision = self.table_revision.max(revision);
            return;
        }
        log::error!("lease: the table was restored from revision {before} to {revision}");
        self.table_revision = revision;
        for slot in self.slots.values_mut() {
            slot.row_state_since = now;
        }
    }

    fn time_out_calls(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let limit = self.cfg.answer_timeout;
        let timed_out = self
            .batches
            .iter()
            .filter(|(_, b)| b.sent_at + limit <= now);
        let timed_out: Vec<_> = timed_out.map(|(id, _)| *id).collect();
        for id in timed_out {
            let cause = PlatformError::Unknown("no answer in time".to_owned());
            self.handle_table_result(now, id, Err(cause), actions);
        }
    }

    fn send_due_calls(&mut self, now: Duration, intent: Intent, actions: &mut Vec<Action>) {
        let is_due = |slot: &Slot, lead_time| {
            slot.next_call_at <= now + lead_time && slot.intent(now, &self.cfg) == Some(intent)
        };
        if !self.slots.values().any(|slot| is_due(slot, Duration::ZERO)) {
            return;
        }
        // Leases that are due soon join the batch, so that later calls of all leases coincide.
        let lead_time = match intent {
            Intent::Update => self.cfg.renew_interval / 2,
            Intent::Read => self.cfg.poll_interval / 2,
            Intent::Acquire => Duration::ZERO,
        };
        let due = self
            .slots
            .iter()
            .filter(|(_, slot)| is_due(slot, lead_time));
        let names: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        for names in names.chunks(self.cfg.max_batch.max(1)) {
            self.send_batch(now, intent, names, actions);
        }
    }

    fn send_batch(
        &mut self,
        now: Duration,
        intent: Intent,
        names: &[LeaseName],
        actions: &mut Vec<Action>,
    ) {
        self.last_txn += 1;
        let id = TxnId(self.last_txn);
        let mut entries = Vec::with_capacity(names.len());
        for name in names {
            let write_id = self.next_write_id(intent);
            let slot = self.slots.get_mut(name).expect("each name has a slot");
            slot.pending_txn = Some(id);
            entries.push(BatchEntry {
                name: name.clone(),
                expected: slot.row_state.clone(),
                write: write_id.map(|write_id| slot.next_row(now, &self.cfg, write_id)),
            });
        }
        let batch = Batch {
            intent,
            sent_at: now,
            known_revision: self.table_revision,
            entries,
        };
        let call = batch.call();
        self.batches.insert(id, batch);
        actions.push(Action::CallTable { id, call });
    }

    fn next_write_id(&mut self, intent: Intent) -> Option<String> {
        if intent == Intent::Read {
            return None;
        }
        self.last_write += 1;
        let me = &self.cfg.me;
        Some(format!("{}/{}/{}", me.id, me.incarnation, self.last_write))
    }

    fn remove_unused_slots(&mut self) {
        let cfg = &self.cfg;
        self.slots.retain(|_, slot| !slot.is_removable(cfg));
    }
}

/// Returns when to make the next call for a lease after a successful call.
fn next_call_after(
    slot: &Slot,
    now: Duration,
    sent_at: Duration,
    cfg: &LeaseConfig,
    jitter: &mut Jitter,
) -> Duration {
    if slot.is_own_row(cfg) {
        let renewed = slot.requested
            && slot
                .hold
                .is_some_and(|hold| hold.expires_at == sent_at + cfg.term);
        return match renewed {
            true => sent_at + jitter.apply(cfg.renew_interval),
            // The batch failed because of another lease, or this lease is to be released.
            false => now,
        };
    }
    let poll = now + jitter.apply(cfg.poll_interval);
    match slot.takeover_at(cfg) {
        Some(at) => poll.min(at.max(now)),
        None => poll,
    }
}

fn push_hold_change(name: LeaseName, hold_change: HoldChange, actions: &mut Vec<Action>) {
    match hold_change {
        HoldChange::Unchanged => {}
        HoldChange::Held(fence) => {
            log::info!("lease: {name}: held with fence {}", fence.0);
            actions.push(Action::Held(name, fence));
        }
        HoldChange::Lost => {
            log::warn!("lease: {name}: the lease is lost because its row has changed");
            actions.push(Action::Lost(name));
        }
    }
}
