//! Records of calls that are not repeatable, as this host writes them.
//!
//! [`Recording`] carries out what the recorder asks for: it runs its transactions on the table and
//! answers the requests that wait for them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_delivery::record::{
    Action, Config, ExpiredPermit, Outcome, Permit, Record, RecordTicket, Recorder, TxnId,
};
use dragonflyrill_protocol::HostRef;
use dragonflyrill_store::table::{TableApi, TableCall};
use tokio::sync::{Notify, oneshot};

use crate::{
    clock::{Clock, wall_ms},
    requests::{Refusal, RequestKey},
};

/// The recorder is looked at this often at most by the timer, so that it can't starve the arbiter.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);
/// The recorder is looked at this often at least.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// How often a host deletes the records of past buckets, give or take half, so that hosts don't do
/// so together. A bucket lasts a day; deleting what is gone already costs one write.
const TRIM_EVERY: Duration = Duration::from_secs(6 * 3600);

/// What became of a request to record a call.
#[derive(Debug)]
pub enum Recorded {
    /// It may be dispatched, once.
    Ours(Permit),
    /// It was begun before, here or elsewhere.
    Known(Record),
    /// It was not run and won't be.
    Refused(Refusal),
}

struct Waiting {
    ticket: RecordTicket,
    tx: oneshot::Sender<Recorded>,
}

/// The recorder of one host.
pub struct Recording {
    clock: Clock,
    recorder: RefCell<Recorder>,
    /// Few at a time: those of one group commit.
    waiting: RefCell<Vec<Waiting>>,
    table: Table,
    /// When the timer goes off next.
    armed: Cell<Duration>,
    rearm: Notify,
}

impl Recording {
    /// The recorder of host `me`.
    pub fn new(clock: Clock, me: HostRef, table: Table) -> Rc<Self> {
        let unix_origin = Duration::from_millis(wall_ms()).saturating_sub(clock.now());
        let recording = Rc::new(Self {
            clock,
            recorder: RefCell::new(Recorder::new(Config::new(me, unix_origin))),
            waiting: RefCell::default(),
            table,
            armed: Cell::new(Duration::ZERO),
            rearm: Notify::new(),
        });
        actix_rt::spawn(recording.clone().run_timer());
        recording
    }

    /// Records the call `key` before anything of it leaves for an endpoint.
    pub async fn begin(self: &Rc<Self>, key: &RequestKey, fingerprint: u64) -> Recorded {
        let (tx, rx) = oneshot::channel();
        let name = format!("{}/{}", key.workspace, key.id);
        let mut actions = Vec::new();
        let ticket = {
            let mut recorder = self.recorder.borrow_mut();
            recorder.begin(self.clock.now(), &name, fingerprint, &mut actions)
        };
        self.waiting.borrow_mut().push(Waiting { ticket, tx });
        self.carry_out(actions);
        rx.await.unwrap_or_else(|_| {
            let kind = dragonflyrill_delivery::NotRunKind::NotReady;
            Recorded::Refused(Refusal::new(kind, "the host is stopping"))
        })
    }

    /// The recorded call has ended.
    pub fn finish(self: &Rc<Self>, ticket: RecordTicket, outcome: Outcome) {
        self.recorder
            .borrow_mut()
            .finish(self.clock.now(), ticket, outcome);
        self.carry_out(Vec::new());
    }

    /// The recorded call was not dispatched in time and never will be.
    pub fn abandon(self: &Rc<Self>, expired: ExpiredPermit) {
        self.recorder
            .borrow_mut()
            .abandon(self.clock.now(), expired);
        self.carry_out(Vec::new());
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CallTable { id, call } => {
                    actix_rt::spawn(self.clone().call_table(id, call));
                }
                Action::Recorded { ticket, permit } => {
                    self.answer(ticket, Recorded::Ours(permit));
                }
                Action::AlreadyRecorded { ticket, record } => {
                    self.answer(ticket, Recorded::Known(record));
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
                    self.answer(ticket, Recorded::Refused(refusal));
                }
            }
        }
        let next = self.recorder.borrow().next_tick();
        if next.is_some_and(|next| next < self.armed.get()) {
            self.rearm.notify_one();
        }
    }

    fn answer(&self, ticket: RecordTicket, recorded: Recorded) {
        let mut waiting = self.waiting.borrow_mut();
        if let Some(at) = waiting.iter().position(|w| w.ticket == ticket) {
            // A call that was given up while it waited drops its permit, so it is never dispatched.
            let _ = waiting.swap_remove(at).tx.send(recorded);
        }
    }

    async fn call_table(self: Rc<Self>, id: TxnId, call: TableCall) {
        let result = self.table.call(&call).await;
        let mut actions = Vec::new();
        self.recorder
            .borrow_mut()
            .on_table_result(self.clock.now(), id, result, &mut actions);
        self.carry_out(actions);
    }

    async fn run_timer(self: Rc<Self>) {
        let mut trim_at = self.clock.now() + spread(TRIM_EVERY);
        loop {
            let now = self.clock.now();
            if now >= trim_at {
                trim_at = now + spread(TRIM_EVERY);
                let mut actions = Vec::new();
                self.recorder.borrow_mut().trim(now, &mut actions);
                self.carry_out(actions);
            }
            let latest = now + LONGEST_SLEEP;
            let next = self.recorder.borrow().next_tick().unwrap_or(latest);
            let next = next.clamp(now + SHORTEST_SLEEP, latest);
            self.armed.set(next);
            tokio::select! {
                () = actix_rt::time::sleep(next.saturating_sub(now)) => {
                    let mut actions = Vec::new();
                    self.recorder.borrow_mut().tick(self.clock.now(), &mut actions);
                    self.carry_out(actions);
                }
                () = self.rearm.notified() => {}
            }
        }
    }
}

fn spread(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.5..1.5))
}
