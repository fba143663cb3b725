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
    Action, Config, Expired, Outcome, RecordTicket, TxnId,
    batch::{Batch, ENTRIES_PER_WRITE, Ending, Write},
    doubt::Doubt,
    row::{Bucket, Record, RecordState},
    verdict::{answer_known, unavailable},
};

/// The most ends of calls that wait for the table; the oldest go first.
const MAX_ENDINGS: usize = 4096;
/// The most keys that wait to be marked as abandoned; the oldest go first.
const MAX_DOUBTS: usize = 4096;

/// A call to the table under way.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Pending {
    Batch(Batch),
    Doubt(Doubt),
    Trim,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct InFlight {
    sent: Duration,
    pending: Pending,
}

/// A call that is neither refused nor over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Open {
    ticket: RecordTicket,
    fingerprint: u64,
}

/// Records calls that are not repeatable.
///
/// Invariants: a ticket is in at most one of `waiting`, `in_flight` and `ours`, and gets exactly one
/// of [`Action::Recorded`], [`Action::Refused`] and [`Action::Known`]; no ticket of a write in
/// `doubts` is ever given a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorder {
    pub(super) cfg: Config,
    next_ticket: u64,
    next_txn: u64,
    pub(super) waiting: VecDeque<Write>,
    /// When the oldest of `waiting` and `endings` came; `None` if both are empty.
    pub(super) waiting_since: Option<Duration>,
    pub(super) endings: VecDeque<Ending>,
    in_flight: BTreeMap<TxnId, InFlight>,
    /// The calls in `waiting`, `in_flight` and `ours`, by key.
    pub(super) open: BTreeMap<String, Open>,
    /// Recorded calls that have not ended.
    pub(super) ours: BTreeMap<RecordTicket, Write>,
    pub(super) doubts: VecDeque<Doubt>,
    pub(super) down_until: Duration,
}

