//! Sending of the catalogue, and the choice of its receivers.

use std::collections::BTreeMap;

use dragonflyrill_catalogue::{Change, DataCentre};
use dragonflyrill_protocol::{
    HostId,
    membership::State,
    spread::{self, Message},
};
use rand::{Rng, seq::IteratorRandom};

use super::{Action, Source, Spread};
use crate::{members::Member, rendezvous};

/// Number of hosts of a data centre that hold links to each other data centre.
const LINK_HOLDERS: usize = 2;

impl Spread {
    /// Forwards what has just come into force. `changes` is empty after a whole catalogue.
    pub(super) fn push(
        &mut self,
        changes: Vec<Change>,
        source: Source<'_>,
        actions: &mut Vec<Action>,
    ) {
        let from = match source {
            Source::Store => None,
            Source::Host(id) => Some(id),
        };
        let from_data_centre = from
            .and_then(|id| self.peers.get(id))
            .map(|m| &m.data_centre);
        // The first host of this data centre that had it has sent it to all hosts here.
        if from_data_centre != Some(&self.cfg.data_centre) {
            self.push_to_local_peers(changes, actions);
        }
        let mut rng = self.rng.clone();
        for (data_centre, hosts) in self.links() {
            if Some(data_centre) == from_data_centre {
                continue;
            }
            if let Some(to) = link_target(&hosts, &mut rng) {
                self.send(to, Message::Digest(self.digest()), actions);
            }
        }
        self.rng = rng;
    }

    fn push_to_local_peers(&self, changes: Vec<Change>, actions: &mut Vec<Action>) {
        let bytes: usize = changes.iter().map(spread::encoded_len).sum();
        let message = if changes.is_empty() || bytes > self.cfg.budget.max_push_bytes {
            Message::Digest(self.digest())
        } else {
            Message::Changes(changes)
        };
        for member in self.local_peers() {
            self.send(member, message.clone(), actions);
        }
    }

    /// Sends digests to some hosts of this data centre and over each link.
    pub(super) fn send_digests(&mut self, actions: &mut Vec<Action>) {
        let mut rng = self.rng.clone();
        let message = Message::Digest(self.digest());
        let n = self.cfg.budget.digest_fanout;
        for to in self.local_peers().choose_multiple(&mut rng, n) {
            self.send(to, message.clone(), actions);
        }
        for hosts in self.links().values() {
            if let Some(to) = hosts.iter().choose(&mut rng) {
                self.send(to, message.clone(), actions);
            }
        }
        self.rng = rng;
    }

    /// The data centres to which this host holds a link, each with its hosts.
    fn links(&self) -> BTreeMap<&DataCentre, Vec<&Member>> {
        let mut remote: BTreeMap<&DataCentre, Vec<&Member>> = BTreeMap::new();
        for member in self.peers.values() {
            if member.data_centre != self.cfg.data_centre {
                remote.entry(&member.data_centre).or_default().push(member);
            }
        }
        let live = self.live_local_hosts();
        remote.retain(|data_centre, _| {
            let hosts = live.iter().copied();
            let holders = rendezvous::choose(data_centre.as_str(), hosts, LINK_HOLDERS);
            holders.contains(&&self.cfg.me.id)
        });
        remote
    }

    fn local_peers(&self) -> impl Iterator<Item = &Member> {
        let own = &self.cfg.data_centre;
        self.peers.values().filter(move |m| m.data_centre == *own)
    }

    pub(super) fn send_to(&self, to: &HostId, message: Message, actions: &mut Vec<Action>) {
        if let Some(member) = self.peers.get(to) {
            self.send(member, message, actions);
        }
    }

    fn send(&self, to: &Member, message: Message, actions: &mut Vec<Action>) {
        actions.push(Action::Send {
            to: to.host.id.clone(),
            addr: to.addr,
            message,
        });
    }
}

/// A random host that is alive; any host if none is.
fn link_target<'a>(hosts: &[&'a Member], rng: &mut impl Rng) -> Option<&'a Member> {
    let alive = hosts.iter().filter(|m| m.state == State::Alive);
    let chosen = alive.choose(rng).or_else(|| hosts.iter().choose(rng));
    chosen.copied()
}
