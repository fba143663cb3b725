//! The right of a host to lend: its entry in the data centre's shard map, a row of the table.
//!
//! The row names the holder of each shard. It changes only by compare-and-set, and a host goes on
//! lending without writing to it: the host's guard, a peer that the row names, acknowledges its
//! heartbeats, and each acknowledgement promises not to remove the host for the session term. The
//! guard of a dead host recovers its rights by one write after that term, and an outage of the
//! table takes no rights from a host whose guard is alive.
//!
//! If host and guard fail together, nobody may remove the host after the session term. Other hosts
//! take over the main part of its shards once its entry has not changed for `main_term`; a host
//! that could not write its entry for that long stops lending that part and keeps the floor part.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrill_protocol::{
    HostRef,
    rights::{Member, SHARDS, ShardMap},
};
use dragonflyrill_store::{
    error::PlatformError,
    table::{Condition, Op, Row, TableCall, Txn, TxnOutcome},
};

use crate::{
    TxnId,
    config::{Config, Terms},
    plan,
};

/// The key prefix of the rows of all data centres; the name of the data centre follows.
const SHARD_ROW_PREFIX: &str = "limits/shards/";
/// The most heartbeats whose sending times are kept, as each acknowledgement counts from them.
const MAX_TRACKED_BEATS: usize = 8;

/// How many times the delay before a transaction is retried doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A shard map with its revision in the table.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct VersionedMap {
    /// 0 if the row does not exist.
    pub(crate) revision: u64,
    pub(crate) map: ShardMap,
}

/// A call of the table whose answer is awaited, or a write whose answer was lost.
#[derive(Debug, Clone, PartialEq)]
struct PendingCall {
    id: TxnId,
    sent_at: Duration,
    /// The revision that the write replaces; it can't take effect once the row has another.
    base: u64,
    /// The map that is written; `None` for a read.
    map: Option<ShardMap>,
}

/// The last observed entry of a member.
#[derive(Debug, Clone, PartialEq)]
struct ObservedMember {
    member: Member,
    /// When this host first observed the entry in this form.
    since: Duration,
}

/// The session of one host: its entry in the shard map and the promises that protect it.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    me: HostRef,
    row: String,
    terms: Terms,
    known: Option<VersionedMap>,
    pending: Option<PendingCall>,
    /// Writes whose answers were lost: they may have taken effect, or may still do so.
    unconfirmed: Vec<PendingCall>,
    next_id: u64,
    retry_at: Duration,
    /// Consecutive transactions without a usable answer.
    failures: u32,
    beats: BTreeMap<u32, Duration>,
    beat_seq: u32,
    next_beat_at: Duration,
    /// Until when this host can't be removed, by a promise of its guard or by its own last write.
    session_until: Duration,
    main_until: Duration,
    floor_until: Duration,
    /// When this host sent the newest heartbeat that was acknowledged, or wrote its entry.
    guarded_at: Duration,
    /// Until when this host has promised not to remove each other host.
    promises: BTreeMap<HostRef, Duration>,
    observed: BTreeMap<HostRef, ObservedMember>,
    shutting_down: bool,
    shards_changed_at: Duration,
}

/// Which parts of one shard this host may lend now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct LendableParts {
    pub(crate) main: bool,
    pub(crate) floor: bool,
}

impl Session {
    pub(crate) fn new(cfg: &Config) -> Self {
        Self {
            me: cfg.me.clone(),
            row: format!("{SHARD_ROW_PREFIX}{}", cfg.data_centre),
            terms: cfg.terms,
            known: None,
            pending: None,
            unconfirmed: Vec::new(),
            next_id: 0,
            retry_at: Duration::ZERO,
            failures: 0,
            beats: BTreeMap::new(),
            beat_seq: 0,
            next_beat_at: Duration::ZERO,
            session_until: Duration::ZERO,
            main_until: Duration::ZERO,
            floor_until: Duration::ZERO,
            guarded_at: Duration::ZERO,
            promises: BTreeMap::new(),
            observed: BTreeMap::new(),
            shutting_down: false,
            shards_changed_at: Duration::ZERO,
        }
    }

