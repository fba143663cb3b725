//! Distribution of the catalogue to every host.
//!
//! A few hosts of each data centre poll the platform ([`Spread::is_poller`]). A host that gets
//! something new from elsewhere than its own data centre sends it at once to all hosts there, and
//! sends its digest over the links to the other data centres, whose hosts pull what they lack.
//! Periodic digests repair the loss of messages. So every host that has any path to a newer
//! catalogue gets it.
//!
//! Invariant: the revision of the catalogue never decreases. A store that is older, or that was
//! rolled back and changed since, is reported by [`Action::Alarm`] and not followed.

mod change_log;
mod config;
mod incoming;
mod outgoing;
mod snapshot;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use dragonflyrill_catalogue::{Catalogue, Change, Revision};
use dragonflyrill_protocol::{
    HostId,
    membership::State,
    spread::{Digest, Message},
};
use dragonflyrill_store::catalogue_store::{Head, LoadedCatalogue};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::{members::Member, rendezvous};

pub use config::{Budget, Config};

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message. It may get lost.
    Send {
        /// The receiver.
        to: HostId,
        /// Its address.
        addr: SocketAddr,
        /// The message.
        message: Message,
    },
    /// [`Spread::catalogue`] is now at this revision.
    InForce(Revision),
    /// Read the head and the changes after `after` from the platform, and pass the result to one of
    /// [`Spread::receive_store_read`], [`Spread::receive_store_head`] and
    /// [`Spread::receive_store_failure`].
    Poll {
        /// One below the revision in force, so that the change in force is read with the newer
        /// ones: it proves that the store was not rolled back and changed since.
        after: Revision,
    },
    /// Report a fault that needs an operator.
    Alarm(Alarm),
}

/// A fault that needs an operator.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Alarm {
    /// The store holds an older catalogue than the one in force. It must be brought forward again.
    StoreOlder {
        /// The revision in force here.
        in_force: Revision,
        /// The revision in the store.
        found: Revision,
    },
    /// The store holds another change under a revision that was in force here.
    StoreForked {
        /// The revision in force here.
        in_force: Revision,
    },
    /// Another host has another change in force under the same revision.
    PeerForked {
        /// The other host.
        peer: HostId,
        /// The revision in force here.
        in_force: Revision,
    },
}

/// What a poll read from the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRead {
    /// Changes in order of revision and without gaps.
    Changes(Vec<Change>),
    /// A snapshot and the changes after it.
    Loaded(LoadedCatalogue),
}

/// Where a change or a catalogue came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source<'a> {
    Store,
    Host(&'a HostId),
}

/// The catalogue of one host, and its part in the spread.
#[derive(Debug, Clone)]
pub struct Spread {
    cfg: Config,
    rng: Pcg32,
    catalogue: Catalogue,
    change_id: String,
    in_force_since: Duration,
    log: change_log::ChangeLog,
    /// All other hosts that are not known to be dead or to have left.
    peers: BTreeMap<HostId, Member>,
    /// Whether the view lacks this host: it is shutting down.
    shutting_down: bool,
    /// When the polls without an answer were sent, oldest first.
    pending_polls: VecDeque<Duration>,
    /// The store was found to be older or to hold other changes. Nothing is applied from it until
    /// it proves to continue the catalogue in force.
    store_suspected: bool,
    /// When a pull was last sent, unless it has been answered.
    pull_sent: Option<Duration>,
    assembly: Option<snapshot::Assembly>,
    /// When each host was last sent a whole catalogue.
    snapshots_sent: BTreeMap<HostId, Duration>,
    /// Whether another host has reported its revision.
    peer_revision_received: bool,
    /// When this host first ran; `None` before.
    started: Option<Duration>,
    next_digest: Duration,
    next_poll: Duration,
}

