//! The control arbiter's one task: it owns membership and the spread of the catalogue, takes in
//! what happens, and carries out what they ask for.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflyrill_membership::{
    members::{self, Members},
    spread::{self, Spread},
};
use dragonflyrill_protocol::{
    self as protocol, Envelope, HostId, HostRef, Message, membership, rights,
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock::Clock,
    control::{
        Identity, News,
        asking::Answer,
        early::Early,
        engines::{self, Engines},
        hosts::{self, Borrower, Listing},
        orders,
        peers::{Inbound, Outbox},
        store::{Reading, Store},
    },
    host::PeerInfo,
};

/// What the control task takes in.
#[derive(Debug)]
pub enum Event {
    /// Something came from a peer.
    Inbound(Inbound),
    /// The catalogue was read from the platform, or could not be.
    Read(Reading),
    /// The host list was read.
    Listed(Listing),
    /// The host list could not be read.
    Unlisted,
    /// A peer lent its list, or could not be asked.
    Lent(Option<protocol::Listing>),
    /// A peer asks for the list.
    Lend(oneshot::Sender<protocol::Listing>),
    /// This host saw a sign that an endpoint leaves. Incarnation 0: the life that is known.
    Seen(membership::Sign),
    /// An engine of the data centre answered.
    Answered(Answer),
    /// All engines that this host asks answered, or did not in time.
    RoundOver,
    /// The request arbiter sends a message to a peer.
    Send(HostRef, Message),
    /// The host drains: it leaves its peers' view.
    Leave,
}

/// Messages gathered for each peer while one event is handled.
type Outgoing = BTreeMap<HostId, (SocketAddr, Vec<Message>)>;

/// The parts of the control task that talk to others than hosts.
pub struct Parts {
    /// The catalogue in the platform.
    pub store: Store,
    /// What this host says of itself on the list.
    pub leaving: hosts::Leaving,
    /// Asks peers for the list.
    pub borrower: Borrower,
    /// The engines of the data centre.
    pub engines: Engines,
    /// The task that gives orders to engines.
    pub orders: orders::Feed,
}

/// The state of the control task.
pub struct Actor {
    clock: Clock,
    me: Identity,
    members: Members,
    spread: Spread,
    store: Store,
    leaving: hosts::Leaving,
    borrower: Borrower,
    engines: Engines,
    orders: orders::Feed,
    outbox: Outbox,
    outgoing: Outgoing,
    early: Early,
    news: mpsc::UnboundedSender<News>,
}

impl Actor {
    /// A control task that knows nothing yet.
    pub fn new(
        clock: Clock,
        me: Identity,
        budget: spread::Budget,
        parts: Parts,
        news: mpsc::UnboundedSender<News>,
    ) -> Self {
        let members = Members::new(members::Config {
            me: me.host.clone(),
            data_centre: me.data_centre.clone(),
            addr: me.peers,
            seed: rand::random(),
            intervals: members::Intervals::default(),
        });
        let spread = Spread::new(spread::Config {
            me: me.host.clone(),
            data_centre: me.data_centre.clone(),
            seed: rand::random(),
            budget,
        });
        let outbox = Outbox::new(me.host.clone());
        let outgoing = Outgoing::new();
        Self {
            clock,
            me,
            members,
            spread,
            store: parts.store,
            leaving: parts.leaving,
            borrower: parts.borrower,
            engines: parts.engines,
            orders: parts.orders,
            outbox,
            outgoing,
            early: Early::default(),
            news,
        }
    }

