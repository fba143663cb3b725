//! Which entry hosts live.
//!
//! Every host sends heartbeats to all hosts of its data centre and judges them by what it hears
//! itself. Records of all hosts of the fleet merge by precedence ([`Record`]), so that they may
//! travel any way and arrive any number of times. Only the host itself makes records with a
//! greater life; only hosts of its data centre say that it is silent; it refutes what is wrong.
//!
//! Between data centres two hosts a data centre, chosen by rendezvous, hold links to each other
//! one. Heartbeats carry a digest of all records; hosts with differing digests exchange records.
//!
//! The platform's list only tells addresses. A host that is heard lives though it isn't listed; a
//! host that is listed and silent is suspected.

mod config;
mod records;
mod sending;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use dragonflyrill_protocol::{
    HostId, HostRef,
    membership::{DataCentreKey, Heartbeat, Life, Message, Record, Records, State},
};
use rand::SeedableRng;
use rand_pcg::Pcg32;

pub use config::{Config, Intervals, ListedPeer};
pub use view::Member;

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
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
    /// [`Members::alive`] changed.
    Changed,
}

/// Another host of which there is a record.
#[derive(Debug, Clone)]
struct Peer {
    record: Record,
    /// When it was last heard; for a host never heard, when its record came.
    last_contact: Duration,
    /// Since when the record has its state.
    state_since: Duration,
    /// The digest in its last heartbeat.
    digest: Option<u64>,
}

/// The view of one host.
#[derive(Debug, Clone)]
pub struct Members {
    cfg: Config,
    rng: Pcg32,
    refutations: u32,
    shutting_down: bool,
    /// Invariant: never contains this host.
    peers: BTreeMap<HostId, Peer>,
    /// The platform's list, without this host.
    listed_hosts: BTreeMap<HostId, ListedPeer>,
    /// When each other data centre was last heard by any host of this one.
    data_centre_contacts: BTreeMap<DataCentreKey, Duration>,
    /// The data centres that this host heard itself since its last heartbeat.
    direct_contacts: BTreeSet<DataCentreKey>,
    /// The digest of all records, up to date.
    digest: u64,
    /// Whether the view may have changed since it was last told.
    view_dirty: bool,
    /// Of the view last told by [`Action::Changed`].
    reported_view_hash: u64,
    heartbeat_rounds: u64,
    next_heartbeat: Duration,
    next_link: Duration,
    next_repair: Duration,
    /// When this host last ran.
    last_run: Option<Duration>,
}

impl Members {
    /// A host that knows only itself.
    pub fn new(cfg: Config) -> Self {
        let rng = Pcg32::seed_from_u64(cfg.seed);
        let mut members = Self {
            cfg,
            rng,
            refutations: 0,
            shutting_down: false,
            peers: BTreeMap::new(),
            listed_hosts: BTreeMap::new(),
            data_centre_contacts: BTreeMap::new(),
            direct_contacts: BTreeSet::new(),
            digest: 0,
            view_dirty: true,
            reported_view_hash: 0,
            heartbeat_rounds: 0,
            next_heartbeat: Duration::ZERO,
            next_link: Duration::ZERO,
            next_repair: Duration::ZERO,
            last_run: None,
        };
        members.digest = members.digest_of(None);
        members
    }

    /// Takes in the platform's list, or before it can be read the hosts named in the settings.
    pub fn update_list(&mut self, now: Duration, list: &[ListedPeer]) {
        self.compensate_pause(now);
        let others = list.iter().filter(|l| l.id != self.cfg.me.id);
        self.listed_hosts = others.map(|l| (l.id.clone(), l.clone())).collect();
        self.view_dirty = true;
    }

    /// Takes in that any message came from `from`.
    pub fn record_contact(&mut self, now: Duration, from: &HostRef) {
        self.compensate_pause(now);
        let Some(peer) = self.peers.get_mut(&from.id) else {
            return;
        };
        if peer.record.life.incarnation != from.incarnation {
            return;
        }
        peer.last_contact = now;
        if peer.record.data_centre != self.cfg.data_centre {
            let key = view::key(&peer.record.data_centre);
            self.direct_contacts.insert(key);
            self.record_data_centre_contact(now, key);
        }
    }

