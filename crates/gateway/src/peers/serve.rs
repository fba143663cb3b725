//! Answers the polls of the other hosts, and accepts the connections over which they have requests passed on.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{
    choice::LoadMap,
    endpoints::{AvoidedEndpoint, Endpoint},
    fair_share, reported_loads,
};
use dragonflyrill_intake::connections::Activity;
use dragonflyrill_protocol::{
    MAX_FRAME,
    exchange::{
        EndpointListEntry, EndpointListUpdate, Exchange, ListPosition, PollRequest, PollResponse,
        RowWriteRequest, RowWriteResponse,
    },
};
use futures_util::StreamExt;
use tarpc::{
    context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{self, JoinSet},
};

use super::{
    PeerReport, avoided_from_wire, avoided_to_wire, from_wire, limits, row_writes, suspects,
    timelines::{self, StatedTimelines},
    to_wire,
};
use crate::{
    gateway::Gateway,
    http::{
        frames::CountedFrames,
        intake::{ConnectionGuard, Listener},
    },
    paths,
    ports::StoreRevision,
};

/// Maximum number of endpoints in a list that is sent in full. Such a list has 15 KB, and a link of
/// 20 Mbit/s sends it to 60 hosts in 0.4 s. Hosts read longer lists from the store, each over its
/// own link.
const MAX_FULL_LIST_ENDPOINTS: usize = 100;

/// The first byte of a polling host's connection: that of the length of a frame, which is at most [`MAX_FRAME`]. A
/// connection over which requests are passed on starts with a letter.
const FRAME_LENGTH_START: u8 = 0;
const _: () = assert!(MAX_FRAME < 1 << 24);

/// Serves the other hosts for as long as the process runs. Dropping the future closes the
/// connections.
pub async fn serve(listener: TcpListener, gateway: Rc<Gateway>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((io, peer)) => {
                if let Ok(counted) = gateway.intake.connect(Listener::Peers, peer) {
                    connections.spawn_local(connection(io, gateway.clone(), counted));
                }
                task::yield_now().await;
            }
            Err(e) => {
                log::warn!(target: "peers", why:% = e; "A connection was not accepted.");
                awake::sleep(super::follow::POLL_INTERVAL).await;
            }
        }
    }
}

async fn connection(io: TcpStream, gateway: Rc<Gateway>, counted: ConnectionGuard) {
    if let Err(e) = io.set_nodelay(true) {
        log::debug!(target: "peers", why:% = e; "A connection can't be set up.");
    }
    let mut first = [0];
    let peeked = tokio::select! {
        peeked = io.peek(&mut first) => peeked,
        _ = counted.until_required_to_end() => return,
    };
    match peeked {
        Ok(1) if first[0] == FRAME_LENGTH_START => {}
        Ok(1) => return paths::serve::serve(io, gateway, counted).await,
        _ => return,
    }
    let counted = Rc::new(counted);
    counted.record_activity(Activity::Idle);
    let io = CountedFrames::new(io, counted.clone());
    let mut codec = LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MAX_FRAME).new_framed(io);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let server = ExchangeServer { gateway };
    let channel = BaseChannel::with_defaults(transport);
    let mut requests = std::pin::pin!(channel.execute(server.serve()));
    // The answer to a poll never waits for anything, so answering concurrently would not be faster. A row is written
    // over a connection of its own.
    loop {
        let request = tokio::select! {
            request = requests.next() => request,
            // Polls come often: the connection that has waited longest is the one that is not used any more.
            _ = counted.until_required_to_end() => return,
        };
        let Some(request) = request else {
            return;
        };
        counted.record_activity(Activity::Answering);
        request.await;
        counted.record_activity(Activity::Idle);
    }
}

#[derive(Clone)]
struct ExchangeServer {
    gateway: Rc<Gateway>,
}

impl Exchange for ExchangeServer {
    async fn exchange(self, _: context::Context, offer: PollRequest) -> PollResponse {
        answer(&self.gateway, &offer)
    }

