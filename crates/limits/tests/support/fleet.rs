//! The fleet: events by time, one seed.

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
    Action, Ask, Config, Declaration, HostLimiter, Peer, Terms, Ticket, TxnId,
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

/// Any design of a limiter.
pub trait Limiter {
    fn new(cfg: Config) -> Self;
    fn configure(&mut self, now: Duration, d: &Declaration<'_>, actions: &mut Vec<Action>);
    fn peers(&mut self, now: Duration, peers: &[Peer], actions: &mut Vec<Action>);
    fn ask(&mut self, now: Duration, ask: &Ask, actions: &mut Vec<Action>) -> Ticket;
    fn settle(&mut self, now: Duration, ticket: Ticket, used: u32, actions: &mut Vec<Action>);
    fn receive(&mut self, now: Duration, from: &HostRef, m: Message, actions: &mut Vec<Action>);
    fn table(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
        actions: &mut Vec<Action>,
    );
    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>);
    fn next_tick(&self, now: Duration) -> Duration;
    fn leave(&mut self, now: Duration, actions: &mut Vec<Action>);
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
            fn peers(&mut self, now: Duration, peers: &[Peer], a: &mut Vec<Action>) {
                self.peers(now, peers, a)
            }
            fn ask(&mut self, now: Duration, ask: &Ask, a: &mut Vec<Action>) -> Ticket {
                self.ask(now, ask, a)
            }
            fn settle(&mut self, now: Duration, t: Ticket, used: u32, a: &mut Vec<Action>) {
                self.settle(now, t, used, a)
            }
            fn receive(&mut self, now: Duration, f: &HostRef, m: Message, a: &mut Vec<Action>) {
                self.receive(now, f, m, a)
            }
            fn table(
                &mut self,
                now: Duration,
                id: TxnId,
                result: Result<TxnOutcome, PlatformError>,
                a: &mut Vec<Action>,
            ) {
                self.table(now, id, result, a)
            }
            fn tick(&mut self, now: Duration, a: &mut Vec<Action>) {
                self.tick(now, a)
            }
            fn next_tick(&self, now: Duration) -> Duration {
                self.next_tick(now)
            }
            fn leave(&mut self, now: Duration, a: &mut Vec<Action>) {
                self.leave(now, a)
            }
        }
    };
}
#[allow(unused_imports)]
pub(crate) use forward;
forward!(HostLimiter);

/// How the network and the clocks behave.
#[derive(Debug, Clone)]
pub struct Weather {
    /// One-way delay between hosts, at least and at most.
    pub delay: (Duration, Duration),
    /// Of messages between hosts.
    pub loss: f64,
    pub double: f64,
    /// Of the table's answers.
    pub lost_answers: f64,
    pub table_delay: (Duration, Duration),
    /// How much faster or slower than true a host's clock may run.
    pub drift: f64,
}