    /// Takes in a message.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &HostRef,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        if from.id == self.cfg.me.id {
            return;
        }
        match message {
            Message::Heartbeat(heartbeat) => {
                self.receive_heartbeat(now, from, heartbeat, actions);
            }
            Message::Digests(digests) => {
                self.record_contact(now, from);
                self.answer_digests(&from.id, &digests, actions);
            }
            Message::Records(records) => {
                self.record_contact(now, from);
                self.answer_records(now, &from.id, records, actions);
            }
            Message::Endpoints(_) => self.record_contact(now, from),
        }
        self.report_view_change(now, actions);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.compensate_pause(now);
        self.detect_failures(now, actions);
        // A data centre may have been silent for too long.
        self.view_dirty = true;
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.jittered(self.cfg.intervals.heartbeat);
            self.send_heartbeats(actions);
        }
        if now >= self.next_link {
            self.next_link = now + self.jittered(self.cfg.intervals.link);
            self.send_link_heartbeats(now, actions);
        }
        self.report_view_change(now, actions);
    }

    /// When [`Self::tick`] is to be called next, at the latest.
    pub fn next_tick(&self) -> Duration {
        self.next_heartbeat.min(self.next_link)
    }

    /// Tells all hosts that this one leaves. It goes on sending heartbeats.
    pub fn announce_shutdown(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.compensate_pause(now);
        self.shutting_down = true;
        self.records_changed();
        let own = self.own_record();
        self.broadcast(now, vec![own], None, actions);
        self.report_view_change(now, actions);
    }

    /// This host's own record.
    fn own_record(&self) -> Record {
        let state = if self.shutting_down {
            State::Left
        } else {
            State::Alive
        };
        Record {
            id: self.cfg.me.id.clone(),
            life: Life {
                incarnation: self.cfg.me.incarnation,
                refutations: self.refutations,
            },
            state,
            addr: self.cfg.addr,
            data_centre: self.cfg.data_centre.clone(),
        }
    }

    /// Shifts what was heard by the time this host did not run itself, so that a paused host does
    /// not take its own silence for that of the others.
    fn compensate_pause(&mut self, now: Duration) {
        let last_run = self.last_run.replace(now).unwrap_or(now);
        let pause = now.saturating_sub(last_run);
        let expected = self.cfg.intervals.heartbeat * 2;
        let Some(excess) = pause.checked_sub(expected) else {
            return;
        };
        log::warn!("members: Paused for {} ms.", pause.as_millis());
        for peer in self.peers.values_mut() {
            peer.last_contact += excess;
            peer.state_since += excess;
        }
        for reached in self.data_centre_contacts.values_mut() {
            *reached += excess;
        }
    }

    fn receive_heartbeat(
        &mut self,
        now: Duration,
        from: &HostRef,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let life = Life {
            incarnation: from.incarnation,
            refutations: heartbeat.refutations,
        };
        let known = self.peers.get(&from.id).map(|p| p.record.clone());
        let sender_record = match (heartbeat.record, known) {
            (Some(record), _) if record.id == from.id => Some(record),
            // The address holds within one life only.
            (_, Some(known)) if known.life.incarnation == life.incarnation => Some(Record {
                life,
                state: State::Alive,
                ..known
            }),
            _ => None,
        };
        if let Some(sender_record) = sender_record {
            self.merge_records(now, vec![sender_record], Some(&from.id), actions);
        }
        self.record_contact(now, from);
        let Some(peer) = self.peers.get_mut(&from.id) else {
            return;
        };
        peer.digest = Some(heartbeat.digest);
        let record = peer.record.clone();
        if record.data_centre == self.cfg.data_centre {
            for key in heartbeat.reached {
                self.record_data_centre_contact(now, key);
            }
        }
        let reported_failed = matches!(record.state, State::Suspected | State::Dead);
        if reported_failed && record.life >= life {
            // It lives, so it shall refute.
            let suspicion = Records {
                records: vec![record],
                wanted: Vec::new(),
            };
            self.send(&from.id, Message::Records(suspicion), actions);
        }
        if heartbeat.digest != self.digest && now >= self.next_repair {
            self.next_repair = now + self.jittered(self.cfg.intervals.repair);
            self.send(&from.id, Message::Digests(self.digests()), actions);
        }
    }

    /// Suspects hosts of this data centre that are silent, and forgets old records.
    fn detect_failures(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let intervals = &self.cfg.intervals;
        let mut failures = Vec::new();
        for peer in self.peers.values() {
            if peer.record.data_centre != self.cfg.data_centre {
                continue;
            }
            let silent = now.saturating_sub(peer.last_contact);
            let since = now.saturating_sub(peer.state_since);
            let state = match peer.record.state {
                State::Alive if silent >= intervals.suspect_after => State::Suspected,
                State::Suspected
                    if silent >= intervals.suspect_after && since >= intervals.dead_after =>
                {
                    State::Dead
                }
                _ => continue,
            };
            log::info!("members: {} is {state:?}.", peer.record.id);
            failures.push(Record {
                state,
                ..peer.record.clone()
            });
        }
        self.merge_records(now, failures, None, actions);
        self.remove_expired(now);
    }
}
