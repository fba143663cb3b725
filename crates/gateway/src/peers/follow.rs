//! Polls the other hosts for updates.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{
    choice::LoadMap,
    endpoints::Endpoint,
    fair_share::WorkspaceReport,
    incarnations::{self, StartTime},
    layers::LayerRange,
    store_access::{self, Role, StoreReport},
};
use dragonflyrill_protocol::{
    MAX_FRAME,
    exchange::{
        EndpointListEntry, EndpointListUpdate, ExchangeClient, FleetHost, ListPosition,
        PollRequest, PollResponse,
    },
};
use dragonflyrill_store::PlatformError;
use tarpc::{client, context, serde_transport::tcp, tokio_serde::formats::Bincode};

use super::{
    MAX_POLLED_HOSTS, PeerReport, avoided_from_wire, avoided_to_wire, documents, from_wire, limits,
    serve::own_data_centre_loads,
    suspects::{self, PeerSyncs},
    timelines::{self, StatedTimelines},
    to_wire,
};
use crate::{
    control::{catalogue, endpoints, host_row},
    gateway::{Gateway, StoreRead},
};

/// Interval between two polls. Changes are in force on all hosts within a few intervals.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two polls while neither this host nor the polled host has any data yet, because
/// all hosts have just started, and while requests wait for the news since a suspension.
const SHORT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call to another host: hosts are a fraction of a millisecond away, but may be busy.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of the call by which a restarted host finds out whether the first host of its data
/// centre has fresh data. It is short because the callers' open requests ended with the previous
/// process, and the callers send them again at once. If all hosts have restarted, the first host is
/// busy with calls of all others that it can't answer yet.
const RESTART_CALL_TIMEOUT: Duration = Duration::from_millis(40);

/// Progress of a host in obtaining its first data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Startup {
    /// No host was polled yet.
    NotPolled,
    /// This host was restarted and no host nearby had data at once: it reads the store.
    ReadsStore,
    /// The startup is over: this host polls as usual.
    Complete,
}

struct Follower {
    gateway: Rc<Gateway>,
    clients: HashMap<SocketAddr, ExchangeClient>,
    suspect_syncs: PeerSyncs,
    /// The host that was last polled.
    polled_host: Option<String>,
    /// Whether the last answer included the polled host's list of endpoints.
    list_received: bool,
    startup: Startup,
}

/// Polls the other hosts for as long as the process runs.
pub async fn follow(gateway: Rc<Gateway>) {
    let mut follower = Follower {
        gateway,
        clients: HashMap::new(),
        suspect_syncs: PeerSyncs::default(),
        polled_host: None,
        list_received: true,
        startup: Startup::NotPolled,
    };
    loop {
        let started_at = follower.gateway.now();
        follower.gateway.check_suspension();
        follower.gateway.expire();
        follower.poll().await;
        let has_data = follower.gateway.store_answer_age().is_some();
        let interval = match has_data && follower.gateway.news_due().is_none() {
            true => POLL_INTERVAL,
            false => SHORT_POLL_INTERVAL,
        };
        let poll_requested = follower.gateway.peers.poll_requested.notified();
        let clock = follower.gateway.clock();
        let _ = clock
            .timeout_at(started_at + interval, poll_requested)
            .await;
    }
}

impl Follower {
    async fn poll(&mut self) {
        let gateway = self.gateway.clone();
        if !gateway.peers.fleet_known.get() {
            return;
        }
        let me = gateway.settings.host.clone();
        let near = gateway.settings.data_centre.clone();
        self.startup = self.next_startup(&near, &me).await;
        if self.startup == Startup::ReadsStore {
            gateway.set_reads_store(true);
            return;
        }
        let first = self.poll_first(&near, &me).await;
        let report = match first {
            Some(report) => Some(report),
            None => self.poll_reader(&near).await,
        };
        if report.is_none() {
            self.polled_host = None;
        }
        self.fetch_newer_catalogue().await;
        self.apply_role(report);
        if first.is_none() {
            self.exchange_loads(&near).await;
        }
    }

    /// Determines the progress of the startup. Polls the first host of this data centre if this
    /// host was restarted and has polled none yet.
    async fn next_startup(&mut self, near: &str, me: &str) -> Startup {
        let gateway = self.gateway.clone();
        let restarted = gateway.bounds.inherited_row_age().is_some();
        let has_data = gateway.store_answer_age().is_some();
        match self.startup {
            _ if has_data || !restarted || gateway.store_unavailable() => Startup::Complete,
            Startup::NotPolled => {
                let first = gateway.peers.first_available(near, Some(me), gateway.now());
                match first {
                    Some(host) if !self.has_fresh_data(&host).await => Startup::ReadsStore,
                    _ => Startup::Complete,
                }
            }
            startup => startup,
        }
    }

