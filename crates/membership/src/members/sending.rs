//! Sending of heartbeats and records, and the choice of their receivers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::DataCentre;
use dragonflyrill_protocol::{
    HostId,
    membership::{Heartbeat, Message, State},
};
use rand::Rng;

use super::{Action, Members};
use crate::rendezvous;

/// Number of hosts of a data centre that hold links to each other data centre.
pub(crate) const LINK_HOLDERS: usize = 2;
/// In one heartbeat round out of this many, hosts that are dead or left are sent a heartbeat too, in
/// case they are back.
const DEAD_RETRY_ROUNDS: u64 = 8;

/// A host and the address to which it is sent messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    id: HostId,
    addr: SocketAddr,
}

impl Members {
    /// Sends a heartbeat to each host of the data centre.
    pub(super) fn send_heartbeats(&mut self, actions: &mut Vec<Action>) {
        self.heartbeat_rounds += 1;
        let reached: Vec<_> = std::mem::take(&mut self.direct_contacts)
            .into_iter()
            .collect();
        for target in self.heartbeat_targets() {
            let mut heartbeat = self.heartbeat_for(&target.id);
            heartbeat.reached.clone_from(&reached);
            self.send_to(&target, Message::Heartbeat(heartbeat), actions);
        }
    }

    /// Sends heartbeats over the links that this host holds.
    pub(super) fn send_link_heartbeats(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for target in self.link_targets(now) {
            let heartbeat = self.heartbeat_for(&target.id);
            self.send_to(&target, Message::Heartbeat(heartbeat), actions);
        }
    }

    fn heartbeat_for(&self, to: &HostId) -> Heartbeat {
        let their_digest = self.peers.get(to).and_then(|p| p.digest);
        // Equal digests mean that the receiver has this host's record.
        let known = their_digest == Some(self.digest) && !self.shutting_down;
        Heartbeat {
            refutations: self.refutations,
            digest: self.digest,
            reached: Vec::new(),
            record: (!known).then(|| self.own_record()),
        }
    }

    fn heartbeat_targets(&self) -> Vec<Target> {
        let retry_dead = self.heartbeat_rounds.is_multiple_of(DEAD_RETRY_ROUNDS);
        let local = |dc: &DataCentre| *dc == self.cfg.data_centre;
        let mut targets = Vec::new();
        for peer in self.peers.values().filter(|p| local(&p.record.data_centre)) {
            let is_down = matches!(peer.record.state, State::Dead | State::Left);
            if !is_down || retry_dead {
                targets.push(Target {
                    id: peer.record.id.clone(),
                    addr: peer.record.addr,
                });
            }
            // A restarted host may have another address than its recorded incarnation.
            let listed = self.listed_hosts.get(&peer.record.id);
            if let Some(listed_host) = listed.filter(|h| is_down && h.addr != peer.record.addr) {
                targets.push(Target {
                    id: listed_host.id.clone(),
                    addr: listed_host.addr,
                });
            }
        }
        let listed_only = self.listed_hosts.values().filter(|h| local(&h.data_centre));
        let listed_only = listed_only.filter(|h| !self.peers.contains_key(&h.id));
        targets.extend(listed_only.map(|h| Target {
            id: h.id.clone(),
            addr: h.addr,
        }));
        targets
    }

    /// The receivers over the links that this host holds: for each such data centre, one host
    /// chosen by rendezvous hashing among those that are not dead or left, and one at random among
    /// all.
    pub(super) fn link_targets(&mut self, now: Duration) -> Vec<Target> {
        let live = self.live_local_hosts(now);
        let mut targets = Vec::new();
        for (data_centre, hosts) in self.remote_hosts() {
            let holders = rendezvous::choose(data_centre.as_str(), live.iter(), LINK_HOLDERS);
            if !holders.contains(&&self.cfg.me.id) {
                continue;
            }
            let alive = hosts
                .iter()
                .filter(|(_, is_down)| !is_down)
                .map(|(t, _)| &t.id);
            let first = rendezvous::choose(self.cfg.data_centre.as_str(), alive, 1);
            let first = first.first().map(|id| (*id).clone());
            let random = self.rng.random_range(0..hosts.len());
            for (i, (target, _)) in hosts.iter().enumerate() {
                if i == random || Some(&target.id) == first.as_ref() {
                    targets.push(target.clone());
                }
            }
        }
        targets
    }

    /// The hosts of each other data centre, each with whether it is dead or left, or listed at
    /// another address than in its record. No list is empty.
    fn remote_hosts(&self) -> BTreeMap<DataCentre, Vec<(Target, bool)>> {
        let mut remote: BTreeMap<DataCentre, Vec<(Target, bool)>> = BTreeMap::new();
        let own = &self.cfg.data_centre;
        for peer in self.peers.values().filter(|p| p.record.data_centre != *own) {
            let target = Target {
                id: peer.record.id.clone(),
                addr: peer.record.addr,
            };
            let is_down = matches!(peer.record.state, State::Dead | State::Left);
            let hosts = remote.entry(peer.record.data_centre.clone()).or_default();
            hosts.push((target, is_down));
        }
        for listed_host in self.listed_hosts.values().filter(|h| h.data_centre != *own) {
            let known = self.peers.get(&listed_host.id).map(|p| p.record.addr);
            if known == Some(listed_host.addr) {
                continue;
            }
            let target = Target {
                id: listed_host.id.clone(),
                addr: listed_host.addr,
            };
            let hosts = remote.entry(listed_host.data_centre.clone()).or_default();
            hosts.push((target, known.is_some()));
        }
        remote
    }

    /// The other hosts of this data centre that are not dead or left.
    pub(super) fn local_peers(&self) -> Vec<HostId> {
        let local = self.peers.values().filter(|p| {
            let here = p.record.data_centre == self.cfg.data_centre;
            here && matches!(p.record.state, State::Alive | State::Suspected)
        });
        local.map(|p| p.record.id.clone()).collect()
    }

    /// The hosts of this data centre that are alive, including this one.
    fn live_local_hosts(&self, now: Duration) -> Vec<HostId> {
        let local = self.peers.values().filter(|p| {
            let here = p.record.data_centre == self.cfg.data_centre;
            here && self.effective_state(now, p) == State::Alive
        });
        let own = std::iter::once(self.cfg.me.id.clone());
        own.chain(local.map(|p| p.record.id.clone())).collect()
    }

    pub(super) fn is_local_peer(&self, id: &HostId) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|p| p.record.data_centre == self.cfg.data_centre)
    }

    /// Sends a message to a host of which there is a record; drops it if there is none.
    pub(super) fn send(&self, to: &HostId, message: Message, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        let target = Target {
            id: to.clone(),
            addr: peer.record.addr,
        };
        self.send_to(&target, message, actions);
    }

    pub(super) fn send_to(&self, to: &Target, message: Message, actions: &mut Vec<Action>) {
        actions.push(Action::Send {
            to: to.id.clone(),
            addr: to.addr,
            message,
        });
    }

    /// `interval`, up to a tenth shorter or longer, so that hosts don't send in lockstep.
    pub(super) fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.9..1.1))
    }
}
