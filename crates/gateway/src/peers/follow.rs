//! Asks the other hosts for news.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    choice::LoadMap,
    endpoints::Endpoint,
    incarnations::{self, StartTime},
    layers::LayerRange,
    store_access::{self, Role, StoreReport},
};
use dragonflyrill_protocol::{
    MAX_FRAME,
    exchange::{ExchangeClient, FleetHost, ListMark, ListNews, Listed, News, Offer},
};
use dragonflyrill_store::PlatformError;
use tarpc::{client, context, serde_transport::tcp, tokio_serde::formats::Bincode};
use tokio::time;

use super::{
    FIRST_HOSTS, Heard, avoided_from_wire, avoided_to_wire, documents, from_wire, limits,
    serve::own_data_centre,
    suspects::{self, PeerSyncs},
    to_wire,
};
use crate::{
    control::{catalogue, host_row},
    gateway::{Gateway, On},
};

/// How often news are asked for: changes are in force on all hosts within a few of these.
pub const PERIOD: Duration = Duration::from_millis(250);
/// The same while neither this host nor the one that it asks has any news yet, as all have just started.
const FIRST_PERIOD: Duration = Duration::from_millis(50);
/// How long a call may take: hosts are a fraction of a millisecond away, but may be busy.
pub(super) const CALL: Duration = Duration::from_millis(350);
/// How long a host that starts again waits to hear whether the first host of its data centre has fresh
/// news: what callers have open ended with the process before, and they come back at once. If all hosts
/// have started again, the first is busy with the calls of all others, which it can't answer yet.
const HASTY_CALL: Duration = Duration::from_millis(40);

/// How a host comes by its first news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beginning {
    /// Nobody was asked yet.
    Unasked,
    /// It starts again and nobody nearby had news at once: it reads the store.
    Hasty,
    /// As at any other time.
    Usual,
}

struct Follower {
    gateway: Rc<Gateway>,
    clients: HashMap<SocketAddr, ExchangeClient>,
    suspects: PeerSyncs,
    /// The host that was asked last.
    asked: Option<String>,
    /// It told what it knows of the list of endpoints.
    list_told: bool,
    beginning: Beginning,
}

/// Asks for news for as long as the process lives.
pub async fn follow(gateway: Rc<Gateway>) {
    let mut follower = Follower {
        gateway,
        clients: HashMap::new(),
        suspects: PeerSyncs::default(),
        asked: None,
        list_told: true,
        beginning: Beginning::Unasked,
    };
    loop {
        let began = time::Instant::now();
        follower.gateway.expire_limits();
        follower.round().await;
        let period = match follower.gateway.heard_age() {
            None => FIRST_PERIOD,
            Some(_) => PERIOD,
        };
        let hurry = follower.gateway.peers.hurry.notified();
        let _ = time::timeout_at(began + period, hurry).await;
    }
}

impl Follower {
    async fn round(&mut self) {
        let gateway = self.gateway.clone();
        if !gateway.peers.known.get() {
            return;
        }
        let me = gateway.settings.host.clone();
        let near = gateway.settings.data_centre.clone();
        self.beginning = self.begin(&near, &me).await;
        if self.beginning == Beginning::Hasty {
            gateway.set_reading(true);
            return;
        }
        let first = self.ask_first(&near, &me).await;
        let told = match first {
            Some(told) => Some(told),
            None => self.ask_reader(&near).await,
        };
        if told.is_none() {
            self.asked = None;
        }
        self.take_role(told);
        if first.is_none() {
            self.exchange_loads(&near).await;
        }
    }

    /// How this host comes by its first news.
    async fn begin(&mut self, near: &str, me: &str) -> Beginning {
        let gateway = self.gateway.clone();
        let starts_again = gateway.bounds.inherited_row_age().is_some();
        let has_news = gateway.heard_age().is_some();
        match self.beginning {
            _ if has_news || !starts_again || gateway.store_away() => Beginning::Usual,
            Beginning::Unasked => {
                let first = gateway.peers.first(near, Some(me), gateway.now());
                match first {
                    Some(host) if !self.has_news(&host).await => Beginning::Hasty,
                    _ => Beginning::Usual,
                }
            }
            beginning => beginning,
        }
    }

    /// Whether a host says at once that it has fresh news.
    async fn has_news(&mut self, host: &FleetHost) -> bool {
        let offer = self.offer(&LoadMap::default(), false);
        let sent_at = self.gateway.now();
        let asked = time::timeout(HASTY_CALL, self.exchange(host.addr, offer)).await;
        let news = asked.ok().flatten();
        news.is_some_and(|news| {
            limits::take(&self.gateway, &news.limits, sent_at);
            self.fresh(&news)
        })
    }