    /// Whether a host answers within [`RESTART_CALL_TIMEOUT`] that it has fresh data.
    async fn has_fresh_data(&mut self, host: &FleetHost) -> bool {
        let offer = self.offer(&LoadMap::default(), false);
        let sent_at = self.gateway.now();
        let answer = awake::timeout(RESTART_CALL_TIMEOUT, self.exchange(host.addr, offer)).await;
        let news = answer.ok().flatten();
        news.is_some_and(|news| {
            limits::merge(&self.gateway, &news.limits, sent_at);
            self.is_fresh(&news)
        })
    }

    /// Whether an answer shows that the answering host has recent data from the store.
    fn is_fresh(&self, news: &PollResponse) -> bool {
        let max_silence = catalogue::max_store_silence(&self.gateway.settings);
        let answer_age = news.store_answer_age_us.map(Duration::from_micros);
        answer_age.is_some_and(|age| age <= max_silence)
    }

    /// Starts or stops reading the store, according to the report of the other host.
    fn apply_role(&self, report: Option<StoreReport>) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let role = store_access::role(report, gateway.keeps_reading_store());
        match (role, report) {
            (Role::Follower, _) => gateway.record_store_access(|access| access.answered(now)),
            // Like all hosts to which the store is unavailable, a probing host makes only one kind
            // of call.
            (
                Role::Reader,
                Some(StoreReport {
                    probe_slot: true, ..
                }),
            ) => {
                gateway.record_store_access(|access| access.slot_granted(now));
            }
            (
                Role::Waiting,
                Some(StoreReport {
                    unavailable: true, ..
                }),
            ) => {
                gateway.record_store_access(|access| access.suspected(now));
            }
            (Role::Waiting | Role::Reader, _) => {}
        }
        gateway.set_reads_store(role == Role::Reader);
        // This host's last data may still be fresh while it already grants probe slots.
        if gateway.has_fresh_store_data() && !gateway.store_reads_fail() {
            gateway.peers.reset_probe_slots();
        }
    }

    /// Polls the first hosts of this data centre until one answers.
    async fn poll_first(&mut self, near: &str, me: &str) -> Option<StoreReport> {
        let gateway = self.gateway.clone();
        for _ in 0..MAX_POLLED_HOSTS {
            let host = gateway
                .peers
                .first_available(near, Some(me), gateway.now())?;
            let news = self.poll_host(&host).await;
            if news.is_some() {
                return news;
            }
        }
        None
    }

    /// Polls a host of this data centre that reads the store, while the store doesn't answer this
    /// host, which all others poll.
    async fn poll_reader(&mut self, near: &str) -> Option<StoreReport> {
        let gateway = self.gateway.clone();
        if gateway.reads_fresh_store_data() {
            return None;
        }
        let max_silence = catalogue::max_store_silence(&gateway.settings);
        let since = gateway.now().saturating_sub(max_silence);
        let host = gateway.peers.find_reader(near, since)?;
        self.poll_host(&host).await.filter(|report| report.fresh)
    }

    /// Polls a host of this data centre; `None` if it doesn't answer.
    async fn poll_host(&mut self, host: &FleetHost) -> Option<StoreReport> {
        let gateway = self.gateway.clone();
        let peers = &gateway.peers;
        if self.polled_host.as_ref() != Some(&host.host) {
            log::info!(target: "peers", host = &*host.host; "Another host is polled.");
            self.polled_host = Some(host.host.clone());
        }
        let mut loads = gateway.loads.borrow().own().clone();
        super::add_reports(&gateway, &mut loads);
        let mut offer = self.offer(&loads, true);
        let borrows = host.host < gateway.settings.host;
        let sent_at = gateway.now();
        offer.limits = limits::offer(&gateway, borrows);
        let news = self.call(host, offer).await?;
        let stated = StatedTimelines::find(&news.loads, &host.host);
        if stated.is_none()
            && news.store_answer_age_us.is_some()
            && gateway.known_timelines().of_message(None).is_none()
        {
            log::info!(target: "peers", host = &*host.host; "A host that states no timeline is not followed, as the store was restored.");
            return None;
        }
        if borrows {
            limits::add_borrowed_permits(&gateway, &news.limits, sent_at);
        }
        peers.record_success(&host.host);
        let proof_age = news.proof_age_us.map(Duration::from_micros);
        let answer_age = news.store_answer_age_us.map(Duration::from_micros);
        let report = StoreReport {
            fresh: self.is_fresh(&news),
            from_this_host: news.reader.as_ref() == Some(&gateway.settings.host),
            unavailable: news.store_unavailable,
            probe_slot: news.probe_slot,
            has_list: news.list.is_some(),
        };
        let store_answered_at = answer_age.and_then(|age| sent_at.checked_sub(age));
        if let Some(at) = store_answered_at {
            gateway.record_store_answer(StoreRead::Catalogue, at);
            if report.has_list {
                gateway.record_store_answer(StoreRead::List, at);
            }
        }
        self.record_list_report(host, &news, store_answered_at);
        let reader = news.reader.clone().unwrap_or_else(|| host.host.clone());
        *peers.reader.borrow_mut() = Some(reader);
        // A host that ranks after this one knows less of the loads: all others report theirs to the
        // first host.
        if host.host < gateway.settings.host {
            apply_loads(&gateway, from_wire(&news.loads));
        }
        self.apply_update(news, stated, sent_at, proof_age);
        Some(report)
    }

    /// Records whether the other host has sent its list of endpoints, and the age of that list.
    fn record_list_report(
        &mut self,
        host: &FleetHost,
        news: &PollResponse,
        store_answered_at: Option<Duration>,
    ) {
        let gateway = &self.gateway;
        match (&news.list, store_answered_at) {
            (Some(_), Some(at)) => gateway.record_list_as_of(at),
            (None, Some(_)) => {
                gateway.metrics.lists_not_told.inc();
                if self.list_received {
                    log::info!(target: "peers", host = &*host.host, known_to:? = gateway.list_revision.get(); "The list of endpoints is not told.");
                }
            }
            (_, None) => {}
        }
        self.list_received = news.list.is_some();
    }

    fn apply_update(
        &mut self,
        news: PollResponse,
        stated: Option<StatedTimelines>,
        sent_at: Duration,
        proof_age: Option<Duration>,
    ) {
        let gateway = &self.gateway;
        let peers = &gateway.peers;
        let now = gateway.now();
        let timelines = gateway.known_timelines();
        let is_latest = timelines.of_message(stated.map(|s| s.latest)).is_some();
        if let Some((_, document)) = news.catalogue
            && let Err(e) = adopt_document(gateway, document)
        {
            log::warn!(target: "peers", why:% = e; "A catalogue from a host can't be used.");
            return;
        }
        // The other host answered after this one had sent its call, so the proof is at least this
        // recent.
        let proven_at = proof_age.and_then(|age| sent_at.checked_sub(age));
        // A proof holds for the timeline of the store in which it was given.
        let proven_at = proven_at.filter(|_| is_latest);
        if let Some(at) = proven_at.filter(|_| gateway.catalogue.borrow().is_some()) {
            gateway.record_proof(at);
        }
        if let Some(list) = news.list {
            apply_list(gateway, list, stated);
        }
        if let Some(fleet) = news.fleet {
            gateway.set_fleet(fleet);
        }
        if let Some(claims) = news.claims.filter(|_| is_latest) {
            gateway.bounds.merge_report(&claims, sent_at, now);
        }
        if news.lease.is_some() && is_latest {
            peers.set_lease(news.lease);
        }
        let avoided = avoided_from_wire(&news.avoided);
        gateway
            .directory
            .borrow_mut()
            .apply_peer_avoided(avoided, now);
    }

    /// Exchanges loads with the reading hosts of the other data centres.
    async fn exchange_loads(&mut self, near: &str) {
        let gateway = self.gateway.clone();
        let peers = &gateway.peers;
        for centre in peers.other_data_centres(near) {
            let Some(host) = peers.first_available(&centre, None, gateway.now()) else {
                continue;
            };
            let mut offer = self.offer(&own_data_centre_loads(&gateway), false);
            offer.limits = limits::offer(&gateway, false);
            if let Some(news) = self.call(&host, offer).await {
                let report = PeerReport {
                    from: host.clone(),
                    avoided: Vec::new(),
                    read_at: None,
                    received_at: gateway.now(),
                };
                peers.record_report(report, from_wire(&news.loads));
            }
        }
        let others = peers.loads.borrow_mut().sum(gateway.now());
        apply_loads(&gateway, others);
    }

    /// Gets the catalogue from a host that knows a newer one than this host.
    async fn fetch_newer_catalogue(&mut self) {
        let gateway = self.gateway.clone();
        let Some(host) = gateway.peers.host_with_newer_catalogue(&gateway) else {
            return;
        };
        let mut loads = gateway.loads.borrow().own().clone();
        super::add_reports(&gateway, &mut loads);
        let mut offer = self.offer(&loads, true);
        offer.list = None;
        let news = self.call(&host, offer).await;
        if let Some((_, document)) = news.and_then(|news| news.catalogue)
            && let Err(e) = adopt_document(&gateway, document)
        {
            log::warn!(target: "peers", why:% = e; "A catalogue from a host can't be used.");
        }
    }

    fn offer(&self, loads: &LoadMap, near: bool) -> PollRequest {
        let gateway = &self.gateway;
        let mut loads = to_wire(loads);
        let own_timelines = StatedTimelines::own(gateway);
        loads.extend(own_timelines.map(|t| t.to_entry(&gateway.settings.host)));
        PollRequest {
            from: host_row::own_host(gateway),
            // Data centres exchange neither catalogues nor lists nor avoided endpoints.
            catalogue: match near {
                true => gateway.catalogue_version(),
                false => u64::MAX,
            },
            list: near.then(|| gateway.peers.list_position.get()),
            list_revision: gateway
                .endpoints_known
                .get()
                .then(|| gateway.list_revision.get().version),
            fleet: gateway.peers.fleet_hash.get(),
            read_age_us: self.read_age_us(),
            loads,
            avoided: match near {
                true => avoided_to_wire(&gateway.directory.borrow().avoided(gateway.now())),
                false => Vec::new(),
            },
            limits: Vec::new(),
            suspects_known: ListPosition::default(),
            suspects: Vec::new(),
            accepts_compressed: true,
        }
    }

    /// Time since the store last answered this host itself, in microseconds; `None` if this host
    /// doesn't read the store or has no fresh data from it.
    fn read_age_us(&self) -> Option<u64> {
        let gateway = &self.gateway;
        let age = gateway
            .store_answer_age()
            .filter(|_| gateway.reads_fresh_store_data())?;
        Some(age.as_micros() as u64)
    }

    /// Calls a host and merges the limits and suspects of its answer. A host that doesn't answer is
    /// skipped for a while.
    async fn call(&mut self, host: &FleetHost, mut offer: PollRequest) -> Option<PollResponse> {
        let mut suspect_offer = self.suspect_syncs.offer(host.addr, &self.gateway);
        offer.suspects_known = suspect_offer.known;
        offer.suspects = std::mem::take(&mut suspect_offer.suspects);
        let sent_at = self.gateway.now();
        let result = awake::timeout(CALL_TIMEOUT, self.exchange(host.addr, offer)).await;
        if let Ok(Some(mut news)) = result {
            limits::merge(&self.gateway, &news.limits, sent_at);
            if let Some(stated) = StatedTimelines::find(&news.loads, &host.host) {
                self.gateway.observe_timeline(stated.latest, &host.host);
            }
            let suspects = std::mem::take(&mut news.suspects.changed);
            let mark = news.suspects.position;
            self.suspect_syncs
                .record_response(host.addr, &suspect_offer, mark);
            if host.data_centre == *self.gateway.settings.data_centre {
                let reported = &self.gateway.peers.reported_suspects_version;
                reported.set(suspect_offer.version);
            }
            suspects::merge(&self.gateway, &suspects);
            return Some(news);
        }
        self.suspect_syncs.record_failure(host.addr);
        log::info!(target: "peers", host = &*host.host; "A host does not answer.");
        self.clients.remove(&host.addr);
        self.gateway.peers.skip(&host.host, self.gateway.now());
        None
    }

    async fn exchange(&mut self, addr: SocketAddr, offer: PollRequest) -> Option<PollResponse> {
        let client = match self.clients.get(&addr) {
            Some(client) => client.clone(),
            None => {
                let client = connect(addr).await?;
                self.clients.insert(addr, client.clone());
                client
            }
        };
        let mut cx = context::current();
        cx.deadline = (awake::Instant::now() + CALL_TIMEOUT).into_std();
        match client.exchange(cx, offer).await {
            Ok(news) => Some(news),
            Err(e) => {
                log::debug!(target: "peers", why:% = e; "A call to a host failed.");
                None
            }
        }
    }
}

