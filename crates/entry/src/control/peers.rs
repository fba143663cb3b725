//! Communication with other entry hosts over tarpc.
//!
//! Messages are one-way: [`Outbox`] sends the messages to a peer as one envelope. Messages that can't
//! be sent are dropped, since each state machine that sends them tolerates losses. After a failure
//! the connection is opened again for the next envelope.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_gateway::http::{
    frames::CountedFrames,
    intake::{ConnectionGuard, Intake, Listener},
};
use dragonflyrill_intake::connections::Activity;
use dragonflyrill_protocol::{
    Envelope, HostId, HostRef, Listing, MAX_FRAME, Message, Peer, PeerClient,
    found::{Claim, Claimed, Found, Query},
};
use futures_util::StreamExt;
use rustc_hash::FxHashMap;
use tarpc::{
    client, context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{sync::oneshot, task};

use crate::control::{ControlSender, actor::Event};

/// The pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for the delivery of an envelope.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for a claim at the home of a request. It is short because a caller waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);
/// The timeout for a query about a request, in addition to the wait time in the query.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for a request for the list of a peer.
const LISTING_TIMEOUT: Duration = Duration::from_secs(2);
/// How many envelopes to one peer may be in flight. Beyond this bound messages are dropped.
const MAX_ENVELOPES_IN_FLIGHT: usize = 64;

/// A message or a request from a peer.
#[derive(Debug)]
pub enum Inbound {
    /// One-way messages.
    Envelope(Envelope),
    /// A claim to run a request, with the channel for the answer.
    Claim(Claim, oneshot::Sender<Claimed>),
    /// A query about a request, with the channel for the answer.
    Find(Query, oneshot::Sender<Found>),
}

/// The server for calls of peers.
#[derive(Clone)]
struct Server {
    tx: ControlSender,
}

impl Peer for Server {
    async fn deliver(self, _: context::Context, envelope: Envelope) {
        // Fails only when the host is stopping.
        let _ = self.tx.send(Event::Inbound(Inbound::Envelope(envelope)));
    }

    async fn claim(self, _: context::Context, claim: Claim) -> Claimed {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Event::Inbound(Inbound::Claim(claim, tx)));
        rx.await.unwrap_or(Claimed::Free { runs: 0 })
    }

    async fn find(self, _: context::Context, query: Query) -> Found {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Event::Inbound(Inbound::Find(query, tx)));
        rx.await.unwrap_or(Found::Unknown)
    }

    async fn listing(self, _: context::Context) -> Listing {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Event::ListingRequest(tx));
        rx.await.unwrap_or_default()
    }
}

/// Accepts connections of peers on a listening socket and sends their messages and requests to `tx`.
pub async fn serve(
    listener: tokio::net::TcpListener,
    tx: ControlSender,
    intake: Rc<Intake>,
) -> std::io::Result<()> {
    loop {
        let (io, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("peers: A connection was not accepted: {e}.");
                awake::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        let Ok(counted) = intake.connect(Listener::Peers, peer) else {
            continue;
        };
        if let Err(e) = io.set_nodelay(true) {
            log::debug!("peers: TCP_NODELAY was not set for {peer}: {e}.");
        }
        let server = Server { tx: tx.clone() };
        actix_rt::spawn(serve_connection(io, server, counted));
        task::yield_now().await;
    }
}

async fn serve_connection(io: tokio::net::TcpStream, server: Server, counted: ConnectionGuard) {
    let counted = Rc::new(counted);
    let io = CountedFrames::new(io, counted.clone());
    let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MAX_FRAME).new_framed(io);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let mut requests =
        std::pin::pin!(BaseChannel::with_defaults(transport).execute(server.serve()));
    loop {
        let request = tokio::select! {
            request = requests.next() => request,
            // The connection that has carried nothing for longest is the one that is not used any more.
            _ = counted.until_required_to_end() => return,
        };
        let Some(request) = request else {
            return;
        };
        counted.record_activity(Activity::Idle);
        actix_rt::spawn(request);
    }
}

/// The connection to one peer, and the number of envelopes in flight to it.
struct PeerConnection {
    addr: SocketAddr,
    client: Option<PeerClient>,
    in_flight: usize,
}

/// The connections to all peers.
#[derive(Clone)]
pub struct Outbox {
    me: HostRef,
    connections: Rc<std::cell::RefCell<FxHashMap<HostId, PeerConnection>>>,
}

