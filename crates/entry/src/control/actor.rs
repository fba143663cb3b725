//! The task of the control arbiter. It owns the state machines of membership and of the spread of
//! the catalogue, passes events to them, and executes the actions that they return.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflyrill_clock::Clock;
use dragonflyrill_membership::{
    members::{self, Members},
    spread::{self, Spread},
};
use dragonflyrill_protocol::{
    self as protocol, Envelope, HostId, HostRef, Message, membership, rights,
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    control::{
        ControlUpdate, Identity,
        engines::{self, Engines},
        hosts::{self, Borrower, Listing},
        orders,
        peers::{Inbound, Outbox},
        pending_maps::PendingMaps,
        polling::PollResponse,
        store::{CatalogueReader, ReadResult},
    },
    host::PeerInfo,
};

/// An event that the control task handles.
#[derive(Debug)]
pub enum Event {
    /// A message or a request from a peer.
    Inbound(Inbound),
    /// A read of the catalogue from the platform ended.
    CatalogueRead(ReadResult),
    /// The host list was read from the platform.
    ListingRead(Listing),
    /// The host list could not be read from the platform.
    ListingFailed,
    /// The host list that a peer lent; `None` if the request to the peer failed.
    PeerListing(Option<protocol::Listing>),
    /// A peer requests the host list.
    ListingRequest(oneshot::Sender<protocol::Listing>),
    /// This host observed a sign that an endpoint is draining. Incarnation 0 stands for the known
    /// incarnation of the endpoint.
    SignObserved(membership::Sign),
    /// A polled engine of the data centre answered.
    EnginePolled(PollResponse),
    /// Each engine that this host polls has answered, or its poll has failed or timed out.
    PollRoundDone,
    /// A message from the request arbiter, to be sent to a peer.
    Send(HostRef, Message),
    /// The host is shutting down and announces it to its peers.
    ShutDown,
}

/// The messages to each peer that are queued while one event is handled.
type OutgoingMessages = BTreeMap<HostId, (SocketAddr, Vec<Message>)>;

/// The components that the control task needs besides the state machines between hosts.
pub struct Components {
    /// Reads the catalogue from the platform.
    pub catalogue: CatalogueReader,
    /// Whether this host is listed as shutting down.
    pub shutting_down: hosts::ShutdownFlag,
    /// Borrows the host list from peers.
    pub borrower: Borrower,
    /// The state of the engines of the data centre.
    pub engines: Engines,
    /// The handle of the task that sends orders to engines.
    pub orders: orders::OrdersHandle,
}

/// The state of the control task.
pub struct Actor {
    clock: Clock,
    me: Identity,
    members: Members,
    spread: Spread,
    catalogue: CatalogueReader,
    shutting_down: hosts::ShutdownFlag,
    borrower: Borrower,
    engines: Engines,
    orders: orders::OrdersHandle,
    outbox: Outbox,
    outgoing: OutgoingMessages,
    pending_maps: PendingMaps,
    updates: mpsc::UnboundedSender<ControlUpdate>,
}

