//! Admits requests under the limits of their workspaces, which all hosts share.
//!
//! [`Admission`] executes the actions of the limiter: it answers waiting requests, sends messages
//! about rights to peers through the control arbiter, and runs transactions on the table.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_adapter::store::Table;
use dragonflyrill_catalogue::{Catalogue, DataCentre, Entry, entry::LimitEntry};
use dragonflyrill_clock::Clock;
use dragonflyrill_delivery::NotRunKind;
use dragonflyrill_limits as limits;
use dragonflyrill_protocol::{HostRef, Message, rights};
use dragonflyrill_store::table::{TableApi, TableCall};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, oneshot};

use crate::{
    control::{ControlSender, actor::Event},
    host::PeerInfo,
    requests::Refusal,
};

/// The maximum number of requests that wait under one limit.
const MAX_QUEUED_PER_LIMIT: usize = 1024;
/// The timer waits at least this long before it runs the limiter, also when the limiter's next tick
/// is overdue, so that the timer can't starve the arbiter.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// The timer waits at most this long before it runs the limiter.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Whether the right under which a request runs is valid or suspended.
#[derive(Debug, Default)]
pub struct Gate {
    suspended: Cell<bool>,
    changed: Notify,
}

impl Gate {
    /// Whether the right is suspended, so that no part of the request may run now.
    pub fn is_suspended(&self) -> bool {
        self.suspended.get()
    }

    /// Waits until the right is next suspended or resumed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn set(&self, suspended: bool) {
        self.suspended.set(suspended);
        self.changed.notify_waiters();
    }
}

type Verdict = Result<(), Refusal>;

/// A request that the limiter has queued or admitted.
struct OpenRequest {
    /// `None` once the verdict is sent.
    verdict: Option<oneshot::Sender<Verdict>>,
    gate: Rc<Gate>,
}

/// The admission of requests on one host.
pub struct Admission {
    clock: Clock,
    limiter: RefCell<limits::HostLimiter>,
    open: RefCell<FxHashMap<limits::Ticket, OpenRequest>>,
    control: ControlSender,
    table: Table,
    /// When the timer fires next, by `clock`.
    timer_deadline: Cell<Duration>,
    timer_changed: Notify,
    /// Whether the host has stopped, so that the timer no longer runs the limiter.
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
    /// The gate that tells whether the right under which the request runs is suspended.
    pub fn gate(&self) -> &Rc<Gate> {
        &self.gate
    }

    /// Sets the number of tokens that the request has used so far.
    pub fn set_used(&self, tokens: u32) {
        self.used.set(tokens);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.settle(self.ticket, self.used.get());
    }
}

/// A request that waits for its verdict. Withdrawn if dropped before.
struct PendingRequest {
    admission: Rc<Admission>,
    ticket: limits::Ticket,
    answered: bool,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.answered {
            self.admission.withdraw(self.ticket);
        }
    }
}

