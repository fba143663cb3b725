//! The right of a host to lend: its place in the data centre's shard map in the table.
//!
//! The row says who holds which shard. It changes only by compare-and-set, and no write to it is
//! needed to go on: a host's guard, a peer that the row names, acknowledges its heartbeats, and
//! each acknowledgement promises not to remove the host for the session's term. So rights of a
//! dead host come back by one write of its guard after that term, and an outage of the table
//! takes nothing from a host whose guard lives.
//!
//! When host and guard are lost together nobody may remove the host by the short term. Others take
//! over the main part of its shards once its entry has not changed for the long term; a host
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

/// Where the rows of all data centres are.
const ROWS: &str = "limits/shards/";
/// How many beats are remembered to date their acknowledgements.
const BEATS: usize = 8;

/// The wait before a transaction is tried again doubles so often.
const MOST_DOUBLINGS: u32 = 4;

/// A shard map and the table's revision of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Known {
    /// 0 when the row does not exist.
    pub(crate) revision: u64,
    pub(crate) map: ShardMap,
}

/// A write whose answer is awaited, or was lost.
#[derive(Debug, Clone, PartialEq)]
struct Write {
    id: TxnId,
    sent_at: Duration,
    /// The revision it replaces; it can't take effect once the row has another.
    base: u64,
    /// What it writes; `None` for a read.
    map: Option<ShardMap>,
}

/// What is known of another member.
#[derive(Debug, Clone, PartialEq)]
struct Seen {
    member: Member,
    /// When this entry was first seen.
    at: Duration,
}

/// The session of one host.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    me: HostRef,
    row: String,
    terms: Terms,
    known: Option<Known>,
    pending: Option<Write>,
    /// Writes whose answers were lost and that may have taken effect, or may still.
    doubts: Vec<Write>,
    next_id: u64,
    retry_at: Duration,
    /// Transactions without a usable answer since the last one with.
    failures: u32,
    beats: BTreeMap<u32, Duration>,
    beat_seq: u32,
    beat_at: Duration,
    /// Until when the guard or the table has promised not to remove this host.
    session_until: Duration,
    main_until: Duration,
    floor_until: Duration,
    /// When this host last had its beats acknowledged, or named its guard.
    guarded_at: Duration,
    /// Until when this host has promised not to remove others.
    promises: BTreeMap<HostRef, Duration>,
    seen: BTreeMap<HostRef, Seen>,
    leaving: bool,
    changed_at: Duration,
}

/// Which parts of which shards this host may lend, and until when.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) main: bool,
    pub(crate) floor: bool,
}

impl Session {
    pub(crate) fn new(cfg: &Config) -> Self {
        Self {
            me: cfg.me.clone(),
            row: format!("{ROWS}{}", cfg.data_centre),
            terms: cfg.terms,
            known: None,
            pending: None,
            doubts: Vec::new(),
            next_id: 0,
            retry_at: Duration::ZERO,
            failures: 0,
            beats: BTreeMap::new(),
            beat_seq: 0,
            beat_at: Duration::ZERO,
            session_until: Duration::ZERO,
            main_until: Duration::ZERO,
            floor_until: Duration::ZERO,
            guarded_at: Duration::ZERO,
            promises: BTreeMap::new(),
            seen: BTreeMap::new(),
            leaving: false,
            changed_at: Duration::ZERO,
        }
    }

    /// The newest map seen.
    pub(crate) fn known(&self) -> Option<&Known> {
        self.known.as_ref()
    }

    /// Until when this host may lend anything; no loan may last longer.
    pub(crate) fn until(&self, now: Duration) -> Duration {
        let Some(entry) = self.entry() else {
            return Duration::ZERO;
        };
        if entry.guard.is_some() {
            return self.session_until;
        }
        // Without a guard nobody may remove this host by the short term, unless a write on its way
        // names one.
        let writes = self.pending.iter().chain(&self.doubts);
        let named = writes.filter(|w| w.map.is_some()).map(|w| w.sent_at).min();
        named.unwrap_or(now) + self.terms.session_term
    }

    /// The parts of shard `i` that this host may lend.
    pub(crate) fn held(&self, now: Duration, i: usize) -> Held {
        let Some(known) = &self.known else {
            return Held::default();
        };
        let mine = |holders: &[Option<HostRef>]| holders.get(i) == Some(&Some(self.me.clone()));
        let kept = |holders: fn(&ShardMap) -> &[Option<HostRef>]| {
            let writes = self.pending.iter().chain(&self.doubts);
            let mut maps = writes.filter_map(|w| w.map.as_ref());
            mine(holders(&known.map)) && maps.all(|map| mine(holders(map)))
        };
        // A loan given now must have lapsed when others may take the part over.
        let end = now + self.terms.loan_term;
        Held {
            main: end <= self.main_until && kept(|map| &map.main),
            floor: end <= self.floor_until && kept(|map| &map.floor),
        }
    }