impl Recorder {
    /// A recorder that has recorded nothing.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            next_ticket: 0,
            next_txn: 0,
            waiting: VecDeque::new(),
            waiting_since: None,
            endings: VecDeque::new(),
            in_flight: BTreeMap::new(),
            open: BTreeMap::new(),
            ours: BTreeMap::new(),
            doubts: VecDeque::new(),
            down_until: Duration::ZERO,
        }
    }

    /// Wants the call `key` recorded as ours. With the table out of reach it is refused at once.
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
            let record = self.begun(known.ticket, known.fingerprint);
            actions.push(answer_known(ticket, fingerprint, record));
            return ticket;
        }
        if now < self.down_until || self.waiting.len() >= self.cfg.max_waiting {
            let wait = self.down_until.saturating_sub(now).max(self.cfg.down_for);
            actions.push(unavailable(ticket, wait));
            return ticket;
        }
        let open = Open {
            ticket,
            fingerprint,
        };
        self.open.insert(key.to_owned(), open);
        self.waiting.push_back(Write {
            ticket,
            key: key.to_owned(),
            bucket: Bucket::at(&self.cfg, now),
            record: self.begun(ticket, fingerprint),
            began: now,
            takes_over: None,
            sent: 0,
            in_doubt: false,
        });
        self.waiting_since.get_or_insert(now);
        self.flush(now, actions);
        ticket
    }

    /// The recorded call `ticket` has ended.
    pub fn finish(&mut self, now: Duration, ticket: RecordTicket, outcome: Outcome) {
        let Some(write) = self.ours.remove(&ticket) else {
            return;
        };
        self.open.remove(&write.key);
        let state = match outcome {
            Outcome::Failed => RecordState::Failed,
            Outcome::Answered(answer) => RecordState::Done {
                answer: Some(answer).filter(|a| a.body.len() <= self.cfg.max_answer),
            },
        };
        if self.endings.len() == MAX_ENDINGS {
            self.endings.pop_front();
        }
        self.endings.push_back(Ending {
            key: write.bucket.key(&self.cfg, &write.key),
            record: Record {
                state,
                ..write.record
            },
            sent: 0,
        });
        self.waiting_since.get_or_insert(now);
    }

    /// The recorded call was not dispatched in time and never will be.
    pub fn abandon(&mut self, now: Duration, expired: Expired) {
        if let Some(write) = self.ours.remove(&expired.ticket) {
            self.open.remove(&write.key);
            self.doubt(now, write);
        }
    }

    /// Deletes the records of past buckets. One host at a time has to do this once in a while.
    pub fn trim(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Bucket(bucket) = Bucket::at(&self.cfg, now);
        let oldest = Bucket(0).key(&self.cfg, "");
        let kept = Bucket(bucket.saturating_sub(2)).key(&self.cfg, "");
        let call = TableCall::RemoveAll(KeyRange::between(&oldest, &kept));
        self.send(now, Pending::Trim, call, actions);
    }

    /// How the call `id` ended.
    pub fn table(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
        actions: &mut Vec<Action>,
    ) {
        let Some(InFlight { pending, .. }) = self.in_flight.remove(&id) else {
            return;
        };
        match pending {
            Pending::Trim => {}
            Pending::Doubt(doubt) => {
                let again = doubt.answered(&self.cfg, now, result);
                self.doubts.extend(again);
            }
            Pending::Batch(batch) => match result {
                Ok(outcome) => self.batch_done(now, batch, &outcome, actions),
                Err(error) => self.batch_failed(now, batch, &error, actions),
            },
        }
        self.flush(now, actions);
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.time_out(now, actions);
        self.flush(now, actions);
        self.settle_doubts(now, actions);
    }

    /// When [`Self::tick`] is due.
    pub fn next_tick(&self) -> Option<Duration> {
        let flush = self.waiting_since.map(|since| {
            let due = match self.has_slot() {
                true => since + self.cfg.interval,
                false => since + self.cfg.answer_within,
            };
            due.max(self.down_until)
        });
        let late = self.in_flight.values().map(|f| f.sent).min();
        let late = late.map(|sent| sent + self.cfg.answer_within);
        let doubt = self.doubts.iter().map(|d| d.due).min();
        let doubt = doubt.filter(|_| !self.is_settling());
        let doubt = doubt.map(|due| due.max(self.down_until));
        [flush, late, doubt].into_iter().flatten().min()
    }

    /// The record of a call of ours that is begun.
    fn begun(&self, ticket: RecordTicket, fingerprint: u64) -> Record {
        let host = &self.cfg.host;
        Record {
            write_id: format!("{}.{}.{}", host.id, host.incarnation, ticket.0),
            writer: host.clone(),
            fingerprint,
            state: RecordState::Begun,
        }
    }

    fn has_slot(&self) -> bool {
        let batches = self.in_flight.values();
        let batches = batches.filter(|f| matches!(f.pending, Pending::Batch(_)));
        batches.count() < self.cfg.max_in_flight
    }

    fn is_settling(&self) -> bool {
        let mut all = self.in_flight.values();
        all.any(|f| matches!(f.pending, Pending::Doubt(_)))
    }

    /// Sends what waits if it has waited long enough, or fills a transaction.
    fn flush(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(since) = self.waiting_since {
            let entries = self.waiting.len() * ENTRIES_PER_WRITE + self.endings.len();
            let due = now >= since + self.cfg.interval || entries >= self.cfg.max_entries;
            if !due || !self.has_slot() || now < self.down_until {
                return;
            }
            let batch = self.next_batch();
            self.waiting_since = match self.waiting.is_empty() && self.endings.is_empty() {
                true => None,
                false => Some(since),
            };
            let call = TableCall::Write(batch.txn(&self.cfg));
            self.send(now, Pending::Batch(batch), call, actions);
        }
    }

    fn next_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        let writes = (self.cfg.max_entries / ENTRIES_PER_WRITE).max(1);
        for mut write in self.waiting.drain(..self.waiting.len().min(writes)) {
            write.sent += 1;
            batch.writes.push(write);
        }
        let room = self
            .cfg
            .max_entries
            .saturating_sub(batch.writes.len() * ENTRIES_PER_WRITE);
        for mut ending in self.endings.drain(..self.endings.len().min(room)) {
            ending.sent += 1;
            batch.endings.push(ending);
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
        self.in_flight.insert(id, InFlight { sent: now, pending });
        actions.push(Action::Table { id, call });
    }

    pub(super) fn doubt(&mut self, now: Duration, write: Write) {
        if self.doubts.len() == MAX_DOUBTS {
            self.doubts.pop_front();
        }
        self.doubts.push_back(Doubt::new(now, write));
    }

    /// Gives up on transactions without an answer, and on inserts that could not be sent.
    fn time_out(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let within = self.cfg.answer_within;
        let is_late = |f: &InFlight| now >= f.sent + within;
        let late = self.in_flight.iter().filter(|(_, f)| is_late(f));
        let late: Vec<TxnId> = late.map(|(id, _)| *id).collect();
        for id in late {
            let error = PlatformError::Unknown("no answer in time".to_owned());
            self.table(now, id, Err(error), actions);
        }
        if self.has_slot() {
            return;
        }
        while let Some(write) = self.waiting.pop_front_if(|w| now >= w.began + within) {
            self.give_up(now, write, self.cfg.down_for, actions);
        }
        if self.waiting.is_empty() && self.endings.is_empty() {
            self.waiting_since = None;
        }
    }

    fn settle_doubts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.is_settling() || now < self.down_until {
            return;
        }
        let due = self.doubts.iter().position(|doubt| doubt.due <= now);
        if let Some(doubt) = due.and_then(|i| self.doubts.remove(i)) {
            let call = TableCall::Write(doubt.txn(&self.cfg));
            self.send(now, Pending::Doubt(doubt), call, actions);
        }
    }
}
