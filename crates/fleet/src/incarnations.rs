//! Which start of an endpoint an entry speaks of, and which starts are over.
//!
//! An endpoint may start again under the name that it had, or under another at its address. What was
//! true of the former process is not true of the new one, so that each start is an endpoint of its
//! own to every decision: its id is its name and its [`Born`]. News of a former start come late and
//! by many ways: an entry that a cut link held up, the list of a host that is behind, a report that
//! was under way. A later start ends an earlier one of its name, and whatever listened at its
//! address; an earlier one never comes back.

use std::{fmt, net::SocketAddr, rc::Rc};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::endpoints::Endpoint;

/// When an endpoint started, in milliseconds since the Unix epoch, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Stands between name and start in an id. Names go into headers and are ASCII, so that no name looks
/// like the id of another's start.
const ID_SEPARATOR: char = '·';

/// The id of one start of an endpoint; the name alone where the endpoint does not say its start.
pub fn id(name: &str, started_at: Option<StartTime>) -> Rc<str> {
    match started_at {
        Some(started_at) => format!("{name}{ID_SEPARATOR}{started_at}").into(),
        None => name.into(),
    }
}

/// The name of the endpoint of which an id names a start.
pub fn name(id: &str) -> &str {
    id.split_once(ID_SEPARATOR).map_or(id, |(name, _)| name)
}

/// What an entry means for the starts that are known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It speaks of this start or a later one; these have ended by it.
    Current {
        /// Their ids.
        replaced: Vec<Rc<str>>,
        /// The start was gone.
        relisted: bool,
    },
    /// It speaks of a start that is over.
    Outdated,
    /// It leaves out the start, which the endpoint says always: somebody else wrote it.
    Foreign,
}

/// The start of each endpoint that is listed, and what is remembered of those that were.
#[derive(Debug, Default)]
pub(crate) struct Incarnations {
    /// The id of the start that is listed, by name.
    current: FxHashMap<Rc<str>, Rc<str>>,
    /// The id of the start that was listed last at an address, and when it was born.
    by_address: FxHashMap<SocketAddr, (Rc<str>, Option<StartTime>)>,
    /// The latest start of each name, listed or gone.
    latest: FxHashMap<Rc<str>, StartTime>,
    /// The ids that were listed and are not.
    removed: FxHashSet<Rc<str>>,
}

impl Incarnations {
    /// What an entry means. It is taken by [`Self::listed`] if it holds.
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
                // Without their starts, the one that was gone is the former one.
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

    /// The id of the start that is listed under a name.
    pub(crate) fn current(&self, name: &str) -> Option<&Rc<str>> {
        self.current.get(name)
    }

    /// An entry was taken.
    pub(crate) fn record_listed(&mut self, endpoint: &Endpoint) {
        let Endpoint {
            id,
            name,
            started_at,
            ..
        } = endpoint;
        self.removed.remove(id);
        // One that moves leaves its address to whoever is listed there.
        self.by_address.retain(|_, (at, _)| at != id);
        self.current.insert(name.clone(), id.clone());
        self.by_address
            .insert(endpoint.addr, (id.clone(), *started_at));
        if let Some(started_at) = started_at {
            self.latest.insert(name.clone(), *started_at);
        }
    }

    /// An endpoint is no longer listed, and is remembered.
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

    /// An endpoint that is no longer listed is forgotten.
    pub(crate) fn forget(&mut self, endpoint: &Endpoint) {
        self.removed.remove(&endpoint.id);
        if !self.current.contains_key(&endpoint.name) {
            self.latest.remove(&endpoint.name);
        }
    }
}