impl Admission {
    /// Creates the admission of host `me`, without limits, and starts its timer.
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
            max_queued_per_key: MAX_QUEUED_PER_LIMIT,
        };
        let admission = Rc::new(Self {
            clock,
            limiter: RefCell::new(limits::HostLimiter::new(cfg)),
            open: RefCell::default(),
            control,
            table,
            timer_deadline: Cell::new(Duration::ZERO),
            timer_changed: Notify::new(),
            stopped: Cell::new(false),
        });
        actix_rt::spawn(admission.clone().run_timer());
        admission
    }

    /// Waits until `request` may run.
    ///
    /// # Errors
    /// The limiter refused the request, or the host is stopping.
    pub async fn admit(
        self: &Rc<Self>,
        request: &limits::AdmissionRequest,
    ) -> Result<Permit, Refusal> {
        let (tx, rx) = oneshot::channel();
        let gate = Rc::new(Gate::default());
        let mut actions = Vec::new();
        let ticket =
            self.limiter
                .borrow_mut()
                .request_admission(self.clock.now(), request, &mut actions);
        let open = OpenRequest {
            verdict: Some(tx),
            gate: gate.clone(),
        };
        self.open.borrow_mut().insert(ticket, open);
        let mut pending = PendingRequest {
            admission: self.clone(),
            ticket,
            answered: false,
        };
        self.execute(actions);
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

    /// Applies the limits, data centres and weights of the catalogue in force.
    pub fn configure(self: &Rc<Self>, catalogue: &Catalogue) {
        let limits: Vec<LimitEntry> = catalogue.entries().filter_map(as_limit).cloned().collect();
        let data_centres = data_centres(catalogue);
        let weights: Vec<_> = catalogue
            .entries()
            .filter_map(as_workspace_weight)
            .collect();
        let declared = limits::Declaration {
            revision: catalogue.revision().0,
            data_centres: &data_centres,
            limits: &limits,
            weights: &weights,
        };
        self.with_limiter(|limiter, now, actions| limiter.configure(now, &declared, actions));
    }

    /// Replaces the list of the other live hosts.
    pub fn set_peers(self: &Rc<Self>, peers: &[PeerInfo]) {
        let peers: Vec<_> = peers
            .iter()
            .map(|p| limits::Peer {
                host: p.host.clone(),
                data_centre: p.data_centre.clone(),
            })
            .collect();
        self.with_limiter(|limiter, now, actions| limiter.set_peers(now, &peers, actions));
    }

    /// Handles a peer's message about rights.
    pub fn receive(self: &Rc<Self>, from: &HostRef, message: rights::Message) {
        self.with_limiter(|limiter, now, actions| limiter.receive(now, from, message, actions));
    }

    /// Hands this host's rights to lend over to the other hosts, on shutdown.
    pub fn hand_over(self: &Rc<Self>) {
        self.with_limiter(|limiter, now, actions| limiter.hand_over(now, actions));
    }

    /// Stops the timer that runs the limiter, as the end of the process would.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// The limiter's state, for operators.
    pub fn status(&self) -> limits::Status {
        self.limiter.borrow().status(self.clock.now())
    }

    fn settle(self: &Rc<Self>, ticket: limits::Ticket, used: u32) {
        self.open.borrow_mut().remove(&ticket);
        self.with_limiter(|limiter, now, actions| limiter.settle(now, ticket, used, actions));
    }

    fn withdraw(self: &Rc<Self>, ticket: limits::Ticket) {
        self.open.borrow_mut().remove(&ticket);
        self.with_limiter(|limiter, now, actions| limiter.withdraw(now, ticket, actions));
    }

    fn with_limiter(
        self: &Rc<Self>,
        event: impl FnOnce(&mut limits::HostLimiter, Duration, &mut Vec<limits::Action>),
    ) {
        let mut actions = Vec::new();
        event(
            &mut self.limiter.borrow_mut(),
            self.clock.now(),
            &mut actions,
        );
        self.execute(actions);
    }

    fn execute(self: &Rc<Self>, actions: Vec<limits::Action>) {
        for action in actions {
            match action {
                limits::Action::Admit(ticket) => self.answer(ticket, Ok(())),
                limits::Action::Refuse {
                    ticket,
                    refusal,
                    retry_after,
                } => {
                    self.answer(ticket, Err(to_refusal(refusal, retry_after)));
                    self.open.borrow_mut().remove(&ticket);
                }
                limits::Action::Suspend(ticket) => self.set_suspended(ticket, true),
                limits::Action::Resume(ticket) => self.set_suspended(ticket, false),
                limits::Action::Send { to, message } => {
                    // The channel is closed only while the host is stopping.
                    let _ = self.control.send(Event::Send(to, Message::Rights(message)));
                }
                limits::Action::Table { id, call } => {
                    actix_rt::spawn(self.clone().call_table(id, call));
                }
            }
        }
        let next = self.limiter.borrow().next_tick(self.clock.now());
        if next < self.timer_deadline.get() {
            self.timer_changed.notify_one();
        }
    }

    async fn call_table(self: Rc<Self>, id: limits::TxnId, call: TableCall) {
        let result = self.table.call(&call).await;
        self.with_limiter(|limiter, now, actions| {
            limiter.handle_table_answer(now, id, result, actions)
        });
    }

    fn answer(&self, ticket: limits::Ticket, verdict: Verdict) {
        let mut open = self.open.borrow_mut();
        let tx = open.get_mut(&ticket).and_then(|o| o.verdict.take());
        if let Some(tx) = tx {
            // Fails if the request is abandoned at the same time; its ticket is withdrawn then.
            let _ = tx.send(verdict);
        }
    }

    fn set_suspended(&self, ticket: limits::Ticket, suspended: bool) {
        if let Some(open) = self.open.borrow().get(&ticket) {
            open.gate.set(suspended);
        }
    }

    async fn run_timer(self: Rc<Self>) {
        while !self.stopped.get() {
            let now = self.clock.now();
            let next = self.limiter.borrow().next_tick(now);
            let next = next.clamp(now + MIN_SLEEP, now + MAX_SLEEP);
            self.timer_deadline.set(next);
            tokio::select! {
                () = self.clock.sleep_until(next) => {
                    self.with_limiter(|limiter, now, actions| limiter.tick(now, actions));
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }
}

fn to_refusal(refusal: limits::Refusal, retry_after: Duration) -> Refusal {
    match refusal {
        limits::Refusal::NoLimit => Refusal::new(
            NotRunKind::NoLimit,
            "the workspace has no limit for this work",
        ),
        limits::Refusal::TooLarge => Refusal::new(
            NotRunKind::TooLarge,
            "the request is larger than the limit's burst",
        ),
        limits::Refusal::OverLimit => Refusal::with_retry_after(
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

fn as_workspace_weight(entry: &Entry) -> Option<(dragonflyrill_catalogue::WorkspaceName, u32)> {
    match entry {
        Entry::Workspace(e) => Some((e.name.clone(), e.weight)),
        _ => None,
    }
}

/// The data centres over which limits are split, in the catalogue's order.
fn data_centres(catalogue: &Catalogue) -> Vec<DataCentre> {
    let declared = catalogue.entries().filter_map(|entry| match entry {
        Entry::DataCentre(e) => Some(e.name.clone()),
        _ => None,
    });
    declared.collect()
}
