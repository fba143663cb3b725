//! The running and recently finished requests of this host, with their answers.
//!
//! A [`Slot`] holds the answer of one request while it grows. The task that drives the request
//! writes it, and any number of callers read it, from any token on. So a retried or resumed call
//! attaches to the existing run and never starts a second one.

pub mod claims;
pub mod follow;

use std::{
    cell::{Cell, Ref, RefCell},
    collections::VecDeque,
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

/// The memory of a slot without its answer, in bytes.
const SLOT_BYTES: usize = 512;

/// Identifies a request: its workspace, and the caller's idempotency key or an id that the host
/// generated.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// The workspace that the request belongs to.
    pub workspace: WorkspaceName,
    /// Unique within the workspace.
    pub id: String,
}

/// Why a request got no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// The message for people.
    pub message: String,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure without a retry delay.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates a failure whose request may be retried after `retry_after`.
    pub fn with_retry_after(
        kind: ErrorKind,
        message: impl Into<String>,
        retry_after: Duration,
    ) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: Some(retry_after),
        }
    }
}

/// Why a request was refused before any part of it was sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of the refusal.
    pub kind: NotRunKind,
    /// The message for people.
    pub message: String,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(kind: NotRunKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal whose request may be retried after `retry_after`.
    pub fn with_retry_after(
        kind: NotRunKind,
        message: impl Into<String>,
        retry_after: Duration,
    ) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Refuses `req` for this reason and returns the failure to answer it with.
    pub fn into_failure<S: BeforeDispatch>(self, req: lifecycle::Request<S>) -> Failure {
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
pub enum RequestEnd {
    /// A generation released all its tokens.
    Complete,
    /// A plain service answered.
    ServiceAnswered(CallAnswer),
    /// The request failed or was refused.
    Failed(Failure),
}

/// One request's answer so far.
///
/// Invariant: tokens are only appended, and nothing changes once `end` is set.
#[derive(Debug, Default)]
pub struct Progress {
    /// The tokens that callers may read, in order.
    pub tokens: Vec<u64>,
    /// How the request ended; `None` while it runs.
    pub end: Option<RequestEnd>,
}

impl Progress {
    /// The memory that the answer takes, in bytes.
    fn memory(&self) -> usize {
        let body = match &self.end {
            Some(RequestEnd::ServiceAnswered(answer)) => answer.body.len(),
            _ => 0,
        };
        SLOT_BYTES + self.tokens.capacity() * size_of::<u64>() + body
    }

    /// The text of the released tokens.
    pub fn text(&self) -> String {
        let texts = self.tokens.iter().map(|t| token::detokenize(*t));
        texts.collect()
    }
}

/// One request with its answer so far, shared by the task that drives it and its readers.
#[derive(Debug)]
pub struct Slot {
    /// The request.
    pub key: RequestKey,
    /// Hash of the request's content, which distinguishes a retry from another request under the
    /// same key.
    pub fingerprint: u64,
    /// Whether the request runs to its end without readers: the caller gave it a key, so it may
    /// fetch the answer later, or the request must not run twice.
    pub named: bool,
    progress: RefCell<Progress>,
    attempt: Cell<u32>,
    maybe_started: Cell<bool>,
    changed: Notify,
    readers: Cell<u32>,
    abandoned: Notify,
}

impl Slot {
    /// The answer so far.
    pub fn progress(&self) -> Ref<'_, Progress> {
        self.progress.borrow()
    }

    /// The highest attempt number that a run of the request has used; 0 before the first.
    pub fn attempt(&self) -> u32 {
        self.attempt.get()
    }

    /// Records that a run has used the attempt number `attempt`.
    pub fn record_attempt(&self, attempt: u32) {
        self.attempt.set(attempt.max(self.attempt.get()));
    }

    /// Whether another host may have started the request before, under the same key.
    pub fn may_have_started(&self) -> bool {
        self.maybe_started.get()
    }

    /// Records that another host may have started the request before.
    pub fn mark_maybe_started(&self) {
        self.maybe_started.set(true);
    }

    /// The request's id as endpoints receive it, unique over all workspaces.
    pub fn full_id(&self) -> String {
        format!("{}/{}", self.key.workspace, self.key.id)
    }

    /// Appends a token and notifies the readers.
    pub fn push_token(&self, token: u64) {
        self.progress.borrow_mut().tokens.push(token);
        self.changed.notify_waiters();
    }

    /// Ends the request and notifies the readers; only the first end counts.
    pub fn end(&self, end: RequestEnd) {
        self.progress.borrow_mut().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Waits until there are more than `seen` tokens, or the request has ended.
    pub async fn wait_for_more(&self, seen: usize) {
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

    /// Waits until the request has ended.
    pub async fn wait_for_end(&self) {
        self.wait_for_more(usize::MAX).await;
    }

    /// Waits until the last reader of an unnamed request is dropped.
    pub async fn wait_for_abandonment(&self) {
        self.abandoned.notified().await;
    }
}

/// One caller's reference to a slot. An unnamed request is abandoned when its last reader is
/// dropped.
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

/// The result of [`Requests::open`].
#[derive(Debug)]
pub enum OpenResult {
    /// The request is new: whoever opened it drives it.
    New(Rc<Slot>),
    /// The request is known: whoever opened it reads its answer.
    Known(Rc<Slot>),
    /// The key was used with another request, of another fingerprint.
    KeyReused,
}

/// An answer that is kept for callers that ask again.
#[derive(Debug)]
struct KeptAnswer {
    key: RequestKey,
    bytes: usize,
}

/// The running and recently finished requests of one host.
#[derive(Debug)]
pub struct Requests {
    slots: FxHashMap<RequestKey, Rc<Slot>>,
    running: usize,
    /// The kept answers, the oldest first.
    kept: VecDeque<KeptAnswer>,
    kept_bytes: usize,
    max_kept_bytes: usize,
}

impl Requests {
    /// No requests. Answers are kept while they take at most `max_kept_bytes` together.
    pub fn new(max_kept_bytes: usize) -> Self {
        Self {
            slots: FxHashMap::default(),
            running: 0,
            kept: VecDeque::new(),
            kept_bytes: 0,
            max_kept_bytes,
        }
    }

    /// Finds the request `key`, or creates a slot for it and counts it as running.
    pub fn open(&mut self, key: RequestKey, fingerprint: u64, named: bool) -> OpenResult {
        if let Some(slot) = self.slots.get(&key) {
            return match slot.fingerprint == fingerprint {
                true => OpenResult::Known(slot.clone()),
                false => OpenResult::KeyReused,
            };
        }
        let slot = Rc::new(Slot {
            key: key.clone(),
            fingerprint,
            named,
            progress: RefCell::default(),
            attempt: Cell::new(0),
            maybe_started: Cell::new(false),
            changed: Notify::new(),
            readers: Cell::new(0),
            abandoned: Notify::new(),
        });
        self.slots.insert(key, slot.clone());
        self.running += 1;
        OpenResult::New(slot)
    }

    /// The request `key`, if known.
    pub fn get(&self, key: &RequestKey) -> Option<Rc<Slot>> {
        self.slots.get(key).cloned()
    }

    /// Counts a request as no longer running. Its answer is kept; the oldest ones are removed if there is no memory for all.
    pub fn record_end(&mut self, slot: &Slot) {
        self.running -= 1;
        if let Some(RequestEnd::Failed(_)) = slot.progress().end {
            return;
        }
        let bytes = slot.progress().memory();
        self.kept_bytes += bytes;
        let key = slot.key.clone();
        self.kept.push_back(KeptAnswer { key, bytes });
        while self.kept_bytes > self.max_kept_bytes && !self.kept.is_empty() {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(kept) = self.kept.pop_front() {
            self.kept_bytes -= kept.bytes;
            self.slots.remove(&kept.key);
        }
    }

    /// Removes a finished request with its answer.
    pub fn forget(&mut self, slot: &Rc<Slot>) {
        let known = self.slots.get(&slot.key);
        if !known.is_some_and(|known| Rc::ptr_eq(known, slot)) {
            return;
        }
        self.slots.remove(&slot.key);
        let index = self.kept.iter().position(|kept| kept.key == slot.key);
        if let Some(kept) = index.and_then(|index| self.kept.remove(index)) {
            self.kept_bytes -= kept.bytes;
        }
    }

    /// The number of requests that are running.
    pub fn running(&self) -> usize {
        self.running
    }
}
