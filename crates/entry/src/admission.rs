//! Admission: the owners' limits as this host takes part in them.
//!
//! [`Admission`] carries out what the limiter asks for: it answers waiting requests, sends messages
//! about rights to peers by way of the control arbiter, and runs transactions on the table.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_catalogue::{Catalogue, DataCentre, Entry, entry::LimitEntry};
use dragonflyrill_delivery::NotRunKind;
use dragonflyrill_limits as limits;
use dragonflyrill_protocol::{HostRef, Message, rights};
use dragonflyrill_store::table::{TableApi, TableCall};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, oneshot};

use crate::{
    clock::Clock,
    control::{ControlSender, actor::Event},
    host::PeerInfo,
    requests::Refusal,
};

/// The most requests that wait under one limit.
const QUEUE: usize = 1024;
/// The limiter is looked at this often at most by the timer, also when it waits for something that
/// is overdue, so that the timer can't starve the arbiter.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);
/// The limiter is looked at this often at least.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Whether the right under which a request runs stands.
#[derive(Debug, Default)]
pub struct Gate {
    suspended: Cell<bool>,
    changed: Notify,
}

impl Gate {
    /// Whether nothing of the request may run now.
    pub fn is_suspended(&self) -> bool {
        self.suspended.get()
    }

    /// Waits until the gate opens or closes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn set(&self, suspended: bool) {
        self.suspended.set(suspended);
        self.changed.notify_waiters();
    }
}

type Verdict = Result<(), Refusal>;

/// A request known to the limiter.
struct Open {
    /// Taken once the verdict is given.
    verdict: Option<oneshot::Sender<Verdict>>,
    gate: Rc<Gate>,
}

/// The limits on one host.
pub struct Admission {
    clock: Clock,
    limiter: RefCell<limits::HostLimiter>,
    open: RefCell<FxHashMap<limits::Ticket, Open>>,
    control: ControlSender,
    table: Table,
    /// When the timer goes off next.
    armed: Cell<Duration>,
    rearm: Notify,
    /// Whether the host has stopped: nothing is done any more.
    stopped: Cell<bool>,
}

/// Permission to run one request. Settles its ticket when dropped.
pub struct Permit {
    admission: Rc<Admission>,
    ticket: limits::Ticket,
    gate: Rc<Gate>,
    used: Cell<u32>,
}

impl Permit {
    /// Whether the right under which the request runs stands.
    pub fn gate(&self) -> &Rc<Gate> {
        &self.gate
    }

    /// Says how many tokens the request has used so far.
    pub fn used(&self, tokens: u32) {
        self.used.set(tokens);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.settle(self.ticket, self.used.get());
    }
}

/// An ask that waits. Withdrawn when dropped before its verdict.
struct Pending {
    admission: Rc<Admission>,
    ticket: limits::Ticket,
    answered: bool,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.answered {
            self.admission.withdraw(self.ticket);
        }
    }
}

impl Admission {
    /// The limits on host `me`, which knows none yet.
    pub fn new(
        clock: Clock,
        me: HostRef,
        data_centre: DataCentre,
        control: ControlSender,
        table: Table,
    ) -> Rc<Self> {
        let cfg = limits::Config {
            me,
            data_centre,
            seed: rand::random(),
            terms: limits::Terms::default(),
            max_queued_per_key: QUEUE,
        };
        let admission = Rc::new(Self {
            clock,
            limiter: RefCell::new(limits::HostLimiter::new(cfg)),
            open: RefCell::default(),
            control,
            table,
            armed: Cell::new(Duration::ZERO),
            rearm: Notify::new(),
            stopped: Cell::new(false),
        });
        actix_rt::spawn(admission.clone().run_timer());
        admission
    }

