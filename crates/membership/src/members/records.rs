//! Merging, comparing and removing records.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
    time::Duration,
};

use dragonflyrill_protocol::{
    HostId,
    membership::{DataCentreDigest, DataCentreKey, Message, Record, Records, State},
};
use xxhash_rust::xxh3;

use super::{Action, Members, Peer, view};

/// Maximum number of records forwarded at once. Larger sets are not forwarded: they reach the other
/// hosts through the digests of heartbeats.
const MAX_FORWARDED_RECORDS: usize = 16;

impl Members {
    /// Merges `records` from `from` (`None`: from this host itself), and forwards those that are
    /// new.
    pub(super) fn merge_records(
        &mut self,
        now: Duration,
        records: Vec<Record>,
        from: Option<&HostId>,
        actions: &mut Vec<Action>,
    ) {
        let mut fresh = Vec::new();
        for record in records {
            if record.id == self.cfg.me.id {
                self.refute(now, &record, actions);
            } else if self.contradicts_contact(now, &record, from) {
                let id = record.id.clone();
                let suspicion = Records {
                    records: vec![record],
                    wanted: Vec::new(),
                };
                self.send(&id, Message::Records(suspicion), actions);
            } else if self.merge_record(now, &record) {
                fresh.push(record);
            }
        }
        if fresh.is_empty() {
            return;
        }
        self.records_changed();
        self.broadcast(now, fresh, from, actions);
    }

    /// Refutes a report that this host is suspected or dead.
    fn refute(&mut self, now: Duration, record: &Record, actions: &mut Vec<Action>) {
        let own = self.own_record();
        if record.version.incarnation > own.version.incarnation {
            log::error!("members: Another host runs under the name {}.", own.id);
            return;
        }
        if self.shutting_down || record.state == State::Alive || record.version < own.version {
            return;
        }
        self.refutations = record.version.refutations + 1;
        self.records_changed();
        let own = self.own_record();
        self.broadcast(now, vec![own], None, actions);
    }

    /// Whether a report that a host is suspected or dead contradicts this host's own contact with
    /// it.
    fn contradicts_contact(&self, now: Duration, record: &Record, from: Option<&HostId>) -> bool {
        let suspicion = matches!(record.state, State::Suspected | State::Dead);
        let Some(peer) = self.peers.get(&record.id) else {
            return false;
        };
        let is_local = peer.record.data_centre == self.cfg.data_centre;
        let in_contact = now.saturating_sub(peer.last_contact) < self.cfg.intervals.suspect_after;
        let same_incarnation = peer.record.version.incarnation == record.version.incarnation;
        let seen_alive = peer.record.state == State::Alive;
        from.is_some() && suspicion && is_local && in_contact && same_incarnation && seen_alive
    }

    /// Merges one record; returns whether it was new.
    fn merge_record(&mut self, now: Duration, record: &Record) -> bool {
        let is_down = |r: &Record| matches!(r.state, State::Dead | State::Left);
        let Some(peer) = self.peers.get_mut(&record.id) else {
            // A record of a dead host that was removed here must not circulate forever.
            if is_down(record) {
                return false;
            }
            let peer = Peer {
                record: record.clone(),
                last_contact: now,
                state_since: now,
                digest: None,
            };
            self.peers.insert(record.id.clone(), peer);
            return true;
        };
        let old = (peer.record.version, peer.record.state);
        if (record.version, record.state) <= old {
            return false;
        }
        if record.version > peer.record.version {
            // A newer incarnation or refutation implies that some host had contact with it.
            peer.last_contact = now;
            peer.digest = None;
        }
        peer.record = record.clone();
        peer.state_since = now;
        true
    }

    /// Forwards records that are new to this host: to this data centre if they came from outside
    /// it, and those about this data centre over the links.
    pub(super) fn broadcast(
        &mut self,
        now: Duration,
        records: Vec<Record>,
        from: Option<&HostId>,
        actions: &mut Vec<Action>,
    ) {
        if records.len() > MAX_FORWARDED_RECORDS {
            return;
        }
        let from_local = from.is_some_and(|id| self.is_local_peer(id));
        if !from_local {
            for to in self.local_peers() {
                if Some(&to) != from {
                    let message = records_message(records.clone());
                    self.send(&to, message, actions);
                }
            }
        }
        let local_records = records
            .into_iter()
            .filter(|r| r.data_centre == self.cfg.data_centre);
        let local_records: Vec<Record> = local_records.collect();
        if local_records.is_empty() {
            return;
        }
        for target in self.link_targets(now) {
            let message = records_message(local_records.clone());
            self.send_to(&target, message, actions);
        }
    }

