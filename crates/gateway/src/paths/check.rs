//! Determines whether this host reaches an endpoint, and which host does if it does not.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use dragonflyrill_fleet::paths::{CutKind, RelayHost, Search, Way};
use futures_util::{
    FutureExt, StreamExt,
    future::{LocalBoxFuture, Shared},
    stream::FuturesUnordered,
};
use rustc_hash::FxHashMap;

use super::open;
use crate::{
    gateway::Gateway,
    http::{
        call::{Call, CallPath},
        relayed::{RelayKind, RelayResult},
    },
};

/// How long the result of a check of this host's own path is used. Requests that stall together share one check.
const DIRECT_RESULT_TTL: Duration = Duration::from_millis(100);
/// The same for a search for a relay: a later search is made because the relay that was found has failed.
const SEARCH_RESULT_TTL: Duration = Duration::ZERO;
/// The timeout of a call that asks another host whether it reaches an endpoint: the time that the other host takes to
/// find that it does not, and a margin for busy hosts.
const ASK_TIMEOUT: Duration = Duration::from_millis(120);

/// Whether this host reaches an endpoint over a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DirectCheck {
    /// A connection was established.
    Reached,
    /// It was not, in this way.
    Failed(CutKind),
}

/// The state of the path to an endpoint that did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathState {
    /// This host reaches the endpoint.
    Intact,
    /// Only other hosts reach it.
    Cut,
    /// Nobody who was asked reaches it: the endpoint has failed, or hosts are cut off that can't be told apart from that.
    Unreachable,
}

type SharedCheck<T> = Shared<LocalBoxFuture<'static, T>>;

/// A check, and when it began.
struct Check<T: Clone> {
    began_at: Duration,
    ended: Rc<Cell<bool>>,
    result: SharedCheck<T>,
}

impl<T: Clone + 'static> Check<T> {
    /// Runs a check as a task. If it ran only while callers wait for it, one whose callers have left would go on when
    /// another caller comes, with times that have passed long before.
    fn start(began_at: Duration, check: impl Future<Output = T> + 'static) -> Self {
        let ended = Rc::new(Cell::new(false));
        let end = ended.clone();
        let task = actix_rt::spawn(async move {
            let result = check.await;
            end.set(true);
            result
        });
        let result = async { task.await.expect("a check does not panic") };
        Self {
            began_at,
            ended,
            result: result.boxed_local().shared(),
        }
    }

    /// Whether its result may be used by what begins now.
    fn is_current(&self, now: Duration, ttl: Duration) -> bool {
        !self.ended.get() || self.began_at + ttl > now
    }
}

/// The checks in progress and those whose results are still used, by the address of the endpoint.
struct Checks<T: Clone>(RefCell<FxHashMap<SocketAddr, Check<T>>>);

impl<T: Clone> Default for Checks<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T: Clone + 'static> Checks<T> {
    /// The check of an endpoint that is in progress, or that began less than `ttl` ago; else a new one.
    fn get(
        &self,
        endpoint: SocketAddr,
        now: Duration,
        ttl: Duration,
        new: impl Future<Output = T> + 'static,
    ) -> SharedCheck<T> {
        let mut checks = self.0.borrow_mut();
        checks.retain(|_, check| check.is_current(now, ttl));
        let check = checks.entry(endpoint);
        let check = check.or_insert_with(|| Check::start(now, new));
        check.result.clone()
    }
}

/// The checks of one host.
#[derive(Default)]
pub(super) struct PathChecks {
    direct: Checks<DirectCheck>,
    relays: Checks<Option<SocketAddr>>,
}

impl Gateway {
    /// Whether this host reaches an endpoint over a new connection, which is kept for the next request.
    pub(crate) async fn check_direct(self: &Rc<Self>, endpoint: SocketAddr) -> DirectCheck {
        let gateway = self.clone();
        let check = async move {
            match open::open_direct(&gateway, endpoint).await {
                Ok(connection) => {
                    gateway.keep_connection(endpoint, connection);
                    DirectCheck::Reached
                }
                Err(e) => DirectCheck::Failed(cut_kind(&e)),
            }
        };
        let checks = &self.paths.checks.direct;
        checks
            .get(endpoint, self.now(), DIRECT_RESULT_TTL, check)
            .await
    }

    /// Determines the state of the path to an endpoint that did not answer, and records it.
    pub(crate) async fn check_path(self: &Rc<Self>, endpoint: SocketAddr) -> PathState {
        let way = self.paths.known().way(endpoint);
        if let Way::Relay(relay) = way
            && self.check_relay(endpoint, relay).await
        {
            return PathState::Cut;
        }
        let direct = self.check_direct(endpoint);
        let kind = match direct.await {
            DirectCheck::Reached => {
                self.record_direct_path(endpoint);
                return PathState::Intact;
            }
            DirectCheck::Failed(kind) => kind,
        };
        match self.find_relay(endpoint, kind).await {
            Some(_) => PathState::Cut,
            None => PathState::Unreachable,
        }
    }

    /// Whether the relay of a cut path still reaches the endpoint.
    async fn check_relay(&self, endpoint: SocketAddr, relay: SocketAddr) -> bool {
        match ask(self, relay, endpoint).await {
            Some(RelayResult::Reached) => true,
            Some(result) => {
                self.record_relay_failure(endpoint, relay, result);
                false
            }
            None => {
                self.record_unanswered(relay);
                false
            }
        }
    }