    async fn write_row(self, _: context::Context, request: RowWriteRequest) -> RowWriteResponse {
        row_writes::submit(self.gateway, request).await
    }
}

/// Applies what a polling host offers, and returns the updates that it lacks.
pub fn answer(gateway: &Rc<Gateway>, offer: &PollRequest) -> PollResponse {
    gateway.check_suspension();
    let now = gateway.now();
    let peers = &gateway.peers;
    let near = &*gateway.settings.data_centre;
    let same_data_centre = offer.from.data_centre == near;
    let from = &*offer.from.host;
    let read_age = offer.read_age_us.map(Duration::from_micros);
    let report = PeerReport {
        from: offer.from.clone(),
        avoided: avoided_from_wire(&offer.avoided),
        read_at: read_age.and_then(|age| now.checked_sub(age)),
        received_at: now,
    };
    let stated = StatedTimelines::find(&offer.loads, from);
    if let Some(stated) = stated {
        gateway.observe_timeline(stated.latest, from);
    }
    // Hosts of other data centres request no catalogue.
    if same_data_centre && offer.catalogue != u64::MAX {
        peers.record_known_catalogue(gateway, offer.catalogue, &offer.from);
    }
    peers.record_report(report, from_wire(&offer.loads));
    suspects::merge(gateway, &offer.suspects);
    let limits = limits::answer(gateway, &offer.from, &offer.limits);
    let store_fails = gateway.store_reads_fail();
    if store_fails && same_data_centre && read_age.is_some() {
        // The polling host may have an answer from the store that this host lacks.
        peers.poll_now();
    }
    let probe_slot = store_fails
        && same_data_centre
        && read_age.is_none()
        && peers.grant_probe_slot(from, near, now);
    if probe_slot {
        log::info!(target: "peers", host = from; "A host is granted a store probe slot.");
    }
    let avoided = peers.avoided_except(&gateway.settings.host, now);
    gateway
        .directory
        .borrow_mut()
        .apply_peer_avoided(avoided, now);
    let loads = match same_data_centre {
        true => loads_except(gateway, from),
        false => own_data_centre_loads(gateway),
    };
    let (catalogue, deferred) = match catalogue_update(gateway, offer) {
        CatalogueUpdate::Current => (None, false),
        CatalogueUpdate::Document(version, document) => (Some((version, document.to_vec())), false),
        CatalogueUpdate::Deferred => (None, true),
    };
    // The freshness proof of this host's catalogue doesn't apply to the older one that the polling
    // host keeps until it gets the document.
    let age = gateway.freshness.get().proof_age(now).filter(|_| !deferred);
    let mut loads = to_wire(&loads);
    let own_timelines = StatedTimelines::own(gateway);
    loads.extend(own_timelines.map(|t| t.to_entry(&gateway.settings.host)));
    let list_known = offer
        .list_revision
        .and_then(|version| timelines::list_revision(gateway.known_timelines(), stated, version));
    PollResponse {
        proof_age_us: age.map(|a| a.as_micros() as u64),
        store_answer_age_us: gateway.store_answer_age().map(|a| a.as_micros() as u64),
        reader: match gateway.reads_store() {
            true => None,
            false => peers.reader.borrow().clone(),
        },
        store_unavailable: store_fails || gateway.store_unavailable(),
        probe_slot,
        catalogue,
        list: offer
            .list
            .and_then(|mark| list_update(gateway, mark, list_known)),
        fleet: (offer.fleet != peers.fleet_hash.get()).then(|| peers.fleet()),
        lease: peers.lease(),
        claims: gateway.bounds.report(now),
        loads,
        avoided: match same_data_centre {
            true => avoided_to_wire(&avoided_except(gateway, from)),
            false => Vec::new(),
        },
        limits,
        suspects: suspects::update(gateway, offer.suspects_known),
    }
}

/// What a polling host is sent of the catalogue.
enum CatalogueUpdate {
    /// Nothing: the polling host knows the newest catalogue.
    Current,
    /// The document of the newest catalogue, and its version.
    Document(u64, Bytes),
    /// Nothing yet: there is a newer catalogue, but its document is being sent to other hosts now.
    Deferred,
}