impl Default for Weather {
    fn default() -> Self {
        Self {
            delay: (Duration::from_micros(200), Duration::from_micros(800)),
            loss: 0.0,
            double: 0.0,
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
    TableRun(usize, TxnId, TableCall),
    TableAnswer(usize, TxnId, Result<TxnOutcome, PlatformError>),
    End(usize, Ticket),
    Configure(usize),
    Detect,
}

struct Timed(Duration, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// One life of a host. Lives are never reused.
pub struct Life<L> {
    pub me: HostRef,
    pub dc: DataCentre,
    pub limiter: L,
    pub alive: bool,
    pub paused_until: Duration,
    clock: (Duration, f64),
    tick_at: Duration,
}

/// A request that was asked for.
#[derive(Debug, Clone)]
struct Request {
    key: LimitKey,
    tokens: u32,
    used: u32,
    takes: Duration,
    asked: Duration,
    running: bool,
}

/// Counts of what was sent.
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
    pub lives: Vec<Life<L>>,
    pub ledger: Ledger,
    pub table: MemoryTable,
    pub table_up: bool,
    pub cut: BTreeSet<(DataCentre, DataCentre)>,
    /// Data centres that can't reach the table.
    pub cut_off: BTreeSet<DataCentre>,
    pub weather: Weather,
    pub traffic: Traffic,
    pub rng: Pcg64,
    pub terms: Terms,
    pub detect: Duration,
    events: BinaryHeap<Reverse<Timed>>,
    seq: u64,
    requests: HashMap<(usize, Ticket), Request>,
    by_ref: HashMap<HostRef, usize>,
    limits: Vec<LimitEntry>,
    data_centres: Vec<DataCentre>,
    revision: u64,
    measure_bytes: bool,
}

impl<L: Limiter> Fleet<L> {
    pub fn new(seed: u64, data_centres: usize, limits: &[LimitEntry], weather: Weather) -> Self {
        let mut ledger = Ledger {
            drift: weather.drift,
            ..Ledger::default()
        };
        for limit in limits {
            ledger.limits.insert(limit.key.clone(), limit.clone());
        }
        Self {
            now: Duration::ZERO,
            lives: Vec::new(),
            ledger,
            table: MemoryTable::default(),
            table_up: true,
            cut: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            weather,
            traffic: Traffic::default(),
            rng: Pcg64::seed_from_u64(seed),
            terms: Terms::default(),
            detect: Duration::from_millis(500),
            events: BinaryHeap::new(),
            seq: 0,
            requests: HashMap::new(),
            by_ref: HashMap::new(),
            limits: limits.to_vec(),
            data_centres: (0..data_centres).map(data_centre).collect(),
            revision: 1,
            measure_bytes: true,
        }
    }

    /// Starts a host; its place among the lives.
    pub fn start(&mut self, name: usize, incarnation: u64, dc: usize) -> usize {
        let me = host(name, incarnation);
        let cfg = Config {
            me: me.clone(),
            data_centre: data_centre(dc),
            seed: self.rng.random(),
            terms: self.terms,
            max_queued_per_key: 256,
        };
        let drift = self.weather.drift;
        let speed = 1.0 + self.rng.random_range(-1.0..=1.0) * drift;
        let offset = Duration::from_millis(self.rng.random_range(0..1000));
        let i = self.lives.len();
        self.lives.push(Life {
            me: me.clone(),
            dc: data_centre(dc),
            limiter: L::new(cfg),
            alive: true,
            paused_until: Duration::ZERO,
            clock: (offset, speed),
            tick_at: Duration::MAX,
        });
        self.by_ref.insert(me, i);
        self.configure(i);
        self.tell_peers();
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

    /// Declares other limits to some hosts.
    pub fn declare(&mut self, limits: &[LimitEntry], to: impl Fn(usize) -> bool) {
        self.limits = limits.to_vec();
        self.revision += 1;
        for i in 0..self.lives.len() {
            if self.lives[i].alive && to(i) {
                self.configure(i);
            }
        }
    }

    pub fn configure_again(&mut self, i: usize) {
        self.configure(i);
    }

    fn tell_peers(&mut self) {
        let live = self.lives.iter().filter(|l| l.alive);
        let peers: Vec<Peer> = live
            .map(|l| Peer {
                host: l.me.clone(),
                data_centre: l.dc.clone(),
            })
            .collect();
        for i in 0..self.lives.len() {
            let until = self.lives[i].paused_until;
            if self.lives[i].alive && until > self.now {
                self.schedule(until + Duration::from_millis(1), Event::Detect);
            } else if self.lives[i].alive {
                self.with(i, |l, now, a| l.peers(now, &peers, a));
            }
        }
    }

    /// Kills a host. Its peers learn of it by and by.
    pub fn kill(&mut self, i: usize) {
        self.lives[i].alive = false;
        self.ledger.stop(i);
        let at = self.now + self.detect;
        self.schedule(at, Event::Detect);
    }

    /// Pauses a host: it runs nothing until then.
    ///
    /// The host drives its requests, so that nothing of them runs meanwhile.
    pub fn pause(&mut self, i: usize, until: Duration) {
        if !self.lives[i].alive || self.lives[i].paused_until > self.now {
            return;
        }
        self.lives[i].paused_until = until;
        self.lives[i].tick_at = until;
        self.schedule(until, Event::Tick(i));
        self.ledger.stop(i);
    }

    /// Counts again what a host that was paused still runs.
    fn woken(&mut self, i: usize) {
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

    /// Lowers or raises a limit in flight; the hosts learn of it one after the other.
    pub fn lower_in_flight(&mut self, key: &LimitKey, n: u32) {
        let old = self.ledger.limits[key].in_flight;
        let old = old.max(self.ledger.lowering.get(key).copied().unwrap_or(0));
        self.ledger.lowering.insert(key.clone(), old);
        self.ledger.limits.get_mut(key).unwrap().in_flight = n;
        for limit in self.limits.iter_mut().filter(|l| l.key == *key) {
            limit.in_flight = n;
        }
        self.revision += 1;
        for i in 0..self.lives.len() {
            if self.lives[i].alive {
                let at = self.now + Duration::from_millis(self.rng.random_range(0..1500));
                self.schedule(at, Event::Configure(i));
            }
        }
    }

    pub fn leave(&mut self, i: usize) {
        if self.lives[i].paused_until > self.now {
            return;
        }
        self.with(i, |l, now, a| l.leave(now, a));
    }

    /// The host's own time.
    pub fn local(&self, i: usize) -> Duration {
        let (offset, speed) = self.lives[i].clock;
        offset + self.now.mul_f64(speed)
    }

    fn true_time(&self, i: usize, local: Duration) -> Duration {
        let (offset, speed) = self.lives[i].clock;
        local.saturating_sub(offset).div_f64(speed)
    }

    /// Calls a limiter and carries out its actions.
    fn with<R>(
        &mut self,
        i: usize,
        call: impl FnOnce(&mut L, Duration, &mut Vec<Action>) -> R,
    ) -> R {
        let now = self.local(i);
        let mut actions = Vec::new();
        let result = call(&mut self.lives[i].limiter, now, &mut actions);
        self.finish(i, now, actions);
        result
    }

    fn finish(&mut self, i: usize, now: Duration, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(i, action);
        }
        let next = self.lives[i].limiter.next_tick(now);
        let at = self
            .true_time(i, next)
            .max(self.now + Duration::from_micros(1));
        if at < self.lives[i].tick_at || self.lives[i].tick_at <= self.now {
            self.lives[i].tick_at = at;
            self.schedule(at, Event::Tick(i));
        }
    }

    fn carry_out(&mut self, i: usize, action: Action) {
        match action {
            Action::Grant(ticket) => self.granted(i, ticket),
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
                self.schedule(at, Event::TableRun(i, id, call));
            }
        }
    }

    fn granted(&mut self, i: usize, ticket: Ticket) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&(i, ticket)) else {
            panic!("an unknown ask was granted");
        };
        r.running = true;
        let r = r.clone();
        self.traffic.waits.push(now - r.asked);
        self.ledger.admit(now, i, ticket, &r.key, r.tokens);
        self.schedule(now + r.takes, Event::End(i, ticket));
    }

