//! Handles messages from peers: heartbeats, shard maps, demands and grants.

use std::time::Duration;

use dragonflyrill_protocol::{
    HostRef,
    rights::{Demand, Grant, Message, SHARDS, ShardMap},
};

use super::HostLimiter;
use crate::{Action, session::VersionedMap};

impl HostLimiter {
    /// Handles a message from a peer.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &HostRef,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Beat { seq, revision } => self.receive_beat(now, from, seq, revision, actions),
            Message::BeatAck { seq, revision } => {
                self.session.receive_promise(from, seq);
                self.send_newer_map(from, revision, actions);
            }
            Message::Map { revision, map } => {
                self.receive_map(now, from, VersionedMap { revision, map }, actions);
            }
            Message::Demand(demands) => {
                for demand in &demands {
                    self.receive_demand(now, from, demand, actions);
                }
            }
            Message::Grant(grants) => {
                for grant in &grants {
                    self.receive_grant(now, from, grant, actions);
                }
            }
        }
        self.flush_messages(actions);
    }

    pub(super) fn receive_beat(
        &mut self,
        now: Duration,
        from: &HostRef,
        seq: u32,
        revision: u64,
        actions: &mut Vec<Action>,
    ) {
        if self.session.promise_not_to_remove(now, from) {
            let message = Message::BeatAck {
                seq,
                revision: self.map_revision(),
            };
            actions.push(Action::Send {
                to: from.clone(),
                message,
            });
        }
        self.send_newer_map(from, revision, actions);
    }

    pub(super) fn map_revision(&self) -> u64 {
        self.session.known_map().map_or(0, |k| k.revision)
    }

    pub(super) fn send_newer_map(
        &mut self,
        to: &HostRef,
        revision: u64,
        actions: &mut Vec<Action>,
    ) {
        if self.map_revision() > revision {
            self.send_map(to, actions);
        }
    }

    pub(super) fn send_map(&self, to: &HostRef, actions: &mut Vec<Action>) {
        let Some(known) = self.session.known_map().filter(|k| k.revision > 0) else {
            return;
        };
        actions.push(Action::Send {
            to: to.clone(),
            message: Message::Map {
                revision: known.revision,
                map: known.map.clone(),
            },
        });
    }

    pub(super) fn receive_map(
        &mut self,
        now: Duration,
        from: &HostRef,
        received: VersionedMap,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.iter().find(|p| p.host == *from) else {
            return;
        };
        if received.map.main.len() != SHARDS || received.map.floor.len() != SHARDS {
            log::warn!(
                "limits: {} sent a shard map with a wrong number of shards",
                from.id
            );
            return;
        }
        if peer.data_centre == self.cfg.data_centre {
            let old = self.session.known_map().cloned();
            if self.session.adopt_map(now, received) {
                self.handle_map_change(now, old, false, actions);
            }
            return;
        }
        let known = self.other_maps.entry(peer.data_centre.clone()).or_default();
        if known.revision < received.revision {
            *known = received;
            self.update_lenders();
        }
    }

    /// Handles a change of this data centre's map from `old` to the known one. `wrote` is true if
    /// this host wrote the new map.
    pub(super) fn handle_map_change(
        &mut self,
        now: Duration,
        old: Option<VersionedMap>,
        wrote: bool,
        actions: &mut Vec<Action>,
    ) {
        let old = old.unwrap_or_default();
        let Some(new) = self.session.known_map().cloned() else {
            return;
        };
        let until = now + self.cfg.terms.with_clock_margin(self.cfg.terms.loan_term);
        for i in 0..SHARDS {
            let me = &self.cfg.me;
            let gained = |holders: fn(&ShardMap) -> &[Option<HostRef>]| {
                let before = holders(&old.map).get(i).cloned().flatten();
                let mine = holders(&new.map).get(i) == Some(&Some(me.clone()));
                // Rights that this host's write took from another holder, or from none when it
                // created the row, had expired before the write.
                let expired_before = wrote && (before.is_some() || old.revision == 0);
                mine && before.as_ref() != Some(me) && !expired_before
            };
            let loan_wait = &mut self.loan_wait[i];
            if gained(|m| &m.main) {
                loan_wait.main = until;
            }
            if gained(|m| &m.floor) {
                loan_wait.floor = until;
            }
        }
        self.update_lenders();
        if wrote && (old.map.main != new.map.main || old.map.members.len() != new.map.members.len())
        {
            let peers: Vec<HostRef> = self.peers.iter().map(|p| p.host.clone()).collect();
            for peer in peers {
                self.send_map(&peer, actions);
            }
        }
        self.process_all_keys(now, actions);
    }

    pub(super) fn receive_demand(
        &mut self,
        now: Duration,
        from: &HostRef,
        demand: &Demand,
        actions: &mut Vec<Action>,
    ) {
        let Some(i) = self.id_index.get(&demand.key).copied() else {
            return;
        };
        self.update_lender(now, i);
        let peer = self.peers.iter().find(|p| p.host == *from);
        let local = peer.is_some_and(|p| p.data_centre == self.cfg.data_centre);
        match &mut self.keys[i].lender {
            Some(lender) => lender.receive_demand(now, from, local, demand),
            None => self.send_map(from, actions),
        }
        self.process_key(now, i, actions);
    }

    pub(super) fn receive_grant(
        &mut self,
        now: Duration,
        from: &HostRef,
        grant: &Grant,
        actions: &mut Vec<Action>,
    ) {
        let Some(i) = self.id_index.get(&grant.key).copied() else {
            return;
        };
        self.keys[i]
            .holder
            .receive_grant(now, from, grant, &self.cfg.terms);
        self.process_key(now, i, actions);
    }
}
