//! Answers the other hosts.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::{
    choice::LoadMap,
    endpoints::{AvoidedEndpoint, Endpoint},
};
use dragonflyrill_protocol::{
    MAX_FRAME,
    exchange::{Exchange, ListMark, ListNews, Listed, News, Offer},
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
    task::JoinSet,
};

use super::{Heard, add, avoided_from_wire, avoided_to_wire, from_wire, limits, suspects, to_wire};
use crate::gateway::Gateway;

/// The most endpoints of a list that is told whole: 15 KB, which a link of 20 Mbit/s takes to 60 hosts in
/// 0.4 s by arithmetic. Hosts read longer ones from the store, each by its own link.
const MOST_TOLD_WHOLE: usize = 100;

/// Serves the other hosts for as long as the process lives. Connections end with it.
pub async fn serve(listener: TcpListener, gateway: Rc<Gateway>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((io, _)) => {
                connections.spawn_local(connection(io, gateway.clone()));
            }
            Err(e) => {
                log::warn!(target: "peers", why:% = e; "A connection was not accepted.");
                tokio::time::sleep(super::follow::PERIOD).await;
            }
        }
    }
}

async fn connection(io: TcpStream, gateway: Rc<Gateway>) {
    if let Err(e) = io.set_nodelay(true) {
        log::debug!(target: "peers", why:% = e; "A connection can't be set up.");
    }
    let mut codec = LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MAX_FRAME).new_framed(io);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let answers = Answers { gateway };
    let channel = BaseChannel::with_defaults(transport);
    let mut requests = std::pin::pin!(channel.execute(answers.serve()));
    // Answers need no waiting: one after the other is as good as side by side.
    while let Some(request) = requests.next().await {
        request.await;
    }
}

#[derive(Clone)]
struct Answers {
    gateway: Rc<Gateway>,
}

impl Exchange for Answers {
    async fn exchange(self, _: context::Context, offer: Offer) -> News {
        answer(&self.gateway, &offer)
    }
}

/// Takes an offer and gives what the other host lacks.
pub fn answer(gateway: &Gateway, offer: &Offer) -> News {
    let now = gateway.now();
    let peers = &gateway.peers;
    let near = &*gateway.settings.data_centre;
    let same = offer.from.data_centre == near;
    let from = &*offer.from.host;
    let read_age = offer.read_age_us.map(Duration::from_micros);
    let told = Heard {
        from: offer.from.clone(),
        loads: from_wire(&offer.loads),
        avoided: avoided_from_wire(&offer.avoided),
        read_at: read_age.and_then(|age| now.checked_sub(age)),
        at: now,
    };
    peers.hear(told);
    suspects::take(gateway, &offer.suspects);
    let limits = limits::answer(gateway, &offer.from, &offer.limits);
    let waits = gateway.reads_in_vain();
    if waits && same && read_age.is_some() {
        // It may have an answer from the store that this host lacks.
        peers.hurry();
    }
    let turn = waits && same && read_age.is_none() && peers.turn(from, near, now);
    if turn {
        log::info!(target: "peers", host = from; "A host is to try the store.");
    }
    let told = peers.avoided_but(&gateway.settings.host, now);
    gateway.directory.borrow_mut().apply_peer_avoided(told, now);
    let loads = match same {
        true => loads_but(gateway, from),
        false => own_data_centre(gateway),
    };
    let (catalogue, follows) = match catalogue_news(gateway, offer) {
        CatalogueUpdate::None => (None, false),
        CatalogueUpdate::Told(version, document) => (Some((version, document.to_vec())), false),
        CatalogueUpdate::Follows => (None, true),
    };
    // What proves this host's catalogue says nothing of the older one that the other host keeps meanwhile.
    let age = gateway.freshness.get().proof_age(now).filter(|_| !follows);
    News {
        proof_age_us: age.map(|a| a.as_micros() as u64),
        heard_age_us: gateway.heard_age().map(|a| a.as_micros() as u64),
        reader: match gateway.reads_store() {
            true => None,
            false => peers.reader.borrow().clone(),
        },
        away: waits || gateway.store_away(),
        turn,
        catalogue,
        list: offer
            .list
            .and_then(|mark| list_news(gateway, mark, offer.list_known_to)),
        fleet: (offer.fleet != peers.fleet_hash.get()).then(|| peers.fleet()),
        lease: peers.lease(),
        claims: gateway.bounds.report(now),
        loads: to_wire(&loads),
        avoided: match same {
            true => avoided_to_wire(&avoided_but(gateway, from)),
            false => Vec::new(),
        },
        limits,
        suspects: suspects::news(gateway, offer.suspects_known),
    }
}

