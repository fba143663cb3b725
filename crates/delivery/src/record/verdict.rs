//! What becomes of inserts when their transaction is answered, or is not.

use std::time::Duration;

use dragonflyrill_store::{
    PlatformError,
    table::{Row, TxnOutcome},
};

use super::{
    Action, Permit, RecordTicket, Recorder,
    batch::{self, Batch, CONDITIONS_PER_WRITE, Ending, Write},
    doubt::Doubt,
    row::{Record, RecordState, Seen},
};
use crate::error::NotRunKind;

/// How often the end of a call is sent.
const ENDING_TRIES: u32 = 8;

impl Recorder {
    pub(super) fn batch_done(
        &mut self,
        now: Duration,
        batch: Batch,
        outcome: &TxnOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.down_until = Duration::ZERO;
        if outcome.succeeded {
            for write in batch.writes {
                self.recorded(now, write, actions);
            }
            return;
        }
        let mut rows = outcome.rows.chunks(CONDITIONS_PER_WRITE);
        for write in batch.writes {
            let found: &[Option<Row>] = rows.next().unwrap_or_default();
            self.not_inserted(now, write, batch::newest(found), actions);
        }
        self.end_again(now, batch.endings);
    }

    /// Sends ends once more whose transaction was not done because of an insert's condition. That
    /// does not count as a try: each time it happens, the insert is settled.
    fn end_again(&mut self, now: Duration, endings: Vec<Ending>) {
        for mut ending in endings.into_iter().rev() {
            ending.sent -= 1;
            self.endings.push_front(ending);
            self.waiting_since.get_or_insert(now);
        }
    }

    /// The write's row is in the table.
    fn recorded(&mut self, now: Duration, write: Write, actions: &mut Vec<Action>) {
        let until = write.began + self.cfg.term;
        if now >= until {
            self.give_up(now, write, self.cfg.down_for, actions);
            return;
        }
        let ticket = write.ticket;
        self.ours.insert(ticket, write);
        let permit = Permit { ticket, until };
        actions.push(Action::Recorded { ticket, permit });
    }

    /// The transaction did nothing; `row` is what stands under the write's key.
    fn not_inserted(
        &mut self,
        now: Duration,
        mut write: Write,
        row: Option<&Row>,
        actions: &mut Vec<Action>,
    ) {
        let Some(row) = row else {
            // Another key of the transaction was there.
            write.takes_over = None;
            self.again(now, write, self.cfg.down_for, actions);
            return;
        };
        let Some(found) = Record::decode(row) else {
            self.give_up(now, write, self.cfg.down_for, actions);
            return;
        };
        if found.write_id == write.record.write_id && found.state == RecordState::Begun {
            self.recorded(now, write, actions);
            return;
        }
        if self.is_abandoned(&found) {
            write.takes_over = Some(Seen::of(row));
            self.again(now, write, self.cfg.down_for, actions);
            return;
        }
        self.open.remove(&write.key);
        actions.push(answer_known(write.ticket, write.record.fingerprint, found));
    }

    /// Whether the call of `found` was not dispatched and never will be.
    fn is_abandoned(&self, found: &Record) -> bool {
        let given_up = |doubt: &Doubt| doubt.write_id() == found.write_id;
        found.state == RecordState::Abandoned
            || (found.state == RecordState::Begun && self.doubts.iter().any(given_up))
    }

    pub(super) fn batch_failed(
        &mut self,
        now: Duration,
        batch: Batch,
        error: &PlatformError,
        actions: &mut Vec<Action>,
    ) {
        let wait = error.retry_after().unwrap_or(self.cfg.down_for);
        if !error.is_unknown() {
            self.down_until = now + wait;
        }
        for mut write in batch.writes {
            write.in_doubt |= error.is_unknown();
            match error.is_unknown() {
                true => self.again(now, write, wait, actions),
                false => self.give_up(now, write, wait, actions),
            }
        }
        for ending in batch.endings {
            if ending.sent < ENDING_TRIES {
                self.endings.push_back(ending);
                self.waiting_since.get_or_insert(now);
            }
        }
    }

    /// Sends the write once more at once, if it may.
    fn again(&mut self, now: Duration, write: Write, wait: Duration, actions: &mut Vec<Action>) {
        if write.sent >= self.cfg.tries || now >= write.began + self.cfg.term {
            if write.in_doubt {
                self.down_until = now + wait;
            }
            self.give_up(now, write, wait, actions);
            return;
        }
        let due = now.saturating_sub(self.cfg.interval);
        self.waiting_since = Some(self.waiting_since.map_or(due, |since| since.min(due)));
        self.waiting.push_front(write);
    }

    /// Refuses the call. From here on its ticket is unknown, so it is never dispatched.
    pub(super) fn give_up(
        &mut self,
        now: Duration,
        write: Write,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.open.remove(&write.key);
        actions.push(unavailable(write.ticket, wait));
        if write.in_doubt || now >= write.began + self.cfg.term {
            self.doubt(now, write);
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

pub(super) fn answer_known(ticket: RecordTicket, fingerprint: u64, record: Record) -> Action {
    match record.fingerprint == fingerprint {
        true => Action::Known { ticket, record },
        false => Action::Refused {
            ticket,
            kind: NotRunKind::KeyReused,
            retry_after: None,
        },
    }
}
