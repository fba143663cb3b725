//! Which entry hosts are alive.
//!
//! Every host sends heartbeats to all hosts of its data centre and detects their failures from the
//! heartbeats that it receives itself. Records of all hosts of the fleet are merged by precedence
//! ([`Record`]), so that they may arrive by any path, in any order and any number of times. Only a
//! host itself creates records of a newer incarnation or refutation; only hosts of its data centre
//! report it as silent; the host refutes wrong reports about itself.
//!
//! In each data centre, two hosts chosen by rendezvous hashing hold the links to each other data
//! centre. Heartbeats carry a digest of all records; hosts whose digests differ exchange records.
//!
//! The platform's list only provides addresses. A host that sends messages is alive even if it
//! isn't listed; a listed host that is silent is suspected.

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
    membership::{DataCentreKey, Heartbeat, Message, Record, RecordVersion, Records, State},
};
use rand::SeedableRng;
use rand_pcg::Pcg32;

pub use config::{Config, Intervals, ListedPeer};
pub use view::Member;

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
        message: Message,
    },
    /// [`Members::view`] changed.
    Changed,
}

/// Another host and its record.
#[derive(Debug, Clone)]
struct Peer {
    record: Record,
    /// When the last message of this host arrived, or its first record of a newer incarnation or
    /// refutation.
    last_contact: Duration,
    /// Since when the record has its state.
    state_since: Duration,
    /// The digest in its last heartbeat; `None` if there was none from this incarnation or
    /// refutation.
    digest: Option<u64>,
}

/// The members of the fleet, as one host knows them.
#[derive(Debug, Clone)]
pub struct Members {
    cfg: Config,
    rng: Pcg32,
    refutations: u32,
    shutting_down: bool,
    /// Invariant: never contains this host.
    peers: BTreeMap<HostId, Peer>,
    /// The hosts on the platform's list or named in the settings, without this host.
    listed_hosts: BTreeMap<HostId, ListedPeer>,
    /// When any host of this data centre last had contact with each other data centre.
    data_centre_contacts: BTreeMap<DataCentreKey, Duration>,
    /// The data centres with which this host had contact since its last heartbeat.
    direct_contacts: BTreeSet<DataCentreKey>,
    /// The digest of the records of hosts that are not dead or left, kept up to date.
    digest: u64,
    /// Whether the view may have changed since it was last reported.
    view_dirty: bool,
    /// The hash of the view last reported by [`Action::Changed`].
    reported_view_hash: u64,
    heartbeat_rounds: u64,
    next_heartbeat: Duration,
    next_link: Duration,
    next_repair: Duration,
    /// When this host last ran; `None` before the first time.
    last_run: Option<Duration>,
}

impl Members {
    /// The state of a host that knows only itself.
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

    /// Replaces the list of hosts: the platform's list, or until it can be read the seed hosts
    /// named in the settings.
    pub fn update_list(&mut self, now: Duration, list: &[ListedPeer]) {
        self.compensate_pause(now);
        let others = list.iter().filter(|l| l.id != self.cfg.me.id);
        self.listed_hosts = others.map(|l| (l.id.clone(), l.clone())).collect();
        self.view_dirty = true;
    }

    /// Records that a message of any kind arrived from `from`.
    pub fn record_contact(&mut self, now: Duration, from: &HostRef) {
        self.compensate_pause(now);
        let Some(peer) = self.peers.get_mut(&from.id) else {
            return;
        };
        if peer.record.version.incarnation != from.incarnation {
            return;
        }
        peer.last_contact = now;
        if peer.record.data_centre != self.cfg.data_centre {
            let key = view::key(&peer.record.data_centre);
            self.direct_contacts.insert(key);
            self.record_data_centre_contact(now, key);
        }
    }

    /// Handles a message of the protocol.
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

    /// Detects failures, and sends the heartbeats that are due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.compensate_pause(now);
        self.detect_failures(now, actions);
        // A data centre may have become silent since the last call.
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

    /// The latest time at which [`Self::tick`] must be called next.
    pub fn next_tick(&self) -> Duration {
        self.next_heartbeat.min(self.next_link)
    }

    /// Announces to all hosts that this one shuts down. It continues to send heartbeats.
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
            version: RecordVersion {
                incarnation: self.cfg.me.incarnation,
                refutations: self.refutations,
            },
            state,
            addr: self.cfg.addr,
            data_centre: self.cfg.data_centre.clone(),
        }
    }

    /// Shifts all contact times by the time in which this host did not run, beyond two heartbeat
    /// intervals, so that a paused host does not mistake its own pause for silence of the others.
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
        let life = RecordVersion {
            incarnation: from.incarnation,
            refutations: heartbeat.refutations,
        };
        let known = self.peers.get(&from.id).map(|p| p.record.clone());
        let sender_record = match (heartbeat.record, known) {
            (Some(record), _) if record.id == from.id => Some(record),
            // A known record provides the address only within the same incarnation.
            (_, Some(known)) if known.version.incarnation == life.incarnation => Some(Record {
                version: life,
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
        if reported_failed && record.version >= life {
            // The sender is alive: send it the record that says otherwise, so that it refutes it.
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

    /// Suspects silent hosts of this data centre, considers them dead if they stay silent, and
    /// removes expired records.
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