    fn entry(&self) -> Option<&Member> {
        let known = self.known.as_ref()?;
        known.map.members.iter().find(|m| m.host == self.me)
    }

    /// The beat that is due, and the guard it goes to.
    pub(crate) fn beat(&mut self, now: Duration) -> Option<(HostRef, u32)> {
        if now < self.beat_at {
            return None;
        }
        let guard = self.entry()?.guard.clone()?;
        self.beat_at = now + self.terms.beat_interval;
        self.beat_seq += 1;
        self.beats.insert(self.beat_seq, now);
        if self.beats.len() > BEATS {
            self.beats.pop_first();
        }
        Some((guard, self.beat_seq))
    }

    /// Whether `from`'s beat may be acknowledged; if so the promise is made.
    pub(crate) fn promise(&mut self, now: Duration, from: &HostRef) -> bool {
        let Some(known) = &self.known else {
            return false;
        };
        let mut members = known.map.members.iter();
        let guarded = members.any(|m| m.host == *from && m.guard.as_ref() == Some(&self.me));
        let removes = |w: &Write| {
            let map = w.map.as_ref();
            map.is_some_and(|map| map.members.iter().all(|m| m.host != *from))
        };
        if !guarded || self.pending.iter().chain(&self.doubts).any(removes) {
            return false;
        }
        let until = now + self.terms.with_clock_margin(self.terms.session_term);
        let promise = self.promises.entry(from.clone()).or_default();
        *promise = (*promise).max(until);
        true
    }

    /// The guard's promise, for the beat `seq`.
    pub(crate) fn promised(&mut self, from: &HostRef, seq: u32) {
        let Some(sent_at) = self.beats.get(&seq).copied() else {
            return;
        };
        let guard = self.entry().and_then(|m| m.guard.clone());
        if guard.as_ref() != Some(from) || self.renames_guard(sent_at, from) {
            return;
        }
        self.guarded_at = self.guarded_at.max(sent_at);
        self.session_until = self.session_until.max(sent_at + self.terms.session_term);
    }

    /// Whether a write sent before `sent_at` may have named another guard than `guard`, who may
    /// remove this host a session's term after the write.
    fn renames_guard(&self, sent_at: Duration, guard: &HostRef) -> bool {
        let mut writes = self.pending.iter().chain(&self.doubts);
        writes.any(|w| {
            let map = w.map.as_ref();
            let mut members = map.iter().flat_map(|map| &map.members);
            let entry = members.find(|m| m.host == self.me);
            let keeps = entry.is_some_and(|m| m.guard.as_ref() == Some(guard));
            w.map.is_some() && !keeps && w.sent_at < sent_at
        })
    }

