//! What callers make this host hold: asks `dragonflyrill-intake` for each decision, carries it out, and gives back what
//! a connection or a request took when its task ends in any way.

use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::token_bucket::TokenBucket;
use dragonflyrill_intake::{
    capacity::Capacity,
    connections::{Activity, Admission, ConnectionId, Connections},
    memory::{Growth, HoldId, Memory, Pools, SMALL_BYTES, Source},
};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use super::{
    body::{Body, BodyBuffer},
    connection,
};

/// The number of refusals that are logged a second, and at once.
const LOGGED_PER_S: f64 = 1.0;
const LOGGED_AT_ONCE: f64 = 5.0;

/// Counts refusals by [`Reason::label`].
pub use prometheus::IntCounterVec as RefusalCounter;

/// A listener of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Listener {
    /// For callers.
    Callers,
    /// For other hosts.
    Peers,
    /// For readiness checks.
    Readiness,
    /// For scrapes of the metrics.
    Metrics,
}

impl Listener {
    const COUNT: usize = 4;

    /// Its word in log lines.
    pub fn word(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
        }
    }
}

/// Why a connection or a request that was not read completely is refused or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The bytes received are no request.
    Malformed,
    /// The head is over its limit.
    HeadTooLarge,
    /// The body is over its limit.
    BodyTooLarge,
    /// The head did not arrive in time.
    HeadTooSlow,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// There is no memory for the request.
    NoMemory,
    /// The memory of the request was needed for others.
    RequestDropped,
    /// The caller does not read its answer.
    AnswerNotRead,
    /// All connections are in use.
    NoConnection,
    /// The connection did nothing, and was needed for others.
    ConnectionReplaced,
}

impl Reason {
    /// Its label in the metrics and its word in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadTooSlow => "head_too_slow",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoMemory => "no_memory",
            Self::RequestDropped => "request_dropped",
            Self::AnswerNotRead => "answer_not_read",
            Self::NoConnection => "no_connection",
            Self::ConnectionReplaced => "connection_replaced",
        }
    }
}

/// There is no memory for what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// All connections of a listener are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllInUse;

/// How much callers may make a host hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeConfig {
    /// What the process may use.
    pub capacity: Capacity,
    /// The time within which the body of a request must arrive.
    pub body_timeout: Duration,
}

/// The account of what callers make this host hold.
pub struct Intake {
    config: Option<IntakeConfig>,
    started_at: awake::Instant,
    memory: RefCell<Memory>,
    holds: RefCell<FxHashMap<HoldId, Rc<HoldState>>>,
    /// By [`Listener`].
    connections: [RefCell<Connections>; Listener::COUNT],
    ends: RefCell<FxHashMap<(Listener, ConnectionId), Rc<EarlyEnd>>>,
    /// Taken in turns by connections that send bodies in many small pieces.
    small_pieces: Semaphore,
    refusals: RefusalCounter,
    log_budget: RefCell<TokenBucket>,
    unlogged: Cell<u64>,
}

impl Intake {
    /// An account without holds. `refusals` counts by [`Reason::label`].
    pub fn new(config: IntakeConfig, refusals: RefusalCounter) -> Rc<Self> {
        Self::with(Some(config), refusals)
    }

    /// An account without limits.
    pub fn unlimited() -> Rc<Self> {
        let opts = prometheus::Opts::new("refusals", "Refusals");
        let refusals = RefusalCounter::new(opts, &["reason"]);
        Self::with(None, refusals.expect("a valid name"))
    }

    fn with(config: Option<IntakeConfig>, refusals: RefusalCounter) -> Rc<Self> {
        let pools = config.map_or(Pools::UNLIMITED, |c| c.capacity.pools());
        Rc::new(Self {
            config,
            started_at: awake::Instant::now(),
            memory: RefCell::new(Memory::new(pools)),
            holds: RefCell::default(),
            connections: Default::default(),
            ends: RefCell::default(),
            small_pieces: Semaphore::new(1),
            refusals,
            log_budget: RefCell::new(TokenBucket::new(LOGGED_PER_S, LOGGED_AT_ONCE)),
            unlogged: Cell::new(0),
        })
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The time within which the body of a request must arrive.
    pub fn body_timeout(&self) -> Duration {
        self.config.map_or(Duration::MAX, |c| c.body_timeout)
    }

    /// The size of the largest body that can be held, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.memory.borrow().pools().max_request()
    }

    /// What small requests, large ones and unread answers use, in bytes.
    pub fn used(&self) -> Pools {
        self.memory.borrow().used()
    }

    /// The number of connections to a listener.
    pub fn connection_count(&self, listener: Listener) -> usize {
        self.connections[listener as usize].borrow().len()
    }

