//! Determines which incarnation of an endpoint an entry describes, and which incarnations have
//! ended.
//!
//! An endpoint may restart under the same name, or under another name at the same address. What was
//! true of the earlier process does not hold for the new one, so each incarnation is treated as an
//! endpoint of its own: its id consists of its name and its [`StartTime`]. Information about an
//! earlier incarnation may arrive late and by several paths: an entry delayed by a network
//! partition, the list of a host that is behind, or a report in transit. A later incarnation ends
//! an earlier one with the same name, and any endpoint that listened at its address. An earlier
//! incarnation is never listed again.

use std::{fmt, net::SocketAddr, rc::Rc};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::endpoints::Endpoint;

/// Start time of an endpoint, in milliseconds since the Unix epoch, as reported by the endpoint
/// itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Separates name and start time in an id. Names are sent in headers and are ASCII, so no name
/// equals the id of an incarnation of another endpoint.
const ID_SEPARATOR: char = '·';

/// Returns the id of an incarnation; the name alone if the endpoint does not report its start time.
pub fn id(name: &str, started_at: Option<StartTime>) -> Rc<str> {
    match started_at {
        Some(started_at) => format!("{name}{ID_SEPARATOR}{started_at}").into(),
        None => name.into(),
    }
}

/// Returns the name of the endpoint from the id of an incarnation.
pub fn name(id: &str) -> &str {
    id.split_once(ID_SEPARATOR).map_or(id, |(name, _)| name)
}

/// Meaning of an entry for the known incarnations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The entry describes the listed incarnation or a later one.
    Current {
        /// Ids of the incarnations that ended because of this one.
        replaced: Vec<Rc<str>>,
        /// Whether the incarnation was removed from the list before.
        relisted: bool,
    },
    /// The entry describes an incarnation that has ended.
    Outdated,
    /// The entry lacks the start time that the endpoint always reports: another process wrote it.
    Foreign,
}

/// The listed incarnation of each endpoint, and what is remembered of those no longer listed.
#[derive(Debug, Default)]
pub(crate) struct Incarnations {
    /// Id of the listed incarnation, by name.
    current: FxHashMap<Rc<str>, Rc<str>>,
    /// Id and start time of the incarnation that was last listed at an address.
    by_address: FxHashMap<SocketAddr, (Rc<str>, Option<StartTime>)>,
    /// Latest start time of each name, whether it is listed or not.
    latest: FxHashMap<Rc<str>, StartTime>,
    /// Ids that were listed and no longer are.
    removed: FxHashSet<Rc<str>>,
}

impl Incarnations {
    /// Classifies an entry. If it is current, the caller applies it with [`Self::record_listed`].
    pub(crate) fn classify(&self, endpoint: &Endpoint) -> Verdict {
        match (endpoint.started_at, self.latest.get(&endpoint.name)) {
            (Some(started_at), Some(latest)) if started_at < *latest => return Verdict::Outdated,
            (None, Some(_)) => return Verdict::Foreign,
            _ => {}
        }
        let current = self.current.get(&endpoint.name);
        if current == Some(&endpoint.id) {
            return Verdict::Current {
                replaced: Vec::new(),
                relisted: false,
            };
        }
        let relisted = self.removed.contains(&endpoint.id);
        let mut replaced: Vec<Rc<str>> = current.cloned().into_iter().collect();
        if let Some((other, started_at)) = self.by_address.get(&endpoint.addr) {
            let outdated = match (endpoint.started_at, started_at) {
                (Some(own), Some(other)) => own < *other,
                // Without start times, the incarnation that was removed before is the earlier one.
                _ => relisted && *other != endpoint.id,
            };
            if outdated {
                return Verdict::Outdated;
            }
            if *other != endpoint.id && !replaced.contains(other) {
                replaced.push(other.clone());
            }
        }
        Verdict::Current { replaced, relisted }
    }

    /// Returns the id of the incarnation that is listed under a name.
    pub(crate) fn current(&self, name: &str) -> Option<&Rc<str>> {
        self.current.get(name)
    }

    /// Returns the id of the incarnation that was last listed at an address.
    pub(crate) fn at(&self, addr: SocketAddr) -> Option<&Rc<str>> {
        self.by_address.get(&addr).map(|(id, _)| id)
    }

    /// Returns the ids that were listed and no longer are.
    pub(crate) fn removed(&self) -> impl Iterator<Item = &Rc<str>> {
        self.removed.iter()
    }

    /// Records an entry that was accepted.
    pub(crate) fn record_listed(&mut self, endpoint: &Endpoint) {
        let Endpoint {
            id,
            name,
            started_at,
            ..
        } = endpoint;
        self.removed.remove(id);
        // An endpoint that moves to another address releases its former one.
        self.by_address.retain(|_, (at, _)| at != id);
        self.current.insert(name.clone(), id.clone());
        self.by_address
            .insert(endpoint.addr, (id.clone(), *started_at));
        if let Some(started_at) = started_at {
            self.latest.insert(name.clone(), *started_at);
        }
    }

    /// Records that an endpoint is no longer listed; its id is remembered.
    pub(crate) fn record_removed(&mut self, endpoint: &Endpoint) {
        let Endpoint { id, name, addr, .. } = endpoint;
        self.removed.insert(id.clone());
        if self.current.get(name) == Some(id) {
            self.current.remove(name);
        }
        if self.by_address.get(addr).is_some_and(|(at, _)| at == id) {
            self.by_address.remove(addr);
        }
    }

    /// Discards what is remembered of an endpoint that is no longer listed.
    pub(crate) fn forget(&mut self, endpoint: &Endpoint) {
        self.removed.remove(&endpoint.id);
        if !self.current.contains_key(&endpoint.name) {
            self.latest.remove(&endpoint.name);
        }
    }
}