pub(super) async fn connect(addr: SocketAddr) -> Option<ExchangeClient> {
    let mut connecting = tcp::connect(addr, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME);
    match connecting.await {
        Ok(transport) => {
            let new = ExchangeClient::new(client::Config::default(), transport);
            actix_rt::spawn(new.dispatch);
            Some(new.client)
        }
        Err(e) => {
            log::debug!(target: "peers", why:% = e; "Connecting to a host failed.");
            None
        }
    }
}

/// Adopts a catalogue whose document another host has sent.
fn adopt_document(gateway: &Gateway, received: Vec<u8>) -> Result<(), PlatformError> {
    let malformed = |e: std::io::Error| PlatformError::Malformed(e.to_string());
    let document = documents::unpack(received).map_err(malformed)?;
    gateway.adopt_catalogue(gateway.platform.store.parse_catalogue(document)?);
    Ok(())
}

/// Applies the loads caused by the other hosts, of endpoints and of workspaces.
fn apply_loads(gateway: &Gateway, mut others: LoadMap) {
    let now = gateway.now();
    let workspaces = WorkspaceReport::take_from(&mut others);
    gateway.usage.borrow_mut().apply_others(workspaces, now);
    gateway.loads.borrow_mut().apply_update(others, now);
}

/// Applies another host's list of endpoints, unless this host knows a later store revision of the
/// list.
pub fn apply_list(
    gateway: &Rc<Gateway>,
    list: EndpointListUpdate,
    stated: Option<StatedTimelines>,
) {
    let known = gateway.list_revision.get();
    let told = timelines::list_revision(gateway.known_timelines(), stated, list.store_revision);
    // The other host's list may be older than what this host already knew when it sent its call.
    let Some(told) = told.filter(|told| *told >= known) else {
        log::info!(target: "peers", told:? = told, known:? = known; "An older list of endpoints is ignored.");
        return;
    };
    gateway.list_revision.set(told);
    let gone: Vec<Rc<str>> = if list.complete {
        let directory = gateway.directory.borrow();
        let doubted = list.lapsed.iter().filter_map(|id| directory.get(id));
        let listed = list.changed.iter().map(|l| &*l.name);
        directory.ids_except(listed.chain(doubted.map(|e| &*e.name)))
    } else {
        list.removed
            .iter()
            .map(|id| Rc::from(id.as_str()))
            .collect()
    };
    let changed: Vec<Endpoint> = list.changed.into_iter().map(to_endpoint).collect();
    // An incarnation that was replaced is detected when its replacement is listed, so it must still
    // be known then.
    let (replaced, gone): (Vec<_>, Vec<_>) = gone
        .into_iter()
        .partition(|id| is_replaced(gateway, id, &changed));
    // The other host keeps endpoints whose entries may have lapsed. It does not know those that a restored store lacks, if
    // it has started since.
    let after_restoration = list.complete && told.timeline > known.timeline;
    gone.iter().for_each(|id| match after_restoration {
        true => endpoints::remove_unless_lapsed(gateway, id),
        false => gateway.remove_endpoint(id),
    });
    for endpoint in changed {
        gateway.lapsed_endpoints.borrow_mut().remove(&endpoint.id);
        gateway.list_endpoint(endpoint);
    }
    replaced.iter().for_each(|id| gateway.remove_endpoint(id));
    gateway.endpoints_known.set(true);
    gateway.peers.list_position.set(list.position);
    gateway
        .directory
        .borrow_mut()
        .record_revision(gateway.list_revision.get());
}

/// Whether one of the endpoints `by` is another incarnation of the endpoint `id` or listens at its
/// address, and `id` itself is not among them.
fn is_replaced(gateway: &Gateway, id: &str, by: &[Endpoint]) -> bool {
    let directory = gateway.directory.borrow();
    let Some(gone) = directory.get(id) else {
        return false;
    };
    let relisted = by.iter().any(|e| e.id == gone.id);
    !relisted
        && by
            .iter()
            .any(|e| e.name == gone.name || e.addr == gone.addr)
}

fn to_endpoint(listed: EndpointListEntry) -> Endpoint {
    let started_at = listed.started_at_ms.map(StartTime);
    Endpoint {
        id: incarnations::id(&listed.name, started_at),
        name: listed.name.into(),
        started_at,
        service: listed.service.into(),
        addr: listed.addr,
        data_centre: listed.data_centre.into(),
        slots: listed.slots,
        draining: listed.draining,
        accelerator: listed.accelerator.map(Into::into),
        layers: listed
            .layers
            .and_then(|(first, end)| LayerRange::new(first, end)),
    }
}