    /// Whether news are of a store that was heard of lately.
    fn fresh(&self, news: &News) -> bool {
        let silent = catalogue::max_store_silence(&self.gateway.settings);
        let heard = news.heard_age_us.map(Duration::from_micros);
        heard.is_some_and(|age| age <= silent)
    }

    /// Reads the store or not, by what the other hosts told of it.
    fn take_role(&self, told: Option<StoreReport>) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let role = store_access::role(told, gateway.goes_on_reading());
        match (role, told) {
            (Role::Follower, _) => gateway.note_access(|access| access.answered(now)),
            // A host that tries for the others asks for one thing only, too.
            (
                Role::Reader,
                Some(StoreReport {
                    probe_slot: true, ..
                }),
            ) => {
                gateway.note_access(|access| access.slot_granted(now));
            }
            (
                Role::Waiting,
                Some(StoreReport {
                    unavailable: true, ..
                }),
            ) => {
                gateway.note_access(|access| access.suspected(now));
            }
            (Role::Waiting | Role::Reader, _) => {}
        }
        gateway.set_reading(role == Role::Reader);
        // Its last news may still be fresh while it has others look for more.
        if gateway.hears() && !gateway.reads_in_vain() {
            gateway.peers.no_turns();
        }
    }

    /// Asks the first hosts of this data centre until one answers.
    async fn ask_first(&mut self, near: &str, me: &str) -> Option<StoreReport> {
        let gateway = self.gateway.clone();
        for _ in 0..FIRST_HOSTS {
            let host = gateway.peers.first(near, Some(me), gateway.now())?;
            let news = self.ask_near(&host).await;
            if news.is_some() {
                return news;
            }
        }
        None
    }

    /// Asks another host of this data centre that reads the store, while the store does not answer
    /// this one, which all others ask.
    async fn ask_reader(&mut self, near: &str) -> Option<StoreReport> {
        let gateway = self.gateway.clone();
        if gateway.reads_well() {
            return None;
        }
        let silent = catalogue::max_store_silence(&gateway.settings);
        let since = gateway.now().saturating_sub(silent);
        let host = gateway.peers.reader_near(near, since)?;
        self.ask_near(&host).await.filter(|told| told.fresh)
    }

    /// Asks a host of this data centre; `None` if it does not answer.
    async fn ask_near(&mut self, host: &FleetHost) -> Option<StoreReport> {
        let gateway = self.gateway.clone();
        let peers = &gateway.peers;
        if self.asked.as_ref() != Some(&host.host) {
            log::info!(target: "peers", host = &*host.host; "News are asked of another host.");
            self.asked = Some(host.host.clone());
        }
        let loads = gateway.loads.borrow().own().clone();
        let mut offer = self.offer(&loads, true);
        let lends = host.host < gateway.settings.host;
        let sent_at = gateway.now();
        offer.limits = limits::offer(&gateway, lends);
        let news = self.call(host, offer).await?;
        if lends {
            limits::take_permits(&gateway, &news.limits, sent_at);
        }
        peers.works(&host.host);
        let age = news.proof_age_us.map(Duration::from_micros);
        let heard = news.heard_age_us.map(Duration::from_micros);
        let told = StoreReport {
            fresh: self.fresh(&news),
            from_this_host: news.reader.as_ref() == Some(&gateway.settings.host),
            unavailable: news.away,
            probe_slot: news.turn,
            has_list: news.list.is_some(),
        };
        let heard_at = heard.and_then(|age| sent_at.checked_sub(age));
        if let Some(at) = heard_at {
            gateway.heard(On::Catalogue, at);
            if told.has_list {
                gateway.heard(On::List, at);
            }
        }
        self.note_list(host, &news, heard_at);
        let reader = news.reader.clone().unwrap_or_else(|| host.host.clone());
        *peers.reader.borrow_mut() = Some(reader);
        // A host that comes later knows less of the loads: the first is told them by all the others.
        if host.host < gateway.settings.host {
            let loads = from_wire(&news.loads);
            gateway
                .loads
                .borrow_mut()
                .apply_update(loads, gateway.now());
        }
        self.take(news, sent_at, age);
        Some(told)
    }

    /// Notes whether the other host has told what it knows of the list, and how old that is.
    fn note_list(&mut self, host: &FleetHost, news: &News, heard_at: Option<Duration>) {
        let gateway = &self.gateway;
        match (&news.list, heard_at) {
            (Some(_), Some(at)) => gateway.list_known(at),
            (None, Some(_)) => {
                gateway.metrics.lists_not_told.inc();
                if self.list_told {
                    log::info!(target: "peers", host = &*host.host, known_to = gateway.list_mark.get(); "The list of endpoints is not told.");
                }
            }
            (_, None) => {}
        }
        self.list_told = news.list.is_some();
    }

    fn take(&mut self, news: News, sent_at: Duration, age: Option<Duration>) {
        let gateway = &self.gateway;
        let peers = &gateway.peers;
        let now = gateway.now();
        if let Some((_, document)) = news.catalogue
            && let Err(e) = adopt(gateway, document)
        {
            log::warn!(target: "peers", why:% = e; "A catalogue from a host can't be used.");
            return;
        }
        // The other host answered after this one asked, so that its proof is at least as new.
        let proven_at = age.and_then(|age| sent_at.checked_sub(age));
        if let Some(at) = proven_at.filter(|_| gateway.catalogue.borrow().is_some()) {
            gateway.proven(at);
        }
        if let Some(list) = news.list {
            take_list(gateway, list);
        }
        if let Some(fleet) = news.fleet {
            gateway.set_fleet(fleet);
        }
        if let Some(claims) = news.claims {
            gateway.bounds.merge_report(&claims, sent_at, now);
        }
        if news.lease.is_some() {
            peers.set_lease(news.lease);
        }
        let told = avoided_from_wire(&news.avoided);
        gateway.directory.borrow_mut().apply_peer_avoided(told, now);
    }

    /// Exchanges loads with the reading hosts of the other data centres.
    async fn exchange_loads(&mut self, near: &str) {
        let gateway = self.gateway.clone();
        let peers = &gateway.peers;
        for centre in peers.other_data_centres(near) {
            let Some(host) = peers.first(&centre, None, gateway.now()) else {
                continue;
            };
            let mut offer = self.offer(&own_data_centre(&gateway), false);
            offer.limits = limits::offer(&gateway, false);
            if let Some(news) = self.call(&host, offer).await {
                let told = Heard {
                    from: host.clone(),
                    loads: from_wire(&news.loads),
                    avoided: Vec::new(),
                    read_at: None,
                    at: gateway.now(),
                };
                peers.hear(told);
            }
        }
        let now = gateway.now();
        let others = peers.sum(now, |_, _| true);
        gateway.loads.borrow_mut().apply_update(others, now);
    }

    fn offer(&self, loads: &LoadMap, near: bool) -> Offer {
        let gateway = &self.gateway;
        Offer {
            from: host_row::own_host(gateway),
            // Loads only are exchanged with other data centres.
            catalogue: match near {
                true => gateway.catalogue_version(),
                false => u64::MAX,
            },
            list: near.then(|| gateway.peers.list.get()),
            list_known_to: gateway
                .endpoints_known
                .get()
                .then(|| gateway.list_mark.get()),
            fleet: gateway.peers.fleet_hash.get(),
            read_age_us: self.read_age_us(),
            loads: to_wire(loads),
            avoided: match near {
                true => avoided_to_wire(&gateway.directory.borrow().avoided(gateway.now())),
                false => Vec::new(),
            },
            limits: Vec::new(),
            suspects_known: ListMark::default(),
            suspects: Vec::new(),
            unpacks: true,
        }
    }

    /// How long ago the store last answered this host itself, if it reads the store.
    fn read_age_us(&self) -> Option<u64> {
        let gateway = &self.gateway;
        let age = gateway.heard_age().filter(|_| gateway.reads_well())?;
        Some(age.as_micros() as u64)
    }

    /// Calls a host; one that does not answer is passed over for a while.
    async fn call(&mut self, host: &FleetHost, mut offer: Offer) -> Option<News> {
        let mut offered = self.suspects.offer(host.addr, &self.gateway);
        offer.suspects_known = offered.known;
        offer.suspects = std::mem::take(&mut offered.suspects);
        let sent_at = self.gateway.now();
        let called = time::timeout(CALL, self.exchange(host.addr, offer)).await;
        if let Ok(Some(mut news)) = called {
            limits::take(&self.gateway, &news.limits, sent_at);
            let told = std::mem::take(&mut news.suspects.changed);
            let mark = news.suspects.mark;
            self.suspects.answered(host.addr, &offered, mark);
            suspects::take(&self.gateway, &told);
            return Some(news);
        }
        self.suspects.failed(host.addr);
        log::info!(target: "peers", host = &*host.host; "A host does not answer.");
        self.clients.remove(&host.addr);
        self.gateway.peers.pass_over(&host.host, self.gateway.now());
        None
    }

    async fn exchange(&mut self, addr: SocketAddr, offer: Offer) -> Option<News> {
        let client = match self.clients.get(&addr) {
            Some(client) => client.clone(),
            None => {
                let client = connect(addr).await?;
                self.clients.insert(addr, client.clone());
                client
            }
        };
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + CALL;
        match client.exchange(cx, offer).await {
            Ok(news) => Some(news),
            Err(e) => {
                log::debug!(target: "peers", why:% = e; "A call to a host failed.");
                None
            }
        }
    }
}