    fn send(&mut self, i: usize, to: &HostRef, message: Message) {
        self.traffic.messages += 1;
        if self.measure_bytes {
            self.traffic.bytes += bytes(&message);
        }
        let Some(to) = self.by_ref.get(to).copied() else {
            return;
        };
        let ends = (self.lives[i].dc.clone(), self.lives[to].dc.clone());
        if self.cut.contains(&ends) || self.cut.contains(&(ends.1, ends.0)) {
            return;
        }
        if self.weather.loss > 0.0 && self.rng.random_bool(self.weather.loss) {
            return;
        }
        let from = self.lives[i].me.clone();
        if self.weather.double > 0.0 && self.rng.random_bool(self.weather.double) {
            let at = self.now + self.delay() * 3;
            self.schedule(at, Event::Deliver(to, from.clone(), message.clone()));
        }
        let at = self.now + self.delay();
        self.schedule(at, Event::Deliver(to, from, message));
    }

    fn delay(&mut self) -> Duration {
        let (least, most) = self.weather.delay;
        self.rng.random_range(least..=most)
    }

    fn table_delay(&mut self) -> Duration {
        let (least, most) = self.weather.table_delay;
        self.rng.random_range(least..=most) / 2
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.events.push(Reverse(Timed(at, self.seq, event)));
    }

