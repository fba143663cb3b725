//! The simulated fleet: an event queue ordered by time, driven by one seed.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap},
    pin::Pin,
    time::Duration,
};

use dragonflyrill_catalogue::{
    DataCentre,
    entry::{LimitEntry, LimitKey},
};
use dragonflyrill_limits::{
    Action, AdmissionRequest, Config, Declaration, HostLimiter, Peer, Terms, Ticket, TxnId,
};
use dragonflyrill_protocol::{HostRef, rights::Message};
use dragonflyrill_store::{
    error::PlatformError,
    table::{TableCall, TxnOutcome, memory::MemoryTable},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tarpc::tokio_serde::{Serializer, formats::Bincode};

use super::{data_centre, host, ledger::Ledger};

/// The interface that all limiter designs share.
pub trait Limiter {
    fn new(cfg: Config) -> Self;
    fn configure(&mut self, now: Duration, d: &Declaration<'_>, actions: &mut Vec<Action>);
    fn set_peers(&mut self, now: Duration, peers: &[Peer], actions: &mut Vec<Action>);
    fn request_admission(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
        actions: &mut Vec<Action>,
    ) -> Ticket;
    fn settle(&mut self, now: Duration, ticket: Ticket, used: u32, actions: &mut Vec<Action>);
    fn receive(&mut self, now: Duration, from: &HostRef, m: Message, actions: &mut Vec<Action>);
    fn handle_table_answer(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
        actions: &mut Vec<Action>,
    );
    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>);
    fn next_tick(&self, now: Duration) -> Duration;
    fn hand_over(&mut self, now: Duration, actions: &mut Vec<Action>);
}

macro_rules! forward {
    ($ty:ty) => {
        impl Limiter for $ty {
            fn new(cfg: Config) -> Self {
                <$ty>::new(cfg)
            }
            fn configure(&mut self, now: Duration, d: &Declaration<'_>, a: &mut Vec<Action>) {
                self.configure(now, d, a)
            }
            fn set_peers(&mut self, now: Duration, peers: &[Peer], a: &mut Vec<Action>) {
                self.set_peers(now, peers, a)
            }
            fn request_admission(
                &mut self,
                now: Duration,
                request: &AdmissionRequest,
                a: &mut Vec<Action>,
            ) -> Ticket {
                self.request_admission(now, request, a)
            }
            fn settle(&mut self, now: Duration, t: Ticket, used: u32, a: &mut Vec<Action>) {
                self.settle(now, t, used, a)
            }
            fn receive(&mut self, now: Duration, f: &HostRef, m: Message, a: &mut Vec<Action>) {
                self.receive(now, f, m, a)
            }
            fn handle_table_answer(
                &mut self,
                now: Duration,
                id: TxnId,
                result: Result<TxnOutcome, PlatformError>,
                a: &mut Vec<Action>,
            ) {
                self.handle_table_answer(now, id, result, a)
            }
            fn tick(&mut self, now: Duration, a: &mut Vec<Action>) {
                self.tick(now, a)
            }
            fn next_tick(&self, now: Duration) -> Duration {
                self.next_tick(now)
            }
            fn hand_over(&mut self, now: Duration, a: &mut Vec<Action>) {
                self.hand_over(now, a)
            }
        }
    };
}
#[allow(unused_imports)]
pub(crate) use forward;
forward!(HostLimiter);

/// The behaviour of the network, the table and the clocks.
#[derive(Debug, Clone)]
pub struct Conditions {
    /// The bounds of the one-way delay between hosts.
    pub delay: (Duration, Duration),
    /// The probability that a message between hosts is lost; `duplicate`: that it arrives twice.
    pub loss: f64,
    pub duplicate: f64,
    /// The probability that an answer of the table is lost.
    pub lost_answers: f64,
    pub table_delay: (Duration, Duration),
    /// The fraction by which a host's clock may run fast or slow.
    pub drift: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            delay: (Duration::from_micros(200), Duration::from_micros(800)),
            loss: 0.0,
            duplicate: 0.0,
            lost_answers: 0.0,
            table_delay: (Duration::from_millis(2), Duration::from_millis(8)),
            drift: 0.0,
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    Deliver(usize, HostRef, Message),
    RunTableCall(usize, TxnId, TableCall),
    TableAnswer(usize, TxnId, Result<TxnOutcome, PlatformError>),
    End(usize, Ticket),
    Configure(usize),
    Detect,
}

struct ScheduledEvent(Duration, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// One incarnation of a host. An entry of a fleet's list is never reused for another one.
pub struct HostIncarnation<L> {
    pub me: HostRef,
    pub dc: DataCentre,
    pub limiter: L,
    pub alive: bool,
    pub paused_until: Duration,
    clock: (Duration, f64),
    tick_at: Duration,
}

/// A request for which admission was requested.
#[derive(Debug, Clone)]
struct Request {
    key: LimitKey,
    tokens: u32,
    used: u32,
    run_time: Duration,
    requested_at: Duration,
    running: bool,
}

/// Counts of messages, of calls of the table and of the limiters' decisions.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub reads: u64,
    pub writes: u64,
    pub suspended: u64,
    pub refused: u64,
    pub waits: Vec<Duration>,
}

pub struct Fleet<L> {
    pub now: Duration,
    pub incarnations: Vec<HostIncarnation<L>>,
    pub ledger: Ledger,
    pub table: MemoryTable,
    pub table_up: bool,
    pub partitions: BTreeSet<(DataCentre, DataCentre)>,
    /// Data centres that can't reach the table.
    pub table_unreachable_from: BTreeSet<DataCentre>,
    pub conditions: Conditions,
    pub traffic: Traffic,
    pub rng: Pcg64,
    pub terms: Terms,
    pub detection_delay: Duration,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    seq: u64,
    requests: HashMap<(usize, Ticket), Request>,
    host_index: HashMap<HostRef, usize>,
    limits: Vec<LimitEntry>,
    data_centres: Vec<DataCentre>,
    revision: u64,
    measure_bytes: bool,
}

impl<L: Limiter> Fleet<L> {
    pub fn new(
        seed: u64,
        data_centres: usize,
        limits: &[LimitEntry],
        conditions: Conditions,
    ) -> Self {
        let mut ledger = Ledger {
            drift: conditions.drift,
            ..Ledger::default()
        };
        for limit in limits {
            ledger.limits.insert(limit.key.clone(), limit.clone());
        }
        Self {
            now: Duration::ZERO,
            incarnations: Vec::new(),
            ledger,
            table: MemoryTable::default(),
            table_up: true,
            partitions: BTreeSet::new(),
            table_unreachable_from: BTreeSet::new(),
            conditions,
            traffic: Traffic::default(),
            rng: Pcg64::seed_from_u64(seed),
            terms: Terms::default(),
            detection_delay: Duration::from_millis(500),
            events: BinaryHeap::new(),
            seq: 0,
            requests: HashMap::new(),
            host_index: HashMap::new(),
            limits: limits.to_vec(),
            data_centres: (0..data_centres).map(data_centre).collect(),
            revision: 1,
            measure_bytes: true,
        }
    }

    /// Starts a host. Returns its index in `incarnations`.
    pub fn start(&mut self, name: usize, incarnation: u64, dc: usize) -> usize {
        let me = host(name, incarnation);
        let cfg = Config {
            me: me.clone(),
            data_centre: data_centre(dc),
            seed: self.rng.random(),
            terms: self.terms,
            max_queued_per_key: 256,
        };
        let drift = self.conditions.drift;
        let speed = 1.0 + self.rng.random_range(-1.0..=1.0) * drift;
        let offset = Duration::from_millis(self.rng.random_range(0..1000));
        let i = self.incarnations.len();
        self.incarnations.push(HostIncarnation {
            me: me.clone(),
            dc: data_centre(dc),
            limiter: L::new(cfg),
            alive: true,
            paused_until: Duration::ZERO,
            clock: (offset, speed),
            tick_at: Duration::MAX,
        });
        self.host_index.insert(me, i);
        self.configure(i);
        self.update_peers();
        i
    }

    fn configure(&mut self, i: usize) {
        let limits = self.limits.clone();
        let data_centres = self.data_centres.clone();
        let declared = Declaration {
            revision: self.revision,
            data_centres: &data_centres,
            limits: &limits,
            weights: &[],
        };
        self.with(i, |l, now, a| l.configure(now, &declared, a));
    }

    /// Declares `limits` to the live hosts for which `to` returns true.
    pub fn declare(&mut self, limits: &[LimitEntry], to: impl Fn(usize) -> bool) {
        self.limits = limits.to_vec();
        self.revision += 1;
        for i in 0..self.incarnations.len() {
            if self.incarnations[i].alive && to(i) {
                self.configure(i);
            }
        }
    }

    pub fn configure_again(&mut self, i: usize) {
        self.configure(i);
    }

    fn update_peers(&mut self) {
        let live = self.incarnations.iter().filter(|l| l.alive);
        let peers: Vec<Peer> = live
            .map(|l| Peer {
                host: l.me.clone(),
                data_centre: l.dc.clone(),
            })
            .collect();
        for i in 0..self.incarnations.len() {
            let until = self.incarnations[i].paused_until;
            if self.incarnations[i].alive && until > self.now {
                self.schedule(until + Duration::from_millis(1), Event::Detect);
            } else if self.incarnations[i].alive {
                self.with(i, |l, now, a| l.set_peers(now, &peers, a));
            }
        }
    }

    /// Kills a host. Its peers are informed after `detection_delay`.
    pub fn kill(&mut self, i: usize) {
        self.incarnations[i].alive = false;
        self.ledger.stop(i);
        let at = self.now + self.detection_delay;
        self.schedule(at, Event::Detect);
    }

    /// Pauses a host until `until`.
    ///
    /// The host drives its requests, so none of them runs while it is paused.
    pub fn pause(&mut self, i: usize, until: Duration) {
        if !self.incarnations[i].alive || self.incarnations[i].paused_until > self.now {
            return;
        }
        self.incarnations[i].paused_until = until;
        self.incarnations[i].tick_at = until;
        self.schedule(until, Event::Tick(i));
        self.ledger.stop(i);
    }

    /// Adds the requests that a host still runs after a pause to the ledger again.
    fn resume_requests(&mut self, i: usize) {
        let mut running: Vec<(Ticket, LimitKey)> = self
            .requests
            .iter()
            .filter(|((host, _), r)| *host == i && r.running)
            .map(|((_, ticket), r)| (*ticket, r.key.clone()))
            .collect();
        running.sort();
        for (ticket, key) in running {
            self.ledger.resume(self.now, i, ticket, &key);
        }
    }

    /// Lowers or raises a limit of requests in flight. The hosts apply it one after the other.
    pub fn set_in_flight(&mut self, key: &LimitKey, n: u32) {
        let old = self.ledger.limits[key].in_flight;
        let old = old.max(
            self.ledger
                .previous_in_flight
                .get(key)
                .copied()
                .unwrap_or(0),
        );
        self.ledger.previous_in_flight.insert(key.clone(), old);
        self.ledger.limits.get_mut(key).unwrap().in_flight = n;
        for limit in self.limits.iter_mut().filter(|l| l.key == *key) {
            limit.in_flight = n;
        }
        self.revision += 1;
        for i in 0..self.incarnations.len() {
            if self.incarnations[i].alive {
                let at = self.now + Duration::from_millis(self.rng.random_range(0..1500));
                self.schedule(at, Event::Configure(i));
            }
        }
    }

    pub fn hand_over(&mut self, i: usize) {
        if self.incarnations[i].paused_until > self.now {
            return;
        }
        self.with(i, |l, now, a| l.hand_over(now, a));
    }

    /// The time by the host's own clock.
    pub fn local_time(&self, i: usize) -> Duration {
        let (offset, speed) = self.incarnations[i].clock;
        offset + self.now.mul_f64(speed)
    }

    fn true_time(&self, i: usize, local_time: Duration) -> Duration {
        let (offset, speed) = self.incarnations[i].clock;
        local_time.saturating_sub(offset).div_f64(speed)
    }

    /// Calls a limiter and executes its actions.
    fn with<R>(
        &mut self,
        i: usize,
        call: impl FnOnce(&mut L, Duration, &mut Vec<Action>) -> R,
    ) -> R {
        let now = self.local_time(i);
        let mut actions = Vec::new();
        let result = call(&mut self.incarnations[i].limiter, now, &mut actions);
        self.apply(i, now, actions);
        result
    }

    fn apply(&mut self, i: usize, now: Duration, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(i, action);
        }
        let next = self.incarnations[i].limiter.next_tick(now);
        let at = self
            .true_time(i, next)
            .max(self.now + Duration::from_micros(1));
        if at < self.incarnations[i].tick_at || self.incarnations[i].tick_at <= self.now {
            self.incarnations[i].tick_at = at;
            self.schedule(at, Event::Tick(i));
        }
    }

    fn carry_out(&mut self, i: usize, action: Action) {
        match action {
            Action::Admit(ticket) => self.admit(i, ticket),
            Action::Refuse { ticket, .. } => {
                self.traffic.refused += 1;
                self.requests.remove(&(i, ticket));
            }
            Action::Suspend(ticket) => {
                self.traffic.suspended += 1;
                if let Some(r) = self.requests.get_mut(&(i, ticket)) {
                    r.running = false;
                    self.ledger.suspend(i, ticket, &r.key);
                }
            }
            Action::Resume(ticket) => {
                if let Some(r) = self.requests.get_mut(&(i, ticket)) {
                    r.running = true;
                    self.ledger.resume(self.now, i, ticket, &r.key);
                }
            }
            Action::Send { to, message } => self.send(i, &to, message),
            Action::Table { id, call } => {
                let at = self.now + self.table_delay();
                self.schedule(at, Event::RunTableCall(i, id, call));
            }
        }
    }

    fn admit(&mut self, i: usize, ticket: Ticket) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&(i, ticket)) else {
            panic!("a request that is not known was admitted");
        };
        r.running = true;
        let r = r.clone();
        self.traffic.waits.push(now - r.requested_at);
        self.ledger.admit(now, i, ticket, &r.key, r.tokens);
        self.schedule(now + r.run_time, Event::End(i, ticket));
    }

    fn send(&mut self, i: usize, to: &HostRef, message: Message) {
        self.traffic.messages += 1;
        if self.measure_bytes {
            self.traffic.bytes += bytes(&message);
        }
        let Some(to) = self.host_index.get(to).copied() else {
            return;
        };
        let ends = (
            self.incarnations[i].dc.clone(),
            self.incarnations[to].dc.clone(),
        );
        if self.partitions.contains(&ends) || self.partitions.contains(&(ends.1, ends.0)) {
            return;
        }
        if self.conditions.loss > 0.0 && self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let from = self.incarnations[i].me.clone();
        if self.conditions.duplicate > 0.0 && self.rng.random_bool(self.conditions.duplicate) {
            let at = self.now + self.delay() * 3;
            self.schedule(at, Event::Deliver(to, from.clone(), message.clone()));
        }
        let at = self.now + self.delay();
        self.schedule(at, Event::Deliver(to, from, message));
    }

    fn delay(&mut self) -> Duration {
        let (min_delay, max_delay) = self.conditions.delay;
        self.rng.random_range(min_delay..=max_delay)
    }

    fn table_delay(&mut self) -> Duration {
        let (min_delay, max_delay) = self.conditions.table_delay;
        self.rng.random_range(min_delay..=max_delay) / 2
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.events
            .push(Reverse(ScheduledEvent(at, self.seq, event)));
    }

    /// Requests admission on host `i` of a request of `tokens` that uses `used` of them, runs for
    /// `run_time`, and is refused if it is not admitted `within` this time.
    pub fn request_admission(
        &mut self,
        i: usize,
        key: &LimitKey,
        tokens: u32,
        used: u32,
        run_time: Duration,
        within: Duration,
    ) {
        let target = &self.incarnations[i];
        if !target.alive || target.paused_until > self.now {
            return;
        }
        let admission = AdmissionRequest {
            key: key.clone(),
            tokens,
            admit_by: self.local_time(i) + within,
        };
        let request = Request {
            key: key.clone(),
            tokens,
            used,
            run_time,
            requested_at: self.now,
            running: false,
        };
        let now = self.local_time(i);
        let mut actions = Vec::new();
        let ticket = self.incarnations[i]
            .limiter
            .request_admission(now, &admission, &mut actions);
        self.requests.insert((i, ticket), request);
        self.apply(i, now, actions);
    }

    /// Runs the simulation until `until`.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse(ScheduledEvent(at, _, _))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse(ScheduledEvent(at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at.max(self.now);
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Tick(i)
            | Event::Deliver(i, ..)
            | Event::TableAnswer(i, ..)
            | Event::End(i, _)
            | Event::Configure(i) => Some(*i),
            Event::RunTableCall(..) | Event::Detect => None,
        };
        if let Some(i) = target {
            if !self.incarnations[i].alive {
                return;
            }
            let until = self.incarnations[i].paused_until;
            if until > self.now {
                // Events of a paused host are handled when it resumes, its own timers first.
                if matches!(event, Event::Tick(_)) {
                    self.incarnations[i].tick_at = until;
                }
                let late = Duration::from_micros(u64::from(!matches!(event, Event::Tick(_))));
                return self.schedule(until + late, event);
            }
        }
        match event {
            Event::Tick(i) => {
                if self.incarnations[i].tick_at > self.now {
                    return;
                }
                let resumed = self.incarnations[i].paused_until == self.now;
                self.with(i, |l, now, a| l.tick(now, a));
                if resumed {
                    self.resume_requests(i);
                }
            }
            Event::Deliver(i, from, message) => {
                self.with(i, |l, now, a| l.receive(now, &from, message, a));
            }
            Event::RunTableCall(i, id, call) => self.run_table_call(i, id, &call),
            Event::TableAnswer(i, id, result) => {
                self.with(i, |l, now, a| l.handle_table_answer(now, id, result, a));
            }
            Event::End(i, ticket) => self.finish_request(i, ticket),
            Event::Configure(i) => self.configure(i),
            Event::Detect => self.update_peers(),
        }
    }

    fn run_table_call(&mut self, i: usize, id: TxnId, call: &TableCall) {
        if !self.incarnations[i].alive {
            // A call that a host sent before it died still takes effect.
            if self.table_up
                && !self
                    .table_unreachable_from
                    .contains(&self.incarnations[i].dc)
            {
                self.table.call(call);
            }
            return;
        }
        let down = !self.table_up
            || self
                .table_unreachable_from
                .contains(&self.incarnations[i].dc);
        let result = if down {
            Err(PlatformError::NotSent("down".to_owned()))
        } else {
            let write = matches!(call, TableCall::Write(_));
            self.traffic.writes += u64::from(write);
            self.traffic.reads += u64::from(!write);
            let outcome = self.table.call(call);
            match self.conditions.lost_answers > 0.0
                && self.rng.random_bool(self.conditions.lost_answers)
            {
                true => Err(PlatformError::Unknown("lost".to_owned())),
                false => Ok(outcome),
            }
        };
        let at = self.now + self.table_delay();
        self.schedule(at, Event::TableAnswer(i, id, result));
    }

    fn finish_request(&mut self, i: usize, ticket: Ticket) {
        let Some(r) = self.requests.remove(&(i, ticket)) else {
            return;
        };
        self.ledger
            .end(self.now, i, ticket, &r.key, r.tokens - r.used);
        self.with(i, |l, now, a| l.settle(now, ticket, r.used, a));
    }
}

/// The number of bytes of a message in the encoding of the peers' transport.
fn bytes(message: &Message) -> u64 {
    let mut codec: Bincode<Message, Message> = Bincode::default();
    let raw = Pin::new(&mut codec).serialize(message).unwrap();
    raw.len() as u64
}
