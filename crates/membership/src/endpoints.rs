//! Signs that an endpoint is draining, shared by the hosts of a data centre.
//!
//! The host that observes a sign sends it to all hosts of its data centre at once, and twice more,
//! so that none dispatches new work to the endpoint after 2 s even if messages are lost. A sign
//! expires after its time to live, so that an endpoint that refused work for a transient cause is
//! tried again. It also ends when a later incarnation of the endpoint serves.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflyrill_catalogue::{DataCentre, EndpointId};
use dragonflyrill_protocol::{
    HostId,
    membership::{EndpointNews, Sign, SignKind},
};

use crate::members::Member;

/// Delays after which a sign is sent again, counted from the first time it was sent.
const RESEND_DELAYS: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(1000)];
/// Maximum time for which a sign is valid without being observed again.
pub const MAX_SIGN_TTL: Duration = Duration::from_secs(300);
/// Maximum number of signs stored; a data centre has fewer endpoints.
const MAX_SIGNS: usize = 4096;

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message. It may get lost.
    Send {
        /// The receiver.
        to: HostId,
        /// Its address.
        addr: SocketAddr,
        /// The message.
        message: EndpointNews,
    },
    /// [`DrainingEndpoints::is_draining`] changed for this endpoint.
    Changed(EndpointId),
}

/// A stored sign.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SignRecord {
    incarnation: u64,
    kind: SignKind,
    until: Duration,
}

/// An observed sign that must be sent again at a given time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Resend {
    at: Duration,
    endpoint: EndpointId,
}

/// The draining endpoints, as one host knows them.
#[derive(Debug, Clone)]
pub struct DrainingEndpoints {
    me: HostId,
    data_centre: DataCentre,
    signs: BTreeMap<EndpointId, SignRecord>,
    resends: Vec<Resend>,
    local_peers: BTreeMap<HostId, SocketAddr>,
}

impl DrainingEndpoints {
    /// The state of a host of `data_centre` that knows no signs.
    pub fn new(me: HostId, data_centre: DataCentre) -> Self {
        Self {
            me,
            data_centre,
            signs: BTreeMap::new(),
            resends: Vec::new(),
            local_peers: BTreeMap::new(),
        }
    }

    /// Whether this incarnation of an endpoint is known to be draining. Incarnation 0 stands for
    /// any.
    pub fn is_draining(&self, endpoint: &EndpointId, incarnation: u64) -> bool {
        let later =
            |record: &SignRecord| incarnation > record.incarnation && record.incarnation > 0;
        self.signs
            .get(endpoint)
            .is_some_and(|record| !later(record))
    }

    /// Merges a sign that this host observed itself, and sends it to the others if it is an update.
    pub fn observe_sign(&mut self, now: Duration, sign: &Sign, actions: &mut Vec<Action>) {
        if !self.merge_sign(now, sign, actions) {
            return;
        }
        self.send_to_all(std::slice::from_ref(sign), actions);
        let endpoint = &sign.endpoint;
        let resends = RESEND_DELAYS.into_iter().map(|after| Resend {
            at: now + after,
            endpoint: endpoint.clone(),
        });
        self.resends.extend(resends);
    }

    /// Records that an incarnation of an endpoint serves. This ends the signs of earlier ones.
    pub fn mark_serving(
        &mut self,
        endpoint: &EndpointId,
        incarnation: u64,
        actions: &mut Vec<Action>,
    ) {
        let earlier = |record: &SignRecord| record.incarnation < incarnation;
        if self.signs.get(endpoint).is_some_and(earlier) {
            self.signs.remove(endpoint);
            actions.push(Action::Changed(endpoint.clone()));
        }
    }

    /// Merges signs received from another host.
    pub fn receive(&mut self, now: Duration, signs: &[Sign], actions: &mut Vec<Action>) {
        for sign in signs {
            self.merge_sign(now, sign, actions);
        }
    }

    /// Updates the view of the members. Hosts that join this data centre are sent all signs.
    pub fn update_view(
        &mut self,
        now: Duration,
        view: impl Iterator<Item = Member>,
        actions: &mut Vec<Action>,
    ) {
        let local_peers =
            view.filter(|m| m.data_centre == self.data_centre && m.host.id != self.me);
        let local_peers: BTreeMap<HostId, SocketAddr> =
            local_peers.map(|m| (m.host.id, m.addr)).collect();
        let signs: Vec<Sign> = self
            .signs
            .keys()
            .filter_map(|e| self.sign(now, e))
            .collect();
        let joined = local_peers
            .iter()
            .filter(|(id, _)| !self.local_peers.contains_key(*id));
        for (to, addr) in joined.filter(|_| !signs.is_empty()) {
            actions.push(send(to, *addr, &signs));
        }
        self.local_peers = local_peers;
    }

    /// Sends the signs that are due again, and removes expired ones.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (due, later) = self.resends.drain(..).partition(|r| r.at <= now);
        self.resends = later;
        let due: Vec<Resend> = due;
        let signs: Vec<Sign> = due
            .iter()
            .filter_map(|r| self.sign(now, &r.endpoint))
            .collect();
        if !signs.is_empty() {
            self.send_to_all(&signs, actions);
        }
        self.signs.retain(|endpoint, record| {
            let active = record.until > now;
            if !active {
                actions.push(Action::Changed(endpoint.clone()));
            }
            active
        });
    }

    /// The latest time at which [`Self::tick`] must be called next; `None` if nothing is pending.
    pub fn next_tick(&self) -> Option<Duration> {
        let resends = self.resends.iter().map(|r| r.at);
        resends.chain(self.signs.values().map(|k| k.until)).min()
    }

    /// Merges a sign; returns whether it is an update of what was known.
    fn merge_sign(&mut self, now: Duration, sign: &Sign, actions: &mut Vec<Action>) -> bool {
        let ttl = Duration::from_millis(sign.ttl_ms.into()).min(MAX_SIGN_TTL);
        if ttl.is_zero() || self.signs.len() >= MAX_SIGNS {
            return false;
        }
        let new = SignRecord {
            incarnation: sign.incarnation,
            kind: sign.kind,
            until: now + ttl,
        };
        let Some(old) = self.signs.get_mut(&sign.endpoint) else {
            self.signs.insert(sign.endpoint.clone(), new);
            actions.push(Action::Changed(sign.endpoint.clone()));
            return true;
        };
        if new.incarnation < old.incarnation {
            return false;
        }
        // An extension by at most half the time to live is no update: it is neither stored nor
        // sent.
        let longer = new.until > old.until + ttl / 2;
        let is_update = new.incarnation > old.incarnation || new.kind > old.kind || longer;
        if is_update {
            let until = new.until.max(old.until);
            *old = SignRecord { until, ..new };
        }
        is_update
    }

    /// The stored sign of an endpoint as a message sent at `now`; `None` if it has expired.
    fn sign(&self, now: Duration, endpoint: &EndpointId) -> Option<Sign> {
        let record = self.signs.get(endpoint)?;
        let remaining = record.until.checked_sub(now)?;
        Some(Sign {
            endpoint: endpoint.clone(),
            incarnation: record.incarnation,
            kind: record.kind,
            ttl_ms: remaining.as_millis() as u32,
        })
    }

    fn send_to_all(&self, signs: &[Sign], actions: &mut Vec<Action>) {
        for (to, addr) in &self.local_peers {
            actions.push(send(to, *addr, signs));
        }
    }
}

fn send(to: &HostId, addr: SocketAddr, signs: &[Sign]) -> Action {
    Action::Send {
        to: to.clone(),
        addr,
        message: EndpointNews::Signs(signs.to_vec()),
    }
}