    fn max_connections(&self, listener: Listener) -> usize {
        let Some(config) = &self.config else {
            return usize::MAX;
        };
        let capacity = &config.capacity;
        match listener {
            Listener::Callers => capacity.callers(connection::open_count()),
            Listener::Peers => capacity.peers(),
            Listener::Readiness | Listener::Metrics => capacity.status(),
        }
    }

    /// Counts a connection from `peer` that was accepted. One that does nothing may be closed for it.
    pub fn connect(
        self: &Rc<Self>,
        listener: Listener,
        peer: SocketAddr,
    ) -> Result<ConnectionGuard, AllInUse> {
        let max = self.max_connections(listener);
        let connections = &self.connections[listener as usize];
        let admission = connections.borrow_mut().connect(max, self.now());
        let id = match admission {
            Admission::Accepted(id) => id,
            Admission::InPlaceOf(id, replaced) => {
                let end = self.ends.borrow().get(&(listener, replaced)).cloned();
                if let Some(end) = end {
                    end.require(Reason::ConnectionReplaced);
                }
                id
            }
            Admission::Refused => {
                self.record(Reason::NoConnection, listener, peer.ip());
                return Err(AllInUse);
            }
        };
        let end = Rc::new(EarlyEnd::default());
        self.ends.borrow_mut().insert((listener, id), end.clone());
        Ok(ConnectionGuard {
            intake: self.clone(),
            listener,
            id,
            peer: peer.ip(),
            end,
        })
    }

    /// Counts a refusal, and logs it if there is room for it in the log.
    fn record(&self, reason: Reason, listener: Listener, from: IpAddr) {
        self.refusals.with_label_values(&[reason.label()]).inc();
        if !self.log_budget.borrow_mut().try_acquire(1.0, self.now()) {
            self.unlogged.set(self.unlogged.get() + 1);
            return;
        }
        let used = self.used();
        log::info!(
            target: "callers",
            reason = reason.label(),
            listener = listener.word(),
            from:% = from,
            small_bytes = used.small,
            large_bytes = used.large,
            answer_bytes = used.answers,
            connections = self.connection_count(listener),
            unlogged = self.unlogged.take();
            "A caller is refused or its connection closed."
        );
    }

    /// Drops what a hold has received so far, and ends its connection.
    fn drop_hold(&self, id: HoldId, reason: Reason) {
        let state = self.holds.borrow_mut().remove(&id);
        self.memory.borrow_mut().release(id);
        if let Some(state) = state {
            state.body.take();
            state.end.require(reason);
        }
    }

    /// Ends the connection of a caller that does not read its answer; false if all read theirs.
    pub fn drop_stalled_answer(&self) -> bool {
        let stalled = self.memory.borrow().stalled_answer(self.now());
        match stalled {
            Some(id) => {
                self.drop_hold(id, Reason::AnswerNotRead);
                true
            }
            None => false,
        }
    }

    /// Waits for the turn of a connection that sends a body in many small pieces. It lasts until it is dropped.
    pub(super) async fn small_piece_turn(&self) -> Option<SemaphorePermit<'_>> {
        self.small_pieces.acquire().await.ok()
    }
}

/// Tells the task of a connection that it is to end early.
#[derive(Debug, Default)]
struct EarlyEnd {
    reason: Cell<Option<Reason>>,
    required: Notify,
}

impl EarlyEnd {
    fn require(&self, reason: Reason) {
        self.reason.set(Some(reason));
        self.required.notify_one();
    }

    async fn until_required(&self) -> Reason {
        loop {
            if let Some(reason) = self.reason.get() {
                return reason;
            }
            self.required.notified().await;
        }
    }
}

/// A connection that is counted until this is dropped.
pub struct ConnectionGuard {
    intake: Rc<Intake>,
    listener: Listener,
    id: ConnectionId,
    peer: IpAddr,
    end: Rc<EarlyEnd>,
}

impl ConnectionGuard {
    /// The account in which it is counted.
    pub fn intake(&self) -> &Rc<Intake> {
        &self.intake
    }

    /// Records what the connection does from now on.
    pub fn record_activity(&self, activity: Activity) {
        let now = self.intake.now();
        let connections = &self.intake.connections[self.listener as usize];
        connections.borrow_mut().record(self.id, activity, now);
    }

    /// Counts a refusal of what it sent.
    pub(super) fn record_refusal(&self, reason: Reason) {
        self.intake.record(reason, self.listener, self.peer);
    }

    /// Waits until the connection is to end early, and returns why.
    pub async fn until_required_to_end(&self) -> Reason {
        self.end.until_required().await
    }