impl Actor {
    /// Creates a control task that knows no peers, endpoints or catalogue.
    pub fn new(
        clock: Clock,
        me: Identity,
        budget: spread::Budget,
        components: Components,
        updates: mpsc::UnboundedSender<ControlUpdate>,
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
        let outgoing = OutgoingMessages::new();
        Self {
            clock,
            me,
            members,
            spread,
            catalogue: components.catalogue,
            shutting_down: components.shutting_down,
            borrower: components.borrower,
            engines: components.engines,
            orders: components.orders,
            outbox,
            outgoing,
            pending_maps: PendingMaps::default(),
            updates,
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
                () = self.clock.sleep(wait) => {}
            }
            self.tick();
            self.flush();
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.members.tick(now, &mut actions);
        self.execute_members(actions);
        let mut actions = Vec::new();
        self.spread.tick(now, &mut actions);
        self.execute_spread(actions);
        let mut actions = Vec::new();
        self.engines.tick(now, &mut actions);
        self.execute_engines(actions);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Inbound(Inbound::Envelope(envelope)) => self.receive_envelope(envelope),
            Event::Inbound(inbound) => self.send_update(ControlUpdate::PeerRequest(inbound)),
            Event::CatalogueRead(result) => self.handle_read(result),
            Event::ListingRead(listing) => self.update_listing(listing),
            Event::ListingFailed => self.borrow_listing(),
            Event::PeerListing(lent) => self.receive_lent_listing(lent),
            // The receiver is dropped if the request of the peer timed out.
            Event::ListingRequest(tx) => drop(tx.send(self.listing_to_lend())),
            Event::SignObserved(sign) => {
                self.with_engines(|engines, now, actions| engines.observe_sign(now, sign, actions))
            }
            Event::EnginePolled(response) => {
                self.with_engines(|engines, now, actions| {
                    engines.handle_response(now, response, actions)
                });
            }
            Event::PollRoundDone => self.engines.finish_poll_round(),
            Event::Send(to, message) => self.send(to, message),
            Event::ShutDown => {
                self.shutting_down.set();
                let mut actions = Vec::new();
                self.members
                    .announce_shutdown(self.clock.now(), &mut actions);
                self.execute_members(actions);
            }
        }
    }

    fn send_update(&self, update: ControlUpdate) {
        // The channel is closed only when the host is stopping, which also ends this task.
        let _ = self.updates.send(update);
    }

    fn receive_envelope(&mut self, envelope: Envelope) {
        let now = self.clock.now();
        self.members.record_contact(now, &envelope.from);
        for message in envelope.messages {
            match message {
                Message::Membership(membership::Message::Endpoints(message)) => {
                    self.with_engines(|engines, now, actions| {
                        engines.receive(now, message, actions)
                    });
                }
                Message::Membership(message) => {
                    let mut actions = Vec::new();
                    self.members
                        .receive(now, &envelope.from, message, &mut actions);
                    self.execute_members(actions);
                }
                Message::Spread(message) => {
                    let mut actions = Vec::new();
                    self.spread
                        .receive(now, &envelope.from, message, &mut actions);
                    self.execute_spread(actions);
                }
                Message::Rights(message) => {
                    self.forward_rights(envelope.from.clone(), message);
                }
            }
        }
    }

    /// Passes a message about rights to the request arbiter. A map of a host that is not in the view
    /// yet is stored until the view contains the host.
    fn forward_rights(&mut self, from: HostRef, message: rights::Message) {
        let in_view = self.other_hosts().any(|p| p.host == from);
        let message = match in_view {
            true => Some(message),
            false => self.pending_maps.store(&from, message),
        };
        if let Some(message) = message {
            self.send_update(ControlUpdate::Rights(from, message));
        }
    }

    fn handle_read(&mut self, result: ReadResult) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        match result {
            ReadResult::Newer(read) => self.spread.receive_store_read(now, read, &mut actions),
            ReadResult::NotNewer(head) => self.spread.receive_store_head(now, &head, &mut actions),
            ReadResult::Failed => self.spread.receive_store_failure(now),
        }
        self.execute_spread(actions);
    }

    /// Applies a listing that was read from the platform.
    fn update_listing(&mut self, listing: Listing) {
        let now = self.clock.now();
        self.members.update_list(now, &listing.hosts);
        self.publish_view();
        self.orders.set_endpoints(&listing.endpoints);
        self.with_engines(|engines, now, actions| {
            engines.update_list(now, listing.endpoints, actions)
        });
    }

    /// Requests the list of a peer if this host has none yet.
    fn borrow_listing(&mut self) {
        if self.engines.list().is_some() {
            return;
        }
        let live: Vec<SocketAddr> = self.other_hosts().map(|p| p.addr).collect();
        self.borrower.request(&live);
    }

    /// Applies a listing that a peer lent, unless this host has one already.
    fn receive_lent_listing(&mut self, lent: Option<protocol::Listing>) {
        self.borrower.finish_request();
        let Some(lent) = lent.filter(|_| self.engines.list().is_none()) else {
            return;
        };
        let (now, listing) = (self.clock.now(), Listing::from(lent));
        self.members.update_list(now, &listing.hosts);
        self.publish_view();
        if !listing.endpoints.is_empty() {
            log::info!("hosts: The host list was borrowed from a peer.");
            self.with_engines(|engines, now, actions| {
                engines.update_list(now, listing.endpoints, actions)
            });
        }
    }

    /// The list that this host lends to a peer: the known hosts and endpoints.
    fn listing_to_lend(&self) -> protocol::Listing {
        let alive = self.members.view().filter(|m| m.host.incarnation > 0);
        let hosts = alive.map(|m| protocol::ListedHost {
            id: m.host.id,
            addr: m.addr,
            data_centre: m.data_centre,
        });
        let endpoints = self.engines.list().unwrap_or_default();
        protocol::Listing {
            hosts: hosts.collect(),
            endpoints: endpoints.iter().map(hosts::to_lent).collect(),
        }
    }

    fn with_engines(&mut self, f: impl FnOnce(&mut Engines, Duration, &mut Vec<engines::Action>)) {
        let mut actions = Vec::new();
        f(&mut self.engines, self.clock.now(), &mut actions);
        self.execute_engines(actions);
    }

    fn execute_engines(&mut self, actions: Vec<engines::Action>) {
        for action in actions {
            match action {
                engines::Action::Send { to, addr, message } => {
                    let message = membership::Message::Endpoints(message);
                    self.queue_message(to, addr, Message::Membership(message));
                }
                engines::Action::Notify(update) => self.send_update(update),
            }
        }
    }

    fn execute_members(&mut self, actions: Vec<members::Action>) {
        for action in actions {
            match action {
                members::Action::Send { to, addr, message } => {
                    self.queue_message(to, addr, Message::Membership(message));
                }
                members::Action::Changed => self.publish_view(),
            }
        }
    }

    fn publish_view(&mut self) {
        self.spread
            .update_view(self.clock.now(), self.members.view());
        let view = self.members.view().collect();
        self.with_engines(|engines, now, actions| engines.update_view(now, view, actions));
        let others: Vec<PeerInfo> = self.other_hosts().collect();
        let in_view: Vec<HostRef> = others.iter().map(|p| p.host.clone()).collect();
        self.orders.set_peers(&others);
        self.send_update(ControlUpdate::Peers(others));
        for (from, message) in self.pending_maps.remove_known(&in_view) {
            self.send_update(ControlUpdate::Rights(from, message));
        }
    }

    /// The other hosts of the view whose incarnation is known.
    fn other_hosts(&self) -> impl Iterator<Item = PeerInfo> {
        let me = &self.me.host.id;
        let alive = self.members.view();
        let others = alive.filter(move |m| m.host.id != *me && m.host.incarnation > 0);
        others.map(|m| PeerInfo {
            host: m.host,
            addr: m.addr,
            data_centre: m.data_centre,
        })
    }

    fn execute_spread(&mut self, actions: Vec<spread::Action>) {
        for action in actions {
            match action {
                spread::Action::Send { to, addr, message } => {
                    self.queue_message(to, addr, Message::Spread(message));
                }
                spread::Action::InForce(_) => {
                    let catalogue = self.spread.catalogue().clone();
                    self.with_engines(|engines, now, actions| {
                        engines.update_intents(now, &catalogue, actions)
                    });
                    self.orders.set_catalogue(&catalogue);
                    self.send_update(ControlUpdate::Catalogue(catalogue));
                }
                spread::Action::Poll { after } => {
                    self.catalogue.start_read(self.spread.head(), after)
                }
                spread::Action::Alarm(alarm) => log_alarm(&alarm),
            }
        }
    }

    /// Sends a message of the request arbiter to a host, if the view contains this incarnation of it.
    fn send(&mut self, to: HostRef, message: Message) {
        let addr = self.members.view().find(|m| m.host == to).map(|m| m.addr);
        match addr {
            Some(addr) => self.queue_message(to.id, addr, message),
            None => log::debug!(
                "peers: A message to {} was dropped: the host is not in the view.",
                to.id
            ),
        }
    }

    fn queue_message(&mut self, to: HostId, addr: SocketAddr, message: Message) {
        let queued = self.outgoing.entry(to).or_insert((addr, Vec::new()));
        queued.0 = addr;
        queued.1.push(message);
    }

    fn flush(&mut self) {
        for (to, (addr, messages)) in std::mem::take(&mut self.outgoing) {
            self.outbox.send(&to, addr, messages);
        }
    }
}

fn log_alarm(alarm: &spread::Alarm) {
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