    /// The newest known map.
    pub(crate) fn known_map(&self) -> Option<&VersionedMap> {
        self.known.as_ref()
    }

    /// Until when this host may lend; no loan may last longer.
    pub(crate) fn lend_until(&self, now: Duration) -> Duration {
        let Some(entry) = self.entry() else {
            return Duration::ZERO;
        };
        if entry.guard.is_some() {
            return self.session_until;
        }
        // Without a guard nobody may remove this host after the session term, unless a write in
        // flight names one.
        let writes = self.pending.iter().chain(&self.unconfirmed);
        let named = writes.filter(|w| w.map.is_some()).map(|w| w.sent_at).min();
        named.unwrap_or(now) + self.terms.session_term
    }

    /// The parts of shard `i` that this host may lend: those that it holds in the known map and in
    /// every write whose outcome is not known.
    pub(crate) fn lendable_parts(&self, now: Duration, i: usize) -> LendableParts {
        let Some(known) = &self.known else {
            return LendableParts::default();
        };
        let mine = |holders: &[Option<HostRef>]| holders.get(i) == Some(&Some(self.me.clone()));
        let mine_everywhere = |holders: fn(&ShardMap) -> &[Option<HostRef>]| {
            let writes = self.pending.iter().chain(&self.unconfirmed);
            let mut maps = writes.filter_map(|w| w.map.as_ref());
            mine(holders(&known.map)) && maps.all(|map| mine(holders(map)))
        };
        // A loan granted now must have expired when other hosts may take over the part.
        let end = now + self.terms.loan_term;
        LendableParts {
            main: end <= self.main_until && mine_everywhere(|map| &map.main),
            floor: end <= self.floor_until && mine_everywhere(|map| &map.floor),
        }
    }

    fn entry(&self) -> Option<&Member> {
        let known = self.known.as_ref()?;
        known.map.members.iter().find(|m| m.host == self.me)
    }

    /// The receiver and the sequence number of the heartbeat that is due, if one is. It counts as
    /// sent.
    pub(crate) fn next_beat(&mut self, now: Duration) -> Option<(HostRef, u32)> {
        if now < self.next_beat_at {
            return None;
        }
        let guard = self.entry()?.guard.clone()?;
        self.next_beat_at = now + self.terms.beat_interval;
        self.beat_seq += 1;
        self.beats.insert(self.beat_seq, now);
        if self.beats.len() > MAX_TRACKED_BEATS {
            self.beats.pop_first();
        }
        Some((guard, self.beat_seq))
    }

    /// Whether a heartbeat of `from` may be acknowledged. If so, records the promise not to remove
    /// `from`.
    pub(crate) fn promise_not_to_remove(&mut self, now: Duration, from: &HostRef) -> bool {
        let Some(known) = &self.known else {
            return false;
        };
        let mut members = known.map.members.iter();
        let guarded = members.any(|m| m.host == *from && m.guard.as_ref() == Some(&self.me));
        let removes = |w: &PendingCall| {
            let map = w.map.as_ref();
            map.is_some_and(|map| map.members.iter().all(|m| m.host != *from))
        };
        if !guarded || self.pending.iter().chain(&self.unconfirmed).any(removes) {
            return false;
        }
        let until = now + self.terms.with_clock_margin(self.terms.session_term);
        let promise = self.promises.entry(from.clone()).or_default();
        *promise = (*promise).max(until);
        true
    }

    /// Applies the acknowledgement of the heartbeat `seq` by the guard.
    pub(crate) fn receive_promise(&mut self, from: &HostRef, seq: u32) {
        let Some(sent_at) = self.beats.get(&seq).copied() else {
            return;
        };
        let guard = self.entry().and_then(|m| m.guard.clone());
        if guard.as_ref() != Some(from) || self.may_rename_guard(sent_at, from) {
            return;
        }
        self.guarded_at = self.guarded_at.max(sent_at);
        self.session_until = self.session_until.max(sent_at + self.terms.session_term);
    }