async fn connect(addr: SocketAddr) -> Option<ExchangeClient> {
    let mut connecting = tcp::connect(addr, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME);
    match connecting.await {
        Ok(transport) => {
            let new = ExchangeClient::new(client::Config::default(), transport);
            actix_rt::spawn(new.dispatch);
            Some(new.client)
        }
        Err(e) => {
            log::debug!(target: "peers", why:% = e; "A host was not reached.");
            None
        }
    }
}

/// Takes a catalogue over as another host told it.
fn adopt(gateway: &Gateway, told: Vec<u8>) -> Result<(), PlatformError> {
    let malformed = |e: std::io::Error| PlatformError::Malformed(e.to_string());
    let document = documents::unpack(told).map_err(malformed)?;
    gateway.adopt(gateway.platform.store.parse_catalogue(document)?);
    Ok(())
}

/// Takes what another host told of its list, unless more of the store's history is known.
pub fn take_list(gateway: &Rc<Gateway>, list: ListNews) {
    // The other host's list may be older than what this one knew before it asked that host.
    if list.store_mark < gateway.list_mark.get() {
        log::info!(target: "peers", told = list.store_mark, known = gateway.list_mark.get(); "An older list is not taken.");
        return;
    }
    gateway.list_mark.set(list.store_mark);
    let gone: Vec<Rc<str>> = if list.whole {
        let directory = gateway.directory.borrow();
        let doubted = list.doubted.iter().filter_map(|id| directory.get(id));
        let listed = list.changed.iter().map(|l| &*l.name);
        directory.ids_except(listed.chain(doubted.map(|e| &*e.name)))
    } else {
        list.removed
            .iter()
            .map(|id| Rc::from(id.as_str()))
            .collect()
    };
    let changed: Vec<Endpoint> = list.changed.into_iter().map(endpoint).collect();
    // That a start has ended, as another one is in its place, is found when that is listed: what it replaces must
    // still be known then.
    let (replaced, gone): (Vec<_>, Vec<_>) = gone
        .into_iter()
        .partition(|id| is_replaced(gateway, id, &changed));
    gone.iter().for_each(|id| gateway.forget_endpoint(id));
    for endpoint in changed {
        gateway.list_endpoint(endpoint);
    }
    replaced.iter().for_each(|id| gateway.forget_endpoint(id));
    gateway.endpoints_known.set(true);
    gateway.peers.list.set(list.mark);
    gateway
        .directory
        .borrow_mut()
        .record_revision(gateway.list_mark.get());
}

/// Whether one of some endpoints is another start of the one with an id, or listens at its address, and that
/// one is not back among them.
fn is_replaced(gateway: &Gateway, id: &str, by: &[Endpoint]) -> bool {
    let directory = gateway.directory.borrow();
    let Some(gone) = directory.get(id) else {
        return false;
    };
    let back = by.iter().any(|e| e.id == gone.id);
    !back
        && by
            .iter()
            .any(|e| e.name == gone.name || e.addr == gone.addr)
}

fn endpoint(listed: Listed) -> Endpoint {
    let started_at = listed.born_ms.map(StartTime);
    Endpoint {
        id: incarnations::id(&listed.name, started_at),
        name: listed.name.into(),
        started_at,
        service: listed.service.into(),
        addr: listed.addr,
        data_centre: listed.data_centre.into(),
        slots: listed.slots,
        draining: listed.leaving,
        accelerator: listed.accelerator.map(Into::into),
        layers: listed
            .layers
            .and_then(|(first, end)| LayerRange::new(first, end)),
    }
}
