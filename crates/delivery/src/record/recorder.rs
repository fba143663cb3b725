//! The recorder of one host.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use dragonflyrill_store::{
    PlatformError,
    table::{KeyRange, TableCall, TxnOutcome},
};

use super::{
    Action, Config, ExpiredPermit, Outcome, RecordTicket, TxnId,
    abandoned::AbandonedInsert,
    batch::{Batch, EndUpdate, Insert, MAX_ENTRIES_PER_INSERT},
    results::{already_recorded, unavailable},
    row::{Bucket, Record, RecordState},
};

/// The maximum number of queued end updates; beyond it the oldest are dropped.
const MAX_QUEUED_END_UPDATES: usize = 4096;
/// The maximum number of abandoned inserts whose keys wait to be marked; beyond it the oldest are
/// dropped.
const MAX_QUEUED_ABANDONED: usize = 4096;

/// A call to the table that is in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Pending {
    Batch(Batch),
    Mark(AbandonedInsert),
    Trim,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct InFlightTxn {
    sent_at: Duration,
    pending: Pending,
}

/// A call that was neither refused nor finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OpenCall {
    ticket: RecordTicket,
    fingerprint: u64,
}

/// Records calls that are not repeatable.
///
/// Invariants: a ticket is in at most one of `waiting`, `in_flight` and `recorded`, and gets
/// exactly one of [`Action::Recorded`], [`Action::Refused`] and [`Action::AlreadyRecorded`]; the
/// ticket of an insert in `abandoned` never gets a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorder {
    pub(super) cfg: Config,
    next_ticket: u64,
    next_txn: u64,
    pub(super) waiting: VecDeque<Insert>,
    /// When the oldest entry of `waiting` and `end_updates` was queued; `None` if both are empty.
    pub(super) waiting_since: Option<Duration>,
    pub(super) end_updates: VecDeque<EndUpdate>,
    in_flight: BTreeMap<TxnId, InFlightTxn>,
    /// The calls in `waiting`, `in_flight` and `recorded`, by key.
    pub(super) open: BTreeMap<String, OpenCall>,
    /// The inserts of recorded calls that have not ended.
    pub(super) recorded: BTreeMap<RecordTicket, Insert>,
    pub(super) abandoned: VecDeque<AbandonedInsert>,
    pub(super) unavailable_until: Duration,
}