    /// Handles events until the host stops.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        loop {
            let due = self.members.next_tick().min(self.spread.next_tick());
            let due = due.min(self.engines.next_tick());
            let wait = due.saturating_sub(self.clock.now());
            tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = actix_rt::time::sleep(wait) => {}
            }
            self.tick();
            self.flush();
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.members.tick(now, &mut actions);
        self.members_did(actions);
        let mut actions = Vec::new();
        self.spread.tick(now, &mut actions);
        self.spread_did(actions);
        let mut actions = Vec::new();
        self.engines.tick(now, &mut actions);
        self.engines_did(actions);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Inbound(Inbound::Envelope(envelope)) => self.envelope(envelope),
            Event::Inbound(inbound) => self.tell(News::Asked(inbound)),
            Event::Read(reading) => self.read(reading),
            Event::Listed(listing) => self.listed(listing),
            Event::Unlisted => self.unlisted(),
            Event::Lent(lent) => self.lent(lent),
            // The asker may have given up.
            Event::Lend(tx) => drop(tx.send(self.lend())),
            Event::Seen(sign) => {
                self.with_engines(|engines, now, did| engines.seen(now, sign, did))
            }
            Event::Answered(answer) => {
                self.with_engines(|engines, now, did| engines.answered(now, answer, did));
            }
            Event::RoundOver => self.engines.round_over(),
            Event::Send(to, message) => self.send(to, message),
            Event::Leave => {
                self.leaving.set();
                let mut actions = Vec::new();
                self.members
                    .announce_shutdown(self.clock.now(), &mut actions);
                self.members_did(actions);
            }
        }
    }

    fn tell(&self, news: News) {
        // Closed means that the host is stopping; the task ends by itself.
        let _ = self.news.send(news);
    }

    fn envelope(&mut self, envelope: Envelope) {
        let now = self.clock.now();
        self.members.record_contact(now, &envelope.from);
        for message in envelope.messages {
            match message {
                Message::Membership(membership::Message::Endpoints(news)) => {
                    self.with_engines(|engines, now, did| engines.receive(now, news, did));
                }
                Message::Membership(message) => {
                    let mut actions = Vec::new();
                    self.members
                        .receive(now, &envelope.from, message, &mut actions);
                    self.members_did(actions);
                }
                Message::Spread(message) => {
                    let mut actions = Vec::new();
                    self.spread
                        .receive(now, &envelope.from, message, &mut actions);
                    self.spread_did(actions);
                }
                Message::Rights(message) => {
                    self.rights(envelope.from.clone(), message);
                }
            }
        }
    }

    /// Hands a message about rights on, once the limits can make use of it.
    fn rights(&mut self, from: HostRef, message: rights::Message) {
        let seen = self.others().any(|p| p.host == from);
        let message = match seen {
            true => Some(message),
            false => self.early.keep(&from, message),
        };
        if let Some(message) = message {
            self.tell(News::Rights(from, message));
        }
    }

    fn read(&mut self, reading: Reading) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        match reading {
            Reading::New(read) => self.spread.receive_store_read(now, read, &mut actions),
            Reading::Head(head) => self.spread.receive_store_head(now, &head, &mut actions),
            Reading::Away => self.spread.receive_store_failure(now),
        }
        self.spread_did(actions);
    }

    fn listed(&mut self, listing: Listing) {
        let now = self.clock.now();
        self.members.update_list(now, &listing.hosts);
        self.view_changed();
        self.orders.endpoints(&listing.endpoints);
        self.with_engines(|engines, now, did| engines.listed(now, listing.endpoints, did));
    }

    /// Borrows the list of a peer if there has been none yet.
    fn unlisted(&mut self) {
        if self.engines.list().is_some() {
            return;
        }
        let live: Vec<SocketAddr> = self.others().map(|p| p.addr).collect();
        self.borrower.ask(&live);
    }

    fn lent(&mut self, lent: Option<protocol::Listing>) {
        self.borrower.answered();
        let Some(lent) = lent.filter(|_| self.engines.list().is_none()) else {
            return;
        };
        let (now, listing) = (self.clock.now(), Listing::from(lent));
        self.members.update_list(now, &listing.hosts);
        self.view_changed();
        if !listing.endpoints.is_empty() {
            log::info!("hosts: The list was lent by a peer.");
            self.with_engines(|engines, now, did| engines.listed(now, listing.endpoints, did));
        }
    }

    fn lend(&self) -> protocol::Listing {
        let alive = self.members.view().filter(|m| m.host.incarnation > 0);
        let hosts = alive.map(|m| protocol::ListedHost {
            id: m.host.id,
            addr: m.addr,
            data_centre: m.data_centre,
        });
        let endpoints = self.engines.list().unwrap_or_default();
        protocol::Listing {
            hosts: hosts.collect(),
            endpoints: endpoints.iter().map(hosts::lend).collect(),
        }
    }

    fn with_engines(&mut self, f: impl FnOnce(&mut Engines, Duration, &mut Vec<engines::Action>)) {
        let mut actions = Vec::new();
        f(&mut self.engines, self.clock.now(), &mut actions);
        self.engines_did(actions);
    }

    fn engines_did(&mut self, actions: Vec<engines::Action>) {
        for action in actions {
            match action {
                engines::Action::Send { to, addr, message } => {
                    let message = membership::Message::Endpoints(message);
                    self.gather(to, addr, Message::Membership(message));
                }
                engines::Action::Tell(news) => self.tell(news),
            }
        }
    }

    fn members_did(&mut self, actions: Vec<members::Action>) {
        for action in actions {
            match action {
                members::Action::Send { to, addr, message } => {
                    self.gather(to, addr, Message::Membership(message));
                }
                members::Action::Changed => self.view_changed(),
            }
        }
    }

    fn view_changed(&mut self) {
        self.spread
            .update_view(self.clock.now(), self.members.view());
        let view = self.members.view().collect();
        self.with_engines(|engines, now, did| engines.peers(now, view, did));
        let others: Vec<PeerInfo> = self.others().collect();
        let seen: Vec<HostRef> = others.iter().map(|p| p.host.clone()).collect();
        self.orders.peers(&others);
        self.tell(News::Peers(others));
        for (from, message) in self.early.take(&seen) {
            self.tell(News::Rights(from, message));
        }
    }

    /// The other hosts that were heard.
    fn others(&self) -> impl Iterator<Item = PeerInfo> {
        let me = &self.me.host.id;
        let alive = self.members.view();
        let others = alive.filter(move |m| m.host.id != *me && m.host.incarnation > 0);
        others.map(|m| PeerInfo {
            host: m.host,
            addr: m.addr,
            data_centre: m.data_centre,
        })
    }

    fn spread_did(&mut self, actions: Vec<spread::Action>) {
        for action in actions {
            match action {
                spread::Action::Send { to, addr, message } => {
                    self.gather(to, addr, Message::Spread(message));
                }
                spread::Action::InForce(_) => {
                    let catalogue = self.spread.catalogue().clone();
                    self.with_engines(|engines, now, did| engines.intents(now, &catalogue, did));
                    self.orders.catalogue(&catalogue);
                    self.tell(News::Catalogue(catalogue));
                }
                spread::Action::Poll { after } => self.store.read(self.spread.head(), after),
                spread::Action::Alarm(alarm) => alarmed(&alarm),
            }
        }
    }

    /// Sends a message of the request arbiter to a host of the view, if that life of it is alive.
    fn send(&mut self, to: HostRef, message: Message) {
        let addr = self.members.view().find(|m| m.host == to).map(|m| m.addr);
        match addr {
            Some(addr) => self.gather(to.id, addr, message),
            None => log::debug!(
                "peers: A message to {} was dropped: not in the view.",
                to.id
            ),
        }
    }

    fn gather(&mut self, to: HostId, addr: SocketAddr, message: Message) {
        let gathered = self.outgoing.entry(to).or_insert((addr, Vec::new()));
        gathered.0 = addr;
        gathered.1.push(message);
    }

    fn flush(&mut self) {
        for (to, (addr, messages)) in std::mem::take(&mut self.outgoing) {
            self.outbox.send(&to, addr, messages);
        }
    }
}

fn alarmed(alarm: &spread::Alarm) {
    match alarm {
        spread::Alarm::StoreOlder { in_force, found } => log::error!(
            "catalogue: ALARM store-older: the store holds revision {}, {} is in force here.",
            found.0,
            in_force.0
        ),
        spread::Alarm::StoreForked { in_force } => log::error!(
            "catalogue: ALARM store-forked: the store holds another revision {} than is in force here.",
            in_force.0
        ),
        spread::Alarm::PeerForked { peer, in_force } => log::error!(
            "catalogue: ALARM peer-forked: {peer} has another revision {} in force.",
            in_force.0
        ),
    }
}