    /// Whether a write sent before `sent_at` may have named another guard than `guard`; that guard
    /// may remove this host a session term after the write.
    fn may_rename_guard(&self, sent_at: Duration, guard: &HostRef) -> bool {
        let mut writes = self.pending.iter().chain(&self.unconfirmed);
        writes.any(|w| {
            let map = w.map.as_ref();
            let mut members = map.iter().flat_map(|map| &map.members);
            let entry = members.find(|m| m.host == self.me);
            let keeps = entry.is_some_and(|m| m.guard.as_ref() == Some(guard));
            w.map.is_some() && !keeps && w.sent_at < sent_at
        })
    }

    /// Stops lending and hands all shards over to other hosts.
    pub(crate) fn hand_over(&mut self) {
        self.shutting_down = true;
        self.retry_at = Duration::ZERO;
    }

    /// Whether the handover is complete: this host is no longer in the map.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.shutting_down && self.known.is_some() && self.entry().is_none()
    }

    /// The call of the table that is due, if one is. `live` are the live hosts of the data centre.
    pub(crate) fn next_call(
        &mut self,
        now: Duration,
        live: &[HostRef],
    ) -> Option<(TxnId, TableCall)> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        let map = match &self.known {
            None => None,
            Some(known) => Some(self.plan_map(now, known, live)?),
        };
        self.next_id += 1;
        let id = TxnId(self.next_id);
        let base = self.known.as_ref().map_or(0, |k| k.revision);
        let call = match &map {
            None => TableCall::Read(vec![self.row.clone()]),
            Some(map) => TableCall::Write(self.write_txn(base, map)),
        };
        self.pending = Some(PendingCall {
            id,
            sent_at: now,
            base,
            map,
        });
        Some((id, call))
    }

    fn plan_map(&self, now: Duration, known: &VersionedMap, live: &[HostRef]) -> Option<ShardMap> {
        let input = plan::PlanInput {
            me: &self.me,
            map: &known.map,
            live,
            shutting_down: self.shutting_down,
            force_write: !self.unconfirmed.is_empty() || self.renewal_due(now),
            guard_lost: now.saturating_sub(self.guarded_at) > self.terms.session_term / 2,
            may_balance: now.saturating_sub(self.shards_changed_at) > self.terms.session_term,
            member_action: &|m| self.member_action(now, m),
        };
        plan::next_map(&input)
    }

    fn renewal_due(&self, now: Duration) -> bool {
        self.entry().is_some() && now + self.terms.main_term * 3 / 4 >= self.main_until
    }

    /// What this host may do to another member.
    fn member_action(&self, now: Duration, member: &Member) -> plan::MemberAction {
        let Some(observed) = self.observed.get(&member.host) else {
            return plan::MemberAction::Keep;
        };
        let terms = &self.terms;
        let promised = self.promises.get(&member.host).copied();
        let unchanged_for = |term| now >= observed.since + terms.with_clock_margin(term);
        let may_remove = promised.is_none_or(|t| t <= now) && unchanged_for(terms.session_term);
        let guarded = member.guard.as_ref() == Some(&self.me);
        let earlier_incarnation = member.host.id == self.me.id;
        match () {
            () if (guarded || earlier_incarnation) && may_remove => plan::MemberAction::Remove,
            () if unchanged_for(terms.floor_term) => plan::MemberAction::Remove,
            () if unchanged_for(terms.main_term) => plan::MemberAction::TakeOverMain,
            () => plan::MemberAction::Keep,
        }
    }

    fn write_txn(&self, base: u64, map: &ShardMap) -> Txn {
        let key = self.row.clone();
        let condition = match base {
            0 => Condition::Absent(key.clone()),
            mod_revision => Condition::Unchanged {
                key: key.clone(),
                mod_revision,
            },
        };
        let value = serde_json::to_vec(map).unwrap_or_default();
        Txn {
            conditions: vec![condition],
            ops: vec![Op::Put { key, value }],
        }
    }

    /// Applies the answer to call `id`. Returns true if this host's write succeeded.
    pub(crate) fn handle_answer(
        &mut self,
        now: Duration,
        id: TxnId,
        result: Result<TxnOutcome, PlatformError>,
    ) -> bool {
        let Some(write) = self.pending.take_if(|w| w.id == id) else {
            return false;
        };
        let outcome = match result {
            Ok(outcome) => outcome,
            Err(cause) => {
                let wait =
                    self.terms.retry_interval * (1 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
                self.retry_at = now + wait.max(cause.retry_after().unwrap_or_default());
                self.failures += 1;
                if cause.is_unknown() && write.map.is_some() {
                    self.unconfirmed.push(write);
                }
                return false;
            }
        };
        self.failures = 0;
        if let Some(map) = write.map.as_ref().filter(|_| outcome.succeeded) {
            let written = VersionedMap {
                revision: outcome.table_revision,
                map: map.clone(),
            };
            self.adopt_map(now, written);
            self.extend_terms(write.sent_at);
            return true;
        }
        let received = match outcome.rows.into_iter().flatten().next() {
            None if write.base > 0 => {
                log::error!("limits: the row {} no longer exists", self.row);
                self.retry_at = now + self.terms.session_term;
                return false;
            }
            None => VersionedMap::default(),
            Some(row) => match decode(&row) {
                Some(known) => known,
                None => {
                    self.retry_at = now + self.terms.session_term;
                    return false;
                }
            },
        };
        self.adopt_map(now, received);
        false
    }

    /// Extends the terms of this host after its entry was written by a transaction sent at
    /// `sent_at`.
    fn extend_terms(&mut self, sent_at: Duration) {
        let terms = &self.terms;
        self.session_until = self.session_until.max(sent_at + terms.session_term);
        self.main_until = self.main_until.max(sent_at + terms.main_term);
        self.floor_until = self.floor_until.max(sent_at + terms.floor_term);
        self.guarded_at = self.guarded_at.max(sent_at);
    }

    /// Stores a received map if it is newer than the known one. Returns whether it did.
    pub(crate) fn adopt_map(&mut self, now: Duration, received: VersionedMap) -> bool {
        let newer = self
            .known
            .as_ref()
            .is_none_or(|k| k.revision < received.revision);
        if !newer {
            return false;
        }
        self.unconfirmed.retain(|w| w.base >= received.revision);
        for member in &received.map.members {
            let same = self.observed.get(&member.host);
            if same.is_none_or(|observed| observed.member != *member) {
                let member = member.clone();
                let host = member.host.clone();
                self.observed
                    .insert(host, ObservedMember { member, since: now });
            }
        }
        let members = &received.map.members;
        let is_member = |host: &HostRef| members.iter().any(|m| m.host == *host);
        self.observed.retain(|host, _| is_member(host));
        self.promises.retain(|host, _| is_member(host));
        if !is_member(&self.me) {
            self.session_until = Duration::ZERO;
        }
        if self
            .known
            .as_ref()
            .is_none_or(|k| k.map.main != received.map.main)
        {
            self.shards_changed_at = now;
        }
        self.known = Some(received);
        true
    }

    /// When a heartbeat or a call of the table may be due next.
    pub(crate) fn next_due(&self, now: Duration) -> Duration {
        let mut at = now + self.terms.beat_interval;
        if self.entry().is_some_and(|m| m.guard.is_some()) {
            at = at.min(self.next_beat_at);
        }
        if self.pending.is_none() && self.retry_at > now {
            at = at.min(self.retry_at);
        }
        at
    }
}

fn decode(row: &Row) -> Option<VersionedMap> {
    let map: Option<ShardMap> = serde_json::from_slice(&row.value).ok();
    let map = map.filter(|map| map.main.len() == SHARDS && map.floor.len() == SHARDS);
    if map.is_none() {
        log::error!(
            "limits: the row {} does not hold a valid shard map",
            row.key
        );
    }
    Some(VersionedMap {
        revision: row.mod_revision,
        map: map?,
    })
}
