//! Many hosts in one process on a virtual clock, with a minimal stand-in for the platform's store.
#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod store;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use dragonflyrill_catalogue::{DataCentre, Revision};
use dragonflyrill_membership::{
    members::{self, ListedPeer, Members},
    spread::{self, Alarm, Spread, StoreRead},
};
use dragonflyrill_protocol::{Envelope, HostId, HostRef, Message, membership::State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use store::{Answer, Store};

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn data_centre(n: usize) -> DataCentre {
    DataCentre::try_from(format!("dc-{n:02}").as_str()).unwrap()
}

pub fn host_id(n: usize) -> HostId {
    HostId(format!("entry-{n:04}").as_str().try_into().unwrap())
}

pub fn host(n: usize, incarnation: u64) -> HostRef {
    HostRef {
        id: host_id(n),
        incarnation,
    }
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + n as u16))
}

pub struct Node {
    pub members: Members,
    pub spread: Spread,
    pub incarnation: u64,
    pub data_centre: usize,
    pub up: bool,
    pub paused_until: Duration,
    pub alarms: Vec<Alarm>,
    /// Every revision that came into force in this incarnation, and when.
    pub in_force: Vec<(Duration, Revision)>,
    pub sent: Cost,
    pub received: Cost,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Cost {
    pub frames: u64,
    pub bytes: u64,
}

impl Cost {
    fn add(&mut self, bytes: u64) {
        self.frames += 1;
        self.bytes += bytes;
    }
}

#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    Deliver(usize, Envelope),
    PollRead(usize, u64, Revision),
    PollAnswer(usize, u64, Answer),
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub rng: Pcg32,
    /// Pairs of data centres that cannot reach each other, the lower number first.
    pub cut: BTreeSet<(usize, usize)>,
    /// Data centres that cannot reach the platform.
    pub platform_cut: BTreeSet<usize>,
    /// The probability that a message is lost, and that one that is not lost is duplicated.
    pub loss: f64,
    pub duplication: f64,
    /// The range of one-way message delays.
    pub delay: std::ops::Range<Duration>,
    /// The time after which the answer of the store arrives; the store is read at its start.
    pub store_delay: Duration,
    /// Whether sent and received bytes are counted.
    pub count_bytes: bool,
    pub polls: u64,
    queue: BTreeMap<(Duration, u64), Event>,
    seq: u64,
}