    /// Stops lending, and hands all shards over.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.retry_at = Duration::ZERO;
    }

    /// Whether this host has left the map.
    pub(crate) fn left(&self) -> bool {
        self.leaving && self.known.is_some() && self.entry().is_none()
    }

    /// The call that is due. `live` are the live hosts of the data centre.
    pub(crate) fn call(&mut self, now: Duration, live: &[HostRef]) -> Option<(TxnId, TableCall)> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        let map = match &self.known {
            None => None,
            Some(known) => Some(self.plan(now, known, live)?),
        };
        self.next_id += 1;
        let id = TxnId(self.next_id);
        let base = self.known.as_ref().map_or(0, |k| k.revision);
        let call = match &map {
            None => TableCall::Read(vec![self.row.clone()]),
            Some(map) => TableCall::Write(self.write(base, map)),
        };
        self.pending = Some(Write {
            id,
            sent_at: now,
            base,
            map,
        });
        Some((id, call))
    }

    fn plan(&self, now: Duration, known: &Known, live: &[HostRef]) -> Option<ShardMap> {
        let view = plan::View {
            me: &self.me,
            map: &known.map,
            live,
            leaving: self.leaving,
            touch: !self.doubts.is_empty() || self.refresh_due(now),
            lost_guard: now.saturating_sub(self.guarded_at) > self.terms.session_term / 2,
            settled: now.saturating_sub(self.changed_at) > self.terms.session_term,
            fate: &|m| self.fate(now, m),
        };
        plan::next_map(&view)
    }

    fn refresh_due(&self, now: Duration) -> bool {
        self.entry().is_some() && now + self.terms.main_term * 3 / 4 >= self.main_until
    }

    /// What may be done to another member.
    fn fate(&self, now: Duration, member: &Member) -> plan::Fate {
        let Some(seen) = self.seen.get(&member.host) else {
            return plan::Fate::Keep;
        };
        let terms = &self.terms;
        let promised = self.promises.get(&member.host).copied();
        let quiet = |term| now >= seen.at + terms.with_clock_margin(term);
        let released = promised.is_none_or(|t| t <= now) && quiet(terms.session_term);
        let guarded = member.guard.as_ref() == Some(&self.me);
        let earlier = member.host.id == self.me.id;
        match () {
            () if (guarded || earlier) && released => plan::Fate::Remove,
            () if quiet(terms.floor_term) => plan::Fate::Remove,
            () if quiet(terms.main_term) => plan::Fate::TakeMain,
            () => plan::Fate::Keep,
        }
    }

    fn write(&self, base: u64, map: &ShardMap) -> Txn {
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

    /// Takes a call's answer in; true when a map was changed by this host.
    pub(crate) fn answer(
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
                let wait = self.terms.retry_interval * (1 << self.failures.min(MOST_DOUBLINGS));
                self.retry_at = now + wait.max(cause.retry_after().unwrap_or_default());
                self.failures += 1;
                if cause.is_unknown() && write.map.is_some() {
                    self.doubts.push(write);
                }
                return false;
            }
        };
        self.failures = 0;
        if let Some(map) = write.map.as_ref().filter(|_| outcome.succeeded) {
            let written = Known {
                revision: outcome.table_revision,
                map: map.clone(),
            };
            self.adopt(now, written);
            self.renew(write.sent_at);
            return true;
        }
        let found = match outcome.rows.into_iter().flatten().next() {
            None if write.base > 0 => {
                log::error!("limits: the row {} is gone", self.row);
                self.retry_at = now + self.terms.session_term;
                return false;
            }
            None => Known::default(),
            Some(row) => match decode(&row) {
                Some(known) => known,
                None => {
                    self.retry_at = now + self.terms.session_term;
                    return false;
                }
            },
        };
        self.adopt(now, found);
        false
    }

    /// This host's entry was written by a transaction sent at `sent_at`.
    fn renew(&mut self, sent_at: Duration) {
        let terms = &self.terms;
        self.session_until = self.session_until.max(sent_at + terms.session_term);
        self.main_until = self.main_until.max(sent_at + terms.main_term);
        self.floor_until = self.floor_until.max(sent_at + terms.floor_term);
        self.guarded_at = self.guarded_at.max(sent_at);
    }

    /// Takes a map over unless a newer one is known.
    pub(crate) fn adopt(&mut self, now: Duration, found: Known) -> bool {
        let newer = self
            .known
            .as_ref()
            .is_none_or(|k| k.revision < found.revision);
        if !newer {
            return false;
        }
        self.doubts.retain(|w| w.base >= found.revision);
        for member in &found.map.members {
            let same = self.seen.get(&member.host);
            if same.is_none_or(|seen| seen.member != *member) {
                let member = member.clone();
                let host = member.host.clone();
                self.seen.insert(host, Seen { member, at: now });
            }
        }
        let members = &found.map.members;
        let is_member = |host: &HostRef| members.iter().any(|m| m.host == *host);
        self.seen.retain(|host, _| is_member(host));
        self.promises.retain(|host, _| is_member(host));
        if !is_member(&self.me) {
            self.session_until = Duration::ZERO;
        }
        if self
            .known
            .as_ref()
            .is_none_or(|k| k.map.main != found.map.main)
        {
            self.changed_at = now;
        }
        self.known = Some(found);
        true
    }

    /// When something may be due.
    pub(crate) fn next(&self, now: Duration) -> Duration {
        let mut at = now + self.terms.beat_interval;
        if self.entry().is_some_and(|m| m.guard.is_some()) {
            at = at.min(self.beat_at);
        }
        if self.pending.is_none() && self.retry_at > now {
            at = at.min(self.retry_at);
        }
        at
    }
}

fn decode(row: &Row) -> Option<Known> {
    let map: Option<ShardMap> = serde_json::from_slice(&row.value).ok();
    let map = map.filter(|map| map.main.len() == SHARDS && map.floor.len() == SHARDS);
    if map.is_none() {
        log::error!("limits: the row {} is not a shard map", row.key);
    }
    Some(Known {
        revision: row.mod_revision,
        map: map?,
    })
}