/// What a host is told of the catalogue.
enum CatalogueUpdate {
    /// It knows the newest.
    None,
    /// This version.
    Told(u64, Bytes),
    /// There is a newer one, which other hosts are being told now.
    Follows,
}

fn catalogue_news(gateway: &Gateway, offer: &Offer) -> CatalogueUpdate {
    let version = gateway.catalogue_version();
    if version <= offer.catalogue {
        return CatalogueUpdate::None;
    }
    if !offer.unpacks {
        return CatalogueUpdate::Told(version, gateway.document.borrow().clone());
    }
    let documents = &gateway.peers.documents;
    match documents.tell(gateway, version, gateway.now()) {
        Some(document) => CatalogueUpdate::Told(version, document),
        None => CatalogueUpdate::Follows,
    }
}

/// What the hosts of this data centre but one avoid by what they saw themselves.
fn avoided_but(gateway: &Gateway, host: &str) -> Vec<AvoidedEndpoint> {
    let now = gateway.now();
    let mut all = gateway.directory.borrow().avoided(now);
    all.extend(gateway.peers.avoided_but(host, now));
    all
}

/// The loads of all hosts but one of this data centre.
fn loads_but(gateway: &Gateway, host: &str) -> LoadMap {
    let mut sum = gateway.peers.sum(gateway.now(), |h, _| h != host);
    add(&mut sum, gateway.loads.borrow().own());
    sum
}

/// The loads of the hosts of this data centre.
pub(super) fn own_data_centre(gateway: &Gateway) -> LoadMap {
    let near = &*gateway.settings.data_centre;
    let mut sum = gateway.peers.sum(gateway.now(), |_, d| d == near);
    add(&mut sum, gateway.loads.borrow().own());
    sum
}

/// What a host lacks of the list that knows it up to a mark of this host's or of another one's, and up to
/// a place in the store's history if it has read the list itself. A long list is not told whole.
fn list_news(gateway: &Gateway, mark: ListMark, known_to: Option<u64>) -> Option<ListNews> {
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
    if changes.complete && changes.changed.len() > MOST_TOLD_WHOLE {
        return None;
    }
    let doubted = gateway.doubted.borrow();
    let certain = changes
        .changed
        .iter()
        .filter(|e| !doubted.contains_key(&e.id));
    Some(ListNews {
        mark: ListMark {
            origin,
            version: changes.version,
        },
        store_mark: gateway.list_mark.get(),
        whole: changes.complete,
        changed: certain.map(|e| listed(e)).collect(),
        doubted: doubted.keys().map(ToString::to_string).collect(),
        removed: changes.removed.iter().map(ToString::to_string).collect(),
    })
}

fn listed(endpoint: &Endpoint) -> Listed {
    Listed {
        name: endpoint.name.to_string(),
        born_ms: endpoint.started_at.map(|b| b.0),
        service: endpoint.service.to_string(),
        addr: endpoint.addr,
        data_centre: endpoint.data_centre.to_string(),
        slots: endpoint.slots,
        leaving: endpoint.draining,
        accelerator: endpoint.accelerator.as_deref().map(str::to_owned),
        layers: endpoint.layers.map(|l| (l.first, l.end)),
    }
}
