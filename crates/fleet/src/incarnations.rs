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
pub struct Born(pub u64);

impl fmt::Display for Born {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Stands between name and start in an id. Names go into headers and are ASCII, so that no name looks
/// like the id of another's start.
const MARK: char = '·';

/// The id of one start of an endpoint; the name alone where the endpoint does not say its start.
pub fn id(name: &str, born: Option<Born>) -> Rc<str> {
    match born {
        Some(born) => format!("{name}{MARK}{born}").into(),
        None => name.into(),
    }
}

/// The name of the endpoint of which an id names a start.
pub fn name(id: &str) -> &str {
    id.split_once(MARK).map_or(id, |(name, _)| name)
}

/// What an entry means for the starts that are known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It speaks of this start or a later one; these have ended by it.
    Holds {
        /// Their ids.
        over: Vec<Rc<str>>,
        /// The start was gone.
        returned: bool,
    },
    /// It speaks of a start that is over.
    Late,
    /// It leaves out the start, which the endpoint says always: somebody else wrote it.
    Foreign,
}

/// The start of each endpoint that is listed, and what is remembered of those that were.
#[derive(Debug, Default)]
pub(crate) struct Incarnations {
    /// The id of the start that is listed, by name.
    current: FxHashMap<Rc<str>, Rc<str>>,
    /// The id of the start that was listed last at an address, and when it was born.
    at: FxHashMap<SocketAddr, (Rc<str>, Option<Born>)>,
    /// The latest start of each name, listed or gone.
    latest: FxHashMap<Rc<str>, Born>,
    /// The ids that were listed and are not.
    gone: FxHashSet<Rc<str>>,
}

impl Incarnations {
    /// What an entry means. It is taken by [`Self::listed`] if it holds.
    pub(crate) fn judge(&self, endpoint: &Endpoint) -> Verdict {
        match (endpoint.born, self.latest.get(&endpoint.name)) {
            (Some(born), Some(latest)) if born < *latest => return Verdict::Late,
            (None, Some(_)) => return Verdict::Foreign,
            _ => {}
        }
        let current = self.current.get(&endpoint.name);
        if current == Some(&endpoint.id) {
            return Verdict::Holds {
                over: Vec::new(),
                returned: false,
            };
        }
        let returned = self.gone.contains(&endpoint.id);
        let mut over: Vec<Rc<str>> = current.cloned().into_iter().collect();
        if let Some((other, born)) = self.at.get(&endpoint.addr) {
            let late = match (endpoint.born, born) {
                (Some(own), Some(other)) => own < *other,
                // Without their starts, the one that was gone is the former one.
                _ => returned && *other != endpoint.id,
            };
            if late {
                return Verdict::Late;
            }
            if *other != endpoint.id && !over.contains(other) {
                over.push(other.clone());
            }
        }
        Verdict::Holds { over, returned }
    }

    /// The id of the start that is listed under a name.
    pub(crate) fn current(&self, name: &str) -> Option<&Rc<str>> {
        self.current.get(name)
    }

    /// An entry was taken.
    pub(crate) fn listed(&mut self, endpoint: &Endpoint) {
        let Endpoint { id, name, born, .. } = endpoint;
        self.gone.remove(id);
        // One that moves leaves its address to whoever is listed there.
        self.at.retain(|_, (at, _)| at != id);
        self.current.insert(name.clone(), id.clone());
        self.at.insert(endpoint.addr, (id.clone(), *born));
        if let Some(born) = born {
            self.latest.insert(name.clone(), *born);
        }
    }

    /// An endpoint is no longer listed, and is remembered.
    pub(crate) fn removed(&mut self, endpoint: &Endpoint) {
        let Endpoint { id, name, addr, .. } = endpoint;
        self.gone.insert(id.clone());
        if self.current.get(name) == Some(id) {
            self.current.remove(name);
        }
        if self.at.get(addr).is_some_and(|(at, _)| at == id) {
            self.at.remove(addr);
        }
    }

    /// An endpoint that is no longer listed is forgotten.
    pub(crate) fn forget(&mut self, endpoint: &Endpoint) {
        self.gone.remove(&endpoint.id);
        if !self.current.contains_key(&endpoint.name) {
            self.latest.remove(&endpoint.name);
        }
    }
}