impl Recorder {
    /// Makes a recorder that has recorded nothing.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            next_ticket: 0,
            next_txn: 0,
            waiting: VecDeque::new(),
            waiting_since: None,
            end_updates: VecDeque::new(),
            in_flight: BTreeMap::new(),
            open: BTreeMap::new(),
            recorded: BTreeMap::new(),
            abandoned: VecDeque::new(),
            unavailable_until: Duration::ZERO,
        }
    }

    /// Starts to record the call `key` for this host. The call is refused at once while the table
    /// is unavailable or the queue of inserts is full.
    pub fn begin(
        &mut self,
        now: Duration,
        key: &str,
        fingerprint: u64,
        actions: &mut Vec<Action>,
    ) -> RecordTicket {
        let ticket = RecordTicket(self.next_ticket);
        self.next_ticket += 1;
        if let Some(known) = self.open.get(key) {
            let record = self.begun_record(known.ticket, known.fingerprint);
            actions.push(already_recorded(ticket, fingerprint, record));
            return ticket;
        }
        if now < self.unavailable_until || self.waiting.len() >= self.cfg.max_waiting {
            let wait = self
                .unavailable_until
                .saturating_sub(now)
                .max(self.cfg.unavailable_backoff);
            actions.push(unavailable(ticket, wait));
            return ticket;
        }
        let open = OpenCall {
            ticket,
            fingerprint,
        };
        self.open.insert(key.to_owned(), open);
        self.waiting.push_back(Insert {
            ticket,
            key: key.to_owned(),
            bucket: Bucket::at(&self.cfg, now),
            record: self.begun_record(ticket, fingerprint),
            started_at: now,
            replaces: None,
            sends: 0,
            in_doubt: false,
        });
        self.waiting_since.get_or_insert(now);
        self.flush(now, actions);
        ticket
    }

    /// Handles the end of the recorded call `ticket`: queues an update of its record.
    pub fn finish(&mut self, now: Duration, ticket: RecordTicket, outcome: Outcome) {
        let Some(insert) = self.recorded.remove(&ticket) else {
            return;
        };
        self.open.remove(&insert.key);
        let state = match outcome {
            Outcome::Failed => RecordState::Failed,
            Outcome::Answered(answer) => RecordState::Done {
                answer: Some(answer).filter(|a| a.body.len() <= self.cfg.max_answer_bytes),
            },
        };
        if self.end_updates.len() == MAX_QUEUED_END_UPDATES {
            self.end_updates.pop_front();
        }
        self.end_updates.push_back(EndUpdate {
            key: insert.bucket.key(&self.cfg, &insert.key),
            record: Record {
                state,
                ..insert.record
            },
            sends: 0,
        });
        self.waiting_since.get_or_insert(now);
    }

    /// Abandons a recorded call that was not dispatched within its term and never will be.
    pub fn abandon(&mut self, now: Duration, expired: ExpiredPermit) {
        if let Some(insert) = self.recorded.remove(&expired.ticket) {
            self.open.remove(&insert.key);
            self.queue_abandoned(now, insert);
        }
    }

    /// Deletes the records of past buckets. One host at a time has to do this periodically.
    pub fn trim(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Bucket(bucket) = Bucket::at(&self.cfg, now);
        let oldest = Bucket(0).key(&self.cfg, "");
        let kept = Bucket(bucket.saturating_sub(2)).key(&self.cfg, "");
        let call = TableCall::RemoveAll(KeyRange::between(&oldest, &kept));
        self.send(now, Pending::Trim, call, actions);
    }

    /// Handles the result of the call to the table with the id `id`.
    pub fn on_table_result(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
        actions: &mut Vec<Action>,
    ) {
        let Some(InFlightTxn { pending, .. }) = self.in_flight.remove(&id) else {
            return;
        };
        match pending {
            Pending::Trim => {}
            Pending::Mark(insert) => {
                let to_retry = insert.on_answer(&self.cfg, now, result);
                self.abandoned.extend(to_retry);
            }
            Pending::Batch(batch) => match result {
                Ok(outcome) => self.on_batch_outcome(now, batch, &outcome, actions),
                Err(error) => self.on_batch_error(now, batch, &error, actions),
            },
        }
        self.flush(now, actions);
    }

    /// Handles everything that is due at `now`.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.expire_overdue(now, actions);
        self.flush(now, actions);
        self.mark_next_abandoned(now, actions);
    }

    /// When [`Self::tick`] is due.
    pub fn next_tick(&self) -> Option<Duration> {
        let next_flush = self.waiting_since.map(|since| {
            let due = match self.has_free_slot() {
                true => since + self.cfg.batch_interval,
                false => since + self.cfg.answer_timeout,
            };
            due.max(self.unavailable_until)
        });
        let next_timeout = self.in_flight.values().map(|f| f.sent_at).min();
        let next_timeout = next_timeout.map(|sent_at| sent_at + self.cfg.answer_timeout);
        let next_mark = self.abandoned.iter().map(|d| d.due).min();
        let next_mark = next_mark.filter(|_| !self.is_marking());
        let next_mark = next_mark.map(|due| due.max(self.unavailable_until));
        [next_flush, next_timeout, next_mark]
            .into_iter()
            .flatten()
            .min()
    }

    /// The record, in state `Begun`, of a call of this host.
    fn begun_record(&self, ticket: RecordTicket, fingerprint: u64) -> Record {
        let host = &self.cfg.host;
        Record {
            write_id: format!("{}.{}.{}", host.id, host.incarnation, ticket.0),
            writer: host.clone(),
            fingerprint,
            state: RecordState::Begun,
        }
    }

    fn has_free_slot(&self) -> bool {
        let batches = self.in_flight.values();
        let batches = batches.filter(|f| matches!(f.pending, Pending::Batch(_)));
        batches.count() < self.cfg.max_in_flight
    }

    fn is_marking(&self) -> bool {
        let mut all = self.in_flight.values();
        all.any(|f| matches!(f.pending, Pending::Mark(_)))
    }

    /// Sends queued inserts and end updates if they have waited for the batch interval or fill a
    /// transaction.
    fn flush(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(since) = self.waiting_since {
            let entries = self.waiting.len() * MAX_ENTRIES_PER_INSERT + self.end_updates.len();
            let due = now >= since + self.cfg.batch_interval || entries >= self.cfg.max_txn_entries;
            if !due || !self.has_free_slot() || now < self.unavailable_until {
                return;
            }
            let batch = self.next_batch();
            self.waiting_since = match self.waiting.is_empty() && self.end_updates.is_empty() {
                true => None,
                false => Some(since),
            };
            let call = TableCall::Write(batch.txn(&self.cfg));
            self.send(now, Pending::Batch(batch), call, actions);
        }
    }

    fn next_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        let inserts = (self.cfg.max_txn_entries / MAX_ENTRIES_PER_INSERT).max(1);
        for mut insert in self.waiting.drain(..self.waiting.len().min(inserts)) {
            insert.sends += 1;
            batch.inserts.push(insert);
        }
        let free_entries = self
            .cfg
            .max_txn_entries
            .saturating_sub(batch.inserts.len() * MAX_ENTRIES_PER_INSERT);
        for mut end_update in self
            .end_updates
            .drain(..self.end_updates.len().min(free_entries))
        {
            end_update.sends += 1;
            batch.end_updates.push(end_update);
        }
        batch
    }

    fn send(
        &mut self,
        now: Duration,
        pending: Pending,
        call: TableCall,
        actions: &mut Vec<Action>,
    ) {
        let id = TxnId(self.next_txn);
        self.next_txn += 1;
        self.in_flight.insert(
            id,
            InFlightTxn {
                sent_at: now,
                pending,
            },
        );
        actions.push(Action::CallTable { id, call });
    }

    pub(super) fn queue_abandoned(&mut self, now: Duration, insert: Insert) {
        if self.abandoned.len() == MAX_QUEUED_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(AbandonedInsert::new(now, insert));
    }

    /// Fails overdue transactions, and refuses the calls of inserts that waited too long to be
    /// sent.
    fn expire_overdue(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let timeout = self.cfg.answer_timeout;
        let is_overdue = |f: &InFlightTxn| now >= f.sent_at + timeout;
        let timed_out = self.in_flight.iter().filter(|(_, f)| is_overdue(f));
        let timed_out: Vec<TxnId> = timed_out.map(|(id, _)| *id).collect();
        for id in timed_out {
            let error = PlatformError::Unknown("no answer in time".to_owned());
            self.on_table_result(now, id, Err(error), actions);
        }
        if self.has_free_slot() {
            return;
        }
        while let Some(insert) = self.waiting.pop_front_if(|w| now >= w.started_at + timeout) {
            self.refuse(now, insert, self.cfg.unavailable_backoff, actions);
        }
        if self.waiting.is_empty() && self.end_updates.is_empty() {
            self.waiting_since = None;
        }
    }

    fn mark_next_abandoned(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.is_marking() || now < self.unavailable_until {
            return;
        }
        let due = self.abandoned.iter().position(|insert| insert.due <= now);
        if let Some(insert) = due.and_then(|i| self.abandoned.remove(i)) {
            let call = TableCall::Write(insert.txn(&self.cfg));
            self.send(now, Pending::Mark(insert), call, actions);
        }
    }
}
