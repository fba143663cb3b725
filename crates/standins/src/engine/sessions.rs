//! The sessions of all requests of an engine, in a bounded number of slots.

use std::{collections::VecDeque, sync::Arc};

use dragonflyrill_engines::wire::{self, StepRefusal};
use rustc_hash::FxHashMap;

use super::{
    outcome::Refusal,
    session::{Session, StepId},
};

/// The maximum number of cancelled requests whose records are kept.
const MAX_CANCEL_RECORDS: usize = 100_000;

/// The attempts of a cancelled request that are refused, whether or not it has a session.
#[derive(Debug, Clone, Copy, Default)]
struct CancelRecord {
    /// Attempts up to this one were cancelled.
    cancelled: Option<u32>,
    /// Attempts before this one are stale.
    newest_attempt: u32,
}

/// The sessions of one engine.
#[derive(Debug)]
pub(super) struct Sessions {
    max: usize,
    idle_ms: u64,
    /// The sessions by request id; at most `max`.
    sessions: FxHashMap<String, Session>,
    /// The cancelled requests by id.
    cancelled: FxHashMap<String, CancelRecord>,
    /// The keys of `cancelled`, oldest first.
    cancel_order: VecDeque<String>,
}

impl Sessions {
    pub(super) fn new(max: usize, idle_ms: u64) -> Self {
        Self {
            max,
            idle_ms,
            sessions: FxHashMap::default(),
            cancelled: FxHashMap::default(),
            cancel_order: VecDeque::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Removes all sessions; the records of cancelled requests stay.
    pub(super) fn clear(&mut self) {
        self.sessions.clear();
    }

    pub(super) fn get(&self, request: &str) -> Option<&Session> {
        self.sessions.get(request)
    }

    pub(super) fn get_mut(&mut self, request: &str) -> Option<&mut Session> {
        self.sessions.get_mut(request)
    }

    /// Checks that the step's attempt is neither cancelled nor older than the newest one received.
    pub(super) fn check_attempt(&self, step: &wire::Step) -> Result<(), StepRefusal> {
        let record = self.cancel_record(&step.request);
        if record.cancelled >= Some(step.attempt) {
            return Err(StepRefusal::Cancelled);
        }
        let session = self.get(&step.request);
        if step.attempt < session.map_or(record.newest_attempt, |session| session.newest_attempt) {
            return Err(StepRefusal::StaleAttempt);
        }
        Ok(())
    }

    /// Checks that the step starts at the end of its session, or that it ran already.
    pub(super) fn check_position(&self, step: &wire::Step) -> Result<(), StepRefusal> {
        let session = self.get(&step.request).ok_or(StepRefusal::Position)?;
        if step.start != session.position && session.result_of(StepId::of(step)).is_none() {
            return Err(StepRefusal::Position);
        }
        Ok(())
    }

    /// Checks whether a step that passed [`Self::check_attempt`] may run after the pending ones, and
    /// creates the session of a new request.
    pub(super) fn admit(
        &mut self,
        now_ms: u64,
        step: &wire::Step,
        draining: bool,
    ) -> Result<(), StepRefusal> {
        if let Some(session) = self.get_mut(&step.request) {
            return admit_known(session, now_ms, step);
        }
        if draining {
            return Err(StepRefusal::Leaving);
        }
        if step.start != 0 {
            return Err(StepRefusal::Position);
        }
        if !self.free_slot(now_ms) {
            return Err(StepRefusal::Busy);
        }
        let session = Session::new(step, now_ms);
        self.sessions.insert(step.request.clone(), session);
        Ok(())
    }

    /// Records the cancel of an attempt, and removes the session of the request unless a newer attempt
    /// ran.
    pub(super) fn cancel(&mut self, cancel: &wire::Cancel) {
        let mut record = self.cancel_record(&cancel.request);
        record.cancelled = record.cancelled.max(Some(cancel.attempt));
        record.newest_attempt = record.newest_attempt.max(cancel.attempt);
        if let Some(session) = self.sessions.get(&cancel.request) {
            record.newest_attempt = record.newest_attempt.max(session.newest_attempt);
            if session.ran_attempt <= cancel.attempt {
                self.sessions.remove(&cancel.request);
            }
        }
        self.record_cancel(&cancel.request, record);
    }

    /// Replaces the session of a request by a checkpoint, which has to fit the loaded model and layers.
    pub(super) fn import(
        &mut self,
        now_ms: u64,
        kv: &wire::KvCheckpoint,
        draining: bool,
    ) -> Result<(), Refusal> {
        let record = self.cancel_record(&kv.request);
        if record.cancelled >= Some(kv.attempt) || record.newest_attempt > kv.attempt {
            return Err(Refusal::Stale);
        }
        match self.get(&kv.request).map(|session| session.newest_attempt) {
            Some(newest_attempt) if newest_attempt > kv.attempt => return Err(Refusal::Stale),
            Some(_) => {}
            None if draining || !self.free_slot(now_ms) => return Err(Refusal::Busy),
            None => {}
        }
        let session = Session::import(kv, now_ms);
        self.sessions.insert(kv.request.clone(), session);
        Ok(())
    }

    fn cancel_record(&self, request: &str) -> CancelRecord {
        self.cancelled.get(request).copied().unwrap_or_default()
    }

    fn record_cancel(&mut self, request: &str, record: CancelRecord) {
        if self.cancelled.insert(request.to_owned(), record).is_some() {
            return;
        }
        self.cancel_order.push_back(request.to_owned());
        if self.cancel_order.len() > MAX_CANCEL_RECORDS
            && let Some(oldest) = self.cancel_order.pop_front()
        {
            self.cancelled.remove(&oldest);
        }
    }

    /// Returns whether a slot is free. If none is, evicts the session that has been idle longest, provided
    /// that it has been idle for `idle_ms`.
    fn free_slot(&mut self, now_ms: u64) -> bool {
        if self.sessions.len() < self.max {
            return true;
        }
        let idle_ms = self.idle_ms;
        let old = |session: &&Session| {
            session.is_idle() && session.last_used_ms.saturating_add(idle_ms) <= now_ms
        };
        let idle = self.sessions.values().filter(old);
        let Some(oldest) = idle.min_by_key(|session| session.last_used_ms) else {
            return false;
        };
        let request = Arc::clone(&oldest.request);
        self.sessions.remove(request.as_ref()).is_some()
    }
}

fn admit_known(session: &mut Session, now_ms: u64, step: &wire::Step) -> Result<(), StepRefusal> {
    session.newest_attempt = step.attempt;
    session.last_used_ms = now_ms;
    if step.layers != session.layers {
        return Err(StepRefusal::Layers);
    }
    let id = StepId::of(step);
    let known = session.result_of(id).is_some() || session.is_pending(id);
    if !known && step.start != session.end_of_pending(step.attempt) {
        return Err(StepRefusal::Position);
    }
    Ok(())
}
