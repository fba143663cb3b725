//! How the recorder handles the outcome or the error of a transaction with inserts.

use std::time::Duration;

use dragonflyrill_store::{
    PlatformError,
    table::{Row, TxnOutcome},
};

use super::{
    Action, Permit, RecordTicket, Recorder,
    abandoned::AbandonedInsert,
    batch::{self, Batch, CONDITIONS_PER_INSERT, EndUpdate, Insert},
    row::{Record, RecordState, RowVersion},
};
use crate::error::NotRunKind;

/// The maximum number of times that an end update is sent.
const MAX_END_UPDATE_SENDS: u32 = 8;

impl Recorder {
    pub(super) fn on_batch_outcome(
        &mut self,
        now: Duration,
        batch: Batch,
        outcome: &TxnOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.unavailable_until = Duration::ZERO;
        if outcome.succeeded {
            for insert in batch.inserts {
                self.on_recorded(now, insert, actions);
            }
            return;
        }
        let mut rows = outcome.rows.chunks(CONDITIONS_PER_INSERT);
        for insert in batch.inserts {
            let found: &[Option<Row>] = rows.next().unwrap_or_default();
            self.on_insert_conflict(now, insert, batch::newest_row(found), actions);
        }
        self.requeue_end_updates(now, batch.end_updates);
    }

    /// Queues end updates again after a condition of an insert made their transaction fail. Such a
    /// failure is not counted in `sends`, as each one resolves the insert that caused it.
    fn requeue_end_updates(&mut self, now: Duration, end_updates: Vec<EndUpdate>) {
        for mut end_update in end_updates.into_iter().rev() {
            end_update.sends -= 1;
            self.end_updates.push_front(end_update);
            self.waiting_since.get_or_insert(now);
        }
    }

    /// Handles an insert whose row is in the table: permits the call, or refuses it after its term.
    fn on_recorded(&mut self, now: Duration, insert: Insert, actions: &mut Vec<Action>) {
        let until = insert.started_at + self.cfg.term;
        if now >= until {
            self.refuse(now, insert, self.cfg.unavailable_backoff, actions);
            return;
        }
        let ticket = insert.ticket;
        self.recorded.insert(ticket, insert);
        let permit = Permit { ticket, until };
        actions.push(Action::Recorded { ticket, permit });
    }

    /// Handles an insert whose transaction had no effect; `row` is the existing row under the
    /// insert's key.
    fn on_insert_conflict(
        &mut self,
        now: Duration,
        mut insert: Insert,
        row: Option<&Row>,
        actions: &mut Vec<Action>,
    ) {
        let Some(row) = row else {
            // Another key of the transaction existed.
            insert.replaces = None;
            self.retry(now, insert, self.cfg.unavailable_backoff, actions);
            return;
        };
        let Some(found) = Record::decode(row) else {
            self.refuse(now, insert, self.cfg.unavailable_backoff, actions);
            return;
        };
        if found.write_id == insert.record.write_id && found.state == RecordState::Begun {
            self.on_recorded(now, insert, actions);
            return;
        }
        if self.is_abandoned(&found) {
            insert.replaces = Some(RowVersion::of(row));
            self.retry(now, insert, self.cfg.unavailable_backoff, actions);
            return;
        }
        self.open.remove(&insert.key);
        actions.push(already_recorded(
            insert.ticket,
            insert.record.fingerprint,
            found,
        ));
    }

    /// Whether the call of the record `found` was not dispatched and never will be.
    fn is_abandoned(&self, found: &Record) -> bool {
        let wrote_row = |abandoned: &AbandonedInsert| abandoned.write_id() == found.write_id;
        found.state == RecordState::Abandoned
            || (found.state == RecordState::Begun && self.abandoned.iter().any(wrote_row))
    }

    pub(super) fn on_batch_error(
        &mut self,
        now: Duration,
        batch: Batch,
        error: &PlatformError,
        actions: &mut Vec<Action>,
    ) {
        let wait = error.retry_after().unwrap_or(self.cfg.unavailable_backoff);
        if !error.is_unknown() {
            self.unavailable_until = now + wait;
        }
        for mut insert in batch.inserts {
            insert.in_doubt |= error.is_unknown();
            match error.is_unknown() {
                true => self.retry(now, insert, wait, actions),
                false => self.refuse(now, insert, wait, actions),
            }
        }
        for end_update in batch.end_updates {
            if end_update.sends < MAX_END_UPDATE_SENDS {
                self.end_updates.push_back(end_update);
                self.waiting_since.get_or_insert(now);
            }
        }
    }

    /// Queues the insert to be sent at once, or refuses its call if no retry is left.
    fn retry(&mut self, now: Duration, insert: Insert, wait: Duration, actions: &mut Vec<Action>) {
        if insert.sends >= self.cfg.max_insert_sends || now >= insert.started_at + self.cfg.term {
            if insert.in_doubt {
                self.unavailable_until = now + wait;
            }
            self.refuse(now, insert, wait, actions);
            return;
        }
        let due = now.saturating_sub(self.cfg.batch_interval);
        self.waiting_since = Some(self.waiting_since.map_or(due, |since| since.min(due)));
        self.waiting.push_front(insert);
    }

    /// Refuses the call. From now on its ticket is unknown, so the call is never dispatched. An
    /// insert that may have taken effect is queued to be marked as abandoned.
    pub(super) fn refuse(
        &mut self,
        now: Duration,
        insert: Insert,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.open.remove(&insert.key);
        actions.push(unavailable(insert.ticket, wait));
        if insert.in_doubt || now >= insert.started_at + self.cfg.term {
            self.queue_abandoned(now, insert);
        }
    }
}

pub(super) fn unavailable(ticket: RecordTicket, wait: Duration) -> Action {
    Action::Refused {
        ticket,
        kind: NotRunKind::RecordUnavailable,
        retry_after: Some(wait),
    }
}

pub(super) fn already_recorded(ticket: RecordTicket, fingerprint: u64, record: Record) -> Action {
    match record.fingerprint == fingerprint {
        true => Action::AlreadyRecorded { ticket, record },
        false => Action::Refused {
            ticket,
            kind: NotRunKind::KeyReused,
            retry_after: None,
        },
    }
}
