//! The requests this host knows, running and lately finished, and their answers.
//!
//! A [`Slot`] keeps the answer of one request as it grows. The task that drives the request writes
//! it; any number of callers read it, from any token on, so a repeated or resumed call attaches to
//! the run that is there and never starts a second one.

pub mod claims;
pub mod follow;

use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use dragonflyrill_catalogue::WorkspaceName;
use dragonflyrill_delivery::{
    ErrorKind, NotRunKind,
    lifecycle::{self, BeforeDispatch},
};
use dragonflyrill_engines::token;
use rustc_hash::FxHashMap;
use tokio::sync::Notify;

/// Names a request: the caller's idempotency key, or an id of ours, within a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// The owner.
    pub workspace: WorkspaceName,
    /// Unique within the workspace.
    pub id: String,
}

/// Why a request was not answered whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The kind.
    pub kind: ErrorKind,
    /// What a person should read.
    pub message: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure without a time to come back.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A failure that may be retried after `retry_after`.
    pub fn later(kind: ErrorKind, message: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: Some(retry_after),
        }
    }
}

/// Why a request was refused before anything of it left for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The kind.
    pub kind: NotRunKind,
    /// What a person should read.
    pub message: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(kind: NotRunKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A refusal of what may be asked again after `retry_after`.
    pub fn later(kind: NotRunKind, message: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: Some(retry_after),
        }
    }

    /// The answer to a request that was refused with this.
    pub fn of<S: BeforeDispatch>(self, req: lifecycle::Request<S>) -> Failure {
        let refused = req.refuse(self.kind);
        Failure {
            kind: refused.kind(),
            message: self.message,
            retry_after: self.retry_after,
        }
    }
}

/// A plain service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type; empty if the service sent none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// All tokens are there.
    Whole,
    /// The service answered.
    Called(CallAnswer),
    /// It did not end well.
    Failed(Failure),
}

/// One request's answer so far.
///
/// Invariant: tokens are only appended, and nothing changes once `end` is set.
#[derive(Debug, Default)]
pub struct Progress {
    /// The tokens released.
    pub tokens: Vec<u64>,
    /// How it ended; `None` while it runs.
    pub end: Option<End>,
}

impl Progress {
    /// The text of the tokens released.
    pub fn text(&self) -> String {
        let texts = self.tokens.iter().map(|t| token::detokenize(*t));
        texts.collect()
    }
}

/// The place where one request's answer is kept.
#[derive(Debug)]
pub struct Slot {
    /// The request.
    pub key: RequestKey,
    /// Hash of what was asked, to tell a repeated call from another one under the same key.
    pub fingerprint: u64,
    /// Whether the caller named the request, so that it may come back for the answer.
    pub named: bool,
    progress: RefCell<Progress>,
    attempt: Cell<u32>,
    begun_before: Cell<bool>,
    changed: Notify,
    readers: Cell<u32>,
    abandoned: Notify,
}

impl Slot {
    /// The answer so far.
    pub fn progress(&self) -> Ref<'_, Progress> {
        self.progress.borrow()
    }

    /// The last attempt a run of the request has used; 0 before the first.
    pub fn attempt(&self) -> u32 {
        self.attempt.get()
    }

    /// Notes that a run has come to `attempt`.
    pub fn tried(&self, attempt: u32) {
        self.attempt.set(attempt.max(self.attempt.get()));
    }

    /// Whether another host may have begun the request before, under the same key.
    pub fn may_be_begun(&self) -> bool {
        self.begun_before.get()
    }

    /// Notes that another host may have begun the request before.
    pub fn doubt(&self) {
        self.begun_before.set(true);
    }

    /// The request's id towards endpoints, unique over all workspaces.
    pub fn full_id(&self) -> String {
        format!("{}/{}", self.key.workspace, self.key.id)
    }

    /// Appends a token.
    pub fn release(&self, token: u64) {
        self.progress.borrow_mut().tokens.push(token);
        self.changed.notify_waiters();
    }

    /// Ends the request; later ends are ignored.
    pub fn end(&self, end: End) {
        self.progress.borrow_mut().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Waits until there are more than `seen` tokens, or the end.
    pub async fn more_than(&self, seen: usize) {
        loop {
            let changed = self.changed.notified();
            {
                let progress = self.progress.borrow();
                if progress.tokens.len() > seen || progress.end.is_some() {
                    return;
                }
            }
            changed.await;
        }
    }

    /// Waits for the end.
    pub async fn ended(&self) {
        self.more_than(usize::MAX).await;
    }

    /// Waits until the last reader of an unnamed request has gone.
    pub async fn abandoned(&self) {
        self.abandoned.notified().await;
    }
}

/// One caller's hold on a slot. An unnamed request without readers is given up.
#[derive(Debug)]
pub struct Reader {
    slot: Rc<Slot>,
}

impl Reader {
    /// Attaches to `slot`.
    pub fn attach(slot: Rc<Slot>) -> Self {
        slot.readers.set(slot.readers.get() + 1);
        Self { slot }
    }

    /// The slot.
    pub fn slot(&self) -> &Slot {
        &self.slot
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let left = self.slot.readers.get() - 1;
        self.slot.readers.set(left);
        if left == 0 && !self.slot.named {
            self.slot.abandoned.notify_one();
        }
    }
}

/// What [`Requests::open`] found.
#[derive(Debug)]
pub enum Opened {
    /// The request is new: the caller is to drive it.
    New(Rc<Slot>),
    /// The request is known: the caller is to read it.
    Known(Rc<Slot>),
    /// The key names another request.
    Reused,
}

/// All requests this host knows.
#[derive(Debug, Default)]
pub struct Requests {
    slots: FxHashMap<RequestKey, Rc<Slot>>,
    running: usize,
}

impl Requests {
    /// Finds the request `key`, or makes a slot for it.
    pub fn open(&mut self, key: RequestKey, fingerprint: u64, named: bool) -> Opened {
        if let Some(slot) = self.slots.get(&key) {
            return match slot.fingerprint == fingerprint {
                true => Opened::Known(slot.clone()),
                false => Opened::Reused,
            };
        }
        let slot = Rc::new(Slot {
            key: key.clone(),
            fingerprint,
            named,
            progress: RefCell::default(),
            attempt: Cell::new(0),
            begun_before: Cell::new(false),
            changed: Notify::new(),
            readers: Cell::new(0),
            abandoned: Notify::new(),
        });
        self.slots.insert(key, slot.clone());
        self.running += 1;
        Opened::New(slot)
    }

    /// The request `key`, if known.
    pub fn get(&self, key: &RequestKey) -> Option<Rc<Slot>> {
        self.slots.get(key).cloned()
    }

    /// Notes that a request's run is over.
    pub fn finished(&mut self) {
        self.running -= 1;
    }

    /// Forgets a finished request.
    pub fn forget(&mut self, key: &RequestKey) {
        self.slots.remove(key);
    }

    /// How many requests are being driven.
    pub fn running(&self) -> usize {
        self.running
    }
}