    /// Finds a host that reaches an endpoint to which this host can't connect, and records that the path is cut.
    pub(super) async fn find_relay(
        self: &Rc<Self>,
        endpoint: SocketAddr,
        kind: CutKind,
    ) -> Option<SocketAddr> {
        let gateway = self.clone();
        let search = async move { search(&gateway, endpoint).await };
        let searches = &self.paths.checks.relays;
        let search = searches.get(endpoint, self.now(), SEARCH_RESULT_TTL, search);
        match search.await {
            Some(relay) => {
                self.record_cut_path(endpoint, kind, relay);
                Some(relay)
            }
            None => {
                self.paths.known.borrow_mut().record_unreachable(endpoint);
                None
            }
        }
    }

    /// Whether a host that this host asks reaches an endpoint that refuses connections of this one. If so, the path is
    /// recorded as cut.
    pub(crate) async fn is_reached_by_others(self: &Rc<Self>, endpoint: SocketAddr) -> bool {
        self.find_relay(endpoint, CutKind::Refusing).await.is_some()
    }

    /// Records that a host did not answer: no path uses it any more.
    pub(super) fn record_unanswered(&self, relay: SocketAddr) {
        let now = self.now();
        self.paths.known.borrow_mut().record_unanswered(relay, now);
        self.prober.notify_failure();
    }

    fn record_cut_path(&self, endpoint: SocketAddr, kind: CutKind, relay: SocketAddr) {
        let now = self.now();
        // Its next process relays again.
        self.paths.stopping.borrow_mut().remove(&relay);
        let mut known = self.paths.known.borrow_mut();
        if !known.record_cut(endpoint, kind, relay, now) {
            return;
        }
        drop(known);
        log::info!(target: "paths", to:% = endpoint, relay:% = relay, kind:? = kind; "Path to an endpoint is cut: another host relays.");
        // Those that hang can't be told from those that live on.
        self.idle.close_all(endpoint);
        // Runs that wait for an answer over this path are waiting in vain.
        self.prober.notify_failure();
    }

    /// Records that this host reaches an endpoint itself.
    pub(super) fn record_direct_path(&self, endpoint: SocketAddr) {
        if self.paths.known.borrow_mut().record_direct(endpoint) {
            log::info!(target: "paths", to:% = endpoint; "Path to an endpoint is restored.");
        }
    }

    /// Records that a relay did not pass a request on.
    pub(crate) fn record_relay_failure(
        &self,
        endpoint: SocketAddr,
        relay: SocketAddr,
        result: RelayResult,
    ) {
        log::info!(target: "paths", to:% = endpoint, relay:% = relay, result = result.word(); "A host does not relay.");
        match result {
            RelayResult::Stopping => {
                self.paths.stopping.borrow_mut().insert(relay);
                self.record_unanswered(relay);
            }
            // Another host may have room.
            RelayResult::Full => {
                let mut known = self.paths.known.borrow_mut();
                known.record_relay_failure(endpoint, relay);
            }
            // The endpoint itself accepts nothing.
            RelayResult::Unavailable | RelayResult::Reached => {}
            RelayResult::Refused | RelayResult::Unreachable | RelayResult::Unlisted => {
                let mut known = self.paths.known.borrow_mut();
                known.record_relay_failure(endpoint, relay);
                drop(known);
                self.prober.notify_failure();
            }
        }
    }

    /// Removes what is known of paths to endpoints that are gone.
    pub(crate) fn expire_paths(&self) {
        let mut known = self.paths.known.borrow_mut();
        if known.cut_count() == 0 {
            return;
        }
        let directory = self.directory.borrow();
        known.retain(|addr| directory.at(addr).is_some());
    }
}

/// How a failed attempt to connect shows a cut.
pub(super) fn cut_kind(error: &io::Error) -> CutKind {
    match error.kind() {
        io::ErrorKind::TimedOut => CutKind::Silent,
        _ => CutKind::Refusing,
    }
}

/// Asks other hosts at the same time whether they reach an endpoint. Returns the first that does.
async fn search(gateway: &Rc<Gateway>, endpoint: SocketAddr) -> Option<SocketAddr> {
    let asked = candidates(gateway, endpoint);
    let ask = async |relay: SocketAddr| (relay, ask(gateway, relay, endpoint).await);
    let mut answers: FuturesUnordered<_> = asked.into_iter().map(ask).collect();
    while let Some((relay, result)) = answers.next().await {
        match result {
            Some(RelayResult::Reached) => return Some(relay),
            Some(_) => {}
            None => gateway.record_unanswered(relay),
        }
    }
    None
}

fn candidates(gateway: &Gateway, endpoint: SocketAddr) -> Vec<SocketAddr> {
    let settings = &gateway.settings;
    let directory = gateway.directory.borrow();
    let listed = directory.at(endpoint);
    let search = Search {
        host: &settings.host,
        data_centre: &settings.data_centre,
        endpoint,
        endpoint_data_centre: listed.map(|e| &*e.data_centre),
    };
    let fleet = gateway.peers.known_fleet();
    let hosts = fleet.iter().map(|h| RelayHost {
        name: &h.host,
        addr: h.addr,
        data_centre: &h.data_centre,
    });
    let known = gateway.paths.known.borrow();
    known.candidates(hosts, &search, gateway.now())
}

/// Asks a host whether it reaches an endpoint; `None` if it does not answer.
async fn ask(gateway: &Gateway, relay: SocketAddr, endpoint: SocketAddr) -> Option<RelayResult> {
    gateway.metrics.path_checks.inc();
    let path = CallPath::relayed(relay, endpoint, RelayKind::Check);
    let answer = gateway
        .paths
        .client
        .ask_relay(path, Call::check(), ASK_TIMEOUT);
    answer.await.ok()
}
