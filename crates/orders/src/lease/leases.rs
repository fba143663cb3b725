//! All leases that one host holds or watches.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_store::{
    error::PlatformError,
    table::{TableCall, TxnOutcome},
};

use super::{
    Fence, LeaseConfig, LeaseName,
    batch::{Batch, Part},
    slot::{InDoubt, Intent, Slot, Turn},
};
use crate::jitter::Jitter;

/// Doublings after which the wait between failed calls grows no more.
const MAX_DOUBLINGS: u32 = 16;

/// Identifies a transaction within one [`Leases`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TxnId(pub u64);

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the table once, without retries, and report to [`Leases::table`].
    Table {
        /// To be given back with the answer.
        id: TxnId,
        /// The call.
        call: TableCall,
    },
    /// This host holds the lease, or goes on under another fence.
    Held(LeaseName, Fence),
    /// This host no longer holds the lease.
    Lost(LeaseName),
}

/// All leases that one host holds or watches.
///
/// Call [`Leases::tick`] when [`Leases::next_tick`] says, and [`Leases::check`] as the last step
/// before each act under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leases {
    cfg: LeaseConfig,
    slots: BTreeMap<LeaseName, Slot>,
    batches: BTreeMap<TxnId, Batch>,
    last_txn: u64,
    last_write: u64,
    /// Calls that failed since one was answered.
    failures: u32,
    /// No call before this.
    paused_until: Duration,
    /// The highest revision of the table that was seen.
    table_revision: u64,
    jitter: Jitter,
}

impl Leases {
    /// No leases yet.
    pub fn new(cfg: LeaseConfig) -> Self {
        let jitter = Jitter::new(cfg.seed, cfg.jitter_percent);
        Self {
            cfg,
            slots: BTreeMap::new(),
            batches: BTreeMap::new(),
            last_txn: 0,
            last_write: 0,
            failures: 0,
            paused_until: Duration::ZERO,
            table_revision: 0,
            jitter,
        }
    }

    /// Begins to watch a lease and takes it when it is free. Idempotent.
    pub fn want(&mut self, now: Duration, name: &LeaseName) {
        if let Some(slot) = self.slots.get_mut(name) {
            slot.due = if slot.wanted { slot.due } else { now };
            slot.wanted = true;
        } else {
            self.slots.insert(name.clone(), Slot::new(now));
        }
    }

    /// Gives a lease back, or stops watching it. The right to act ends at once. Idempotent.
    pub fn unwant(&mut self, now: Duration, name: &LeaseName) {
        if let Some(slot) = self.slots.get_mut(name).filter(|slot| slot.wanted) {
            slot.wanted = false;
            slot.hold = None;
            slot.due = now;
        }
        self.forget();
    }

    /// Asks for a fence above `floor`, as when an endpoint has seen a higher one than the table
    /// knows: the table was restored to an older state. [`Action::Held`] tells the new one.
    pub fn raise(&mut self, now: Duration, name: &LeaseName, floor: Fence) {
        if let Some(slot) = self.slots.get_mut(name).filter(|s| s.floor < floor.0) {
            slot.floor = floor.0;
            slot.due = now;
        }
    }

    /// The fence of a lease held at `now`.
    pub fn held(&self, now: Duration, name: &LeaseName) -> Option<Fence> {
        self.slots.get(name)?.held(now)
    }

    /// Whether an act under `fence` is still allowed. `now` is read from the clock for this call,
    /// and nothing but the act itself comes after it.
    pub fn check(&self, now: Duration, name: &LeaseName, fence: Fence) -> bool {
        self.held(now, name) == Some(fence)
    }

    /// When to call [`Leases::tick`] next.
    pub fn next_tick(&self) -> Option<Duration> {
        let ends = self.slots.values().filter_map(|slot| slot.hold);
        let ends = ends.map(|hold| hold.until);
        let idle = self.slots.values().filter(|slot| slot.busy.is_none());
        let dues = idle.map(|slot| slot.due.max(self.paused_until));
        let limit = self.cfg.answer_limit;
        let limits = self.batches.values().map(|batch| batch.sent + limit);
        ends.chain(dues).chain(limits).min()
    }