    /// Asks host `i` for a request of `tokens` that uses `used` and takes `takes`.
    pub fn ask(
        &mut self,
        i: usize,
        key: &LimitKey,
        tokens: u32,
        used: u32,
        takes: Duration,
        within: Duration,
    ) {
        let life = &self.lives[i];
        if !life.alive || life.paused_until > self.now {
            return;
        }
        let ask = Ask {
            key: key.clone(),
            tokens,
            latest: self.local(i) + within,
        };
        let request = Request {
            key: key.clone(),
            tokens,
            used,
            takes,
            asked: self.now,
            running: false,
        };
        let now = self.local(i);
        let mut actions = Vec::new();
        let ticket = self.lives[i].limiter.ask(now, &ask, &mut actions);
        self.requests.insert((i, ticket), request);
        self.finish(i, now, actions);
    }

    /// Runs until `until`.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse(Timed(at, _, _))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse(Timed(at, _, event))) = self.events.pop() else {
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
            Event::TableRun(..) | Event::Detect => None,
        };
        if let Some(i) = target {
            if !self.lives[i].alive {
                return;
            }
            let until = self.lives[i].paused_until;
            if until > self.now {
                // What waits for a paused host is handled when it wakes, its own timers first.
                if matches!(event, Event::Tick(_)) {
                    self.lives[i].tick_at = until;
                }
                let late = Duration::from_micros(u64::from(!matches!(event, Event::Tick(_))));
                return self.schedule(until + late, event);
            }
        }
        match event {
            Event::Tick(i) => {
                if self.lives[i].tick_at > self.now {
                    return;
                }
                let woke = self.lives[i].paused_until == self.now;
                self.with(i, |l, now, a| l.tick(now, a));
                if woke {
                    self.woken(i);
                }
            }
            Event::Deliver(i, from, message) => {
                self.with(i, |l, now, a| l.receive(now, &from, message, a));
            }
            Event::TableRun(i, id, call) => self.table_run(i, id, &call),
            Event::TableAnswer(i, id, result) => {
                self.with(i, |l, now, a| l.table(now, id, result, a));
            }
            Event::End(i, ticket) => self.ended(i, ticket),
            Event::Configure(i) => self.configure(i),
            Event::Detect => self.tell_peers(),
        }
    }

    fn table_run(&mut self, i: usize, id: TxnId, call: &TableCall) {
        if !self.lives[i].alive {
            // What a host sent before it died still takes effect.
            if self.table_up && !self.cut_off.contains(&self.lives[i].dc) {
                self.table.call(call);
            }
            return;
        }
        let down = !self.table_up || self.cut_off.contains(&self.lives[i].dc);
        let result = if down {
            Err(PlatformError::NotSent("down".to_owned()))
        } else {
            let write = matches!(call, TableCall::Write(_));
            self.traffic.writes += u64::from(write);
            self.traffic.reads += u64::from(!write);
            let outcome = self.table.call(call);
            match self.weather.lost_answers > 0.0 && self.rng.random_bool(self.weather.lost_answers)
            {
                true => Err(PlatformError::Unknown("lost".to_owned())),
                false => Ok(outcome),
            }
        };
        let at = self.now + self.table_delay();
        self.schedule(at, Event::TableAnswer(i, id, result));
    }

    fn ended(&mut self, i: usize, ticket: Ticket) {
        let Some(r) = self.requests.remove(&(i, ticket)) else {
            return;
        };
        self.ledger
            .end(self.now, i, ticket, &r.key, r.tokens - r.used);
        self.with(i, |l, now, a| l.settle(now, ticket, r.used, a));
    }
}

/// The bytes of a message as the peers' transport writes it.
fn bytes(message: &Message) -> u64 {
    let mut codec: Bincode<Message, Message> = Bincode::default();
    let raw = Pin::new(&mut codec).serialize(message).unwrap();
    raw.len() as u64
}