    /// Sends the records of the data centres whose digests differ, and requests the sender's.
    pub(super) fn answer_digests(
        &mut self,
        from: &HostId,
        theirs: &[DataCentreDigest],
        actions: &mut Vec<Action>,
    ) {
        let mut differing: BTreeMap<DataCentreKey, u64> = BTreeMap::new();
        for d in self.digests() {
            differing.insert(d.key, d.digest);
        }
        for d in theirs {
            match differing.get(&d.key) {
                Some(own) if *own == d.digest => drop(differing.remove(&d.key)),
                Some(_) => {}
                None => drop(differing.insert(d.key, 0)),
            }
        }
        if differing.is_empty() {
            return;
        }
        let wanted: Vec<DataCentreKey> = differing.into_keys().collect();
        let records = self.records_of(&wanted);
        let message = Message::Records(Records { records, wanted });
        self.send(from, message, actions);
    }

    /// Merges the received records, and answers with the requested ones that the sender lacks.
    pub(super) fn answer_records(
        &mut self,
        now: Duration,
        from: &HostId,
        message: Records,
        actions: &mut Vec<Action>,
    ) {
        let theirs: BTreeMap<HostId, Record> = match message.wanted.is_empty() {
            true => BTreeMap::new(),
            false => {
                let records = message.records.iter();
                records.map(|r| (r.id.clone(), r.clone())).collect()
            }
        };
        self.merge_records(now, message.records, Some(from), actions);
        let mut missing = self.records_of(&message.wanted);
        missing.retain(|r| theirs.get(&r.id) != Some(r));
        if !missing.is_empty() {
            self.send(from, records_message(missing), actions);
        }
    }

    /// Updates what is derived from the records.
    pub(super) fn records_changed(&mut self) {
        self.digest = self.digest_of(None);
        self.view_dirty = true;
    }

    /// The digests of the records, one for each data centre.
    pub(super) fn digests(&self) -> Vec<DataCentreDigest> {
        let keys: BTreeSet<DataCentreKey> = self
            .all_records()
            .filter(in_digest)
            .map(|r| view::key(&r.data_centre))
            .collect();
        let digests = keys.into_iter().map(|key| DataCentreDigest {
            key,
            digest: self.digest_of(Some(key)),
        });
        digests.collect()
    }

    /// The digest of the records of one data centre, or of all.
    ///
    /// Records of hosts that are dead or left are excluded, so that hosts may remove them at
    /// different times.
    pub(super) fn digest_of(&self, key: Option<DataCentreKey>) -> u64 {
        let own = self.own_record();
        let own = Some(&own).into_iter();
        let all = own.chain(self.peers.values().map(|p| &p.record));
        let counted =
            all.filter(|r| in_digest(r) && key.is_none_or(|k| view::key(&r.data_centre) == k));
        counted.map(hash).fold(0, |sum, h| sum ^ h)
    }

    fn records_of(&self, keys: &[DataCentreKey]) -> Vec<Record> {
        let all = self.all_records();
        all.filter(|r| keys.contains(&view::key(&r.data_centre)))
            .collect()
    }

    fn all_records(&self) -> impl Iterator<Item = Record> {
        let others = self.peers.values().map(|p| p.record.clone());
        std::iter::once(self.own_record()).chain(others)
    }

    /// Removes hosts that are dead or left, and unlisted hosts of a silent data centre, after
    /// `remove_after`.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        let after = self.cfg.intervals.remove_after;
        let expired = |since: Duration| now.saturating_sub(since) >= after;
        let removable = self.peers.values().filter(|p| {
            let key = view::key(&p.record.data_centre);
            let expired_down =
                matches!(p.record.state, State::Dead | State::Left) && expired(p.state_since);
            let remote = p.record.data_centre != self.cfg.data_centre;
            let silent = remote
                && expired(
                    self.data_centre_contacts
                        .get(&key)
                        .copied()
                        .unwrap_or(p.last_contact),
                );
            expired_down || (silent && !self.listed_hosts.contains_key(&p.record.id))
        });
        let removable: Vec<HostId> = removable.map(|p| p.record.id.clone()).collect();
        if removable.is_empty() {
            return;
        }
        for id in &removable {
            self.peers.remove(id);
        }
        self.records_changed();
    }
}

/// A message that sends records and requests none.
fn records_message(records: Vec<Record>) -> Message {
    Message::Records(Records {
        records,
        wanted: Vec::new(),
    })
}

fn in_digest(record: &Record) -> bool {
    matches!(record.state, State::Alive | State::Suspected)
}

fn hash(record: &Record) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(record.id.0.as_str().as_bytes());
    hasher.update(&record.version.incarnation.to_le_bytes());
    hasher.update(&record.version.refutations.to_le_bytes());
    hasher.write_u8(record.state as u8);
    hasher.digest()
}
