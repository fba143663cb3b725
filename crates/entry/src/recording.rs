//! Writes this host's records of calls that are not repeatable.
//!
//! [`Recording`] executes the actions of the [`Recorder`]: it runs the recorder's transactions on
//! the table and reports the results to the waiting requests.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_clock::{Clock, wall};
use dragonflyrill_delivery::record::{
    Action, Config, ExpiredPermit, Outcome, Permit, Record, RecordTicket, Recorder, TxnId,
};
use dragonflyrill_protocol::HostRef;
use dragonflyrill_store::table::{TableApi, TableCall};
use tokio::sync::{Notify, oneshot};

use crate::requests::{Refusal, RequestKey};

/// The timer waits at least this long before it runs the recorder, so that it can't starve the
/// arbiter.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// The timer waits at most this long before it runs the recorder.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The mean interval at which a host deletes the records of past buckets. Each interval is drawn
/// from 0.5 to 1.5 times this one, so that hosts don't delete at the same time. A bucket covers one
/// day; deleting a bucket that is already deleted costs one write.
const TRIM_INTERVAL: Duration = Duration::from_secs(6 * 3600);

/// The result of a request to record a call.
#[derive(Debug)]
pub enum RecordResult {
    /// This host has recorded the call and may dispatch it once.
    New(Permit),
    /// The call has a record already: this or another host has started it before.
    Existing(Record),
    /// The call was not run and won't be.
    Refused(Refusal),
}

struct WaitingCall {
    ticket: RecordTicket,
    tx: oneshot::Sender<RecordResult>,
}

/// The recorder of one host, with its timer and its table.
pub struct Recording {
    clock: Clock,
    recorder: RefCell<Recorder>,
    /// The calls that wait for their record. Only those of one group commit, so a list is enough.
    waiting: RefCell<Vec<WaitingCall>>,
    table: Table,
    /// When the timer fires next, by `clock`.
    timer_deadline: Cell<Duration>,
    timer_changed: Notify,
}

impl Recording {
    /// Creates the recorder of host `me` and starts its timer.
    pub fn new(clock: Clock, me: HostRef, table: Table) -> Rc<Self> {
        let unix_origin = Duration::from_millis(wall::epoch_ms()).saturating_sub(clock.now());
        let recording = Rc::new(Self {
            clock,
            recorder: RefCell::new(Recorder::new(Config::new(me, unix_origin))),
            waiting: RefCell::default(),
            table,
            timer_deadline: Cell::new(Duration::ZERO),
            timer_changed: Notify::new(),
        });
        actix_rt::spawn(recording.clone().run_timer());
        recording
    }

    /// Records the call `key`. Must return before any part of the call is sent to an endpoint.
    pub async fn begin(self: &Rc<Self>, key: &RequestKey, fingerprint: u64) -> RecordResult {
        let (tx, rx) = oneshot::channel();
        let full_id = format!("{}/{}", key.workspace, key.id);
        let mut actions = Vec::new();
        let ticket = {
            let mut recorder = self.recorder.borrow_mut();
            recorder.begin(self.clock.now(), &full_id, fingerprint, &mut actions)
        };
        self.waiting.borrow_mut().push(WaitingCall { ticket, tx });
        self.execute(actions);
        rx.await.unwrap_or_else(|_| {
            let kind = dragonflyrill_delivery::NotRunKind::NotReady;
            RecordResult::Refused(Refusal::new(kind, "the host is stopping"))
        })
    }

    /// Puts the outcome of a call that has ended into its record.
    pub fn finish(self: &Rc<Self>, ticket: RecordTicket, outcome: Outcome) {
        self.recorder
            .borrow_mut()
            .finish(self.clock.now(), ticket, outcome);
        self.execute(Vec::new());
    }

    /// Reports that a recorded call was not dispatched within the term of its permit and never will
    /// be.
    pub fn abandon(self: &Rc<Self>, expired: ExpiredPermit) {
        self.recorder
            .borrow_mut()
            .abandon(self.clock.now(), expired);
        self.execute(Vec::new());
    }

    fn execute(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CallTable { id, call } => {
                    actix_rt::spawn(self.clone().call_table(id, call));
                }
                Action::Recorded { ticket, permit } => {
                    self.answer(ticket, RecordResult::New(permit));
                }
                Action::AlreadyRecorded { ticket, record } => {
                    self.answer(ticket, RecordResult::Existing(record));
                }
                Action::Refused {
                    ticket,
                    kind,
                    retry_after,
                } => {
                    let message = "the call can't be recorded now, so it was not begun";
                    let message = message.to_owned();
                    let refusal = Refusal {
                        kind,
                        message,
                        retry_after,
                    };
                    self.answer(ticket, RecordResult::Refused(refusal));
                }
            }
        }
        let next = self.recorder.borrow().next_tick();
        if next.is_some_and(|next| next < self.timer_deadline.get()) {
            self.timer_changed.notify_one();
        }
    }

    fn answer(&self, ticket: RecordTicket, record_result: RecordResult) {
        let mut waiting = self.waiting.borrow_mut();
        if let Some(at) = waiting.iter().position(|w| w.ticket == ticket) {
            // If the call was abandoned while it waited, its permit is dropped, so the call is
            // never dispatched.
            let _ = waiting.swap_remove(at).tx.send(record_result);
        }
    }

    async fn call_table(self: Rc<Self>, id: TxnId, call: TableCall) {
        let result = self.table.call(&call).await;
        let mut actions = Vec::new();
        self.recorder
            .borrow_mut()
            .on_table_result(self.clock.now(), id, result, &mut actions);
        self.execute(actions);
    }

    async fn run_timer(self: Rc<Self>) {
        let mut trim_at = self.clock.now() + jitter(TRIM_INTERVAL);
        loop {
            let now = self.clock.now();
            if now >= trim_at {
                trim_at = now + jitter(TRIM_INTERVAL);
                let mut actions = Vec::new();
                self.recorder.borrow_mut().trim(now, &mut actions);
                self.execute(actions);
            }
            let latest = now + MAX_SLEEP;
            let next = self.recorder.borrow().next_tick().unwrap_or(latest);
            let next = next.clamp(now + MIN_SLEEP, latest);
            self.timer_deadline.set(next);
            tokio::select! {
                () = self.clock.sleep_until(next) => {
                    let mut actions = Vec::new();
                    self.recorder.borrow_mut().tick(self.clock.now(), &mut actions);
                    self.execute(actions);
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }
}

fn jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.5..1.5))
}