impl Fleet {
    pub fn new(data_centres: usize, hosts: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: ms(0),
            nodes: Vec::new(),
            store: Store::default(),
            rng: Pcg32::seed_from_u64(seed),
            cut: BTreeSet::new(),
            platform_cut: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            delay: ms(1)..ms(5),
            store_delay: ms(5),
            count_bytes: false,
            polls: 0,
            queue: BTreeMap::new(),
            seq: 0,
        };
        for n in 0..hosts {
            let node = fleet.node(n, n % data_centres, 1);
            fleet.nodes.push(node);
        }
        let list = fleet.list();
        for n in 0..hosts {
            fleet.nodes[n].members.update_list(ms(0), &list);
            let start = fleet.rng.random_range(0..500);
            fleet.push(ms(start), Event::Tick(n));
        }
        fleet
    }

    pub fn list(&self) -> Vec<ListedPeer> {
        let listed = self.nodes.iter().enumerate().map(|(n, node)| ListedPeer {
            id: host_id(n),
            addr: addr(n),
            data_centre: data_centre(node.data_centre),
            shutting_down: false,
        });
        listed.collect()
    }

    fn node(&mut self, n: usize, dc: usize, incarnation: u64) -> Node {
        Node {
            members: Members::new(members::Config {
                me: host(n, incarnation),
                data_centre: data_centre(dc),
                addr: addr(n),
                seed: self.rng.random(),
                intervals: members::Intervals::default(),
            }),
            spread: Spread::new(spread::Config {
                me: host(n, incarnation),
                data_centre: data_centre(dc),
                seed: self.rng.random(),
                budget: spread::Budget::default(),
            }),
            incarnation,
            data_centre: dc,
            up: true,
            paused_until: ms(0),
            alarms: Vec::new(),
            in_force: Vec::new(),
            sent: Cost::default(),
            received: Cost::default(),
        }
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].up = false;
    }

    /// Restarts a host under the same name with the next incarnation and no state.
    pub fn restart(&mut self, n: usize) {
        let old = &self.nodes[n];
        let (dc, incarnation, was_up) = (old.data_centre, old.incarnation + 1, old.up);
        let (sent, received) = (old.sent, old.received);
        let mut node = self.node(n, dc, incarnation);
        node.members.update_list(self.now, &self.list());
        (node.sent, node.received) = (sent, received);
        self.nodes[n] = node;
        if !was_up {
            self.push(self.now, Event::Tick(n));
        }
    }

    pub fn announce_shutdown(&mut self, n: usize) {
        let mut actions = Vec::new();
        self.nodes[n]
            .members
            .announce_shutdown(self.now, &mut actions);
        self.execute(n, actions, Vec::new());
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.event(event);
        }
        self.now = until;
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run(self.now + time);
    }

    pub fn reachable(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.nodes[a].data_centre, self.nodes[b].data_centre);
        !self.cut.contains(&(a.min(b), a.max(b)))
    }

    /// The newest revision in force on any host that is up.
    pub fn newest(&self) -> Revision {
        let up = self.nodes.iter().filter(|n| n.up);
        let revisions = up.map(|n| n.spread.catalogue().revision());
        revisions.max().unwrap_or_default()
    }

    /// Pairs of a host that is up and another host that it wrongly sees: as not alive though up, or
    /// as alive though down.
    pub fn disagreements(&self) -> Vec<(usize, usize)> {
        let mut disagreements = Vec::new();
        for (a, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.up) {
            let alive = node.members.view().filter(|m| m.state == State::Alive);
            let alive: BTreeSet<HostRef> = alive.map(|m| m.host).collect();
            for (b, other) in self.nodes.iter().enumerate() {
                if other.up != alive.contains(&host(b, other.incarnation)) {
                    disagreements.push((a, b));
                }
            }
        }
        disagreements
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.queue.insert((at, self.seq), event);
    }

    fn event(&mut self, event: Event) {
        let (n, incarnation) = match &event {
            Event::Tick(n) | Event::Deliver(n, _) => (*n, self.nodes[*n].incarnation),
            Event::PollRead(n, i, _) | Event::PollAnswer(n, i, _) => (*n, *i),
        };
        let node = &mut self.nodes[n];
        if !node.up || node.incarnation != incarnation {
            return;
        }
        if node.paused_until > self.now {
            // A paused host handles the events of the pause when it resumes.
            let at = node.paused_until;
            self.push(at, event);
            return;
        }
        match event {
            Event::Tick(_) => self.tick(n),
            Event::Deliver(_, envelope) => self.deliver(n, envelope),
            Event::PollRead(_, _, after) => {
                let answer = self.store.read(after);
                let at = self.now + self.store_delay;
                self.push(at, Event::PollAnswer(n, incarnation, answer));
            }
            Event::PollAnswer(_, _, answer) => self.poll_answer(n, answer),
        }
    }

    fn tick(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let (mut from_members, mut from_spread) = (Vec::new(), Vec::new());
        node.members.tick(now, &mut from_members);
        if from_members.contains(&members::Action::Changed) {
            node.spread.update_view(now, node.members.view());
        }
        node.spread.tick(now, &mut from_spread);
        let next = node.members.next_tick().min(node.spread.next_tick());
        self.push(next.max(now + ms(1)), Event::Tick(n));
        self.execute(n, from_members, from_spread);
    }

    fn deliver(&mut self, n: usize, envelope: Envelope) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let (mut from_members, mut from_spread) = (Vec::new(), Vec::new());
        for message in envelope.messages {
            match message {
                Message::Membership(m) => {
                    let members = &mut node.members;
                    members.receive(now, &envelope.from, m, &mut from_members);
                }
                Message::Spread(m) => {
                    node.members.record_contact(now, &envelope.from);
                    let spread = &mut node.spread;
                    spread.receive(now, &envelope.from, m, &mut from_spread);
                }
                Message::Rights(_) => {}
            }
        }
        if from_members.contains(&members::Action::Changed) {
            node.spread.update_view(now, node.members.view());
        }
        self.execute(n, from_members, from_spread);
    }

    fn poll_answer(&mut self, n: usize, answer: Answer) {
        let (now, mut actions) = (self.now, Vec::new());
        let cut = self.platform_cut.contains(&self.nodes[n].data_centre);
        let spread = &mut self.nodes[n].spread;
        match answer {
            _ if cut => spread.receive_store_failure(now),
            Answer::Unavailable => spread.receive_store_failure(now),
            Answer::Head(head) => spread.receive_store_head(now, &head, &mut actions),
            Answer::Changes(changes) => {
                spread.receive_store_read(now, StoreRead::Changes(changes), &mut actions);
            }
        }
        self.execute(n, Vec::new(), actions);
    }

    fn execute(&mut self, n: usize, members: Vec<members::Action>, spread: Vec<spread::Action>) {
        let mut out: BTreeMap<SocketAddr, Vec<Message>> = BTreeMap::new();
        for action in members {
            if let members::Action::Send { addr, message, .. } = action {
                let messages = out.entry(addr).or_default();
                messages.push(Message::Membership(message));
            }
        }
        for action in spread {
            let incarnation = self.nodes[n].incarnation;
            match action {
                spread::Action::Send { addr, message, .. } => {
                    out.entry(addr).or_default().push(Message::Spread(message));
                }
                spread::Action::InForce(revision) => {
                    let now = self.now;
                    self.nodes[n].in_force.push((now, revision));
                }
                spread::Action::Poll { after } => {
                    self.polls += 1;
                    self.push(self.now, Event::PollRead(n, incarnation, after));
                }
                spread::Action::Alarm(alarm) => {
                    let alarms = &mut self.nodes[n].alarms;
                    if !alarms.contains(&alarm) {
                        alarms.push(alarm);
                    }
                }
            }
        }
        for (to, messages) in out {
            self.send(n, usize::from(to.port()) - 1000, messages);
        }
    }

    fn send(&mut self, from: usize, to: usize, messages: Vec<Message>) {
        let envelope = Envelope {
            from: host(from, self.nodes[from].incarnation),
            messages,
        };
        if self.count_bytes {
            let bytes = dragonflyrill_protocol::spread::encoded_len(&envelope) as u64;
            self.nodes[from].sent.add(bytes);
            self.nodes[to].received.add(bytes);
        }
        if !self.reachable(from, to) {
            return;
        }
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let copies =
            1 + usize::from(self.duplication > 0.0 && self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            let delay = self.rng.random_range(self.delay.clone());
            self.push(self.now + delay, Event::Deliver(to, envelope.clone()));
        }
    }
}
