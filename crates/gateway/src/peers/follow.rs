//! Asks the other hosts for news.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::{
    choice::LoadMap,
    endpoints::Endpoint,
    incarnations::{self, Born},
    layers::LayerRange,
};
use dragonflyrill_protocol::{
    MAX_FRAME,
    exchange::{ExchangeClient, FleetHost, ListNews, Listed, News, Offer},
};
use tarpc::{client, context, serde_transport::tcp, tokio_serde::formats::Bincode};
use tokio::time;

use super::{
    FIRST_HOSTS, avoided_from_wire, avoided_to_wire, from_wire, serve::own_data_centre, to_wire,
};
use crate::{
    control::catalogue::wait,
    gateway::{Gateway, On},
};

/// How often news are asked for: changes are in force on all hosts within a few of these.
pub const PERIOD: Duration = Duration::from_millis(250);
/// How long a call may take: hosts are a fraction of a millisecond away, but may be busy.
const CALL: Duration = Duration::from_millis(350);
/// The part of the time in which a change must be in force that the store may be silent to another
/// host beyond the wait of its reads before it is passed over.
const SILENT_PART: f64 = 0.2;

struct Follower {
    gateway: Rc<Gateway>,
    clients: HashMap<SocketAddr, ExchangeClient>,
    /// The host that was asked last.
    asked: Option<String>,
}

/// Asks for news for as long as the process lives.
pub async fn follow(gateway: Rc<Gateway>) {
    let mut follower = Follower {
        gateway,
        clients: HashMap::new(),
        asked: None,
    };
    loop {
        let began = time::Instant::now();
        follower.round().await;
        time::sleep_until(began + PERIOD).await;
    }
}

impl Follower {
    async fn round(&mut self) {
        let gateway = self.gateway.clone();
        let me = gateway.settings.host.clone();
        let near = gateway.settings.data_centre.clone();
        let told = self.ask_first(&near, &me).await;
        gateway.set_reading(!told);
        if !told {
            self.asked = None;
            self.exchange_loads(&near).await;
        }
    }

    /// Asks the first hosts of this data centre that work; true if one had fresh news.
    async fn ask_first(&mut self, near: &str, me: &str) -> bool {
        let gateway = self.gateway.clone();
        for _ in 0..FIRST_HOSTS {
            let Some(host) = gateway.peers.first(near, Some(me), gateway.now()) else {
                return false;
            };
            if self.ask_near(&host).await {
                return true;
            }
        }
        false
    }

    /// Asks a host of this data centre; true if its news are fresh.
    async fn ask_near(&mut self, host: &FleetHost) -> bool {
        let gateway = self.gateway.clone();
        let peers = &gateway.peers;
        if self.asked.as_ref() != Some(&host.host) {
            log::info!(target: "peers", host = &*host.host; "News are asked of another host.");
            self.asked = Some(host.host.clone());
        }
        let loads = gateway.loads.borrow().own().clone();
        let offer = self.offer(&loads, true);
        let sent_at = gateway.now();
        let Some(news) = self.call(host, offer).await else {
            return false;
        };
        let age = news.proof_age_us.map(Duration::from_micros);
        let heard = news.heard_age_us.map(Duration::from_micros);
        let settings = &gateway.settings;
        let silent = wait(settings) + settings.config_apply.mul_f64(SILENT_PART);
        let fresh = heard.is_some_and(|age| age <= silent);
        match fresh {
            true => peers.works(&host.host),
            false => peers.pass_over(&host.host, gateway.now()),
        }
        if let Some(at) = heard.and_then(|age| sent_at.checked_sub(age)) {
            gateway.heard(On::Catalogue, at);
            gateway.heard(On::List, at);
        }
        self.take(news, sent_at, age);
        fresh
    }