fn catalogue_update(gateway: &Gateway, offer: &PollRequest) -> CatalogueUpdate {
    let version = gateway.catalogue_version();
    if version <= offer.catalogue {
        return CatalogueUpdate::Current;
    }
    if !offer.accepts_compressed {
        return CatalogueUpdate::Document(version, gateway.catalogue_document.borrow().clone());
    }
    let documents = &gateway.peers.documents;
    match documents.acquire(gateway, version, gateway.now()) {
        Some(document) => CatalogueUpdate::Document(version, document),
        None => CatalogueUpdate::Deferred,
    }
}

/// The endpoints that the hosts of this data centre except `host` avoid because of their own calls.
fn avoided_except(gateway: &Gateway, host: &str) -> Vec<AvoidedEndpoint> {
    let now = gateway.now();
    let mut all = gateway.directory.borrow().avoided(now);
    all.extend(gateway.peers.avoided_except(host, now));
    all
}

/// The loads caused by all hosts except `host`.
fn loads_except(gateway: &Gateway, host: &str) -> LoadMap {
    let now = gateway.now();
    let others = gateway.peers.loads.borrow_mut().sum_except(host, now);
    with_own_loads(gateway, others)
}

/// The loads caused by the hosts of this data centre.
pub(super) fn own_data_centre_loads(gateway: &Gateway) -> LoadMap {
    let near = &*gateway.settings.data_centre;
    let now = gateway.now();
    let others = gateway.peers.loads.borrow_mut().sum_of(near, now);
    with_own_loads(gateway, others)
}

/// The sum of the loads caused by other hosts and by this one, including those of workspaces.
fn with_own_loads(gateway: &Gateway, others: LoadMap) -> LoadMap {
    let mut sum = others;
    reported_loads::add(&mut sum, gateway.loads.borrow().own());
    super::add_reports(gateway, &mut sum);
    fair_share::limit_named(&mut sum);
    sum
}

/// Returns the changes of the list of endpoints that a host lacks. The host knows the list up to
/// `mark`, a position in the list of this host or of another one, and up to the store revision
/// `known_to` if it has read the list itself. `None` if this host has no list, or if a long list
/// would have to be sent in full.
fn list_update(
    gateway: &Gateway,
    mark: ListPosition,
    known_to: Option<StoreRevision>,
) -> Option<EndpointListUpdate> {
    if !gateway.endpoints_known.get() {
        return None;
    }
    let origin = gateway.peers.list_origin(&gateway.settings.host);
    let directory = gateway.directory.borrow();
    let known = match mark.origin == origin {
        true => Some(mark.version),
        false => known_to.and_then(|at| directory.version_at_revision(at)),
    };
    let changes = directory.changes_since(known);
    if changes.complete && changes.changed.len() > MAX_FULL_LIST_ENDPOINTS {
        return None;
    }
    let doubted = gateway.lapsed_endpoints.borrow();
    let listed = changes
        .changed
        .iter()
        .filter(|e| !doubted.contains_key(&e.id));
    Some(EndpointListUpdate {
        position: ListPosition {
            origin,
            version: changes.version,
        },
        store_revision: gateway.list_revision.get().version,
        complete: changes.complete,
        changed: listed.map(|e| to_listed(e)).collect(),
        lapsed: doubted.keys().map(ToString::to_string).collect(),
        removed: changes.removed.iter().map(ToString::to_string).collect(),
    })
}

fn to_listed(endpoint: &Endpoint) -> EndpointListEntry {
    EndpointListEntry {
        name: endpoint.name.to_string(),
        started_at_ms: endpoint.started_at.map(|b| b.0),
        service: endpoint.service.to_string(),
        addr: endpoint.addr,
        data_centre: endpoint.data_centre.to_string(),
        slots: endpoint.slots,
        draining: endpoint.draining,
        accelerator: endpoint.accelerator.as_deref().map(str::to_owned),
        layers: endpoint.layers.map(|l| (l.first, l.end)),
    }
}