    /// Ends lapsed holds and asks the table for what is due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.give_up_calls(now, actions);
        for (name, slot) in &mut self.slots {
            if slot.hold.is_some_and(|hold| hold.until <= now) {
                log::warn!("lease: {name}: lapsed");
                slot.hold = None;
                actions.push(Action::Lost(name.clone()));
            }
        }
        self.forget();
        if now < self.paused_until {
            return;
        }
        for intent in [Intent::Keep, Intent::Acquire, Intent::Read] {
            self.send_due(now, intent, actions);
        }
    }

    /// Takes in the answer to a transaction. An answer that comes after the call was given up, or
    /// twice, is ignored.
    pub fn table(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
        actions: &mut Vec<Action>,
    ) {
        let Some(batch) = self.batches.remove(&id) else {
            return;
        };
        for part in &batch.parts {
            if let Some(slot) = self.slots.get_mut(&part.name) {
                slot.busy = None;
            }
        }
        match result {
            Ok(outcome) => self.answered(now, batch, &outcome, actions),
            Err(cause) => self.failed(now, batch, &cause),
        }
        self.tick(now, actions);
    }

    fn answered(
        &mut self,
        now: Duration,
        batch: Batch,
        outcome: &TxnOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.failures = 0;
        self.notice_restore(now, batch.revision, outcome.table_revision);
        let results = batch.results(outcome);
        for (part, known) in batch.parts.into_iter().zip(results) {
            let Some(slot) = self.slots.get_mut(&part.name) else {
                continue;
            };
            if let Some(row) = part.write.filter(|_| outcome.succeeded) {
                slot.in_doubt = vec![InDoubt {
                    row,
                    sent: batch.sent,
                }];
            }
            let turn = slot.learn(now, known, &self.cfg);
            slot.due = due_after(slot, now, batch.sent, &self.cfg, &mut self.jitter);
            report(part.name, turn, actions);
        }
    }

    fn failed(&mut self, now: Duration, batch: Batch, cause: &PlatformError) {
        log::warn!("lease: table call failed: {cause}");
        if cause.is_unknown() {
            for part in batch.parts {
                let slot = self.slots.get_mut(&part.name);
                if let Some((slot, row)) = slot.zip(part.write) {
                    slot.doubt(InDoubt {
                        row,
                        sent: batch.sent,
                    });
                }
            }
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let mean = self.cfg.retry_first.saturating_mul(1 << doublings);
        let wait = self.jitter.around(mean.min(self.cfg.retry_max));
        let wait = wait.max(cause.retry_after().unwrap_or_default());
        self.paused_until = now + wait;
    }

    /// A table that answers with an older revision than was known when it was asked was restored
    /// to an older state. A row there may be older than the one its holder acts under, so all
    /// waits begin anew.
    fn notice_restore(&mut self, now: Duration, before: u64, revision: u64) {
        if revision >= before {
            self.table_revision = self.table_revision.max(revision);
            return;
        }
        log::error!("lease: the table went back from revision {before} to {revision}");
        self.table_revision = revision;
        for slot in self.slots.values_mut() {
            slot.since = now;
        }
    }

    fn give_up_calls(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let limit = self.cfg.answer_limit;
        let late = self.batches.iter().filter(|(_, b)| b.sent + limit <= now);
        let late: Vec<_> = late.map(|(id, _)| *id).collect();
        for id in late {
            let cause = PlatformError::Unknown("no answer in time".to_owned());
            self.table(now, id, Err(cause), actions);
        }
    }

    fn send_due(&mut self, now: Duration, intent: Intent, actions: &mut Vec<Action>) {
        let wants = |slot: &Slot, early| {
            slot.due <= now + early && slot.intent(now, &self.cfg) == Some(intent)
        };
        if !self.slots.values().any(|slot| wants(slot, Duration::ZERO)) {
            return;
        }
        // What is due soon comes along, so that leases end up in one transaction.
        let early = match intent {
            Intent::Keep => self.cfg.renew_every / 2,
            Intent::Read => self.cfg.poll_every / 2,
            Intent::Acquire => Duration::ZERO,
        };
        let due = self.slots.iter().filter(|(_, slot)| wants(slot, early));
        let names: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        for names in names.chunks(self.cfg.batch.max(1)) {
            self.send(now, intent, names, actions);
        }
    }

    fn send(
        &mut self,
        now: Duration,
        intent: Intent,
        names: &[LeaseName],
        actions: &mut Vec<Action>,
    ) {
        self.last_txn += 1;
        let id = TxnId(self.last_txn);
        let mut parts = Vec::with_capacity(names.len());
        for name in names {
            let write_id = self.next_write_id(intent);
            let slot = self.slots.get_mut(name).expect("the name is a slot's");
            slot.busy = Some(id);
            parts.push(Part {
                name: name.clone(),
                base: slot.known.clone(),
                write: write_id.map(|write_id| slot.next_row(now, &self.cfg, write_id)),
            });
        }
        let batch = Batch {
            intent,
            sent: now,
            revision: self.table_revision,
            parts,
        };
        let call = batch.call();
        self.batches.insert(id, batch);
        actions.push(Action::Table { id, call });
    }

    fn next_write_id(&mut self, intent: Intent) -> Option<String> {
        if intent == Intent::Read {
            return None;
        }
        self.last_write += 1;
        let me = &self.cfg.me;
        Some(format!("{}/{}/{}", me.id, me.incarnation, self.last_write))
    }

    fn forget(&mut self) {
        let cfg = &self.cfg;
        self.slots.retain(|_, slot| !slot.is_done(cfg));
    }
}

/// When to ask for a lease again after an answer.
fn due_after(
    slot: &Slot,
    now: Duration,
    sent: Duration,
    cfg: &LeaseConfig,
    jitter: &mut Jitter,
) -> Duration {
    if slot.is_mine(cfg) {
        let renewed = slot.wanted && slot.hold.is_some_and(|hold| hold.until == sent + cfg.term);
        return match renewed {
            true => sent + jitter.around(cfg.renew_every),
            // A part of a batch that another lease failed, or one to be released.
            false => now,
        };
    }
    let poll = now + jitter.around(cfg.poll_every);
    match slot.takeover_at(cfg) {
        Some(at) => poll.min(at.max(now)),
        None => poll,
    }
}

fn report(name: LeaseName, turn: Turn, actions: &mut Vec<Action>) {
    match turn {
        Turn::Same => {}
        Turn::Held(fence) => {
            log::info!("lease: {name}: held with fence {}", fence.0);
            actions.push(Action::Held(name, fence));
        }
        Turn::Lost => {
            log::warn!("lease: {name}: lost to another host");
            actions.push(Action::Lost(name));
        }
    }
}