    fn take(&mut self, news: News, sent_at: Duration, age: Option<Duration>) {
        let gateway = &self.gateway;
        let peers = &gateway.peers;
        let now = gateway.now();
        if let Some((_, document)) = news.catalogue {
            match gateway.platform.store.decode(Bytes::from(document)) {
                Ok(read) => gateway.adopt(read),
                Err(e) => {
                    log::warn!(target: "peers", why:% = e; "A catalogue from a host can't be used.");
                    return;
                }
            }
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
            gateway.bounds.told(&claims, sent_at, now);
        }
        if news.duty.is_some() {
            peers.set_duty(news.duty);
        }
        let loads = from_wire(&news.loads);
        gateway.loads.borrow_mut().told(loads, now);
        let told = avoided_from_wire(&news.avoided);
        gateway.directory.borrow_mut().told_avoided(told, now);
    }

    /// Exchanges loads with the reading hosts of the other data centres.
    async fn exchange_loads(&mut self, near: &str) {
        let gateway = self.gateway.clone();
        let peers = &gateway.peers;
        for centre in peers.other_data_centres(near) {
            let Some(host) = peers.first(&centre, None, gateway.now()) else {
                continue;
            };
            let offer = self.offer(&own_data_centre(&gateway), false);
            if let Some(news) = self.call(&host, offer).await {
                let now = gateway.now();
                peers.hear(
                    &host.host,
                    &host.data_centre,
                    from_wire(&news.loads),
                    Vec::new(),
                    now,
                );
            }
        }
        let now = gateway.now();
        let others = peers.sum(now, |_, _| true);
        gateway.loads.borrow_mut().told(others, now);
    }

    fn offer(&self, loads: &LoadMap, near: bool) -> Offer {
        let gateway = &self.gateway;
        Offer {
            host: gateway.settings.host.clone(),
            data_centre: gateway.settings.data_centre.to_string(),
            // Loads only are exchanged with other data centres.
            catalogue: match near {
                true => gateway.catalogue_version(),
                false => u64::MAX,
            },
            list: near.then(|| gateway.peers.list.get()),
            fleet: gateway.peers.fleet_hash.get(),
            loads: to_wire(loads),
            avoided: match near {
                true => avoided_to_wire(&gateway.directory.borrow().avoided(gateway.now())),
                false => Vec::new(),
            },
        }
    }

    /// Calls a host; one that does not answer is passed over for a while.
    async fn call(&mut self, host: &FleetHost, offer: Offer) -> Option<News> {
        let called = time::timeout(CALL, self.exchange(host.addr, offer)).await;
        if let Ok(Some(news)) = called {
            return Some(news);
        }
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

/// Takes what another host told of its list, unless more of the store's history is known.
pub fn take_list(gateway: &Rc<Gateway>, list: ListNews) {
    // The other host's list may be older than what this one knew before it asked that host.
    if list.store_mark < gateway.list_mark.get() {
        log::info!(target: "peers", told = list.store_mark, known = gateway.list_mark.get(); "An older list is not taken.");
        return;
    }
    gateway.list_mark.set(list.store_mark);
    if list.whole {
        let directory = gateway.directory.borrow();
        let doubted = list.doubted.iter().filter_map(|id| directory.get(id));
        let listed = list.changed.iter().map(|l| &*l.name);
        let removed = directory.others(listed.chain(doubted.map(|e| &*e.name)));
        drop(directory);
        removed.iter().for_each(|id| gateway.forget_endpoint(id));
    } else {
        let removed = list.removed.iter();
        removed.for_each(|id| gateway.forget_endpoint(id));
    }
    for listed in list.changed {
        gateway.list_endpoint(endpoint(listed));
    }
    gateway.endpoints_known.set(true);
    gateway.peers.list.set(list.mark);
}

fn endpoint(listed: Listed) -> Endpoint {
    let born = listed.born_ms.map(Born);
    Endpoint {
        id: incarnations::id(&listed.name, born),
        name: listed.name.into(),
        born,
        service: listed.service.into(),
        addr: listed.addr,
        data_centre: listed.data_centre.into(),
        slots: listed.slots,
        leaving: listed.leaving,
        accelerator: listed.accelerator.map(Into::into),
        layers: listed
            .layers
            .and_then(|(first, end)| LayerRange::new(first, end)),
    }
}
