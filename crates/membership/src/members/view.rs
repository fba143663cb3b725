//! The view of the members that other parts of the host use.

use std::{hash::Hash, net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::DataCentre;
use dragonflyrill_protocol::{
    HostRef,
    membership::{DataCentreKey, State},
};
use xxhash_rust::xxh3;

use super::{Action, Members, Peer};

/// A host that is not known to be dead or to have left.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// The host and its incarnation; 0 if the host is listed but there is no record of it.
    pub host: HostRef,
    /// Its address for other hosts.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// [`State::Alive`] or [`State::Suspected`].
    pub state: State,
}

impl Members {
    /// All hosts that are not known to be dead or to have left, with this one unless it is shutting
    /// down.
    ///
    /// The states are as of the last call that passed a time.
    pub fn view(&self) -> impl Iterator<Item = Member> {
        let now = self.last_run.unwrap_or_default();
        let own = (!self.shutting_down).then(|| Member {
            host: self.cfg.me.clone(),
            addr: self.cfg.addr,
            data_centre: self.cfg.data_centre.clone(),
            state: State::Alive,
        });
        let peers = self.peers.values().filter_map(move |p| {
            let state = self.effective_state(now, p);
            matches!(state, State::Alive | State::Suspected).then(|| Member {
                host: HostRef {
                    id: p.record.id.clone(),
                    incarnation: p.record.version.incarnation,
                },
                addr: p.record.addr,
                data_centre: p.record.data_centre.clone(),
                state,
            })
        });
        let listed_only = self.listed_hosts.values();
        let listed_only =
            listed_only.filter(|h| !h.shutting_down && !self.peers.contains_key(&h.id));
        let listed_only = listed_only.map(|h| Member {
            host: HostRef {
                id: h.id.clone(),
                incarnation: 0,
            },
            addr: h.addr,
            data_centre: h.data_centre.clone(),
            state: State::Suspected,
        });
        own.into_iter().chain(peers).chain(listed_only)
    }

    /// Records contact with another data centre.
    pub(super) fn record_data_centre_contact(&mut self, now: Duration, key: DataCentreKey) {
        let previous = self.data_centre_contacts.insert(key, now);
        let silent = |at| now.saturating_sub(at) >= self.cfg.intervals.silent_after;
        self.view_dirty |= previous.is_none_or(silent);
    }

    /// The state of a host as seen from here: its record's, but suspected while its data centre is
    /// silent.
    pub(super) fn effective_state(&self, now: Duration, peer: &Peer) -> State {
        let record = &peer.record;
        if record.state != State::Alive || record.data_centre == self.cfg.data_centre {
            return record.state;
        }
        let reached = self.data_centre_contacts.get(&key(&record.data_centre));
        let silent = now.saturating_sub(*reached.unwrap_or(&Duration::ZERO));
        if reached.is_none() || silent >= self.cfg.intervals.silent_after {
            return State::Suspected;
        }
        State::Alive
    }

    /// Emits [`Action::Changed`] if the view changed.
    pub(super) fn report_view_change(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.last_run = Some(now);
        if !std::mem::take(&mut self.view_dirty) {
            return;
        }
        let mut hasher = xxh3::Xxh3::new();
        for member in self.view() {
            member.hash(&mut hasher);
        }
        let view_hash = hasher.digest();
        if view_hash != self.reported_view_hash {
            self.reported_view_hash = view_hash;
            actions.push(Action::Changed);
        }
    }
}

/// The key of a data centre in messages: a hash of its name.
pub(super) fn key(data_centre: &DataCentre) -> DataCentreKey {
    DataCentreKey(xxh3::xxh3_64(data_centre.as_str().as_bytes()) as u32)
}