    /// Waits until a request may run, or is refused.
    pub async fn admit(self: &Rc<Self>, ask: &limits::AdmissionRequest) -> Result<Permit, Refusal> {
        let (tx, rx) = oneshot::channel();
        let gate = Rc::new(Gate::default());
        let mut actions = Vec::new();
        let ticket =
            self.limiter
                .borrow_mut()
                .request_admission(self.clock.now(), ask, &mut actions);
        let open = Open {
            verdict: Some(tx),
            gate: gate.clone(),
        };
        self.open.borrow_mut().insert(ticket, open);
        let mut pending = Pending {
            admission: self.clone(),
            ticket,
            answered: false,
        };
        self.carry_out(actions);
        let verdict = rx.await;
        pending.answered = true;
        match verdict {
            Ok(Ok(())) => {
                let (admission, used) = (self.clone(), Cell::new(0));
                Ok(Permit {
                    admission,
                    ticket,
                    gate,
                    used,
                })
            }
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new(NotRunKind::NotReady, "the host is stopping")),
        }
    }

    /// Takes over the limits in force.
    pub fn configure(self: &Rc<Self>, catalogue: &Catalogue) {
        let limits: Vec<LimitEntry> = catalogue.entries().filter_map(as_limit).cloned().collect();
        let data_centres = data_centres(catalogue);
        let weights: Vec<_> = catalogue.entries().filter_map(as_weight).collect();
        let declared = limits::Declaration {
            revision: catalogue.revision().0,
            data_centres: &data_centres,
            limits: &limits,
            weights: &weights,
        };
        self.with(|limiter, now, actions| limiter.configure(now, &declared, actions));
    }

    /// Takes over the view of which hosts live.
    pub fn peers(self: &Rc<Self>, peers: &[PeerInfo]) {
        let peers: Vec<_> = peers
            .iter()
            .map(|p| limits::Peer {
                host: p.host.clone(),
                data_centre: p.data_centre.clone(),
            })
            .collect();
        self.with(|limiter, now, actions| limiter.set_peers(now, &peers, actions));
    }

    /// Takes in a message of a peer.
    pub fn receive(self: &Rc<Self>, from: &HostRef, message: rights::Message) {
        self.with(|limiter, now, actions| limiter.receive(now, from, message, actions));
    }

    /// Hands all rights to lend over to the other hosts.
    pub fn leave(self: &Rc<Self>) {
        self.with(|limiter, now, actions| limiter.hand_over(now, actions));
    }

    /// Ends all that the limiter does, as the end of the process would.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// What operators see.
    pub fn status(&self) -> limits::Status {
        self.limiter.borrow().status(self.clock.now())
    }

    fn settle(self: &Rc<Self>, ticket: limits::Ticket, used: u32) {
        self.open.borrow_mut().remove(&ticket);
        self.with(|limiter, now, actions| limiter.settle(now, ticket, used, actions));
    }

    fn withdraw(self: &Rc<Self>, ticket: limits::Ticket) {
        self.open.borrow_mut().remove(&ticket);
        self.with(|limiter, now, actions| limiter.withdraw(now, ticket, actions));
    }

    fn with(
        self: &Rc<Self>,
        event: impl FnOnce(&mut limits::HostLimiter, Duration, &mut Vec<limits::Action>),
    ) {
        let mut actions = Vec::new();
        event(
            &mut self.limiter.borrow_mut(),
            self.clock.now(),
            &mut actions,
        );
        self.carry_out(actions);
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<limits::Action>) {
        for action in actions {
            match action {
                limits::Action::Admit(ticket) => self.answer(ticket, Ok(())),
                limits::Action::Refuse {
                    ticket,
                    refusal,
                    retry_after,
                } => {
                    self.answer(ticket, Err(refused(refusal, retry_after)));
                    self.open.borrow_mut().remove(&ticket);
                }
                limits::Action::Suspend(ticket) => self.suspend(ticket, true),
                limits::Action::Resume(ticket) => self.suspend(ticket, false),
                limits::Action::Send { to, message } => {
                    // Closed means that the host is stopping.
                    let _ = self.control.send(Event::Send(to, Message::Rights(message)));
                }
                limits::Action::Table { id, call } => {
                    actix_rt::spawn(self.clone().call_table(id, call));
                }
            }
        }
        let next = self.limiter.borrow().next_tick(self.clock.now());
        if next < self.armed.get() {
            self.rearm.notify_one();
        }
    }

    async fn call_table(self: Rc<Self>, id: limits::TxnId, call: TableCall) {
        let result = self.table.call(&call).await;
        self.with(|limiter, now, actions| limiter.handle_table_answer(now, id, result, actions));
    }

    fn answer(&self, ticket: limits::Ticket, verdict: Verdict) {
        let mut open = self.open.borrow_mut();
        let tx = open.get_mut(&ticket).and_then(|o| o.verdict.take());
        if let Some(tx) = tx {
            // The request may have been given up at this very moment; its ticket is withdrawn.
            let _ = tx.send(verdict);
        }
    }

    fn suspend(&self, ticket: limits::Ticket, suspended: bool) {
        if let Some(open) = self.open.borrow().get(&ticket) {
            open.gate.set(suspended);
        }
    }

    async fn run_timer(self: Rc<Self>) {
        while !self.stopped.get() {
            let now = self.clock.now();
            let next = self.limiter.borrow().next_tick(now);
            let next = next.clamp(now + SHORTEST_SLEEP, now + LONGEST_SLEEP);
            self.armed.set(next);
            tokio::select! {
                () = actix_rt::time::sleep(next.saturating_sub(now)) => {
                    self.with(|limiter, now, actions| limiter.tick(now, actions));
                }
                () = self.rearm.notified() => {}
            }
        }
    }
}

fn refused(refusal: limits::Refusal, retry_after: Duration) -> Refusal {
    match refusal {
        limits::Refusal::NoLimit => Refusal::new(
            NotRunKind::NoLimit,
            "the workspace has no limit for this work",
        ),
        limits::Refusal::TooLarge => Refusal::new(
            NotRunKind::TooLarge,
            "the request is larger than the limit's burst",
        ),
        limits::Refusal::OverLimit => Refusal::later(
            NotRunKind::OverLimit,
            "the workspace's limit is in use",
            retry_after,
        ),
    }
}

fn as_limit(entry: &Entry) -> Option<&LimitEntry> {
    match entry {
        Entry::Limit(e) => Some(e),
        _ => None,
    }
}

fn as_weight(entry: &Entry) -> Option<(dragonflyrill_catalogue::WorkspaceName, u32)> {
    match entry {
        Entry::Workspace(e) => Some((e.name.clone(), e.weight)),
        _ => None,
    }
}

/// The data centres over which limits are split, in order.
fn data_centres(catalogue: &Catalogue) -> Vec<DataCentre> {
    let declared = catalogue.entries().filter_map(|entry| match entry {
        Entry::DataCentre(e) => Some(e.name.clone()),
        _ => None,
    });
    declared.collect()
}