impl Outbox {
    /// Creates an outbox of host `me` without connections.
    pub fn new(me: HostRef) -> Self {
        Self {
            me,
            connections: Rc::default(),
        }
    }

    /// Starts to send `messages` to `to` at `addr` and returns at once.
    pub fn send(&self, to: &HostId, addr: SocketAddr, messages: Vec<Message>) {
        let mut connections = self.connections.borrow_mut();
        let new_connection = || PeerConnection {
            addr,
            client: None,
            in_flight: 0,
        };
        let connection = connections.entry(to.clone()).or_insert_with(new_connection);
        if connection.addr != addr {
            *connection = new_connection();
        }
        if connection.in_flight >= MAX_ENVELOPES_IN_FLIGHT {
            log::debug!("peers: Messages to {to} were dropped: too many are in flight.");
            return;
        }
        connection.in_flight += 1;
        let envelope = Envelope {
            from: self.me.clone(),
            messages,
        };
        actix_rt::spawn(self.clone().deliver(to.clone(), addr, envelope));
    }

    async fn deliver(self, to: HostId, addr: SocketAddr, envelope: Envelope) {
        if let Some(client) = self.client(&to, addr).await {
            let sent = client.deliver(deadline(DELIVER_TIMEOUT), envelope).await;
            if let Err(e) = sent {
                log::debug!("peers: Messages were not delivered to {to}: {e}.");
                self.drop_connection(&to, addr);
            }
        }
        if let Some(connection) = self.connections.borrow_mut().get_mut(&to) {
            connection.in_flight = connection.in_flight.saturating_sub(1);
        }
    }

    /// Claims a request at the peer `to`. Returns `None` if the call fails.
    pub async fn claim(&self, to: &HostId, addr: SocketAddr, claim: Claim) -> Option<Claimed> {
        let client = self.client(to, addr).await?;
        let result = client.claim(deadline(CLAIM_TIMEOUT), claim).await;
        self.check_answer(to, addr, result)
    }

    /// Queries the peer `to` about a request. Returns `None` if the call fails.
    pub async fn find(&self, to: &HostId, addr: SocketAddr, query: Query) -> Option<Found> {
        let client = self.client(to, addr).await?;
        let limit = FIND_TIMEOUT + Duration::from_millis(query.wait_ms.into());
        let result = client.find(deadline(limit), query).await;
        self.check_answer(to, addr, result)
    }

    /// Returns the answer of a call; drops the connection if the call failed.
    fn check_answer<T>(
        &self,
        to: &HostId,
        addr: SocketAddr,
        result: Result<T, client::RpcError>,
    ) -> Option<T> {
        match result {
            Ok(answer) => Some(answer),
            Err(e) => {
                log::debug!("peers: A call to {to} failed: {e}.");
                self.drop_connection(to, addr);
                None
            }
        }
    }

    async fn client(&self, to: &HostId, addr: SocketAddr) -> Option<PeerClient> {
        let known = self
            .connections
            .borrow()
            .get(to)
            .and_then(|c| c.client.clone());
        if known.is_some() {
            return known;
        }
        let client = connect(addr).await?;
        let mut connections = self.connections.borrow_mut();
        let connection = connections.entry(to.clone()).or_insert(PeerConnection {
            addr,
            client: None,
            in_flight: 0,
        });
        connection.client = Some(client.clone());
        Some(client)
    }

    fn drop_connection(&self, to: &HostId, addr: SocketAddr) {
        if let Some(connection) = self.connections.borrow_mut().get_mut(to)
            && connection.addr == addr
        {
            connection.client = None;
        }
    }
}

/// Requests the list of the host at `addr`. Returns `None` if the call fails.
pub async fn fetch_listing(addr: SocketAddr) -> Option<Listing> {
    let client = connect(addr).await?;
    match client.listing(deadline(LISTING_TIMEOUT)).await {
        Ok(listing) => Some(listing),
        Err(e) => {
            log::debug!("peers: The list was not borrowed from {addr}: {e}.");
            None
        }
    }
}

fn deadline(limit: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = (awake::Instant::now() + limit).into_std();
    cx
}

async fn connect(addr: SocketAddr) -> Option<PeerClient> {
    let mut connecting = tcp::connect(addr, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME);
    match awake::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(transport)) => Some(PeerClient::new(client::Config::default(), transport).spawn()),
        Ok(Err(e)) => {
            log::debug!("peers: A connection to {addr} failed: {e}.");
            None
        }
        Err(_) => None,
    }
}