impl Spread {
    /// The state of a host with an empty catalogue that knows no others.
    pub fn new(cfg: Config) -> Self {
        let rng = Pcg32::seed_from_u64(cfg.seed);
        Self {
            cfg,
            rng,
            catalogue: Catalogue::default(),
            change_id: String::new(),
            in_force_since: Duration::ZERO,
            log: change_log::ChangeLog::default(),
            peers: BTreeMap::new(),
            shutting_down: false,
            pending_polls: VecDeque::new(),
            store_suspected: false,
            pull_sent: None,
            assembly: None,
            snapshots_sent: BTreeMap::new(),
            peer_revision_received: false,
            started: None,
            next_digest: Duration::ZERO,
            next_poll: Duration::ZERO,
        }
    }

    /// The catalogue in force.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The head in force, for [`dragonflyrill_store::catalogue_store::CatalogueStore::record_seen_head`].
    pub fn head(&self) -> Head {
        Head {
            revision: self.catalogue.revision(),
            change_id: self.change_id.clone(),
        }
    }

    /// Time since which the catalogue is in force here.
    pub fn in_force_since(&self) -> Duration {
        self.in_force_since
    }

    /// Replaces the view with that of [`crate::members::Members::view`].
    pub fn update_view(&mut self, _now: Duration, view: impl Iterator<Item = Member>) {
        let me = self.cfg.me.id.clone();
        self.peers = view.map(|m| (m.host.id.clone(), m)).collect();
        self.shutting_down = self.peers.remove(&me).is_none();
        let peers = &self.peers;
        self.snapshots_sent.retain(|id, _| peers.contains_key(id));
    }

    /// Whether this host polls the platform for its data centre.
    pub fn is_poller(&self) -> bool {
        let live = self.live_local_hosts();
        let n = self.cfg.budget.pollers;
        rendezvous::choose("catalogue pollers", live.into_iter(), n).contains(&&self.cfg.me.id)
    }

    /// Sends the digests and polls that are due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        if now >= self.next_digest {
            self.next_digest = now + self.jittered(self.cfg.budget.digest_interval);
            self.send_digests(actions);
        }
        if now >= self.next_poll {
            self.next_poll = now + self.jittered(self.cfg.budget.poll_interval);
            self.poll(now, actions);
        }
    }

    /// The latest time at which [`Self::tick`] must be called next.
    pub fn next_tick(&self) -> Duration {
        self.next_digest.min(self.next_poll)
    }

    fn poll(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let limit = self.cfg.budget.poll_timeout;
        self.pending_polls
            .retain(|sent| now.saturating_sub(*sent) < limit);
        let busy = self.pending_polls.len() >= self.cfg.budget.max_pending_polls;
        if busy || !self.startup_wait_over(now) || !self.is_poller() {
            return;
        }
        self.pending_polls.push_back(now);
        let after = Revision(self.catalogue.revision().0.saturating_sub(1));
        actions.push(Action::Poll { after });
    }

    /// Whether another host has reported its revision, or the wait for that is over. A new host
    /// must not follow a store that was rolled back and changed since, before it knows the others'
    /// revision.
    pub fn startup_wait_over(&self, now: Duration) -> bool {
        let wait = self.cfg.budget.startup_wait;
        let waited = self.started.is_some_and(|s| now.saturating_sub(s) >= wait);
        self.peer_revision_received || waited
    }

    fn digest(&self) -> Digest {
        change_log::digest(self.catalogue.revision(), &self.change_id)
    }

    /// The hosts of this data centre that are alive, including this one.
    fn live_local_hosts(&self) -> Vec<&HostId> {
        let local = self
            .peers
            .values()
            .filter(|m| m.data_centre == self.cfg.data_centre && m.state == State::Alive);
        let own = (!self.shutting_down).then_some(&self.cfg.me.id);
        own.into_iter().chain(local.map(|m| &m.host.id)).collect()
    }

    /// `interval`, up to a tenth shorter or longer, so that hosts don't send in lockstep.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.9..1.1))
    }
}