    /// Waits until another connection needs its place, though it is to end already.
    pub(super) async fn until_replaced(&self) {
        while self.end.reason.get() != Some(Reason::ConnectionReplaced) {
            self.end.required.notified().await;
        }
    }

    /// Begins to count memory for what its caller sends.
    pub(super) fn receive(&self) -> Hold {
        let source = Source::Address(self.peer);
        let mut memory = self.intake.memory.borrow_mut();
        let id = memory.receive(source, self.intake.now());
        drop(memory);
        self.hold(id)
    }

    /// Begins to count memory for an answer that the caller has not read. What is long was counted as it was read, see
    /// [`super::body_memory`].
    pub(super) fn send(&self, bytes: usize) -> Hold {
        let source = Source::Address(self.peer);
        let now = self.intake.now();
        let bytes = bytes.min(SMALL_BYTES);
        let id = self.intake.memory.borrow_mut().send(source, bytes, now);
        let hold = self.hold(id);
        loop {
            let excess = self.intake.memory.borrow().excess_answer(now);
            let Some(excess) = excess else {
                return hold;
            };
            self.intake.drop_hold(excess, Reason::AnswerNotRead);
        }
    }

    fn hold(&self, id: HoldId) -> Hold {
        let state = Rc::new(HoldState {
            body: RefCell::default(),
            end: self.end.clone(),
        });
        self.intake.holds.borrow_mut().insert(id, state.clone());
        Hold {
            intake: self.intake.clone(),
            id,
            state,
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let key = (self.listener, self.id);
        self.intake.ends.borrow_mut().remove(&key);
        let connections = &self.intake.connections[self.listener as usize];
        connections.borrow_mut().remove(self.id);
    }
}

#[derive(Debug)]
struct HoldState {
    /// What has been received of a body. It is taken when the hold is dropped for others.
    body: RefCell<BodyBuffer>,
    end: Rc<EarlyEnd>,
}

/// Memory that is counted until this is dropped.
pub struct Hold {
    intake: Rc<Intake>,
    id: HoldId,
    state: Rc<HoldState>,
}

impl std::fmt::Debug for Hold {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Hold").field(&self.id).finish()
    }
}

impl Hold {
    /// Requests that it may take `bytes` in total. What others are sending may be dropped for it.
    pub fn grow(&self, bytes: usize) -> Result<(), NoRoom> {
        loop {
            let now = self.intake.now();
            let growth = self.intake.memory.borrow_mut().grow(self.id, bytes, now);
            match growth {
                Growth::Granted => return Ok(()),
                Growth::InPlaceOf(other) => self.intake.drop_hold(other, Reason::RequestDropped),
                Growth::Refused => return Err(NoRoom),
            }
        }
    }

    /// The same for what can be left out: it is only granted while there is plenty.
    pub(super) fn grow_if_plenty(&self, bytes: usize) -> bool {
        let mut memory = self.intake.memory.borrow_mut();
        memory.grow_if_plenty(self.id, bytes)
    }

    /// Records whose request it is.
    pub(super) fn assign(&self, source: Source) {
        self.intake.memory.borrow_mut().assign(self.id, source);
    }

    /// Records whether a request may be in use, and so is not to be dropped.
    pub(super) fn set_in_use(&self, in_use: bool) {
        let now = self.intake.now();
        let mut memory = self.intake.memory.borrow_mut();
        memory.set_in_use(self.id, in_use, now);
    }

    /// Records that a caller has read something of its answer.
    pub(super) fn record_progress(&self) {
        let now = self.intake.now();
        self.intake
            .memory
            .borrow_mut()
            .record_progress(self.id, now);
    }

    /// Adds received bytes to the body. `announced` is the length of the whole body, if it is known.
    pub(super) fn append(&self, bytes: &[u8], announced: Option<usize>) -> Result<(), NoRoom> {
        let mut body = self.state.body.borrow_mut();
        body.append(bytes, announced, |total| self.grow(total))
    }

    /// Takes over what was received of the body before it was counted.
    pub(super) fn put_body(&self, body: BodyBuffer) {
        self.state.body.replace(body);
    }

    /// The length of the body so far, in bytes.
    pub(super) fn body_len(&self) -> usize {
        self.state.body.borrow().len()
    }

    /// The complete body, which is in use from now on. Fails if it was dropped for others.
    pub(super) fn finish_body(self) -> Result<Body, NoRoom> {
        if !self.intake.memory.borrow().contains(self.id) {
            return Err(NoRoom);
        }
        self.set_in_use(true);
        let body = self.state.body.take();
        Ok(body.finish(Some(self)))
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.intake.holds.borrow_mut().remove(&self.id);
        self.intake.memory.borrow_mut().release(self.id);
    }
}
