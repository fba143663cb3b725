//! What peers say: beats, maps, demands and grants.

use std::time::Duration;

use dragonflyrill_protocol::{
    HostRef,
    rights::{Demand, Grant, Message, SHARDS, ShardMap},
};

use super::HostLimiter;
use crate::{Action, session::Known};

impl HostLimiter {
    /// Takes a peer's message in.
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
                self.session.promised(from, seq);
                self.tell_newer(from, revision, actions);
            }
            Message::Map { revision, map } => {
                self.receive_map(now, from, Known { revision, map }, actions);
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
        self.flush(actions);
    }

    pub(super) fn receive_beat(
        &mut self,
        now: Duration,
        from: &HostRef,
        seq: u32,
        revision: u64,
        actions: &mut Vec<Action>,
    ) {
        if self.session.promise(now, from) {
            let message = Message::BeatAck {
                seq,
                revision: self.map_revision(),
            };
            actions.push(Action::Send {
                to: from.clone(),
                message,
            });
        }
        self.tell_newer(from, revision, actions);
    }

    pub(super) fn map_revision(&self) -> u64 {
        self.session.known().map_or(0, |k| k.revision)
    }

    pub(super) fn tell_newer(&mut self, to: &HostRef, revision: u64, actions: &mut Vec<Action>) {
        if self.map_revision() > revision {
            self.send_map(to, actions);
        }
    }

    pub(super) fn send_map(&self, to: &HostRef, actions: &mut Vec<Action>) {
        let Some(known) = self.session.known().filter(|k| k.revision > 0) else {
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
        found: Known,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.iter().find(|p| p.host == *from) else {
            return;
        };
        if found.map.main.len() != SHARDS || found.map.floor.len() != SHARDS {
            log::warn!("limits: {} sent a shard map of another size", from.id);
            return;
        }
        if peer.data_centre == self.cfg.data_centre {
            let old = self.session.known().cloned();
            if self.session.adopt(now, found) {
                self.map_changed(now, old, false, actions);
            }
            return;
        }
        let known = self.maps.entry(peer.data_centre.clone()).or_default();
        if known.revision < found.revision {
            *known = found;
            self.find_lenders();
        }
    }

    /// The map of this data centre is another than `old`.
    pub(super) fn map_changed(
        &mut self,
        now: Duration,
        old: Option<Known>,
        wrote: bool,
        actions: &mut Vec<Action>,
    ) {
        let old = old.unwrap_or_default();
        let Some(new) = self.session.known().cloned() else {
            return;
        };
        let until = now + self.cfg.terms.with_clock_margin(self.cfg.terms.loan_term);
        for i in 0..SHARDS {
            let me = &self.cfg.me;
            let gained = |holders: fn(&ShardMap) -> &[Option<HostRef>]| {
                let before = holders(&old.map).get(i).cloned().flatten();
                let mine = holders(&new.map).get(i) == Some(&Some(me.clone()));
                // What was taken from another, or from nobody as the first, had lapsed before.
                let lapsed = wrote && (before.is_some() || old.revision == 0);
                mine && before.as_ref() != Some(me) && !lapsed
            };
            let blind = &mut self.blind[i];
            if gained(|m| &m.main) {
                blind.main = until;
            }
            if gained(|m| &m.floor) {
                blind.floor = until;
            }
        }
        self.find_lenders();
        if wrote && (old.map.main != new.map.main || old.map.members.len() != new.map.members.len())
        {
            let peers: Vec<HostRef> = self.peers.iter().map(|p| p.host.clone()).collect();
            for peer in peers {
                self.send_map(&peer, actions);
            }
        }
        self.work_all(now, actions);
    }

    pub(super) fn receive_demand(
        &mut self,
        now: Duration,
        from: &HostRef,
        demand: &Demand,
        actions: &mut Vec<Action>,
    ) {
        let Some(i) = self.ids.get(&demand.key).copied() else {
            return;
        };
        self.hold(now, i);
        let peer = self.peers.iter().find(|p| p.host == *from);
        let local = peer.is_some_and(|p| p.data_centre == self.cfg.data_centre);
        match &mut self.keys[i].lender {
            Some(lender) => lender.demand(now, from, local, demand),
            None => self.send_map(from, actions),
        }
        self.work(now, i, actions);
    }

    pub(super) fn receive_grant(
        &mut self,
        now: Duration,
        from: &HostRef,
        grant: &Grant,
        actions: &mut Vec<Action>,
    ) {
        let Some(i) = self.ids.get(&grant.key).copied() else {
            return;
        };
        self.keys[i].holder.grant(now, from, grant, &self.cfg.terms);
        self.work(now, i, actions);
    }
}
