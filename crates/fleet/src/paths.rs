//! Which endpoints this host can't reach itself, and which hosts relay its requests to them.
//!
//! An endpoint that does not answer this host has failed, or the path to it is cut. Only another host that reaches the
//! endpoint tells these apart: a path counts as cut once such a host is known, and that host becomes its relay.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use rustc_hash::{FxHashMap, FxHasher};

/// The pause before the first check whether a cut path carries connections again. It doubles with each check, so that
/// the checks of a long cut cost little.
const MIN_RECHECK_PAUSE: Duration = Duration::from_millis(250);
/// The maximum pause between two of these checks.
const MAX_RECHECK_PAUSE: Duration = Duration::from_secs(2);
/// How long a host that did not answer is asked last.
const UNANSWERED_PENALTY: Duration = Duration::from_secs(1);
/// The maximum number of hosts of one kind, near or far, that are asked whether they reach an endpoint. With two of
/// each, a cut of all hosts of a data centre and the end of one host leave one that answers.
const MAX_CANDIDATES_PER_KIND: usize = 2;

/// How a cut shows on new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// They are not established, and those that are open carry nothing.
    Silent,
    /// They are refused. Those that are open may go on.
    Refusing,
}

/// How the next request reaches an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Over a connection to the endpoint itself.
    Direct,
    /// Through the host with this address.
    Relay(SocketAddr),
    /// The path is cut and its relay has failed: another one must be found.
    Search,
}

/// A host that may relay requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayHost<'a> {
    /// The name of the host.
    pub name: &'a str,
    /// The address at which it serves other hosts.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: &'a str,
}

/// Whom a search for a relay is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Search<'a> {
    /// The name of the searching host.
    pub host: &'a str,
    /// The data centre of the searching host.
    pub data_centre: &'a str,
    /// The address of the endpoint.
    pub endpoint: SocketAddr,
    /// The data centre of the endpoint, if the endpoint is listed.
    pub endpoint_data_centre: Option<&'a str>,
}

/// A path that is cut.
#[derive(Debug, Clone, Copy)]
struct CutPath {
    kind: CutKind,
    /// The host that relays; `None` after it failed.
    relay: Option<SocketAddr>,
    recheck_at: Duration,
    /// The pause after the next check.
    next_pause: Duration,
}

/// The paths from this host to endpoints, by the addresses of these.
#[derive(Debug, Default)]
pub struct Paths {
    /// The cut ones; a path that is missing here is intact as far as known.
    cut: FxHashMap<SocketAddr, CutPath>,
    /// The hosts that did not answer, by address, with the time until which they are asked last.
    unanswered: FxHashMap<SocketAddr, Duration>,
}

impl Paths {
    /// How the next request reaches an endpoint.
    pub fn way(&self, endpoint: SocketAddr) -> Way {
        match self.cut.get(&endpoint) {
            None => Way::Direct,
            Some(path) => path.relay.map_or(Way::Search, Way::Relay),
        }
    }

    /// The kind of the cut of a path; `None` if it is intact as far as known.
    pub fn cut_kind(&self, endpoint: SocketAddr) -> Option<CutKind> {
        self.cut.get(&endpoint).map(|path| path.kind)
    }

    /// The number of cut paths.
    pub fn cut_count(&self) -> usize {
        self.cut.len()
    }

    /// Records that this host does not reach an endpoint and `relay` does; returns whether the path was intact before.
    /// The path keeps a relay that has not failed.
    pub fn record_cut(
        &mut self,
        endpoint: SocketAddr,
        kind: CutKind,
        relay: SocketAddr,
        now: Duration,
    ) -> bool {
        self.unanswered.remove(&relay);
        if let Some(path) = self.cut.get_mut(&endpoint) {
            path.kind = kind;
            path.relay.get_or_insert(relay);
            return false;
        }
        let path = CutPath {
            kind,
            relay: Some(relay),
            recheck_at: now + MIN_RECHECK_PAUSE,
            next_pause: MIN_RECHECK_PAUSE * 2,
        };
        self.cut.insert(endpoint, path);
        true
    }

    /// Records that this host reaches an endpoint itself; returns whether the path was cut before.
    pub fn record_direct(&mut self, endpoint: SocketAddr) -> bool {
        self.cut.remove(&endpoint).is_some()
    }

    /// Records that neither this host nor any that it asked reaches an endpoint: the endpoint has failed, and nothing is
    /// known of the path.
    pub fn record_unreachable(&mut self, endpoint: SocketAddr) {
        self.cut.remove(&endpoint);
    }

    /// Records that a relay failed to pass a request on to an endpoint.
    pub fn record_relay_failure(&mut self, endpoint: SocketAddr, relay: SocketAddr) {
        let path = self.cut.get_mut(&endpoint);
        if let Some(path) = path.filter(|path| path.relay == Some(relay)) {
            path.relay = None;
        }
    }

    /// Records that a host did not answer: no path uses it, and it is asked last for a while.
    pub fn record_unanswered(&mut self, relay: SocketAddr, now: Duration) {
        self.unanswered.retain(|_, until| *until > now);
        self.unanswered.insert(relay, now + UNANSWERED_PENALTY);
        for path in self.cut.values_mut().filter(|p| p.relay == Some(relay)) {
            path.relay = None;
        }
    }

    /// Whether a check is due whether a cut path carries connections again. The next one is due after a pause.
    pub fn begin_recheck(&mut self, endpoint: SocketAddr, now: Duration) -> bool {
        let path = self.cut.get_mut(&endpoint);
        let Some(path) = path.filter(|path| path.recheck_at <= now) else {
            return false;
        };
        path.recheck_at = now + path.next_pause;
        path.next_pause = MAX_RECHECK_PAUSE.min(path.next_pause * 2);
        true
    }

    /// Removes the paths to addresses at which no endpoint is listed.
    pub fn retain(&mut self, mut is_listed: impl FnMut(SocketAddr) -> bool) {
        self.cut.retain(|endpoint, _| is_listed(*endpoint));
    }

    /// The hosts to ask whether they reach an endpoint: two of the own data centre, two of others, and more of these
    /// if there are fewer near ones. The order differs by host and endpoint, which divides the load among relays.
    pub fn candidates<'a>(
        &self,
        hosts: impl Iterator<Item = RelayHost<'a>>,
        search: &Search<'_>,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let others = hosts.filter(|h| h.name != search.host);
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            others.partition(|h| h.data_centre == search.data_centre);
        let rank = |h: &RelayHost<'_>| {
            let unanswered = self.unanswered.get(&h.addr).is_some_and(|t| *t > now);
            let beside_endpoint = search.endpoint_data_centre == Some(h.data_centre);
            (unanswered, !beside_endpoint, draw(search, h.name))
        };
        near.sort_by_cached_key(rank);
        far.sort_by_cached_key(rank);
        near.truncate(MAX_CANDIDATES_PER_KIND);
        far.truncate(2 * MAX_CANDIDATES_PER_KIND - near.len());
        near.iter().chain(&far).map(|h| h.addr).collect()
    }
}

/// A number that orders the relays of a search in the same way each time.
fn draw(search: &Search<'_>, relay: &str) -> u64 {
    let mut hasher = FxHasher::default();
    (search.host, search.endpoint, relay).hash(&mut hasher);
    hasher.finish()
}
